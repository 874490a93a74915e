import type { Context } from "../context.js";
import type { PartitionState } from "./partition-state.js";
import type { QuotaAllocator } from "../quota/index.js";
import type { JobSpec } from "../model.js";
import {
  isAllowedOn,
  fitCount,
  fitWithinLimit,
  requestKeyOf,
  isSuitable,
} from "./placement.js";
import type { Precedence } from "./scheduling-round.js";
import {
  freeOn,
  type JobRun,
  subtract,
  type TaskRun,
  type Worker,
} from "../machines/worker-state.js";

/** Looked at no more often than this: it reads all running tasks of a group. */
const CHECK_INTERVAL_MS = 1_000;
/** A gang comes first where it fits once it has waited this part of the time; a younger one never holds anything. */
const PRIORITY_WHEN_FITTING_AFTER = 0.65;
/** Of its class's largest gang: what has about so many tasks counts as large. Smaller ones find their places by the order of the queues. */
const LARGE_GANG_SHARE = 0.75;
/** Between a gang's placing and its first second of work: orders, images, the slowest machine. */
const START_MARGIN_S = 20;
/** Estimates are often too short by half: gathering is expected to take so many times as long as they say. */
const ESTIMATE_FACTOR = 1.15;
/** A task past its estimate is expected to run for this part of it again. */
const OVERRUN_SHARE = 0.25;
/** An array's first task comes before everything once it has waited this part of the time. */
const FIRST_TASK_AFTER = 0.6;
/** What a task that is told to stop takes, at most, as far as can be said. */
const STOPPING_S = 5;
/** Classes of gangs whose largest is remembered, for the life of a master: some 100 bytes each. A gang of a further class is never large. */
const MAX_CLASSES = 5_000;

/**
 * Which jobs have to begin now so that none waits longer than `begin_within_s` for its first start. Small work passes large
 * work in the queues, so a gang of many machines never found them free together; holding freed room from the first moment
 * kept many small gangs waiting for each large one. So holding begins as late as the machines' running tasks allow: when the
 * gang's age and the time in which so many places come free add up to the bound; one gang to a zone, the oldest first.
 */
export class GangAssembly {
  private checkedMs = -Infinity;
  private assembling: ReadonlyMap<string, number> = new Map();
  /** By class: tasks of the largest gang that was seen. */
  private readonly largestByClass = new Map<string, number>();

  constructor(
    private readonly ctx: Context,
    private readonly own: PartitionState,
    private readonly sharing: QuotaAllocator,
  ) {}

  private get boundS(): number {
    return this.ctx.tuning.beginWithinS;
  }
  private ageS(job: JobRun): number {
    return (this.ctx.wallMs - job.view.readyAt) / 1000;
  }

  /** Called at the beginning of a placing pass, with what is ready to start. */
  update(ready: readonly JobRun[]): void {
    if (this.boundS <= 0 || this.ctx.nowMs - this.checkedMs < CHECK_INTERVAL_MS)
      return;
    this.checkedMs = this.ctx.nowMs;
    for (const { spec } of this.ctx.cache.jobs.values())
      if (
        spec.kind === "gang" &&
        spec.tasks > (this.largestByClass.get(spec.jobClass) ?? 0) &&
        (this.largestByClass.has(spec.jobClass) ||
          this.largestByClass.size < MAX_CLASSES)
      )
        this.largestByClass.set(spec.jobClass, spec.tasks);
    const old = ready.filter(
      (j) =>
        this.isLarge(j.view.spec) &&
        !j.view.spec.spread &&
        j.quarantinedSinceMs === null &&
        this.ageS(j) >= this.boundS * PRIORITY_WHEN_FITTING_AFTER &&
        this.own.isWhollyWaiting(j) &&
        this.isWithinQuota(j),
    );
    this.assembling =
      old.length === 0
        ? new Map()
        : this.gangsToAssemble(
            old.sort((a, b) => a.view.readyAt - b.view.readyAt),
          );
  }

  precedenceOf(job: JobRun): Precedence {
    if (this.boundS <= 0 || job.quarantinedSinceMs !== null) return "no";
    if (job.view.spec.kind === "gang")
      return this.assembling.has(job.id)
        ? "gang"
        : this.isLarge(job.view.spec) &&
            this.ageS(job) >= this.boundS * PRIORITY_WHEN_FITTING_AFTER
          ? "fit"
          : "no";
    return this.ageS(job) > this.boundS * FIRST_TASK_AFTER &&
      !this.hasBegun(job)
      ? "array"
      : "no";
  }
  /** Seconds until a gang that is due has all its places, as far as can be said; what is done before then may use them. */
  assembledInS(job: JobRun): number {
    return this.assembling.get(job.id) ?? 0;
  }

  private isLarge(spec: JobSpec): boolean {
    return (
      spec.kind === "gang" &&
      spec.tasks > 1 &&
      spec.tasks >=
        (this.largestByClass.get(spec.jobClass) ?? Infinity) * LARGE_GANG_SHARE
    );
  }
  private hasBegun(job: JobRun): boolean {
    if (
      job.active.size > 0 ||
      job.finished.size > 0 ||
      this.ctx.cache.finishedCount(job.id) > 0
    )
      return true;
    for (const r of this.ctx.cache.capacities.values())
      if ((r.running.get(job.id) ?? 0) > 0) return true;
    return false;
  }
  /** The group's part of its team's limit has room for it, whatever of it others of the team use now. */
  private isWithinQuota(job: JobRun): boolean {
    const { spec } = job.view;
    const [cpus, gpus] = this.sharing.share(spec.team);
    return fitWithinLimit(spec, { cpus, gpus }) >= spec.tasks;
  }

  /** Of gangs, oldest first: those that hold from now on, with the seconds until they have what they need. */
  private gangsToAssemble(gangs: readonly JobRun[]): Map<string, number> {
    const { usable, reserved } = this.own.usableWorkers();
    const open = usable.filter((w) => !reserved.has(w.id));
    const lists = new Map<string, Map<string, number[]>>();
    /** Places of each zone that older gangs gather before it. */
    const taken = new Map<string, number>();
    const first = new Map<string, { job: JobRun; inS: number }>();
    const due = new Map<string, number>();
    for (const job of gangs) {
      const { spec } = job.view;
      const key = requestKeyOf(spec);
      let byZone = lists.get(key);
      if (!byZone)
        lists.set(key, (byZone = this.placesBecomingFree(spec, open)));
      let best: { zone: string; inS: number } | null = null;
      for (const [zone, times] of byZone) {
        const inS = times[(taken.get(zone) ?? 0) + spec.tasks - 1];
        if (inS !== undefined && inS < (best?.inS ?? Infinity))
          best = { zone, inS };
      }
      // More than the group has: nothing is gained by holding here; it goes elsewhere, or machines are rented.
      if (!best) continue;
      const { zone, inS } = best;
      taken.set(zone, (taken.get(zone) ?? 0) + spec.tasks);
      const head = first.get(zone) ?? { job, inS };
      first.set(zone, head);
      if (
        this.ageS(job) + inS * ESTIMATE_FACTOR >=
        this.boundS - START_MARGIN_S
      )
        due.set(head.job.id, head.inS);
    }
    return due;
  }

  /** By zone, for gangs that don't need one zone all together: in how many seconds each place for such a task is free, soonest first. */
  private placesBecomingFree(
    spec: JobSpec,
    open: readonly Worker[],
  ): Map<string, number[]> {
    const out = new Map<string, number[]>();
    for (const w of open) {
      if (
        !isAllowedOn(spec, w.typeName, w.zone, w.spot) ||
        !isSuitable(spec, w.type, w.spot, this.ctx.catalog)
      )
        continue;
      const room = freeOn(w);
      const zone = spec.samePlace ? w.zone : "";
      let list = out.get(zone);
      if (!list) out.set(zone, (list = []));
      let places = fitCount(spec, room);
      for (let i = 0; i < places; i++) list.push(0);
      if (w.tasks.size === 0) continue;
      const ends = [...w.tasks.values()]
        .map((t) => ({ inS: this.remainingS(t), t }))
        .sort((a, b) => a.inS - b.inS);
      for (const { inS, t } of ends) {
        if (inS === Infinity) break;
        const s = t.job.view.spec;
        subtract(room, { cpus: -s.cpus, gpus: -s.gpus, memGb: -s.memGb });
        const n = fitCount(spec, room);
        for (; places < n; places++) list.push(inS);
      }
    }
    for (const list of out.values()) list.sort((a, b) => a - b);
    return out;
  }

  private remainingS(t: TaskRun): number {
    if (t.stop) return STOPPING_S;
    const { estimateS } = t.job.view.spec;
    if (estimateS <= 0) return Infinity;
    const ran = t.phase === "running" ? (this.ctx.nowMs - t.sinceMs) / 1000 : 0;
    return Math.max(estimateS - ran, estimateS * OVERRUN_SHARE);
  }
}
