import { type JobSpec, type Standing, type Tuning, URGENCIES } from "./model.js";

/** What the queues need to know of a job that has waiting tasks in this group. */
export interface Queued {
  spec: JobSpec;
  standing: Pick<Standing, "urgency" | "readyAt">;
  /** Waiting tasks. */
  tasks: number;
  /** It can't be done any more by the time that is expected of it; others still can. */
  late: boolean;
}

/**
 * Pigeon's classes: short tasks may use the reserved machines, long ones may not. What a start takes away is what
 * counts: of a gang that is all its tasks at once, so a large one is long although each of its tasks is not.
 */
export function isShort(spec: JobSpec, tuning: Tuning): boolean {
  if (spec.shape === "daemon") return false;
  return spec.shape === "ensemble" ? spec.estimateS * spec.tasks < tuning.shortGangS : spec.estimateS < tuning.shortCutoffS;
}

/**
 * Urgency first; then what can still be in time before what can't; then by age, a job standing back by the work
 * that it still waits for: small jobs pass large ones, and nothing waits for ever.
 */
function before(a: Queued, b: Queued): number {
  const u = URGENCIES.indexOf(b.standing.urgency) - URGENCIES.indexOf(a.standing.urgency);
  if (u !== 0) return u;
  if (a.late !== b.late) return a.late ? 1 : -1;
  return turnMs(a) - turnMs(b) || (a.spec.id < b.spec.id ? -1 : 1);
}
const turnMs = (q: Queued): number => q.standing.readyAt + q.spec.estimateS * q.tasks * 1000;

/** Nothing is put back for being late for longer than this. */
const LATE_FOR_MS = 600_000;

export function isLate(spec: JobSpec, standing: Standing, wallMs: number, objectives: readonly { kind: string; class?: string; withinS?: number }[]): boolean {
  if (wallMs - standing.readyAt > LATE_FOR_MS) return false;
  let { dueAt } = standing;
  for (const o of objectives) if (o.kind === "finished" && o.class === spec.class && o.withinS !== undefined) dueAt = Math.min(dueAt, standing.readyAt + o.withinS * 1000);
  // Estimates are often wrong by half: only what half of it can't save is given up.
  return wallMs > dueAt - spec.estimateS * 0.5 * 1000;
}

/**
 * The short and the long queue of a group (Pigeon, section 2.2): short first, yet of every W tasks served one
 * comes from the long queue while anything waits there. A job that can't go on now leaves the round, so that
 * what stands behind it may use what it can't.
 */
export class Round<T extends Queued> {
  private readonly short: T[] = [];
  private readonly long: T[] = [];
  /** The queue of the present head: serving it may change whose turn is next. */
  private from = this.short;

  constructor(
    jobs: Iterable<T>,
    private readonly tuning: Tuning,
    private readonly turn: { sinceLong: number },
  ) {
    for (const j of jobs) (isShort(j.spec, tuning) ? this.short : this.long).push(j);
    this.short.sort(before);
    this.long.sort(before);
  }

  private longsTurn(): boolean {
    if (this.long.length === 0) return false;
    return this.short.length === 0 || this.turn.sinceLong >= this.tuning.longEvery - 1;
  }
  /** The job to serve next; `served` and `skip` speak of it. */
  head(): T | undefined {
    this.from = this.longsTurn() ? this.long : this.short;
    return this.from[0];
  }
  /** Tasks of the head that may be served before the other queue has its turn. */
  most(): number {
    if (this.from === this.long) return this.short.length === 0 ? Infinity : 1;
    return this.long.length === 0 ? Infinity : Math.max(1, this.tuning.longEvery - 1 - this.turn.sinceLong);
  }
  /** `n` tasks of the head were served. */
  served(n: number): void {
    this.turn.sinceLong = this.from === this.long ? 0 : this.turn.sinceLong + n;
  }
  /** The head can't go on in this round. */
  skip(): void {
    this.from.shift();
  }
}
