/**
 * Leads one partition: connects scheduling, scale-in and -out, quota, reconciliation and completion through one
 * `PartitionState`, and receives heartbeats and job changes for all of them.
 */

import type { Context } from "../context.js";
import type { Answer } from "../effects.js";
import { FailureTracker } from "../machines/failure-tracker.js";
import { JobCompletion } from "../jobs/job-completion.js";
import { Autoscaler } from "../machines/autoscaler.js";
import { PartitionState } from "./partition-state.js";
import {
  Guarantees,
  GuaranteeReclaims,
  QuotaAllocator,
  GuaranteeShortfallLog,
} from "../quota/index.js";
import type { JobView } from "../store/job-view.js";
import { type Command, type Heartbeat, taskKey } from "../model.js";
import { Rebalancer } from "./rebalancer.js";
import { offerKey } from "./placement.js";
import { Scheduler } from "./scheduler.js";
import { Preemption } from "./preemption.js";
import { RangeSet } from "../jobs/range-set.js";
import { CommandSender } from "../machines/command-sender.js";
import { DeliveryTracker } from "../machines/delivery-tracker.js";
import { MachineInspection } from "../machines/inspection.js";
import { Reconciliation } from "../machines/reconciliation.js";
import { CapacityReport } from "./capacity-report.js";
import { RateLimitedLog } from "../../logging/rate-limited-log.js";
import { commandsForWorker } from "../machines/worker-commands.js";
import {
  attemptKey,
  type JobRun,
  newJobRun,
  newWorker,
  type Worker,
} from "../machines/worker-state.js";

/** Delay after which a worker is asked to send another heartbeat if one could not be used. */
const RETRY_AFTER_S = 1;

const STALE_ANSWER: Answer = {
  kind: "retryLater",
  afterS: RETRY_AFTER_S,
  reason: "late report",
};

/**
 * The leader of one partition under one fencing token. Only it starts tasks on the partition's machines. It begins with
 * the records in the store, learns from heartbeats which tasks run, and is dropped as soon as the token is lost.
 */
export class PartitionLeader {
  readonly state: PartitionState;
  private readonly autoscaler: Autoscaler;
  readonly quota: QuotaAllocator;
  readonly guarantees: Guarantees;
  readonly reclaims: GuaranteeReclaims;
  private readonly rebalancer: Rebalancer;
  private readonly shortfallLog: GuaranteeShortfallLog;
  private readonly scheduler: Scheduler;
  private readonly completion: JobCompletion;
  readonly capacityReport: CapacityReport;
  private readonly deliveries: DeliveryTracker;
  private readonly reconciliation: Reconciliation;
  private readonly contradictions: RateLimitedLog;
  private readonly inspection: MachineInspection;
  private readonly commandSender: CommandSender;
  /** Number of heartbeats ignored because they were no newer than the known status, or came from a returned machine. */
  staleHeartbeats = 0;

  constructor(
    private readonly ctx: Context,
    readonly partition: string,
    readonly token: number,
    mayAct: () => boolean,
  ) {
    const state = new PartitionState(ctx, partition, token, mayAct);
    this.state = state;
    this.deliveries = new DeliveryTracker(ctx, token);
    this.contradictions = new RateLimitedLog(ctx);
    this.quota = new QuotaAllocator(ctx, state, (spec) =>
      this.autoscaler.scaleOut.canGetSlot(spec),
    );
    this.guarantees = new Guarantees(ctx, state);
    this.autoscaler = new Autoscaler(ctx, state, this.quota);
    const { scaleOut } = this.autoscaler;
    this.rebalancer = new Rebalancer(ctx, state, scaleOut, this.quota);
    this.reclaims = new GuaranteeReclaims(ctx, state, this.guarantees);
    this.shortfallLog = new GuaranteeShortfallLog(
      ctx,
      state,
      this.quota,
      this.guarantees,
      this.reclaims,
      (spec) => scaleOut.isCapacityExhausted(spec),
    );
    this.scheduler = new Scheduler(
      ctx,
      state,
      this.quota,
      this.guarantees,
      new Preemption(ctx, state, this.quota, scaleOut, this.reclaims),
    );
    this.completion = new JobCompletion(ctx, state);
    const failures = new FailureTracker(ctx, state, (worker, reason) =>
      this.autoscaler.returnWorker(worker, reason),
    );
    this.reconciliation = new Reconciliation(
      ctx,
      state,
      this.deliveries,
      this.completion,
      failures,
    );
    this.capacityReport = new CapacityReport(ctx, state, this.quota, scaleOut);
    this.inspection = new MachineInspection(
      ctx,
      state,
      this.deliveries,
      this.reconciliation,
    );
    this.commandSender = new CommandSender(
      ctx,
      state,
      this.deliveries,
      (worker, maySend) => this.commandsFor(worker, maySend),
    );
    this.resumeReturns();
    for (const view of ctx.cache.jobs.values()) this.syncJob(view, true);
  }

  /**
   * Returns the machines that a former leader marked for return, since it is not known whether it returned them. Once the
   * cloud confirms that such a machine is gone, the failover fence no longer waits for it.
   */
  private resumeReturns(): void {
    for (const [id, entry] of this.state.registry.machines())
      if (entry.isReturning)
        this.autoscaler.returnMachine(
          id,
          entry.type,
          "marked for return by a former leader",
        );
  }

  /**
   * Times that a heartbeat lacked a task because it was made before the task's start command was answered, but arrived after that
   * answer.
   */
  get overtakenHeartbeats(): number {
    return this.reconciliation.overtakenHeartbeats;
  }

  /** Attempts that machines reported as started although this leader had ended them or never gave them. */
  get unexpectedStarts(): number {
    return this.reconciliation.unexpectedStarts;
  }

  // ---- jobs ----------------------------------------------------------------------------------------------

  /** Updates a job from the store cache. `predatesLeader`: the job existed before this leader acquired its token. */
  syncJob(view: JobView, predatesLeader = false): void {
    const assigned = view.assignment.get(this.partition) ?? RangeSet.empty();
    const existing = this.state.jobs.get(view.id);
    if (!existing && assigned.isEmpty) return;
    const job = existing ?? this.addJob(view, predatesLeader);
    const written = this.ctx.cache
      .finishedByPartition(view.id)
      .get(this.partition);
    if (written) {
      job.writtenFinished.addAll(written);
      job.finished.addAll(written);
    }
    const transfer = job.pendingTransfer;
    if (transfer && view.revision > transfer.change.baseRevision)
      job.pendingTransfer = null;
    job.assigned = assigned.clone();
    // A gang's tasks complete together, so a completion written by any partition applies to all of them.
    if (
      view.spec.kind === "gang" &&
      this.ctx.cache.finishedByPartition(view.id).size > 0
    )
      job.finished.addAll(job.assigned);
    this.state.recomputeWaiting(job);
    this.completion.writeProgress(job);
  }

  private addJob(view: JobView, predatesLeader: boolean): JobRun {
    const job = newJobRun(view, predatesLeader, this.ctx.nowMs);
    this.state.jobs.set(view.id, job);
    this.autoscaler.noteJob(view.spec);
    return job;
  }

  /** Removes a job that has ended or is no longer assigned to this partition, and stops its running tasks. */
  removeJob(id: string): void {
    const job = this.state.jobs.get(id);
    if (!job) return;
    job.isOver = true;
    job.waiting = RangeSet.empty();
    this.state.jobs.delete(id);
    for (const task of job.active.values())
      this.state.stop(task, 0, "job over");
    this.state.needsScheduling = true;
  }

  // ---- heartbeats ----------------------------------------------------------------------------------------

  /**
   * Updates the status of a machine and its tasks from a heartbeat, and answers with the commands for it. May only be called
   * while the leadership lease is valid.
   */
  handleHeartbeat(heartbeat: Heartbeat): Answer {
    const knownWorker = this.state.workers.get(heartbeat.worker);
    const earlyAnswer = knownWorker
      ? this.answerIfUnusable(knownWorker, heartbeat)
      : this.answerIfReturned(heartbeat);
    if (earlyAnswer) return earlyAnswer;
    const worker = knownWorker ?? this.addWorker(heartbeat);
    const wasUsable = this.state.isUsable(worker);
    this.noteHeartbeat(worker, heartbeat);
    this.reconciliation.reconcile(worker, heartbeat.tasks);
    if (worker.commandFence.hasIssued(heartbeat.token))
      this.state.markAccountedFor(worker.id);
    this.state.noteIdle(worker);
    this.saveBeforeReclaim(worker);
    // A heartbeat alone requires no scheduling round: one was already requested if it showed that a task ended or is lost.
    if (!wasUsable && this.state.isUsable(worker))
      this.state.needsScheduling = true;
    if (this.deliveries.mayProbe(worker)) this.inspection.inspect(worker);
    this.scheduler.runRound();
    this.state.workersWithPendingCommands.delete(worker);
    return this.answerWithCommands(worker);
  }

  /** The answer to a heartbeat of a known worker that must not update its status; null if it may. */
  private answerIfUnusable(
    worker: Worker,
    heartbeat: Heartbeat,
  ): Answer | null {
    if (!isSameMachine(worker, heartbeat))
      return this.answerToContradiction(worker, heartbeat);
    if (this.deliveries.isAmbiguous(worker, heartbeat))
      return this.answerToAmbiguous(worker, heartbeat);
    if (!this.deliveries.isStale(worker, heartbeat)) return null;
    this.noteStale(heartbeat, worker);
    if (this.deliveries.mayHaveForgottenTokens(worker, heartbeat))
      this.inspection.fence(worker, heartbeat.incarnation);
    else if (this.deliveries.mayInspect(worker))
      this.inspection.inspect(worker);
    return STALE_ANSWER;
  }

  /** The answer to a heartbeat of a machine that was returned; null if the machine is new. */
  private answerIfReturned(heartbeat: Heartbeat): Answer | null {
    if (!this.autoscaler.isReturned(heartbeat.worker)) return null;
    this.noteStale(heartbeat, null);
    return STALE_ANSWER;
  }

  /** Machine names are unique and machines don't change, so a heartbeat that contradicts the known machine is ignored. */
  private answerToContradiction(worker: Worker, heartbeat: Heartbeat): Answer {
    const { type, zone, spot } = heartbeat;
    this.contradictions.warn(
      "heartbeat contradicts known machine",
      heartbeat.worker,
      { known: worker.offerKey, received: offerKey(type, zone, spot) },
    );
    return {
      kind: "retryLater",
      afterS: RETRY_AFTER_S,
      reason: "contradicts what is known of the machine",
    };
  }

  /** Answers a heartbeat that a restarted machine may have sent before its restart: the machine's status is queried. */
  private answerToAmbiguous(worker: Worker, heartbeat: Heartbeat): Answer {
    if (this.deliveries.mayInspect(worker, false))
      this.inspection.inspect(worker);
    // Invariant (ran_twice): an incarnation that is not known yet gets no commands. If it carried out a start, the task would
    // be considered lost with the previous incarnation and started again.
    if (heartbeat.incarnation > worker.incarnation)
      return {
        kind: "retryLater",
        afterS: RETRY_AFTER_S,
        reason: "asking the machine itself",
      };
    worker.lastAnsweredMs = this.ctx.nowMs;
    return this.answerWithCommands(worker);
  }

  /** Counts and logs a late heartbeat: its task list is outdated, and the worker no longer waits for the answer. */
  private noteStale(heartbeat: Heartbeat, worker: Worker | null): void {
    this.staleHeartbeats++;
    this.ctx.log("stale heartbeat ignored", {
      worker: heartbeat.worker,
      incarnation: heartbeat.incarnation,
      sequence: heartbeat.sequence,
      known: worker
        ? [worker.incarnation, worker.sequence, worker.token]
        : "gone",
      lost: worker?.leaseExpired,
    });
  }

  private answerWithCommands(worker: Worker): Answer {
    this.state.fencingTokens.raiseIfNeeded(worker);
    const commands = this.commandsFor(worker);
    for (const command of commands)
      if (command.op === "forget") this.logRemoval(worker, command);
    return { kind: "commands", token: worker.commandFence.token, commands };
  }

  private logRemoval(worker: Worker, command: Command): void {
    const { job, index, attempt } = command;
    const { commandFence } = worker;
    const start = commandFence.lastSent(attemptKey(job, index, attempt));
    this.ctx.log("removing exited task from its worker", {
      task: taskKey(job, index),
      attempt,
      worker: worker.id,
      incarnation: worker.incarnation,
      token: commandFence.token,
      startToken: start?.token ?? null,
    });
  }

  private addWorker(heartbeat: Heartbeat): Worker {
    const { registry } = this.state;
    const id = heartbeat.worker;
    const worker = newWorker(heartbeat, {
      type: this.ctx.catalog?.find((t) => t.name === heartbeat.type) ?? null,
      // The heartbeat of an unknown machine may be a late copy from one that is gone, so it first has to prove that it receives.
      isProven: registry.has(id) || this.autoscaler.scaleOut.booting.has(id),
      isReturning: registry.isReturnWritten(id),
      token: this.token,
      nowMs: this.ctx.nowMs,
    });
    this.state.workers.set(worker.id, worker);
    this.autoscaler.onMachineUp(worker);
    return worker;
  }

  /** Updates the worker itself from its heartbeat; its tasks are reconciled afterwards. */
  private noteHeartbeat(worker: Worker, heartbeat: Heartbeat): void {
    const isNewIncarnation = heartbeat.incarnation > worker.incarnation;
    this.deliveries.noteHeartbeat(worker, heartbeat, isNewIncarnation);
    if (isNewIncarnation)
      this.state.startIncarnation(worker, heartbeat.incarnation);
    this.logHigherToken(worker, heartbeat);
    this.noteLiveness(worker, heartbeat);
    this.noteLeaseRenewal(worker);
    if (!worker.type) this.lookUpType(worker);
    this.state.registerUnlessReturning(worker);
  }

  private logHigherToken(worker: Worker, heartbeat: Heartbeat): void {
    if (heartbeat.token <= worker.commandFence.token) return;
    this.ctx.log("worker has seen a higher fencing token", {
      worker: worker.id,
      token: heartbeat.token,
      ownToken: worker.commandFence.token,
      sequence: heartbeat.sequence,
      incarnation: heartbeat.incarnation,
    });
  }

  private noteLiveness(worker: Worker, heartbeat: Heartbeat): void {
    const nowMs = this.ctx.nowMs;
    const { noticeS } = heartbeat;
    worker.sequence = heartbeat.sequence;
    worker.token = Math.max(worker.token, heartbeat.token);
    worker.commandFence.noteShownToken(worker.token);
    worker.address = heartbeat.address;
    worker.reclaimedAtMs = noticeS === null ? null : nowMs + noticeS * 1000;
    worker.lastAnsweredMs = nowMs;
    worker.lastStatusMs = nowMs;
  }

  private noteLeaseRenewal(worker: Worker): void {
    if (!worker.leaseExpired) return;
    worker.leaseExpired = false;
    this.ctx.log("worker returned after lease expiry", {
      worker: worker.id,
      incarnation: worker.incarnation,
    });
  }

  /** Looks up the worker's type again, since the catalog may have been read only after its first heartbeat. */
  private lookUpType(worker: Worker): void {
    worker.type =
      this.ctx.catalog?.find((t) => t.name === worker.typeName) ?? null;
    worker.free = null;
  }

  /** On a spot machine that is about to be reclaimed, stops the tasks that can save a checkpoint just in time to do so. */
  private saveBeforeReclaim(worker: Worker): void {
    if (worker.reclaimedAtMs === null) return;
    const remainingS = (worker.reclaimedAtMs - this.ctx.nowMs) / 1000;
    for (const task of [...worker.tasks.values()]) {
      const { spec } = task.job.view;
      const saveWithinS = spec.saveS + 2 * this.ctx.settings.reportS + 2;
      if (task.stop || spec.checkpointS <= 0 || remainingS > saveWithinS)
        continue;
      const peers =
        spec.kind === "gang" ? [...task.job.active.values()] : [task];
      for (const peer of peers)
        this.state.stop(peer, spec.saveS + 1, "machine is taken back");
    }
  }

  // ---- commands ------------------------------------------------------------------------------------------

  /** The commands for the next message to a machine, as far as `maySend` allows them. */
  private commandsFor(
    worker: Worker,
    maySend?: (command: Command) => boolean,
  ): Command[] {
    return commandsForWorker(worker, this.state.jobs, maySend);
  }

  /** Sends commands that should not wait for the next heartbeat directly to the machines. */
  sendCommands(): void {
    this.commandSender.sendUndelivered();
  }

  // ---- scheduling and time -------------------------------------------------------------------------------

  /** Number of scheduling rounds run so far. */
  get schedulingRounds(): number {
    return this.scheduler.rounds;
  }

  /** Runs a scheduling round if one is needed and due. */
  runSchedulingRound(): void {
    this.scheduler.runRound();
  }

  /** Periodic work. `limitsAgreed`: all live controllers use the same team limits. */
  tick(limitsAgreed: boolean): void {
    this.state.expireLeases();
    for (const job of this.state.jobs.values()) {
      this.completion.tick(job);
      this.rebalancer.sendTransfer(job);
    }
    this.state.registry.flush();
    this.inspection.tick();
    this.scheduler.tick();
    if (this.state.mayAct()) this.tickAsLeader(limitsAgreed);
  }

  /** Work that needs a valid leadership lease. */
  private tickAsLeader(limitsAgreed: boolean): void {
    this.rebalancer.tick();
    this.quota.tick(limitsAgreed);
    this.shortfallLog.tick();
    this.autoscaler.tick();
    this.capacityReport.writeIfNeeded();
  }
}

/**
 * Whether a heartbeat matches the known machine: names are unique, and a machine never changes its type, its zone or whether it
 * is a spot machine.
 */
function isSameMachine(worker: Worker, heartbeat: Heartbeat): boolean {
  return (
    worker.typeName === heartbeat.type &&
    worker.zone === heartbeat.zone &&
    worker.spot === heartbeat.spot
  );
}
