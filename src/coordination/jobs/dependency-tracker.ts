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

/** Controllers take turns at a job: each acts this much later than the one before. */
const TURN_INTERVAL_MS = 1_000;
/** Time until a failed commit, or the lookup of an unknown job, is tried again. */
const RETRY_MS = 500;
/** Commits in flight at once: a job with many dependents must not fill the queue that users' writes stand in as well. */
const MAX_COMMITS_IN_FLIGHT = 8;
/** A waiting job is checked this often, and whenever one of its dependencies changes. */
const CHECK_INTERVAL_MS = 200;
/** A dependent's end takes two writes of a transaction: its final record, and the deletion of its live one. */
const WRITES_PER_END = 2;
const MS_PER_S = 1_000;

/** What the dependency tracker needs of the controller. */
export interface DependencyPorts {
  /** Assigns a job to partitions by the capacity of this moment; null: that can't be said now. */
  assign(spec: JobSpec): Map<string, RangeSet> | null;
  /** Reads a job's final record; what is found comes to `onFinalRecord`. */
  lookUpFinalRecord(id: string): void;
}

interface WaitingJob {
  view: JobView;
  /** Dependencies that its record names. */
  dependsOn: readonly string[];
  /** Dependencies that are not known to be done. */
  unfinished: Set<string>;
  /** A direct or indirect dependency is cancelled: so is this job, whatever its record says yet. */
  cancelledByDependency: boolean;
  /** Since when it is to be released or ended. */
  dueSinceMs: number;
  /** A commit about it is in flight. */
  isCommitting: boolean;
  /** After a commit: not before this time again. */
  retryAtMs: number;
}

/**
 * Waiting jobs and their dependencies. The record of a waiting job has an empty assignment, so that no partition leader has
 * tasks of it; what follows from the records of its dependencies is derived alike on every controller:
 *
 * - All are done: one commit, conditional on the job's record, writes the assignment of that moment. Invariant (too_early):
 *   "done" is read from the store, never from what a partition leader believes.
 * - One is cancelled: the job is cancelled. Both facts are final, so it is reported at once, and the record that says so
 *   follows. Invariant (orphaned, went_back): no controller reports a job as waiting unless it knows of every direct and
 *   indirect dependency that it is alive or done.
 *
 * Controllers take turns at writing: the condition makes doubles harmless, and a job never depends on one controller.
 */
export class DependencyTracker {
  private readonly entries = new Map<string, WaitingJob>();
  /** By job: the waiting jobs that name it. */
  private readonly dependents = new Map<string, Set<string>>();
  /** Dependencies that are neither alive nor known to be over, with the time when they may be looked up again, in ms. */
  private readonly unknown = new Map<string, number>();
  private checkedMs = -Infinity;
  private commitsInFlight = 0;

  constructor(
    private readonly ctx: Context,
    private readonly ports: DependencyPorts,
  ) {}

  // ---- records -------------------------------------------------------------------------------------------

  /** A job's record was read. */
  onJob(view: JobView): void {
    const known = this.entries.get(view.id);
    if (view.dependsOn.length === 0) {
      if (known) this.remove(known);
      // Those that need it may have been read before it.
      else if (this.dependents.has(view.id)) this.recomputePriority(view.id);
      return;
    }
    if (!known) this.addWaiting(view);
  }

  /** A job's record is gone: it is over, and its final record says how it ended. */
  onJobRemoved(id: string): void {
    const waiting = this.entries.get(id);
    if (waiting) this.remove(waiting);
    if (this.dependents.has(id) && !this.ctx.cache.finalRecords.has(id))
      this.unknown.set(id, 0);
  }

  /** How a job ended, once and for all. */
  onFinalRecord(id: string, finalRecord: FinalRecord): void {
    this.unknown.delete(id);
    for (const dependent of this.dependentsOf(id)) {
      if (finalRecord.status === "cancelled")
        this.cancelWithDependency(dependent);
      else if (
        dependent.unfinished.delete(id) &&
        dependent.unfinished.size === 0
      )
        dependent.dueSinceMs = this.ctx.nowMs;
      this.checkedMs = -Infinity;
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
    this.entries.set(view.id, waiting);
    for (const dependency of waiting.dependsOn)
      this.addDependency(waiting, dependency);
    this.recomputePriority(view.id);
    for (const dependency of waiting.unfinished)
      this.recomputePriority(dependency);
  }

  private addDependency(waiting: WaitingJob, dependency: string): void {
    const dependents = this.dependents.get(dependency) ?? new Set();
    this.dependents.set(dependency, dependents.add(waiting.view.id));
    this.unknown.delete(dependency);
    const finalRecord = this.ctx.cache.finalRecords.get(dependency);
    if (finalRecord) this.onFinalRecord(dependency, finalRecord);
    else if (this.isCancelledByDependency(dependency))
      this.cancelWithDependency(waiting);
    else if (!this.ctx.cache.jobs.has(dependency))
      this.unknown.set(dependency, 0);
  }

  /** The waiting jobs that name a job, as they are now. */
  private dependentsOf(id: string): WaitingJob[] {
    const dependents: WaitingJob[] = [];
    for (const name of this.dependents.get(id) ?? []) {
      const dependent = this.entries.get(name);
      if (dependent) dependents.push(dependent);
    }
    return dependents;
  }

  /**
   * No recursion, here and in `unresolvedDependency`: users may build chains of thousands of jobs, and a stack that
   * overflows ends the process.
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
    this.entries.delete(waiting.view.id);
    for (const dependency of waiting.dependsOn) {
      const dependents = this.dependents.get(dependency);
      dependents?.delete(waiting.view.id);
      if (dependents?.size === 0) {
        this.dependents.delete(dependency);
        this.unknown.delete(dependency);
      }
      this.recomputePriority(dependency);
    }
  }

  // ---- queries -------------------------------------------------------------------------------------------

  /** Whether a direct or indirect dependency of an unfinished job is cancelled. */
  isCancelledByDependency(id: string): boolean {
    return this.entries.get(id)?.cancelledByDependency === true;
  }
  /** Dependencies that a job is known to wait for; empty if it may start. */
  unfinishedDependencies(id: string): readonly string[] {
    return [...(this.entries.get(id)?.unfinished ?? [])];
  }
  /** A direct or indirect dependency of which it is not known what became; null: all are known. */
  unresolvedDependency(id: string): string | null {
    if (this.unknown.size === 0) return null;
    const visited = new Set<string>();
    const stack = [id];
    for (let next = stack.pop(); next !== undefined; next = stack.pop()) {
      if (visited.has(next)) continue;
      visited.add(next);
      if (this.unknown.has(next)) return next;
      stack.push(...(this.entries.get(next)?.unfinished ?? []));
    }
    return null;
  }

  // ---- priority and deadline -----------------------------------------------------------------------------

  /**
   * A job inherits the highest priority of its dependents, and is due early enough that they can still meet their
   * deadlines. Kept up to date as jobs come and go: only jobs that a change reaches are visited.
   */
  private recomputePriority(first: string): void {
    const stack = [first];
    for (let id = stack.pop(); id !== undefined; id = stack.pop())
      if (this.recomputePriorityOf(id))
        stack.push(...(this.entries.get(id)?.unfinished ?? []));
  }
  /** Whether anything changed. */
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
      this.entries.size === 0 ||
      this.ctx.nowMs - this.checkedMs < CHECK_INTERVAL_MS
    )
      return;
    this.checkedMs = this.ctx.nowMs;
    this.lookUpUnknown();
    this.end(this.releaseDue());
  }

  private lookUpUnknown(): void {
    for (const [id, notBeforeMs] of this.unknown) {
      if (this.ctx.nowMs < notBeforeMs) continue;
      this.unknown.set(id, this.ctx.nowMs + RETRY_MS);
      this.ports.lookUpFinalRecord(id);
    }
  }

  /** Releases the jobs whose dependencies are done; those to be ended are returned. */
  private releaseDue(): WaitingJob[] {
    const cancelled: WaitingJob[] = [];
    const controllers = this.actingControllers();
    for (const waiting of this.entries.values()) {
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

  /** Controllers take turns, beginning with one that the job's id decides. */
  private isOwnTurn(
    waiting: WaitingJob,
    controllers: readonly string[],
  ): boolean {
    const count = controllers.length;
    const first = hashToIndex(waiting.view.id, count);
    const self = controllers.indexOf(this.ctx.settings.label);
    const rank = (self - first + count) % count;
    return this.ctx.nowMs - waiting.dueSinceMs >= rank * TURN_INTERVAL_MS;
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

  /** Writes the final records of jobs with a cancelled dependency: as many at once as a transaction takes. */
  private end(cancelled: readonly WaitingJob[]): void {
    const batchSize = Math.max(
      1,
      Math.floor(this.ctx.settings.state.txnOps / WRITES_PER_END),
    );
    for (
      let start = 0;
      start < cancelled.length && this.commitsInFlight < MAX_COMMITS_IN_FLIGHT;
      start += batchSize
    )
      this.endBatch(cancelled.slice(start, start + batchSize));
  }

  private endBatch(batch: readonly WaitingJob[]): void {
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
      // The record itself says what became of it; until it does, or after a refusal, the same is tried again.
      for (const waiting of jobs) {
        waiting.isCommitting = false;
        waiting.retryAtMs = this.ctx.nowMs + RETRY_MS;
      }
      this.commitsInFlight--;
      if (outcome !== "ok") return;
      onCommitted();
      this.checkedMs = -Infinity;
      this.processWaitingJobs();
    });
  }
}
