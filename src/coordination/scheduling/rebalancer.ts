/**
 * Moves waiting tasks of a partition to others that can start them sooner. Owns only the time when it last ran; a transfer
 * in flight is kept in its `JobRun`.
 */
import {
  bytesOf,
  jobKey,
  type CapacityRecord,
  writeJob,
} from "../../storage/records.js";
import { type Backlog, backlogOf } from "./backlog.js";
import type { Context } from "../context.js";
import { CallPriority } from "../effects.js";
import { PendingTransfer } from "../leadership/pending-transfer.js";
import type { PartitionState } from "./partition-state.js";
import type { ResourceUse } from "../machines/resource-ledger.js";
import type { QuotaAllocator } from "../quota/index.js";
import type { JobSpec } from "../model.js";
import { fitWithinLimit, staysUndivided } from "./placement.js";
import { isShort } from "./scheduling-round.js";
import type { RangeSet } from "../jobs/range-set.js";
import type { ScaleOut } from "../machines/scale-out.js";
import { reassignTasks } from "../jobs/job-partitioner.js";
import {
  fastestRentableType,
  capablePartitions,
  type PendingAssignment,
  backlogKindOf,
  availableSlots,
  backlogAhead,
  slotsForUndividedJob,
} from "../jobs/partition-capacity.js";
import type { JobRun } from "../machines/worker-state.js";

/** Interval at which transfers are considered, and the time that a task waits in its partition before it may move. */
const REBALANCE_INTERVAL_MS = 400;

/**
 * After this wait, tasks of an array may move to any partition that has more free slots than its own queue needs, no matter which
 * partition has the longest queue. Before this rule, a gang that did not fit, or a longer queue of tasks for one zone, kept them
 * from idle machines for as long as it waited. Moving them sooner made other jobs miss deadlines, since tasks that wait in the
 * target are mostly about to start.
 */
const LONG_WAIT_MS = 20_000;

/** A job moves to a partition where tasks would be preempted for it only after it has waited longer than preemption takes. */
const PREEMPT_ELSEWHERE_AFTER_MS = 6_000;

/** The partition that tasks of a job move to, and how many at most. */
interface TransferTarget {
  partition: string;
  tasks: number;
}

export class Rebalancer {
  private lastRunMs = -Infinity;

  constructor(
    private readonly ctx: Context,
    private readonly state: PartitionState,
    private readonly scaleOut: ScaleOut,
    private readonly quota: QuotaAllocator,
  ) {}

  /**
   * Considers transfers of waiting tasks. Pigeon's groups keep their tasks; here an idle partition with an empty queue takes
   * waiting tasks from the partition with the longest queue. The source writes the transfer into the job's record before the
   * target may start the tasks, and stops starting them itself before it sends that commit.
   */
  tick(): void {
    if (
      this.state.isFenced ||
      this.ctx.nowMs - this.lastRunMs < REBALANCE_INTERVAL_MS
    )
      return;
    this.lastRunMs = this.ctx.nowMs;
    const waiting = [...this.state.jobs.values()].filter(
      (job) => !job.waiting.isEmpty,
    );
    if (waiting.length === 0) return;
    const headroomByTeam = this.quota.headroom();
    const backlog = backlogOf(this.state.jobs.values(), headroomByTeam);
    for (const job of waiting) {
      if (!this.mayMove(job, backlog)) continue;
      const headroom = headroomByTeam.get(job.view.spec.team);
      const target =
        this.partitionWithSlots(job, headroom) ??
        this.partitionToRentIn(job, headroom);
      if (target) this.transfer(job, target, headroom);
    }
  }

  private waitedMs(job: JobRun): number {
    return this.ctx.nowMs - job.waitingSinceMs;
  }

  private mayMove(job: JobRun, backlog: Backlog): boolean {
    const { spec } = job.view;
    if (
      job.pendingTransfer ||
      job.isFinalizing ||
      job.quarantinedSinceMs !== null
    )
      return false;
    if (spec.spread || !this.state.mayStart(job)) return false;
    if (this.waitedMs(job) < REBALANCE_INTERVAL_MS) return false;
    // An undivided job moves to any partition that has slots for all of it. Tasks of an array move from the longest queue only,
    // unless they have waited for long: a longer queue may consist of tasks that no other partition can run.
    if (staysUndivided(spec)) return this.state.isWhollyWaiting(job);
    return (
      this.waitedMs(job) >= LONG_WAIT_MS ||
      this.isLongestQueue(backlogKindOf(spec), backlog)
    );
  }

  private isLongestQueue(kind: keyof Backlog, backlog: Backlog): boolean {
    for (const [partition, capacity] of this.ctx.cache.capacities)
      if (
        partition !== this.state.partition &&
        capacity.queue[kind] > backlog[kind]
      )
        return false;
    return true;
  }

  /** The partition that has slots for the most tasks of the job, or for all of them if the job is undivided. */
  private partitionWithSlots(
    job: JobRun,
    headroom: ResourceUse | undefined,
  ): TransferTarget | null {
    const { spec } = job.view;
    const isUndivided = staysUndivided(spec);
    const usesReserved = isShort(spec, this.ctx.tuning);
    const minTasks = isUndivided ? spec.tasks : 1;
    let best: TransferTarget | null = null;
    for (const [partition, capacity] of this.ctx.cache.capacities) {
      if (
        partition === this.state.partition ||
        !this.ctx.cache.partitions.has(partition)
      )
        continue;
      const pending = this.ctx.pendingAssignments.get(partition);
      // Tasks that wait there do not compete for these slots: they don't fit into them, and reserved slots are not reported as
      // free.
      const slots = isUndivided
        ? this.undividedSlotsAt(job, partition, capacity, usesReserved, pending)
        : this.arraySlotsAt(job, capacity, usesReserved, pending);
      const tasks = Math.min(
        slots,
        this.tasksWithinLimit(spec, partition, headroom),
      );
      if (tasks >= minTasks && (!best || tasks > best.tasks))
        best = { partition, tasks };
    }
    return best;
  }

  /** The target if nothing is free anywhere and no more can be rented here: a partition with an empty queue that may still rent. */
  private partitionToRentIn(
    job: JobRun,
    headroom: ResourceUse | undefined,
  ): TransferTarget | null {
    const { spec } = job.view;
    const { catalog } = this.ctx;
    if (!catalog || this.waitedMs(job) <= 2 * REBALANCE_INTERVAL_MS)
      return null;
    if (!this.scaleOut.isCapacityExhausted(spec)) return null;
    const isUndivided = staysUndivided(spec);
    const usesReserved = isShort(spec, this.ctx.tuning);
    for (const { partition, zones } of capablePartitions(
      spec,
      catalog,
      this.ctx.partitions,
    )) {
      const capacity = this.ctx.cache.capacities.get(partition);
      if (
        partition === this.state.partition ||
        !capacity ||
        this.ctx.pendingAssignments.has(partition)
      )
        continue;
      if (capacity.queue[backlogKindOf(spec)] > 0) continue;
      if (!fastestRentableType(spec, zones, capacity, catalog)) continue;
      const { afterRental } = slotsForUndividedJob(
        spec,
        zones,
        capacity,
        catalog,
        usesReserved,
      );
      if (isUndivided && afterRental < spec.tasks) continue;
      const wanted = isUndivided ? spec.tasks : Math.ceil(job.waiting.size / 2);
      const tasks = Math.min(
        this.tasksWithinLimit(spec, partition, headroom),
        wanted,
      );
      if (tasks >= (isUndivided ? spec.tasks : 1)) return { partition, tasks };
    }
    return null;
  }

  /** Transfers as many waiting tasks as the target takes, except those for which machines are already booting here. */
  private transfer(
    job: JobRun,
    target: TransferTarget,
    headroom: ResourceUse | undefined,
  ): void {
    const { spec } = job.view;
    const isUndivided = staysUndivided(spec);
    // Otherwise machines that are booting for tasks of the array would have been rented for nothing.
    const movable = isUndivided
      ? spec.tasks
      : job.waiting.size - this.scaleOut.countTasksFittingBooting(spec);
    if (movable <= 0) return;
    const maxTasks = Math.min(target.tasks, movable);
    const tasks = Math.min(maxTasks, job.waiting.size);
    if (headroom) {
      headroom.cpus -= spec.cpus * tasks;
      headroom.gpus -= spec.gpus * tasks;
    }
    this.ctx.notePendingAssignment(target.partition, spec, tasks);
    this.move(
      job,
      job.waiting.take(isUndivided ? spec.tasks : maxTasks),
      target.partition,
    );
  }

  /**
   * Tasks of an array that a partition can take: only with an empty queue or, after a long wait, with more free slots than its
   * queue needs.
   */
  private arraySlotsAt(
    job: JobRun,
    capacity: CapacityRecord,
    usesReserved: boolean,
    pending: readonly PendingAssignment[] | undefined,
  ): number {
    const { spec } = job.view;
    const queued = capacity.queue[backlogKindOf(spec)];
    if (queued > 0 && this.waitedMs(job) < LONG_WAIT_MS) return 0;
    const catalog = this.ctx.catalog ?? [];
    return (
      availableSlots(spec, capacity, catalog, usesReserved, pending) - queued
    );
  }

  /**
   * Tasks of an undivided job that fit into a partition now. Once the job has waited longer than preemption takes, this
   * includes tasks that fit after lower priorities are preempted, if nothing of its priority or above waits there.
   */
  private undividedSlotsAt(
    job: JobRun,
    partition: string,
    capacity: CapacityRecord,
    usesReserved: boolean,
    pending: readonly PendingAssignment[] | undefined,
  ): number {
    const { spec } = job.view;
    const slots = slotsForUndividedJob(
      spec,
      this.zonesFor(spec, partition),
      capacity,
      this.ctx.catalog ?? [],
      usesReserved,
      pending,
    );
    return slots.free < spec.tasks &&
      this.waitedMs(job) > PREEMPT_ELSEWHERE_AFTER_MS &&
      backlogAhead(spec, capacity) === 0
      ? slots.afterPreemption
      : slots.free;
  }

  /**
   * Tasks that the team's limit allows to start there, including quota that is unused here, since it follows the tasks. Without
   * this check, tasks that only their limit kept from starting moved from partition to partition, each with free machines and
   * none with quota: 7,600 moves in 500 s with limits of a quarter of the demand.
   */
  private tasksWithinLimit(
    spec: JobSpec,
    partition: string,
    headroomHere: ResourceUse | undefined,
  ): number {
    const [cpusThere, gpusThere] = this.quota.spareAt(partition, spec.team);
    let cpus = cpusThere + Math.max(0, headroomHere?.cpus ?? 0);
    let gpus = gpusThere + Math.max(0, headroomHere?.gpus ?? 0);
    for (const pending of this.ctx.pendingAssignments.get(partition) ?? [])
      if (pending.spec.team === spec.team) {
        cpus -= pending.spec.cpus * pending.tasks;
        gpus -= pending.spec.gpus * pending.tasks;
      }
    return cpus === Infinity && gpus === Infinity
      ? Infinity
      : fitWithinLimit(spec, { cpus, gpus });
  }

  private zonesFor(spec: JobSpec, partition: string): string[] {
    return (
      capablePartitions(spec, this.ctx.catalog ?? [], this.ctx.partitions).find(
        (capable) => capable.partition === partition,
      )?.zones ?? []
    );
  }

  private move(job: JobRun, tasks: RangeSet, target: string): void {
    for (const index of tasks)
      if (this.state.ledger.hasUnconfirmed(job.id, index)) return;
    const value = writeJob({
      ...job.view,
      assignment: reassignTasks(
        job.view.assignment,
        this.state.partition,
        tasks,
        target,
      ),
    });
    // With too many separate ranges the record is too large: the store would reject it every time.
    if (bytesOf(value) > this.ctx.settings.state.valueBytes) return;
    job.pendingTransfer = {
      tasks,
      change: new PendingTransfer(job.view.revision, value),
    };
    job.waiting.removeAll(tasks);
    this.ctx.log("rebalancing waiting tasks", {
      job: job.id,
      tasks: tasks.size,
      to: target,
    });
    this.sendTransfer(job);
  }

  /** Sends the commit of a job's pending transfer, or sends it again after a refusal. */
  sendTransfer(job: JobRun): void {
    const transfer = job.pendingTransfer;
    const key = jobKey(job.id);
    transfer?.change.send(
      (version, value, done) =>
        this.state.commit(
          [{ key, version }],
          [{ op: "put", key, value }],
          CallPriority.Background,
          done,
        ),
      () => {
        if (job.pendingTransfer !== transfer) return;
        job.pendingTransfer = null;
        if (!job.isOver) this.state.recomputeWaiting(job);
      },
    );
  }
}
