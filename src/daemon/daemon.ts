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
  CommandReply,
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
import { asError, settled } from "../transport/settled.js";
import { WorkerClient } from "../transport/worker-client.js";

const TICK_MS = 200;
/** Minimum time between log lines about withheld messages. */
const WITHHELD_LOG_INTERVAL_MS = 1_000;
/** New jobs are rejected while more than this share of the heap is in use after a full garbage collection. */
const MAX_HEAP_USE_SHARE = 0.75;

/** Maximum size of V8's old space in MB. V8's own limit includes the young generation, so only a part of it is counted. */
function maxOldSpaceMb(): number {
  const optionMb = process.execArgv
    .map(
      (argument) => /^--max[-_]old[-_]space[-_]size=(\d+)$/.exec(argument)?.[1],
    )
    .find((value) => value !== undefined);
  return optionMb === undefined
    ? (getHeapStatistics().heap_size_limit / 2 ** 20) * 0.7
    : Number(optionMb);
}

/** An optional part of the process, such as metrics or webhooks, with the callbacks that it needs. */
interface Extension {
  routes?(limit: MiddlewareHandler): Hono;
  onStoreChanges?(effect: Extract<Effect, { type: "storeChanges" }>): void;
  tick?(): void;
  /** Called for each log event, also if the log level suppresses its line. */
  logged?(event: LogEvent): void;
  /** Called when a call has ended. `waitedMs`: time spent waiting for this controller's share of the rate limit. */
  called?(
    service: "state" | "cloud",
    operation: string,
    outcome: string,
    waitedMs: number,
    tookMs: number,
  ): void;
}

/** Runs one controller: passes inputs to the core and executes the effects that it returns. */
export class Daemon implements RequestHandler {
  private readonly log;
  private readonly core: Controller;
  private readonly state: StoreClient;
  private readonly cloud: CloudClient;
  private readonly workers: WorkerClient;
  private readonly mesh: PeerMesh;
  private lastReachablePeers = "";
  private readonly pendingRequests = new Map<number, (a: Answer) => void>();
  private lastReqId = 0;
  private faults = 0;
  /** Answers and commands that were not sent because the leadership lease had expired. */
  private withheldCount = 0;
  private lastWithheldLogMs = -Infinity;
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
      { ...settings, heapMb: maxOldSpaceMb() },
      tuning,
      performance.now(),
      Date.now(),
    );
    this.state = new StoreClient(settings);
    this.cloud = new CloudClient(settings);
    this.workers = new WorkerClient(settings.maxSockets);
    this.mesh = new PeerMesh(settings, {
      serve: (type, body) => this.serve(type, body),
      storeReachable: () => this.state.isReachable,
      reportError: (error) => this.reportError(error),
    });
    this.state.peers = this.mesh;
  }

  private readonly inconsistencyLog = new RateLimitedLog({
    get nowMs() {
      return performance.now();
    },
    log: (event, fields) => this.write(logEntry(event, fields)),
  });

  /** Adds an extension. Must be called before `run`. */
  addExtension(extension: Extension): void {
    this.extensions.push(extension);
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
  /** Calls the state service for an extension. */
  async callForExtension(
    call: StateCall,
    priority: number,
  ): Promise<StateReply> {
    return (await this.callState(call, priority)).reply;
  }
  /** Logs an event and passes it to the extensions, since the metrics count events. */
  write(entry: LogEntry): void {
    for (const extension of this.extensions) extension.logged?.(entry.msg);
    this.writeUncounted(entry);
  }
  private writeUncounted({ level, msg, fields }: LogEntry): void {
    this.log[level](fields, msg);
  }
  private async callState(
    call: StateCall,
    priority: number,
  ): Promise<{ reply: StateReply; sentMs: number }> {
    if (this.extensions.length === 0) return this.state.call(call, priority);
    const startMs = performance.now();
    const result = await this.state.call(call, priority);
    for (const extension of this.extensions)
      extension.called?.(
        "state",
        call.op,
        result.reply.is,
        result.sentMs - startMs,
        performance.now() - result.sentMs,
      );
    return result;
  }

  private async callCloud(
    call: CloudCall,
    priority: number,
  ): Promise<CloudReply> {
    if (this.extensions.length === 0) return this.cloud.call(call, priority);
    const startMs = performance.now();
    const reply = await this.cloud.call(call, priority);
    for (const extension of this.extensions)
      extension.called?.(
        "cloud",
        call.op,
        reply.kind,
        0,
        performance.now() - startMs,
      );
    return reply;
  }

  async run(): Promise<void> {
    await this.mesh.listen();
    await listen(
      api(
        this,
        this.extensions.flatMap((extension) =>
          extension.routes ? [extension.routes.bind(extension)] : [],
        ),
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

  /** Checks the heap use after each full garbage collection. At other times the heap contains garbage, too. */
  private watchMemory(): void {
    const maxUsedBytes = maxOldSpaceMb() * MAX_HEAP_USE_SHARE * 2 ** 20;
    new PerformanceObserver((list) => {
      if (
        !list
          .getEntries()
          .some(
            (entry) =>
              (entry as { detail?: { kind?: number } }).detail?.kind ===
              constants.NODE_PERFORMANCE_GC_MAJOR,
          )
      )
        return;
      this.feed({
        type: "memory",
        short: getHeapStatistics().used_heap_size > maxUsedBytes,
      });
    }).observe({ entryTypes: ["gc"] });
  }

  private tick(): void {
    const reachable = this.mesh.reachablePeers();
    if (reachable.join() !== this.lastReachablePeers) {
      this.writeUncounted(logEntry("reachable peers changed", { reachable }));
      this.lastReachablePeers = reachable.join();
      this.feed({ type: "peers", up: reachable });
    }
    this.feed({ type: "tick" });
    for (const extension of this.extensions) extension.tick?.();
  }

  /** Handles a request of a peer: a relayed heartbeat or a call to the state service. */
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
    const parsed = parseHeartbeat(body);
    if (!parsed.ok) return { status: 400, body: "" };
    const answer = toHttp(
      await this.ask((reqId) => ({
        type: "heartbeat",
        reqId,
        heartbeat: parsed.value,
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
    const reply = await this.mesh.call(leader, Frame.Heartbeat, body, 2_000);
    if (reply?.status !== 200) this.feed({ type: "leaderUnreachable", zone });
    return reply;
  }

  ready(): boolean {
    return this.core.ready;
  }

  noteMalformedHeartbeat(error: string): void {
    this.inconsistencyLog.warn("malformed heartbeat", error, {});
  }

  reportError(error: Error): void {
    this.faults++;
    this.writeUncounted(
      logEntry("internal error while serving a request", {
        err: error,
        stack: error.stack,
        faults: this.faults,
      }),
    );
  }

  /** A call failed with an error instead of an outcome. */
  reportFailedCall(thrown: unknown): void {
    const error = asError(thrown);
    this.faults++;
    this.writeUncounted(
      logEntry("internal error in a call", {
        err: error,
        stack: error.stack,
        faults: this.faults,
      }),
    );
  }

  /** Passes the outcome of a call to the core; `fallback` if it fails with an error, so that the core gets the reply it waits for. */
  private passOn<Outcome>(
    call: () => Promise<Outcome>,
    fallback: Outcome,
    toInput: (outcome: Outcome) => Input,
  ): void {
    void settled(call, fallback, (error) => this.reportFailedCall(error)).then(
      (outcome) => this.feed(toInput(outcome)),
    );
  }

  /**
   * Rejects if the core throws, so that only this request fails. If the core throws on any other input, the process ends, since
   * the core would never get the reply that it waits for. After the restart it recovers from the stored records.
   */
  ask(input: (reqId: number) => Input): Promise<Answer> {
    return new Promise((resolve, reject) => {
      const reqId = ++this.lastReqId;
      this.pendingRequests.set(reqId, resolve);
      try {
        this.feed(input(reqId));
      } catch (error) {
        this.pendingRequests.delete(reqId);
        reject(asError(error));
      }
    });
  }

  private feed(input: Input): void {
    const effects = this.core.step(input, performance.now(), Date.now());
    for (const effect of effects) this.execute(effect);
  }

  /** Withholds an effect: the leadership lease expired while the process was suspended between a step and its effects. */
  private withhold(effect: Effect): void {
    this.withheldCount++;
    const nowMs = performance.now();
    if (nowMs - this.lastWithheldLogMs > WITHHELD_LOG_INTERVAL_MS) {
      this.lastWithheldLogMs = nowMs;
      this.write(
        logEntry("message withheld after leadership lease expiry", {
          what: effect.type,
          withheld: this.withheldCount,
          leadershipLeaseExpiredMs: Math.round(
            nowMs - this.core.leadershipLease.untilMs,
          ),
        }),
      );
    }
    if (effect.type === "answer")
      this.execute({
        ...effect,
        answer: { kind: "retryLater", afterS: 1, reason: "no permit" },
      });
    else if (effect.type === "inspect")
      setImmediate(() =>
        this.feed({
          type: "inspectReply",
          callId: effect.callId,
          heartbeat: null,
        }),
      );
    else if (effect.type === "workerCommand")
      setImmediate(() =>
        this.feed({
          type: "commandReply",
          callId: effect.callId,
          reply: { kind: "refused" },
        }),
      );
  }

  private sendCommand({
    callId,
    address,
    token,
    incarnation,
    commands,
  }: Extract<Effect, { type: "workerCommand" }>): void {
    this.passOn<CommandReply>(
      () => this.workers.command(address, token, incarnation, commands),
      { kind: "unknown" },
      (reply) => ({ type: "commandReply", callId, reply }),
    );
  }

  private sendStoreCall({
    callId,
    call,
    priority,
  }: Extract<Effect, { type: "storeCall" }>): void {
    const startMs = performance.now();
    this.passOn(
      () => this.callState(call, priority),
      {
        reply: { is: "unknown", why: "internal error" },
        sentMs: startMs,
      },
      ({ reply, sentMs }) => ({ type: "storeReply", callId, reply, sentMs }),
    );
  }

  private sendCloudCall({
    callId,
    call,
    priority,
  }: Extract<Effect, { type: "cloudCall" }>): void {
    this.passOn<CloudReply>(
      () => this.callCloud(call, priority),
      { kind: "failed", why: "internal error" },
      (reply) => ({ type: "cloudReply", callId, reply }),
    );
  }

  private sendInspection({
    callId,
    address,
    fence,
  }: Extract<Effect, { type: "inspect" }>): void {
    this.passOn(
      () => this.workers.inspect(address, fence),
      null,
      (heartbeat) => ({ type: "inspectReply", callId, heartbeat }),
    );
  }

  private execute(e: Effect): void {
    if (!this.core.maySend(e, performance.now())) return this.withhold(e);
    switch (e.type) {
      case "answer":
        this.pendingRequests.get(e.reqId)?.(e.answer);
        this.pendingRequests.delete(e.reqId);
        break;
      case "storeCall":
        this.sendStoreCall(e);
        break;
      case "cloudCall":
        this.sendCloudCall(e);
        break;
      case "storeChanges":
        for (const x of this.extensions) x.onStoreChanges?.(e);
        break;
      case "workerCommand":
        this.sendCommand(e);
        break;
      case "inspect":
        this.sendInspection(e);
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
