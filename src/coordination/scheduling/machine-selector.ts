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
  type Resources,
} from "./placement.js";
import type { RoundResources } from "./round-resources.js";

/** Tasks of the job failed on the machine: only if no other machine has room. */
const FAILED_HERE_PENALTY = 1_000;
/** The image is on the machine, or none is needed. */
const IMAGE_PRESENT_BONUS = 200;
/** Reserved machines are left to short tasks as long as others have room. */
const RESERVED_PENALTY = 100;
/** For each task of the same image that is on the machine. */
const SAME_IMAGE_TASK_BONUS = 50;
/** For the part of the machine that stays free: little left over is better. */
const LEFTOVER_PENALTY = 10;

/** A machine that has room for tasks of a job. */
interface Candidate {
  readonly worker: Worker;
  /** Tasks that it has room for. */
  readonly count: number;
  readonly score: number;
}

export class MachineSelector {
  constructor(
    private readonly ctx: Context,
    private readonly partition: PartitionState,
    private readonly reservations: GangReservations,
  ) {}

  /**
   * Machines for `want` tasks of a job, one entry a task, fewer if there is no room for all: for a gang or a job that
   * needs one zone the best ones in turn, else only the best one, as often as it has room.
   */
  select(
    job: JobRun,
    want: number,
    open: readonly Worker[],
    resources: RoundResources,
  ): Worker[] {
    const spec = job.view.spec;
    const tasksByZone = this.tasksByZone(job);
    // Invariant (rule wrong_place): with `samePlace` only the zone where any of its tasks still is.
    if (spec.samePlace && tasksByZone.size > 1) return [];
    const candidates = this.candidates(job, tasksByZone, open, resources);
    if (candidates.length === 0) return [];
    if (spec.kind === "gang" || spec.samePlace)
      return largestSelection(spec, want, candidates, tasksByZone);
    const best = candidates.reduce((first, second) =>
      second.score > first.score ? second : first,
    );
    return Array.from(
      { length: Math.min(want, best.count) },
      () => best.worker,
    );
  }

  /** Zones where tasks of this job are or may be, with their number: tasks of old attempts count. */
  private tasksByZone(job: JobRun): Map<string, number> {
    const tasksByZone = new Map<string, number>();
    const count = ({ worker }: { worker: Worker }): void => {
      tasksByZone.set(worker.zone, (tasksByZone.get(worker.zone) ?? 0) + 1);
    };
    for (const task of job.active.values()) count(task);
    for (const task of this.partition.ledger.unconfirmedOfJob(job.id))
      count(task);
    return tasksByZone;
  }

  private candidates(
    job: JobRun,
    tasksByZone: ReadonlyMap<string, number>,
    open: readonly Worker[],
    resources: RoundResources,
  ): Candidate[] {
    const spec = job.view.spec;
    const zoneLimit = maxTasksPerZone(spec);
    const candidates: Candidate[] = [];
    for (const worker of open) {
      if (!this.mayUse(job, worker, tasksByZone)) continue;
      const free = resources.free.get(worker);
      if (!free) continue;
      const room = this.reservations.availableTo(spec, worker, free);
      // Invariant (rule wrong_place): with `spread`, no zone holds more than half, old attempts included.
      const count = Math.min(
        fitCount(spec, room),
        zoneLimit - (tasksByZone.get(worker.zone) ?? 0),
      );
      if (count <= 0) continue;
      const isReserved = resources.reservedIds.has(worker.id);
      const score = scoreOf(job, worker, room, isReserved);
      candidates.push({ worker, count, score });
    }
    return candidates;
  }

  /** Whether a job's tasks may run on a machine, whatever is free there. */
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

  /** Room that preemption made there is for another job. */
  private isReservedForOther(job: JobRun, worker: Worker): boolean {
    const reservation = worker.reservedFor;
    return (
      reservation !== null &&
      reservation.job !== job.id &&
      this.ctx.nowMs < reservation.untilMs
    );
  }
}

/** The largest selection of up to `want` places; with `samePlace` out of one zone, the first of equal ones. */
function largestSelection(
  spec: JobSpec,
  want: number,
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
    const selection = selectInOrder(spec, want, inZone, tasksByZone);
    if (selection.length > largest.length) largest = selection;
  }
  return largest;
}

/** Up to `want` places, from the best machine to the worst. */
function selectInOrder(
  spec: JobSpec,
  want: number,
  candidates: readonly Candidate[],
  tasksByZone: ReadonlyMap<string, number>,
): Worker[] {
  const zoneLimit = maxTasksPerZone(spec);
  const counts = new Map(tasksByZone);
  const selection: Worker[] = [];
  const bestFirst = [...candidates].sort(
    (first, second) => second.score - first.score,
  );
  for (const { worker, count } of bestFirst) {
    if (selection.length === want) break;
    const inZone = counts.get(worker.zone) ?? 0;
    const places = Math.max(
      0,
      Math.min(count, want - selection.length, zoneLimit - inZone),
    );
    for (let place = 0; place < places; place++) selection.push(worker);
    counts.set(worker.zone, inZone + places);
  }
  return selection;
}

/** Higher is better: its image is there, unreserved, little left over. */
function scoreOf(
  job: JobRun,
  worker: Worker,
  room: Resources,
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
    ? (room.cpus - spec.cpus) / (worker.type.cpus || 1)
    : 0;
  return score - leftover * LEFTOVER_PENALTY;
}
