/**
 * Accounts for the resources in use on a partition's machines. Owns the sums by team and the index of unconfirmed tasks,
 * and drops the cached free resources of a worker when its tasks change.
 */

import {
  type UnconfirmedTask,
  attemptKey,
  type TaskRun,
  type Worker,
} from "./worker-state.js";

/** CPUs and accelerators in use, or needed. Teams have no limit on memory. */
export interface ResourceUse {
  cpus: number;
  gpus: number;
}

/**
 * What is or may be on the machines of a partition, kept up to date as tasks come and go: what each team uses, and
 * where tasks are that should not be there. Heartbeats come by the hundred a second in large partitions: none of this
 * may be counted anew for one.
 */
export class ResourceLedger {
  private readonly teams = new Map<string, ResourceUse & { tasks: number }>();
  private readonly unconfirmedByJob = new Map<string, Set<UnconfirmedTask>>();
  /** Machines with a task of a job that nobody knows: it may be of any team and any size. */
  private readonly unsized = new Map<Worker, number>();

  private addToTeam(team: string, need: ResourceUse, sign: 1 | -1): void {
    const use = this.teams.get(team) ?? { cpus: 0, gpus: 0, tasks: 0 };
    use.tasks += sign;
    // Sums of decimal numbers drift: nothing used is exactly nothing.
    use.cpus = use.tasks === 0 ? 0 : use.cpus + sign * need.cpus;
    use.gpus = use.tasks === 0 ? 0 : use.gpus + sign * need.gpus;
    this.teams.set(team, use);
  }

  /** Puts a task on its worker. */
  addTask(task: TaskRun): void {
    const { job, worker } = task;
    const { spec } = job.view;
    worker.free = null;
    worker.tasks.set(attemptKey(job.id, task.index, task.attempt), task);
    this.addToTeam(spec.team, spec, 1);
  }

  /** Takes a task off its worker, if it is still there. */
  removeTask(task: TaskRun): void {
    const { job, worker } = task;
    const { spec } = job.view;
    worker.free = null;
    if (worker.tasks.delete(attemptKey(job.id, task.index, task.attempt)))
      this.addToTeam(spec.team, spec, -1);
  }

  /** Counts a task that should not be on its worker, until `clearUnconfirmed`. */
  addUnconfirmed(task: UnconfirmedTask): void {
    const { worker, need } = task;
    worker.free = null;
    worker.unconfirmedTasks.set(
      attemptKey(task.job, task.index, task.attempt),
      task,
    );
    let ofJob = this.unconfirmedByJob.get(task.job);
    if (!ofJob) this.unconfirmedByJob.set(task.job, (ofJob = new Set()));
    ofJob.add(task);
    if (need) this.addToTeam(need.team, need, 1);
    else this.unsized.set(worker, (this.unsized.get(worker) ?? 0) + 1);
  }

  /** Counts none of the unconfirmed tasks of a worker any more. */
  clearUnconfirmed(worker: Worker): void {
    if (worker.unconfirmedTasks.size === 0) return;
    worker.free = null;
    for (const task of worker.unconfirmedTasks.values()) {
      const ofJob = this.unconfirmedByJob.get(task.job);
      ofJob?.delete(task);
      if (ofJob?.size === 0) this.unconfirmedByJob.delete(task.job);
      if (task.need) this.addToTeam(task.need.team, task.need, -1);
    }
    this.unsized.delete(worker);
    worker.unconfirmedTasks.clear();
  }

  unconfirmedOfJob(jobId: string): ReadonlySet<UnconfirmedTask> {
    return this.unconfirmedByJob.get(jobId) ?? NO_TASKS;
  }

  /** What unconfirmed tasks of a team use: some are only listed by late heartbeats and run elsewhere by now. */
  unconfirmedUseOfTeam(team: string): ResourceUse {
    const sum = { cpus: 0, gpus: 0 };
    for (const tasks of this.unconfirmedByJob.values())
      for (const { need } of tasks)
        if (need?.team === team) {
          sum.cpus += need.cpus;
          sum.gpus += need.gpus;
        }
    return sum;
  }

  /** Whether a job, or one task of it, has an unconfirmed task anywhere in the partition. */
  hasUnconfirmed(jobId: string, index?: number): boolean {
    for (const task of this.unconfirmedOfJob(jobId))
      if (index === undefined || task.index === index) return true;
    return false;
  }

  /** What is or may be on the machines of one team. */
  useOfTeam(team: string): Readonly<ResourceUse> {
    return this.teams.get(team) ?? NO_USE;
  }

  /** What each team uses, as a copy. */
  useByTeam(): Map<string, ResourceUse> {
    return new Map(
      [...this.teams].map(([team, use]) => [
        team,
        { cpus: use.cpus, gpus: use.gpus },
      ]),
    );
  }

  /** What tasks of jobs that nobody knows may use, of any team. */
  maxUseOfUnknownTasks(): ResourceUse {
    const sum = { cpus: 0, gpus: 0 };
    for (const [worker, count] of this.unsized) {
      sum.cpus += count * (worker.type?.cpus ?? Infinity);
      sum.gpus += count * (worker.type?.gpus ?? Infinity);
    }
    return sum;
  }
}

/** What a team uses that has nothing. */
export const NO_USE: Readonly<ResourceUse> = { cpus: 0, gpus: 0 };
const NO_TASKS: ReadonlySet<UnconfirmedTask> = new Set();
