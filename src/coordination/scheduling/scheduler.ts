import { gangKey, jobKey, readyKey } from "../../storage/records.js";
import type { Context } from "../context.js";
import { CallPriority } from "../effects.js";
import type { PartitionState } from "./partition-state.js";
import { NO_USE, type ResourceUse } from "../machines/resource-ledger.js";
import { GangAssembly } from "./gang-assembly.js";
import type { Guarantees, QuotaAllocator } from "../quota/index.js";
import { type JobSpec, taskKey } from "../model.js";
import { isSpreadOverPartitions, nextGangStep } from "./spread-gangs.js";
import {
  isAllowedOn,
  type Resources,
  fitCount,
  fitWithinLimit,
  UnplaceableCache,
  isSuitable,
  maxTasksPerZone,
} from "./placement.js";
import type { Preemption } from "./preemption.js";
import {
  type Precedence,
  isLate,
  isShort,
  SchedulingRound,
} from "./scheduling-round.js";
import {
  freeOn,
  type JobRun,
  subtract,
  type TaskRun,
  type Worker,
} from "../machines/worker-state.js";

/** Attempts of one token: with a token below 2^33 they stay below 2^53. */
const ATTEMPTS_PER_TOKEN = 2 ** 20;
/**
 * Placing passes follow each other no faster than this, and what only time can change (back-offs, machines to
 * avoid, urgent work that waited) is looked at this often: reports come by the hundred a second on large groups.
 */
const ROUND_INTERVAL_MS = 60;
const IDLE_ROUND_INTERVAL_MS = 1_000;
/** What may use a gang's places until it has them all: estimates are often too short by half. */
const BACKFILL_ESTIMATE_FACTOR = 1.6;
/** A task waits this long before others are stopped for it. */
const PREEMPT_AFTER_MS = 2_000;

/** Which waiting task starts where: Pigeon's two queues over the machines of a group. */
export class Scheduler {
  private attempts = 0;
  private readonly longQueueTurn = { sinceLong: 0 };
  private lastRoundMs = -Infinity;
  /** Placing passes made: tests see by it that reports alone cause none. */
  rounds = 0;

  constructor(
    private readonly ctx: Context,
    private readonly own: PartitionState,
    private readonly sharing: QuotaAllocator,
    private readonly guarantees: Guarantees,
    private readonly preemption: Preemption,
  ) {
    this.gangAssembly = new GangAssembly(ctx, own, sharing);
  }
  private readonly gangAssembly: GangAssembly;
  /** Room on machines that a gang gathers: for what is done before the gang has all its places, it is there. */
  private readonly reservedForGang = new Map<Worker, Resources>();
  /** Seconds until the gang that keeps it has all its places; the soonest of several. */
  private reservedForS = 0;

  /** What only time can change is looked at now and then. */
  tick(): void {
    if (this.ctx.nowMs - this.lastRoundMs >= IDLE_ROUND_INTERVAL_MS)
      this.own.needsScheduling = true;
    this.runRound();
  }

  runRound(): void {
    // With thousands of waiting jobs a pass takes longer: it may take no more than a small part of the time.
    if (
      !this.own.needsScheduling ||
      this.ctx.nowMs - this.lastRoundMs <
        Math.max(ROUND_INTERVAL_MS, this.own.jobs.size / 5) ||
      !this.own.mayAct()
    )
      return;
    this.own.needsScheduling = false;
    this.lastRoundMs = this.ctx.nowMs;
    this.rounds++;
    this.own.reservedForGangs.clear();
    this.reservedForGang.clear();
    this.reservedForS = Infinity;
    const ready = [...this.own.jobs.values()].filter((j) =>
      this.own.mayStart(j),
    );
    if (ready.length === 0) return;
    this.gangAssembly.update(ready);
    const used = this.own.usage();
    const { usable: workers, reserved } = this.own.usableWorkers();
    const free = new Map<Worker, Resources>(workers.map((w) => [w, freeOn(w)]));
    const unreserved = workers.filter((w) => !reserved.has(w.id));
    const round = new SchedulingRound(
      ready.map((j) => ({
        spec: j.view.spec,
        effectivePriority: j.view,
        remainingTasks: this.own.unfinishedTasks(j),
        late: isLate(
          j.view.spec,
          j.view,
          this.ctx.wallMs,
          this.ctx.settings.objectives,
        ),
        precedence: this.gangAssembly.precedenceOf(j),
        job: j,
      })),
      this.ctx.tuning,
      this.longQueueTurn,
      this.ctx.tuning.guaranteeOrder
        ? (team) => this.guarantees.standing(team, used.get(team) ?? NO_USE)
        : null,
    );
    const madeRoom = new Set(workers.map((w) => w.reservedFor?.job));
    const blocked: JobRun[] = [];
    const misfits = new UnplaceableCache();
    const most = (head: { precedence: Precedence }): number =>
      head.precedence === "array" ? 1 : round.maxTasks();
    for (let head = round.head(); head; head = round.head()) {
      const job = head.job;
      const short = isShort(job.view.spec, this.ctx.tuning);
      const look = `${short}/${this.mayBackfill(job.view.spec)}`;
      // Room that was made for a job is hidden from the others.
      const own = madeRoom.has(job.id);
      const n =
        !own &&
        head.precedence === "no" &&
        misfits.includes(job.view.spec, look)
          ? 0
          : this.placeTasks(
              job,
              most(head),
              short ? workers : unreserved,
              free,
              reserved,
              used,
            );
      if (n === null) misfits.add(job.view.spec, look);
      if (n) round.served(n);
      else if (blocked.length < 3 && job.quarantinedSinceMs === null)
        blocked.push(job);
      if (!n || job.waiting.isEmpty || head.precedence === "array")
        round.skip();
    }
    for (const job of blocked)
      if (this.ctx.nowMs - job.waitingSinceMs > PREEMPT_AFTER_MS)
        this.preemption.consider(job, workers, free, used);
  }

  /** Places a whole gang, or up to `most` tasks on one machine; the number of tasks placed, null: no room. */
  private placeTasks(
    job: JobRun,
    most: number,
    open: readonly Worker[],
    free: Map<Worker, Resources>,
    reserved: ReadonlySet<string>,
    used: Map<string, ResourceUse>,
  ): number | null {
    const spec = job.view.spec;
    const gang = spec.kind === "gang";
    // A gang starts anew only when nothing of its last attempt is left; its tasks complete or fail together.
    if (
      gang &&
      (job.active.size > 0 ||
        job.waiting.size < job.assigned.size ||
        this.own.ledger.hasUnconfirmed(job.id))
    )
      return 0;
    const team = used.get(spec.team) ?? { cpus: 0, gpus: 0 };
    const share = this.sharing.share(spec.team);
    const allowed = fitWithinLimit(spec, {
      cpus: share[0] - team.cpus,
      gpus: share[1] - team.gpus,
    });
    // Invariant (rule ran_twice): nothing is started that may still be on some machine.
    const startable = (i: number): boolean =>
      !this.own.ledger.hasUnconfirmed(job.id, i);
    const want = gang
      ? job.waiting.size
      : Math.min(most, allowed, job.waiting.size);
    if (want === 0) return 0;
    const gathers = gang && this.gangAssembly.precedenceOf(job) === "gang";
    if (allowed < want) {
      if (gathers) this.reserveQuotaForGang(spec, used);
      return 0;
    }
    const indices = [
      ...job.waiting.take(
        gang ? want : want + this.own.ledger.unconfirmedOf(job.id).size,
      ),
    ]
      .filter(startable)
      .slice(0, want);
    if (indices.length === 0) return 0;
    const chosen = this.choose(job, indices.length, gang, open, free, reserved);
    if (chosen.length === 0 || (gang && chosen.length < want)) {
      // Holding freed room: what a waiting gang could use already is not given to those behind it. Not at once: a
      // large gang that holds machines idle keeps many small ones waiting, and most of them are done before it starts.
      // `Gathering` says from when on it must, so as to begin in time.
      if (gang && want > 1) {
        if (gathers) {
          this.reserveMachinesForGang(chosen, job);
          this.reserveQuotaForGang(spec, used);
        } else if (
          job.quarantinedSinceMs === null &&
          this.ctx.wallMs - job.view.readyAt > this.ctx.tuning.holdAfterS * 1000
        )
          this.reserveForGang(chosen, spec, free);
      }
      return null;
    }
    const attempt = isSpreadOverPartitions(spec, job.view.assignment.size)
      ? this.partAttempt(job)
      : this.own.token * ATTEMPTS_PER_TOKEN + ++this.attempts;
    if (attempt === null) {
      // The other parts are not ready yet: its room is held until they are.
      this.reserveForGang(chosen, spec, free);
      return null;
    }
    for (const [k, w] of chosen.entries()) {
      const index = indices[k]!;
      job.waiting.remove(index);
      const t: TaskRun = {
        job,
        index,
        attempt,
        worker: w,
        phase: "ordered",
        timesSent: 0,
        sinceMs: this.ctx.nowMs,
        stop: null,
      };
      job.active.set(index, t);
      this.own.ledger.add(t);
      w.idleSinceMs = null;
      this.ctx.log("starting task", {
        task: taskKey(job.id, index),
        attempt,
        worker: w.id,
      });
      subtract(free.get(w)!, spec);
      team.cpus += spec.cpus;
      team.gpus += spec.gpus;
      this.own.undelivered.add(w);
    }
    used.set(spec.team, team);
    return chosen.length;
  }

  /** Keeps the room that a gang could use already from those behind it in this pass, and from other groups' gangs. */
  private reserveForGang(
    chosen: readonly Worker[],
    spec: JobSpec,
    free: ReadonlyMap<Worker, Resources>,
  ): void {
    for (const w of chosen) {
      subtract(free.get(w)!, spec);
      this.own.reservedForGangs.add(w);
    }
  }

  /** Of its team's limit, too, what comes free is for a gang that gathers: small ones of the same team took it as fast. */
  private reserveQuotaForGang(
    spec: JobSpec,
    used: Map<string, ResourceUse>,
  ): void {
    const team = used.get(spec.team) ?? NO_USE;
    used.set(spec.team, {
      cpus: team.cpus + spec.cpus * spec.tasks,
      gpus: team.gpus + spec.gpus * spec.tasks,
    });
  }

  /** The same, but for what is done before the gang can have all its places: that may use them meanwhile. */
  private reserveMachinesForGang(chosen: readonly Worker[], job: JobRun): void {
    const { cpus, gpus, memGb } = job.view.spec;
    for (const w of chosen) {
      const k = this.reservedForGang.get(w) ?? { cpus: 0, gpus: 0, memGb: 0 };
      this.reservedForGang.set(w, {
        cpus: k.cpus + cpus,
        gpus: k.gpus + gpus,
        memGb: k.memGb + memGb,
      });
      this.own.reservedForGangs.add(w);
    }
    this.reservedForS = Math.min(
      this.reservedForS,
      this.gangAssembly.assembledInS(job),
    );
  }
  private mayBackfill(spec: JobSpec): boolean {
    return (
      this.reservedForGang.size > 0 &&
      spec.kind === "array" &&
      spec.estimateS > 0 &&
      spec.estimateS * BACKFILL_ESTIMATE_FACTOR < this.reservedForS
    );
  }
  /** What is free on a machine for this job. */
  private roomOn(
    w: Worker,
    free: ReadonlyMap<Worker, Resources>,
    spec: JobSpec,
  ): Resources {
    const room = free.get(w)!;
    const kept = this.reservedForGang.get(w);
    if (!kept || this.mayBackfill(spec)) return room;
    return {
      cpus: room.cpus - kept.cpus,
      gpus: room.gpus - kept.gpus,
      memGb: room.memGb - kept.memGb,
    };
  }

  /** The attempt under which a part of a gang is to start now; null: not yet. */
  private partAttempt(job: JobRun): number | null {
    if (job.writingGangRecord) return null;
    const gang = this.ctx.cache.gang(job.id);
    const step = nextGangStep(
      [...job.view.assignment.keys()],
      this.own.partition,
      gang,
      job.lastAttempt,
    );
    if (step.kind === "start") return (job.lastAttempt = step.attempt);
    if (step.kind === "wait") return null;
    job.writingGangRecord = true;
    const done = (): void => {
      job.writingGangRecord = false;
    };
    const alive = { key: jobKey(job.id), version: job.view.revision };
    const called = { key: gangKey(job.id), version: gang.revision };
    const ready = readyKey(job.id, this.own.partition);
    // Both are conditional on the call that they follow: one that is carried out late, after the next, says nothing.
    if (step.kind === "ready")
      this.own.commit(
        [
          alive,
          called,
          { key: ready, version: this.ctx.cache.latestRevisionOf(ready) },
        ],
        [{ op: "put", key: ready, value: { attempt: step.after } }],
        CallPriority.Leader,
        done,
      );
    else
      this.own.commit(
        [alive, called],
        [
          {
            op: "put",
            key: called.key,
            value: {
              attempt: this.own.token * ATTEMPTS_PER_TOKEN + ++this.attempts,
            },
          },
        ],
        CallPriority.Leader,
        done,
      );
    return null;
  }

  /** Zones where tasks of this job are or may be, with their number: tasks of old attempts count. */
  private zonesOf(job: JobRun): Map<string, number> {
    const zones = new Map<string, number>();
    const add = (zone: string): void =>
      void zones.set(zone, (zones.get(zone) ?? 0) + 1);
    for (const t of job.active.values()) add(t.worker.zone);
    for (const s of this.own.ledger.unconfirmedOf(job.id)) add(s.worker.zone);
    return zones;
  }

  /**
   * Machines for `want` tasks of a job, fewer if there is no room for all: for a gang one after the other, best
   * first; else only the best one, as often as it has room.
   */
  private choose(
    job: JobRun,
    want: number,
    gang: boolean,
    open: readonly Worker[],
    free: ReadonlyMap<Worker, Resources>,
    reserved: ReadonlySet<string>,
  ): Worker[] {
    const spec = job.view.spec;
    const at = this.zonesOf(job);
    const cap = maxTasksPerZone(spec);
    // Invariant (rule wrong_place): with `samePlace` only the zone where any of its tasks still is.
    if (spec.samePlace && at.size > 1) return [];
    const only = spec.samePlace && at.size === 1 ? [...at.keys()][0]! : null;
    const byZone = new Map<string, { w: Worker; n: number; score: number }[]>();
    let best: { w: Worker; n: number; score: number } | null = null;
    for (const w of open) {
      if (only !== null && w.zone !== only) continue;
      if (
        w.reservedFor &&
        w.reservedFor.job !== job.id &&
        this.ctx.nowMs < w.reservedFor.untilMs
      )
        continue;
      if (
        !isAllowedOn(spec, w.typeName, w.zone, w.spot) ||
        !isSuitable(spec, w.type, w.spot, this.ctx.catalog)
      )
        continue;
      const room = this.roomOn(w, free, spec);
      // Invariant (rule wrong_place): with `spread`, no zone holds more than half, old attempts included.
      const n = Math.min(fitCount(spec, room), cap - (at.get(w.zone) ?? 0));
      if (n <= 0) continue;
      const c = { w, n, score: this.score(job, w, room, reserved) };
      if (!best || c.score > best.score) best = c;
      const key = spec.samePlace ? w.zone : "";
      const list = byZone.get(key);
      if (list) list.push(c);
      else byZone.set(key, [c]);
    }
    if (!best) return [];
    if (!gang && !spec.samePlace)
      return Array.from({ length: Math.min(want, best.n) }, () => best.w);
    let most: Worker[] = [];
    for (const list of byZone.values()) {
      const out: Worker[] = [];
      const count = new Map(at);
      list.sort((a, b) => b.score - a.score);
      for (const { w, n } of list) {
        if (out.length === want) break;
        const k = Math.min(
          n,
          want - out.length,
          cap - (count.get(w.zone) ?? 0),
        );
        for (let i = 0; i < k; i++) out.push(w);
        count.set(w.zone, (count.get(w.zone) ?? 0) + Math.max(0, k));
      }
      if (out.length > most.length) most = out;
    }
    return most;
  }

  /** Higher is better: its image is there, unreserved, little left over. */
  private score(
    job: JobRun,
    w: Worker,
    room: Resources,
    reserved: ReadonlySet<string>,
  ): number {
    const spec = job.view.spec;
    let s = 0;
    if (job.failuresByMachine.has(w.id)) s -= 1_000;
    if (!spec.image || w.images.has(spec.image)) s += 200;
    if (reserved.has(w.id)) s -= 100;
    for (const t of w.tasks.values())
      if (t.job.view.spec.image === spec.image) s += 50;
    const rest = w.type ? (room.cpus - spec.cpus) / (w.type.cpus || 1) : 0;
    return s - rest * 10;
  }
}
