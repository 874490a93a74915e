import {
  endWrites,
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
import { turnOf } from "./job-partitioner.js";

/** Whoever comes next for a job acts this much later than the one before. */
const TURN_INTERVAL_MS = 1_000;
/** After a commit that did not end well, or a name that could not be looked up. */
const RETRY_MS = 500;
/** Commits on their way at once: a wide tree must not fill the queue that users' writes stand in as well. */
const MAX_COMMITS_IN_FLIGHT = 8;
/** A job that waits is looked at this often, beside whenever something happens to what it waits for. */
const CHECK_INTERVAL_MS = 200;

interface WaitingJob {
  view: JobView;
  /** Jobs that its record names. */
  dependsOn: readonly string[];
  /** Jobs it needs that are not known to be done. */
  unfinished: Set<string>;
  /** One that it needs, directly or through others, is cancelled: so is this one, whatever its record says yet. */
  cancelledByDependency: boolean;
  /** Since when it is to be released or ended. */
  sinceMs: number;
  busy: boolean;
  retryMs: number;
}

/**
 * Jobs that wait for others. Their records have an empty split, so that no master has anything of them; what follows
 * from the records of the jobs that they need is derived alike on every controller:
 *
 * - All are done: one commit, conditional on the job's record, writes the split of that moment. Invariant (too_early):
 *   "done" is read from the state service, never from what a master believes.
 * - One is cancelled: the job is cancelled. Both facts are final, so it is told at once, and the record that says so
 *   follows. Invariant (orphaned, went_back): no controller calls it waiting that does not know of every job it needs,
 *   through all others, that it is alive or done.
 *
 * Which controller writes is a matter of turns: the condition makes doubles harmless, and a job never hangs on one.
 */
export class DependencyTracker {
  private readonly entries = new Map<string, WaitingJob>();
  /** By job: those that name it and wait. */
  private readonly dependents = new Map<string, Set<string>>();
  /** Named jobs that are neither alive nor known to be over, by when they may be looked up again. */
  private readonly unknown = new Map<string, number>();
  private checkedMs = -Infinity;
  private commitsInFlight = 0;

  constructor(
    private readonly ctx: Context,
    /** Cuts a job over the groups by the room of this moment; null: that can't be said now. */
    private readonly partitionJob: (
      spec: JobSpec,
    ) => Map<string, RangeSet> | null,
    /** Reads a job's final record; what it says comes to `settle`. */
    private readonly readFinalRecord: (id: string) => void,
  ) {}

  // ---- what the records say ------------------------------------------------------------------------------

  /** A job's record was read. */
  onJob(view: JobView): void {
    const had = this.entries.get(view.id);
    if (view.dependsOn.length === 0) {
      if (had) this.remove(had);
      // Those that need it may have been read before it.
      else if (this.dependents.has(view.id)) this.recomputePriority(view.id);
      return;
    }
    if (had) return;
    const e: WaitingJob = {
      view,
      dependsOn: view.dependsOn,
      unfinished: new Set(view.dependsOn),
      cancelledByDependency: false,
      sinceMs: this.ctx.nowMs,
      busy: false,
      retryMs: 0,
    };
    this.entries.set(view.id, e);
    for (const name of e.dependsOn) {
      const set = this.dependents.get(name) ?? new Set();
      this.dependents.set(name, set.add(view.id));
      this.unknown.delete(name);
      const finalRecord = this.ctx.cache.finalRecords.get(name);
      if (finalRecord) this.onFinalRecord(name, finalRecord);
      else if (this.entries.get(name)?.cancelledByDependency)
        this.cancelWithDependency(e);
      else if (!this.ctx.cache.jobs.has(name)) this.unknown.set(name, 0);
    }
    this.recomputePriority(view.id);
    for (const name of e.unfinished) this.recomputePriority(name);
  }

  /** A job's record is gone: it is over, and what became of it is said by its final one. */
  onJobRemoved(id: string): void {
    const e = this.entries.get(id);
    if (e) this.remove(e);
    if (this.dependents.has(id) && !this.ctx.cache.finalRecords.has(id))
      this.unknown.set(id, 0);
  }

  /** What became of a job, once and for all. */
  onFinalRecord(id: string, finalRecord: FinalRecord): void {
    this.unknown.delete(id);
    for (const name of [...(this.dependents.get(id) ?? [])]) {
      const e = this.entries.get(name)!;
      if (finalRecord.status === "cancelled") this.cancelWithDependency(e);
      else if (e.unfinished.delete(id) && e.unfinished.size === 0)
        e.sinceMs = this.ctx.nowMs;
      this.checkedMs = -Infinity;
    }
  }

  /** No recursion, here and in `stand`: users may build lines of thousands of jobs, and a stack that overflows ends the process. */
  private cancelWithDependency(first: WaitingJob): void {
    const stack = [first];
    for (let e = stack.pop(); e; e = stack.pop()) {
      if (e.cancelledByDependency) continue;
      e.cancelledByDependency = true;
      e.sinceMs = this.ctx.nowMs;
      for (const name of this.dependents.get(e.view.id) ?? [])
        stack.push(this.entries.get(name)!);
      for (const name of e.dependsOn) this.recomputePriority(name);
    }
  }

  private remove(e: WaitingJob): void {
    this.entries.delete(e.view.id);
    for (const name of e.dependsOn) {
      const set = this.dependents.get(name)!;
      set.delete(e.view.id);
      if (set.size === 0) {
        this.dependents.delete(name);
        this.unknown.delete(name);
      }
      this.recomputePriority(name);
    }
  }

  // ---- what users are told -------------------------------------------------------------------------------

  /** What an unfinished job needs is cancelled. */
  isCancelledByDependency(id: string): boolean {
    return this.entries.get(id)?.cancelledByDependency === true;
  }
  /** Jobs that this one is known to wait for; empty if it may start. */
  unfinishedDependencies(id: string): readonly string[] {
    return [...(this.entries.get(id)?.unfinished ?? [])];
  }
  /** A job that this one needs, through any others, of which it is not known what became; null: all are known. */
  unresolvedDependency(id: string): string | null {
    if (this.unknown.size === 0) return null;
    const met = new Set<string>();
    const stack = [id];
    for (let at = stack.pop(); at !== undefined; at = stack.pop()) {
      if (met.has(at)) continue;
      met.add(at);
      if (this.unknown.has(at)) return at;
      stack.push(...(this.entries.get(at)?.unfinished ?? []));
    }
    return null;
  }

  // ---- urgency and deadline ------------------------------------------------------------------------------

  /**
   * A job counts as urgent as the most urgent one that needs it, and is due when what follows it can still be done in
   * time. Kept up to date as jobs come and go: only what a change reaches is looked at.
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
    for (const name of this.dependents.get(id) ?? []) {
      const e = this.entries.get(name)!;
      if (e.cancelledByDependency) continue;
      const { view: next } = e;
      if (PRIORITIES.indexOf(next.priority) > PRIORITIES.indexOf(priority))
        priority = next.priority;
      dueAt = Math.min(dueAt, next.dueAt - next.spec.estimateS * 1000);
    }
    if (priority === view.priority && dueAt === view.dueAt) return false;
    view.priority = priority;
    view.dueAt = dueAt;
    return true;
  }

  // ---- releases and ends ---------------------------------------------------------------------------------

  /** Looks up, releases and ends what is due for it. */
  act(): void {
    if (
      this.entries.size === 0 ||
      this.ctx.nowMs - this.checkedMs < CHECK_INTERVAL_MS
    )
      return;
    this.checkedMs = this.ctx.nowMs;
    for (const [name, againMs] of this.unknown) {
      if (this.ctx.nowMs < againMs) continue;
      this.unknown.set(name, this.ctx.nowMs + RETRY_MS);
      this.readFinalRecord(name);
    }
    const over: WaitingJob[] = [];
    const able = this.mayAct();
    for (const e of this.entries.values()) {
      if (
        (!e.cancelledByDependency && e.unfinished.size > 0) ||
        e.busy ||
        this.ctx.nowMs < e.retryMs ||
        !this.isOwnTurn(e, able)
      )
        continue;
      if (e.cancelledByDependency) over.push(e);
      else if (this.commitsInFlight < MAX_COMMITS_IN_FLIGHT) this.release(e);
    }
    this.end(over);
  }

  /** Controllers that hold a group, and this one. */
  private mayAct(): string[] {
    const owners = new Set(
      [...this.ctx.cache.partitions.values()].map((g) => g.owner),
    );
    return this.ctx.partitions.names.filter(
      (n) => owners.has(n) || n === this.ctx.settings.label,
    );
  }
  /** They come by turns, beginning with one that the job's name decides. */
  private isOwnTurn(e: WaitingJob, able: readonly string[]): boolean {
    const first = turnOf(e.view.id, able.length);
    const rank =
      (able.indexOf(this.ctx.settings.label) - first + able.length) %
      able.length;
    return this.ctx.nowMs - e.sinceMs >= rank * TURN_INTERVAL_MS;
  }

  private release(e: WaitingJob): void {
    const { view } = e;
    const split = this.partitionJob(view.spec);
    if (!split) return;
    const record: JobRecord = {
      spec: view.spec,
      acceptedAt: view.acceptedAt,
      assignment: split,
      dependsOn: [],
      releasedAt: Math.max(view.acceptedAt, this.ctx.wallMs),
    };
    this.commit(
      [e],
      [{ op: "put", key: jobKey(view.id), value: writeJob(record) }],
      CallPriority.Leader,
      () =>
        this.ctx.log("job dependencies satisfied", {
          job: view.id,
          class: view.spec.jobClass,
          assignment: [...split].map(([g, r]) => [g, r.size]),
        }),
    );
  }

  /** The final records of jobs that need a cancelled one: as many as a transaction takes. */
  private end(over: readonly WaitingJob[]): void {
    const each = Math.max(1, Math.floor(this.ctx.settings.state.txnOps / 2));
    for (
      let i = 0;
      i < over.length && this.commitsInFlight < MAX_COMMITS_IN_FLIGHT;
      i += each
    ) {
      const some = over.slice(i, i + each);
      const writes = some.flatMap((e) =>
        endWrites(
          e.view.id,
          finalRecordOf(this.ctx, e.view.spec, "cancelled", 0),
        ),
      );
      this.commit(some, writes, CallPriority.Background, () =>
        this.ctx.log("dependent jobs cancelled", {
          jobs: some.map((e) => e.view.id),
        }),
      );
    }
  }

  private commit(
    of: readonly WaitingJob[],
    writes: Write[],
    priority: CallPriority,
    ok: () => void,
  ): void {
    for (const e of of) e.busy = true;
    this.commitsInFlight++;
    const conditions = of.map((e): Condition => ({
      key: jobKey(e.view.id),
      version: e.view.revision,
    }));
    this.ctx.commit(conditions, writes, priority, (end) => {
      // The record itself says what became of it; until it does, or after a refusal, the same is tried again.
      for (const e of of) {
        e.busy = false;
        e.retryMs = this.ctx.nowMs + RETRY_MS;
      }
      this.commitsInFlight--;
      if (end !== "ok") return;
      ok();
      this.checkedMs = -Infinity;
      this.act();
    });
  }
}
