/**
 * Accounts for the resources in use on a partition's machines. Owns the sums by team and the index of unconfirmed tasks, and
 * invalidates a worker's cached free resources when its tasks change.
 */

import {
  type ExitedTask,
  type UnconfirmedTask,
  attemptKey,
  type TaskRun,
  type Worker,
} from "./worker-state.js";

/** CPUs and accelerators that are used or needed. Memory is not included, because teams have no memory limit. */
export interface ResourceUse {
  cpus: number;
  gpus: number;
}

/**
 * The resources that are or may be in use on a partition's machines, by team, and the unconfirmed tasks. Updated incrementally
 * as tasks come and go: large partitions get hundreds of heartbeats a second, and recounting for each would take too long.
 */
export class ResourceLedger {
  private readonly usageByTeam = new Map<
    string,
    ResourceUse & { tasks: number }
  >();
  private readonly unconfirmedByJob = new Map<string, Set<UnconfirmedTask>>();
  /** Number of unconfirmed tasks of unknown jobs, by machine. Such a task may be of any team and any size. */
  private readonly unknownTaskCounts = new Map<Worker, number>();

  private addToTeam(team: string, need: ResourceUse, sign: 1 | -1): void {
    const use = this.usageByTeam.get(team) ?? { cpus: 0, gpus: 0, tasks: 0 };
    use.tasks += sign;
    // Sums of decimal numbers drift, so the use of a team without tasks is reset to exactly 0.
    use.cpus = use.tasks === 0 ? 0 : use.cpus + sign * need.cpus;
    use.gpus = use.tasks === 0 ? 0 : use.gpus + sign * need.gpus;
    this.usageByTeam.set(team, use);
  }

  /** Adds a task to its worker and counts it for its team. */
  addTask(task: TaskRun): void {
    const { job, worker } = task;
    const { spec } = job.view;
    worker.free = null;
    worker.tasks.set(attemptKey(job.id, task.index, task.attempt), task);
    this.addToTeam(spec.team, spec, 1);
  }

  /** Removes a task from its worker if it is still there. */
  removeTask(task: TaskRun): void {
    const { job, worker } = task;
    const { spec } = job.view;
    worker.free = null;
    if (worker.tasks.delete(attemptKey(job.id, task.index, task.attempt)))
      this.addToTeam(spec.team, spec, -1);
  }

  /** Adds an unconfirmed task to its worker, until `clearUnconfirmed`. */
  addUnconfirmed(task: UnconfirmedTask): void {
    const { worker, need } = task;
    worker.free = null;
    worker.unconfirmedTasks.set(
      attemptKey(task.job, task.index, task.attempt),
      task,
    );
    let tasksOfJob = this.unconfirmedByJob.get(task.job);
    if (!tasksOfJob)
      this.unconfirmedByJob.set(task.job, (tasksOfJob = new Set()));
    tasksOfJob.add(task);
    if (need) this.addToTeam(need.team, need, 1);
    else
      this.unknownTaskCounts.set(
        worker,
        (this.unknownTaskCounts.get(worker) ?? 0) + 1,
      );
  }

  /** Removes all unconfirmed tasks of a worker. */
  clearUnconfirmed(worker: Worker): void {
    if (worker.unconfirmedTasks.size === 0) return;
    worker.free = null;
    for (const task of worker.unconfirmedTasks.values()) {
      const tasksOfJob = this.unconfirmedByJob.get(task.job);
      tasksOfJob?.delete(task);
      if (tasksOfJob?.size === 0) this.unconfirmedByJob.delete(task.job);
      if (task.need) this.addToTeam(task.need.team, task.need, -1);
    }
    this.unknownTaskCounts.delete(worker);
    worker.unconfirmedTasks.clear();
  }

  /** Replaces the exited tasks of a worker, which take no resources but space in its heartbeats. */
  setExited(worker: Worker, exited: readonly ExitedTask[]): void {
    if (exited.length !== worker.exited.length) worker.free = null;
    worker.exited = exited;
  }

  unconfirmedOfJob(jobId: string): ReadonlySet<UnconfirmedTask> {
    return this.unconfirmedByJob.get(jobId) ?? NO_TASKS;
  }

  /** Resources of a team's unconfirmed tasks. Some may be listed only by late heartbeats and run elsewhere by now. */
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

  /** Whether a job, or its task with this index, has an unconfirmed task anywhere in the partition. */
  hasUnconfirmed(jobId: string, index?: number): boolean {
    for (const task of this.unconfirmedOfJob(jobId))
      if (index === undefined || task.index === index) return true;
    return false;
  }

  /** Resources of a team's tasks that are or may be on machines. */
  useOfTeam(team: string): Readonly<ResourceUse> {
    return this.usageByTeam.get(team) ?? NO_USE;
  }

  /** The same for every team, as a copy. */
  useByTeam(): Map<string, ResourceUse> {
    return new Map(
      [...this.usageByTeam].map(([team, use]) => [
        team,
        { cpus: use.cpus, gpus: use.gpus },
      ]),
    );
  }

  /** The most that unconfirmed tasks of unknown jobs can use; it may belong to any team. */
  maxUseOfUnknownTasks(): ResourceUse {
    const sum = { cpus: 0, gpus: 0 };
    for (const [worker, count] of this.unknownTaskCounts) {
      sum.cpus += count * (worker.type?.cpus ?? Infinity);
      sum.gpus += count * (worker.type?.gpus ?? Infinity);
    }
    return sum;
  }
}

/** The use of a team without tasks. */
export const NO_USE: Readonly<ResourceUse> = { cpus: 0, gpus: 0 };
const NO_TASKS: ReadonlySet<UnconfirmedTask> = new Set();
