/**
 * The state that all components of a partition's leader share: workers, jobs, the ledger of used resources, the machine
 * registry and the failover fence.
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
import { FencingTokens } from "../machines/fencing-tokens.js";
import { FailoverFence } from "../machines/failover-fence.js";
import { MachineRegistry } from "../machines/machine-registry.js";
import type { JobRun, TaskRun, Worker } from "../machines/worker-state.js";

/** Added to a worker lease and the clock drift, for the granularity of timers. */
const LEASE_EXPIRY_MARGIN_MS = 1_000;
/** A machine list counts only from this long after the leader began, since it must show every machine that was up before. */
const MACHINE_LIST_MARGIN_MS = 500;
/** A worker whose lease expired no longer counts for the partition's reachability this long after its last answered heartbeat. */
const SILENT_WORKER_IGNORED_AFTER_MS = 60_000;
/** A worker is reachable for this many heartbeat intervals, plus a margin for the network, after its last answered one. */
const REACHABLE_INTERVALS = 2;
const REACHABLE_MARGIN_MS = 1_000;
/** At most this many silent machines are logged when a failover is complete. */
const MAX_LOGGED_MACHINES = 10;
/** Share of a partition's machines that may be replaced at the same time because they are unreachable. */
const MAX_REPLACED_SHARE = 0.1;

/** Why a task no longer counts as being on its machine. */
export type ReleaseReason =
  | "exited"
  | "missing from its worker"
  | "start not carried out"
  | "machine unreachable"
  | "lease ended"
  | "new incarnation"
  | "machine returned";

/** Machines that may take tasks, and the ids of those among them that are reserved for short tasks. */
export interface UsableWorkers {
  usable: readonly Worker[];
  reserved: ReadonlySet<string>;
}

/**
 * What the leader of a partition knows under its fencing token: machines, jobs, tasks that are or may be on the machines,
 * reservations, and tasks that a former leader may have left running. All components of a leader read it and change it
 * through its methods, which keep it consistent. None of them owns a part of it, and it calls none of them.
 */
export class PartitionState {
  readonly workers = new Map<string, Worker>();
  readonly jobs = new Map<string, JobRun>();
  readonly ledger = new ResourceLedger();
  readonly registry: MachineRegistry;
  readonly fencingTokens: FencingTokens;
  /** Something that placement depends on has changed since the last scheduling round. */
  needsScheduling = true;
  /** Machines with commands that have not been sent to them yet. */
  readonly workersWithPendingCommands = new Set<Worker>();
  /** Machines whose free resources were reserved for a gang in the last scheduling round. */
  readonly workersReservedForGangs = new Set<Worker>();
  /** Machines on which a former leader's tasks may still run; null once all of them are accounted for. */
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
    this.fencingTokens = new FencingTokens(ctx, mayAct);
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

  /** Commits on condition that the fencing token is still valid, so that a late commit changes nothing after a failover. */
  commit(
    conditions: Condition[],
    writes: Write[],
    priority: CallPriority,
    done: (outcome: TransactionOutcome) => void,
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

  /** Removes a task from its machine and queues it again, unless it is finished or no longer assigned to this partition. */
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

  /** Recomputes a job's waiting tasks: those assigned here that are neither finished, nor on a machine, nor being transferred. */
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

  /** Requests that a task is stopped, with `graceS` to save a checkpoint; an earlier request with no more time stays in force. */
  stop(task: TaskRun, graceS: number, reason: string): void {
    if (task.stop && task.stop.graceS <= graceS) return;
    task.stop = { graceS, reason };
    this.workersWithPendingCommands.add(task.worker);
    this.ctx.log("stopping task", {
      task: taskKey(task.job.id, task.index),
      worker: task.worker.id,
      reason,
    });
  }

  mayStart(job: JobRun): boolean {
    return (
      !job.isOver &&
      !job.waiting.isEmpty &&
      this.ctx.nowMs >= job.backoffUntilMs &&
      // See FailoverFence: tasks of a job from before this leader may be running on machines that have not sent a heartbeat yet.
      !(this.failoverFence && job.predatesLeader)
    );
  }

  /** Whether all tasks of the job wait here, and none of them is or may be on a machine of the partition. */
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
   * The size of a job, in tasks, by which the queues order it behind smaller jobs: for an array, its unfinished tasks in all
   * partitions. When only the tasks waiting in the partition itself counted, each partition served another array first: with
   * little capacity, all arrays had begun and few had ended.
   */
  unfinishedTasks(job: JobRun): number {
    const { spec } = job.view;
    // The parts of a spread gang wait for each other. Ordered by their own sizes, one part reserved machines long before the
    // turn of the other.
    if (spec.kind === "gang" && spec.spread) return spec.tasks;
    if (spec.kind !== "array" || !this.ctx.tuning.fleetOrder)
      return job.waiting.size;
    return Math.max(
      job.waiting.size,
      spec.tasks - this.ctx.cache.finishedCount(job.id),
    );
  }

  /** Waiting tasks, by the kind of machine that they need. */
  backlog(): Backlog {
    return backlogOf(this.jobs.values());
  }

  /** Resources that each team uses in this partition, including all tasks that may be running. */
  usage(): Map<string, ResourceUse> {
    const used = this.ledger.useByTeam();
    // These resources may be used by any team, so they count against the limit of each.
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
   * Resources that a team uses according to machines that have not shown this leader's token. A late heartbeat of a former
   * incarnation, or of a machine that is gone, may list tasks that no longer run.
   */
  useReportedUnderOtherTokens(team: string): ResourceUse {
    const use: ResourceUse = { cpus: 0, gpus: 0 };
    for (const { token, commandFence, tasks } of this.workers.values()) {
      if (commandFence.hasIssued(token)) continue;
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

  /** Updates since when no task is or may be on a machine. */
  noteIdle(worker: Worker): void {
    if (worker.tasks.size + worker.unconfirmedTasks.size > 0)
      worker.idleSinceMs = null;
    else worker.idleSinceMs ??= this.ctx.nowMs;
  }

  /** Queues all tasks of a machine again, since none of them is on it any more. */
  releaseAll(worker: Worker, reason: ReleaseReason): void {
    if (worker.tasks.size > 0)
      this.ctx.log("tasks lost with worker incarnation", {
        worker: worker.id,
        tasks: worker.tasks.size,
        reason,
      });
    for (const task of [...worker.tasks.values()]) this.requeue(task, reason);
    this.ledger.clearUnconfirmed(worker);
    this.noteIdle(worker);
  }

  /** A machine has restarted. Its tasks have ended, but count until it refuses copies of the messages that started them. */
  noteRestart(worker: Worker): void {
    worker.commandFence.noteRestart(worker.tasks.keys());
    this.ledger.clearUnconfirmed(worker);
    this.noteIdle(worker);
  }

  /** Begins a new incarnation of a worker, which has killed and forgotten all its tasks and accepts no older messages. */
  startIncarnation(worker: Worker, incarnation: number): void {
    this.releaseAll(worker, "new incarnation");
    worker.incarnation = incarnation;
    worker.sequence = -1;
    worker.commandFence.clear();
    this.ledger.setExited(worker, []);
  }

  /** Adds a machine to the registry, which must happen before its first task starts, unless it is being returned. */
  registerUnlessReturning(worker: Worker): void {
    if (worker.isReturning) return;
    this.registry.set(worker.id, { isReturning: false, type: worker.typeName });
  }

  /** Whether a worker's last answered heartbeat is recent enough to expect that it accepts commands. */
  private isReachable(worker: Worker): boolean {
    const maxSilenceMs =
      REACHABLE_INTERVALS * this.ctx.settings.reportS * 1000 +
      REACHABLE_MARGIN_MS;
    return (
      !worker.leaseExpired &&
      this.ctx.nowMs - worker.lastAnsweredMs < maxSilenceMs
    );
  }

  /** Whether most workers of the partition have been silent for longer than a heartbeat and its retry take. */
  isMostlyUnreachable(): boolean {
    const limitMs = maxHeartbeatGapMs(this.ctx.settings.reportS);
    let silent = 0;
    let total = 0;
    for (const worker of this.workers.values()) {
      if (
        worker.leaseExpired &&
        this.ctx.nowMs - worker.lastAnsweredMs > SILENT_WORKER_IGNORED_AFTER_MS
      )
        continue;
      total++;
      if (this.ctx.nowMs - worker.lastAnsweredMs > limitMs) silent++;
    }
    if (total === 0) return this.ctx.nowMs - this.startedMs > limitMs;
    return silent * 2 > total;
  }

  /** Machines whose heartbeats arrive but that apparently receive nothing, the longest unreachable first. */
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

  /** How many unreachable machines may be replaced at the same time. */
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
    // The reserved machines depend only on the usable ones, which seldom change between calls (several per second).
    const last = this.lastUsable;
    const isUnchanged =
      usable.length === last.usable.length &&
      usable.every((worker, i) => worker === last.usable[i]);
    if (!isUnchanged)
      this.lastUsable = { usable, reserved: this.reservedAmong(usable) };
    return this.lastUsable;
  }

  /** Ids of the machines reserved for short tasks: of each type, the ones whose ids sort last. */
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

  /** Whether a machine is reserved for a gang or a job, so that its free resources are not available to others. */
  isReservedForOther(worker: Worker): boolean {
    return (
      this.workersReservedForGangs.has(worker) ||
      (worker.reservedFor !== null &&
        this.ctx.nowMs < worker.reservedFor.untilMs)
    );
  }

  // ---- failover ------------------------------------------------------------------------------------------

  /** Whether tasks that a former leader started may be running on machines that are not accounted for. */
  get isFenced(): boolean {
    return this.failoverFence !== null;
  }

  /** Lifts the failover fence for a machine that has sent a heartbeat with this token or is gone: it runs no unknown tasks. */
  markAccountedFor(id: string): void {
    if (!this.failoverFence) return;
    this.failoverFence.noteAccountedFor(id);
    this.liftClearedFence();
  }

  private liftClearedFence(): void {
    if (this.failoverFence?.isCleared)
      this.liftFence(this.failoverFence, "every machine has reported");
  }

  private liftFence(fence: FailoverFence, reason: string): void {
    this.ctx.log("failover complete", {
      partition: this.partition,
      token: this.token,
      reason,
      silent: fence.unaccountedMachines().slice(0, MAX_LOGGED_MACHINES),
      afterMs: Math.round(this.ctx.nowMs - this.startedMs),
    });
    this.failoverFence = null;
    this.registry.confirmComplete();
    this.needsScheduling = true;
  }

  /**
   * Removes a machine from the registry. Past its lease it has killed all its tasks and accepts no older message, so nothing
   * can run there until it has sent a heartbeat and is in the registry again. When machines that were gone stayed in the registry,
   * every later leader waited for a whole lease (docs/incidents/tremorline-grown-crashes.md).
   */
  deregister(id: string): void {
    if (!this.registry.isReturnWritten(id)) this.registry.remove(id);
  }

  /** Removes machines that are gone according to the cloud, with everything on them. */
  removeMachines(ids: readonly string[]): void {
    for (const id of ids) {
      const worker = this.workers.get(id);
      if (worker) {
        this.releaseAll(worker, "machine returned");
        this.workers.delete(id);
      }
      this.registry.remove(id);
      this.markAccountedFor(id);
    }
  }

  /**
   * Takes the cloud's list of this partition's machines, as it was at `asOfMs` or later. Machines of the former leader were
   * up before this leader began, and the cloud lists a machine until it is gone with everything on it. So a failover does
   * not wait for machines that are missing from a list made since. Without this rule, one machine reclaimed without notice
   * held up each failover of hundreds of machines for a whole lease.
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
      this.deregister(id);
      this.markAccountedFor(id);
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

  /** Handles expired worker leases, both of machines that a failover waits for and of workers that fell silent. */
  expireLeases(): void {
    const leaseMs =
      this.ctx.settings.leaseS * 1000 * CLOCK_DRIFT_FACTOR +
      LEASE_EXPIRY_MARGIN_MS;
    if (this.failoverFence && this.ctx.nowMs - this.startedMs > leaseMs)
      this.expireFence(this.failoverFence);
    for (const worker of this.workers.values())
      if (this.isLeaseExpiryDue(worker, leaseMs)) this.expireLease(worker);
  }

  private expireFence(fence: FailoverFence): void {
    // Invariant (ran_twice): a machine that has sent heartbeats, though none with this token yet, may run tasks, so it stays in
    // the registry.
    for (const id of fence.unaccountedMachines())
      if (!this.workers.has(id)) this.deregister(id);
    this.liftFence(fence, "leases of silent machines have ended");
  }

  /**
   * Invariant (ran_twice): a machine that restarted at once begins a new lease, under the same incarnation as before if that
   * was its first, and then carries out a start command that was sent directly to it. That lease began before the command
   * ended, so the machine's lease counts from the end of its last such command at the earliest.
   */
  private isLeaseExpiryDue(worker: Worker, leaseMs: number): boolean {
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
    this.deregister(worker.id);
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

/** Adds `taskCount` tasks that each need `need` to what a team uses. */
function addUse(
  used: Map<string, ResourceUse>,
  team: string,
  need: ResourceUse,
  taskCount: number,
): void {
  const teamUse = used.get(team) ?? { cpus: 0, gpus: 0 };
  teamUse.cpus += need.cpus * taskCount;
  teamUse.gpus += need.gpus * taskCount;
  used.set(team, teamUse);
}
