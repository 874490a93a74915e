import type { Settings } from "../config/settings.js";
import {
  type Change,
  type Condition,
  HOLD_ENDED,
  type StateCall,
  type StateReply,
  type Write,
} from "../protocol/state.js";
import { bytesOf, parseKey, FINAL_PREFIX } from "../storage/records.js";
import { DependencyTracker } from "./jobs/dependency-tracker.js";
import type { TransactionOutcome, Context } from "./context.js";
import {
  type Answer,
  OWN_LIMIT,
  type CloudCall,
  type CloudReply,
  type CommandReply,
  type Effect,
  type Input,
  CallPriority,
} from "./effects.js";
import { PartitionMap } from "./leadership/partition-map.js";
import { NO_USE } from "./machines/resource-ledger.js";
import { ObservedLimits, type ResourceAmounts } from "./quota/index.js";
import { PartitionLeader } from "./scheduling/partition-leader.js";
import { StoreCache, type StoreEvent } from "./store/store-cache.js";
import type {
  JobSpec,
  MachineType,
  Command,
  Heartbeat,
  Tuning,
} from "./model.js";
import { OrphanedTasks } from "./leadership/orphaned-tasks.js";
import { Leadership } from "./leadership/leadership.js";
import { maxRedirects, Redirects } from "./machines/redirects.js";
import { StoreWatcher } from "./store/store-watcher.js";
import {
  type LogEvent,
  type LogEventFields,
  logEntry,
} from "../logging/events.js";
import { RateLimitedLog } from "../logging/rate-limited-log.js";
import type { PendingAssignment } from "./jobs/job-partitioner.js";
import { IndeterminateTransactions } from "./store/indeterminate-transactions.js";
import { JobAdmission } from "./jobs/job-admission.js";
import { JobAssigner } from "./jobs/job-assigner.js";
import { JobCancellation } from "./jobs/job-cancellation.js";
import { JobStatus } from "./jobs/job-status.js";
import type { RequestReplies } from "./jobs/request-replies.js";
import { LeaderlessPartitions } from "./leadership/leaderless-partitions.js";

/** Who waits for the end of a call, which comes once. */
function ended<F>(ops: Map<number, F>, op: number): F | undefined {
  const done = ops.get(op);
  ops.delete(op);
  return done;
}

/** How things stand, for metrics: of the groups whose master this controller is. */
interface Statistics {
  unfinished: number;
  partitions: number;
  machines: number;
  idle: number;
  queuedPlain: number;
  queuedAccelerated: number;
  running: number;
  /** Machines whose reports arrive and which get nothing. */
  unreachableMachines: number;
  /** Reports that were no newer than what was known, since these groups were taken. */
  staleHeartbeats: number;
  /** Jobs that fail wherever they run. */
  quarantinedJobs: number;
  /** The longest that a gang which has not begun has waited, in seconds. */
  longestGangS: number;
  /** Questions refused so far, and for how long the job has been refused that was refused longest, in seconds. */
  refused: number;
  refusedForS: number;
}

/** So long without the state service and without any peer a controller tells users to go elsewhere. */
const ISOLATED_AFTER_MS = 6_000;
/**
 * Latest jobs assigned to a partition since it wrote its capacity that are remembered; the oldest is forgotten. Each was a commit, so
 * there are as many a second as the state service takes changes, however many machines there are; each assignment reads them all.
 */
const MAX_PENDING_ASSIGNMENTS = 1_000;
/** What is left of jobs that are over is looked for this often. */
const SWEEP_MS = 5_000;
/** The catalog is read anew after this time; if reading it failed, sooner, and soonest while there is none. */
const CATALOG_MS = 60_000;
const CATALOG_RETRY_MS = 10_000;
const FIRST_CATALOG_RETRY_MS = 1_000;

/** One team in one group. */
export interface TeamStatistics {
  team: string;
  partition: string;
  /** Infinity: none. */
  limit: ResourceAmounts;
  guarantee: ResourceAmounts;
  /** Part of the limit that the group may use. */
  share: ResourceAmounts;
  used: ResourceAmounts;
  /** Waiting work that has a place, now or to be rented. */
  waiting: ResourceAmounts;
  /** Of that, what the team is promised and does not have. */
  deficit: ResourceAmounts;
  /** Part of the limit on its way to other groups. */
  inFlight: ResourceAmounts;
  /** Stopped of others for this team since this controller took the group. */
  reclaimed: ResourceAmounts;
}

/**
 * The whole of one controller without its sockets and clocks: takes inputs, returns effects. Everything that
 * several controllers must agree on goes through conditional commits at the state service.
 */
export class Controller implements Context {
  nowMs: number;
  wallMs: number;
  catalog: MachineType[] | null = null;
  readonly partitions: PartitionMap;
  readonly cache = new StoreCache();
  readonly leaders = new Map<string, PartitionLeader>();
  readonly leadership: Leadership;
  readonly dependencies: DependencyTracker;
  private readonly orphanedTasks: OrphanedTasks;
  private readonly leaderlessPartitions: LeaderlessPartitions;
  private readonly inconsistencyLog = new RateLimitedLog(this);
  private readonly observedLimits: ObservedLimits;
  private readonly watcher: StoreWatcher;
  private readonly jobAssigner: JobAssigner;
  private readonly jobStatus: JobStatus;
  private readonly jobAdmission: JobAdmission;
  private readonly jobCancellation: JobCancellation;
  private readonly indeterminate = new IndeterminateTransactions();
  private readonly redirects: Redirects;
  private effects: Effect[] = [];
  private ops = 0;
  private readonly stateOps = new Map<
    number,
    (r: StateReply, sentMs: number) => void
  >();
  private readonly cloudOps = new Map<number, (r: CloudReply) => void>();
  private readonly commandOps = new Map<number, (r: CommandReply) => void>();
  private readonly inspectOps = new Map<
    number,
    (r: Heartbeat | null) => void
  >();
  private nextCatalogMs = 0;
  private askingCatalog = false;
  private cloudDown = false;
  /** Handed to each group since it last wrote its room. */
  readonly pendingAssignments = new Map<string, PendingAssignment[]>();
  private lastSweepMs = 0;

  constructor(
    readonly settings: Settings,
    readonly tuning: Tuning,
    nowMs: number,
    wallMs: number,
  ) {
    this.nowMs = nowMs;
    this.wallMs = wallMs;
    this.partitions = new PartitionMap(settings);
    this.redirects = new Redirects(maxRedirects(settings.memMb));
    this.observedLimits = new ObservedLimits(this);
    this.dependencies = new DependencyTracker(this, {
      assign: (spec) => this.jobAssigner.assign(spec),
      lookUpFinalRecord: (id) => this.jobStatus.lookUpFinalRecord(id),
    });
    this.leadership = new Leadership(
      this,
      (call, done) =>
        this.state(call, CallPriority.Lease, (r, sentMs) => done(r, sentMs)),
      () => this.dropLeaders(),
      () => this.updateLeaders(),
      (partition) =>
        this.leaders.get(partition)?.state.unreachableIn() ?? false,
    );
    this.leaderlessPartitions = new LeaderlessPartitions(this, this.leadership);
    this.orphanedTasks = new OrphanedTasks(
      this,
      this.leaderlessPartitions,
      (spec) => this.jobAssigner.assign(spec),
    );
    const state = (
      call: StateCall,
      priority: CallPriority,
      done: (r: StateReply, sentMs: number) => void,
    ): void => this.state(call, priority, done);
    const later = (req: number, why: string, afterS = 1): void =>
      this.answer(req, { kind: "retryLater", afterS, why });
    this.watcher = new StoreWatcher(
      this,
      this.leadership,
      state,
      (seen) => this.onStoreEvents(seen),
      (from, to, changes) => this.publishChanges(from, to, changes),
      (afterMs) => this.effects.push({ type: "wake", afterMs }),
      later,
    );
    const replies: RequestReplies = {
      answer: (request, answer) => this.answer(request, answer),
      retryLater: later,
    };
    const { leaders, leadership, dependencies, watcher } = this;
    this.jobAssigner = new JobAssigner(this, leaders);
    this.jobStatus = new JobStatus(this, {
      replies,
      leaders,
      dependencies,
      watcher,
      callStore: state,
    });
    this.jobAdmission = new JobAdmission(this, {
      replies,
      leadership,
      dependencies,
      watcher,
      status: this.jobStatus,
      assigner: this.jobAssigner,
    });
    this.jobCancellation = new JobCancellation(this, {
      replies,
      watcher,
      status: this.jobStatus,
    });
  }

  step(input: Input, nowMs: number, wallMs: number): Effect[] {
    this.nowMs = nowMs;
    this.wallMs = wallMs;
    this.dispatch(input);
    for (const m of this.leaders.values()) {
      m.place();
      m.sendCommands();
    }
    const out = this.effects;
    this.effects = [];
    return out;
  }

  /**
   * Whether an effect of the last step may still go out at this moment. Invariant (ran_cancelled, one master a group): what
   * only a permit allows is not sent once that has ended, although the step that decided it came before.
   */
  mayLeave(e: Effect, nowMs: number): boolean {
    const needsPermit =
      e.type === "command" ||
      (e.type === "answer" && e.answer.kind === "commands");
    return !needsPermit || nowMs < this.leadership.leadershipLeaseUntilMs;
  }

  /**
   * Ready to take requests: it has read what is alive. A state service that nobody reaches makes nobody unready, since the load
   * balancer would then keep all of them out beyond its end; one that reaches neither it nor any peer is cut off itself.
   */
  get ready(): boolean {
    return (
      this.cache.ready &&
      !(
        this.settings.peers.length > 0 &&
        this.leadership.isIsolated &&
        this.leadership.storeSilenceMs > ISOLATED_AFTER_MS
      )
    );
  }

  private dispatch(i: Input): void {
    switch (i.type) {
      case "tick":
        return this.tick();
      case "memory":
        return this.jobAdmission.setMemoryShort(i.short);
      case "wake":
        return this.watcher.onWake();
      case "submit":
        return this.jobAdmission.submit(i.req, i.spec, i.dependsOn ?? []);
      case "status":
        return this.jobStatus.answerAfterRead(i.req, i.id);
      case "cancel":
        return this.watcher.afterRead(i.req, i.id, (req, id) =>
          this.jobCancellation.cancel(req, id),
        );
      case "heartbeat":
        return this.answer(i.req, this.heartbeat(i.heartbeat, i.relayed));
      case "leaderUnreachable":
        return this.leadership.noteUnserved(
          this.partitions.partitionOf(i.zone),
        );
      case "peers":
        return this.leadership.setReachablePeers(i.up);
      case "state":
        return ended(this.stateOps, i.op)?.(i.reply, i.sentMs);
      case "cloud":
        return ended(this.cloudOps, i.op)?.(i.reply);
      case "command":
        return ended(this.commandOps, i.op)?.(i.reply);
      case "inspectReply":
        return ended(this.inspectOps, i.op)?.(i.heartbeat);
    }
  }

  // ---- effects -------------------------------------------------------------------------------------------

  log<E extends LogEvent>(event: E, fields: LogEventFields[E]): void {
    this.effects.push({ type: "log", ...logEntry(event, fields) });
  }
  private answer(req: number, answer: Answer): void {
    this.effects.push({ type: "answer", req, answer });
  }
  private state(
    call: StateCall,
    priority: CallPriority,
    done: (r: StateReply, sentMs: number) => void,
  ): void {
    const op = ++this.ops;
    this.stateOps.set(op, done);
    this.effects.push({ type: "state", op, call, priority });
  }
  commit(
    conditions: Condition[],
    writes: Write[],
    priority: CallPriority,
    done: (end: TransactionOutcome) => void,
  ): void {
    this.state({ op: "commit", conditions, writes }, priority, (r) => {
      if (r.is === "committed") {
        for (const w of writes)
          if (w.op === "put") this.cache.noteCommitted(w.key, r.epoch);
        return done("ok");
      }
      // Repeated unchanged it would be refused for ever: everything written is kept within the limits, now and next.
      if (r.is === "refused" && r.why === HOLD_ENDED) {
        for (const w of writes)
          if (w.op === "put" && w.hold !== undefined)
            this.leadership.storeLeaseEnded(w.hold);
      } else if (r.is === "refused" && r.why === "400")
        this.log("transaction rejected by the store", {
          writes: writes.map((w) => [
            w.op,
            w.key,
            w.op === "put" ? bytesOf(w.value as object) : 0,
          ]),
        });
      if (r.is === "unknown") this.indeterminate.note(writes, this.nowMs);
      done(
        r.is === "conflict"
          ? "conflict"
          : r.is === "refused"
            ? "refused"
            : "unknown",
      );
    });
  }
  cloud(
    call: CloudCall,
    priority: CallPriority,
    done: (reply: CloudReply) => void,
  ): void {
    const op = ++this.ops;
    this.cloudOps.set(op, (r) => {
      const down = r.kind === "failed" && r.why !== OWN_LIMIT;
      if (r.kind === "failed" && !down) return done(r);
      if (down !== this.cloudDown) {
        this.cloudDown = down;
        if (r.kind === "failed")
          this.log("cloud unavailable", { reason: r.why });
        else this.log("cloud available again", {});
      }
      done(r);
    });
    this.effects.push({ type: "cloud", op, call, priority });
  }
  command(
    address: string,
    token: number,
    incarnation: number,
    commands: Command[],
    done: (reply: CommandReply) => void,
  ): void {
    const op = ++this.ops;
    this.commandOps.set(op, done);
    this.effects.push({
      type: "command",
      op,
      address,
      token,
      incarnation,
      commands,
    });
  }

  inspect(address: string, done: (report: Heartbeat | null) => void): void {
    const op = ++this.ops;
    this.inspectOps.set(op, done);
    this.effects.push({ type: "inspect", op, address });
  }

  // ---- the copy of the state service ---------------------------------------------------------------------

  private onStoreEvents(seen: readonly StoreEvent[]): void {
    for (const s of seen) {
      switch (s.kind) {
        case "group":
          break;
        case "job":
          for (const m of this.leaders.values()) m.syncJob(s.job);
          this.dependencies.onJob(s.job);
          break;
        case "jobGone":
          for (const m of this.leaders.values()) m.removeJob(s.id);
          this.dependencies.onJobRemoved(s.id);
          break;
        case "past":
          this.dependencies.onFinalRecord(s.id, s.past);
          break;
        case "fin": {
          const job = this.cache.jobs.get(s.id);
          if (job)
            for (const m of this.leaders.values())
              if (m.state.jobs.has(s.id)) m.syncJob(job);
          break;
        }
        case "room":
          this.pendingAssignments.delete(s.partition);
          break;
        case "unreadable":
          this.inconsistencyLog.warn("unreadable record", s.key, {});
          break;
        default:
          break;
      }
    }
    this.updateLeaders();
    this.dependencies.act();
  }

  /** For those who follow the ends of jobs, and for the log; this core has no need of it. */
  private publishChanges(
    from: number,
    to: number,
    changes: readonly Change[],
  ): void {
    for (const late of this.indeterminate.foundIn(changes, this.nowMs))
      this.log("indeterminate transaction was applied", late);
    if (!this.tuning.tellEnds) return;
    const theirs = changes.filter(
      (c) => c.key.startsWith(FINAL_PREFIX) || parseKey(c.key) === null,
    );
    this.effects.push({ type: "storeChanges", from, to, changes: theirs });
  }
  /** The hold that this controller lives under, and until when (steady time, ms) it may act on what it owns under it. */
  get leadershipLease(): { hold: number | null; untilMs: number } {
    return {
      hold: this.leadership.storeLeaseId,
      untilMs: this.leadership.leadershipLeaseUntilMs,
    };
  }

  /** How things stand, for metrics: of the groups whose master this controller is. */
  get statistics(): Statistics {
    const read = this.watcher.refusals;
    const oldest = Math.min(
      read.oldestMs ?? Infinity,
      this.jobStatus.finalStatus.oldestMs ?? Infinity,
    );
    const f: Statistics = {
      unfinished: this.cache.jobs.size,
      partitions: this.leaders.size,
      machines: 0,
      idle: 0,
      queuedPlain: 0,
      queuedAccelerated: 0,
      running: 0,
      unreachableMachines: 0,
      staleHeartbeats: 0,
      quarantinedJobs: 0,
      longestGangS: 0,
      refused: read.refused + this.jobStatus.finalStatus.refused,
      refusedForS: oldest === Infinity ? 0 : (this.nowMs - oldest) / 1000,
    };
    for (const m of this.leaders.values()) {
      const { state: own } = m;
      f.unreachableMachines += own.unreachableMachines().length;
      f.staleHeartbeats += m.staleHeartbeats;
      for (const j of own.jobs.values()) {
        if (j.quarantinedSinceMs !== null) f.quarantinedJobs++;
        else if (
          j.view.spec.kind === "gang" &&
          !j.waiting.isEmpty &&
          j.active.size === 0
        )
          f.longestGangS = Math.max(
            f.longestGangS,
            (this.wallMs - j.view.readyAt) / 1000,
          );
      }
      const q = own.backlog();
      f.queuedPlain += q.plain;
      f.queuedAccelerated += q.accelerated;
      f.machines += own.workers.size;
      for (const w of own.workers.values()) {
        f.running += w.tasks.size;
        if (w.tasks.size === 0) f.idle++;
      }
    }
    return f;
  }

  /** How teams stand in the groups whose master this controller is; amounts in CPUs and accelerators. */
  get teamStatistics(): TeamStatistics[] {
    const out: TeamStatistics[] = [];
    for (const m of this.leaders.values()) {
      const used = m.state.usage();
      for (const t of this.settings.teams.values()) {
        const own = used.get(t.name) ?? NO_USE;
        const known = m.state.ledger.useOf(t.name);
        const waiting = m.quota.waiting(t.name);
        const lacks = m.guarantees.lacks(t.name, own) ?? [0, 0];
        out.push({
          team: t.name,
          partition: m.partition,
          limit: [t.cpusMax, t.gpusMax],
          guarantee: [t.cpus, t.gpus],
          share: m.quota.share(t.name),
          used: [known.cpus, known.gpus],
          waiting,
          deficit: [
            Math.max(0, Math.min(waiting[0], lacks[0])),
            Math.max(0, Math.min(waiting[1], lacks[1])),
          ],
          inFlight: m.quota.inFlight(t.name),
          reclaimed: m.reclaims.reclaimed.get(t.name) ?? [0, 0],
        });
      }
    }
    return out;
  }

  /** A master exists exactly while the mirror shows its token as this controller's. */
  private updateLeaders(): void {
    for (const [partition, m] of this.leaders) {
      if (this.leadership.tokenOf(partition) === m.token) continue;
      this.leaders.delete(partition);
      this.log("partition lost", {
        partition: partition,
        token: m.token,
        owner: this.cache.partitions.get(partition)?.owner ?? null,
      });
    }
    for (const partition of this.partitions.names) {
      const token = this.leadership.tokenOf(partition);
      if (token === null || this.leaders.has(partition)) continue;
      // The mirror reaches beyond the token's revision, and every commit of the former master depended on the
      // record that this token replaced: its roster and splits are all here.
      this.leaders.set(
        partition,
        new PartitionLeader(
          this,
          partition,
          token,
          () =>
            this.leadership.mayAct() &&
            this.leadership.tokenOf(partition) === token,
        ),
      );
      this.log("partition acquired", { partition: partition, token });
    }
  }
  private dropLeaders(): void {
    for (const [partition, m] of this.leaders)
      this.log("partition lost", {
        partition: partition,
        token: m.token,
        owner: null,
      });
    this.leaders.clear();
  }

  readAgeMs(): number {
    return this.leadership.readAgeMs;
  }
  leaderlessToken(partition: string): number | null {
    return this.leaderlessPartitions.token(partition);
  }

  // ---- users ---------------------------------------------------------------------------------------------

  notePendingAssignment(partition: string, spec: JobSpec, tasks: number): void {
    let list = this.pendingAssignments.get(partition);
    if (!list) this.pendingAssignments.set(partition, (list = []));
    list.push({ spec, tasks });
    if (list.length > MAX_PENDING_ASSIGNMENTS) list.shift();
  }

  // ---- workers -------------------------------------------------------------------------------------------

  private heartbeat(r: Heartbeat, relayed: boolean): Answer {
    const partition = this.partitions.partitionOf(r.zone);
    const m = this.leaders.get(partition);
    if (m) {
      if (this.leadership.mayAct()) return m.heartbeat(r);
      return { kind: "retryLater", afterS: 1, why: "no permit" };
    }
    const g = this.cache.partitions.get(partition);
    if (!g || g.owner === this.settings.label || relayed)
      return { kind: "redirect", leader: null };
    // It has been served under this very token, or was sent there a moment ago, and yet it comes here: its
    // master is out of its reach.
    const again =
      r.token === g.version ||
      this.redirects.isBack(r.worker, g.version, this.nowMs);
    if (again) return { kind: "relay", leader: g.owner };
    this.redirects.note(r.worker, g.version, this.nowMs);
    return { kind: "redirect", leader: g.owner };
  }

  // ---- time ----------------------------------------------------------------------------------------------

  private tick(): void {
    this.leadership.tick();
    this.watcher.watch();
    this.watcher.readForWaiting();
    this.refreshCatalog();
    this.observedLimits.tick(this.leadership.storeLeaseId);
    const agreed = this.observedLimits.areAgreed();
    for (const m of this.leaders.values()) m.tick(agreed);
    if (this.leaders.size > 0) {
      this.orphanedTasks.tick();
      this.leaderlessPartitions.tick();
    }
    this.dependencies.act();
    if (this.nowMs - this.lastSweepMs > SWEEP_MS) {
      this.lastSweepMs = this.nowMs;
      this.sweepLeftovers();
    }
  }

  private refreshCatalog(): void {
    if (this.askingCatalog || this.nowMs < this.nextCatalogMs) return;
    this.askingCatalog = true;
    this.cloud({ op: "catalog" }, CallPriority.UserRequest, (r) => {
      this.askingCatalog = false;
      if (r.kind !== "catalog") {
        this.nextCatalogMs =
          this.nowMs +
          (this.catalog ? CATALOG_RETRY_MS : FIRST_CATALOG_RETRY_MS);
        return;
      }
      this.catalog = r.types;
      this.nextCatalogMs = this.nowMs + CATALOG_MS;
    });
  }

  /** Finished ranges of jobs that are over, as many as did not fit the transaction that ended them. */
  private sweepLeftovers(): void {
    const mine = this.leaders.get(this.settings.label);
    if (!mine || !this.leadership.mayAct()) return;
    const keys = this.cache
      .leftovers()
      .flatMap((id) => this.cache.sideKeys(id))
      .slice(0, this.settings.state.txnOps);
    if (keys.length > 0)
      mine.state.commit(
        [],
        keys.map((key) => ({ op: "delete", key })),
        CallPriority.Background,
        () => {},
      );
  }
}
