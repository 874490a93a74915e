/**
 * Decides which waiting task starts on which machine of a partition (Pigeon's two queues). Owns the timing of scheduling
 * rounds and the turn of the long queue; tasks and machines are in the partition's state.
 */
import type { Context } from "../context.js";
import { NO_USE } from "../machines/resource-ledger.js";
import type { JobRun, TaskRun, Worker } from "../machines/worker-state.js";
import { type JobSpec, taskKey } from "../model.js";
import type { Guarantees, QuotaAllocator } from "../quota/index.js";
import { AttemptSequence } from "./attempt-sequence.js";
import { GangAssembly } from "./gang-assembly.js";
import { GangReservations } from "./gang-reservations.js";
import { MachineSelector } from "./machine-selector.js";
import type { PartitionState } from "./partition-state.js";
import { fitWithinLimit, subtractTask, UnplaceableCache } from "./placement.js";
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

/** Minimum interval between scheduling rounds: in large partitions, hundreds of heartbeats arrive per second. */
const MIN_ROUND_INTERVAL_MS = 60;
/** The interval is at least 1 ms per this many jobs, so that long rounds with thousands of jobs take little of the time. */
const JOBS_PER_MS_OF_INTERVAL = 5;
/** Interval of rounds for what changes only with time: back-offs, machines to avoid, high-priority jobs that have waited. */
const IDLE_ROUND_INTERVAL_MS = 1_000;
/** A job waits at least this long before others are preempted for it. */
const PREEMPT_AFTER_MS = 2_000;
/** Preemption is considered for at most this many jobs per round. */
const MAX_PREEMPTING_JOBS = 3;
const MS_PER_S = 1_000;

/** A job in the queues of a round. */
interface ReadyJob extends QueuedJob {
  readonly job: JobRun;
}

/** The result of an attempt to place tasks of a job. */
type PlacementResult =
  | { readonly kind: "placed"; readonly tasks: number }
  /** No task of the job may start now, however much capacity is free. */
  | { readonly kind: "notStartable" }
  /** There are not enough slots for it, or they are reserved for it until it may start. */
  | { readonly kind: "noSlots" };

const NOT_STARTABLE: PlacementResult = { kind: "notStartable" };
const NO_SLOTS: PlacementResult = { kind: "noSlots" };

export class Scheduler {
  /** Number of rounds run so far, by which tests verify that heartbeats alone cause none. */
  rounds = 0;
  private readonly longQueueTurn = { shortTasksSinceLong: 0 };
  private lastRoundMs = -Infinity;
  private readonly attempts: AttemptSequence;
  private readonly gangAssembly: GangAssembly;
  private readonly reservations: GangReservations;
  private readonly machineSelector: MachineSelector;
  private readonly spreadGangs: SpreadGangCoordinator;

  constructor(
    private readonly ctx: Context,
    private readonly state: PartitionState,
    private readonly quota: QuotaAllocator,
    private readonly guarantees: Guarantees,
    private readonly preemption: Preemption,
  ) {
    this.attempts = new AttemptSequence(state);
    this.gangAssembly = new GangAssembly(ctx, state, quota);
    this.reservations = new GangReservations(state);
    this.machineSelector = new MachineSelector(ctx, state, this.reservations);
    this.spreadGangs = new SpreadGangCoordinator(ctx, state, this.attempts);
  }

  /** Requests a round if the last one was long ago, and runs one if it is due. */
  tick(): void {
    if (this.ctx.nowMs - this.lastRoundMs >= IDLE_ROUND_INTERVAL_MS)
      this.state.needsScheduling = true;
    this.runRound();
  }

  /** Runs a scheduling round if one is needed and due. */
  runRound(): void {
    if (!this.isRoundDue()) return;
    this.state.needsScheduling = false;
    this.lastRoundMs = this.ctx.nowMs;
    this.rounds++;
    this.reservations.clear();
    const ready = [...this.state.jobs.values()].filter(
      (job) => this.state.mayStart(job) && !this.quota.isHeldBack(job),
    );
    if (ready.length === 0) return;
    this.gangAssembly.update(ready);
    const resources = roundResourcesOf(this.state);
    const blocked = this.serveQueues(
      this.queuesOf(ready, resources),
      resources,
    );
    this.considerPreemption(blocked, resources);
  }

  private isRoundDue(): boolean {
    const intervalMs = Math.max(
      MIN_ROUND_INTERVAL_MS,
      this.state.jobs.size / JOBS_PER_MS_OF_INTERVAL,
    );
    return (
      this.state.needsScheduling &&
      this.ctx.nowMs - this.lastRoundMs >= intervalMs &&
      this.state.mayAct()
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
      remainingTasks: this.state.unfinishedTasks(job),
      late: isLate(spec, job.view, wallMs, settings.objectives),
      precedence: this.gangAssembly.precedenceOf(job),
      job,
    };
  }

  /** Places tasks until no more can be placed; returns the first jobs that could not be placed, which may preempt others. */
  private serveQueues(
    round: SchedulingRound<ReadyJob>,
    resources: RoundResources,
  ): JobRun[] {
    const jobsWithReservation = new Set(
      resources.workers.map((worker) => worker.reservedFor?.job),
    );
    const unplaceable = new UnplaceableCache();
    const blocked: JobRun[] = [];
    for (let head = round.head(); head; head = round.head()) {
      const { job, precedence } = head;
      const servesOneTask = precedence === "firstTask";
      // A job for which preemption freed capacity has slots that others lack, so its result does not apply to them.
      const isComparable =
        precedence === "no" && !jobsWithReservation.has(job.id);
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

  /** Places tasks of a job, unless it is comparable and this round had not enough slots for a job that requests no more. */
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
    const eligible = isShortJob ? resources.workers : resources.unreserved;
    const result = this.placeTasks(job, maxTasks, eligible, resources);
    if (result.kind === "noSlots") unplaceable.add(spec, machineClass);
    return result;
  }

  private considerPreemption(
    blocked: readonly JobRun[],
    { workers, free, used }: RoundResources,
  ): void {
    for (const job of blocked)
      if (this.ctx.nowMs - job.waitingSinceMs > PREEMPT_AFTER_MS)
        this.preemption.preemptFor(job, workers, free, used);
  }

  // ---- one job -------------------------------------------------------------------------------------------

  /** Places a whole gang, or up to `maxTasks` tasks on one machine. */
  private placeTasks(
    job: JobRun,
    maxTasks: number,
    eligible: readonly Worker[],
    resources: RoundResources,
  ): PlacementResult {
    const { spec } = job.view;
    const isGang = spec.kind === "gang";
    if (isGang && !this.hasEndedLastAttempt(job)) return NOT_STARTABLE;
    const allowed = this.tasksWithinQuota(spec, resources);
    const taskCount = isGang
      ? job.waiting.size
      : Math.min(maxTasks, allowed, job.waiting.size);
    if (taskCount === 0) return NOT_STARTABLE;
    if (allowed < taskCount) {
      if (this.isAssembling(job))
        this.reservations.reserveQuota(spec, resources.used);
      return NOT_STARTABLE;
    }
    const indices = this.startableTasks(job, taskCount);
    if (indices.length === 0) return NOT_STARTABLE;
    const chosen = this.machineSelector.select(
      job,
      indices.length,
      eligible,
      resources,
    );
    if (chosen.length === 0 || (isGang && chosen.length < taskCount)) {
      if (isGang && taskCount > 1) this.reserveForGang(job, chosen, resources);
      return NO_SLOTS;
    }
    const attempt = this.nextAttempt(job);
    if (attempt === null) {
      // The other parts of the gang are not ready yet, so the slots for this one are reserved until they are.
      this.reservations.reserveFully(chosen, spec, resources.free);
      return NO_SLOTS;
    }
    this.startTasks(job, indices, chosen, attempt, resources);
    return { kind: "placed", tasks: chosen.length };
  }

  /** Whether no task of a gang's last attempt is left. It starts again only then: its tasks complete or fail together. */
  private hasEndedLastAttempt(job: JobRun): boolean {
    return (
      job.active.size === 0 &&
      job.waiting.size >= job.assigned.size &&
      !this.state.ledger.hasUnconfirmed(job.id)
    );
  }

  private isAssembling(job: JobRun): boolean {
    return (
      job.view.spec.kind === "gang" &&
      this.gangAssembly.precedenceOf(job) === "assembling"
    );
  }

  /** How many tasks of a job fit into what remains of this partition's share of its team's limit. */
  private tasksWithinQuota(spec: JobSpec, { used }: RoundResources): number {
    const teamUse = used.get(spec.team) ?? NO_USE;
    const [cpus, gpus] = this.quota.share(spec.team);
    return fitWithinLimit(spec, {
      cpus: cpus - teamUse.cpus,
      gpus: gpus - teamUse.gpus,
    });
  }

  /** Selects up to `maxTasks` waiting tasks. Invariant (rule ran_twice): no task is started that may still be on some machine. */
  private startableTasks(job: JobRun, maxTasks: number): number[] {
    const { ledger } = this.state;
    const candidateCount =
      job.view.spec.kind === "gang"
        ? maxTasks
        : maxTasks + ledger.unconfirmedOfJob(job.id).size;
    return [...job.waiting.take(candidateCount)]
      .filter((index) => !ledger.hasUnconfirmed(job.id, index))
      .slice(0, maxTasks);
  }

  /**
   * Reserves the slots that a waiting gang could already use, so that jobs behind it do not get them. This does not begin at
   * once, since a large gang that keeps machines idle delays many small ones, most of which would end before it starts.
   * `GangAssembly` determines when the gang must reserve in order to begin in time.
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

  /** The attempt under which tasks of a job start now; null if the other parts of its gang are not ready. */
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
      const freeHere = free.get(worker);
      if (freeHere) subtractTask(freeHere, spec);
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
    this.state.ledger.addTask(task);
    worker.idleSinceMs = null;
    this.ctx.log("starting task", {
      task: taskKey(job.id, index),
      attempt,
      worker: worker.id,
    });
    this.state.workersWithPendingCommands.add(worker);
  }
}
