import { type Stray, runKey, type TaskRun, type Worker } from "./tasks.js";

export interface Use {
  cpus: number;
  gpus: number;
}

/**
 * What is or may be on the machines of a group, kept up to date as tasks come and go: what each team uses, and
 * where tasks are that should not be there. Reports come by the hundred a second on large groups: none of this
 * may be counted anew for one.
 */
export class Ledger {
  private readonly teams = new Map<string, Use & { tasks: number }>();
  private readonly strays = new Map<string, Set<Stray>>();
  /** Machines with a task of a job that nobody knows: it may be of any team and any size. */
  private readonly blind = new Map<Worker, number>();

  private use(team: string, need: Use, sign: 1 | -1): void {
    const u = this.teams.get(team) ?? { cpus: 0, gpus: 0, tasks: 0 };
    u.tasks += sign;
    // Sums of decimal numbers drift: nothing used is exactly nothing.
    u.cpus = u.tasks === 0 ? 0 : u.cpus + sign * need.cpus;
    u.gpus = u.tasks === 0 ? 0 : u.gpus + sign * need.gpus;
    this.teams.set(team, u);
  }

  put(t: TaskRun): void {
    t.worker.free = null;
    t.worker.tasks.set(runKey(t.job.id, t.index, t.attempt), t);
    this.use(t.job.view.spec.team, t.job.view.spec, 1);
  }
  drop(t: TaskRun): void {
    t.worker.free = null;
    if (t.worker.tasks.delete(runKey(t.job.id, t.index, t.attempt)))
      this.use(t.job.view.spec.team, t.job.view.spec, -1);
  }

  addStray(s: Stray): void {
    s.worker.free = null;
    s.worker.strays.set(runKey(s.job, s.index, s.attempt), s);
    let of = this.strays.get(s.job);
    if (!of) this.strays.set(s.job, (of = new Set()));
    of.add(s);
    if (s.need) this.use(s.need.team, s.need, 1);
    else this.blind.set(s.worker, (this.blind.get(s.worker) ?? 0) + 1);
  }
  clearStrays(w: Worker): void {
    if (w.strays.size === 0) return;
    w.free = null;
    for (const s of w.strays.values()) {
      const of = this.strays.get(s.job)!;
      of.delete(s);
      if (of.size === 0) this.strays.delete(s.job);
      if (s.need) this.use(s.need.team, s.need, -1);
    }
    this.blind.delete(w);
    w.strays.clear();
  }

  straysOf(job: string): ReadonlySet<Stray> {
    return this.strays.get(job) ?? NONE;
  }
  /** What strays use of a team: some of them are ghosts of late reports, of tasks that run elsewhere by now. */
  strayUse(team: string): Use {
    const sum = { cpus: 0, gpus: 0 };
    for (const of of this.strays.values())
      for (const s of of)
        if (s.need?.team === team) {
          sum.cpus += s.need.cpus;
          sum.gpus += s.need.gpus;
        }
    return sum;
  }
  hasStrays(job: string, index?: number): boolean {
    for (const s of this.straysOf(job))
      if (index === undefined || s.index === index) return true;
    return false;
  }

  /** What is or may be on the machines of one team. */
  useOf(team: string): Readonly<Use> {
    return this.teams.get(team) ?? NO_USE;
  }
  /** By team, a fresh copy. */
  used(): Map<string, Use> {
    return new Map(
      [...this.teams].map(([team, u]) => [
        team,
        { cpus: u.cpus, gpus: u.gpus },
      ]),
    );
  }
  /** What tasks of jobs that nobody knows may use, of any team. */
  blindUse(): Use {
    const sum = { cpus: 0, gpus: 0 };
    for (const [w, n] of this.blind) {
      sum.cpus += n * (w.type?.cpus ?? Infinity);
      sum.gpus += n * (w.type?.gpus ?? Infinity);
    }
    return sum;
  }
}

/** What a team uses that has nothing. */
export const NO_USE: Readonly<Use> = { cpus: 0, gpus: 0 };
const NONE: ReadonlySet<Stray> = new Set();
