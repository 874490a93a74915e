/**
 * Reserves a team's quota for a large job whose first start is overdue: all partitions hold back the team's other jobs until
 * this one has the quota that it lacks. Owns the overdue jobs of this partition. Design: docs/design/limits.md.
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

/** A reservation, with the partition in which its job waits. */
export interface PartitionReservation extends QuotaReservation {
  partition: string;
}

/** A job of this partition that needs a reservation. */
interface OverdueJob {
  job: JobRun;
  /** What has to start together: the need of one task, or of the gang's tasks that wait here. */
  need: ResourceAmounts;
  /** When it last lacked quota, in steady time: a job that only waits for machines must not hold back others for long. */
  lastMissingMs: number;
}

/** Minimum interval between searches for overdue jobs. */
const CHECK_INTERVAL_MS = 1_000;
/** Ages, as multiples of `begin_within_s`, from which and up to which quota is reserved for a job. */
const RESERVE_FROM_AGE = 0.4;
const RESERVE_UNTIL_AGE = 1.25;
/**
 * A job is large if it needs at least this many times what the smallest running task of the team frees when it ends. Smaller jobs
 * get their quota in the queue order without a reservation.
 */
const LARGE_JOB_FACTOR = 2;
/** Reservations apply in the first 60 s of each 75 s. In the rest, all jobs may start, because none should wait for 90 s. */
const RESERVATION_PERIOD_MS = 75_000;
const RESERVATION_PHASE_MS = 60_000;
/** How long quota is kept for a job once it no longer lacks any: long enough to start, or to rent and boot a machine. */
const KEEP_AFTER_SHORTFALL_MS = 30_000;
/** Overdue jobs of a team that are checked for slots on machines. */
const MAX_JOBS_EXAMINED = 5;
const MS_PER_S = 1_000;

/** The reservations of all teams, as known to this partition. */
export class QuotaReservations {
  private checkedMs = -Infinity;
  private readonly overdueByTeam = new Map<string, OverdueJob>();
  /** Cache of `inForce` for the current step. */
  private inForceByTeam = new Map<string, PartitionReservation | null>();
  private inForceComputedMs = -Infinity;

  /** `freeOf`: unused quota of a team in this partition. */
  constructor(
    private readonly context: Context,
    private readonly state: PartitionState,
    private readonly quotaDemand: Pick<QuotaDemand, "canBePlaced">,
    private readonly freeOf: (team: string) => ResourceAmounts,
  ) {}

  /** The one reservation of a team that all partitions apply now; null if there is none. */
  inForce(team: string): PartitionReservation | null {
    if (this.inForceComputedMs !== this.context.nowMs) {
      this.inForceComputedMs = this.context.nowMs;
      this.inForceByTeam = new Map();
    }
    let reservation = this.inForceByTeam.get(team);
    if (reservation === undefined) {
      reservation = this.findInForce(team);
      this.inForceByTeam.set(team, reservation);
    }
    return reservation;
  }

  private findInForce(team: string): PartitionReservation | null {
    if (this.context.wallMs % RESERVATION_PERIOD_MS >= RESERVATION_PHASE_MS)
      return null;
    const { cache, partitions } = this.context;
    let first = this.ownReservation(team);
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

  /** The reservation for this partition's first overdue job, while it lacks quota and for a time after; null if there is none. */
  ownReservation(team: string): PartitionReservation | null {
    this.checkIfDue();
    const overdue = this.overdueByTeam.get(team);
    if (!overdue) return null;
    const { nowMs } = this.context;
    const missing = missingOf(overdue.need, this.freeOf(team));
    if (isAnyPositive(missing)) overdue.lastMissingMs = nowMs;
    if (nowMs - overdue.lastMissingMs > KEEP_AFTER_SHORTFALL_MS) return null;
    return {
      partition: this.state.partition,
      missing,
      readyAt: readyAtOf(overdue.job),
      priority: priorityOf(overdue.job),
    };
  }

  /** The reservation to publish: none once the job lacks no quota, so that other partitions don't hold back their jobs for it. */
  reservationToPublish(team: string): QuotaReservation | undefined {
    const ownReservation = this.ownReservation(team);
    if (!ownReservation || !isAnyPositive(ownReservation.missing))
      return undefined;
    const { missing, readyAt, priority } = ownReservation;
    return { missing, readyAt, priority };
  }

  /** Quota kept for this partition's own overdue job, unless `reservation` takes precedence over it. */
  keptForOverdueJob(
    team: string,
    reservation: PartitionReservation,
  ): ResourceAmounts {
    const own = this.ownReservation(team);
    const overdue = this.overdueByTeam.get(team);
    if (!own || !overdue || isBefore(reservation, own)) return [0, 0];
    return overdue.need;
  }

  /** Whether a job must not start now because its team's quota is reserved for another one. */
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
    const previousByTeam = new Map(this.overdueByTeam);
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
      const previous = previousByTeam.get(team);
      const lastMissingMs =
        previous?.job === job ? previous.lastMissingMs : -Infinity;
      this.overdueByTeam.set(team, {
        job,
        need: needOf(job),
        lastMissingMs,
      });
    }
  }

  private isOverdue(job: JobRun): boolean {
    const { settings, tuning, wallMs } = this.context;
    const { spec, readyAt } = job.view;
    const ageS = (wallMs - readyAt) / MS_PER_S;
    if (
      ageS < tuning.beginWithinS * RESERVE_FROM_AGE ||
      ageS > tuning.beginWithinS * RESERVE_UNTIL_AGE
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

  /** For each resource, the least that any running task of the team uses; Infinity if none uses it. */
  private smallestRunning(team: string): ResourceAmounts {
    const smallest: ResourceAmounts = [Infinity, Infinity];
    const include = ({ cpus, gpus }: JobSpec): void => {
      if (cpus > 0) smallest[0] = Math.min(smallest[0], cpus);
      if (gpus > 0) smallest[1] = Math.min(smallest[1], gpus);
    };
    for (const { view, active } of this.state.jobs.values())
      if (view.spec.team === team && active.size > 0) include(view.spec);
    const { cache } = this.context;
    for (const { running } of cache.capacities.values())
      for (const id of running.keys()) {
        const spec = cache.jobs.get(id)?.spec;
        if (spec?.team === team) include(spec);
      }
    return smallest;
  }
}

const isLimited = (team: Team): boolean =>
  Number.isFinite(team.cpusMax) || Number.isFinite(team.gpusMax);

/** What has to start together of a job: the need of one task, or of the gang's tasks that wait here. */
function needOf(job: JobRun): ResourceAmounts {
  const { spec } = job.view;
  const tasks = spec.kind === "gang" ? job.waiting.size : 1;
  return [spec.cpus * tasks, spec.gpus * tasks];
}

const missingOf = (
  need: Readonly<ResourceAmounts>,
  free: Readonly<ResourceAmounts>,
): ResourceAmounts =>
  perDimension((dimension) =>
    Math.max(0, roundUpToHundredth(need[dimension] - free[dimension])),
  );

/** In whole milliseconds, as published, so that all partitions compute the same order. */
const readyAtOf = (job: JobRun): number => Math.round(job.view.readyAt);

const priorityOf = (job: JobRun): number =>
  PRIORITIES.indexOf(job.view.priority);

const compareJobs = (first: JobRun, second: JobRun): number =>
  priorityOf(second) - priorityOf(first) ||
  first.view.readyAt - second.view.readyAt ||
  (first.id < second.id ? -1 : 1);

/** Precedence of reservations, equal in all partitions, so that they agree on the one in force. */
function isBefore(
  first: PartitionReservation,
  second: PartitionReservation,
): boolean {
  if (first.priority !== second.priority)
    return first.priority > second.priority;
  if (first.readyAt !== second.readyAt) return first.readyAt < second.readyAt;
  return first.partition < second.partition;
}
