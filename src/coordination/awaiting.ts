import {
  endWrites,
  jobKey,
  type JobRecord,
  type PastRecord,
  writeJob,
} from "../storage/records.js";
import type { Condition, Write } from "../protocol/state.js";
import type { Context } from "./context.js";
import { Urgent } from "./effects.js";
import { finalRecord } from "./finishing.js";
import { type JobView, ownDueAt } from "./mirror.js";
import { type JobSpec, URGENCIES } from "./model.js";
import type { RangeSet } from "./ranges.js";
import { turn } from "./splitter.js";

/** Whoever comes next for a job acts this much later than the one before. */
const TURN_MS = 1_000;
/** After a commit that did not end well, or a name that could not be looked up. */
const AGAIN_MS = 500;
/** Commits on their way at once: a wide tree must not fill the queue that users' writes stand in as well. */
const AT_ONCE = 8;
/** A job that waits is looked at this often, beside whenever something happens to what it waits for. */
const LOOK_MS = 200;

interface Entry {
  view: JobView;
  /** Jobs that its record names. */
  names: readonly string[];
  /** Jobs it needs that are not known to be done. */
  open: Set<string>;
  /** One that it needs, directly or through others, is cancelled: so is this one, whatever its record says yet. */
  doomed: boolean;
  /** Since when it is to be released or ended. */
  sinceMs: number;
  busy: boolean;
  againMs: number;
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
export class Awaiting {
  private readonly entries = new Map<string, Entry>();
  /** By job: those that name it and wait. */
  private readonly needers = new Map<string, Set<string>>();
  /** Named jobs that are neither alive nor known to be over, by when they may be looked up again. */
  private readonly unknown = new Map<string, number>();
  private lookedMs = -Infinity;
  private sent = 0;

  constructor(
    private readonly ctx: Context,
    /** Cuts a job over the groups by the room of this moment; null: that can't be said now. */
    private readonly cut: (spec: JobSpec) => Map<string, RangeSet> | null,
    /** Reads a job's final record; what it says comes to `settle`. */
    private readonly lookUp: (id: string) => void,
  ) {}

  // ---- what the records say ------------------------------------------------------------------------------

  /** A job's record was read. */
  seen(view: JobView): void {
    const had = this.entries.get(view.id);
    if (view.awaits.length === 0) {
      if (had) this.remove(had);
      // Those that need it may have been read before it.
      else if (this.needers.has(view.id)) this.stand(view.id);
      return;
    }
    if (had) return;
    const e: Entry = {
      view,
      names: view.awaits,
      open: new Set(view.awaits),
      doomed: false,
      sinceMs: this.ctx.nowMs,
      busy: false,
      againMs: 0,
    };
    this.entries.set(view.id, e);
    for (const name of e.names) {
      const set = this.needers.get(name) ?? new Set();
      this.needers.set(name, set.add(view.id));
      this.unknown.delete(name);
      const past = this.ctx.mirror.past.get(name);
      if (past) this.settle(name, past);
      else if (this.entries.get(name)?.doomed) this.doom(e);
      else if (!this.ctx.mirror.jobs.has(name)) this.unknown.set(name, 0);
    }
    this.stand(view.id);
    for (const name of e.open) this.stand(name);
  }

  /** A job's record is gone: it is over, and what became of it is said by its final one. */
  gone(id: string): void {
    const e = this.entries.get(id);
    if (e) this.remove(e);
    if (this.needers.has(id) && !this.ctx.mirror.past.has(id))
      this.unknown.set(id, 0);
  }

  /** What became of a job, once and for all. */
  settle(id: string, past: PastRecord): void {
    this.unknown.delete(id);
    for (const name of [...(this.needers.get(id) ?? [])]) {
      const e = this.entries.get(name)!;
      if (past.status === "cancelled") this.doom(e);
      else if (e.open.delete(id) && e.open.size === 0)
        e.sinceMs = this.ctx.nowMs;
      this.lookedMs = -Infinity;
    }
  }

  /** No recursion, here and in `stand`: users may build lines of thousands of jobs, and a stack that overflows ends the process. */
  private doom(first: Entry): void {
    const stack = [first];
    for (let e = stack.pop(); e; e = stack.pop()) {
      if (e.doomed) continue;
      e.doomed = true;
      e.sinceMs = this.ctx.nowMs;
      for (const name of this.needers.get(e.view.id) ?? [])
        stack.push(this.entries.get(name)!);
      for (const name of e.names) this.stand(name);
    }
  }

  private remove(e: Entry): void {
    this.entries.delete(e.view.id);
    for (const name of e.names) {
      const set = this.needers.get(name)!;
      set.delete(e.view.id);
      if (set.size === 0) {
        this.needers.delete(name);
        this.unknown.delete(name);
      }
      this.stand(name);
    }
  }

  // ---- what users are told -------------------------------------------------------------------------------

  /** What an unfinished job needs is cancelled. */
  isDoomed(id: string): boolean {
    return this.entries.get(id)?.doomed === true;
  }
  /** Jobs that this one is known to wait for; empty if it may start. */
  waitsFor(id: string): readonly string[] {
    return [...(this.entries.get(id)?.open ?? [])];
  }
  /** A job that this one needs, through any others, of which it is not known what became; null: all are known. */
  unsure(id: string): string | null {
    if (this.unknown.size === 0) return null;
    const met = new Set<string>();
    const stack = [id];
    for (let at = stack.pop(); at !== undefined; at = stack.pop()) {
      if (met.has(at)) continue;
      met.add(at);
      if (this.unknown.has(at)) return at;
      stack.push(...(this.entries.get(at)?.open ?? []));
    }
    return null;
  }

  // ---- urgency and deadline ------------------------------------------------------------------------------

  /**
   * A job counts as urgent as the most urgent one that needs it, and is due when what follows it can still be done in
   * time. Kept up to date as jobs come and go: only what a change reaches is looked at.
   */
  private stand(first: string): void {
    const stack = [first];
    for (let id = stack.pop(); id !== undefined; id = stack.pop())
      if (this.standOne(id)) stack.push(...(this.entries.get(id)?.open ?? []));
  }
  /** Whether anything changed. */
  private standOne(id: string): boolean {
    const view = this.ctx.mirror.jobs.get(id);
    if (!view) return false;
    let urgency = view.spec.urgency;
    let dueAt = ownDueAt(view.spec, view.acceptedAt);
    for (const name of this.needers.get(id) ?? []) {
      const e = this.entries.get(name)!;
      if (e.doomed) continue;
      const { view: next } = e;
      if (URGENCIES.indexOf(next.urgency) > URGENCIES.indexOf(urgency))
        urgency = next.urgency;
      dueAt = Math.min(dueAt, next.dueAt - next.spec.estimateS * 1000);
    }
    if (urgency === view.urgency && dueAt === view.dueAt) return false;
    view.urgency = urgency;
    view.dueAt = dueAt;
    return true;
  }

  // ---- releases and ends ---------------------------------------------------------------------------------

  /** Looks up, releases and ends what is due for it. */
  act(): void {
    if (this.entries.size === 0 || this.ctx.nowMs - this.lookedMs < LOOK_MS)
      return;
    this.lookedMs = this.ctx.nowMs;
    for (const [name, againMs] of this.unknown) {
      if (this.ctx.nowMs < againMs) continue;
      this.unknown.set(name, this.ctx.nowMs + AGAIN_MS);
      this.lookUp(name);
    }
    const over: Entry[] = [];
    const able = this.able();
    for (const e of this.entries.values()) {
      if (
        (!e.doomed && e.open.size > 0) ||
        e.busy ||
        this.ctx.nowMs < e.againMs ||
        !this.myTurn(e, able)
      )
        continue;
      if (e.doomed) over.push(e);
      else if (this.sent < AT_ONCE) this.release(e);
    }
    this.end(over);
  }

  /** Controllers that hold a group, and this one. */
  private able(): string[] {
    const owners = new Set(
      [...this.ctx.mirror.groups.values()].map((g) => g.owner),
    );
    return this.ctx.groups.names.filter(
      (n) => owners.has(n) || n === this.ctx.settings.label,
    );
  }
  /** They come by turns, beginning with one that the job's name decides. */
  private myTurn(e: Entry, able: readonly string[]): boolean {
    const first = turn(e.view.id, able.length);
    const rank =
      (able.indexOf(this.ctx.settings.label) - first + able.length) %
      able.length;
    return this.ctx.nowMs - e.sinceMs >= rank * TURN_MS;
  }

  private release(e: Entry): void {
    const { view } = e;
    const split = this.cut(view.spec);
    if (!split) return;
    const record: JobRecord = {
      spec: view.spec,
      acceptedAt: view.acceptedAt,
      split,
      awaits: [],
      releasedAt: Math.max(view.acceptedAt, this.ctx.wallMs),
    };
    this.commit(
      [e],
      [{ op: "put", key: jobKey(view.id), value: writeJob(record) }],
      Urgent.Master,
      () =>
        this.ctx.log("job dependencies satisfied", {
          job: view.id,
          class: view.spec.class,
          assignment: [...split].map(([g, r]) => [g, r.size]),
        }),
    );
  }

  /** The final records of jobs that need a cancelled one: as many as a transaction takes. */
  private end(over: readonly Entry[]): void {
    const each = Math.max(1, Math.floor(this.ctx.settings.state.txnOps / 2));
    for (let i = 0; i < over.length && this.sent < AT_ONCE; i += each) {
      const some = over.slice(i, i + each);
      const writes = some.flatMap((e) =>
        endWrites(
          e.view.id,
          finalRecord(this.ctx, e.view.spec, "cancelled", 0),
        ),
      );
      this.commit(some, writes, Urgent.Spare, () =>
        this.ctx.log("dependent jobs cancelled", {
          jobs: some.map((e) => e.view.id),
        }),
      );
    }
  }

  private commit(
    of: readonly Entry[],
    writes: Write[],
    urgent: Urgent,
    ok: () => void,
  ): void {
    for (const e of of) e.busy = true;
    this.sent++;
    const conditions = of.map((e): Condition => ({
      key: jobKey(e.view.id),
      version: e.view.version,
    }));
    this.ctx.commit(conditions, writes, urgent, (end) => {
      // The record itself says what became of it; until it does, or after a refusal, the same is tried again.
      for (const e of of) {
        e.busy = false;
        e.againMs = this.ctx.nowMs + AGAIN_MS;
      }
      this.sent--;
      if (end !== "ok") return;
      ok();
      this.lookedMs = -Infinity;
      this.act();
    });
  }
}
