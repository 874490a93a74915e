import * as v from "valibot";
import { firstIssue } from "../protocol/jobs.js";
import type { StateCall, StateReply } from "../protocol/state.js";
import {
  progressKey,
  deadPrefix,
  newProgress,
  OUTCOMES,
  readBatch,
  readSubscription,
  subscriptionKey,
  SUBSCRIPTIONS_PREFIX,
  type Subscription,
  writeSubscription,
} from "./records.js";

/** What users ask of hooks, over HTTP or the command line. */
export type WebhookRequest =
  | { is: "list" }
  | { is: "show"; name: string }
  | { is: "add"; body: unknown }
  | { is: "change"; name: string; body: unknown }
  | { is: "act"; name: string; act: "pause" | "resume" | "test" | "redrive" }
  | { is: "remove"; name: string }
  | { is: "dead"; name: string; after: string };

const WEBHOOK_NAME = /^[a-z0-9][a-z0-9-]{0,39}$/;
const TRIES = 4;
/** A record of a subscription stays within the smallest values. */
const text = v.pipe(v.string(), v.minLength(1), v.maxLength(200));
const several = v.nullable(
  v.pipe(v.array(text), v.minLength(1), v.maxLength(32)),
);
const fields = {
  url: v.pipe(v.string(), v.maxLength(1_000)),
  crews: several,
  jobclasses: several,
  outcomes: v.pipe(
    v.array(v.picklist(OUTCOMES)),
    v.minLength(1),
    v.maxLength(2),
  ),
  keys: v.pipe(v.array(text), v.minLength(1), v.maxLength(4)),
  ordered: v.boolean(),
  ask: v.boolean(),
};
const Change = v.strictObject(
  v.entriesFromObjects([v.partial(v.object(fields))]),
);
const Add = v.strictObject({
  name: v.pipe(
    v.string(),
    v.regex(WEBHOOK_NAME, "small letters, digits and dashes, at most 40"),
  ),
  ...fields,
  crews: v.optional(fields.crews, null),
  jobclasses: v.optional(fields.jobclasses, null),
  outcomes: v.optional(fields.outcomes, [...OUTCOMES]),
  ordered: v.optional(fields.ordered, false),
  ask: v.optional(fields.ask, false),
});

const shown = (name: string, s: Subscription): object => ({
  name,
  url: s.url,
  crews: s.teams,
  jobclasses: s.classes,
  outcomes: s.outcomes,
  keys: s.keys,
  ordered: s.ordered,
  ask: s.ask,
  state: s.state,
});

type Reply = (status: number, body: object) => void;
const busy = { error: "state service does not answer" };

/** Each is one or a few reads and one conditional commit; what can't be done changes nothing. */
export class SubscriptionRequests {
  constructor(
    private readonly state: (
      call: StateCall,
      done: (r: StateReply) => void,
    ) => void,
    private readonly answer: (
      req: number,
      status: number,
      body: object,
    ) => void,
    private readonly figuresOf: (name: string) => object | null,
    private readonly keys: ReadonlySet<string>,
    private readonly refuses: (url: string) => string | null,
    private readonly most: number,
  ) {}

  take(req: number, r: WebhookRequest): void {
    const reply: Reply = (status, body) => this.answer(req, status, body);
    switch (r.is) {
      case "list":
        return this.list((subs) => {
          if (!subs) return reply(503, busy);
          reply(200, { hooks: [...subs].map(([name, s]) => shown(name, s)) });
        });
      case "show":
        return this.one(r.name, reply, (s) =>
          reply(200, { ...shown(r.name, s), sending: this.figuresOf(r.name) }),
        );
      case "add":
        return this.add(r.body, reply);
      case "change":
        return this.change(r.name, r.body, reply);
      case "act":
        return this.edit(r.name, reply, TRIES, (s) => {
          if (r.act === "test" || r.act === "redrive") {
            if (s.state !== "active")
              return { error: `hook is ${s.state}: resume it first` };
            return r.act === "test"
              ? { ...s, tests: s.tests + 1 }
              : { ...s, redrives: s.redrives + 1 };
          }
          return { ...s, state: r.act === "pause" ? "paused" : "active" };
        });
      case "remove":
        return this.remove(r.name, reply, TRIES);
      case "dead":
        return this.state(
          { op: "list", prefix: deadPrefix(r.name), after: r.after },
          (got) => {
            if (got.is !== "items") return reply(503, busy);
            const letters = got.items.flatMap((i) =>
              (readBatch(i.value)?.entries ?? []).map((o) => ({
                id: o.end.id,
                status: o.end.outcome,
                crew: o.end.team,
                jobclass: o.end.class,
                endedAt: new Date(o.end.at).toISOString(),
                attempts: o.attempts,
              })),
            );
            reply(200, {
              dead: letters,
              next: got.more ? (got.items.at(-1)?.key ?? null) : null,
            });
          },
        );
    }
  }

  private list(
    done: (subs: Map<string, Subscription> | null) => void,
    after = "",
    so: Map<string, Subscription> = new Map(),
  ): void {
    this.state({ op: "list", prefix: SUBSCRIPTIONS_PREFIX, after }, (r) => {
      if (r.is !== "items") return done(null);
      for (const i of r.items) {
        const s = readSubscription(i.value);
        if (s) so.set(i.key.slice(SUBSCRIPTIONS_PREFIX.length), s);
      }
      const last = r.items.at(-1);
      if (r.more && last) this.list(done, last.key, so);
      else done(so);
    });
  }
  private one(
    name: string,
    reply: Reply,
    then: (s: Subscription, version: number) => void,
  ): void {
    this.state({ op: "get", key: subscriptionKey(name) }, (r) => {
      if (r.is !== "item") return reply(503, busy);
      const s = r.item ? readSubscription(r.item.value) : null;
      if (!s || !r.item) return reply(404, { error: "no such hook" });
      then(s, r.item.version);
    });
  }

  /** Why a subscription can't be: the field and the reason. */
  private wrong(s: {
    url?: string | undefined;
    keys?: string[] | undefined;
  }): string | null {
    if (s.url !== undefined) {
      const why = this.refuses(s.url);
      if (why !== null) return `url: ${why}`;
    }
    const unknown = s.keys?.find((k) => !this.keys.has(k));
    return unknown === undefined
      ? null
      : `keys: no key ${unknown} in the operators' file`;
  }

  private add(body: unknown, reply: Reply): void {
    const got = v.safeParse(Add, body);
    if (!got.success) return reply(400, { error: firstIssue(got.issues) });
    const f = got.output;
    const no = this.wrong(f);
    if (no !== null) return reply(422, { error: no });
    this.list((subs) => {
      if (!subs) return reply(503, busy);
      if (subs.size >= this.most && !subs.has(f.name))
        return reply(422, { error: `name: at most ${this.most} hooks` });
      const sub: Subscription = {
        url: f.url,
        teams: f.crews,
        classes: f.jobclasses,
        outcomes: [...new Set(f.outcomes)],
        keys: f.keys,
        ordered: f.ordered,
        ask: f.ask,
        state: "active",
        redrives: 0,
        tests: 0,
      };
      const keys = [subscriptionKey(f.name), progressKey(f.name)];
      this.state(
        {
          op: "commit",
          conditions: keys.map((key) => ({ key, version: 0 })),
          writes: [
            { op: "put", key: keys[0]!, value: writeSubscription(sub) },
            { op: "put", key: keys[1]!, value: newProgress() },
          ],
        },
        (r) => {
          if (r.is === "committed") return reply(201, shown(f.name, sub));
          if (r.is !== "conflict") return reply(503, busy);
          reply(409, {
            error: subs.has(f.name)
              ? "name: there is such a hook"
              : "name: there was such a hook a moment ago; try again soon",
          });
        },
      );
    });
  }

  private change(name: string, body: unknown, reply: Reply): void {
    const got = v.safeParse(Change, body);
    if (!got.success) return reply(400, { error: firstIssue(got.issues) });
    const f = got.output;
    const no = this.wrong(f);
    if (no !== null) return reply(422, { error: no });
    this.edit(name, reply, TRIES, (s) => ({
      ...s,
      url: f.url ?? s.url,
      teams: f.crews === undefined ? s.teams : f.crews,
      classes: f.jobclasses === undefined ? s.classes : f.jobclasses,
      outcomes: f.outcomes ?? s.outcomes,
      keys: f.keys ?? s.keys,
      ordered: f.ordered ?? s.ordered,
      ask: f.ask ?? s.ask,
    }));
  }

  private edit(
    name: string,
    reply: Reply,
    tries: number,
    how: (s: Subscription) => Subscription | { error: string },
  ): void {
    this.one(name, reply, (s, version) => {
      const next = how(s);
      if ("error" in next) return reply(409, next);
      this.state(
        {
          op: "commit",
          conditions: [{ key: subscriptionKey(name), version }],
          writes: [
            {
              op: "put",
              key: subscriptionKey(name),
              value: writeSubscription(next),
            },
          ],
        },
        (r) => {
          if (r.is === "committed") reply(200, shown(name, next));
          else if (r.is === "conflict" && tries > 0)
            this.edit(name, reply, tries - 1, how);
          else reply(503, busy);
        },
      );
    });
  }

  private remove(name: string, reply: Reply, tries: number): void {
    this.one(name, reply, (_, version) => {
      this.state(
        {
          op: "commit",
          conditions: [{ key: subscriptionKey(name), version }],
          writes: [{ op: "delete", key: subscriptionKey(name) }],
        },
        (r) => {
          if (r.is === "committed") reply(200, { name, removed: true });
          else if (r.is === "conflict" && tries > 0)
            this.remove(name, reply, tries - 1);
          else reply(503, busy);
        },
      );
    });
  }
}
