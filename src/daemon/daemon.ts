import { constants, PerformanceObserver } from "node:perf_hooks";
import { getHeapStatistics } from "node:v8";
import { pino } from "pino";
import type { Hono, MiddlewareHandler } from "hono";
import type { Settings } from "../config/settings.js";
import { Controller } from "../coordination/controller.js";
import { RateLimitedLog } from "../logging/rate-limited-log.js";
import type {
  Answer,
  CloudCall,
  CloudReply,
  Effect,
  Input,
} from "../coordination/effects.js";
import { type LogEntry, type LogEvent, logEntry } from "../logging/events.js";
import type { Tuning } from "../coordination/model.js";
import { StoreClient } from "../storage/store-client.js";
import { CloudClient } from "../transport/cloud-client.js";
import { Frame } from "../protocol/frames.js";
import type { StateCall, StateReply } from "../protocol/state.js";
import { parseHeartbeat } from "../protocol/workers.js";
import { parseJson } from "../transport/http-client.js";
import { PeerMesh } from "../transport/peer-mesh.js";
import {
  api,
  type RequestHandler,
  listen,
  toHttp,
} from "../transport/http-server.js";
import { WorkerClient } from "../transport/worker-client.js";

const TICK_MS = 200;
/** What a permit that ended kept from leaving is logged at most this often. */
const WITHHELD_LOG_MS = 1_000;
/** Part of the heap that may be in use right after a full collection: beyond it, nothing new is accepted. */
const HEAP_FULL_SHARE = 0.75;

/** What the old space may take, in MB: V8 states its limit with the young generation's. */
function heapMb(): number {
  const stated = process.execArgv
    .map((a) => /^--max[-_]old[-_]space[-_]size=(\d+)$/.exec(a)?.[1])
    .find((x) => x !== undefined);
  return stated === undefined
    ? (getHeapStatistics().heap_size_limit / 2 ** 20) * 0.7
    : Number(stated);
}

/** What may be turned on beside the core. */
interface Extension {
  routes?(limit: MiddlewareHandler): Hono;
  onStoreChanges?(e: Extract<Effect, { type: "storeChanges" }>): void;
  tick?(): void;
  /** A line of the log, whether it is written or not. */
  logged?(event: LogEvent): void;
  /** A call ended. `waitedMs`: for this controller's own limit. */
  called?(
    service: "state" | "cloud",
    op: string,
    outcome: string,
    waitedMs: number,
    tookMs: number,
  ): void;
}

/** Runs one controller: feeds inputs to the core and carries out what it returns. */
export class Daemon implements RequestHandler {
  private readonly log;
  private readonly core: Controller;
  private readonly state: StoreClient;
  private readonly cloud: CloudClient;
  private readonly workers: WorkerClient;
  private readonly mesh: PeerMesh;
  private up = "";
  private readonly pending = new Map<number, (a: Answer) => void>();
  private requests = 0;
  private faults = 0;
  /** Answers and commands that were not sent because their permit had ended. */
  private withheldCount = 0;
  private toldWithheldMs = -Infinity;
  private readonly extensions: Extension[] = [];

  constructor(
    private readonly settings: Settings,
    tuning: Tuning,
  ) {
    this.log = pino(
      {
        level: process.env["LOG_LEVEL"] ?? "info",
        base: { node: settings.label },
        timestamp: pino.stdTimeFunctions.isoTime,
      },
      pino.destination({ fd: 2, sync: true }),
    );
    this.core = new Controller(
      { ...settings, heapMb: heapMb() },
      tuning,
      performance.now(),
      Date.now(),
    );
    this.state = new StoreClient(settings);
    this.cloud = new CloudClient(settings);
    this.workers = new WorkerClient(settings.maxSockets);
    this.mesh = new PeerMesh(settings, {
      serve: (type, body) => this.serve(type, body),
      stateOk: () => this.state.isReachable,
    });
    this.state.peers = this.mesh;
  }

  private readonly inconsistencyLog = new RateLimitedLog({
    get nowMs() {
      return performance.now();
    },
    log: (event, fields) => this.write(logEntry(event, fields)),
  });

  /** Before `run`. */
  add(extra: Extension): void {
    this.extensions.push(extra);
  }
  get leadershipLease(): { storeLease: number | null; untilMs: number } {
    return this.core.leadershipLease;
  }
  get teamStatistics(): Controller["teamStatistics"] {
    return this.core.teamStatistics;
  }
  get statistics(): Controller["statistics"] {
    return this.core.statistics;
  }
  /** A call to the state service on behalf of something turned on. */
  async callForExtension(call: StateCall, urgent: number): Promise<StateReply> {
    return (await this.callState(call, urgent)).reply;
  }
  /** Writes a line that the metrics count. */
  write(entry: LogEntry): void {
    for (const x of this.extensions) x.logged?.(entry.msg);
    this.writeUncounted(entry);
  }
  private writeUncounted({ level, msg, fields }: LogEntry): void {
    this.log[level](fields, msg);
  }
  private async callState(
    call: StateCall,
    urgent: number,
  ): Promise<{ reply: StateReply; sentMs: number }> {
    if (this.extensions.length === 0) return this.state.call(call, urgent);
    const askedMs = performance.now();
    const r = await this.state.call(call, urgent);
    for (const x of this.extensions)
      x.called?.(
        "state",
        call.op,
        r.reply.is,
        r.sentMs - askedMs,
        performance.now() - r.sentMs,
      );
    return r;
  }

  private async callCloud(
    call: CloudCall,
    urgent: number,
  ): Promise<CloudReply> {
    if (this.extensions.length === 0) return this.cloud.call(call, urgent);
    const askedMs = performance.now();
    const reply = await this.cloud.call(call, urgent);
    for (const x of this.extensions)
      x.called?.("cloud", call.op, reply.kind, 0, performance.now() - askedMs);
    return reply;
  }

  async run(): Promise<void> {
    await this.mesh.listen();
    await listen(
      api(
        this,
        this.extensions.flatMap((x) => (x.routes ? [x.routes.bind(x)] : [])),
      ),
      this.settings,
    );
    this.writeUncounted(
      logEntry("controller started", {
        area: this.settings.area,
        partitions: this.core.partitions.names,
      }),
    );
    this.feed({ type: "tick" });
    setInterval(() => this.tick(), TICK_MS);
    this.watchMemory();
  }

  /** What a full collection leaves is what is really needed; between them the heap may look full and hold little. */
  private watchMemory(): void {
    const most = heapMb() * HEAP_FULL_SHARE * 2 ** 20;
    new PerformanceObserver((list) => {
      if (
        !list
          .getEntries()
          .some(
            (e) =>
              (e as { detail?: { kind?: number } }).detail?.kind ===
              constants.NODE_PERFORMANCE_GC_MAJOR,
          )
      )
        return;
      this.feed({
        type: "memory",
        short: getHeapStatistics().used_heap_size > most,
      });
    }).observe({ entryTypes: ["gc"] });
  }

  private tick(): void {
    const up = this.mesh.up();
    if (up.join() !== this.up) {
      this.writeUncounted(
        logEntry("reachable peers changed", { reachable: up }),
      );
      this.up = up.join();
      this.feed({ type: "peers", up });
    }
    this.feed({ type: "tick" });
    for (const x of this.extensions) x.tick?.();
  }

  /** What a peer asks for: to answer a worker's report, or to carry a call to the state service. */
  private async serve(
    type: typeof Frame.Heartbeat | typeof Frame.StoreCall,
    body: string,
  ): Promise<{ status: number; body: string }> {
    if (type === Frame.StoreCall) {
      const call = parseJson(body) as StateCall | undefined;
      if (typeof call?.op !== "string") return { status: 400, body: "" };
      return {
        status: 200,
        body: JSON.stringify(await this.state.callForPeer(call)),
      };
    }
    const r = parseHeartbeat(body);
    if (!r.ok) return { status: 400, body: "" };
    const answer = toHttp(
      await this.ask((reqId) => ({
        type: "heartbeat",
        reqId,
        heartbeat: r.value,
        relayed: true,
      })),
    );
    return { status: answer.status, body: await answer.text() };
  }

  async relay(
    leader: string,
    zone: string,
    body: string,
  ): Promise<{ status: number; body: string } | null> {
    const r = await this.mesh.call(leader, Frame.Heartbeat, body, 2_000);
    if (r?.status !== 200) this.feed({ type: "leaderUnreachable", zone });
    return r;
  }

  ready(): boolean {
    return this.core.ready;
  }

  malformed(error: string): void {
    this.inconsistencyLog.warn("malformed heartbeat", error, {});
  }

  fault(error: Error): void {
    this.faults++;
    this.writeUncounted(
      logEntry("internal error while serving a request", {
        err: error,
        stack: error.stack,
        faults: this.faults,
      }),
    );
  }

  /**
   * Rejects when the core throws: that ends the one request, not the service. Anything else that throws there ends the
   * process: what the core waited for would never be told to it, and it is started again from the records.
   */
  ask(input: (req: number) => Input): Promise<Answer> {
    return new Promise((resolve, reject) => {
      const req = ++this.requests;
      this.pending.set(req, resolve);
      try {
        this.feed(input(req));
      } catch (e) {
        this.pending.delete(req);
        reject(e instanceof Error ? e : new Error(String(e)));
      }
    });
  }

  private feed(input: Input): void {
    const effects = this.core.step(input, performance.now(), Date.now());
    for (const e of effects) this.carryOut(e);
  }

  /** The process stood still between a step and the carrying out of its effects, and its permit has ended meanwhile. */
  private withhold(e: Effect): void {
    this.withheldCount++;
    const now = performance.now();
    if (now - this.toldWithheldMs > WITHHELD_LOG_MS) {
      this.toldWithheldMs = now;
      this.write(
        logEntry("message withheld after leadership lease expiry", {
          what: e.type,
          withheld: this.withheldCount,
          leadershipLeaseExpiredMs: Math.round(
            now - this.core.leadershipLease.untilMs,
          ),
        }),
      );
    }
    if (e.type === "answer")
      this.carryOut({
        ...e,
        answer: { kind: "retryLater", afterS: 1, reason: "no permit" },
      });
    else if (e.type === "workerCommand")
      setImmediate(() =>
        this.feed({
          type: "commandReply",
          callId: e.callId,
          reply: { kind: "refused" },
        }),
      );
  }

  private async sendCommand(
    effect: Extract<Effect, { type: "workerCommand" }>,
  ): Promise<void> {
    const { callId, address, token, incarnation, commands } = effect;
    const reply = await this.workers.command(
      address,
      token,
      incarnation,
      commands,
    );
    this.feed({ type: "commandReply", callId, reply });
  }

  private carryOut(e: Effect): void {
    if (!this.core.maySend(e, performance.now())) return this.withhold(e);
    switch (e.type) {
      case "answer":
        this.pending.get(e.reqId)?.(e.answer);
        this.pending.delete(e.reqId);
        break;
      case "storeCall":
        void this.callState(e.call, e.priority).then(({ reply, sentMs }) =>
          this.feed({ type: "storeReply", callId: e.callId, reply, sentMs }),
        );
        break;
      case "cloudCall":
        void this.callCloud(e.call, e.priority).then((reply) =>
          this.feed({ type: "cloudReply", callId: e.callId, reply }),
        );
        break;
      case "storeChanges":
        for (const x of this.extensions) x.onStoreChanges?.(e);
        break;
      case "workerCommand":
        void this.sendCommand(e);
        break;
      case "inspect":
        void this.workers.inspect(e.address).then((heartbeat) =>
          this.feed({
            type: "inspectReply",
            callId: e.callId,
            heartbeat,
          }),
        );
        break;
      case "wake":
        setTimeout(() => this.feed({ type: "wake" }), e.afterMs);
        break;
      case "log":
        this.write(e);
        break;
    }
  }
}
