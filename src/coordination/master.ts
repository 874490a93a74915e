import type { Condition, Write } from "../protocol/state.js";
import { endWrites, finBlock, finKey, gangKey, groupKey, inBlock, jobKey, readyKey, type RoomRecord, type Want, writeFin } from "../storage/records.js";
import { type CommitEnd, type Context, DRIFT } from "./context.js";
import { type Answer, Urgent } from "./effects.js";
import { Fleet } from "./fleet.js";
import type { JobView } from "./mirror.js";
import type { Cause, JobSpec, Order, Report, ReportedTask } from "./model.js";
import { taskKey } from "./model.js";
import { allowedOn, type Amounts, fitCount, Misfits, offer, suits, zoneCap } from "./placement.js";
import { inParts, partStep } from "./parts.js";
import { Moves } from "./moves.js";
import { Preemption } from "./preemption.js";
import { isLate, isShort, Round } from "./queues.js";
import { Ledger, type Use } from "./ledger.js";
import { RangeSet } from "./ranges.js";
import { Room } from "./room.js";
import { Sharing } from "./sharing.js";
import { Roster } from "./roster.js";
import { freeOn, type JobRun, newJobRun, runKey, take, type TaskRun, type Worker } from "./tasks.js";

/** Attempts of one token: with a token below 2^33 they stay below 2^53. */
const ATTEMPTS = 2 ** 20;
const LEASE_SLACK_MS = 1_000;
/** What a group has finished of a job is written at most this often, until its part is complete. */
const FINISHED_MS = 1_500;
/**
 * Placing passes follow each other no faster than this, and what only time can change (back-offs, machines to
 * avoid, urgent work that waited) is looked at this often: reports come by the hundred a second on large groups.
 */
const PLACE_GAP_MS = 60;
const PLACE_AGAIN_MS = 1_000;
/** A task waits this long before others are stopped for it. */
const PREEMPT_AFTER_MS = 2_000;

/**
 * The master of one group under one token. It alone starts tasks on the group's machines. It begins with what
 * the state service holds and learns from reports what runs; it is dropped as soon as the token is lost.
 */
export class Master {
  readonly workers = new Map<string, Worker>();
  readonly jobs = new Map<string, JobRun>();
  readonly fleet: Fleet;
  readonly roster: Roster;
  readonly ledger = new Ledger();
  private readonly sharing: Sharing;
  private readonly moves: Moves;
  private readonly preemption: Preemption;
  private readonly writtenRoom: Room;
  private attempts = 0;
  private readonly turn = { sinceLong: 0 };
  /** Machines of the former master that have not reported under this token; null: all accounted for. */
  private fence: Set<string> | null;
  private readonly sinceMs: number;
  private dirtyPlace = true;
  private placedMs = -Infinity;
  /** Machines whose room a gang held in the last pass. */
  private readonly holding = new Set<Worker>();
  /** Placing passes made: tests see by it that reports alone cause none. */
  passes = 0;
  private readonly dirtyWorkers = new Set<Worker>();

  constructor(
    private readonly ctx: Context,
    readonly group: string,
    readonly token: number,
    private readonly permitted: () => boolean,
  ) {
    this.sinceMs = ctx.nowMs;
    this.roster = new Roster(
      ctx,
      group,
      (conditions, writes, done) => this.commit(conditions, writes, Urgent.Master, done),
      () => {
        this.dirtyPlace = true;
      },
    );
    this.fleet = new Fleet(ctx, this);
    this.sharing = new Sharing(ctx, this);
    this.moves = new Moves(ctx, this);
    this.preemption = new Preemption(ctx, this);
    this.writtenRoom = new Room(ctx, this);
    // Invariant (rules ran_twice, quota, wrong_place): whatever a former master may have started counts as
    // running until every machine it could have used has spoken under this token or is past its lease.
    this.fence = new Set(this.roster.machines().keys());
    if (this.fence.size === 0) this.fence = null;
    // Whether a machine marked for return was returned is not known: it is given back once more, and the cloud's word
    // that it is gone takes it off the fence.
    for (const [id, e] of this.roster.machines()) if (e.going) this.fleet.giveBack(id, e.type, "marked for return by a former master");
    for (const view of ctx.mirror.jobs.values()) this.sync(view, true);
  }

  // ---- commits -------------------------------------------------------------------------------------------

  /** Every commit of a master depends on its token, so that a late one changes nothing after a takeover. */
  commit(conditions: Condition[], writes: Write[], urgent: Urgent, done: (end: CommitEnd, epoch: number) => void): void {
    this.ctx.commit([{ key: groupKey(this.group), version: this.token }, ...conditions], writes, urgent, done);
  }

  // ---- jobs ----------------------------------------------------------------------------------------------

  /** Takes over what the mirror says of a job. */
  sync(view: JobView, old = false): void {
    const share = view.split.get(this.group) ?? RangeSet.empty();
    let job = this.jobs.get(view.id);
    if (!job) {
      if (share.isEmpty) return;
      job = newJobRun(view, old, this.ctx.nowMs);
      this.jobs.set(view.id, job);
      this.fleet.noteJob(view.spec);
    }
    const done = this.ctx.mirror.finished(view.id).get(this.group);
    if (done) {
      job.written.addAll(done);
      job.finished.addAll(done);
    }
    if (job.moving && view.version > job.moving.change.base) job.moving = null;
    job.mine = share.clone();
    // A gang's tasks complete together, in whichever group it was seen first.
    if (view.spec.shape === "ensemble" && this.ctx.mirror.finished(view.id).size > 0) job.finished.addAll(job.mine);
    const waiting = share.clone();
    waiting.removeAll(job.finished);
    for (const i of job.active.keys()) waiting.remove(i);
    if (job.moving) waiting.removeAll(job.moving.tasks);
    if (job.waiting.isEmpty && !waiting.isEmpty) job.waitingSinceMs = this.ctx.nowMs;
    job.waiting = waiting;
    this.finishJob(job);
    this.dirtyPlace = true;
  }

  jobGone(id: string): void {
    const job = this.jobs.get(id);
    if (!job) return;
    job.gone = true;
    job.waiting = RangeSet.empty();
    this.jobs.delete(id);
    for (const t of job.active.values()) this.stop(t, 0, "job over");
    this.dirtyPlace = true;
  }

  private requeue(t: TaskRun): void {
    const { job, index } = t;
    if (job.active.get(index) === t) job.active.delete(index);
    this.ledger.drop(t);
    if (!job.gone && job.mine.has(index) && !job.finished.has(index) && !job.moving?.tasks.has(index)) {
      if (job.waiting.isEmpty) job.waitingSinceMs = this.ctx.nowMs;
      job.waiting.add(index);
    }
    this.noteIdle(t.worker);
    this.dirtyPlace = true;
  }

  private noteIdle(w: Worker): void {
    if (w.tasks.size + w.strays.size > 0) w.idleSinceMs = null;
    else w.idleSinceMs ??= this.ctx.nowMs;
  }

  private finish(job: JobRun, index: number): void {
    // A gang's tasks complete together: if one is done, all of them are.
    if (job.view.spec.shape === "ensemble") job.finished.addAll(job.mine);
    else job.finished.add(index);
    job.waiting.removeAll(job.finished);
    this.finishJob(job);
  }

  /** Writes what is finished: the job's end if nothing is left, else this group's ranges. */
  private finishJob(job: JobRun): void {
    if (job.gone || job.finished.isEmpty || job.view.spec.shape === "daemon") return;
    const all = this.ctx.mirror.allFinished(job.id);
    all.addAll(job.finished);
    job.complete = all.size >= job.view.spec.tasks;
    if (job.complete) this.finalize(job);
    else if (job.written.size < job.finished.size) this.writeFinished(job);
  }

  /** Invariant (rules not_done, went_back): the end is one conditional commit, told only after it. */
  private finalize(job: JobRun): void {
    if (job.finalizing || job.moving) return;
    job.finalizing = true;
    const id = job.id;
    const beside = this.ctx.mirror.sideKeys(id).slice(0, this.ctx.settings.state.txnOps - 2);
    const n = job.view.spec.tasks;
    this.commit(
      [{ key: jobKey(id), version: job.view.version }],
      endWrites(id, { status: "done", tasks: n, done: n }, beside),
      Urgent.Master,
      (end) => {
        job.finalizing = false;
        if (end !== "ok") job.backoffUntilMs = Math.max(job.backoffUntilMs, this.ctx.nowMs + 300);
      },
    );
  }

  private writeFinished(job: JobRun): void {
    if (job.writing) return;
    // Ranges are batched, as the design has it: with 5 changes a second, a write for each finished task kept users
    // waiting. What completes this group's part goes at once, for another group may be waiting for it to end the job.
    if (this.ctx.nowMs - job.wroteMs < FINISHED_MS) {
      const unfinished = job.mine.clone();
      unfinished.removeAll(job.finished);
      if (!unfinished.isEmpty) return;
    }
    const fresh = job.finished.clone();
    fresh.removeAll(job.written);
    const first = fresh.first();
    if (first === undefined) return;
    const block = finBlock(first);
    const covered = inBlock(job.finished, block);
    job.writing = true;
    job.wroteMs = this.ctx.nowMs;
    this.commit(
      // Without the job's record the ranges would be left behind by a job that is over.
      [{ key: jobKey(job.id), version: job.view.version }],
      [{ op: "put", key: finKey(job.id, this.group, block), value: writeFin(covered) }],
      Urgent.Master,
      (end) => {
        job.writing = false;
        if (end === "ok") job.written.addAll(covered);
        else job.backoffUntilMs = Math.max(job.backoffUntilMs, this.ctx.nowMs + 300);
      },
    );
  }

  // ---- reports -------------------------------------------------------------------------------------------

  /** The state of the tasks on a machine, and the orders for it. Only called while the permit holds. */
  report(r: Report): Answer {
    const now = this.ctx.nowMs;
    let w = this.workers.get(r.worker);
    if (w && (r.session < w.session || (r.session === w.session && (r.tally <= w.tally || w.lost)))) {
      // A late message: its list is as old as itself, and the worker doesn't wait for the answer any more.
      this.ctx.log("debug", "late report", { worker: w.id, session: r.session, tally: r.tally, had: [w.session, w.tally], lost: w.lost });
      return { is: "later", afterS: 1, why: "late report" };
    }
    if (!w) {
      w = this.newWorker(r);
      this.workers.set(w.id, w);
      this.fleet.cameUp(w);
    }
    if (w.lost) {
      w.lost = false;
      this.ctx.log("info", "worker is back", { worker: w.id, session: r.session });
    }
    const couldUse = this.usable(w);
    if (r.session > w.session) this.newSession(w, r.session);
    if (r.token > this.token) this.ctx.log("warn", "worker has seen a higher token", { worker: w.id, token: r.token, mine: this.token, tally: r.tally, session: r.session });
    w.tally = r.tally;
    w.token = Math.max(w.token, r.token);
    w.address = r.address;
    w.takenAtMs = r.noticeS === null ? null : now + r.noticeS * 1000;
    w.answeredMs = now;
    if (!w.type) {
      w.type = this.ctx.catalog?.find((t) => t.name === r.type) ?? null;
      w.free = null;
    }
    if (!w.going) this.roster.set(w.id, { going: false, type: w.typeName });
    this.reconcile(w, r.tasks);
    if (r.token === this.token) this.accountFor(w.id);
    this.noteIdle(w);
    this.onNotice(w);
    // Of itself a report changes nothing for placing: what it frees, ends or loses has said so already.
    if (!couldUse && this.usable(w)) this.dirtyPlace = true;
    this.place();
    this.dirtyWorkers.delete(w);
    return { is: "orders", token: this.token, orders: this.ordersFor(w) };
  }

  private newWorker(r: Report): Worker {
    return {
      id: r.worker,
      address: r.address,
      typeName: r.type,
      type: this.ctx.catalog?.find((t) => t.name === r.type) ?? null,
      zone: r.zone,
      spot: r.spot,
      kind: offer(r.type, r.zone, r.spot),
      free: null,
      session: r.session,
      tally: -1,
      token: 0,
      answeredMs: this.ctx.nowMs,
      lost: false,
      firstMs: this.ctx.nowMs,
      takenAtMs: null,
      tasks: new Map(),
      strays: new Map(),
      exited: [],
      images: new Map(),
      going: this.roster.goingWritten(r.worker),
      idleSinceMs: this.ctx.nowMs,
      failed: new Set(),
      avoidUntilMs: 0,
      heldFor: null,
      openStarts: new Map(),
      direct: false,
    };
  }

  /** A new session: the worker has killed and forgotten all its tasks, and takes no older message any more. */
  private newSession(w: Worker, session: number): void {
    this.releaseAll(w, "new session");
    w.session = session;
    w.tally = -1;
    w.openStarts.clear();
    w.exited = [];
  }

  private releaseAll(w: Worker, why: string): void {
    if (w.tasks.size > 0) this.ctx.log("info", "tasks lost with their machine's session", { worker: w.id, tasks: w.tasks.size, why });
    for (const t of [...w.tasks.values()]) this.requeue(t);
    this.ledger.clearStrays(w);
    this.noteIdle(w);
  }

  private reconcile(w: Worker, reported: readonly ReportedTask[]): void {
    const now = this.ctx.nowMs;
    const shown = new Map<string, ReportedTask>();
    for (const r of reported) shown.set(runKey(r.job, r.index, r.attempt), r);
    w.exited = [];
    const strays = new Map(w.strays);
    this.ledger.clearStrays(w);
    for (const [key, t] of [...w.tasks]) {
      const r = shown.get(key);
      if (!r) {
        // A start that no report shows was not carried out, and if it rode in an answer it never will be: the
        // worker drops answers that it no longer waits for. One sent straight to it may still arrive.
        if (t.phase !== "ordered") this.lostTask(t);
        else if (t.stop && !w.openStarts.has(key)) this.requeue(t);
      } else if (r.state === "exited") {
        this.exited(t, r.cause, r.saved);
      } else {
        if (t.phase !== r.state) {
          this.ctx.log("debug", "task phase", { task: taskKey(t.job.id, t.index), worker: w.id, from: t.phase, to: r.state, afterMs: Math.round(now - t.sinceMs) });
          t.phase = r.state;
          t.sinceMs = now;
        }
        if (r.state === "running" || r.state === "waiting") this.noteImage(w, t);
      }
    }
    for (const [key, r] of shown) {
      if (r.state === "exited") {
        w.exited.push({ job: r.job, index: r.index, attempt: r.attempt, cause: r.cause });
        if (!w.tasks.has(key) && r.cause === "done") this.foundDone(r);
        continue;
      }
      if (w.tasks.has(key) || this.adopt(w, r)) continue;
      const spec = (this.jobs.get(r.job)?.view ?? this.ctx.mirror.jobs.get(r.job))?.spec;
      this.ledger.addStray({
        worker: w,
        job: r.job,
        index: r.index,
        attempt: r.attempt,
        need: spec ? { team: spec.team, cpus: spec.cpus, gpus: spec.gpus, memGb: spec.memGb } : (strays.get(key)?.need ?? null),
        sinceMs: strays.get(key)?.sinceMs ?? now,
      });
    }
    // What is gone from a machine has made room, or was what a waiting task had to wait for.
    for (const key of strays.keys()) if (!w.strays.has(key)) this.dirtyPlace = true;
  }

  private noteImage(w: Worker, t: TaskRun): void {
    const spec = t.job.view.spec;
    if (!spec.image) return;
    w.images.delete(spec.image);
    w.images.set(spec.image, { gb: spec.imageGb, usedMs: this.ctx.nowMs });
    let total = 0;
    for (const i of w.images.values()) total += i.gb;
    for (const [image, i] of w.images) {
      if (total <= (w.type?.cacheGb ?? 0) || w.images.size === 1) break;
      w.images.delete(image);
      total -= i.gb;
    }
  }

  /** A result that was reported under another attempt counts all the same. */
  private foundDone(r: ReportedTask): void {
    const job = this.jobs.get(r.job);
    if (!job || job.view.spec.shape === "daemon" || !job.mine.has(r.index) || job.finished.has(r.index)) return;
    const running = job.active.get(r.index);
    this.finish(job, r.index);
    if (running) this.stop(running, 0, "done elsewhere");
  }

  /** A task that a former master started (or whose start we forgot): ours from now on, if it may be. */
  private adopt(w: Worker, r: ReportedTask): boolean {
    const job = this.jobs.get(r.job);
    if (!job || job.gone || !job.waiting.has(r.index) || r.state === "exited") return false;
    const spec = job.view.spec;
    if (spec.shape === "ensemble" && [...job.active.values()].some((t) => t.attempt !== r.attempt)) return false;
    if (!allowedOn(spec, w.typeName, w.zone, w.spot)) return false;
    job.waiting.remove(r.index);
    const t: TaskRun = { job, index: r.index, attempt: r.attempt, worker: w, phase: r.state, sinceMs: this.ctx.nowMs, stop: null };
    job.active.set(r.index, t);
    this.ledger.put(t);
    this.noteImage(w, t);
    return true;
  }

  private lostTask(t: TaskRun): void {
    this.ctx.log("info", "task vanished from its machine", { task: taskKey(t.job.id, t.index), worker: t.worker.id });
    this.requeue(t);
  }

  private exited(t: TaskRun, cause: Cause | null, saved: boolean): void {
    const { job, worker: w } = t;
    this.ctx.log("debug", "task ended", { task: taskKey(job.id, t.index), worker: w.id, cause, saved });
    if (cause === "done" && !job.gone && job.view.spec.shape !== "daemon") this.finish(job, t.index);
    if (cause === "done") w.failed.clear();
    if (cause === "error") this.failed(t);
    if (cause === "no_room" || cause === "busy") w.avoidUntilMs = this.ctx.nowMs + 2_000;
    if (cause === "no_such") job.backoffUntilMs = this.ctx.nowMs + 2_000;
    this.requeue(t);
  }

  /**
   * A failure is mostly the machine's fault, but a job that fails on every machine must not condemn the
   * machines: a machine is given up for failures of two different jobs, or one job's where that job runs
   * elsewhere; a job that failed on three machines is retried ever more slowly and accuses nobody.
   */
  private failed(t: TaskRun): void {
    const { job, worker: w } = t;
    job.errors.set(w.id, (job.errors.get(w.id) ?? 0) + 1);
    const times = [...job.errors.values()].reduce((a, b) => a + b, 0);
    if (job.errors.size >= 3) {
      job.backoffUntilMs = this.ctx.nowMs + Math.min(60_000, 1_000 * 2 ** Math.min(6, times - 3));
      for (const x of this.workers.values()) x.failed.delete(job.id);
    } else {
      w.failed.add(job.id);
    }
    w.avoidUntilMs = Math.max(w.avoidUntilMs, this.ctx.nowMs + 5_000 * w.failed.size);
    this.ctx.log("info", "task failed", { task: taskKey(job.id, t.index), worker: w.id, jobsFailedHere: w.failed.size });
    if (w.failed.size >= 2 && !w.going) this.fleet.giveUp(w, "tasks of several jobs failed on it");
  }

  /** A spot machine that is about to be taken: what can save does so just in time. */
  private onNotice(w: Worker): void {
    if (w.takenAtMs === null) return;
    const left = (w.takenAtMs - this.ctx.nowMs) / 1000;
    for (const t of [...w.tasks.values()]) {
      const spec = t.job.view.spec;
      if (t.stop || spec.checkpointS <= 0 || left > spec.saveS + 2 * this.ctx.settings.reportS + 2) continue;
      for (const peer of spec.shape === "ensemble" ? [...t.job.active.values()] : [t])
        this.stop(peer, spec.saveS + 1, "machine is taken back");
    }
  }

  stop(t: TaskRun, graceS: number, why: string): void {
    if (t.stop && t.stop.graceS <= graceS) return;
    t.stop = { graceS, why };
    this.dirtyWorkers.add(t.worker);
    this.ctx.log("debug", "stopping task", { task: taskKey(t.job.id, t.index), worker: t.worker.id, why });
  }

  /** All that this machine should be told now. Every order may be repeated. */
  private ordersFor(w: Worker): Order[] {
    const orders: Order[] = [];
    for (const e of w.exited) {
      const job = this.jobs.get(e.job);
      // Clearing a result that is not written yet would have the task run again after a takeover.
      if (job && e.cause === "done" && job.finished.has(e.index) && !job.written.has(e.index)) continue;
      if (w.openStarts.has(runKey(e.job, e.index, e.attempt))) continue;
      orders.push({ op: "forget", job: e.job, index: e.index, attempt: e.attempt });
    }
    for (const s of w.strays.values()) orders.push({ op: "stop", job: s.job, index: s.index, attempt: s.attempt, graceS: 0 });
    for (const t of w.tasks.values()) {
      if (t.stop && t.phase === "ordered") {
        // Invariant (ran_cancelled): its start may still arrive, minutes late. Started and stopped in one answer,
        // the worker holds the attempt as exited, and the late start has no effect.
        if (!w.openStarts.has(runKey(t.job.id, t.index, t.attempt))) continue;
        orders.push({ op: "start", job: t.job.id, index: t.index, attempt: t.attempt });
        orders.push({ op: "stop", job: t.job.id, index: t.index, attempt: t.attempt, graceS: 0 });
      } else if (t.stop) {
        if (!(t.phase === "saving" && t.stop.graceS > 0))
          orders.push({ op: "stop", job: t.job.id, index: t.index, attempt: t.attempt, graceS: t.stop.graceS });
      } else if (t.phase === "ordered") {
        orders.push({ op: "start", job: t.job.id, index: t.index, attempt: t.attempt });
      }
    }
    return orders;
  }

  // ---- the fence -----------------------------------------------------------------------------------------

  private accountFor(id: string): void {
    if (!this.fence) return;
    this.fence.delete(id);
    if (this.fence.size === 0) this.liftFence("every machine has reported");
  }

  private liftFence(why: string): void {
    this.ctx.log("info", "takeover complete", { group: this.group, token: this.token, why, silent: [...(this.fence ?? [])].slice(0, 10), afterMs: Math.round(this.ctx.nowMs - this.sinceMs) });
    this.fence = null;
    this.dirtyPlace = true;
  }

  /**
   * Past its lease a machine has killed all its tasks and takes no older message: nothing may run there until it has
   * reported and is in the roster again. Left in the roster, machines that are gone made every later master wait for a
   * whole lease (docs/incidents/tremorline-grown-crashes.md).
   */
  private forgetMachine(id: string): void {
    if (!this.roster.goingWritten(id)) this.roster.remove(id);
  }

  /** The cloud has said that these machines are gone, with everything on them. */
  machinesGone(ids: readonly string[]): void {
    for (const id of ids) {
      const w = this.workers.get(id);
      if (w) {
        this.releaseAll(w, "machine returned");
        this.workers.delete(id);
      }
      this.roster.remove(id);
      this.accountFor(id);
    }
  }

  // ---- placing -------------------------------------------------------------------------------------------

  /** Heard lately enough to expect that it takes orders. */
  private isHeard(w: Worker): boolean {
    return !w.lost && this.ctx.nowMs - w.answeredMs < 2_000 * this.ctx.settings.reportS + 1_000;
  }
  /** Most of its workers have not been heard of for longer than a report and its retry take. */
  deaf(): boolean {
    const limit = (this.ctx.settings.reportS * 1.25 + 4) * 1000;
    let silent = 0;
    let all = 0;
    for (const w of this.workers.values()) {
      if (w.lost && this.ctx.nowMs - w.answeredMs > 60_000) continue;
      all++;
      if (this.ctx.nowMs - w.answeredMs > limit) silent++;
    }
    if (all === 0) return this.ctx.nowMs - this.sinceMs > limit;
    return silent * 2 > all;
  }
  usable(w: Worker): boolean {
    return !w.going && w.takenAtMs === null && w.type !== null && this.ctx.nowMs >= w.avoidUntilMs && this.isHeard(w) && this.roster.has(w.id);
  }

  /** What each team uses in this group, counting all that may be running. */
  usage(): Map<string, Use> {
    const used = this.ledger.used();
    const blind = this.ledger.blindUse();
    const add = (team: string, need: Use, n = 1): void => {
      const u = used.get(team) ?? { cpus: 0, gpus: 0 };
      u.cpus += need.cpus * n;
      u.gpus += need.gpus * n;
      used.set(team, u);
    };
    if (this.fence) {
      for (const j of this.jobs.values()) if (j.old) add(j.view.spec.team, j.view.spec, j.waiting.size);
      // A silent machine may also run tasks of jobs that are over, of any team.
      for (const id of this.fence) {
        if (this.workers.has(id)) continue;
        const type = this.ctx.catalog?.find((t) => t.name === this.roster.machines().get(id)?.type);
        blind.cpus += type?.cpus ?? Infinity;
        blind.gpus += type?.gpus ?? Infinity;
      }
    }
    for (const team of this.ctx.settings.teams.keys()) add(team, blind);
    return used;
  }

  share(team: string): [number, number] {
    return this.sharing.share(team);
  }

  /** Reserved for short tasks: the machines of each type that come last by name. */
  private reserved(usable: readonly Worker[]): Set<string> {
    const byType = new Map<string, string[]>();
    for (const w of usable) {
      const list = byType.get(w.typeName) ?? [];
      list.push(w.id);
      byType.set(w.typeName, list);
    }
    const out = new Set<string>();
    for (const ids of byType.values()) {
      ids.sort();
      const n = Math.floor(ids.length * this.ctx.tuning.reservedShare);
      for (const id of ids.slice(ids.length - n)) out.add(id);
    }
    return out;
  }

  /** A former master's tasks are not all accounted for yet. */
  get fenced(): boolean {
    return this.fence !== null;
  }
  /** Machines that may be used now, and which of them serve short tasks only. */
  usableWorkers(): { usable: readonly Worker[]; reserved: ReadonlySet<string> } {
    const usable: Worker[] = [];
    for (const w of this.workers.values()) if (this.usable(w)) usable.push(w);
    // Which are reserved follows from which are usable: mostly the same as the last time, several times a second.
    const last = this.lastUsable;
    if (usable.length === last.usable.length && usable.every((w, i) => w === last.usable[i])) return last;
    return (this.lastUsable = { usable, reserved: this.reserved(usable) });
  }
  private lastUsable: { usable: readonly Worker[]; reserved: ReadonlySet<string> } = { usable: [], reserved: new Set() };
  /** By team: what it may still use in this group. */
  headroom(): Map<string, Use> {
    const used = this.usage();
    const out = new Map<string, Use>();
    for (const team of this.ctx.settings.teams.keys()) {
      const share = this.share(team);
      const u = used.get(team) ?? { cpus: 0, gpus: 0 };
      out.set(team, { cpus: share[0] - u.cpus, gpus: share[1] - u.gpus });
    }
    return out;
  }

  mayStart(job: JobRun): boolean {
    return (
      !job.gone &&
      !job.waiting.isEmpty &&
      this.ctx.nowMs >= job.backoffUntilMs &&
      // See the fence: a task of an older record may be running on a machine that has not spoken yet.
      !(this.fence && job.old)
    );
  }

  place(): void {
    // With thousands of waiting jobs a pass takes longer: it may take no more than a small part of the time.
    if (!this.dirtyPlace || this.ctx.nowMs - this.placedMs < Math.max(PLACE_GAP_MS, this.jobs.size / 5) || !this.permitted()) return;
    this.dirtyPlace = false;
    this.placedMs = this.ctx.nowMs;
    this.passes++;
    this.holding.clear();
    const ready = [...this.jobs.values()].filter((j) => this.mayStart(j));
    if (ready.length === 0) return;
    const used = this.usage();
    const { usable: workers, reserved } = this.usableWorkers();
    const free = new Map<Worker, Amounts>(workers.map((w) => [w, freeOn(w)]));
    const unreserved = workers.filter((w) => !reserved.has(w.id));
    const round = new Round(
      ready.map((j) => ({
        spec: j.view.spec,
        standing: j.view,
        tasks: j.waiting.size,
        late: isLate(j.view.spec, j.view, this.ctx.wallMs, this.ctx.settings.objectives),
        job: j,
      })),
      this.ctx.tuning,
      this.turn,
    );
    const madeRoom = new Set(workers.map((w) => w.heldFor?.job));
    const blocked: JobRun[] = [];
    const misfits = new Misfits();
    for (let head = round.head(); head; head = round.head()) {
      const job = head.job;
      const short = isShort(job.view.spec, this.ctx.tuning);
      // Room that was made for a job is hidden from the others.
      const own = madeRoom.has(job.id);
      const n = !own && misfits.includes(job.view.spec, short) ? 0 : this.placeSome(job, round.most(), short ? workers : unreserved, free, reserved, used);
      if (n === null) misfits.add(job.view.spec, short);
      if (n) round.served(n);
      else if (blocked.length < 3) blocked.push(job);
      if (!n || job.waiting.isEmpty) round.skip();
    }
    for (const job of blocked) if (this.ctx.nowMs - job.waitingSinceMs > PREEMPT_AFTER_MS) this.preemption.consider(job, workers, free, used);
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
    if (gang && (job.active.size > 0 || job.waiting.size < job.mine.size || this.ledger.hasStrays(job.id))) return 0;
    const team = used.get(spec.team) ?? { cpus: 0, gpus: 0 };
    const share = this.share(spec.team);
    const allowed = fitCount({ cpus: spec.cpus, gpus: spec.gpus, memGb: 0 }, { cpus: share[0] - team.cpus, gpus: share[1] - team.gpus, memGb: 0 });
    // Invariant (rule ran_twice): nothing is started that may still be on some machine.
    const startable = (i: number): boolean => !this.ledger.hasStrays(job.id, i);
    const want = gang ? job.waiting.size : Math.min(most, allowed, job.waiting.size);
    if (want === 0 || allowed < want) return 0;
    const indices = [...job.waiting.take(gang ? want : want + this.ledger.straysOf(job.id).size)].filter(startable).slice(0, want);
    if (indices.length === 0) return 0;
    const chosen = this.choose(job, indices.length, gang, open, free, reserved);
    if (chosen.length === 0 || (gang && chosen.length < want)) {
      // Holding freed room: what a waiting gang could use already is not given to those behind it. Not at once: a
      // large gang that holds machines idle keeps many small ones waiting, and most of them are done before it starts.
      if (gang && want > 1 && this.ctx.wallMs - job.view.readyAt > this.ctx.tuning.holdAfterS * 1000) this.hold(chosen, spec, free);
      return null;
    }
    const attempt = inParts(spec, job.view.split.size) ? this.partAttempt(job) : this.token * ATTEMPTS + ++this.attempts;
    if (attempt === null) {
      // The other parts are not ready yet: its room is held until they are.
      this.hold(chosen, spec, free);
      return null;
    }
    for (const [k, w] of chosen.entries()) {
      const index = indices[k]!;
      job.waiting.remove(index);
      const t: TaskRun = { job, index, attempt, worker: w, phase: "ordered", sinceMs: this.ctx.nowMs, stop: null };
      job.active.set(index, t);
      this.ledger.put(t);
      w.idleSinceMs = null;
      this.ctx.log("debug", "starting task", { task: taskKey(job.id, index), attempt, worker: w.id });
      take(free.get(w)!, spec);
      team.cpus += spec.cpus;
      team.gpus += spec.gpus;
      this.dirtyWorkers.add(w);
    }
    used.set(spec.team, team);
    return chosen.length;
  }

  /** Keeps the room that a gang could use already from those behind it in this pass, and from other groups' gangs. */
  private hold(chosen: readonly Worker[], spec: JobSpec, free: ReadonlyMap<Worker, Amounts>): void {
    for (const w of chosen) {
      take(free.get(w)!, spec);
      this.holding.add(w);
    }
  }

  /** The attempt under which a part of a gang is to start now; null: not yet. */
  private partAttempt(job: JobRun): number | null {
    if (job.calling) return null;
    const gang = this.ctx.mirror.gang(job.id);
    const step = partStep([...job.view.split.keys()], this.group, gang, job.tried);
    if (step.is === "start") return (job.tried = step.attempt);
    if (step.is === "wait") return null;
    job.calling = true;
    const done = (): void => {
      job.calling = false;
    };
    const alive = { key: jobKey(job.id), version: job.view.version };
    if (step.is === "ready") this.commit([alive], [{ op: "put", key: readyKey(job.id, this.group), value: { attempt: step.after } }], Urgent.Master, done);
    else this.commit([alive, { key: gangKey(job.id), version: gang.version }], [{ op: "put", key: gangKey(job.id), value: { attempt: this.token * ATTEMPTS + ++this.attempts } }], Urgent.Master, done);
    return null;
  }

  /** Zones where tasks of this job are or may be, with their number: tasks of old attempts count. */
  private zonesOf(job: JobRun): Map<string, number> {
    const zones = new Map<string, number>();
    const add = (zone: string): void => void zones.set(zone, (zones.get(zone) ?? 0) + 1);
    for (const t of job.active.values()) add(t.worker.zone);
    for (const s of this.ledger.straysOf(job.id)) add(s.worker.zone);
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
      if (w.heldFor && w.heldFor.job !== job.id && this.ctx.nowMs < w.heldFor.untilMs) continue;
      if (!allowedOn(spec, w.typeName, w.zone, w.spot) || !suits(spec, w.type, w.spot, this.ctx.catalog)) continue;
      const room = free.get(w)!;
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
    if (!gang && !spec.samePlace) return Array.from({ length: Math.min(want, best.n) }, () => best.w);
    let most: Worker[] = [];
    for (const list of byZone.values()) {
      const out: Worker[] = [];
      const count = new Map(at);
      list.sort((a, b) => b.score - a.score);
      for (const { w, n } of list) {
        if (out.length === want) break;
        const k = Math.min(n, want - out.length, cap - (count.get(w.zone) ?? 0));
        for (let i = 0; i < k; i++) out.push(w);
        count.set(w.zone, (count.get(w.zone) ?? 0) + Math.max(0, k));
      }
      if (out.length > most.length) most = out;
    }
    return most;
  }

  /** Higher is better: its image is there, unreserved, little left over. */
  private score(job: JobRun, w: Worker, room: Amounts, reserved: ReadonlySet<string>): number {
    const spec = job.view.spec;
    let s = 0;
    if (job.errors.has(w.id)) s -= 1_000;
    if (!spec.image || w.images.has(spec.image)) s += 200;
    if (reserved.has(w.id)) s -= 100;
    for (const t of w.tasks.values()) if (t.job.view.spec.image === spec.image) s += 50;
    const rest = w.type ? (room.cpus - spec.cpus) / (w.type.cpus || 1) : 0;
    return s - rest * 10;
  }

  // ---- room, moves ---------------------------------------------------------------------------------------

  runningOf(id: string): number {
    let n = 0;
    for (const t of this.jobs.get(id)?.active.values() ?? []) if (t.phase === "running" || t.phase === "saving") n++;
    return n;
  }

  room(): RoomRecord {
    return this.writtenRoom.now();
  }
  /** Tasks that wait here, by kind of machine. */
  queue(): { plain: number; accelerated: number } {
    return this.writtenRoom.queue();
  }
  /** What is held for a job is not there for others. */
  isHeld(w: Worker): boolean {
    return this.holding.has(w) || (w.heldFor !== null && this.ctx.nowMs < w.heldFor.untilMs);
  }
  /** By team: how much more of its limit this group could use. */
  wants(): Map<string, Want> {
    return this.sharing.wants();
  }

  // ---- time ----------------------------------------------------------------------------------------------

  tick(): void {
    const now = this.ctx.nowMs;
    const leaseMs = this.ctx.settings.leaseS * 1000 * DRIFT + LEASE_SLACK_MS;
    if (this.fence && now - this.sinceMs > leaseMs) {
      // Invariant (ran_twice): a machine that has reported, though not under this token yet, may run tasks: it stays.
      for (const id of this.fence) if (!this.workers.has(id)) this.forgetMachine(id);
      this.liftFence("leases of silent machines have ended");
    }
    for (const w of this.workers.values()) {
      if (w.lost || now - w.answeredMs <= leaseMs) continue;
      w.lost = true;
      this.ctx.log("info", "worker is silent past its lease", { worker: w.id, tasks: w.tasks.size });
      this.releaseAll(w, "lease ended");
      this.forgetMachine(w.id);
    }
    for (const j of this.jobs.values()) {
      if (now >= j.backoffUntilMs && (j.complete || j.written.size < j.finished.size)) this.finishJob(j);
      this.moves.send(j);
    }
    this.roster.flush();
    if (now - this.placedMs >= PLACE_AGAIN_MS) this.dirtyPlace = true;
    this.place();
    if (this.permitted()) {
      this.moves.tick();
      this.sharing.tick();
      this.fleet.tick();
      this.writtenRoom.writeIfChanged();
    }
  }

  /** Orders that should not wait for the next report go straight to the machines. */
  sendDirect(): void {
    for (const w of this.dirtyWorkers) {
      this.dirtyWorkers.delete(w);
      if (!this.ctx.tuning.directOrders || w.direct || w.lost || !this.permitted()) continue;
      // Neither clears, nor a start that is to be stopped at once: both belong into answers, which can't be late.
      const orders = this.ordersFor(w).filter((o) => o.op !== "forget" && !(o.op === "start" && w.tasks.get(runKey(o.job, o.index, o.attempt))?.stop));
      if (orders.length === 0) continue;
      const keys = orders.filter((o) => o.op === "start").map((o) => runKey(o.job, o.index, o.attempt));
      const session = w.session;
      for (const k of keys) w.openStarts.set(k, (w.openStarts.get(k) ?? 0) + 1);
      w.direct = true;
      this.ctx.command(w.address, this.token, session, orders, (reply) => {
        w.direct = false;
        if (reply.is === "unknown" || w.session !== session) return;
        for (const k of keys) {
          const n = (w.openStarts.get(k) ?? 0) - 1;
          if (n > 0) w.openStarts.set(k, n);
          else w.openStarts.delete(k);
        }
      });
    }
  }
}
