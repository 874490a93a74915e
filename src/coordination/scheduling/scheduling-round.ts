import {
  type JobSpec,
  type EffectivePriority,
  type Tuning,
  PRIORITIES,
} from "../model.js";

/** Whether a job has to begin now, and what it comes before for that: see `Gathering`. */
export type Precedence =
  /** Its turn is as the queues say. */
  | "no"
  /** First of its urgency where all its places are free at this moment: nobody's machine stands idle for it. */
  | "fit"
  /** First of its urgency, and what comes free is kept for it: it has to gather its machines from now on. */
  | "gang"
  /** One task of it before everything else: nothing of it has begun, and that costs nobody more than that task's place. */
  | "array";

/** What the queues need to know of a job that has waiting tasks in this group. */
export interface QueuedJob {
  spec: JobSpec;
  effectivePriority: Pick<EffectivePriority, "priority" | "readyAt">;
  /** Tasks that it stands back by: see `GroupState.unfinished`. */
  remainingTasks: number;
  /** It can't be done any more by the time that is expected of it; others still can. */
  late: boolean;
  /** It has to begin now: see `Gathering`. */
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
 * Urgency first; then what can still be in time before what can't; then by age, a job standing back by the work
 * that it still waits for: small jobs pass large ones, and nothing waits for ever.
 */
function compareJobs(a: QueuedJob, b: QueuedJob): number {
  return compareByPriority(a, b) || compareByTurn(a, b);
}
/** What has to begin now, where that costs others no more than one task's place; then urgency; then what has to gather its places. */
function compareByPriority(a: QueuedJob, b: QueuedJob): number {
  if ((a.precedence === "array") !== (b.precedence === "array"))
    return a.precedence === "array" ? -1 : 1;
  const u =
    PRIORITIES.indexOf(b.effectivePriority.priority) -
    PRIORITIES.indexOf(a.effectivePriority.priority);
  return u !== 0
    ? u
    : PRECEDENCE_ORDER[b.precedence] - PRECEDENCE_ORDER[a.precedence];
}
const PRECEDENCE_ORDER: Record<Precedence, number> = {
  gang: 2,
  fit: 1,
  no: 0,
  array: 0,
};
function compareByTurn(a: QueuedJob, b: QueuedJob): number {
  if (a.late !== b.late) return a.late ? 1 : -1;
  return turnMs(a) - turnMs(b) || (a.spec.id < b.spec.id ? -1 : 1);
}
const turnMs = (q: QueuedJob): number =>
  turnAt(q.effectivePriority.readyAt, q.spec, q.remainingTasks);
/** Whose turn it is, as a time of day in ms: age, less the work that is still to be done. */
export const turnAt = (readyAt: number, spec: JobSpec, tasks: number): number =>
  readyAt + spec.estimateS * tasks * 1000;

/** Nothing is put back for being late for longer than this. */
const MAX_LATENESS_MS = 600_000;

export function isLate(
  spec: JobSpec,
  standing: EffectivePriority,
  wallMs: number,
  objectives: readonly { kind: string; class?: string; withinS?: number }[],
): boolean {
  if (wallMs - standing.readyAt > MAX_LATENESS_MS) return false;
  let { dueAt } = standing;
  for (const o of objectives)
    if (
      o.kind === "finished" &&
      o.class === spec.jobClass &&
      o.withinS !== undefined
    )
      dueAt = Math.min(dueAt, standing.readyAt + o.withinS * 1000);
  // Estimates are often wrong by half: only what half of it can't save is given up.
  return wallMs > dueAt - spec.estimateS * 0.5 * 1000;
}

/** Where a team stands, for the order between teams; null: that does not count. */
type TeamRank = (team: string) => { within: boolean; share: number };

/** Between the first jobs of two teams, at equal urgency: within its guarantee first, then the smaller share of it. */
function compareAcrossTeams(
  a: QueuedJob,
  b: QueuedJob,
  rank: TeamRank,
): number {
  if (a.spec.team === b.spec.team) return compareJobs(a, b);
  const u = compareByPriority(a, b);
  if (u !== 0) return u;
  const x = rank(a.spec.team);
  const y = rank(b.spec.team);
  if (x.within !== y.within) return x.within ? -1 : 1;
  // Both have what they were promised, or both have not yet: for the latter it is age that counts.
  if (!x.within && x.share !== y.share) return x.share - y.share;
  return compareJobs(a, b);
}

/** One queue of a group, kept by team inside: who is first follows from what the teams use at that moment. */
class TeamQueue<T extends QueuedJob> {
  private readonly teams = new Map<string, T[]>();

  constructor(private readonly rank: TeamRank | null) {}

  add(q: T): void {
    const team = this.rank ? q.spec.team : "";
    const list = this.teams.get(team);
    if (list) list.push(q);
    else this.teams.set(team, [q]);
  }
  sort(): void {
    // The last is the first: taking it away moves nothing.
    for (const list of this.teams.values())
      list.sort((a, b) => compareJobs(b, a));
  }
  get isEmpty(): boolean {
    return this.teams.size === 0;
  }
  first(): T | undefined {
    let best: T | undefined;
    for (const list of this.teams.values()) {
      const q = list.at(-1)!;
      if (!best || (this.rank && compareAcrossTeams(q, best, this.rank) < 0))
        best = q;
    }
    return best;
  }
  drop(q: T): void {
    const team = this.rank ? q.spec.team : "";
    const list = this.teams.get(team)!;
    list.pop();
    if (list.length === 0) this.teams.delete(team);
  }
}

/**
 * The short and the long queue of a group (Pigeon, section 2.2): short first, yet of every W tasks served one
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
    private readonly longQueueTurn: { sinceLong: number },
    rank: TeamRank | null = null,
  ) {
    this.short = new TeamQueue(rank);
    this.long = new TeamQueue(rank);
    this.currentQueue = this.short;
    for (const j of jobs)
      (isShort(j.spec, tuning) ? this.short : this.long).add(j);
    this.short.sort();
    this.long.sort();
  }

  private isLongQueueTurn(): boolean {
    if (this.long.isEmpty) return false;
    return (
      this.short.isEmpty ||
      this.longQueueTurn.sinceLong >= this.tuning.longEvery - 1
    );
  }
  /** The job to serve next; `served` and `skip` speak of it. */
  head(): T | undefined {
    this.currentQueue = this.isLongQueueTurn() ? this.long : this.short;
    // What has to begin now waits for no turn of its queue.
    const [short, long] = [this.short.first(), this.long.first()];
    if (
      short &&
      long &&
      (short.precedence === "no") !== (long.precedence === "no")
    )
      this.currentQueue = short.precedence === "no" ? this.long : this.short;
    return (this.current = this.currentQueue.first());
  }
  /** Tasks of the head that may be served before the other queue has its turn. */
  maxTasks(): number {
    if (this.currentQueue === this.long)
      return this.short.isEmpty ? Infinity : 1;
    return this.long.isEmpty
      ? Infinity
      : Math.max(1, this.tuning.longEvery - 1 - this.longQueueTurn.sinceLong);
  }
  /** `n` tasks of the head were served. */
  served(n: number): void {
    this.longQueueTurn.sinceLong =
      this.currentQueue === this.long ? 0 : this.longQueueTurn.sinceLong + n;
  }
  /** The head can't go on in this round. */
  skip(): void {
    if (this.current) this.currentQueue.drop(this.current);
  }
}
