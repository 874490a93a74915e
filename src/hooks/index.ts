/** The door of hooks: notifications of jobs' ends, delivered once. Loaded only when the operators' file turns them on. */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { Hono, MiddlewareHandler } from "hono";
import type { HooksFile } from "../config/operator.js";
import type { Settings } from "../config/settings.js";
import type { Effect } from "../coordination/effects.js";
import type { LogEntry } from "../logging/events.js";
import type { StateCall, StateReply } from "../protocol/state.js";
import { HookCore, type HookEffect, type HookInput } from "./core.js";
import { hookRoutes } from "./http.js";
import { Sender } from "./sender.js";
import { hookLimits, senderSettings } from "./settings.js";
import type { HookRequest } from "./requests.js";

export { checkHooks } from "./settings.js";

/** What hooks need of the process that they run in. */
interface HookHost {
  /** A call to the state service, within this controller's limits. */
  state(call: StateCall, urgent: number): Promise<StateReply>;
  permit(): { hold: number | null; untilMs: number };
  log(entry: LogEntry): void;
  /** For metrics. */
  settled(outcome: "delivered" | "dead", tookMs: number): void;
  attempted(outcome: string, tookMs: number): void;
}

const ASKED_MS = 5_000;

/** Runs the core of hooks: its calls, attempts and questions. */
export class Hooks {
  private readonly core: HookCore;
  private readonly sender: Sender;
  private readonly asked = new Map<
    number,
    (r: { status: number; body: object }) => void
  >();
  private requests = 0;

  /** Throws a plain sentence if the settings are bad. `file`: where they come from. */
  constructor(
    settings: HooksFile,
    platform: Settings,
    file: string,
    agent: string,
    private readonly host: HookHost,
  ) {
    const sending = senderSettings(settings, file, agent);
    this.sender = new Sender(sending);
    const rng = xoroshiro128plus((Date.now() ^ (process.pid << 16)) | 0);
    this.core = new HookCore(
      platform.label,
      hookLimits(settings, platform),
      () => uniformFloat64(rng),
      new Set(sending.keys.keys()),
      (url) => this.sender.refuses(url),
    );
  }

  /** What the scheduler's core read of the state service. */
  seen(e: Extract<Effect, { do: "seen" }>): void {
    this.feed({ is: "seen", from: e.from, to: e.to, changes: e.changes });
  }
  tick(): void {
    this.feed({ is: "permit", ...this.host.permit() });
  }
  routes(limit: MiddlewareHandler): Hono {
    return hookRoutes((r) => this.ask(r), limit);
  }
  get figures(): HookCore["figures"] {
    return this.core.figures;
  }

  private ask(request: HookRequest): Promise<{ status: number; body: object }> {
    return new Promise((resolve) => {
      const req = ++this.requests;
      const end = (r: { status: number; body: object }): void => {
        clearTimeout(timer);
        this.asked.delete(req);
        resolve(r);
      };
      const timer = setTimeout(
        () =>
          end({
            status: 503,
            body: { error: "state service does not answer" },
          }),
        ASKED_MS,
      );
      this.asked.set(req, end);
      this.feed({ is: "request", req, request });
    });
  }

  private feed(input: HookInput): void {
    for (const e of this.core.step(input, performance.now(), Date.now()))
      this.carryOut(e);
  }
  private carryOut(e: HookEffect): void {
    switch (e.do) {
      case "state":
        void this.host
          .state(e.call, e.urgent)
          .then((reply) => this.feed({ is: "state", op: e.op, reply }));
        break;
      case "attempt": {
        const sentMs = performance.now();
        void this.sender.attempt(e.attempt, e.hook, e.launch).then((result) => {
          this.host.attempted(
            result.is === "failed"
              ? result.why
              : result.is === "answered"
                ? `${Math.floor(result.status / 100)}xx`
                : result.is,
            performance.now() - sentMs,
          );
          this.feed({ is: "attempted", attempt: e.attempt, result });
        });
        break;
      }
      case "abort":
        this.sender.abort(e.attempt);
        break;
      case "reply":
        this.asked.get(e.req)?.({ status: e.status, body: e.body });
        break;
      case "settled":
        this.host.settled(e.outcome, e.tookMs);
        break;
      case "log":
        this.host.log(e);
        break;
    }
  }
}
