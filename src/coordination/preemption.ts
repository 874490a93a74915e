import type { Context } from "./context.js";
import type { Holdings } from "./holdings.js";
import type { Use } from "./ledger.js";
import { URGENCIES } from "./model.js";
import { allowedOn, type Amounts, fitCount, fits, suits } from "./placement.js";
import { withinShare } from "./quota.js";
import type { Renting } from "./renting.js";
import type { Sharing } from "./sharing.js";
import { graceOf, type JobRun, type TaskRun, type Worker } from "./tasks.js";

/** Which running tasks are stopped for a waiting job that comes first. */
export class Preemption {
  constructor(
    private readonly ctx: Context,
    private readonly own: Holdings,
    private readonly sharing: Sharing,
    private readonly renting: Renting,
  ) {}

  /** PROTOCOL, "Preemption": for a job of higher urgency, or to give a team its guarantee back. */
  private mayPreempt(job: JobRun, t: TaskRun, used: ReadonlyMap<string, { cpus: number; gpus: number }>): boolean {
    return !t.stop && t.phase !== "saving" && this.comesBefore(job, t.job, used);
  }

  private comesBefore(job: JobRun, running: JobRun, used: ReadonlyMap<string, Use>): boolean {
    const spec = job.view.spec;
    const other = running.view.spec;
    // A gang that loses one task loses all: only single ones are stopped.
    if (other.shape === "ensemble" && other.tasks > 1) return false;
    if (URGENCIES.indexOf(job.view.urgency) > URGENCIES.indexOf(running.view.urgency)) return true;
    if (other.team === spec.team) return false;
    const n = this.ctx.groups.names.length;
    const within = (name: string, need: { cpus: number; gpus: number }): boolean => {
      const team = this.ctx.settings.teams.get(name);
      const u = used.get(name) ?? { cpus: 0, gpus: 0 };
      return team !== undefined && withinShare(u, need, [team.cpus / n, (team.gpus || Infinity) / n]);
    };
    return within(spec.team, spec) && !within(other.team, { cpus: 0, gpus: 0 });
  }

  /** Whether any job here runs tasks that may be stopped for this one: mostly none does, and no machine need be looked at. */
  private anyBehind(job: JobRun, used: ReadonlyMap<string, Use>): boolean {
    for (const j of this.own.jobs.values()) if (j.active.size > 0 && this.comesBefore(job, j, used)) return true;
    return false;
  }

  /** What stopping a task loses, in seconds of its CPUs. */
  private lossOf(t: TaskRun): number {
    const spec = t.job.view.spec;
    const ran = t.phase === "running" ? (this.ctx.nowMs - t.sinceMs) / 1000 : 0;
    return 5 + (spec.checkpointS > 0 ? spec.saveS : ran) * Math.max(1, spec.cpus);
  }

  /** Tasks to stop on one machine so that one of the job's fits: the least lost first; null: that can't be had there. */
  private victimsOn(w: Worker, job: JobRun, free: Amounts, used: ReadonlyMap<string, Use>): { victims: TaskRun[]; loss: number } | null {
    const spec = job.view.spec;
    const room = { ...free };
    const victims: TaskRun[] = [];
    let loss = 0;
    for (const t of [...w.tasks.values()].filter((x) => this.mayPreempt(job, x, used)).sort((x, y) => this.lossOf(x) - this.lossOf(y))) {
      if (fits(spec, room)) break;
      victims.push(t);
      loss += this.lossOf(t);
      room.cpus += t.job.view.spec.cpus;
      room.gpus += t.job.view.spec.gpus;
      room.memGb += t.job.view.spec.memGb;
    }
    return victims.length > 0 && fits(spec, room) ? { victims, loss } : null;
  }

  /**
   * Stops tasks that may be stopped for a waiting job that fits nowhere, where nothing more can be rented: on the
   * machines where the least is lost, for a gang as many as it lacks, in one zone if it must be. The room is held for
   * the job until they are gone.
   */
  consider(job: JobRun, workers: readonly Worker[], free: ReadonlyMap<Worker, Amounts>, used: ReadonlyMap<string, Use>): void {
    const spec = job.view.spec;
    const gang = spec.shape === "ensemble";
    if (spec.spread || (spec.samePlace && !gang)) return;
    if (gang && (job.active.size > 0 || job.waiting.size < spec.tasks || this.own.ledger.hasStrays(job.id))) return;
    const want = gang ? spec.tasks : 1;
    if (!withinShare(used.get(spec.team) ?? { cpus: 0, gpus: 0 }, { cpus: spec.cpus * want, gpus: spec.gpus * want }, this.sharing.share(spec.team))) return;
    if (!this.anyBehind(job, used) || !this.renting.exhausted(spec)) return;
    const now = this.ctx.nowMs;
    if (workers.some((w) => w.heldFor?.job === job.id && now < w.heldFor.untilMs)) return;
    const may = workers.filter(
      (w) => allowedOn(spec, w.typeName, w.zone, w.spot) && suits(spec, w.type, w.spot, this.ctx.catalog) && !(w.heldFor && now < w.heldFor.untilMs) && !job.errors.has(w.id),
    );
    let best: { rooms: Worker[]; stops: { w: Worker; victims: TaskRun[] }[]; loss: number } | null = null;
    for (const zone of spec.samePlace ? new Set(may.map((w) => w.zone)) : [null]) {
      const here = zone === null ? may : may.filter((w) => w.zone === zone);
      const rooms = here.filter((w) => fits(spec, free.get(w)!));
      const lacking = want - rooms.reduce((n, w) => n + fitCount(spec, free.get(w)!), 0);
      const options = here
        .filter((w) => !rooms.includes(w))
        .flatMap((w) => {
          const v = this.victimsOn(w, job, free.get(w)!, used);
          return v ? [{ w, ...v }] : [];
        })
        .sort((x, y) => x.loss - y.loss);
      if (lacking <= 0 || options.length < lacking) continue;
      const stops = options.slice(0, lacking);
      const loss = stops.reduce((n, o) => n + o.loss, 0);
      if (!best || loss < best.loss) best = { rooms, stops, loss };
    }
    if (!best) return;
    const victims = best.stops.flatMap((o) => o.victims);
    const untilMs = now + Math.max(0, ...victims.map(graceOf)) * 1000 + 2_000 * this.ctx.settings.reportS + 3_000;
    for (const w of [...best.rooms, ...best.stops.map((o) => o.w)]) w.heldFor = { job: job.id, untilMs };
    this.ctx.log("info", "stopping tasks for a job that comes first", { job: job.id, workers: best.stops.map((o) => o.w.id), tasks: victims.length });
    for (const t of victims) this.own.stop(t, graceOf(t), "preempted");
  }
}
