/**
 * The core of one controller: creates the parts and connects them, provides their shared context, dispatches inputs to the parts that
 * handle them, and collects their effects.
 */
import type { Settings } from "../config/settings.js";
import {
  type LogEvent,
  type LogEventFields,
  logEntry,
} from "../logging/events.js";
import { RateLimitedLog } from "../logging/rate-limited-log.js";
import type { Change, Condition, Write } from "../protocol/state.js";
import { FINAL_PREFIX, parseKey } from "../storage/records.js";
import type { Context, TransactionOutcome } from "./context.js";
import {
  type Answer,
  CallPriority,
  type CloudCall,
  type CloudReply,
  type CommandReply,
  type Effect,
  type Input,
  type TokenMessage,
} from "./effects.js";
import { DependencyTracker } from "./jobs/dependency-tracker.js";
import type { PendingAssignment } from "./jobs/partition-capacity.js";
import { JobAdmission } from "./jobs/job-admission.js";
import { JobAssigner } from "./jobs/job-assigner.js";
import { JobCancellation } from "./jobs/job-cancellation.js";
import { JobStatus } from "./jobs/job-status.js";
import { EndedJobCleanup } from "./jobs/ended-job-cleanup.js";
import { PendingAssignments } from "./jobs/pending-assignments.js";
import type { RequestReplies } from "./jobs/request-replies.js";
import { LeaderlessPartitions } from "./leadership/leaderless-partitions.js";
import { Leadership } from "./leadership/leadership.js";
import { OrphanedTasks } from "./leadership/orphaned-tasks.js";
import { PartitionLeaders } from "./leadership/partition-leaders.js";
import { PartitionMap } from "./leadership/partition-map.js";
import { CatalogRefresh } from "./machines/catalog-refresh.js";
import { CloudAvailabilityLog } from "./machines/cloud-availability-log.js";
import { HeartbeatRouter } from "./machines/heartbeat-router.js";
import type {
  Command,
  Heartbeat,
  JobSpec,
  MachineType,
  Tuning,
} from "./model.js";
import { PendingCalls } from "./pending-calls.js";
import { ObservedLimits } from "./quota/index.js";
import type { PartitionLeader } from "./scheduling/partition-leader.js";
import {
  collectStatistics,
  collectTeamStatistics,
  type Statistics,
  type TeamStatistics,
} from "./statistics.js";
import { StoreEventHandler } from "./store-event-handler.js";
import { StoreCache } from "./store/store-cache.js";
import { StoreWatcher } from "./store/store-watcher.js";
import { Transactions } from "./transactions.js";

/** While none of its peers answers, a controller is not ready once it has not reached the store for this long. */
const ISOLATED_AFTER_MS = 6_000;

/**
 * One controller without its sockets and clocks: takes inputs and returns effects. All state that controllers must agree on is changed
 * by conditional transactions at the store.
 */
export class Controller implements Context {
  nowMs: number;
  wallMs: number;
  catalog: MachineType[] | null = null;
  readonly partitions: PartitionMap;
  readonly cache = new StoreCache();
  /** Calls that wait for their replies. */
  readonly calls = new PendingCalls((effect) => this.effects.push(effect));
  /** The leaders of the partitions that this controller leads, by partition. */
  readonly leaders: ReadonlyMap<string, PartitionLeader>;
  readonly leadership: Leadership;
  readonly dependencies: DependencyTracker;
  private effects: Effect[] = [];
  private readonly transactions: Transactions;
  private readonly partitionLeaders: PartitionLeaders;
  private readonly leaderlessPartitions: LeaderlessPartitions;
  private readonly orphanedTasks: OrphanedTasks;
  private readonly observedLimits: ObservedLimits;
  private readonly watcher: StoreWatcher;
  private readonly storeEvents: StoreEventHandler;
  private readonly jobAssigner: JobAssigner;
  private readonly jobStatus: JobStatus;
  private readonly jobAdmission: JobAdmission;
  private readonly jobCancellation: JobCancellation;
  private readonly assignments = new PendingAssignments();
  private readonly heartbeats: HeartbeatRouter;
  private readonly endedJobCleanup: EndedJobCleanup;
  private readonly catalogRefresh = new CatalogRefresh(this);
  private readonly cloudAvailabilityLog = new CloudAvailabilityLog(this);

  constructor(
    readonly settings: Settings,
    readonly tuning: Tuning,
    nowMs: number,
    wallMs: number,
  ) {
    this.nowMs = nowMs;
    this.wallMs = wallMs;
    this.partitions = new PartitionMap(settings);
    this.observedLimits = new ObservedLimits(this);
    this.dependencies = this.createDependencies();
    this.leadership = this.createLeadership();
    this.transactions = this.createTransactions();
    this.partitionLeaders = new PartitionLeaders(this, this.leadership);
    this.leaders = this.partitionLeaders.byPartition;
    this.heartbeats = new HeartbeatRouter(this, this.leaders, this.leadership);
    this.endedJobCleanup = new EndedJobCleanup(
      this,
      this.leaders,
      this.leadership,
    );
    this.leaderlessPartitions = new LeaderlessPartitions(this, this.leadership);
    this.orphanedTasks = new OrphanedTasks(
      this,
      this.leaderlessPartitions,
      (spec) => this.jobAssigner.assign(spec),
    );
    this.storeEvents = this.createStoreEvents();
    this.watcher = this.createWatcher();
    this.jobAssigner = new JobAssigner(this, this.leaders);
    this.jobStatus = this.createJobStatus();
    this.jobAdmission = this.createJobAdmission();
    this.jobCancellation = new JobCancellation(this, {
      replies: this.replies,
      watcher: this.watcher,
      status: this.jobStatus,
    });
  }

  // ---- wiring --------------------------------------------------------------------------------------------

  private createDependencies(): DependencyTracker {
    return new DependencyTracker(this, {
      assign: (spec) => this.jobAssigner.assign(spec),
      lookUpFinalRecord: (id) => this.jobStatus.lookUpFinalRecord(id),
    });
  }

  private createLeadership(): Leadership {
    return new Leadership(this, {
      callStore: (call, done) =>
        this.calls.callStore(call, CallPriority.Lease, done),
      onStoreLeaseLost: () => this.partitionLeaders.dropAll(),
      onLeadershipChanged: () => this.partitionLeaders.update(),
      isUnreachable: (partition) =>
        this.leaders.get(partition)?.state.isMostlyUnreachable() ?? false,
    });
  }

  private createTransactions(): Transactions {
    return new Transactions(this, {
      callStore: this.calls.callStore,
      onStoreLeaseEnded: (storeLease) =>
        this.leadership.onStoreLeaseEnded(storeLease),
    });
  }

  private createStoreEvents(): StoreEventHandler {
    return new StoreEventHandler(this, {
      leaders: this.partitionLeaders,
      dependencies: this.dependencies,
      pendingAssignments: this.assignments,
      inconsistencyLog: new RateLimitedLog(this),
    });
  }

  private createWatcher(): StoreWatcher {
    return new StoreWatcher(this, this.leadership, {
      callStore: this.calls.callStore,
      onEvents: (events) => this.storeEvents.handle(events),
      onChanges: (from, to, changes) => this.publishChanges(from, to, changes),
      requestWake: (afterMs) => this.effects.push({ type: "wake", afterMs }),
      refuse: this.retryLater,
    });
  }

  private createJobStatus(): JobStatus {
    return new JobStatus(this, {
      replies: this.replies,
      leaders: this.leaders,
      dependencies: this.dependencies,
      watcher: this.watcher,
      callStore: this.calls.callStore,
    });
  }

  private createJobAdmission(): JobAdmission {
    return new JobAdmission(this, {
      replies: this.replies,
      leadership: this.leadership,
      dependencies: this.dependencies,
      watcher: this.watcher,
      status: this.jobStatus,
      assigner: this.jobAssigner,
    });
  }

  // ---- inputs --------------------------------------------------------------------------------------------

  /** Handles one input at the given steady time and time of day, both in ms; returns the effects to execute. */
  step(input: Input, nowMs: number, wallMs: number): Effect[] {
    this.nowMs = nowMs;
    this.wallMs = wallMs;
    this.dispatch(input);
    for (const leader of this.leaders.values()) {
      leader.runSchedulingRound();
      leader.sendCommands();
    }
    const effects = this.effects;
    this.effects = [];
    return effects;
  }

  private dispatch(input: Input): void {
    switch (input.type) {
      case "tick":
        return this.tick();
      case "memory":
        return this.jobAdmission.setMemoryShort(input.short);
      case "wake":
        return this.watcher.onWake();
      case "submit":
        return this.jobAdmission.submit(
          input.reqId,
          input.spec,
          input.dependsOn ?? [],
        );
      case "status":
        return this.jobStatus.answerAfterRead(input.reqId, input.id);
      case "cancel":
        return this.watcher.afterRead(input.reqId, input.id, (reqId, id) =>
          this.jobCancellation.cancel(reqId, id),
        );
      case "heartbeat":
        return this.answer(
          input.reqId,
          this.heartbeats.answer(input.heartbeat, input.relayed),
        );
      case "leaderUnreachable":
        return this.leadership.noteUnserved(
          this.partitions.partitionOf(input.zone),
        );
      case "peers":
        return this.leadership.setReachablePeers(input.up);
      case "storeReply":
        return this.calls.onStoreReply(input.callId, input.reply, input.sentMs);
      case "cloudReply":
        return this.calls.onCloudReply(input.callId, input.reply);
      case "commandReply":
        return this.calls.onCommandReply(input.callId, input.reply);
      case "inspectReply":
        return this.calls.onInspectReply(input.callId, input.heartbeat);
    }
  }

  private tick(): void {
    this.leadership.tick();
    this.watcher.watch();
    this.watcher.readForWaitingQueries();
    this.catalogRefresh.tick();
    this.observedLimits.tick(this.leadership.storeLeaseId);
    const areLimitsAgreed = this.observedLimits.areAgreed();
    for (const leader of this.leaders.values()) leader.tick(areLimitsAgreed);
    if (this.leaders.size > 0) {
      this.orphanedTasks.tick();
      this.leaderlessPartitions.tick();
    }
    this.dependencies.processWaitingJobs();
    this.endedJobCleanup.tick();
  }

  // ---- effects -------------------------------------------------------------------------------------------

  log<E extends LogEvent>(event: E, fields: LogEventFields[E]): void {
    this.effects.push({ type: "log", ...logEntry(event, fields) });
  }

  private answer(reqId: number, answer: Answer): void {
    this.effects.push({ type: "answer", reqId, answer });
  }

  private readonly retryLater = (
    reqId: number,
    reason: string,
    afterS = 1,
  ): void => this.answer(reqId, { kind: "retryLater", afterS, reason });

  private readonly replies: RequestReplies = {
    answer: (reqId, answer) => this.answer(reqId, answer),
    retryLater: this.retryLater,
  };

  commit(
    conditions: Condition[],
    writes: Write[],
    priority: CallPriority,
    done: (outcome: TransactionOutcome) => void,
  ): void {
    this.transactions.commit(conditions, writes, priority, done);
  }

  callCloud(
    call: CloudCall,
    priority: CallPriority,
    done: (reply: CloudReply) => void,
  ): void {
    this.calls.callCloud(call, priority, (reply) => {
      this.cloudAvailabilityLog.note(reply);
      done(reply);
    });
  }

  sendCommands(
    address: string,
    token: number,
    incarnation: number,
    commands: Command[],
    done: (reply: CommandReply) => void,
  ): void {
    this.calls.sendCommands({ address, token, incarnation, commands }, done);
  }

  inspect(
    address: string,
    done: (heartbeat: Heartbeat | null) => void,
    fence?: TokenMessage,
  ): void {
    this.calls.inspect(address, done, fence);
  }

  /** Publishes changes for webhooks, and logs indeterminate transactions that the changes show to be applied. */
  private publishChanges(
    from: number,
    to: number,
    changes: readonly Change[],
  ): void {
    this.transactions.logLateTransactions(changes);
    if (!this.tuning.tellEnds) return;
    const published = changes.filter(
      ({ key }) => key.startsWith(FINAL_PREFIX) || parseKey(key) === null,
    );
    this.effects.push({ type: "storeChanges", from, to, changes: published });
  }

  // ---- context of the parts ------------------------------------------------------------------------------

  readAgeMs(): number {
    return this.leadership.readAgeMs;
  }

  leaderlessToken(partition: string): number | null {
    return this.leaderlessPartitions.requestToken(partition);
  }

  get pendingAssignments(): ReadonlyMap<string, readonly PendingAssignment[]> {
    return this.assignments.byPartition;
  }

  notePendingAssignment(partition: string, spec: JobSpec, tasks: number): void {
    this.assignments.note(partition, spec, tasks);
  }

  // ---- queries of the process ----------------------------------------------------------------------------

  /**
   * Whether an effect of the last step may still be sent at `nowMs`. Invariant (ran_cancelled, one leader per partition): effects that
   * need a leadership lease are not sent after the lease has ended, even if the step that produced them came before its end.
   */
  maySend(effect: Effect, nowMs: number): boolean {
    const needsLeadershipLease =
      effect.type === "workerCommand" ||
      (effect.type === "inspect" && effect.fence !== undefined) ||
      (effect.type === "answer" && effect.answer.kind === "commands");
    return (
      !needsLeadershipLease || nowMs < this.leadership.leadershipLeaseUntilMs
    );
  }

  /**
   * Whether this controller can take requests: it has read all live records and is not cut off. An outage of the store alone does not
   * make it unready, since all controllers would be, and the load balancer would exclude them for longer than the outage lasts. A
   * controller that reaches neither the store nor any peer is cut off itself.
   */
  get ready(): boolean {
    const isCutOff =
      this.settings.peers.length > 0 &&
      this.leadership.isIsolated &&
      this.leadership.storeSilenceMs > ISOLATED_AFTER_MS;
    return this.cache.ready && !isCutOff;
  }

  /** The current store lease, and the end (steady time, ms) of the leadership lease under it. */
  get leadershipLease(): { storeLease: number | null; untilMs: number } {
    return {
      storeLease: this.leadership.storeLeaseId,
      untilMs: this.leadership.leadershipLeaseUntilMs,
    };
  }

  /** Totals over the partitions that this controller leads. */
  get statistics(): Statistics {
    return collectStatistics(this, this.leaders, [
      this.watcher.refusals,
      this.jobStatus.finalStatusReader,
    ]);
  }

  /** Quota and use of each team in each partition that this controller leads. */
  get teamStatistics(): TeamStatistics[] {
    return collectTeamStatistics(this, this.leaders);
  }
}
