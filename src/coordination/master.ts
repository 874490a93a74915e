import type { Context } from "./context.js";
import type { Answer } from "./effects.js";
import { Failures } from "./failures.js";
import { Finishing } from "./finishing.js";
import { Fleet } from "./fleet.js";
import { GroupState } from "./group-state.js";
import { Guarantees, Reclaims, Sharing, Shortfall } from "./limits/index.js";
import type { JobView } from "./mirror.js";
import type { Order, Report } from "./model.js";
import { Moves } from "./moves.js";
import { offer } from "./placement.js";
import { Placing } from "./placing.js";
import { Preemption } from "./preemption.js";
import { RangeSet } from "./ranges.js";
import { newReceipt, Receipts } from "./receipt.js";
import { Reconciliation } from "./reconciliation.js";
import { Room } from "./room.js";
import { RateLimitedLog } from "./rate-limited-log.js";
import { newJobRun, runKey, type Worker } from "./tasks.js";

/**
 * The master of one group under one token. It alone starts tasks on the group's machines. It begins with what
 * the state service holds and learns from reports what runs; it is dropped as soon as the token is lost.
 */
export class Master {
  readonly own: GroupState;
  private readonly fleet: Fleet;
  readonly sharing: Sharing;
  readonly guarantees: Guarantees;
  readonly reclaims: Reclaims;
  private readonly moves: Moves;
  private readonly shortfall: Shortfall;
  private readonly placing: Placing;
  private readonly finishing: Finishing;
  readonly room: Room;
  private readonly receipts: Receipts;
  private readonly reconciliation: Reconciliation;
  private readonly contradictions: RateLimitedLog;
  /** Reports that were no newer than what was known. */
  lateReports = 0;

  constructor(
    private readonly ctx: Context,
    readonly group: string,
    readonly token: number,
    permitted: () => boolean,
  ) {
    const own = new GroupState(ctx, group, token, permitted);
    this.own = own;
    this.receipts = new Receipts(ctx, token);
    this.contradictions = new RateLimitedLog(ctx);
    this.sharing = new Sharing(ctx, own, (spec) =>
      this.fleet.renting.hasPlace(spec),
    );
    this.guarantees = new Guarantees(ctx, own);
    this.fleet = new Fleet(ctx, own, this.sharing);
    const { renting } = this.fleet;
    this.moves = new Moves(ctx, own, renting, this.sharing);
    this.reclaims = new Reclaims(ctx, own, this.guarantees);
    this.shortfall = new Shortfall(
      ctx,
      own,
      this.sharing,
      this.guarantees,
      this.reclaims,
      (spec) => renting.exhausted(spec),
    );
    this.placing = new Placing(
      ctx,
      own,
      this.sharing,
      this.guarantees,
      new Preemption(ctx, own, this.sharing, renting, this.reclaims),
    );
    this.finishing = new Finishing(ctx, own);
    const failures = new Failures(ctx, own, (worker, why) =>
      this.fleet.giveUp(worker, why),
    );
    this.reconciliation = new Reconciliation(
      ctx,
      own,
      this.receipts,
      this.finishing,
      failures,
    );
    this.room = new Room(ctx, own, this.sharing, renting);
    // Whether a machine marked for return was returned is not known: it is given back once more, and the cloud's word
    // that it is gone takes it off the fence.
    for (const [id, e] of own.roster.machines())
      if (e.going)
        this.fleet.giveBack(id, e.type, "marked for return by a former master");
    for (const view of ctx.mirror.jobs.values()) this.sync(view, true);
  }

  // ---- jobs ----------------------------------------------------------------------------------------------

  /** Takes over what the mirror says of a job. */
  sync(view: JobView, old = false): void {
    const share = view.split.get(this.group) ?? RangeSet.empty();
    let job = this.own.jobs.get(view.id);
    if (!job) {
      if (share.isEmpty) return;
      job = newJobRun(view, old, this.ctx.nowMs);
      this.own.jobs.set(view.id, job);
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
    if (
      view.spec.shape === "ensemble" &&
      this.ctx.mirror.finished(view.id).size > 0
    )
      job.finished.addAll(job.mine);
    this.own.refresh(job);
    this.finishing.finishJob(job);
  }

  jobGone(id: string): void {
    const job = this.own.jobs.get(id);
    if (!job) return;
    job.gone = true;
    job.waiting = RangeSet.empty();
    this.own.jobs.delete(id);
    for (const t of job.active.values()) this.own.stop(t, 0, "job over");
    this.own.dirty = true;
  }

  // ---- reports -------------------------------------------------------------------------------------------

  /** The state of the tasks on a machine, and the orders for it. Only called while the permit holds. */
  report(r: Report): Answer {
    const now = this.ctx.nowMs;
    let w = this.own.workers.get(r.worker);
    if (
      w &&
      (w.typeName !== r.type || w.zone !== r.zone || w.spot !== r.spot)
    ) {
      // Names are not given twice, and a machine does not change: whoever sent this, nothing is learnt from it.
      this.contradictions.warn(
        "heartbeat contradicts known machine",
        r.worker,
        { known: w.kind, received: offer(r.type, r.zone, r.spot) },
      );
      return {
        is: "later",
        afterS: 1,
        why: "contradicts what is known of the machine",
      };
    }
    if (w && this.receipts.isAmbiguous(w, r)) {
      if (this.receipts.mayAsk(w, false)) this.inspect(w);
      // Invariant (ran_twice): a start that a session which is not known yet carries out would be taken for lost with the one before.
      if (r.session > w.session)
        return { is: "later", afterS: 1, why: "asking the machine itself" };
      w.answeredMs = now;
      return { is: "orders", token: this.token, orders: this.ordersFor(w) };
    }
    if (w ? this.receipts.isLate(w, r) : this.fleet.isGone(r.worker)) {
      // A late message: its list is as old as itself, and the worker doesn't wait for the answer any more.
      this.lateReports++;
      this.ctx.log("stale heartbeat ignored", {
        worker: r.worker,
        incarnation: r.session,
        sequence: r.tally,
        known: w ? [w.session, w.tally, w.token] : "gone",
        lost: w?.lost,
      });
      if (w && this.receipts.mayAsk(w)) this.inspect(w);
      return { is: "later", afterS: 1, why: "late report" };
    }
    if (!w) {
      w = this.newWorker(r);
      this.own.workers.set(w.id, w);
      this.fleet.cameUp(w);
    }
    const wasLost = w.lost;
    const couldUse = this.own.usable(w);
    const rose = r.session > w.session;
    this.receipts.note(w, r, rose);
    if (rose) this.newSession(w, r.session);
    if (r.token > this.token)
      this.ctx.log("worker has seen a higher fencing token", {
        worker: w.id,
        token: r.token,
        ownToken: this.token,
        sequence: r.tally,
        incarnation: r.session,
      });
    w.tally = r.tally;
    w.token = Math.max(w.token, r.token);
    w.address = r.address;
    w.takenAtMs = r.noticeS === null ? null : now + r.noticeS * 1000;
    w.answeredMs = now;
    w.heardMs = now;
    if (wasLost) {
      w.lost = false;
      this.ctx.log("worker returned after lease expiry", {
        worker: w.id,
        incarnation: r.session,
      });
    }
    if (!w.type) {
      w.type = this.ctx.catalog?.find((t) => t.name === r.type) ?? null;
      w.free = null;
    }
    if (!w.going) this.own.roster.set(w.id, { going: false, type: w.typeName });
    this.reconciliation.reconcile(w, r.tasks);
    if (r.token === this.token) this.own.accountFor(w.id);
    this.own.noteIdle(w);
    this.onNotice(w);
    // Of itself a report changes nothing for placing: what it frees, ends or loses has said so already.
    if (!couldUse && this.own.usable(w)) this.own.dirty = true;
    if (this.receipts.mayProbe(w)) this.inspect(w);
    this.placing.place();
    this.own.untold.delete(w);
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
      heardMs: this.ctx.nowMs,
      // One that nobody has heard of may be a late copy of a machine that is gone: it has to show first that it receives.
      receipt: newReceipt(
        this.own.roster.has(r.worker) ||
          this.fleet.renting.booting.has(r.worker),
        this.ctx.nowMs,
      ),
      firstMs: this.ctx.nowMs,
      takenAtMs: null,
      tasks: new Map(),
      strays: new Map(),
      exited: [],
      images: new Map(),
      going: this.own.roster.goingWritten(r.worker),
      idleSinceMs: this.ctx.nowMs,
      failed: new Set(),
      avoidUntilMs: 0,
      heldFor: null,
      openStarts: new Map(),
      direct: false,
    };
  }

  /**
   * Asks a machine that only seems to send old reports. Its answer is of a moment after the question: if that is older by
   * session and tally than what is known, its process or the whole machine has begun anew, and all that it had is gone.
   */
  private inspect(w: Worker): void {
    const askedMs = this.ctx.nowMs;
    w.receipt.asking = true;
    w.receipt.askedMs = askedMs;
    this.ctx.inspect(w.address, (r) => {
      w.receipt.asking = false;
      if (
        !r ||
        r.worker !== w.id ||
        this.own.workers.get(w.id) !== w ||
        !this.own.permitted()
      )
        return;
      this.receipts.answered(w);
      if (w.heardMs > askedMs) return;
      if (this.receipts.isAmbiguous(w, r) && r.tally > w.tally) {
        if (r.session > w.session) this.newSession(w, r.session);
        Object.assign(w, {
          tally: r.tally,
          token: Math.max(w.token, r.token),
          heardMs: this.ctx.nowMs,
        });
        this.reconciliation.reconcile(w, r.tasks, false);
        this.own.noteIdle(w);
        return;
      }
      // A start on its way to it may still be carried out by its new life: until it is known what became of that, its lease counts. One
      // that was answered since the question may have been carried out after this answer was made, which then does not show it.
      if (
        w.direct ||
        w.receipt.commandMs >= askedMs ||
        (r.session === w.session && w.openStarts.size > 0)
      )
        return;
      if (!this.receipts.isLate(w, r)) return;
      this.ctx.log("machine restarted", {
        worker: w.id,
        known: [w.session, w.tally],
        now: [r.session, r.tally],
        tasks: w.tasks.size,
      });
      this.receipts.beganAnew(w);
      this.own.releaseAll(w, "machine restarted");
      w.openStarts.clear();
      w.images.clear();
      Object.assign(w, {
        session: r.session,
        tally: r.tally,
        token: r.token,
        lost: false,
        answeredMs: this.ctx.nowMs,
        heardMs: this.ctx.nowMs,
      });
      if (!w.going)
        this.own.roster.set(w.id, { going: false, type: w.typeName });
      this.reconciliation.reconcile(w, r.tasks, false);
      this.own.noteIdle(w);
      this.own.dirty = true;
    });
  }

  /** A new session: the worker has killed and forgotten all its tasks, and takes no older message any more. */
  private newSession(w: Worker, session: number): void {
    this.own.releaseAll(w, "new incarnation");
    w.session = session;
    w.tally = -1;
    w.openStarts.clear();
    w.exited = [];
  }

  /** A spot machine that is about to be taken: what can save does so just in time. */
  private onNotice(w: Worker): void {
    if (w.takenAtMs === null) return;
    const left = (w.takenAtMs - this.ctx.nowMs) / 1000;
    for (const t of [...w.tasks.values()]) {
      const spec = t.job.view.spec;
      if (
        t.stop ||
        spec.checkpointS <= 0 ||
        left > spec.saveS + 2 * this.ctx.settings.reportS + 2
      )
        continue;
      for (const peer of spec.shape === "ensemble"
        ? [...t.job.active.values()]
        : [t])
        this.own.stop(peer, spec.saveS + 1, "machine is taken back");
    }
  }

  /** All that this machine should be told now. Every order may be repeated. */
  private ordersFor(w: Worker): Order[] {
    const orders: Order[] = [];
    for (const e of w.exited) {
      const job = this.own.jobs.get(e.job);
      // Clearing a result that is not written yet would have the task run again after a takeover.
      if (
        job &&
        e.cause === "done" &&
        job.finished.has(e.index) &&
        !job.written.has(e.index)
      )
        continue;
      if (w.openStarts.has(runKey(e.job, e.index, e.attempt))) continue;
      orders.push({
        op: "forget",
        job: e.job,
        index: e.index,
        attempt: e.attempt,
      });
    }
    for (const s of w.strays.values())
      orders.push({
        op: "stop",
        job: s.job,
        index: s.index,
        attempt: s.attempt,
        graceS: 0,
      });
    for (const t of w.tasks.values()) {
      if (t.stop && t.phase === "ordered") {
        // Invariant (ran_cancelled): its start may still arrive, minutes late. Started and stopped in one answer,
        // the worker holds the attempt as exited, and the late start has no effect.
        if (!w.openStarts.has(runKey(t.job.id, t.index, t.attempt))) continue;
        orders.push({
          op: "start",
          job: t.job.id,
          index: t.index,
          attempt: t.attempt,
        });
        orders.push({
          op: "stop",
          job: t.job.id,
          index: t.index,
          attempt: t.attempt,
          graceS: 0,
        });
      } else if (t.stop) {
        if (!(t.phase === "saving" && t.stop.graceS > 0))
          orders.push({
            op: "stop",
            job: t.job.id,
            index: t.index,
            attempt: t.attempt,
            graceS: t.stop.graceS,
          });
      } else if (t.phase === "ordered") {
        t.told++;
        orders.push({
          op: "start",
          job: t.job.id,
          index: t.index,
          attempt: t.attempt,
        });
      }
    }
    return orders;
  }

  // ---- what others ask -----------------------------------------------------------------------------------

  /** Placing passes made so far. */
  get passes(): number {
    return this.placing.passes;
  }

  // ---- time ----------------------------------------------------------------------------------------------

  /** `agreed`: all live controllers go by the same limits. */
  tick(agreed: boolean): void {
    this.own.expire();
    for (const j of this.own.jobs.values()) {
      this.finishing.tick(j);
      this.moves.send(j);
    }
    this.own.roster.flush();
    this.placing.tick();
    if (this.own.permitted()) {
      this.moves.tick();
      this.sharing.tick(agreed);
      this.shortfall.tick();
      this.fleet.tick();
      this.room.writeIfChanged();
    }
  }
  place(): void {
    this.placing.place();
  }

  /** Orders that should not wait for the next report go straight to the machines. */
  sendDirect(): void {
    for (const w of this.own.untold) {
      this.own.untold.delete(w);
      if (
        !this.ctx.tuning.directOrders ||
        w.direct ||
        w.lost ||
        w.receipt.deafMs !== null ||
        !this.own.permitted()
      )
        continue;
      // Neither clears, nor a start that is to be stopped at once: both belong into answers, which can't be late.
      const orders = this.ordersFor(w).filter(
        (o) =>
          o.op !== "forget" &&
          !(
            o.op === "start" &&
            w.tasks.get(runKey(o.job, o.index, o.attempt))?.stop
          ),
      );
      if (orders.length === 0) continue;
      const keys = orders
        .filter((o) => o.op === "start")
        .map((o) => runKey(o.job, o.index, o.attempt));
      const session = w.session;
      for (const k of keys) w.openStarts.set(k, (w.openStarts.get(k) ?? 0) + 1);
      w.direct = true;
      this.ctx.command(w.address, this.token, session, orders, (reply) => {
        w.direct = false;
        if (keys.length > 0) w.receipt.commandMs = this.ctx.nowMs;
        if (reply.is === "answered") this.receipts.answered(w);
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
