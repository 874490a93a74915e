import type { Context } from "../context.js";
import type { PartitionState } from "./partition-state.js";
import type { ResourceUse } from "../machines/resource-ledger.js";
import {
  type ResourceAmounts,
  type GuaranteeReclaims,
  type QuotaAllocator,
  withinShare,
} from "../quota/index.js";
import { PRIORITIES } from "../model.js";
import {
  isAllowedOn,
  type Resources,
  EPSILON,
  fitCount,
  fits,
  isSuitable,
} from "./placement.js";
import type { ScaleOut } from "../machines/scale-out.js";
import {
  saveTimeS,
  type JobRun,
  type TaskRun,
  type Worker,
} from "../machines/worker-state.js";

/** Which running tasks are stopped for a waiting job that comes first. */
export class Preemption {
  constructor(
    private readonly ctx: Context,
    private readonly own: PartitionState,
    private readonly sharing: QuotaAllocator,
    private readonly scaleOut: ScaleOut,
    private readonly reclaims: GuaranteeReclaims,
  ) {}

  /** PROTOCOL, "Preemption": for a job of higher urgency, or to give a team its guarantee back. */
  private mayPreempt(job: JobRun, t: TaskRun, why: Why): boolean {
    return (
      !t.stop &&
      t.phase !== "saving" &&
      !isGang(t.job) &&
      this.comesBefore(job, t.job, why)
    );
  }

  private comesBefore(job: JobRun, running: JobRun, why: Why): boolean {
    if (
      PRIORITIES.indexOf(job.view.priority) >
      PRIORITIES.indexOf(running.view.priority)
    )
      return true;
    return why.has(running.view.spec.team);
  }

  /**
   * Teams that work may be taken of for the guarantee of the job's team, with how much: they are surely beyond their own,
   * whole fleet and claims of all groups counted, and the job fits into what its team is promised.
   */
  private teamsToReclaimFrom(job: JobRun, want: number): Why {
    const { spec } = job.view;
    const out = new Map<string, ResourceAmounts>();
    if (
      !this.reclaims.mayClaim(spec.team, [spec.cpus * want, spec.gpus * want])
    )
      return out;
    for (const team of this.ctx.settings.teams.keys()) {
      if (team === spec.team) continue;
      const left = this.reclaims.left(team);
      if (left[0] > EPSILON || left[1] > EPSILON) out.set(team, left);
    }
    return out;
  }

  /** Whether any job here runs tasks that may be stopped for this one: mostly none does, and no machine need be looked at. */
  private anyBehind(job: JobRun, why: Why): boolean {
    for (const j of this.own.jobs.values())
      if (j.active.size > 0 && this.comesBefore(job, j, why)) return true;
    return false;
  }

  /** What stopping a task loses, in seconds of its CPUs. */
  private lostWorkOf(t: TaskRun): number {
    const spec = t.job.view.spec;
    const ran = t.phase === "running" ? (this.ctx.nowMs - t.sinceMs) / 1000 : 0;
    return (
      5 + (spec.checkpointS > 0 ? spec.saveS : ran) * Math.max(1, spec.cpus)
    );
  }

  /**
   * Tasks to stop on one machine so that one of the job's fits: the least lost first; null: that can't be had there.
   * `left`: what may still be taken of each team for a guarantee.
   */
  private victimsOn(
    w: Worker,
    job: JobRun,
    free: Resources,
    why: Why,
    left: Map<string, ResourceAmounts>,
  ): { victims: TaskRun[]; loss: number } | null {
    const spec = job.view.spec;
    const room = { ...free };
    const victims: TaskRun[] = [];
    let loss = 0;
    for (const t of [...w.tasks.values()]
      .filter((x) => this.mayPreempt(job, x, why))
      .sort((x, y) => this.lostWorkOf(x) - this.lostWorkOf(y))) {
      if (fits(spec, room)) break;
      if (!this.charge(t, job, left)) continue;
      victims.push(t);
      loss += this.lostWorkOf(t);
      addTo(room, t.job.view.spec);
    }
    return victims.length > 0 && fits(spec, room) ? { victims, loss } : null;
  }

  /** Counts a task against what may be taken of its team, if it is stopped for a guarantee; false: nothing may be any more. */
  private charge(
    t: TaskRun,
    job: JobRun,
    left: Map<string, ResourceAmounts>,
  ): boolean {
    const { spec, priority } = t.job.view;
    if (PRIORITIES.indexOf(job.view.priority) > PRIORITIES.indexOf(priority))
      return true;
    const l = left.get(spec.team);
    // The last task may go beyond, so that no guarantee stays unmet for the size of a task.
    if (
      !l ||
      !((spec.cpus > 0 && l[0] > EPSILON) || (spec.gpus > 0 && l[1] > EPSILON))
    )
      return false;
    left.set(spec.team, [l[0] - spec.cpus, l[1] - spec.gpus]);
    return true;
  }

  /**
   * Stops tasks that may be stopped for a waiting job that fits nowhere, where nothing more can be rented: on the
   * machines where the least is lost, for a gang as many as it lacks, in one zone if it must be. The room is held for
   * the job until they are gone.
   */
  consider(
    job: JobRun,
    workers: readonly Worker[],
    free: ReadonlyMap<Worker, Resources>,
    used: ReadonlyMap<string, ResourceUse>,
  ): void {
    const spec = job.view.spec;
    const gang = spec.kind === "gang";
    if (spec.spread || (spec.samePlace && !gang)) return;
    if (gang && !this.own.isWhollyWaiting(job)) return;
    const want = gang ? spec.tasks : 1;
    if (
      !withinShare(
        used.get(spec.team) ?? { cpus: 0, gpus: 0 },
        { cpus: spec.cpus * want, gpus: spec.gpus * want },
        this.sharing.share(spec.team),
      )
    )
      return;
    const now = this.ctx.nowMs;
    if (
      workers.some(
        (w) => w.reservedFor?.job === job.id && now < w.reservedFor.untilMs,
      )
    )
      return;
    const why = this.teamsToReclaimFrom(job, want);
    if (!this.anyBehind(job, why) || !this.scaleOut.exhausted(spec)) return;
    const may = workers.filter(
      (w) =>
        isAllowedOn(spec, w.typeName, w.zone, w.spot) &&
        isSuitable(spec, w.type, w.spot, this.ctx.catalog) &&
        !(w.reservedFor && now < w.reservedFor.untilMs) &&
        !job.failuresByMachine.has(w.id),
    );
    let best: Candidate | null = null;
    for (const zone of spec.samePlace
      ? new Set(may.map((w) => w.zone))
      : [null]) {
      const here = zone === null ? may : may.filter((w) => w.zone === zone);
      const rooms = here.filter((w) => fits(spec, free.get(w)!));
      const lacking =
        want - rooms.reduce((n, w) => n + fitCount(spec, free.get(w)!), 0);
      if (lacking <= 0) continue;
      const choice =
        this.tasksFor(job, here, rooms, lacking, free, why) ??
        this.gangFor(job, here, rooms, lacking, free, why);
      if (choice && (!best || choice.loss < best.loss)) best = choice;
    }
    if (best) this.carryOut(job, want, best);
  }

  /** Single tasks, machine by machine, where the least is lost. */
  private tasksFor(
    job: JobRun,
    here: readonly Worker[],
    rooms: readonly Worker[],
    lacking: number,
    free: ReadonlyMap<Worker, Resources>,
    why: Why,
  ): Candidate | null {
    const options = here
      .filter((w) => !rooms.includes(w))
      .flatMap((w) => {
        const v = this.victimsOn(w, job, free.get(w)!, why, new Map(why));
        return v ? [{ w, loss: v.loss }] : [];
      })
      .sort((x, y) => x.loss - y.loss);
    if (options.length < lacking) return null;
    // Chosen in this order, what may be taken of a team is charged once for all machines.
    const left = new Map(why);
    const out: Candidate = { workers: [...rooms], victims: [], loss: 0 };
    let found = 0;
    for (const { w } of options) {
      if (found === lacking) break;
      const v = this.victimsOn(w, job, free.get(w)!, why, left);
      if (!v) continue;
      found++;
      out.workers.push(w);
      out.victims.push(...v.victims);
      out.loss += v.loss;
    }
    return found === lacking ? out : null;
  }

  /**
   * Only gangs may give: the one that loses the least and makes enough room, whole and by an orderly stop. One that can't
   * save, or that other groups have a part of, is left alone.
   */
  private gangFor(
    job: JobRun,
    here: readonly Worker[],
    rooms: readonly Worker[],
    lacking: number,
    free: ReadonlyMap<Worker, Resources>,
    why: Why,
  ): Candidate | null {
    const spec = job.view.spec;
    let best: Candidate | null = null;
    for (const g of this.own.jobs.values()) {
      const other = g.view.spec;
      if (
        !isGang(g) ||
        other.checkpointS <= 0 ||
        g.active.size < other.tasks ||
        !why.has(other.team) ||
        !this.comesBefore(job, g, why)
      )
        continue;
      const tasks = [...g.active.values()];
      if (tasks.some((t) => t.stop || t.phase !== "running")) continue;
      if (!this.charge(tasks[0]!, job, new Map(why))) continue;
      const room = new Map<Worker, Resources>();
      for (const t of tasks) {
        const r = room.get(t.worker) ?? {
          ...(free.get(t.worker) ?? { cpus: 0, gpus: 0, memGb: 0 }),
        };
        addTo(r, other);
        room.set(t.worker, r);
      }
      const makes = [...room].filter(
        ([w]) => here.includes(w) && !rooms.includes(w),
      );
      if (makes.reduce((n, [, r]) => n + fitCount(spec, r), 0) < lacking)
        continue;
      const loss = tasks.reduce((n, t) => n + this.lostWorkOf(t), 0);
      if (!best || loss < best.loss)
        best = {
          workers: [...rooms, ...makes.map(([w]) => w)],
          victims: tasks,
          loss,
        };
    }
    return best;
  }

  private carryOut(
    job: JobRun,
    want: number,
    { workers, victims }: Candidate,
  ): void {
    const spec = job.view.spec;
    const grace = Math.max(0, ...victims.map(saveTimeS));
    const stop = (): void => {
      // It may have begun, or ended, while the claim was written.
      if (job.isOver || job.waiting.isEmpty) return;
      const untilMs =
        this.ctx.nowMs +
        grace * 1000 +
        2_000 * this.ctx.settings.reportS +
        3_000;
      for (const w of workers) w.reservedFor = { job: job.id, untilMs };
      const still = victims.filter(
        (t) => !t.stop && t.job.active.get(t.index) === t,
      );
      this.ctx.log("preempting tasks", {
        job: job.id,
        team: spec.team,
        workers: [...new Set(still.map((t) => t.worker.id))],
        tasks: still.length,
      });
      for (const t of still) {
        this.own.stop(t, isGang(t.job) ? grace : saveTimeS(t), "preempted");
        // It does not come up elsewhere a moment later: whoever it was stopped for comes first there, too.
        t.job.backoffUntilMs = Math.max(t.job.backoffUntilMs, untilMs);
      }
    };
    const from = new Map<string, ResourceAmounts>();
    for (const t of victims) {
      const v = t.job.view;
      if (
        PRIORITIES.indexOf(job.view.priority) > PRIORITIES.indexOf(v.priority)
      )
        continue;
      const p = from.get(v.spec.team) ?? [0, 0];
      from.set(v.spec.team, [p[0] + v.spec.cpus, p[1] + v.spec.gpus]);
    }
    if (from.size === 0) return stop();
    this.reclaims.claim(
      spec.team,
      [spec.cpus * want, spec.gpus * want],
      from,
      grace,
      stop,
    );
  }
}

/** Teams that work may be taken of for a guarantee, with how much. */
type Why = ReadonlyMap<string, ResourceAmounts>;
interface Candidate {
  /** Where the room is, or will be. */
  workers: Worker[];
  victims: TaskRun[];
  loss: number;
}
/** A gang that loses one task loses all. */
const isGang = (j: JobRun): boolean =>
  j.view.spec.kind === "gang" && j.view.spec.tasks > 1;

function addTo(room: Resources, spec: Resources): void {
  room.cpus += spec.cpus;
  room.gpus += spec.gpus;
  room.memGb += spec.memGb;
}
