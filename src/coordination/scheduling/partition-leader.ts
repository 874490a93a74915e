import type { Context } from "../context.js";
import type { Answer } from "../effects.js";
import { FailureTracker } from "../machines/failure-tracker.js";
import { JobCompletion } from "../jobs/job-completion.js";
import { ScaleIn } from "../machines/scale-in.js";
import { PartitionState } from "./partition-state.js";
import {
  Guarantees,
  GuaranteeReclaims,
  QuotaAllocator,
  GuaranteeShortfallLog,
} from "../quota/index.js";
import type { JobView } from "../store/job-view.js";
import type { Command, Heartbeat } from "../model.js";
import { Rebalancer } from "./rebalancer.js";
import { offerKey } from "./placement.js";
import { Scheduler } from "./scheduler.js";
import { Preemption } from "./preemption.js";
import { RangeSet } from "../jobs/range-set.js";
import {
  newDeliveryState,
  DeliveryTracker,
} from "../machines/delivery-tracker.js";
import { Reconciliation } from "../machines/reconciliation.js";
import { CapacityReport } from "./capacity-report.js";
import { RateLimitedLog } from "../../logging/rate-limited-log.js";
import {
  newJobRun,
  attemptKey,
  type Worker,
} from "../machines/worker-state.js";

/**
 * The master of one group under one token. It alone starts tasks on the group's machines. It begins with what
 * the state service holds and learns from reports what runs; it is dropped as soon as the token is lost.
 */
export class PartitionLeader {
  readonly state: PartitionState;
  private readonly scaleIn: ScaleIn;
  readonly quota: QuotaAllocator;
  readonly guarantees: Guarantees;
  readonly reclaims: GuaranteeReclaims;
  private readonly rebalancer: Rebalancer;
  private readonly shortfallLog: GuaranteeShortfallLog;
  private readonly scheduler: Scheduler;
  private readonly completion: JobCompletion;
  readonly capacity: CapacityReport;
  private readonly deliveries: DeliveryTracker;
  private readonly reconciliation: Reconciliation;
  private readonly contradictions: RateLimitedLog;
  /** Reports that were no newer than what was known. */
  staleHeartbeats = 0;

  constructor(
    private readonly ctx: Context,
    readonly partition: string,
    readonly token: number,
    permitted: () => boolean,
  ) {
    const own = new PartitionState(ctx, partition, token, permitted);
    this.state = own;
    this.deliveries = new DeliveryTracker(ctx, token);
    this.contradictions = new RateLimitedLog(ctx);
    this.quota = new QuotaAllocator(ctx, own, (spec) =>
      this.scaleIn.scaleOut.hasPlace(spec),
    );
    this.guarantees = new Guarantees(ctx, own);
    this.scaleIn = new ScaleIn(ctx, own, this.quota);
    const { scaleOut } = this.scaleIn;
    this.rebalancer = new Rebalancer(ctx, own, scaleOut, this.quota);
    this.reclaims = new GuaranteeReclaims(ctx, own, this.guarantees);
    this.shortfallLog = new GuaranteeShortfallLog(
      ctx,
      own,
      this.quota,
      this.guarantees,
      this.reclaims,
      (spec) => scaleOut.exhausted(spec),
    );
    this.scheduler = new Scheduler(
      ctx,
      own,
      this.quota,
      this.guarantees,
      new Preemption(ctx, own, this.quota, scaleOut, this.reclaims),
    );
    this.completion = new JobCompletion(ctx, own);
    const failures = new FailureTracker(ctx, own, (worker, why) =>
      this.scaleIn.returnWorker(worker, why),
    );
    this.reconciliation = new Reconciliation(
      ctx,
      own,
      this.deliveries,
      this.completion,
      failures,
    );
    this.capacity = new CapacityReport(ctx, own, this.quota, scaleOut);
    // Whether a machine marked for return was returned is not known: it is given back once more, and the cloud's word
    // that it is gone takes it off the fence.
    for (const [id, e] of own.registry.machines())
      if (e.isReturning)
        this.scaleIn.returnMachine(
          id,
          e.type,
          "marked for return by a former master",
        );
    for (const view of ctx.cache.jobs.values()) this.syncJob(view, true);
  }

  // ---- jobs ----------------------------------------------------------------------------------------------

  /** Takes over what the mirror says of a job. */
  syncJob(view: JobView, old = false): void {
    const share = view.assignment.get(this.partition) ?? RangeSet.empty();
    let job = this.state.jobs.get(view.id);
    if (!job) {
      if (share.isEmpty) return;
      job = newJobRun(view, old, this.ctx.nowMs);
      this.state.jobs.set(view.id, job);
      this.scaleIn.noteJob(view.spec);
    }
    const done = this.ctx.cache.finished(view.id).get(this.partition);
    if (done) {
      job.written.addAll(done);
      job.finished.addAll(done);
    }
    if (
      job.pendingTransfer &&
      view.revision > job.pendingTransfer.change.baseRevision
    )
      job.pendingTransfer = null;
    job.assigned = share.clone();
    // A gang's tasks complete together, in whichever group it was seen first.
    if (view.spec.kind === "gang" && this.ctx.cache.finished(view.id).size > 0)
      job.finished.addAll(job.assigned);
    this.state.recomputeWaiting(job);
    this.completion.writeProgress(job);
  }

  removeJob(id: string): void {
    const job = this.state.jobs.get(id);
    if (!job) return;
    job.isOver = true;
    job.waiting = RangeSet.empty();
    this.state.jobs.delete(id);
    for (const t of job.active.values()) this.state.stop(t, 0, "job over");
    this.state.needsScheduling = true;
  }

  // ---- reports -------------------------------------------------------------------------------------------

  /** The state of the tasks on a machine, and the orders for it. Only called while the permit holds. */
  heartbeat(r: Heartbeat): Answer {
    const now = this.ctx.nowMs;
    let w = this.state.workers.get(r.worker);
    if (
      w &&
      (w.typeName !== r.type || w.zone !== r.zone || w.spot !== r.spot)
    ) {
      // Names are not given twice, and a machine does not change: whoever sent this, nothing is learnt from it.
      this.contradictions.warn(
        "heartbeat contradicts known machine",
        r.worker,
        { known: w.offerKey, received: offerKey(r.type, r.zone, r.spot) },
      );
      return {
        kind: "retryLater",
        afterS: 1,
        why: "contradicts what is known of the machine",
      };
    }
    if (w && this.deliveries.isAmbiguous(w, r)) {
      if (this.deliveries.mayInspect(w, false)) this.inspect(w);
      // Invariant (ran_twice): a start that a session which is not known yet carries out would be taken for lost with the one before.
      if (r.incarnation > w.incarnation)
        return {
          kind: "retryLater",
          afterS: 1,
          why: "asking the machine itself",
        };
      w.lastAnsweredMs = now;
      return {
        kind: "commands",
        token: this.token,
        commands: this.commandsFor(w),
      };
    }
    if (w ? this.deliveries.isStale(w, r) : this.scaleIn.isGone(r.worker)) {
      // A late message: its list is as old as itself, and the worker doesn't wait for the answer any more.
      this.staleHeartbeats++;
      this.ctx.log("stale heartbeat ignored", {
        worker: r.worker,
        incarnation: r.incarnation,
        sequence: r.sequence,
        known: w ? [w.incarnation, w.sequence, w.token] : "gone",
        lost: w?.leaseExpired,
      });
      if (w && this.deliveries.mayInspect(w)) this.inspect(w);
      return { kind: "retryLater", afterS: 1, why: "late report" };
    }
    if (!w) {
      w = this.newWorker(r);
      this.state.workers.set(w.id, w);
      this.scaleIn.onMachineUp(w);
    }
    const wasLost = w.leaseExpired;
    const couldUse = this.state.isUsable(w);
    const rose = r.incarnation > w.incarnation;
    this.deliveries.note(w, r, rose);
    if (rose) this.startIncarnation(w, r.incarnation);
    if (r.token > this.token)
      this.ctx.log("worker has seen a higher fencing token", {
        worker: w.id,
        token: r.token,
        ownToken: this.token,
        sequence: r.sequence,
        incarnation: r.incarnation,
      });
    w.sequence = r.sequence;
    w.token = Math.max(w.token, r.token);
    w.address = r.address;
    w.reclaimedAtMs = r.noticeS === null ? null : now + r.noticeS * 1000;
    w.lastAnsweredMs = now;
    w.lastHeardMs = now;
    if (wasLost) {
      w.leaseExpired = false;
      this.ctx.log("worker returned after lease expiry", {
        worker: w.id,
        incarnation: r.incarnation,
      });
    }
    if (!w.type) {
      w.type = this.ctx.catalog?.find((t) => t.name === r.type) ?? null;
      w.free = null;
    }
    if (!w.isReturning)
      this.state.registry.set(w.id, { isReturning: false, type: w.typeName });
    this.reconciliation.reconcile(w, r.tasks);
    if (r.token === this.token) this.state.accountFor(w.id);
    this.state.noteIdle(w);
    this.onReclaimNotice(w);
    // Of itself a report changes nothing for placing: what it frees, ends or loses has said so already.
    if (!couldUse && this.state.isUsable(w)) this.state.needsScheduling = true;
    if (this.deliveries.mayProbe(w)) this.inspect(w);
    this.scheduler.runRound();
    this.state.undelivered.delete(w);
    return {
      kind: "commands",
      token: this.token,
      commands: this.commandsFor(w),
    };
  }

  private newWorker(r: Heartbeat): Worker {
    return {
      id: r.worker,
      address: r.address,
      typeName: r.type,
      type: this.ctx.catalog?.find((t) => t.name === r.type) ?? null,
      zone: r.zone,
      spot: r.spot,
      offerKey: offerKey(r.type, r.zone, r.spot),
      free: null,
      incarnation: r.incarnation,
      sequence: -1,
      token: 0,
      lastAnsweredMs: this.ctx.nowMs,
      leaseExpired: false,
      lastHeardMs: this.ctx.nowMs,
      // One that nobody has heard of may be a late copy of a machine that is gone: it has to show first that it receives.
      delivery: newDeliveryState(
        this.state.registry.has(r.worker) ||
          this.scaleIn.scaleOut.booting.has(r.worker),
        this.ctx.nowMs,
      ),
      firstSeenMs: this.ctx.nowMs,
      reclaimedAtMs: null,
      tasks: new Map(),
      unconfirmedTasks: new Map(),
      exited: [],
      images: new Map(),
      isReturning: this.state.registry.isReturnWritten(r.worker),
      idleSinceMs: this.ctx.nowMs,
      failedJobs: new Set(),
      avoidUntilMs: 0,
      reservedFor: null,
      unansweredStarts: new Map(),
      commandInFlight: false,
    };
  }

  /**
   * Asks a machine that only seems to send old reports. Its answer is of a moment after the question: if that is older by
   * session and tally than what is known, its process or the whole machine has begun anew, and all that it had is gone.
   */
  private inspect(w: Worker): void {
    const askedMs = this.ctx.nowMs;
    w.delivery.inspecting = true;
    w.delivery.inspectedMs = askedMs;
    this.ctx.inspect(w.address, (r) => {
      w.delivery.inspecting = false;
      if (
        !r ||
        r.worker !== w.id ||
        this.state.workers.get(w.id) !== w ||
        !this.state.mayAct()
      )
        return;
      this.deliveries.noteAnswered(w);
      if (w.lastHeardMs > askedMs) return;
      if (this.deliveries.isAmbiguous(w, r) && r.sequence > w.sequence) {
        if (r.incarnation > w.incarnation)
          this.startIncarnation(w, r.incarnation);
        w.sequence = r.sequence;
        w.token = Math.max(w.token, r.token);
        w.lastHeardMs = this.ctx.nowMs;
        this.reconciliation.reconcile(w, r.tasks, false);
        this.state.noteIdle(w);
        return;
      }
      // A start on its way to it may still be carried out by its new life: until it is known what became of that, its lease counts. One
      // that was answered since the question may have been carried out after this answer was made, which then does not show it.
      if (
        w.commandInFlight ||
        w.delivery.lastCommandMs >= askedMs ||
        (r.incarnation === w.incarnation && w.unansweredStarts.size > 0)
      )
        return;
      if (!this.deliveries.isStale(w, r)) return;
      this.ctx.log("machine restarted", {
        worker: w.id,
        known: [w.incarnation, w.sequence],
        now: [r.incarnation, r.sequence],
        tasks: w.tasks.size,
      });
      this.deliveries.noteRestart(w);
      this.state.releaseAll(w, "machine restarted");
      w.unansweredStarts.clear();
      w.images.clear();
      w.incarnation = r.incarnation;
      w.sequence = r.sequence;
      w.token = r.token;
      w.leaseExpired = false;
      w.lastAnsweredMs = this.ctx.nowMs;
      w.lastHeardMs = this.ctx.nowMs;
      if (!w.isReturning)
        this.state.registry.set(w.id, { isReturning: false, type: w.typeName });
      this.reconciliation.reconcile(w, r.tasks, false);
      this.state.noteIdle(w);
      this.state.needsScheduling = true;
    });
  }

  /** A new session: the worker has killed and forgotten all its tasks, and takes no older message any more. */
  private startIncarnation(w: Worker, incarnation: number): void {
    this.state.releaseAll(w, "new incarnation");
    w.incarnation = incarnation;
    w.sequence = -1;
    w.unansweredStarts.clear();
    w.exited = [];
  }

  /** A spot machine that is about to be taken: what can save does so just in time. */
  private onReclaimNotice(w: Worker): void {
    if (w.reclaimedAtMs === null) return;
    const left = (w.reclaimedAtMs - this.ctx.nowMs) / 1000;
    for (const t of [...w.tasks.values()]) {
      const spec = t.job.view.spec;
      if (
        t.stop ||
        spec.checkpointS <= 0 ||
        left > spec.saveS + 2 * this.ctx.settings.reportS + 2
      )
        continue;
      for (const peer of spec.kind === "gang"
        ? [...t.job.active.values()]
        : [t])
        this.state.stop(peer, spec.saveS + 1, "machine is taken back");
    }
  }

  /** All that this machine should be told now. Every order may be repeated. */
  private commandsFor(w: Worker): Command[] {
    const commands: Command[] = [];
    for (const e of w.exited) {
      const job = this.state.jobs.get(e.job);
      // Clearing a result that is not written yet would have the task run again after a takeover.
      if (
        job &&
        e.cause === "done" &&
        job.finished.has(e.index) &&
        !job.written.has(e.index)
      )
        continue;
      if (w.unansweredStarts.has(attemptKey(e.job, e.index, e.attempt)))
        continue;
      commands.push({
        op: "forget",
        job: e.job,
        index: e.index,
        attempt: e.attempt,
      });
    }
    for (const s of w.unconfirmedTasks.values())
      commands.push({
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
        if (!w.unansweredStarts.has(attemptKey(t.job.id, t.index, t.attempt)))
          continue;
        commands.push({
          op: "start",
          job: t.job.id,
          index: t.index,
          attempt: t.attempt,
        });
        commands.push({
          op: "stop",
          job: t.job.id,
          index: t.index,
          attempt: t.attempt,
          graceS: 0,
        });
      } else if (t.stop) {
        if (!(t.phase === "saving" && t.stop.graceS > 0))
          commands.push({
            op: "stop",
            job: t.job.id,
            index: t.index,
            attempt: t.attempt,
            graceS: t.stop.graceS,
          });
      } else if (t.phase === "ordered") {
        t.timesSent++;
        commands.push({
          op: "start",
          job: t.job.id,
          index: t.index,
          attempt: t.attempt,
        });
      }
    }
    return commands;
  }

  // ---- what others ask -----------------------------------------------------------------------------------

  /** Placing passes made so far. */
  get schedulingRounds(): number {
    return this.scheduler.rounds;
  }

  // ---- time ----------------------------------------------------------------------------------------------

  /** `agreed`: all live controllers go by the same limits. */
  tick(agreed: boolean): void {
    this.state.expireLeases();
    for (const j of this.state.jobs.values()) {
      this.completion.tick(j);
      this.rebalancer.send(j);
    }
    this.state.registry.flush();
    this.scheduler.tick();
    if (this.state.mayAct()) {
      this.rebalancer.tick();
      this.quota.tick(agreed);
      this.shortfallLog.tick();
      this.scaleIn.tick();
      this.capacity.writeIfChanged();
    }
  }
  place(): void {
    this.scheduler.runRound();
  }

  /** Orders that should not wait for the next report go straight to the machines. */
  sendCommands(): void {
    for (const w of this.state.undelivered) {
      this.state.undelivered.delete(w);
      if (
        !this.ctx.tuning.directOrders ||
        w.commandInFlight ||
        w.leaseExpired ||
        w.delivery.unreachableSinceMs !== null ||
        !this.state.mayAct()
      )
        continue;
      // Neither clears, nor a start that is to be stopped at once: both belong into answers, which can't be late.
      const commands = this.commandsFor(w).filter(
        (o) =>
          o.op !== "forget" &&
          !(
            o.op === "start" &&
            w.tasks.get(attemptKey(o.job, o.index, o.attempt))?.stop
          ),
      );
      if (commands.length === 0) continue;
      const keys = commands
        .filter((o) => o.op === "start")
        .map((o) => attemptKey(o.job, o.index, o.attempt));
      const incarnation = w.incarnation;
      for (const k of keys)
        w.unansweredStarts.set(k, (w.unansweredStarts.get(k) ?? 0) + 1);
      w.commandInFlight = true;
      this.ctx.command(
        w.address,
        this.token,
        incarnation,
        commands,
        (reply) => {
          w.commandInFlight = false;
          if (keys.length > 0) w.delivery.lastCommandMs = this.ctx.nowMs;
          if (reply.kind === "answered") this.deliveries.noteAnswered(w);
          if (reply.kind === "unknown" || w.incarnation !== incarnation) return;
          for (const k of keys) {
            const n = (w.unansweredStarts.get(k) ?? 0) - 1;
            if (n > 0) w.unansweredStarts.set(k, n);
            else w.unansweredStarts.delete(k);
          }
        },
      );
    }
  }
}
