/**
 * Which waiting tasks of a partition ask for parts of their teams' limits. Owns the list by team, recomputed from the jobs
 * and machines a few times a second.
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
  startsWhole,
} from "../scheduling/placement.js";
import { isShort, queueOrderMs } from "../scheduling/scheduling-round.js";
import { isSpreadOverPartitions } from "../scheduling/spread-gangs.js";
import { freeOn, type JobRun } from "../machines/worker-state.js";
import type { ResourceAmounts } from "./resource-amounts.js";

/** Tasks of one job that wait for a part of a limit. */
export interface WaitingTasks {
  /** What they take together. */
  need: ResourceAmounts;
  /** Whose turn it is, as the queues have it: a time of day, in whole ms. */
  turnMs: number;
  /** Time of day, in ms, since which they could run. */
  readyAt: number;
  /** They have a place at once, or have waited for so long that they count as if they had. */
  isStartable: boolean;
  /** What has to start at once: one task, or a whole gang. */
  unit: ResourceAmounts;
  /** How many of these wait. */
  units: number;
  /** The part of a gang whose other parts, in other partitions, have to start with it. */
  isPartOfGang: boolean;
}

/** What jobs that ask for nearly the same find; `placesNow` shrinks as jobs take of it. */
interface PlacesOfKind {
  hasPlace: boolean;
  placesNow: number;
}

/** The waiting tasks are looked at anew no more often than this. */
const RECOMPUTE_INTERVAL_MS = 300;
/**
 * Who has waited for this long comes before younger work that has a place already, though its own place is yet to be
 * rented: a stream of small jobs would keep a part of the limit from it for ever.
 */
const AGED_MS = 20_000;
/** Tasks of an array whose places are yet to be rented ask for so much at once: the rest will ask as these start. */
const MAX_TASKS_TO_COME = 20;
/** The oldest waiting jobs of a team that are looked at. */
const MAX_JOBS_PER_TEAM = 100;
/** Jobs whose memory lies in the same step of this size share one look at the machines. */
const MEMORY_STEP_GB = 8;

/**
 * What waits here of each team, whether it has a place, and since when. Work without any place, now or to be rented,
 * wants nothing: a part of a limit that it had would be kept from others for nothing.
 */
export class QuotaDemand {
  private computedMs = -Infinity;
  private byTeam = new Map<string, WaitingTasks[]>();

  /** `hasPlace`: whether the partition has, or may get, a machine with free resources for a task of such a job. */
  constructor(
    private readonly context: Context,
    private readonly state: PartitionState,
    private readonly hasPlace: (spec: JobSpec) => boolean,
  ) {}

  /** In the order of their turns. */
  waitingOf(team: string): readonly WaitingTasks[] {
    if (this.context.nowMs - this.computedMs >= RECOMPUTE_INTERVAL_MS)
      this.recompute();
    return this.byTeam.get(team) ?? [];
  }

  private recompute(): void {
    this.computedMs = this.context.nowMs;
    this.byTeam = new Map();
    const kinds = new Map<string, PlacesOfKind>();
    const jobCounts = new Map<string, number>();
    for (const job of this.jobsByTurn()) {
      const { spec } = job.view;
      const jobCount = (jobCounts.get(spec.team) ?? 0) + 1;
      jobCounts.set(spec.team, jobCount);
      // The limit of a team that the settings don't name is never short.
      const team = this.context.settings.teams.get(spec.team);
      if (!team || jobCount > MAX_JOBS_PER_TEAM || !canBeginUnder(team, spec))
        continue;
      const places = this.placesOfKind(spec, kinds);
      if (places.hasPlace || places.placesNow > 0) this.addJob(job, places);
    }
  }

  private jobsByTurn(): JobRun[] {
    return [...this.state.jobs.values()]
      .filter((job) => this.state.mayStart(job) && !job.pendingTransfer)
      .sort(
        (a, b) => this.turnOf(a) - this.turnOf(b) || (a.id < b.id ? -1 : 1),
      );
  }

  /** Parts of a limit go where the queues go, in every partition: to the one that could start what comes first next. */
  private turnOf(job: JobRun): number {
    const { readyAt, spec } = job.view;
    return this.context.tuning.fleetOrder
      ? queueOrderMs(readyAt, spec, this.state.unfinishedTasks(job))
      : readyAt;
  }

  private placesOfKind(
    spec: JobSpec,
    kinds: Map<string, PlacesOfKind>,
  ): PlacesOfKind {
    const short = isShort(spec, this.context.tuning);
    const key = kindKeyOf(spec, short);
    let kind = kinds.get(key);
    if (!kind) {
      kind = {
        hasPlace: this.hasPlace(spec),
        placesNow: this.countPlacesNow(spec, short),
      };
      kinds.set(key, kind);
    }
    return kind;
  }

  private addJob(job: JobRun, places: PlacesOfKind): void {
    const { spec, readyAt } = job.view;
    const waiting = job.waiting.size;
    const isWhole = startsWhole(spec) || spec.kind === "service";
    const fitting =
      isWhole && places.placesNow < waiting
        ? 0
        : Math.min(waiting, places.placesNow);
    places.placesNow -= fitting;
    const isAged = this.context.wallMs - readyAt > AGED_MS;
    if (isWhole) {
      this.addTasks(job, waiting, fitting === waiting || isAged);
      return;
    }
    const toCome = Math.min(waiting - fitting, MAX_TASKS_TO_COME);
    this.addTasks(job, fitting + (isAged ? toCome : 0), true);
    if (!isAged) this.addTasks(job, toCome, false);
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
      // Whole milliseconds, as they are published: two partitions that saw the same time differently each took the other to
      // be first, and neither took what nobody had.
      turnMs: Math.round(this.turnOf(job)),
      readyAt,
      isStartable,
      unit: [spec.cpus * unitTasks, spec.gpus * unitTasks],
      units: taskCount / unitTasks,
      isPartOfGang: isSpreadOverPartitions(spec, assignment.size),
    });
  }

  /** Whether all tasks of the job that have to start at once have a place, now or to be rented, whoever else may use it. */
  canBePlaced(job: JobRun): boolean {
    const { spec } = job.view;
    if (this.hasPlace(spec)) return true;
    const places = this.placesByZone(spec, isShort(spec, this.context.tuning));
    const inZones = [...places.values()].map((count) =>
      Math.min(count, maxTasksPerZone(spec)),
    );
    const total = spec.samePlace
      ? Math.max(0, ...inZones)
      : inZones.reduce((sum, count) => sum + count, 0);
    return total >= (spec.kind === "gang" ? job.waiting.size : 1);
  }

  /** Tasks of such a job that would start at once if the limit let them; with `samePlace` in the best zone. */
  private countPlacesNow(spec: JobSpec, short: boolean): number {
    const places = [...this.placesByZone(spec, short).values()];
    return spec.samePlace
      ? Math.max(0, ...places)
      : places.reduce((sum, count) => sum + count, 0);
  }

  private placesByZone(spec: JobSpec, short: boolean): Map<string, number> {
    const { usable, reserved } = this.state.usableWorkers();
    const placesByZone = new Map<string, number>();
    for (const worker of usable) {
      const { id, type, typeName, zone, spot } = worker;
      if (
        (!short && reserved.has(id)) ||
        this.state.isReservedForOther(worker) ||
        !isAllowedOn(spec, typeName, zone, spot) ||
        !isSuitable(spec, type, spot, this.context.catalog)
      )
        continue;
      const places = placesByZone.get(zone) ?? 0;
      placesByZone.set(zone, places + fitCount(spec, freeOn(worker)));
    }
    return placesByZone;
  }
}

/**
 * Whether the job can begin under the team's present limit. One that was accepted under a larger limit may not, and what it
 * waited for would be kept from all others.
 */
export function canBeginUnder(team: Team, spec: JobSpec): boolean {
  const minTasks = spec.kind === "array" ? 1 : spec.tasks;
  return (
    spec.cpus * minTasks <= team.cpusMax + EPSILON &&
    spec.gpus * minTasks <= team.gpusMax + EPSILON
  );
}

/** Jobs whose amounts differ by little share one look at the machines. */
const kindKeyOf = (spec: JobSpec, short: boolean): string =>
  JSON.stringify([
    Math.ceil(spec.cpus),
    spec.gpus,
    Math.ceil(spec.memGb / MEMORY_STEP_GB),
    spec.machineTypes,
    spec.zone,
    spec.spot,
    spec.samePlace,
    short,
  ]);
