/**
 * The order in which the waiting jobs of a partition are served in one scheduling round. Owns the queues of the round; the
 * turn of the long queue is kept between rounds by the scheduler.
 */
import {
  type JobSpec,
  type EffectivePriority,
  type Tuning,
  PRIORITIES,
} from "../model.js";

/** Whether a job has to begin now, and which other jobs it therefore precedes: see `GangAssembly`. */
export type Precedence =
  /** It need not begin now: only the order of the queues counts. */
  | "no"
  /** First of its priority if all its slots are free at this moment; no machine is kept idle for it. */
  | "whenFitting"
  /** First of its priority, and freed capacity is reserved for it: its machines are being assembled. */
  | "assembling"
  /** One of its tasks precedes everything else: none has begun yet, and other jobs lose no more than one slot. */
  | "firstTask";

/** What the queues need to know of a job that has waiting tasks in this partition. */
export interface QueuedJob {
  spec: JobSpec;
  effectivePriority: Pick<EffectivePriority, "priority" | "readyAt">;
  /** Its size, by which it is ordered behind smaller jobs in its queue: see `PartitionState.unfinishedTasks`. */
  remainingTasks: number;
  /** It can no longer be done in time, so it comes after jobs that still can: see `isLate`. */
  late: boolean;
  /** Whether it has to begin now: see `GangAssembly`. */
  precedence: Precedence;
}

/**
 * Pigeon's classes: short tasks may use the reserved machines, long ones may not. What counts is how much a start
 * occupies. A gang starts all its tasks at once, so a large gang is long even if each of its tasks is short.
 */
export function isShort(spec: JobSpec, tuning: Tuning): boolean {
  if (spec.kind === "service") return false;
  return spec.kind === "gang"
    ? spec.estimateS * spec.tasks < tuning.shortGangS
    : spec.estimateS < tuning.shortCutoffS;
}

/**
 * Orders jobs by priority; then those that can still be in time before those that can't; then by age, where the remaining
 * work of a job counts against it. So small jobs pass large ones, and no job waits forever.
 */
function compareJobs(first: QueuedJob, second: QueuedJob): number {
  return (
    compareByPriority(first, second) || compareWithinPriority(first, second)
  );
}

/** Arrays whose first task has to start now come first; then higher priorities; then gangs that have to begin now. */
function compareByPriority(first: QueuedJob, second: QueuedJob): number {
  const firstMustStart = first.precedence === "firstTask";
  const secondMustStart = second.precedence === "firstTask";
  if (firstMustStart !== secondMustStart) return firstMustStart ? -1 : 1;
  return (
    priorityRank(second) - priorityRank(first) ||
    PRECEDENCE_ORDER[second.precedence] - PRECEDENCE_ORDER[first.precedence]
  );
}

const priorityRank = ({ effectivePriority }: QueuedJob): number =>
  PRIORITIES.indexOf(effectivePriority.priority);

const PRECEDENCE_ORDER: Record<Precedence, number> = {
  assembling: 2,
  whenFitting: 1,
  no: 0,
  firstTask: 0,
};

function compareWithinPriority(first: QueuedJob, second: QueuedJob): number {
  if (first.late !== second.late) return first.late ? 1 : -1;
  return (
    jobOrderMs(first) - jobOrderMs(second) ||
    (first.spec.id < second.spec.id ? -1 : 1)
  );
}

const jobOrderMs = ({
  effectivePriority,
  spec,
  remainingTasks,
}: QueuedJob): number =>
  queueOrderMs(effectivePriority.readyAt, spec, remainingTasks);

/** Position of a job in its queue, as a time of day in ms: when it became ready, plus the estimate of its remaining work. */
export const queueOrderMs = (
  readyAt: number,
  spec: JobSpec,
  tasks: number,
): number => readyAt + spec.estimateS * tasks * MS_PER_S;

const MS_PER_S = 1_000;
/** A job that became ready longer ago than this no longer counts as late, so that it is not put last forever. */
const LATENESS_IGNORED_AFTER_MS = 600_000;

/** Estimates are often wrong by half: a job is late only if even this share of its estimate exceeds the time that is left. */
const OPTIMISTIC_ESTIMATE_SHARE = 0.5;

/** Whether a job can no longer be done by its deadline or by the objectives of its class. */
export function isLate(
  spec: JobSpec,
  priority: EffectivePriority,
  wallMs: number,
  objectives: readonly { kind: string; class?: string; withinS?: number }[],
): boolean {
  if (wallMs - priority.readyAt > LATENESS_IGNORED_AFTER_MS) return false;
  let { dueAt } = priority;
  for (const { kind, class: jobClass, withinS } of objectives)
    if (
      kind === "finished" &&
      jobClass === spec.jobClass &&
      withinS !== undefined
    )
      dueAt = Math.min(dueAt, priority.readyAt + withinS * MS_PER_S);
  return wallMs > dueAt - spec.estimateS * OPTIMISTIC_ESTIMATE_SHARE * MS_PER_S;
}

/** How a team's use compares with its guarantee, for the order between teams. */
type TeamRank = (team: string) => { within: boolean; share: number };

/** Orders the first jobs of two teams: at equal priority, teams within their guarantee first, then by their share of it. */
function compareAcrossTeams(
  first: QueuedJob,
  second: QueuedJob,
  rankOf: TeamRank,
): number {
  if (first.spec.team === second.spec.team) return compareJobs(first, second);
  const byPriority = compareByPriority(first, second);
  if (byPriority !== 0) return byPriority;
  const firstRank = rankOf(first.spec.team);
  const secondRank = rankOf(second.spec.team);
  if (firstRank.within !== secondRank.within) return firstRank.within ? -1 : 1;
  // If both teams are beyond their guarantee, the smaller share of it comes first; if both are within, the age of the jobs.
  if (!firstRank.within && firstRank.share !== secondRank.share)
    return firstRank.share - secondRank.share;
  return compareJobs(first, second);
}

/** Key of the only list of jobs if teams are not ranked. */
const ALL_TEAMS = "";

/** One queue of a partition, divided by team: which job is first depends on what the teams use at that moment. */
class TeamQueue<T extends QueuedJob> {
  /** Jobs of each team in reverse order, so that removing the first one moves none of the others. */
  private readonly jobsByTeam = new Map<string, T[]>();

  constructor(private readonly rankOf: TeamRank | null) {}

  add(job: T): void {
    const team = this.teamOf(job);
    const jobs = this.jobsByTeam.get(team);
    if (jobs) jobs.push(job);
    else this.jobsByTeam.set(team, [job]);
  }

  sort(): void {
    for (const jobs of this.jobsByTeam.values())
      jobs.sort((first, second) => compareJobs(second, first));
  }

  get isEmpty(): boolean {
    return this.jobsByTeam.size === 0;
  }

  first(): T | undefined {
    let best: T | undefined;
    for (const jobs of this.jobsByTeam.values()) {
      const job = jobs.at(-1);
      if (!job) continue;
      const isBefore =
        !best ||
        (this.rankOf && compareAcrossTeams(job, best, this.rankOf) < 0);
      if (isBefore) best = job;
    }
    return best;
  }

  /** Removes the first job of a team. */
  drop(job: T): void {
    const team = this.teamOf(job);
    const jobs = this.jobsByTeam.get(team);
    jobs?.pop();
    if (jobs?.length === 0) this.jobsByTeam.delete(team);
  }

  private teamOf(job: T): string {
    return this.rankOf ? job.spec.team : ALL_TEAMS;
  }
}

/**
 * The short and the long queue of a partition (Pigeon, section 2.2): short first, but one of every W tasks served comes
 * from the long queue while jobs wait there. A job that can't be placed now leaves the round, so that jobs behind it may
 * use what it can't.
 */
export class SchedulingRound<T extends QueuedJob> {
  private readonly shortQueue: TeamQueue<T>;
  private readonly longQueue: TeamQueue<T>;
  /** The current head and its queue, kept because serving tasks of it may change which queue is next. */
  private currentQueue: TeamQueue<T>;
  private current: T | undefined;

  constructor(
    jobs: Iterable<T>,
    private readonly tuning: Tuning,
    private readonly longQueueTurn: { shortTasksSinceLong: number },
    rankOf: TeamRank | null = null,
  ) {
    this.shortQueue = new TeamQueue(rankOf);
    this.longQueue = new TeamQueue(rankOf);
    this.currentQueue = this.shortQueue;
    for (const job of jobs)
      (isShort(job.spec, tuning) ? this.shortQueue : this.longQueue).add(job);
    this.shortQueue.sort();
    this.longQueue.sort();
  }

  private isLongQueueTurn(): boolean {
    if (this.longQueue.isEmpty) return false;
    return (
      this.shortQueue.isEmpty ||
      this.longQueueTurn.shortTasksSinceLong >= this.tuning.longEvery - 1
    );
  }

  /** The job to serve next, to which `served` and `skip` refer. */
  head(): T | undefined {
    this.currentQueue = this.isLongQueueTurn()
      ? this.longQueue
      : this.shortQueue;
    // A job that has to begin now does not wait for the turn of its queue.
    const firstShort = this.shortQueue.first();
    const firstLong = this.longQueue.first();
    if (firstShort && firstLong) {
      const isShortOrdinary = firstShort.precedence === "no";
      const isLongOrdinary = firstLong.precedence === "no";
      if (isShortOrdinary !== isLongOrdinary)
        this.currentQueue = isShortOrdinary ? this.longQueue : this.shortQueue;
    }
    return (this.current = this.currentQueue.first());
  }

  /** Tasks of the head that may be served before the other queue has its turn. */
  maxTasks(): number {
    if (this.currentQueue === this.longQueue)
      return this.shortQueue.isEmpty ? Infinity : 1;
    return this.longQueue.isEmpty
      ? Infinity
      : Math.max(
          1,
          this.tuning.longEvery - 1 - this.longQueueTurn.shortTasksSinceLong,
        );
  }

  /** Notes that tasks of the head were served. */
  served(tasks: number): void {
    this.longQueueTurn.shortTasksSinceLong =
      this.currentQueue === this.longQueue
        ? 0
        : this.longQueueTurn.shortTasksSinceLong + tasks;
  }

  /** Removes the head from this round, since no more of its tasks can be placed. */
  skip(): void {
    if (this.current) this.currentQueue.drop(this.current);
  }
}
