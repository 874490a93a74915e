import { gangKey, jobKey, readyKey } from "../storage/records.js";
import type { Context } from "./context.js";
import { Urgent } from "./effects.js";
import type { GroupState } from "./group-state.js";
import { NO_USE, type Use } from "./ledger.js";
import { Gathering } from "./gathering.js";
import type { Guarantees, Sharing } from "./limits/index.js";
import { type JobSpec, taskKey } from "./model.js";
import { inParts, partStep } from "./parts.js";
import {
  allowedOn,
  type Amounts,
  fitCount,
  fitLimit,
  Misfits,
  suits,
  zoneCap,
} from "./placement.js";
import type { Preemption } from "./preemption.js";
import { type Due, isLate, isShort, Round } from "./queues.js";
import {
  freeOn,
  type JobRun,
  take,
  type TaskRun,
  type Worker,
} from "./tasks.js";

/** Attempts of one token: with a token below 2^33 they stay below 2^53. */
const ATTEMPTS = 2 ** 20;
/**
 * Placing passes follow each other no faster than this, and what only time can change (back-offs, machines to
 * avoid, urgent work that waited) is looked at this often: reports come by the hundred a second on large groups.
 */
const PLACE_GAP_MS = 60;
const PLACE_AGAIN_MS = 1_000;
/** What may use a gang's places until it has them all: estimates are often too short by half. */
const BACKFILL_SLOW = 1.6;
/** A task waits this long before others are stopped for it. */
const PREEMPT_AFTER_MS = 2_000;

/** Which waiting task starts where: Pigeon's two queues over the machines of a group. */
export class Placing {
  private attempts = 0;
  private readonly turn = { sinceLong: 0 };
  private placedMs = -Infinity;
  /** Placing passes made: tests see by it that reports alone cause none. */
  passes = 0;

  constructor(
    private readonly ctx: Context,
    private readonly own: GroupState,
    private readonly sharing: Sharing,
    private readonly guarantees: Guarantees,
    private readonly preemption: Preemption,
  ) {
    this.gathering = new Gathering(ctx, own, sharing);
  }
  private readonly gathering: Gathering;
  /** Room on machines that a gang gathers: for what is done before the gang has all its places, it is there. */
  private readonly kept = new Map<Worker, Amounts>();
  /** Seconds until the gang that keeps it has all its places; the soonest of several. */
  private keptS = 0;

  /** What only time can change is looked at now and then. */
  tick(): void {
    if (this.ctx.nowMs - this.placedMs >= PLACE_AGAIN_MS) this.own.dirty = true;
    this.place();
  }

  place(): void {
    // With thousands of waiting jobs a pass takes longer: it may take no more than a small part of the time.
    if (
      !this.own.dirty ||
      this.ctx.nowMs - this.placedMs <
        Math.max(PLACE_GAP_MS, this.own.jobs.size / 5) ||
      !this.own.permitted()
    )
      return;
    this.own.dirty = false;
    this.placedMs = this.ctx.nowMs;
    this.passes++;
    this.own.holding.clear();
    this.kept.clear();
    this.keptS = Infinity;
    const ready = [...this.own.jobs.values()].filter((j) =>
      this.own.mayStart(j),
    );
    if (ready.length === 0) return;
    this.gathering.look(ready);
    const used = this.own.usage();
    const { usable: workers, reserved } = this.own.usableWorkers();
    const free = new Map<Worker, Amounts>(workers.map((w) => [w, freeOn(w)]));
    const unreserved = workers.filter((w) => !reserved.has(w.id));
    const round = new Round(
      ready.map((j) => ({
        spec: j.view.spec,
        standing: j.view,
        tasks: this.own.unfinished(j),
        late: isLate(
          j.view.spec,
          j.view,
          this.ctx.wallMs,
          this.ctx.settings.objectives,
        ),
        due: this.gathering.due(j),
        job: j,
      })),
      this.ctx.tuning,
      this.turn,
      this.ctx.tuning.guaranteeOrder
        ? (team) => this.guarantees.standing(team, used.get(team) ?? NO_USE)
        : null,
    );
    const madeRoom = new Set(workers.map((w) => w.heldFor?.job));
    const blocked: JobRun[] = [];
    const misfits = new Misfits();
    const most = (head: { due: Due }): number =>
      head.due === "array" ? 1 : round.most();
    for (let head = round.head(); head; head = round.head()) {
      const job = head.job;
      const short = isShort(job.view.spec, this.ctx.tuning);
      const look = `${short}/${this.fillsIn(job.view.spec)}`;
      // Room that was made for a job is hidden from the others.
      const own = madeRoom.has(job.id);
      const n =
        !own && head.due === "no" && misfits.includes(job.view.spec, look)
          ? 0
          : this.placeSome(
              job,
              most(head),
              short ? workers : unreserved,
              free,
              reserved,
              used,
            );
      if (n === null) misfits.add(job.view.spec, look);
      if (n) round.served(n);
      else if (blocked.length < 3 && job.suspectMs === null) blocked.push(job);
      if (!n || job.waiting.isEmpty || head.due === "array") round.skip();
    }
    for (const job of blocked)
      if (this.ctx.nowMs - job.waitingSinceMs > PREEMPT_AFTER_MS)
        this.preemption.consider(job, workers, free, used);
  }

  /** Places a whole gang, or up to `most` tasks on one machine; the number of tasks placed, null: no room. */
  private placeSome(
    job: JobRun,
    most: number,
    open: readonly Worker[],
    free: Map<Worker, Amounts>,
    reserved: ReadonlySet<string>,
    used: Map<string, Use>,
  ): number | null {
    const spec = job.view.spec;
    const gang = spec.shape === "ensemble";
    // A gang starts anew only when nothing of its last attempt is left; its tasks complete or fail together.
    if (
      gang &&
      (job.active.size > 0 ||
        job.waiting.size < job.mine.size ||
        this.own.ledger.hasStrays(job.id))
    )
      return 0;
    const team = used.get(spec.team) ?? { cpus: 0, gpus: 0 };
    const share = this.sharing.share(spec.team);
    const allowed = fitLimit(spec, {
      cpus: share[0] - team.cpus,
      gpus: share[1] - team.gpus,
    });
    // Invariant (rule ran_twice): nothing is started that may still be on some machine.
    const startable = (i: number): boolean =>
      !this.own.ledger.hasStrays(job.id, i);
    const want = gang
      ? job.waiting.size
      : Math.min(most, allowed, job.waiting.size);
    if (want === 0) return 0;
    const gathers = gang && this.gathering.due(job) === "gang";
    if (allowed < want) {
      if (gathers) this.keepLimit(spec, used);
      return 0;
    }
    const indices = [
      ...job.waiting.take(
        gang ? want : want + this.own.ledger.straysOf(job.id).size,
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
          this.keep(chosen, job);
          this.keepLimit(spec, used);
        } else if (
          job.suspectMs === null &&
          this.ctx.wallMs - job.view.readyAt > this.ctx.tuning.holdAfterS * 1000
        )
          this.hold(chosen, spec, free);
      }
      return null;
    }
    const attempt = inParts(spec, job.view.split.size)
      ? this.partAttempt(job)
      : this.own.token * ATTEMPTS + ++this.attempts;
    if (attempt === null) {
      // The other parts are not ready yet: its room is held until they are.
      this.hold(chosen, spec, free);
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
        told: 0,
        sinceMs: this.ctx.nowMs,
        stop: null,
      };
      job.active.set(index, t);
      this.own.ledger.put(t);
      w.idleSinceMs = null;
      this.ctx.log("starting task", {
        task: taskKey(job.id, index),
        attempt,
        worker: w.id,
      });
      take(free.get(w)!, spec);
      team.cpus += spec.cpus;
      team.gpus += spec.gpus;
      this.own.untold.add(w);
    }
    used.set(spec.team, team);
    return chosen.length;
  }

  /** Keeps the room that a gang could use already from those behind it in this pass, and from other groups' gangs. */
  private hold(
    chosen: readonly Worker[],
    spec: JobSpec,
    free: ReadonlyMap<Worker, Amounts>,
  ): void {
    for (const w of chosen) {
      take(free.get(w)!, spec);
      this.own.holding.add(w);
    }
  }

  /** Of its team's limit, too, what comes free is for a gang that gathers: small ones of the same team took it as fast. */
  private keepLimit(spec: JobSpec, used: Map<string, Use>): void {
    const team = used.get(spec.team) ?? NO_USE;
    used.set(spec.team, {
      cpus: team.cpus + spec.cpus * spec.tasks,
      gpus: team.gpus + spec.gpus * spec.tasks,
    });
  }

  /** The same, but for what is done before the gang can have all its places: that may use them meanwhile. */
  private keep(chosen: readonly Worker[], job: JobRun): void {
    const { cpus, gpus, memGb } = job.view.spec;
    for (const w of chosen) {
      const k = this.kept.get(w) ?? { cpus: 0, gpus: 0, memGb: 0 };
      this.kept.set(w, {
        cpus: k.cpus + cpus,
        gpus: k.gpus + gpus,
        memGb: k.memGb + memGb,
      });
      this.own.holding.add(w);
    }
    this.keptS = Math.min(this.keptS, this.gathering.gatheredS(job));
  }
  private fillsIn(spec: JobSpec): boolean {
    return (
      this.kept.size > 0 &&
      spec.shape === "batch" &&
      spec.estimateS > 0 &&
      spec.estimateS * BACKFILL_SLOW < this.keptS
    );
  }
  /** What is free on a machine for this job. */
  private roomOn(
    w: Worker,
    free: ReadonlyMap<Worker, Amounts>,
    spec: JobSpec,
  ): Amounts {
    const room = free.get(w)!;
    const kept = this.kept.get(w);
    if (!kept || this.fillsIn(spec)) return room;
    return {
      cpus: room.cpus - kept.cpus,
      gpus: room.gpus - kept.gpus,
      memGb: room.memGb - kept.memGb,
    };
  }

  /** The attempt under which a part of a gang is to start now; null: not yet. */
  private partAttempt(job: JobRun): number | null {
    if (job.calling) return null;
    const gang = this.ctx.mirror.gang(job.id);
    const step = partStep(
      [...job.view.split.keys()],
      this.own.group,
      gang,
      job.tried,
    );
    if (step.is === "start") return (job.tried = step.attempt);
    if (step.is === "wait") return null;
    job.calling = true;
    const done = (): void => {
      job.calling = false;
    };
    const alive = { key: jobKey(job.id), version: job.view.version };
    const called = { key: gangKey(job.id), version: gang.version };
    const ready = readyKey(job.id, this.own.group);
    // Both are conditional on the call that they follow: one that is carried out late, after the next, says nothing.
    if (step.is === "ready")
      this.own.commit(
        [
          alive,
          called,
          { key: ready, version: this.ctx.mirror.revisionOf(ready) },
        ],
        [{ op: "put", key: ready, value: { attempt: step.after } }],
        Urgent.Master,
        done,
      );
    else
      this.own.commit(
        [alive, called],
        [
          {
            op: "put",
            key: called.key,
            value: { attempt: this.own.token * ATTEMPTS + ++this.attempts },
          },
        ],
        Urgent.Master,
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
    for (const s of this.own.ledger.straysOf(job.id)) add(s.worker.zone);
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
    free: ReadonlyMap<Worker, Amounts>,
    reserved: ReadonlySet<string>,
  ): Worker[] {
    const spec = job.view.spec;
    const at = this.zonesOf(job);
    const cap = zoneCap(spec);
    // Invariant (rule wrong_place): with `samePlace` only the zone where any of its tasks still is.
    if (spec.samePlace && at.size > 1) return [];
    const only = spec.samePlace && at.size === 1 ? [...at.keys()][0]! : null;
    const byZone = new Map<string, { w: Worker; n: number; score: number }[]>();
    let best: { w: Worker; n: number; score: number } | null = null;
    for (const w of open) {
      if (only !== null && w.zone !== only) continue;
      if (
        w.heldFor &&
        w.heldFor.job !== job.id &&
        this.ctx.nowMs < w.heldFor.untilMs
      )
        continue;
      if (
        !allowedOn(spec, w.typeName, w.zone, w.spot) ||
        !suits(spec, w.type, w.spot, this.ctx.catalog)
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
    room: Amounts,
    reserved: ReadonlySet<string>,
  ): number {
    const spec = job.view.spec;
    let s = 0;
    if (job.errors.has(w.id)) s -= 1_000;
    if (!spec.image || w.images.has(spec.image)) s += 200;
    if (reserved.has(w.id)) s -= 100;
    for (const t of w.tasks.values())
      if (t.job.view.spec.image === spec.image) s += 50;
    const rest = w.type ? (room.cpus - spec.cpus) / (w.type.cpus || 1) : 0;
    return s - rest * 10;
  }
}
