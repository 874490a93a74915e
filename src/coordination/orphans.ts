import { bytesOf, groupKey, jobKey, writeJob } from "../storage/records.js";
import { type Context, DRIFT } from "./context.js";
import { Urgent } from "./effects.js";
import type { JobView } from "./mirror.js";
import type { JobSpec } from "./model.js";
import { RangeSet } from "./ranges.js";
import { turn } from "./splitter.js";

const LOOK_MS = 5_000;
/** Between the turns of two controllers, in ms. */
const TURN_MS = 2_000;
const SLACK_MS = 2_000;

/**
 * Parts of jobs in splits that name a group which no settings name any more: nobody would ever start them. They go to a group
 * that there is, once nothing of them can run.
 *
 * Invariant (ran_twice): since this controller saw that nobody owns the group, every lease has ended that its last master
 * answered for, and whoever answered one of its machines since sent the order to stop what it does not know as its own in
 * that very answer. The commit is conditional on the group being nobody's and on the job's record.
 */
export class Orphans {
  private lookMs = 0;
  private readonly goneMs = new Map<string, number>();
  private readonly busy = new Set<string>();

  constructor(
    private readonly ctx: Context,
    private readonly cut: (spec: JobSpec) => Map<string, RangeSet> | null,
  ) {}

  /** Only called by a controller that has a group. */
  tick(): void {
    const now = this.ctx.nowMs;
    if (now - this.lookMs < LOOK_MS) return;
    this.lookMs = now;
    const { names } = this.ctx.groups;
    const leaseMs = this.ctx.settings.leaseS * 1000 * DRIFT + SLACK_MS;
    const seen = new Set<string>();
    for (const job of this.ctx.mirror.jobs.values())
      for (const [group, part] of job.split) {
        if (part.isEmpty || names.includes(group)) continue;
        seen.add(group);
        if (this.ctx.mirror.groups.has(group)) {
          this.goneMs.delete(group);
          continue;
        }
        const gone = this.goneMs.get(group) ?? now;
        this.goneMs.set(group, gone);
        const rank = (names.indexOf(this.ctx.settings.label) - turn(job.id, names.length) + names.length) % names.length;
        if (now - gone > leaseMs + rank * TURN_MS) this.move(job, group, part);
      }
    for (const g of this.goneMs.keys()) if (!seen.has(g)) this.goneMs.delete(g);
  }

  private move(job: JobView, group: string, part: RangeSet): void {
    if (this.busy.has(job.id)) return;
    const rest = part.clone();
    const done = this.ctx.mirror.finished(job.id).get(group);
    if (done) rest.removeAll(done);
    const split = this.cut(job.spec);
    // A gang whose parts lie in several groups starts under one attempt that all have called: it is left alone.
    if (!split || (job.spec.spread && job.split.size > 1)) return;
    const to = [...split].sort(([a, x], [b, y]) => y.size - x.size || (a < b ? -1 : 1))[0]?.[0];
    if (to === undefined) return;
    const next = new Map([...job.split].map(([g, r]) => [g, r.clone()]));
    next.delete(group);
    const theirs = next.get(to) ?? RangeSet.empty();
    theirs.addAll(rest);
    next.set(to, theirs);
    const value = writeJob({ ...job, split: next });
    if (bytesOf(value) > this.ctx.settings.state.valueBytes) return;
    this.busy.add(job.id);
    this.ctx.log("info", "tasks of a group that is gone go to another", { job: job.id, tasks: rest.size, from: group, to });
    this.ctx.commit([{ key: groupKey(group), version: 0 }, { key: jobKey(job.id), version: job.version }], [{ op: "put", key: jobKey(job.id), value }], Urgent.Spare, () => this.busy.delete(job.id));
  }
}
