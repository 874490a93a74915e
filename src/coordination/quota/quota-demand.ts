/**
 * Waiting tasks of a partition that need quota of their teams. Owns the list of these by team, which is recomputed from the jobs
 * and machines a few times per second.
 */
import type { Context } from "../context.js";
import type { JobSpec } from "../model.js";
import type { Team } from "../../config/settings.js";
import type { PartitionState } from "../scheduling/partition-state.js";
import {
  EPSILON,
  fitCount,
  isAllowedOn,
  isSuitable,
  maxTasksPerZone,
  staysUndivided,
} from "../scheduling/placement.js";
import { isShort, queueOrderMs } from "../scheduling/scheduling-round.js";
import { isSpreadOverPartitions } from "../scheduling/spread-gangs.js";
import { freeOn, type JobRun } from "../machines/worker-state.js";
import type { ResourceAmounts } from "./resource-amounts.js";

/** Waiting tasks of one job that need quota. */
export interface WaitingTasks {
  /** What all of them need together. */
  need: ResourceAmounts;
  /** Position in the queue order: a time of day, in whole ms. */
  queueOrderMs: number;
  /** When the job became ready, in ms since the epoch. */
  readyAt: number;
  /** Whether they have free slots, or have waited for so long that they count as if they had. */
  isStartable: boolean;
  /** What has to start together: the need of one task, or of a whole gang. */
  unit: ResourceAmounts;
  /** Number of waiting units. */
  units: number;
  /** Whether they belong to a gang that is spread over partitions and must start in all of them together. */
  isPartOfGang: boolean;
}

/** Slots for jobs with nearly equal requirements; `freeSlots` decreases as jobs are assigned to them. */
interface SlotsOfKind {
  canGetSlot: boolean;
  freeSlots: number;
}

/** Minimum interval between recomputations of the list. */
const RECOMPUTE_INTERVAL_MS = 300;
/**
 * Tasks that have waited for this long count as startable, although their machines are yet to be rented. Otherwise a stream of
 * small jobs with free slots could keep quota from them forever.
 */
const STARTABLE_AFTER_MS = 20_000;
/** At most this many tasks of an array demand quota for machines yet to be rented; the rest follow as these start. */
const MAX_TASKS_WITHOUT_SLOT = 20;
/** Jobs of each team that are considered, in queue order. */
const MAX_JOBS_PER_TEAM = 100;
/** Jobs whose memory requirements round up to the same multiple of this share one count of slots. */
const MEMORY_STEP_GB = 8;

/**
 * The waiting tasks of each team that have a slot, or can get one on a machine to be rented. Tasks that can't get a slot demand no
 * quota: it would be withheld from other partitions without being used.
 */
export class QuotaDemand {
  private computedMs = -Infinity;
  private byTeam = new Map<string, WaitingTasks[]>();

  /** `canGetSlot`: whether the partition has, or can rent, a machine with free resources for a task of such a job. */
  constructor(
    private readonly context: Context,
    private readonly state: PartitionState,
    private readonly canGetSlot: (spec: JobSpec) => boolean,
  ) {}

  /** Waiting tasks of a team, in queue order. */
  waitingOf(team: string): readonly WaitingTasks[] {
    if (this.context.nowMs - this.computedMs >= RECOMPUTE_INTERVAL_MS)
      this.recompute();
    return this.byTeam.get(team) ?? [];
  }

  private recompute(): void {
    this.computedMs = this.context.nowMs;
    this.byTeam = new Map();
    const kinds = new Map<string, SlotsOfKind>();
    const jobCounts = new Map<string, number>();
    for (const job of this.jobsInQueueOrder()) {
      const { spec } = job.view;
      const jobCount = (jobCounts.get(spec.team) ?? 0) + 1;
      jobCounts.set(spec.team, jobCount);
      // A team that is not in the settings has no quota to demand.
      const team = this.context.settings.teams.get(spec.team);
      if (!team || jobCount > MAX_JOBS_PER_TEAM || !canBeginUnder(team, spec))
        continue;
      const slots = this.slotsOfKind(spec, kinds);
      if (slots.canGetSlot || slots.freeSlots > 0) this.addJob(job, slots);
    }
  }

  private jobsInQueueOrder(): JobRun[] {
    return [...this.state.jobs.values()]
      .filter((job) => this.state.mayStart(job) && !job.pendingTransfer)
      .sort(
        (first, second) =>
          this.queueOrderOf(first) - this.queueOrderOf(second) ||
          (first.id < second.id ? -1 : 1),
      );
  }

  /** The order of the scheduling queues, so that quota goes to the partition whose job is next across all partitions. */
  private queueOrderOf(job: JobRun): number {
    const { readyAt, spec } = job.view;
    return this.context.tuning.fleetOrder
      ? queueOrderMs(readyAt, spec, this.state.unfinishedTasks(job))
      : readyAt;
  }

  private slotsOfKind(
    spec: JobSpec,
    kinds: Map<string, SlotsOfKind>,
  ): SlotsOfKind {
    const isShortJob = isShort(spec, this.context.tuning);
    const key = kindKeyOf(spec, isShortJob);
    let kind = kinds.get(key);
    if (!kind) {
      kind = {
        canGetSlot: this.canGetSlot(spec),
        freeSlots: this.countFreeSlots(spec, isShortJob),
      };
      kinds.set(key, kind);
    }
    return kind;
  }

  private addJob(job: JobRun, slots: SlotsOfKind): void {
    const { spec, readyAt } = job.view;
    const waiting = job.waiting.size;
    const startsTogether = staysUndivided(spec) || spec.kind === "service";
    const withSlot =
      startsTogether && slots.freeSlots < waiting
        ? 0
        : Math.min(waiting, slots.freeSlots);
    slots.freeSlots -= withSlot;
    const isAged = this.context.wallMs - readyAt > STARTABLE_AFTER_MS;
    if (startsTogether) {
      this.addTasks(job, waiting, withSlot === waiting || isAged);
      return;
    }
    const withoutSlot = Math.min(waiting - withSlot, MAX_TASKS_WITHOUT_SLOT);
    this.addTasks(job, withSlot + (isAged ? withoutSlot : 0), true);
    if (!isAged) this.addTasks(job, withoutSlot, false);
  }

  private addTasks(job: JobRun, taskCount: number, isStartable: boolean): void {
    if (taskCount <= 0) return;
    const { spec, readyAt, assignment } = job.view;
    const unitTasks = spec.kind === "gang" ? taskCount : 1;
    let list = this.byTeam.get(spec.team);
    if (!list) {
      list = [];
      this.byTeam.set(spec.team, list);
    }
    list.push({
      need: [spec.cpus * taskCount, spec.gpus * taskCount],
      // Whole milliseconds, as published: when two partitions had different values of the same time, each could take the other
      // to be first, and neither took the unassigned quota.
      queueOrderMs: Math.round(this.queueOrderOf(job)),
      readyAt,
      isStartable,
      unit: [spec.cpus * unitTasks, spec.gpus * unitTasks],
      units: taskCount / unitTasks,
      isPartOfGang: isSpreadOverPartitions(spec, assignment.size),
    });
  }

  /** Whether all tasks that have to start together can get slots, free or on machines to be rented, regardless of other jobs. */
  canBePlaced(job: JobRun): boolean {
    const { spec } = job.view;
    if (this.canGetSlot(spec)) return true;
    const slotsByZone = this.freeSlotsByZone(
      spec,
      isShort(spec, this.context.tuning),
    );
    const inZones = [...slotsByZone.values()].map((count) =>
      Math.min(count, maxTasksPerZone(spec)),
    );
    const total = spec.samePlace
      ? Math.max(0, ...inZones)
      : inZones.reduce((sum, count) => sum + count, 0);
    return total >= (spec.kind === "gang" ? job.waiting.size : 1);
  }

  /** Number of tasks of such a job that could start at once if quota allowed it; with `samePlace`, in the best zone. */
  private countFreeSlots(spec: JobSpec, isShortJob: boolean): number {
    const slotCounts = [...this.freeSlotsByZone(spec, isShortJob).values()];
    return spec.samePlace
      ? Math.max(0, ...slotCounts)
      : slotCounts.reduce((sum, count) => sum + count, 0);
  }

  private freeSlotsByZone(
    spec: JobSpec,
    isShortJob: boolean,
  ): Map<string, number> {
    const { usable, reserved } = this.state.usableWorkers();
    const slotsByZone = new Map<string, number>();
    for (const worker of usable) {
      const { id, type, typeName, zone, spot } = worker;
      if (
        (!isShortJob && reserved.has(id)) ||
        this.state.isReservedForOther(worker) ||
        !isAllowedOn(spec, typeName, zone, spot) ||
        !isSuitable(spec, type, spot, this.context.catalog)
      )
        continue;
      const slots = slotsByZone.get(zone) ?? 0;
      slotsByZone.set(zone, slots + fitCount(spec, freeOn(worker)));
    }
    return slotsByZone;
  }
}

/**
 * Whether the team's current limit is enough for the job to begin. It may not be if the job was accepted under a larger limit;
 * quota reserved for such a job would be withheld from all others without being used.
 */
export function canBeginUnder(team: Team, spec: JobSpec): boolean {
  const minTasks = spec.kind === "array" ? 1 : spec.tasks;
  return (
    spec.cpus * minTasks <= team.cpusMax + EPSILON &&
    spec.gpus * minTasks <= team.gpusMax + EPSILON
  );
}

/** Jobs whose requirements differ only slightly share one count of slots. */
const kindKeyOf = (spec: JobSpec, isShortJob: boolean): string =>
  JSON.stringify([
    Math.ceil(spec.cpus),
    spec.gpus,
    Math.ceil(spec.memGb / MEMORY_STEP_GB),
    spec.machineTypes,
    spec.zone,
    spec.spot,
    spec.samePlace,
    isShortJob,
  ]);
