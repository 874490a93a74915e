/**
 * Decides which waiting task starts on which machine of a partition (Pigeon's two queues). Owns the pace of scheduling
 * rounds and the turn of the long queue; tasks and machines are in the partition's state.
 */
import type { Context } from "../context.js";
import { NO_USE } from "../machines/resource-ledger.js";
import {
  type JobRun,
  subtract,
  type TaskRun,
  type Worker,
} from "../machines/worker-state.js";
import { type JobSpec, taskKey } from "../model.js";
import type { Guarantees, QuotaAllocator } from "../quota/index.js";
import { AttemptSequence } from "./attempt-sequence.js";
import { GangAssembly } from "./gang-assembly.js";
import { GangReservations } from "./gang-reservations.js";
import { MachineSelector } from "./machine-selector.js";
import type { PartitionState } from "./partition-state.js";
import { fitWithinLimit, UnplaceableCache } from "./placement.js";
import type { Preemption } from "./preemption.js";
import { type RoundResources, roundResourcesOf } from "./round-resources.js";
import {
  isLate,
  isShort,
  type QueuedJob,
  SchedulingRound,
} from "./scheduling-round.js";
import { SpreadGangCoordinator } from "./spread-gang-coordinator.js";
import { isSpreadOverPartitions } from "./spread-gangs.js";

/**
 * Rounds follow each other no faster than this: heartbeats come by the hundred a second in large partitions.
 */
const ROUND_INTERVAL_MS = 60;
/** With thousands of waiting jobs a round takes longer: the pause grows by 1 ms for so many, so that rounds take little of the time. */
const JOBS_PER_INTERVAL_MS = 5;
/** What only time can change (back-offs, machines to avoid, high-priority work that waited) is looked at this often. */
const IDLE_ROUND_INTERVAL_MS = 1_000;
/** A task waits this long before others are stopped for it. */
const PREEMPT_AFTER_MS = 2_000;
/** Jobs without room for which preemption is considered in one round. */
const MAX_PREEMPTING_JOBS = 3;
const MS_PER_S = 1_000;

/** A job in the queues of a round. */
interface ReadyJob extends QueuedJob {
  readonly job: JobRun;
}

/** What came of the attempt to place tasks of a job. */
type PlacementResult =
  | { readonly kind: "placed"; readonly tasks: number }
  /** Nothing of the job may start now, whatever room there is. */
  | { readonly kind: "notStartable" }
  /** The machines have no room for it, or the room is reserved for it until it may start. */
  | { readonly kind: "noRoom" };

const NOT_STARTABLE: PlacementResult = { kind: "notStartable" };
const NO_ROOM: PlacementResult = { kind: "noRoom" };

export class Scheduler {
  /** Rounds made: tests see by it that heartbeats alone cause none. */
  rounds = 0;
  private readonly longQueueTurn = { shortTasksSinceLong: 0 };
  private lastRoundMs = -Infinity;
  private readonly attempts: AttemptSequence;
  private readonly gangAssembly: GangAssembly;
  private readonly reservations: GangReservations;
  private readonly machines: MachineSelector;
  private readonly spreadGangs: SpreadGangCoordinator;

  constructor(
    private readonly ctx: Context,
    private readonly partition: PartitionState,
    private readonly quota: QuotaAllocator,
    private readonly guarantees: Guarantees,
    private readonly preemption: Preemption,
  ) {
    this.attempts = new AttemptSequence(partition);
    this.gangAssembly = new GangAssembly(ctx, partition, quota);
    this.reservations = new GangReservations(partition);
    this.machines = new MachineSelector(ctx, partition, this.reservations);
    this.spreadGangs = new SpreadGangCoordinator(ctx, partition, this.attempts);
  }

  /** What only time can change is looked at now and then. */
  tick(): void {
    if (this.ctx.nowMs - this.lastRoundMs >= IDLE_ROUND_INTERVAL_MS)
      this.partition.needsScheduling = true;
    this.runRound();
  }

  /** Runs a scheduling round if one is needed and due. */
  runRound(): void {
    if (!this.isRoundDue()) return;
    this.partition.needsScheduling = false;
    this.lastRoundMs = this.ctx.nowMs;
    this.rounds++;
    this.reservations.clear();
    const ready = [...this.partition.jobs.values()].filter(
      (job) => this.partition.mayStart(job) && !this.quota.isHeldBack(job),
    );
    if (ready.length === 0) return;
    this.gangAssembly.update(ready);
    const resources = roundResourcesOf(this.partition);
    const blocked = this.serveQueues(
      this.queuesOf(ready, resources),
      resources,
    );
    this.considerPreemption(blocked, resources);
  }

  private isRoundDue(): boolean {
    const intervalMs = Math.max(
      ROUND_INTERVAL_MS,
      this.partition.jobs.size / JOBS_PER_INTERVAL_MS,
    );
    return (
      this.partition.needsScheduling &&
      this.ctx.nowMs - this.lastRoundMs >= intervalMs &&
      this.partition.mayAct()
    );
  }

  // ---- a round -------------------------------------------------------------------------------------------

  private queuesOf(
    ready: readonly JobRun[],
    { used }: RoundResources,
  ): SchedulingRound<ReadyJob> {
    return new SchedulingRound(
      ready.map((job) => this.queuedJob(job)),
      this.ctx.tuning,
      this.longQueueTurn,
      this.ctx.tuning.guaranteeOrder
        ? (team) => this.guarantees.standing(team, used.get(team) ?? NO_USE)
        : null,
    );
  }

  private queuedJob(job: JobRun): ReadyJob {
    const { wallMs, settings } = this.ctx;
    const { spec } = job.view;
    return {
      spec,
      effectivePriority: job.view,
      remainingTasks: this.partition.unfinishedTasks(job),
      late: isLate(spec, job.view, wallMs, settings.objectives),
      precedence: this.gangAssembly.precedenceOf(job),
      job,
    };
  }

  /** Places tasks until no job can go on; the first jobs that could not are returned. */
  private serveQueues(
    round: SchedulingRound<ReadyJob>,
    resources: RoundResources,
  ): JobRun[] {
    const preempting = new Set(
      resources.workers.map((worker) => worker.reservedFor?.job),
    );
    const unplaceable = new UnplaceableCache();
    const blocked: JobRun[] = [];
    for (let head = round.head(); head; head = round.head()) {
      const { job, precedence } = head;
      const servesOneTask = precedence === "array";
      // Room that preemption made for a job is hidden from the others.
      const isComparable = precedence === "no" && !preempting.has(job.id);
      const result = this.placeUnlessUnplaceable(
        job,
        servesOneTask ? 1 : round.maxTasks(),
        resources,
        unplaceable,
        isComparable,
      );
      const isPlaced = result.kind === "placed";
      if (isPlaced) round.served(result.tasks);
      else if (
        blocked.length < MAX_PREEMPTING_JOBS &&
        job.quarantinedSinceMs === null
      )
        blocked.push(job);
      if (!isPlaced || job.waiting.isEmpty || servesOneTask) round.skip();
    }
    return blocked;
  }

  /** Places tasks of a job unless one that asked for no more found no room; only comparable jobs are judged by that. */
  private placeUnlessUnplaceable(
    job: JobRun,
    maxTasks: number,
    resources: RoundResources,
    unplaceable: UnplaceableCache,
    isComparable: boolean,
  ): PlacementResult {
    const { spec } = job.view;
    const isShortJob = isShort(spec, this.ctx.tuning);
    const machineClass = `${isShortJob}/${this.reservations.mayBackfill(spec)}`;
    if (isComparable && unplaceable.includes(spec, machineClass))
      return NOT_STARTABLE;
    const open = isShortJob ? resources.workers : resources.unreserved;
    const result = this.placeTasks(job, maxTasks, open, resources);
    if (result.kind === "noRoom") unplaceable.add(spec, machineClass);
    return result;
  }

  private considerPreemption(
    blocked: readonly JobRun[],
    { workers, free, used }: RoundResources,
  ): void {
    for (const job of blocked)
      if (this.ctx.nowMs - job.waitingSinceMs > PREEMPT_AFTER_MS)
        this.preemption.consider(job, workers, free, used);
  }

  // ---- one job -------------------------------------------------------------------------------------------

  /** Places a whole gang, or up to `maxTasks` tasks on one machine. */
  private placeTasks(
    job: JobRun,
    maxTasks: number,
    open: readonly Worker[],
    resources: RoundResources,
  ): PlacementResult {
    const { spec } = job.view;
    const isGang = spec.kind === "gang";
    if (isGang && !this.hasEndedLastAttempt(job)) return NOT_STARTABLE;
    const allowed = this.tasksWithinQuota(spec, resources);
    const want = isGang
      ? job.waiting.size
      : Math.min(maxTasks, allowed, job.waiting.size);
    if (want === 0) return NOT_STARTABLE;
    if (allowed < want) {
      if (this.isAssembling(job))
        this.reservations.reserveQuota(spec, resources.used);
      return NOT_STARTABLE;
    }
    const indices = this.startableTasks(job, want);
    if (indices.length === 0) return NOT_STARTABLE;
    const chosen = this.machines.select(job, indices.length, open, resources);
    if (chosen.length === 0 || (isGang && chosen.length < want)) {
      if (isGang && want > 1) this.reserveForGang(job, chosen, resources);
      return NO_ROOM;
    }
    const attempt = this.nextAttempt(job);
    if (attempt === null) {
      // The other parts are not ready yet: its room is reserved until they are.
      this.reservations.reserveFully(chosen, spec, resources.free);
      return NO_ROOM;
    }
    this.startTasks(job, indices, chosen, attempt, resources);
    return { kind: "placed", tasks: chosen.length };
  }

  /** A gang starts anew only when nothing of its last attempt is left; its tasks complete or fail together. */
  private hasEndedLastAttempt(job: JobRun): boolean {
    return (
      job.active.size === 0 &&
      job.waiting.size >= job.assigned.size &&
      !this.partition.ledger.hasUnconfirmed(job.id)
    );
  }

  private isAssembling(job: JobRun): boolean {
    return (
      job.view.spec.kind === "gang" &&
      this.gangAssembly.precedenceOf(job) === "gang"
    );
  }

  /** Tasks of a job that this partition's share of its team's limit has room for. */
  private tasksWithinQuota(spec: JobSpec, { used }: RoundResources): number {
    const teamUse = used.get(spec.team) ?? NO_USE;
    const [cpus, gpus] = this.quota.share(spec.team);
    return fitWithinLimit(spec, {
      cpus: cpus - teamUse.cpus,
      gpus: gpus - teamUse.gpus,
    });
  }

  /** Up to `want` waiting tasks. Invariant (rule ran_twice): nothing is started that may still be on some machine. */
  private startableTasks(job: JobRun, want: number): number[] {
    const { ledger } = this.partition;
    const lookAt =
      job.view.spec.kind === "gang"
        ? want
        : want + ledger.unconfirmedOfJob(job.id).size;
    return [...job.waiting.take(lookAt)]
      .filter((index) => !ledger.hasUnconfirmed(job.id, index))
      .slice(0, want);
  }

  /**
   * Reserves freed room: what a waiting gang could use already is not given to those behind it. Not at once: a large gang
   * that keeps machines idle delays many small ones, and most of them are done before it starts. `GangAssembly` says
   * from when on it must, so as to begin in time.
   */
  private reserveForGang(
    job: JobRun,
    chosen: readonly Worker[],
    { free, used }: RoundResources,
  ): void {
    const { spec, readyAt } = job.view;
    if (this.isAssembling(job)) {
      const assembledInS = this.gangAssembly.assembledInS(job);
      this.reservations.reserveForAssembly(chosen, spec, assembledInS);
      this.reservations.reserveQuota(spec, used);
      return;
    }
    const hasWaitedLong =
      this.ctx.wallMs - readyAt > this.ctx.tuning.holdAfterS * MS_PER_S;
    if (job.quarantinedSinceMs === null && hasWaitedLong)
      this.reservations.reserveFully(chosen, spec, free);
  }

  /** The attempt under which tasks of a job start now; null: the other parts of its gang are not ready. */
  private nextAttempt(job: JobRun): number | null {
    const { spec, assignment } = job.view;
    return isSpreadOverPartitions(spec, assignment.size)
      ? this.spreadGangs.nextAttempt(job)
      : this.attempts.next();
  }

  /** Starts a task on each of the chosen machines. */
  private startTasks(
    job: JobRun,
    indices: readonly number[],
    chosen: readonly Worker[],
    attempt: number,
    { free, used }: RoundResources,
  ): void {
    const { spec } = job.view;
    const teamUse = { ...(used.get(spec.team) ?? NO_USE) };
    for (const [position, worker] of chosen.entries()) {
      const index = indices[position];
      if (index === undefined) break;
      this.startTask(job, index, worker, attempt);
      const room = free.get(worker);
      if (room) subtract(room, spec);
      teamUse.cpus += spec.cpus;
      teamUse.gpus += spec.gpus;
    }
    used.set(spec.team, teamUse);
  }

  private startTask(
    job: JobRun,
    index: number,
    worker: Worker,
    attempt: number,
  ): void {
    job.waiting.remove(index);
    const task: TaskRun = {
      job,
      index,
      attempt,
      worker,
      phase: "ordered",
      timesSent: 0,
      startAnsweredSequence: -1,
      phaseSinceMs: this.ctx.nowMs,
      stop: null,
    };
    job.active.set(index, task);
    this.partition.ledger.addTask(task);
    worker.idleSinceMs = null;
    this.ctx.log("starting task", {
      task: taskKey(job.id, index),
      attempt,
      worker: worker.id,
    });
    this.partition.workersWithPendingCommands.add(worker);
  }
}
