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
import { fitWithinLimit, startsWhole } from "./placement.js";
import { isShort } from "./scheduling-round.js";
import type { RangeSet } from "../jobs/range-set.js";
import type { ScaleOut } from "../machines/scale-out.js";
import { reassigned } from "../jobs/job-partitioner.js";
import {
  canRent,
  capablePartitions,
  type PendingAssignment,
  backlogKindOf,
  placesLeft,
  waitingBefore,
  placesForWhole,
} from "../jobs/partition-capacity.js";
import type { JobRun } from "../machines/worker-state.js";

/** A task waits this long for its own group before it may move. */
const REBALANCE_INTERVAL_MS = 400;

/**
 * Tasks of an array that have waited for so long go to any group with room beside all that waits there, whoever has the longest
 * queue: a gang that does not fit, or a longer queue of work for one zone, kept them from idle machines for as long as it waited.
 * Sooner it cost deadlines: what waits there is mostly about to start.
 */
const LONG_WAIT_MS = 20_000;

/** A job goes where others would be stopped for it only after it has waited here for longer than that takes. */
const PREEMPT_ELSEWHERE_AFTER_MS = 6_000;

/** Where tasks of a job go, and how many at most. */
interface TransferTarget {
  partition: string;
  tasks: number;
}

/** Waiting tasks that go to other groups. */
export class Rebalancer {
  private lastRunMs = -Infinity;

  constructor(
    private readonly ctx: Context,
    private readonly own: PartitionState,
    private readonly scaleOut: ScaleOut,
    private readonly sharing: QuotaAllocator,
  ) {}

  /**
   * Pigeon's groups keep their tasks; ours let an idle master with an empty queue take waiting ones from the
   * longest queue's master. The giver writes the move into the job's record before the taker may start them,
   * and starts none of them itself from before that commit is sent.
   */
  tick(): void {
    if (
      this.own.isFenced ||
      this.ctx.nowMs - this.lastRunMs < REBALANCE_INTERVAL_MS
    )
      return;
    this.lastRunMs = this.ctx.nowMs;
    const waiting = [...this.own.jobs.values()].filter(
      (j) => !j.waiting.isEmpty,
    );
    if (waiting.length === 0) return;
    const headroom = this.sharing.headroom();
    const backlog = backlogOf(this.own.jobs.values(), headroom);
    for (const job of waiting) {
      if (!this.mayMove(job, backlog)) continue;
      const left = headroom.get(job.view.spec.team);
      const target =
        this.partitionWithRoom(job, left) ?? this.partitionToRentIn(job, left);
      if (target) this.transfer(job, target, left);
    }
  }

  private waitedMs(job: JobRun): number {
    return this.ctx.nowMs - job.waitingSinceMs;
  }

  private mayMove(job: JobRun, backlog: Backlog): boolean {
    const { spec } = job.view;
    if (
      job.pendingTransfer ||
      job.finalizing ||
      job.quarantinedSinceMs !== null
    )
      return false;
    if (spec.spread || !this.own.mayStart(job)) return false;
    if (this.waitedMs(job) < REBALANCE_INTERVAL_MS) return false;
    // A gang that can't start here goes to whoever holds it whole; a part of an array comes from the longest queue, but one that
    // has waited for long does not go on waiting for what a longer queue has that can't be served elsewhere.
    if (startsWhole(spec)) return this.own.isWhollyWaiting(job);
    return (
      this.waitedMs(job) >= LONG_WAIT_MS ||
      this.isLongestQueue(backlogKindOf(spec), backlog)
    );
  }

  private isLongestQueue(kind: keyof Backlog, backlog: Backlog): boolean {
    for (const [partition, room] of this.ctx.cache.capacities)
      if (partition !== this.own.partition && room.queue[kind] > backlog[kind])
        return false;
    return true;
  }

  /** The group that has places for most of the job's tasks, or for all of them if it goes whole. */
  private partitionWithRoom(
    job: JobRun,
    left: ResourceUse | undefined,
  ): TransferTarget | null {
    const { spec } = job.view;
    const whole = startsWhole(spec);
    const short = isShort(spec, this.ctx.tuning);
    const least = whole ? spec.tasks : 1;
    let best: TransferTarget | null = null;
    for (const [partition, room] of this.ctx.cache.capacities) {
      if (
        partition === this.own.partition ||
        !this.ctx.cache.partitions.has(partition)
      )
        continue;
      const handed = this.ctx.pendingAssignments.get(partition);
      // What waits there does not fit, or the room would not be free, and what it holds is not written as free.
      const fit = whole
        ? this.wholeAt(job, partition, room, short, handed)
        : this.placesAt(job, room, short, handed);
      const tasks = Math.min(fit, this.allowed(spec, partition, left));
      if (tasks >= least && (!best || tasks > best.tasks))
        best = { partition, tasks };
    }
    return best;
  }

  /** Nothing free anywhere and nothing more to be had here: a group with an empty queue that may still rent. */
  private partitionToRentIn(
    job: JobRun,
    left: ResourceUse | undefined,
  ): TransferTarget | null {
    const { spec } = job.view;
    const { catalog } = this.ctx;
    if (!catalog || this.waitedMs(job) <= 2 * REBALANCE_INTERVAL_MS)
      return null;
    if (!this.scaleOut.exhausted(spec)) return null;
    const whole = startsWhole(spec);
    const short = isShort(spec, this.ctx.tuning);
    for (const { partition, zones } of capablePartitions(
      spec,
      catalog,
      this.ctx.partitions,
    )) {
      const room = this.ctx.cache.capacities.get(partition);
      if (
        partition === this.own.partition ||
        !room ||
        this.ctx.pendingAssignments.has(partition)
      )
        continue;
      if (room.queue[backlogKindOf(spec)] > 0) continue;
      if (!canRent(spec, zones, room, catalog)) continue;
      const { soon } = placesForWhole(spec, zones, room, catalog, short);
      if (whole && soon < spec.tasks) continue;
      const wanted = whole ? spec.tasks : Math.ceil(job.waiting.size / 2);
      const tasks = Math.min(this.allowed(spec, partition, left), wanted);
      if (tasks >= (whole ? spec.tasks : 1)) return { partition, tasks };
    }
    return null;
  }

  /** Gives as many of the job's waiting tasks as the target takes and no machine is on its way for. */
  private transfer(
    job: JobRun,
    target: TransferTarget,
    left: ResourceUse | undefined,
  ): void {
    const { spec } = job.view;
    const whole = startsWhole(spec);
    // Machines that are on their way for tasks of an array would come for nothing.
    const movable = whole
      ? spec.tasks
      : job.waiting.size - this.scaleOut.bootingFor(spec);
    if (movable <= 0) return;
    const most = Math.min(target.tasks, movable);
    const tasks = Math.min(most, job.waiting.size);
    if (left) {
      left.cpus -= spec.cpus * tasks;
      left.gpus -= spec.gpus * tasks;
    }
    this.ctx.notePendingAssignment(target.partition, spec, tasks);
    this.move(
      job,
      job.waiting.take(whole ? spec.tasks : most),
      target.partition,
    );
  }

  /** Tasks of an array that a group has places for: one with an empty queue, or after a while with room beside its queue. */
  private placesAt(
    job: JobRun,
    room: CapacityRecord,
    short: boolean,
    handed: readonly PendingAssignment[] | undefined,
  ): number {
    const { spec } = job.view;
    const queued = room.queue[backlogKindOf(spec)];
    if (queued > 0 && this.waitedMs(job) < LONG_WAIT_MS) return 0;
    const catalog = this.ctx.catalog ?? [];
    return placesLeft(spec, room, catalog, short, handed) - queued;
  }

  /**
   * Tasks of a job that goes whole that fit into a group now; or, once it has waited for longer than stopping takes, that fit
   * there once less urgent work has given way, if nothing as urgent waits there.
   */
  private wholeAt(
    job: JobRun,
    partition: string,
    room: CapacityRecord,
    short: boolean,
    handed: readonly PendingAssignment[] | undefined,
  ): number {
    const { spec } = job.view;
    const at = placesForWhole(
      spec,
      this.zonesFor(spec, partition),
      room,
      this.ctx.catalog ?? [],
      short,
      handed,
    );
    return at.now < spec.tasks &&
      this.ctx.nowMs - job.waitingSinceMs > PREEMPT_ELSEWHERE_AFTER_MS &&
      waitingBefore(spec, room) === 0
      ? at.yields
      : at.now;
  }

  /**
   * Tasks that the team's limit would let start there, with what this group does not use of it itself: that follows them.
   * Work that only its limit keeps from starting went from group to group, each having machines free and none a part of
   * the limit: 7,600 moves in 500 s on a day with limits of a quarter of what was asked.
   */
  private allowed(
    spec: JobSpec,
    partition: string,
    here: ResourceUse | undefined,
  ): number {
    const there = this.sharing.spareAt(partition, spec.team);
    let cpus = there[0] + Math.max(0, here?.cpus ?? 0);
    let gpus = there[1] + Math.max(0, here?.gpus ?? 0);
    for (const h of this.ctx.pendingAssignments.get(partition) ?? [])
      if (h.spec.team === spec.team) {
        cpus -= h.spec.cpus * h.tasks;
        gpus -= h.spec.gpus * h.tasks;
      }
    return cpus === Infinity && gpus === Infinity
      ? Infinity
      : fitWithinLimit(spec, { cpus, gpus });
  }

  private zonesFor(spec: JobSpec, partition: string): string[] {
    return (
      capablePartitions(spec, this.ctx.catalog ?? [], this.ctx.partitions).find(
        (c) => c.partition === partition,
      )?.zones ?? []
    );
  }

  private move(job: JobRun, tasks: RangeSet, to: string): void {
    for (const i of tasks)
      if (this.own.ledger.hasUnconfirmed(job.id, i)) return;
    const value = writeJob({
      ...job.view,
      assignment: reassigned(
        job.view.assignment,
        this.own.partition,
        tasks,
        to,
      ),
    });
    // A record in too many pieces would be refused for ever.
    if (bytesOf(value) > this.ctx.settings.state.valueBytes) return;
    job.pendingTransfer = {
      tasks,
      change: new PendingTransfer(job.view.revision, value),
    };
    job.waiting.removeAll(tasks);
    this.ctx.log("rebalancing waiting tasks", {
      job: job.id,
      tasks: tasks.size,
      to,
    });
    this.send(job);
  }

  send(job: JobRun): void {
    const m = job.pendingTransfer;
    const key = jobKey(job.id);
    m?.change.send(
      (version, value, done) =>
        this.own.commit(
          [{ key, version }],
          [{ op: "put", key, value }],
          CallPriority.Background,
          done,
        ),
      () => {
        if (job.pendingTransfer !== m) return;
        job.pendingTransfer = null;
        if (!job.isOver) this.own.recomputeWaiting(job);
      },
    );
  }
}
