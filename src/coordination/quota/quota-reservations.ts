/**
 * Reservation of a team's limit for a large job whose first start is overdue: all partitions hold back the team's other work
 * until the job has what it lacks. Owns which job of this partition asks for one. Design: docs/design/limits.md.
 */
import type { Team } from "../../config/settings.js";
import type { Context } from "../context.js";
import type { JobRun } from "../machines/worker-state.js";
import { type JobSpec, PRIORITIES } from "../model.js";
import { hasBegun } from "../scheduling/job-progress.js";
import { EPSILON } from "../scheduling/placement.js";
import type { PartitionState } from "../scheduling/partition-state.js";
import type { QuotaReservation } from "./partition-demand.js";
import { canBeginUnder, type QuotaDemand } from "./quota-demand.js";
import {
  DIMENSIONS,
  isAnyPositive,
  perDimension,
  type ResourceAmounts,
  roundUpToHundredth,
} from "./resource-amounts.js";

/** A reservation, and the partition that its job waits in. */
export interface PartitionReservation extends QuotaReservation {
  partition: string;
}

/** A job of this partition that a reservation is for. */
interface OverdueJob {
  job: JobRun;
  /** What has to start at once. */
  need: ResourceAmounts;
  /** When it last lacked quota: a job that only waits for machines holds nobody back. */
  lackedMs: number;
}

/** Overdue jobs are looked for no more often than this. */
const CHECK_INTERVAL_MS = 1_000;
/** Parts of `begin_within_s`: the age from which quota is reserved for a job, and up to which. */
const RESERVED_FROM = 0.4;
const RESERVED_UNTIL = 1.25;
/** A job is large if it takes so many times what the end of the smallest running task frees: smaller ones find their turn. */
const LARGE_JOB_FACTOR = 2;
/** In each period quota is reserved for so long; the rest is open to all work, none of which may wait for 90 s. */
const PERIOD_MS = 75_000;
const RESERVING_MS = 60_000;
/** Quota that a job lacked is kept for it for so long, in which it starts, or a machine is rented and boots. */
const KEEP_RESERVED_MS = 30_000;
/** Overdue jobs of a team that are examined for a place on the machines. */
const MAX_JOBS_EXAMINED = 5;
const MS_PER_S = 1_000;

/** The reservations of all teams, as this partition sees them. */
export class QuotaReservations {
  private checkedMs = -Infinity;
  private readonly overdueByTeam = new Map<string, OverdueJob>();
  /** Of the teams asked about in this step. */
  private inForceByTeam = new Map<string, PartitionReservation | null>();
  private inForceMs = -Infinity;

  /** `freeOf`: what this partition may still use of a team. */
  constructor(
    private readonly context: Context,
    private readonly state: PartitionState,
    private readonly quotaDemand: Pick<QuotaDemand, "canBePlaced">,
    private readonly freeOf: (team: string) => ResourceAmounts,
  ) {}

  /** The reservation that all partitions serve now; null: there is none. */
  inForce(team: string): PartitionReservation | null {
    if (this.inForceMs !== this.context.nowMs) {
      this.inForceMs = this.context.nowMs;
      this.inForceByTeam = new Map();
    }
    let reservation = this.inForceByTeam.get(team);
    if (reservation === undefined) {
      reservation = this.firstOf(team);
      this.inForceByTeam.set(team, reservation);
    }
    return reservation;
  }

  private firstOf(team: string): PartitionReservation | null {
    if (this.context.wallMs % PERIOD_MS >= RESERVING_MS) return null;
    const { cache, partitions } = this.context;
    let first = this.own(team);
    for (const [partition, { teams }] of cache.capacities) {
      const published = teams?.get(team)?.reservation;
      const isLed =
        partitions.names.includes(partition) && cache.partitions.has(partition);
      if (!published || !isLed || partition === this.state.partition) continue;
      const reservation = { ...published, partition };
      if (!first || isBefore(reservation, first)) first = reservation;
    }
    return first;
  }

  /** What this partition asks for: for its first overdue job, while that lacks quota and for a while after. */
  own(team: string): PartitionReservation | null {
    this.checkIfDue();
    const overdue = this.overdueByTeam.get(team);
    if (!overdue) return null;
    const { nowMs } = this.context;
    const lacks = lackingOf(overdue.need, this.freeOf(team));
    if (isAnyPositive(lacks)) overdue.lackedMs = nowMs;
    if (nowMs - overdue.lackedMs > KEEP_RESERVED_MS) return null;
    return {
      partition: this.state.partition,
      missing: lacks,
      readyAt: readyAtOf(overdue.job),
      priority: priorityOf(overdue.job),
    };
  }

  /** What is published: only what lacks something holds others back. */
  published(team: string): QuotaReservation | undefined {
    const own = this.own(team);
    if (!own || !isAnyPositive(own.missing)) return undefined;
    const { missing: lacks, readyAt, priority } = own;
    return { missing: lacks, readyAt, priority };
  }

  /** What this partition keeps for its own overdue job, unless `reservation` comes before that. */
  keptFrom(team: string, reservation: PartitionReservation): ResourceAmounts {
    const own = this.own(team);
    const overdue = this.overdueByTeam.get(team);
    if (!own || !overdue || isBefore(reservation, own)) return [0, 0];
    return overdue.need;
  }

  /** Whether a job may not start now, because what its team has left is reserved for another. */
  isHeldBack(job: JobRun): boolean {
    const reservation = this.inForce(job.view.spec.team);
    if (!reservation || priorityOf(job) > reservation.priority) return false;
    if (readyAtOf(job) > reservation.readyAt) return true;
    return hasBegun(this.context, job);
  }

  // ---- overdue jobs ----------------------------------------------------------------------------------------

  private checkIfDue(): void {
    if (this.context.nowMs - this.checkedMs < CHECK_INTERVAL_MS) return;
    this.checkedMs = this.context.nowMs;
    const before = new Map(this.overdueByTeam);
    this.overdueByTeam.clear();
    const smallestByTeam = new Map<string, ResourceAmounts>();
    const candidates = [...this.state.jobs.values()]
      .filter((job) => this.isOverdue(job) && this.isLarge(job, smallestByTeam))
      .sort(compareJobs);
    const examined = new Map<string, number>();
    for (const job of candidates) {
      const { team } = job.view.spec;
      const count = (examined.get(team) ?? 0) + 1;
      examined.set(team, count);
      if (this.overdueByTeam.has(team) || count > MAX_JOBS_EXAMINED) continue;
      if (!this.quotaDemand.canBePlaced(job)) continue;
      const known = before.get(team);
      const lackedMs = known?.job === job ? known.lackedMs : -Infinity;
      this.overdueByTeam.set(team, { job, need: needOf(job), lackedMs });
    }
  }

  private isOverdue(job: JobRun): boolean {
    const { settings, tuning, wallMs } = this.context;
    const { spec, readyAt } = job.view;
    const ageS = (wallMs - readyAt) / MS_PER_S;
    if (
      ageS < tuning.beginWithinS * RESERVED_FROM ||
      ageS > tuning.beginWithinS * RESERVED_UNTIL
    )
      return false;
    const team = settings.teams.get(spec.team);
    return (
      team !== undefined &&
      isLimited(team) &&
      canBeginUnder(team, spec) &&
      this.state.mayStart(job) &&
      !job.pendingTransfer &&
      job.quarantinedSinceMs === null &&
      !hasBegun(this.context, job)
    );
  }

  private isLarge(
    job: JobRun,
    smallestByTeam: Map<string, ResourceAmounts>,
  ): boolean {
    const { team } = job.view.spec;
    const need = needOf(job);
    const smallest = smallestByTeam.get(team) ?? this.smallestRunning(team);
    smallestByTeam.set(team, smallest);
    return DIMENSIONS.some(
      (dimension) =>
        need[dimension] >= LARGE_JOB_FACTOR * smallest[dimension] - EPSILON,
    );
  }

  /** What the smallest running tasks of the team take, of each resource that any takes; Infinity: none does. */
  private smallestRunning(team: string): ResourceAmounts {
    const smallest: ResourceAmounts = [Infinity, Infinity];
    const note = ({ cpus, gpus }: JobSpec): void => {
      if (cpus > 0) smallest[0] = Math.min(smallest[0], cpus);
      if (gpus > 0) smallest[1] = Math.min(smallest[1], gpus);
    };
    for (const { view, active } of this.state.jobs.values())
      if (view.spec.team === team && active.size > 0) note(view.spec);
    const { cache } = this.context;
    for (const { running } of cache.capacities.values())
      for (const id of running.keys()) {
        const spec = cache.jobs.get(id)?.spec;
        if (spec?.team === team) note(spec);
      }
    return smallest;
  }
}

const isLimited = (team: Team): boolean =>
  Number.isFinite(team.cpusMax) || Number.isFinite(team.gpusMax);

/** What has to start at once of a job: one task, or the part of a gang that waits here. */
function needOf(job: JobRun): ResourceAmounts {
  const { spec } = job.view;
  const tasks = spec.kind === "gang" ? job.waiting.size : 1;
  return [spec.cpus * tasks, spec.gpus * tasks];
}

const lackingOf = (
  need: Readonly<ResourceAmounts>,
  free: Readonly<ResourceAmounts>,
): ResourceAmounts =>
  perDimension((dimension) =>
    Math.max(0, roundUpToHundredth(need[dimension] - free[dimension])),
  );

/** Whole milliseconds, as they are published: all partitions are to see the same order. */
const readyAtOf = (job: JobRun): number => Math.round(job.view.readyAt);

const priorityOf = (job: JobRun): number =>
  PRIORITIES.indexOf(job.view.priority);

const compareJobs = (first: JobRun, second: JobRun): number =>
  priorityOf(second) - priorityOf(first) ||
  first.view.readyAt - second.view.readyAt ||
  (first.id < second.id ? -1 : 1);

/** One order for all partitions, so that two of them never reserve for two jobs at once. */
function isBefore(
  first: PartitionReservation,
  second: PartitionReservation,
): boolean {
  if (first.priority !== second.priority)
    return first.priority > second.priority;
  if (first.readyAt !== second.readyAt) return first.readyAt < second.readyAt;
  return first.partition < second.partition;
}
