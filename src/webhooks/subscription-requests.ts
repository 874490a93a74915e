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

/** User requests about webhooks, from HTTP or the command line. */
export type WebhookRequest =
  | { is: "list" }
  | { is: "show"; name: string }
  | { is: "add"; body: unknown }
  | { is: "change"; name: string; body: unknown }
  | { is: "act"; name: string; act: "pause" | "resume" | "test" | "redrive" }
  | { is: "remove"; name: string }
  | { is: "dead"; name: string; after: string };

const WEBHOOK_NAME = /^[a-z0-9][a-z0-9-]{0,39}$/;
const MAX_RETRIES = 4;
/** The bounds of all fields keep a subscription's record within the smallest permitted value size. */
const text = v.pipe(v.string(), v.minLength(1), v.maxLength(200));
const nameList = v.nullable(
  v.pipe(v.array(text), v.minLength(1), v.maxLength(32)),
);
const fields = {
  url: v.pipe(v.string(), v.maxLength(1_000)),
  crews: nameList,
  jobclasses: nameList,
  outcomes: v.pipe(
    v.array(v.picklist(OUTCOMES)),
    v.minLength(1),
    v.maxLength(2),
  ),
  keys: v.pipe(v.array(text), v.minLength(1), v.maxLength(4)),
  ordered: v.boolean(),
  ask: v.boolean(),
};
const ChangeBody = v.strictObject(
  v.entriesFromObjects([v.partial(v.object(fields))]),
);
const AddBody = v.strictObject({
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

/** Whether a list of dead letters may go on after this text: the key of one of their batches, or nothing. */
const isPageMark = (name: string, after: string): boolean =>
  after === "" ||
  (after.startsWith(deadPrefix(name)) &&
    /^\d+$/.test(after.slice(deadPrefix(name).length)));

const subscriptionView = (
  name: string,
  subscription: Subscription,
): object => ({
  name,
  url: subscription.url,
  crews: subscription.teams,
  jobclasses: subscription.classes,
  outcomes: subscription.outcomes,
  keys: subscription.keys,
  ordered: subscription.ordered,
  ask: subscription.ask,
  state: subscription.state,
});

type Reply = (status: number, body: object) => void;
const unavailable = { error: "state service does not answer" };

/** Answers user requests. Each takes a few reads and at most one successful commit; a rejected request changes nothing. */
export class SubscriptionRequests {
  constructor(
    private readonly callStore: (
      call: StateCall,
      done: (reply: StateReply) => void,
    ) => void,
    private readonly answer: (
      reqId: number,
      status: number,
      body: object,
    ) => void,
    private readonly figuresOf: (name: string) => object | null,
    private readonly keyIds: ReadonlySet<string>,
    private readonly urlProblem: (url: string) => string | null,
    private readonly maxSubscriptions: number,
  ) {}

  handle(reqId: number, request: WebhookRequest): void {
    const reply: Reply = (status, body) => this.answer(reqId, status, body);
    // Names become parts of keys. One that no subscription can have is not looked for.
    if ("name" in request && !WEBHOOK_NAME.test(request.name))
      return reply(404, { error: "no such hook" });
    switch (request.is) {
      case "list":
        return this.list((subscriptions) => {
          if (!subscriptions) return reply(503, unavailable);
          reply(200, {
            hooks: [...subscriptions].map(([name, s]) =>
              subscriptionView(name, s),
            ),
          });
        });
      case "show":
        return this.withSubscription(request.name, reply, (subscription) =>
          reply(200, {
            ...subscriptionView(request.name, subscription),
            sending: this.figuresOf(request.name),
          }),
        );
      case "add":
        return this.add(request.body, reply);
      case "change":
        return this.change(request.name, request.body, reply);
      case "act":
        return this.edit(request.name, reply, MAX_RETRIES, (current) => {
          if (request.act === "test" || request.act === "redrive") {
            if (current.state !== "active")
              return { error: `hook is ${current.state}: resume it first` };
            return request.act === "test"
              ? { ...current, tests: current.tests + 1 }
              : { ...current, redrives: current.redrives + 1 };
          }
          return {
            ...current,
            state: request.act === "pause" ? "paused" : "active",
          };
        });
      case "remove":
        return this.remove(request.name, reply, MAX_RETRIES);
      case "dead":
        if (!isPageMark(request.name, request.after))
          return reply(400, { error: "after: no mark of a page" });
        return this.callStore(
          {
            op: "list",
            prefix: deadPrefix(request.name),
            after: request.after,
          },
          (listed) => {
            if (listed.is !== "items") return reply(503, unavailable);
            const deadLetters = listed.items.flatMap((item) =>
              (readBatch(item.value)?.entries ?? []).map((pending) => ({
                id: pending.end.id,
                status: pending.end.outcome,
                crew: pending.end.team,
                jobclass: pending.end.class,
                endedAt: new Date(pending.end.at).toISOString(),
                attempts: pending.attempts,
              })),
            );
            reply(200, {
              dead: deadLetters,
              next: listed.more ? (listed.items.at(-1)?.key ?? null) : null,
            });
          },
        );
    }
  }

  private list(
    done: (subscriptions: Map<string, Subscription> | null) => void,
    after = "",
    found: Map<string, Subscription> = new Map(),
  ): void {
    this.callStore(
      { op: "list", prefix: SUBSCRIPTIONS_PREFIX, after },
      (listed) => {
        if (listed.is !== "items") return done(null);
        for (const item of listed.items) {
          const subscription = readSubscription(item.value);
          if (subscription)
            found.set(
              item.key.slice(SUBSCRIPTIONS_PREFIX.length),
              subscription,
            );
        }
        const last = listed.items.at(-1);
        if (listed.more && last) this.list(done, last.key, found);
        else done(found);
      },
    );
  }
  private withSubscription(
    name: string,
    reply: Reply,
    onFound: (s: Subscription, version: number) => void,
  ): void {
    this.callStore({ op: "get", key: subscriptionKey(name) }, (result) => {
      if (result.is !== "item") return reply(503, unavailable);
      const subscription = result.item
        ? readSubscription(result.item.value)
        : null;
      if (!subscription || !result.item)
        return reply(404, { error: "no such hook" });
      onFound(subscription, result.item.version);
    });
  }

  /** Why a subscription is invalid (the field and the reason); null if it is valid. */
  private problemWith(fieldsToCheck: {
    url?: string | undefined;
    keys?: string[] | undefined;
  }): string | null {
    if (fieldsToCheck.url !== undefined) {
      const problem = this.urlProblem(fieldsToCheck.url);
      if (problem !== null) return `url: ${problem}`;
    }
    const unknown = fieldsToCheck.keys?.find((k) => !this.keyIds.has(k));
    return unknown === undefined
      ? null
      : `keys: no key ${unknown} in the operators' file`;
  }

  private add(body: unknown, reply: Reply): void {
    const parsed = v.safeParse(AddBody, body);
    if (!parsed.success)
      return reply(400, { error: firstIssue(parsed.issues) });
    const values = parsed.output;
    const problem = this.problemWith(values);
    if (problem !== null) return reply(422, { error: problem });
    this.list((subscriptions) => {
      if (!subscriptions) return reply(503, unavailable);
      if (
        subscriptions.size >= this.maxSubscriptions &&
        !subscriptions.has(values.name)
      )
        return reply(422, {
          error: `name: at most ${this.maxSubscriptions} hooks`,
        });
      const subscription: Subscription = {
        url: values.url,
        teams: values.crews,
        classes: values.jobclasses,
        outcomes: [...new Set(values.outcomes)],
        keys: values.keys,
        ordered: values.ordered,
        ask: values.ask,
        state: "active",
        redrives: 0,
        tests: 0,
      };
      const keys = [subscriptionKey(values.name), progressKey(values.name)];
      this.callStore(
        {
          op: "commit",
          conditions: keys.map((key) => ({ key, version: 0 })),
          writes: [
            {
              op: "put",
              key: keys[0]!,
              value: writeSubscription(subscription),
            },
            { op: "put", key: keys[1]!, value: newProgress() },
          ],
        },
        (result) => {
          if (result.is === "committed")
            return reply(201, subscriptionView(values.name, subscription));
          if (result.is !== "conflict") return reply(503, unavailable);
          reply(409, {
            error: subscriptions.has(values.name)
              ? "name: there is such a hook"
              : "name: there was such a hook a moment ago; try again soon",
          });
        },
      );
    });
  }

  private change(name: string, body: unknown, reply: Reply): void {
    const parsed = v.safeParse(ChangeBody, body);
    if (!parsed.success)
      return reply(400, { error: firstIssue(parsed.issues) });
    const values = parsed.output;
    const problem = this.problemWith(values);
    if (problem !== null) return reply(422, { error: problem });
    this.edit(name, reply, MAX_RETRIES, (current) => ({
      ...current,
      url: values.url ?? current.url,
      teams: values.crews === undefined ? current.teams : values.crews,
      classes:
        values.jobclasses === undefined ? current.classes : values.jobclasses,
      outcomes: values.outcomes ?? current.outcomes,
      keys: values.keys ?? current.keys,
      ordered: values.ordered ?? current.ordered,
      ask: values.ask ?? current.ask,
    }));
  }

  private edit(
    name: string,
    reply: Reply,
    retriesLeft: number,
    transform: (s: Subscription) => Subscription | { error: string },
  ): void {
    this.withSubscription(name, reply, (current, version) => {
      const next = transform(current);
      if ("error" in next) return reply(409, next);
      this.callStore(
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
        (result) => {
          if (result.is === "committed")
            reply(200, subscriptionView(name, next));
          else if (result.is === "conflict" && retriesLeft > 0)
            this.edit(name, reply, retriesLeft - 1, transform);
          else reply(503, unavailable);
        },
      );
    });
  }

  private remove(name: string, reply: Reply, retriesLeft: number): void {
    this.withSubscription(name, reply, (_, version) => {
      this.callStore(
        {
          op: "commit",
          conditions: [{ key: subscriptionKey(name), version }],
          writes: [{ op: "delete", key: subscriptionKey(name) }],
        },
        (result) => {
          if (result.is === "committed") reply(200, { name, removed: true });
          else if (result.is === "conflict" && retriesLeft > 0)
            this.remove(name, reply, retriesLeft - 1);
          else reply(503, unavailable);
        },
      );
    });
  }
}
