import { bytesOf, groupKey, jobKey, writeJob } from "../storage/records.js";
import type { Context } from "./context.js";
import { Urgent } from "./effects.js";
import type { JobView } from "./mirror.js";
import type { JobSpec } from "./model.js";
import type { RangeSet } from "./ranges.js";
import { movedSplit } from "./splitter.js";
import type { UnownedGroups } from "./unowned-groups.js";

const LOOK_MS = 5_000;

/**
 * Parts of jobs in splits that name a group which no settings name any more: nobody would ever start them. They go to a group
 * that there is, once nothing of them can run.
 *
 * Invariant (ran_twice): the group has been this controller's for longer than a lease, so that nothing of it runs (`UnownedGroups`). The
 * commit is conditional on that token and on the job's record.
 */
export class Orphans {
  private lookMs = 0;
  private readonly busy = new Set<string>();

  constructor(
    private readonly ctx: Context,
    private readonly unownedGroups: Pick<UnownedGroups, "token">,
    private readonly cut: (spec: JobSpec) => Map<string, RangeSet> | null,
  ) {}

  /** Only called by a controller that has a group. */
  tick(): void {
    const now = this.ctx.nowMs;
    if (now - this.lookMs < LOOK_MS) return;
    this.lookMs = now;
    const { names } = this.ctx.groups;
    for (const job of this.ctx.mirror.jobs.values())
      for (const [group, part] of job.split) {
        if (part.isEmpty || names.includes(group)) continue;
        const token = this.unownedGroups.token(group);
        if (token !== null) this.move(job, group, part, token);
      }
  }

  private move(
    job: JobView,
    group: string,
    part: RangeSet,
    token: number,
  ): void {
    if (this.busy.has(job.id)) return;
    const rest = part.clone();
    const done = this.ctx.mirror.finished(job.id).get(group);
    if (done) rest.removeAll(done);
    const split = this.cut(job.spec);
    // A gang whose parts lie in several groups starts under one attempt that all have called: it is left alone.
    if (
      !split ||
      (job.spec.shape === "ensemble" && job.spec.spread && job.split.size > 1)
    )
      return;
    const to = [...split].sort(
      ([a, x], [b, y]) => y.size - x.size || (a < b ? -1 : 1),
    )[0]?.[0];
    if (to === undefined) return;
    const next = movedSplit(job.split, group, rest, to);
    next.delete(group);
    const value = writeJob({ ...job, split: next });
    if (bytesOf(value) > this.ctx.settings.state.valueBytes) return;
    this.busy.add(job.id);
    this.ctx.log("reassigning tasks of removed partition", {
      job: job.id,
      tasks: rest.size,
      from: group,
      to,
    });
    this.ctx.commit(
      [
        { key: groupKey(group), version: token },
        { key: jobKey(job.id), version: job.version },
      ],
      [{ op: "put", key: jobKey(job.id), value }],
      Urgent.Spare,
      () => this.busy.delete(job.id),
    );
  }
}
