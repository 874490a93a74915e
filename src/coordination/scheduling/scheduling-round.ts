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

/** Whether a job has to begin now, and what it comes before for that: see `GangAssembly`. */
export type Precedence =
  /** Its turn is as the queues say. */
  | "no"
  /** First of its priority where all its places are free at this moment: nobody's machine stands idle for it. */
  | "fit"
  /** First of its priority, and what comes free is reserved for it: its machines are being assembled. */
  | "gang"
  /** One task of it before everything else: nothing of it has begun, and that costs nobody more than that task's place. */
  | "array";

/** What the queues need to know of a job that has waiting tasks in this partition. */
export interface QueuedJob {
  spec: JobSpec;
  effectivePriority: Pick<EffectivePriority, "priority" | "readyAt">;
  /** Tasks that put it back in its queue: see `PartitionState.unfinishedTasks`. */
  remainingTasks: number;
  /** It can't be done any more by the time that is expected of it; others still can. */
  late: boolean;
  /** It has to begin now: see `GangAssembly`. */
  precedence: Precedence;
}

/**
 * Pigeon's classes: short tasks may use the reserved machines, long ones may not. What a start takes away is what
 * counts: of a gang that is all its tasks at once, so a large one is long although each of its tasks is not.
 */
export function isShort(spec: JobSpec, tuning: Tuning): boolean {
  if (spec.kind === "service") return false;
  return spec.kind === "gang"
    ? spec.estimateS * spec.tasks < tuning.shortGangS
    : spec.estimateS < tuning.shortCutoffS;
}

/**
 * Priority first; then what can still be in time before what can't; then by age, a job being put back by the work
 * that it still waits for: small jobs pass large ones, and nothing waits for ever.
 */
function compareJobs(first: QueuedJob, second: QueuedJob): number {
  return compareByPriority(first, second) || compareByTurn(first, second);
}

/** What has to begin now, where that costs others no more than one task's place; then priority; then what is being assembled. */
function compareByPriority(first: QueuedJob, second: QueuedJob): number {
  const isFirstArray = first.precedence === "array";
  const isSecondArray = second.precedence === "array";
  if (isFirstArray !== isSecondArray) return isFirstArray ? -1 : 1;
  return (
    priorityRank(second) - priorityRank(first) ||
    PRECEDENCE_ORDER[second.precedence] - PRECEDENCE_ORDER[first.precedence]
  );
}

const priorityRank = ({ effectivePriority }: QueuedJob): number =>
  PRIORITIES.indexOf(effectivePriority.priority);

const PRECEDENCE_ORDER: Record<Precedence, number> = {
  gang: 2,
  fit: 1,
  no: 0,
  array: 0,
};

function compareByTurn(first: QueuedJob, second: QueuedJob): number {
  if (first.late !== second.late) return first.late ? 1 : -1;
  return (
    turnMs(first) - turnMs(second) || (first.spec.id < second.spec.id ? -1 : 1)
  );
}

const turnMs = ({
  effectivePriority,
  spec,
  remainingTasks,
}: QueuedJob): number =>
  queueOrderMs(effectivePriority.readyAt, spec, remainingTasks);

/** Whose turn it is, as a time of day in ms: age, less the work that is still to be done. */
export const queueOrderMs = (
  readyAt: number,
  spec: JobSpec,
  tasks: number,
): number => readyAt + spec.estimateS * tasks * MS_PER_S;

const MS_PER_S = 1_000;
/** Nothing is put back for being late for longer than this. */
const MAX_LATENESS_MS = 600_000;

/** Estimates are often wrong by half: only a job that half of its estimate can't save is given up. */
const OPTIMISTIC_ESTIMATE_SHARE = 0.5;

/** Whether a job can't be done any more by its deadline, or by what the objectives say of its class. */
export function isLate(
  spec: JobSpec,
  priority: EffectivePriority,
  wallMs: number,
  objectives: readonly { kind: string; class?: string; withinS?: number }[],
): boolean {
  if (wallMs - priority.readyAt > MAX_LATENESS_MS) return false;
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

/** Between the first jobs of two teams, at equal priority: within its guarantee first, then the smaller share of it. */
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
  // Both have what they were promised, or both have not yet: for the latter it is age that counts.
  if (!firstRank.within && firstRank.share !== secondRank.share)
    return firstRank.share - secondRank.share;
  return compareJobs(first, second);
}

/** All jobs are in one queue where teams are not ranked. */
const ALL_TEAMS = "";

/** One queue of a partition, kept by team inside: who is first follows from what the teams use at that moment. */
class TeamQueue<T extends QueuedJob> {
  /** Jobs of each team, last to first: taking the first away moves nothing. */
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

  /** Takes away the first job of a team. */
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
 * The short and the long queue of a partition (Pigeon, section 2.2): short first, yet of every W tasks served one
 * comes from the long queue while anything waits there. A job that can't go on now leaves the round, so that
 * what stands behind it may use what it can't.
 */
export class SchedulingRound<T extends QueuedJob> {
  private readonly short: TeamQueue<T>;
  private readonly long: TeamQueue<T>;
  /** The present head, and its queue: serving it may change whose turn is next. */
  private currentQueue: TeamQueue<T>;
  private current: T | undefined;

  constructor(
    jobs: Iterable<T>,
    private readonly tuning: Tuning,
    private readonly longQueueTurn: { shortTasksSinceLong: number },
    rankOf: TeamRank | null = null,
  ) {
    this.short = new TeamQueue(rankOf);
    this.long = new TeamQueue(rankOf);
    this.currentQueue = this.short;
    for (const job of jobs)
      (isShort(job.spec, tuning) ? this.short : this.long).add(job);
    this.short.sort();
    this.long.sort();
  }

  private isLongQueueTurn(): boolean {
    if (this.long.isEmpty) return false;
    return (
      this.short.isEmpty ||
      this.longQueueTurn.shortTasksSinceLong >= this.tuning.longEvery - 1
    );
  }

  /** The job to serve next; `served` and `skip` are about it. */
  head(): T | undefined {
    this.currentQueue = this.isLongQueueTurn() ? this.long : this.short;
    // What has to begin now waits for no turn of its queue.
    const short = this.short.first();
    const long = this.long.first();
    if (short && long) {
      const isShortOrdinary = short.precedence === "no";
      const isLongOrdinary = long.precedence === "no";
      if (isShortOrdinary !== isLongOrdinary)
        this.currentQueue = isShortOrdinary ? this.long : this.short;
    }
    return (this.current = this.currentQueue.first());
  }

  /** Tasks of the head that may be served before the other queue has its turn. */
  maxTasks(): number {
    if (this.currentQueue === this.long)
      return this.short.isEmpty ? Infinity : 1;
    return this.long.isEmpty
      ? Infinity
      : Math.max(
          1,
          this.tuning.longEvery - 1 - this.longQueueTurn.shortTasksSinceLong,
        );
  }

  /** So many tasks of the head were served. */
  served(tasks: number): void {
    this.longQueueTurn.shortTasksSinceLong =
      this.currentQueue === this.long
        ? 0
        : this.longQueueTurn.shortTasksSinceLong + tasks;
  }

  /** The head can't go on in this round. */
  skip(): void {
    if (this.current) this.currentQueue.drop(this.current);
  }
}
