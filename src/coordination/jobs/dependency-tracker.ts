/**
 * Tracks jobs that depend on others: releases them once their dependencies are done, cancels them if one is cancelled.
 * Owns the graph of waiting jobs, which is derived from the records in the store cache.
 */
import {
  jobEndWrites,
  jobKey,
  type JobRecord,
  type FinalRecord,
  writeJob,
} from "../../storage/records.js";
import type { Condition, Write } from "../../protocol/state.js";
import type { Context } from "../context.js";
import { CallPriority } from "../effects.js";
import { finalRecordOf } from "./job-completion.js";
import { type JobView, ownDueAt } from "../store/job-view.js";
import { type JobSpec, PRIORITIES } from "../model.js";
import type { RangeSet } from "./range-set.js";
import { hashToIndex } from "./job-partitioner.js";

/** Delay between the turns of the controllers to release or end the same job. */
const TURN_INTERVAL_MS = 1_000;
/** Delay before a commit, or the lookup of an unknown dependency, is repeated. */
const RETRY_MS = 500;
/** Maximum number of commits in flight: a job with many dependents must not fill the queue that it shares with users' writes. */
const MAX_COMMITS_IN_FLIGHT = 8;
/** Waiting jobs are checked this often, and whenever one of their dependencies changes. */
const CHECK_INTERVAL_MS = 200;
/** Writes that end a waiting job: its final record is put and its live record deleted. */
const JOB_END_WRITES = 2;
const MS_PER_S = 1_000;

/** Functions of the controller that the dependency tracker uses. */
export interface DependencyPorts {
  /** Assigns a job's tasks to partitions by their current capacity; null if that is not possible now. */
  assign(spec: JobSpec): Map<string, RangeSet> | null;
  /** Reads a job's final record; if there is one, `onFinalRecord` is called with it. */
  lookUpFinalRecord(id: string): void;
}

interface WaitingJob {
  view: JobView;
  /** All dependencies listed in its record. */
  dependsOn: readonly string[];
  /** Dependencies that are not known to be done. */
  unfinished: Set<string>;
  /** A direct or indirect dependency is cancelled, so this job is too, even if its record does not say so yet. */
  cancelledByDependency: boolean;
  /** Time since which it can be released or ended. */
  dueSinceMs: number;
  /** A commit that releases or ends it is in flight. */
  isCommitting: boolean;
  /** Earliest time of the next commit. */
  retryAtMs: number;
}

/**
 * Waiting jobs and their dependencies. The record of a waiting job has an empty assignment, so no partition leader has tasks
 * of it. Every controller derives the same state of the job from the records of its dependencies:
 *
 * - All are done: one commit, conditional on the job's record, writes an assignment by the current capacity. Invariant
 *   (too_early): "done" is read from the store, never from a partition leader's state that may not be written yet.
 * - One is cancelled: the job is cancelled. Both are final, so it is reported as cancelled at once, and its final record is
 *   written afterwards. Invariant (orphaned, went_back): a controller reports a job as waiting only if it knows that each
 *   direct and indirect dependency is alive or done.
 *
 * Controllers take turns at writing, so that no job depends on a single controller; the condition makes repeated writes
 * harmless.
 */
export class DependencyTracker {
  private readonly waitingJobs = new Map<string, WaitingJob>();
  /** By job: the waiting jobs that directly depend on it. */
  private readonly dependents = new Map<string, Set<string>>();
  /** Dependencies that are neither alive nor known to have ended, with the time of their next lookup, in ms. */
  private readonly unknownDependencies = new Map<string, number>();
  private lastCheckMs = -Infinity;
  private commitsInFlight = 0;

  constructor(
    private readonly ctx: Context,
    private readonly ports: DependencyPorts,
  ) {}

  // ---- records -------------------------------------------------------------------------------------------

  /** Handles a live record of a job that was read. */
  onJob(view: JobView): void {
    const waiting = this.waitingJobs.get(view.id);
    if (view.dependsOn.length === 0) {
      if (waiting) this.remove(waiting);
      // Its dependents may have been read before it.
      else if (this.dependents.has(view.id)) this.recomputePriority(view.id);
      return;
    }
    if (!waiting) this.addWaiting(view);
  }

  /** Handles the deletion of a job's live record: the job has ended, and its final record says how. */
  onJobRemoved(id: string): void {
    const waiting = this.waitingJobs.get(id);
    if (waiting) this.remove(waiting);
    if (this.dependents.has(id) && !this.ctx.cache.finalRecords.has(id))
      this.unknownDependencies.set(id, 0);
  }

  /** Handles a job's final record, which never changes. */
  onFinalRecord(id: string, finalRecord: FinalRecord): void {
    this.unknownDependencies.delete(id);
    for (const dependent of this.dependentsOf(id)) {
      if (finalRecord.status === "cancelled")
        this.cancelWithDependency(dependent);
      else if (
        dependent.unfinished.delete(id) &&
        dependent.unfinished.size === 0
      )
        dependent.dueSinceMs = this.ctx.nowMs;
      this.lastCheckMs = -Infinity;
    }
  }

  private addWaiting(view: JobView): void {
    const waiting: WaitingJob = {
      view,
      dependsOn: view.dependsOn,
      unfinished: new Set(view.dependsOn),
      cancelledByDependency: false,
      dueSinceMs: this.ctx.nowMs,
      isCommitting: false,
      retryAtMs: 0,
    };
    this.waitingJobs.set(view.id, waiting);
    for (const dependency of waiting.dependsOn)
      this.addDependency(waiting, dependency);
    this.recomputePriority(view.id);
    for (const dependency of waiting.unfinished)
      this.recomputePriority(dependency);
  }

  private addDependency(waiting: WaitingJob, dependency: string): void {
    const dependents = this.dependents.get(dependency) ?? new Set();
    this.dependents.set(dependency, dependents.add(waiting.view.id));
    this.unknownDependencies.delete(dependency);
    const finalRecord = this.ctx.cache.finalRecords.get(dependency);
    if (finalRecord) this.onFinalRecord(dependency, finalRecord);
    else if (this.isCancelledByDependency(dependency))
      this.cancelWithDependency(waiting);
    else if (!this.ctx.cache.jobs.has(dependency))
      this.unknownDependencies.set(dependency, 0);
  }

  /** A snapshot of the waiting jobs that directly depend on a job. */
  private dependentsOf(id: string): WaitingJob[] {
    const dependents: WaitingJob[] = [];
    for (const dependentId of this.dependents.get(id) ?? []) {
      const dependent = this.waitingJobs.get(dependentId);
      if (dependent) dependents.push(dependent);
    }
    return dependents;
  }

  /**
   * Marks a waiting job and all its direct and indirect dependents as cancelled. No recursion, here and in
   * `unresolvedDependency`: users may build chains of thousands of jobs, and a stack overflow would end the process.
   */
  private cancelWithDependency(first: WaitingJob): void {
    const stack = [first];
    for (let waiting = stack.pop(); waiting; waiting = stack.pop()) {
      if (waiting.cancelledByDependency) continue;
      waiting.cancelledByDependency = true;
      waiting.dueSinceMs = this.ctx.nowMs;
      for (const dependent of this.dependentsOf(waiting.view.id))
        stack.push(dependent);
      for (const dependency of waiting.dependsOn)
        this.recomputePriority(dependency);
    }
  }

  private remove(waiting: WaitingJob): void {
    this.waitingJobs.delete(waiting.view.id);
    for (const dependency of waiting.dependsOn) {
      const dependents = this.dependents.get(dependency);
      dependents?.delete(waiting.view.id);
      if (dependents?.size === 0) {
        this.dependents.delete(dependency);
        this.unknownDependencies.delete(dependency);
      }
      this.recomputePriority(dependency);
    }
  }

  // ---- queries -------------------------------------------------------------------------------------------

  /** Whether a direct or indirect dependency of an unfinished job is cancelled. */
  isCancelledByDependency(id: string): boolean {
    return this.waitingJobs.get(id)?.cancelledByDependency === true;
  }
  /** Direct dependencies of a job that are not known to be done; empty if it may start. */
  unfinishedDependencies(id: string): readonly string[] {
    return [...(this.waitingJobs.get(id)?.unfinished ?? [])];
  }
  /** A direct or indirect dependency, or the job itself, whose state is unknown; null if there is none. */
  unresolvedDependency(id: string): string | null {
    if (this.unknownDependencies.size === 0) return null;
    const visited = new Set<string>();
    const stack = [id];
    for (let next = stack.pop(); next !== undefined; next = stack.pop()) {
      if (visited.has(next)) continue;
      visited.add(next);
      if (this.unknownDependencies.has(next)) return next;
      stack.push(...(this.waitingJobs.get(next)?.unfinished ?? []));
    }
    return null;
  }

  // ---- priority and deadline -----------------------------------------------------------------------------

  /**
   * Recomputes the priority and due time of a job and, if they changed, of its dependencies. A job inherits the highest
   * priority of its dependents, and is due early enough that they can still meet their deadlines. Called whenever the
   * dependents of a job change, and visits only the jobs that the change affects.
   */
  private recomputePriority(first: string): void {
    const stack = [first];
    for (let id = stack.pop(); id !== undefined; id = stack.pop())
      if (this.recomputePriorityOf(id))
        stack.push(...(this.waitingJobs.get(id)?.unfinished ?? []));
  }
  /** Returns whether the job's priority or due time changed. */
  private recomputePriorityOf(id: string): boolean {
    const view = this.ctx.cache.jobs.get(id);
    if (!view) return false;
    let priority = view.spec.priority;
    let dueAt = ownDueAt(view.spec, view.acceptedAt);
    for (const { view: dependent, cancelledByDependency } of this.dependentsOf(
      id,
    )) {
      if (cancelledByDependency) continue;
      if (PRIORITIES.indexOf(dependent.priority) > PRIORITIES.indexOf(priority))
        priority = dependent.priority;
      const latestEnd = dependent.dueAt - dependent.spec.estimateS * MS_PER_S;
      dueAt = Math.min(dueAt, latestEnd);
    }
    if (priority === view.priority && dueAt === view.dueAt) return false;
    view.priority = priority;
    view.dueAt = dueAt;
    return true;
  }

  // ---- releases and ends ---------------------------------------------------------------------------------

  /** Looks up unknown dependencies, releases jobs whose dependencies are done and ends those that are cancelled. */
  processWaitingJobs(): void {
    if (
      this.waitingJobs.size === 0 ||
      this.ctx.nowMs - this.lastCheckMs < CHECK_INTERVAL_MS
    )
      return;
    this.lastCheckMs = this.ctx.nowMs;
    this.lookUpUnknownDependencies();
    this.finalizeCancelled(this.releaseDue());
  }

  private lookUpUnknownDependencies(): void {
    for (const [id, nextLookUpMs] of this.unknownDependencies) {
      if (this.ctx.nowMs < nextLookUpMs) continue;
      this.unknownDependencies.set(id, this.ctx.nowMs + RETRY_MS);
      this.ports.lookUpFinalRecord(id);
    }
  }

  /** Releases the jobs whose dependencies are done, and returns those to be ended as cancelled. */
  private releaseDue(): WaitingJob[] {
    const cancelled: WaitingJob[] = [];
    const controllers = this.actingControllers();
    for (const waiting of this.waitingJobs.values()) {
      if (!this.isDue(waiting, controllers)) continue;
      if (waiting.cancelledByDependency) cancelled.push(waiting);
      else if (this.commitsInFlight < MAX_COMMITS_IN_FLIGHT)
        this.release(waiting);
    }
    return cancelled;
  }

  private isDue(waiting: WaitingJob, controllers: readonly string[]): boolean {
    const isResolved =
      waiting.cancelledByDependency || waiting.unfinished.size === 0;
    return (
      isResolved &&
      !waiting.isCommitting &&
      this.ctx.nowMs >= waiting.retryAtMs &&
      this.isOwnTurn(waiting, controllers)
    );
  }

  /** Controllers that lead a partition, and this one. */
  private actingControllers(): string[] {
    const owners = new Set(
      [...this.ctx.cache.partitions.values()].map(({ owner }) => owner),
    );
    return this.ctx.partitions.names.filter(
      (name) => owners.has(name) || name === this.ctx.settings.label,
    );
  }

  /** Whether this controller's turn has come; the hash of the job's id selects the controller that is first. */
  private isOwnTurn(
    waiting: WaitingJob,
    controllers: readonly string[],
  ): boolean {
    const count = controllers.length;
    const firstIndex = hashToIndex(waiting.view.id, count);
    const ownIndex = controllers.indexOf(this.ctx.settings.label);
    const turn = (ownIndex - firstIndex + count) % count;
    return this.ctx.nowMs - waiting.dueSinceMs >= turn * TURN_INTERVAL_MS;
  }

  private release(waiting: WaitingJob): void {
    const { view } = waiting;
    const assignment = this.ports.assign(view.spec);
    if (!assignment) return;
    const record: JobRecord = {
      spec: view.spec,
      acceptedAt: view.acceptedAt,
      assignment,
      dependsOn: [],
      releasedAt: Math.max(view.acceptedAt, this.ctx.wallMs),
    };
    this.commit(
      [waiting],
      [{ op: "put", key: jobKey(view.id), value: writeJob(record) }],
      CallPriority.Leader,
      () =>
        this.ctx.log("job dependencies satisfied", {
          job: view.id,
          class: view.spec.jobClass,
          assignment: [...assignment].map(([partition, tasks]) => [
            partition,
            tasks.size,
          ]),
        }),
    );
  }

  /** Writes the final records of jobs with a cancelled dependency, as many per transaction as it can hold. */
  private finalizeCancelled(cancelled: readonly WaitingJob[]): void {
    const batchSize = Math.max(
      1,
      Math.floor(this.ctx.settings.state.txnOps / JOB_END_WRITES),
    );
    for (
      let start = 0;
      start < cancelled.length && this.commitsInFlight < MAX_COMMITS_IN_FLIGHT;
      start += batchSize
    )
      this.finalizeBatch(cancelled.slice(start, start + batchSize));
  }

  private finalizeBatch(batch: readonly WaitingJob[]): void {
    const writes = batch.flatMap(({ view }) =>
      jobEndWrites(view.id, finalRecordOf(this.ctx, view.spec, "cancelled", 0)),
    );
    this.commit(batch, writes, CallPriority.Background, () =>
      this.ctx.log("dependent jobs cancelled", {
        jobs: batch.map(({ view }) => view.id),
      }),
    );
  }

  /** Commits writes on condition that the records of these jobs are unchanged. */
  private commit(
    jobs: readonly WaitingJob[],
    writes: Write[],
    priority: CallPriority,
    onCommitted: () => void,
  ): void {
    for (const waiting of jobs) waiting.isCommitting = true;
    this.commitsInFlight++;
    const conditions = jobs.map(({ view }): Condition => ({
      key: jobKey(view.id),
      version: view.revision,
    }));
    this.ctx.commit(conditions, writes, priority, (outcome) => {
      // The outcome is read from the job's record. Until that shows it, or if the commit failed, the commit is repeated.
      for (const waiting of jobs) {
        waiting.isCommitting = false;
        waiting.retryAtMs = this.ctx.nowMs + RETRY_MS;
      }
      this.commitsInFlight--;
      if (outcome !== "ok") return;
      onCommitted();
      this.lastCheckMs = -Infinity;
      this.processWaitingJobs();
    });
  }
}
