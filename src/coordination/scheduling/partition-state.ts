/**
 * The state that all parts of a partition's leader share: workers, jobs, the ledger of used resources, the machine registry
 * and the failover fence.
 */

import type { Condition, Write } from "../../protocol/state.js";
import { maxHeartbeatGapMs } from "../../protocol/workers.js";
import { partitionKey } from "../../storage/records.js";
import { type Backlog, backlogOf } from "./backlog.js";
import {
  type TransactionOutcome,
  type Context,
  CLOCK_DRIFT_FACTOR,
} from "../context.js";
import { CallPriority } from "../effects.js";
import {
  ResourceLedger,
  type ResourceUse,
} from "../machines/resource-ledger.js";
import { type ListedMachine, taskKey } from "../model.js";
import { FailoverFence } from "../machines/failover-fence.js";
import { MachineRegistry } from "../machines/machine-registry.js";
import type { JobRun, TaskRun, Worker } from "../machines/worker-state.js";

/** Waited beyond a worker lease and the drift of clocks, for the granularity of timers. */
const LEASE_EXPIRY_MARGIN_MS = 1_000;
/** A machine list counts from this time after the leader began: it has to show every machine that was up before. */
const MACHINE_LIST_MARGIN_MS = 500;
/** A worker that fell silent is left out of the partition's reachability so long after its last answer, once its lease expired. */
const FORGOTTEN_AFTER_MS = 60_000;
/** A worker is expected to take commands until it has missed so many heartbeat intervals, and a margin for the network. */
const REACHABLE_INTERVALS = 2;
const REACHABLE_MARGIN_MS = 1_000;
/** Silent machines that the log names when a failover is complete. */
const MAX_LOGGED_MACHINES = 10;
/** Share of a partition's machines that may be replaced at a time for receiving nothing. */
const MAX_REPLACED_SHARE = 0.1;

/** Why a task counts no longer as being on its machine. */
export type ReleaseReason =
  | "exited"
  | "missing from its worker"
  | "start not carried out"
  | "machine unreachable"
  | "lease ended"
  | "new incarnation"
  | "machine restarted"
  | "machine returned";

/** Machines that may take tasks, and the names of those among them that are reserved for short tasks. */
export interface UsableWorkers {
  usable: readonly Worker[];
  reserved: ReadonlySet<string>;
}

/**
 * What the leader of a partition knows under its fencing token: machines, jobs, what is or may be on the machines, what is
 * reserved for whom, and what a former leader may have left running. All parts of a leader read it and change it by the
 * methods offered here, which keep it consistent; none of them owns a part of it, and nothing here calls any of them.
 */
export class PartitionState {
  readonly workers = new Map<string, Worker>();
  readonly jobs = new Map<string, JobRun>();
  readonly ledger = new ResourceLedger();
  readonly registry: MachineRegistry;
  /** Something changed that placement depends on. */
  needsScheduling = true;
  /** Machines with commands that were not sent to them yet. */
  readonly workersWithPendingCommands = new Set<Worker>();
  /** Machines whose free resources a gang reserved in the last scheduling round. */
  readonly reservedForGangs = new Set<Worker>();
  /** What a former leader may have left running; null: all of it is accounted for. */
  private failoverFence: FailoverFence | null;
  private lastUsable: UsableWorkers = { usable: [], reserved: new Set() };
  private readonly startedMs: number;

  constructor(
    private readonly ctx: Context,
    readonly partition: string,
    readonly token: number,
    /** Whether this controller may act for the partition at this moment. */
    readonly mayAct: () => boolean,
  ) {
    this.startedMs = ctx.nowMs;
    this.registry = new MachineRegistry(
      ctx,
      partition,
      (conditions, writes, done) =>
        this.commit(conditions, writes, CallPriority.Leader, done),
      () => {
        this.needsScheduling = true;
      },
    );
    const fence = new FailoverFence(
      this.registry.machines(),
      this.registry.mayLackMachines,
    );
    this.failoverFence = fence.isCleared ? null : fence;
  }

  /** Every commit of a leader depends on its fencing token, so that a late one changes nothing after a failover. */
  commit(
    conditions: Condition[],
    writes: Write[],
    priority: CallPriority,
    done: (end: TransactionOutcome) => void,
  ): void {
    this.ctx.commit(
      [
        { key: partitionKey(this.partition), version: this.token },
        ...conditions,
      ],
      writes,
      priority,
      done,
    );
  }

  // ---- tasks ---------------------------------------------------------------------------------------------

  /** A task is not on its machine any more: it waits again, unless it is finished or no longer this partition's. */
  requeue(task: TaskRun, reason: ReleaseReason): void {
    const { job, index } = task;
    this.logRelease(task, reason);
    if (job.active.get(index) === task) job.active.delete(index);
    this.ledger.removeTask(task);
    if (mustRunHere(job, index)) {
      if (job.waiting.isEmpty) job.waitingSinceMs = this.ctx.nowMs;
      job.waiting.add(index);
    }
    this.noteIdle(task.worker);
    this.needsScheduling = true;
  }

  private logRelease(task: TaskRun, reason: ReleaseReason): void {
    const { job, index, attempt, worker } = task;
    this.ctx.log("task released", {
      task: taskKey(job.id, index),
      attempt,
      worker: worker.id,
      team: job.view.spec.team,
      token: this.token,
      reason,
      incarnation: worker.incarnation,
      sequence: worker.sequence,
    });
  }

  /** What waits of a job: all of this partition's part that is neither finished, nor on a machine, nor being transferred. */
  recomputeWaiting(job: JobRun): void {
    const waiting = job.assigned.clone();
    waiting.removeAll(job.finished);
    for (const index of job.active.keys()) waiting.remove(index);
    if (job.pendingTransfer) waiting.removeAll(job.pendingTransfer.tasks);
    if (job.waiting.isEmpty && !waiting.isEmpty)
      job.waitingSinceMs = this.ctx.nowMs;
    job.waiting = waiting;
    this.needsScheduling = true;
  }

  /** Stops a task with so much time to save; a stop that was asked for with no more time than that stands. */
  stop(task: TaskRun, graceS: number, why: string): void {
    if (task.stop && task.stop.graceS <= graceS) return;
    task.stop = { graceS, reason: why };
    this.workersWithPendingCommands.add(task.worker);
    this.ctx.log("stopping task", {
      task: taskKey(task.job.id, task.index),
      worker: task.worker.id,
      reason: why,
    });
  }

  mayStart(job: JobRun): boolean {
    return (
      !job.isOver &&
      !job.waiting.isEmpty &&
      this.ctx.nowMs >= job.backoffUntilMs &&
      // See FailoverFence: a task of an older record may be running on a machine that has not reported yet.
      !(this.failoverFence && job.predatesLeader)
    );
  }

  /** All tasks of the job wait here, and nothing of it is or may be on a machine of the partition. */
  isWhollyWaiting(job: JobRun): boolean {
    return (
      job.waiting.size === job.view.spec.tasks &&
      !this.ledger.hasUnconfirmed(job.id)
    );
  }

  runningTasksOf(jobId: string): number {
    let count = 0;
    for (const task of this.jobs.get(jobId)?.active.values() ?? [])
      if (task.phase === "running" || task.phase === "saving") count++;
    return count;
  }

  /**
   * Tasks by which a job yields to smaller ones in the queues: those of an array that are unfinished in any partition. By its
   * own waiting part alone, each partition served another array first, and with little to share all had begun and few ended.
   */
  unfinishedTasks(job: JobRun): number {
    const { spec } = job.view;
    // Parts of one gang wait for each other: ordered by its own size, one part reserved machines long before the other's turn.
    if (spec.kind === "gang" && spec.spread) return spec.tasks;
    if (spec.kind !== "array" || !this.ctx.tuning.fleetOrder)
      return job.waiting.size;
    return Math.max(
      job.waiting.size,
      spec.tasks - this.ctx.cache.finishedCount(job.id),
    );
  }

  /** Tasks that wait, by kind of machine. */
  backlog(): Backlog {
    return backlogOf(this.jobs.values());
  }

  /** What each team uses in this partition, counting all that may be running. */
  usage(): Map<string, ResourceUse> {
    const used = this.ledger.useByTeam();
    // Of any team: it counts against the limit of each.
    const unattributed = this.ledger.maxUseOfUnknownTasks();
    if (this.failoverFence) {
      for (const job of this.jobs.values()) {
        const { spec } = job.view;
        if (job.predatesLeader) addUse(used, spec.team, spec, job.waiting.size);
      }
      this.failoverFence.addPossibleUse(
        unattributed,
        this.ctx.catalog,
        this.workers,
      );
    }
    for (const team of this.ctx.settings.teams.keys())
      addUse(used, team, unattributed, 1);
    return used;
  }

  /**
   * What a team uses by the word of machines that have not shown this leader's token: a heartbeat of a former incarnation, or of a
   * machine that is gone, may come late and name tasks that nobody runs any more.
   */
  useReportedUnderOtherTokens(team: string): ResourceUse {
    const use: ResourceUse = { cpus: 0, gpus: 0 };
    for (const { token, tasks } of this.workers.values()) {
      if (token === this.token) continue;
      for (const { job } of tasks.values()) {
        const { spec } = job.view;
        if (spec.team !== team) continue;
        use.cpus += spec.cpus;
        use.gpus += spec.gpus;
      }
    }
    return use;
  }

  // ---- machines ------------------------------------------------------------------------------------------

  /** Notes since when nothing is on a machine, or may be. */
  noteIdle(worker: Worker): void {
    if (worker.tasks.size + worker.unconfirmedTasks.size > 0)
      worker.idleSinceMs = null;
    else worker.idleSinceMs ??= this.ctx.nowMs;
  }

  /** All that was on a machine is gone from it: its tasks wait again. */
  releaseAll(worker: Worker, why: ReleaseReason): void {
    if (worker.tasks.size > 0)
      this.ctx.log("tasks lost with worker incarnation", {
        worker: worker.id,
        tasks: worker.tasks.size,
        reason: why,
      });
    for (const task of [...worker.tasks.values()]) this.requeue(task, why);
    this.ledger.clearUnconfirmed(worker);
    this.noteIdle(worker);
  }

  /** A new incarnation: the worker has killed and forgotten all its tasks, and takes no older message any more. */
  startIncarnation(worker: Worker, incarnation: number): void {
    this.releaseAll(worker, "new incarnation");
    worker.incarnation = incarnation;
    worker.sequence = -1;
    worker.unansweredStarts.clear();
    worker.exited = [];
  }

  /** Lists a machine in the registry, which it must be in before its first task starts. */
  registerUnlessReturning(worker: Worker): void {
    if (worker.isReturning) return;
    this.registry.set(worker.id, { isReturning: false, type: worker.typeName });
  }

  /** Heard lately enough to expect that it takes commands. */
  private isReachable(worker: Worker): boolean {
    const maxSilenceMs =
      REACHABLE_INTERVALS * this.ctx.settings.reportS * 1000 +
      REACHABLE_MARGIN_MS;
    return (
      !worker.leaseExpired &&
      this.ctx.nowMs - worker.lastAnsweredMs < maxSilenceMs
    );
  }

  /** Whether most of its workers have not been heard of for longer than a heartbeat and its retry take. */
  isMostlyUnreachable(): boolean {
    const limitMs = maxHeartbeatGapMs(this.ctx.settings.reportS);
    let silent = 0;
    let total = 0;
    for (const worker of this.workers.values()) {
      if (
        worker.leaseExpired &&
        this.ctx.nowMs - worker.lastAnsweredMs > FORGOTTEN_AFTER_MS
      )
        continue;
      total++;
      if (this.ctx.nowMs - worker.lastAnsweredMs > limitMs) silent++;
    }
    if (total === 0) return this.ctx.nowMs - this.startedMs > limitMs;
    return silent * 2 > total;
  }

  /** Machines whose heartbeats arrive but that receive nothing, as far as known, longest first. */
  unreachableMachines(): Worker[] {
    const unreachable: { worker: Worker; sinceMs: number }[] = [];
    for (const worker of this.workers.values()) {
      const sinceMs = worker.delivery.unreachableSinceMs;
      if (sinceMs !== null && !worker.leaseExpired && !worker.isReturning)
        unreachable.push({ worker, sinceMs });
    }
    unreachable.sort((a, b) => a.sinceMs - b.sinceMs);
    return unreachable.map(({ worker }) => worker);
  }

  /** How many unreachable machines may be replaced at a time. */
  maxConcurrentReplacements(): number {
    return Math.max(1, Math.ceil(this.workers.size * MAX_REPLACED_SHARE));
  }

  /** Whether tasks may be started on a machine now. */
  isUsable(worker: Worker): boolean {
    return (
      !worker.isReturning &&
      worker.delivery.isProven &&
      worker.delivery.unreachableSinceMs === null &&
      worker.reclaimedAtMs === null &&
      worker.type !== null &&
      this.ctx.nowMs >= worker.avoidUntilMs &&
      this.isReachable(worker) &&
      this.registry.has(worker.id)
    );
  }

  /** Machines that may be used now, and which of them serve short tasks only. */
  usableWorkers(): UsableWorkers {
    const usable: Worker[] = [];
    for (const worker of this.workers.values())
      if (this.isUsable(worker)) usable.push(worker);
    // Which are reserved follows from which are usable: mostly the same as the last time, several times a second.
    const last = this.lastUsable;
    const isUnchanged =
      usable.length === last.usable.length &&
      usable.every((worker, i) => worker === last.usable[i]);
    if (!isUnchanged)
      this.lastUsable = { usable, reserved: this.reservedAmong(usable) };
    return this.lastUsable;
  }

  /** Reserved for short tasks: the machines of each type that come last by name. */
  private reservedAmong(usable: readonly Worker[]): Set<string> {
    const idsByType = new Map<string, string[]>();
    for (const worker of usable) {
      const ids = idsByType.get(worker.typeName) ?? [];
      ids.push(worker.id);
      idsByType.set(worker.typeName, ids);
    }
    const reserved = new Set<string>();
    for (const ids of idsByType.values()) {
      ids.sort();
      const count = Math.floor(ids.length * this.ctx.tuning.reservedShare);
      for (const id of ids.slice(ids.length - count)) reserved.add(id);
    }
    return reserved;
  }

  /** What is reserved for a gang or a job is not there for others. */
  isReservedForOther(worker: Worker): boolean {
    return (
      this.reservedForGangs.has(worker) ||
      (worker.reservedFor !== null &&
        this.ctx.nowMs < worker.reservedFor.untilMs)
    );
  }

  // ---- failover ------------------------------------------------------------------------------------------

  /** Whether tasks that a former leader started may be running unaccounted for. */
  get isFenced(): boolean {
    return this.failoverFence !== null;
  }

  /** Nothing of a former leader runs on this machine that is not known: it has reported under this token, or is gone. */
  accountFor(id: string): void {
    if (!this.failoverFence) return;
    this.failoverFence.noteAccountedFor(id);
    this.liftClearedFence();
  }

  private liftClearedFence(): void {
    if (this.failoverFence?.isCleared)
      this.liftFence(this.failoverFence, "every machine has reported");
  }

  private liftFence(fence: FailoverFence, why: string): void {
    this.ctx.log("failover complete", {
      partition: this.partition,
      token: this.token,
      reason: why,
      silent: fence.unaccountedMachines().slice(0, MAX_LOGGED_MACHINES),
      afterMs: Math.round(this.ctx.nowMs - this.startedMs),
    });
    this.failoverFence = null;
    this.registry.confirmComplete();
    this.needsScheduling = true;
  }

  /**
   * Past its lease a machine has killed all its tasks and takes no older message: nothing may run there until it has
   * reported and is in the registry again. Left in the registry, machines that are gone made every later leader wait for a
   * whole lease (docs/incidents/tremorline-grown-crashes.md).
   */
  forgetMachine(id: string): void {
    if (!this.registry.isReturnWritten(id)) this.registry.remove(id);
  }

  /** The cloud has said that these machines are gone, with everything on them. */
  removeMachines(ids: readonly string[]): void {
    for (const id of ids) {
      const worker = this.workers.get(id);
      if (worker) {
        this.releaseAll(worker, "machine returned");
        this.workers.delete(id);
      }
      this.registry.remove(id);
      this.accountFor(id);
    }
  }

  /**
   * The cloud's list of this partition's machines, as it was at `asOfMs` or later. A machine of the former leader was up
   * before this one began, and once listed it stays so until it is gone with everything on it: what a list of this leader's
   * time does not show is not waited for. One machine that was taken without notice held up each failover of hundreds for
   * a whole lease.
   */
  noteMachineList(
    machines: ReadonlyMap<string, ListedMachine>,
    asOfMs: number,
  ): void {
    const fence = this.failoverFence;
    if (!fence || asOfMs < this.startedMs + MACHINE_LIST_MARGIN_MS) return;
    if (fence.awaitsMachineList) this.fenceListedMachines(fence, machines);
    for (const id of fence.unaccountedMachines()) {
      if (machines.has(id) || this.workers.has(id)) continue;
      this.ctx.log("machine of former leader is gone", { worker: id });
      this.forgetMachine(id);
      this.accountFor(id);
    }
  }

  private fenceListedMachines(
    fence: FailoverFence,
    machines: ReadonlyMap<string, ListedMachine>,
  ): void {
    const added = fence.addListed(
      machines,
      (id) => (this.workers.get(id)?.token ?? 0) >= this.token,
    );
    this.ctx.log("failover waits for machines missing from the registry", {
      partition: this.partition,
      machines: added,
    });
    this.liftClearedFence();
  }

  /** Worker leases that have ended: of the machines that a failover waits for, and of those that fell silent. */
  expireLeases(): void {
    const leaseMs =
      this.ctx.settings.leaseS * 1000 * CLOCK_DRIFT_FACTOR +
      LEASE_EXPIRY_MARGIN_MS;
    if (this.failoverFence && this.ctx.nowMs - this.startedMs > leaseMs)
      this.expireFence(this.failoverFence);
    for (const worker of this.workers.values())
      if (this.isLeaseOver(worker, leaseMs)) this.expireLease(worker);
  }

  private expireFence(fence: FailoverFence): void {
    // Invariant (ran_twice): a machine that has reported, though not under this token yet, may run tasks: it stays.
    for (const id of fence.unaccountedMachines())
      if (!this.workers.has(id)) this.forgetMachine(id);
    this.liftFence(fence, "leases of silent machines have ended");
  }

  /**
   * Invariant (ran_twice): a machine that was back at once begins a new lease, under the incarnation that it had before if
   * that was its first: a start sent straight to it is carried out then. Its lease began before that command ended.
   */
  private isLeaseOver(worker: Worker, leaseMs: number): boolean {
    if (worker.leaseExpired || worker.commandInFlight) return false;
    const renewedMs = Math.max(
      worker.lastAnsweredMs,
      worker.delivery.lastCommandMs,
    );
    return this.ctx.nowMs - renewedMs > leaseMs;
  }

  private expireLease(worker: Worker): void {
    worker.leaseExpired = true;
    this.ctx.log("worker lease expired", {
      worker: worker.id,
      tasks: worker.tasks.size,
    });
    this.releaseAll(worker, "lease ended");
    this.forgetMachine(worker.id);
  }
}

/** Whether this partition still has to run a task that is on no machine. */
function mustRunHere(job: JobRun, index: number): boolean {
  return (
    !job.isOver &&
    job.assigned.has(index) &&
    !job.finished.has(index) &&
    !job.pendingTransfer?.tasks.has(index)
  );
}

/** Adds so many tasks of this need to what a team uses. */
function addUse(
  used: Map<string, ResourceUse>,
  team: string,
  need: ResourceUse,
  tasks: number,
): void {
  const teamUse = used.get(team) ?? { cpus: 0, gpus: 0 };
  teamUse.cpus += need.cpus * tasks;
  teamUse.gpus += need.gpus * tasks;
  used.set(team, teamUse);
}
