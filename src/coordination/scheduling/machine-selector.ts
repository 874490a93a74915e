/**
 * Selects machines for the tasks of a job. Owns no state: machines and their free capacity are those of the round.
 */
import type { Context } from "../context.js";
import type { JobRun, Worker } from "../machines/worker-state.js";
import type { JobSpec } from "../model.js";
import type { GangReservations } from "./gang-reservations.js";
import type { PartitionState } from "./partition-state.js";
import {
  fitCount,
  isAllowedOn,
  isSuitable,
  maxTasksPerZone,
  type FreeCapacity,
} from "./placement.js";
import type { RoundResources } from "./round-resources.js";

/** Tasks of the job failed on the machine, which is used only if no other has a free slot. */
const FAILED_HERE_PENALTY = 1_000;
/** The image is on the machine, or the task needs none. */
const IMAGE_PRESENT_BONUS = 200;
/** The machine is reserved for short tasks and is left to them as long as others have free slots. */
const RESERVED_PENALTY = 100;
/** For each task on the machine that has the same image. */
const SAME_IMAGE_TASK_BONUS = 50;
/** Multiplied by the share of the machine's CPUs that stays free: a tight fit is better. */
const LEFTOVER_PENALTY = 10;

/** A machine that has free slots for tasks of a job. */
interface Candidate {
  readonly worker: Worker;
  /** Number of these slots. */
  readonly count: number;
  readonly score: number;
}

export class MachineSelector {
  constructor(
    private readonly ctx: Context,
    private readonly state: PartitionState,
    private readonly reservations: GangReservations,
  ) {}

  /**
   * Selects machines for up to `taskCount` tasks of a job and returns one entry per task. A gang or a job that needs one zone
   * gets as many of the best machines as it needs; any other job gets only the best one, as many times as it has slots.
   */
  select(
    job: JobRun,
    taskCount: number,
    workers: readonly Worker[],
    resources: RoundResources,
  ): Worker[] {
    const spec = job.view.spec;
    const tasksByZone = this.tasksByZone(job);
    // Invariant (rule wrong_place): with `samePlace`, tasks start only in the zone where others of the job may still be.
    if (spec.samePlace && tasksByZone.size > 1) return [];
    const candidates = this.candidates(job, tasksByZone, workers, resources);
    if (candidates.length === 0) return [];
    if (spec.kind === "gang" || spec.samePlace)
      return largestSelection(spec, taskCount, candidates, tasksByZone);
    const best = candidates.reduce((first, second) =>
      second.score > first.score ? second : first,
    );
    return Array.from(
      { length: Math.min(taskCount, best.count) },
      () => best.worker,
    );
  }

  /** How many of the job's tasks are or may be in each zone, including those of earlier attempts. */
  private tasksByZone(job: JobRun): Map<string, number> {
    const tasksByZone = new Map<string, number>();
    const count = ({ worker }: { worker: Worker }): void => {
      tasksByZone.set(worker.zone, (tasksByZone.get(worker.zone) ?? 0) + 1);
    };
    for (const task of job.active.values()) count(task);
    for (const task of this.state.ledger.unconfirmedOfJob(job.id)) count(task);
    return tasksByZone;
  }

  private candidates(
    job: JobRun,
    tasksByZone: ReadonlyMap<string, number>,
    workers: readonly Worker[],
    resources: RoundResources,
  ): Candidate[] {
    const spec = job.view.spec;
    const zoneLimit = maxTasksPerZone(spec);
    const candidates: Candidate[] = [];
    for (const worker of workers) {
      if (!this.mayUse(job, worker, tasksByZone)) continue;
      const free = resources.free.get(worker);
      if (!free) continue;
      const available = this.reservations.availableTo(spec, worker, free);
      // Invariant (rule wrong_place): with `spread`, no zone holds more than half of the tasks, earlier attempts included.
      const count = Math.min(
        fitCount(spec, available),
        zoneLimit - (tasksByZone.get(worker.zone) ?? 0),
      );
      if (count <= 0) continue;
      const isReserved = resources.reservedIds.has(worker.id);
      const score = scoreOf(job, worker, available, isReserved);
      candidates.push({ worker, count, score });
    }
    return candidates;
  }

  /** Whether a job's tasks may run on a machine, regardless of what is free there. */
  private mayUse(
    job: JobRun,
    worker: Worker,
    tasksByZone: ReadonlyMap<string, number>,
  ): boolean {
    const spec = job.view.spec;
    const isBoundElsewhere =
      spec.samePlace && tasksByZone.size > 0 && !tasksByZone.has(worker.zone);
    return (
      !isBoundElsewhere &&
      !this.isReservedForOther(job, worker) &&
      isAllowedOn(spec, worker.typeName, worker.zone, worker.spot) &&
      isSuitable(spec, worker.type, worker.spot, this.ctx.catalog)
    );
  }

  /** Whether capacity that preemption freed on a machine is reserved for another job. */
  private isReservedForOther(job: JobRun, worker: Worker): boolean {
    const reservation = worker.reservedFor;
    return (
      reservation !== null &&
      reservation.job !== job.id &&
      this.ctx.nowMs < reservation.untilMs
    );
  }
}

/** Selects as many slots as possible, up to `taskCount`; with `samePlace` all in one zone, the first of equally good ones. */
function largestSelection(
  spec: JobSpec,
  taskCount: number,
  candidates: readonly Candidate[],
  tasksByZone: ReadonlyMap<string, number>,
): Worker[] {
  const byZone = new Map<string, Candidate[]>();
  for (const candidate of candidates) {
    const zone = spec.samePlace ? candidate.worker.zone : "";
    const others = byZone.get(zone);
    if (others) others.push(candidate);
    else byZone.set(zone, [candidate]);
  }
  let largest: Worker[] = [];
  for (const inZone of byZone.values()) {
    const selection = selectInOrder(spec, taskCount, inZone, tasksByZone);
    if (selection.length > largest.length) largest = selection;
  }
  return largest;
}

/** Selects up to `taskCount` slots, from the best machine to the worst. */
function selectInOrder(
  spec: JobSpec,
  taskCount: number,
  candidates: readonly Candidate[],
  tasksByZone: ReadonlyMap<string, number>,
): Worker[] {
  const zoneLimit = maxTasksPerZone(spec);
  const tasksInZone = new Map(tasksByZone);
  const selection: Worker[] = [];
  const bestFirst = [...candidates].sort(
    (first, second) => second.score - first.score,
  );
  for (const { worker, count } of bestFirst) {
    if (selection.length === taskCount) break;
    const inZone = tasksInZone.get(worker.zone) ?? 0;
    const slots = Math.max(
      0,
      Math.min(count, taskCount - selection.length, zoneLimit - inZone),
    );
    for (let slot = 0; slot < slots; slot++) selection.push(worker);
    tasksInZone.set(worker.zone, inZone + slots);
  }
  return selection;
}

/** Rates a machine for a task of the job; higher is better. */
function scoreOf(
  job: JobRun,
  worker: Worker,
  available: FreeCapacity,
  isReserved: boolean,
): number {
  const spec = job.view.spec;
  let score = 0;
  if (job.failuresByMachine.has(worker.id)) score -= FAILED_HERE_PENALTY;
  if (!spec.image || worker.images.has(spec.image))
    score += IMAGE_PRESENT_BONUS;
  if (isReserved) score -= RESERVED_PENALTY;
  for (const task of worker.tasks.values())
    if (task.job.view.spec.image === spec.image) score += SAME_IMAGE_TASK_BONUS;
  const leftover = worker.type
    ? (available.cpus - spec.cpus) / (worker.type.cpus || 1)
    : 0;
  return score - leftover * LEFTOVER_PENALTY;
}
