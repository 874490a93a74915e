import {
  type UnconfirmedTask,
  attemptKey,
  type TaskRun,
  type Worker,
} from "./worker-state.js";

export interface ResourceUse {
  cpus: number;
  gpus: number;
}

/**
 * What is or may be on the machines of a group, kept up to date as tasks come and go: what each team uses, and
 * where tasks are that should not be there. Reports come by the hundred a second on large groups: none of this
 * may be counted anew for one.
 */
export class ResourceLedger {
  private readonly teams = new Map<string, ResourceUse & { tasks: number }>();
  private readonly unconfirmedByJob = new Map<string, Set<UnconfirmedTask>>();
  /** Machines with a task of a job that nobody knows: it may be of any team and any size. */
  private readonly unsized = new Map<Worker, number>();

  private use(team: string, need: ResourceUse, sign: 1 | -1): void {
    const u = this.teams.get(team) ?? { cpus: 0, gpus: 0, tasks: 0 };
    u.tasks += sign;
    // Sums of decimal numbers drift: nothing used is exactly nothing.
    u.cpus = u.tasks === 0 ? 0 : u.cpus + sign * need.cpus;
    u.gpus = u.tasks === 0 ? 0 : u.gpus + sign * need.gpus;
    this.teams.set(team, u);
  }

  add(t: TaskRun): void {
    t.worker.free = null;
    t.worker.tasks.set(attemptKey(t.job.id, t.index, t.attempt), t);
    this.use(t.job.view.spec.team, t.job.view.spec, 1);
  }
  remove(t: TaskRun): void {
    t.worker.free = null;
    if (t.worker.tasks.delete(attemptKey(t.job.id, t.index, t.attempt)))
      this.use(t.job.view.spec.team, t.job.view.spec, -1);
  }

  addUnconfirmed(s: UnconfirmedTask): void {
    s.worker.free = null;
    s.worker.unconfirmedTasks.set(attemptKey(s.job, s.index, s.attempt), s);
    let of = this.unconfirmedByJob.get(s.job);
    if (!of) this.unconfirmedByJob.set(s.job, (of = new Set()));
    of.add(s);
    if (s.need) this.use(s.need.team, s.need, 1);
    else this.unsized.set(s.worker, (this.unsized.get(s.worker) ?? 0) + 1);
  }
  clearUnconfirmed(w: Worker): void {
    if (w.unconfirmedTasks.size === 0) return;
    w.free = null;
    for (const s of w.unconfirmedTasks.values()) {
      const of = this.unconfirmedByJob.get(s.job)!;
      of.delete(s);
      if (of.size === 0) this.unconfirmedByJob.delete(s.job);
      if (s.need) this.use(s.need.team, s.need, -1);
    }
    this.unsized.delete(w);
    w.unconfirmedTasks.clear();
  }

  unconfirmedOf(job: string): ReadonlySet<UnconfirmedTask> {
    return this.unconfirmedByJob.get(job) ?? NONE;
  }
  /** What strays use of a team: some of them are ghosts of late reports, of tasks that run elsewhere by now. */
  unconfirmedUse(team: string): ResourceUse {
    const sum = { cpus: 0, gpus: 0 };
    for (const of of this.unconfirmedByJob.values())
      for (const s of of)
        if (s.need?.team === team) {
          sum.cpus += s.need.cpus;
          sum.gpus += s.need.gpus;
        }
    return sum;
  }
  hasUnconfirmed(job: string, index?: number): boolean {
    for (const s of this.unconfirmedOf(job))
      if (index === undefined || s.index === index) return true;
    return false;
  }

  /** What is or may be on the machines of one team. */
  useOf(team: string): Readonly<ResourceUse> {
    return this.teams.get(team) ?? NO_USE;
  }
  /** By team, a fresh copy. */
  used(): Map<string, ResourceUse> {
    return new Map(
      [...this.teams].map(([team, u]) => [
        team,
        { cpus: u.cpus, gpus: u.gpus },
      ]),
    );
  }
  /** What tasks of jobs that nobody knows may use, of any team. */
  unsizedUse(): ResourceUse {
    const sum = { cpus: 0, gpus: 0 };
    for (const [w, n] of this.unsized) {
      sum.cpus += n * (w.type?.cpus ?? Infinity);
      sum.gpus += n * (w.type?.gpus ?? Infinity);
    }
    return sum;
  }
}

/** What a team uses that has nothing. */
export const NO_USE: Readonly<ResourceUse> = { cpus: 0, gpus: 0 };
const NONE: ReadonlySet<UnconfirmedTask> = new Set();
