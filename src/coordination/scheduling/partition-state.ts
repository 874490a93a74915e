import type { Condition, Write } from "../../protocol/state.js";
import { heartbeatGapMs } from "../../protocol/workers.js";
import { partitionKey } from "../../storage/records.js";
import { type Backlog, backlogOf } from "./backlog.js";
import {
  type TransactionOutcome,
  type Context,
  CLOCK_DRIFT_FACTOR,
} from "../context.js";
import { CallPriority } from "../effects.js";
import {
  ResourceLedger,
  type ResourceUse,
} from "../machines/resource-ledger.js";
import { type ListedMachine, taskKey } from "../model.js";
import { MachineRegistry } from "../machines/machine-registry.js";
import type { JobRun, TaskRun, Worker } from "../machines/worker-state.js";

/** What the tasks that a machine is known to have take. */
function usageListedOn(w: Worker | undefined): ResourceUse {
  const sum = { cpus: 0, gpus: 0 };
  for (const t of w?.tasks.values() ?? []) {
    sum.cpus += t.job.view.spec.cpus;
    sum.gpus += t.job.view.spec.gpus;
  }
  for (const s of w?.unconfirmedTasks.values() ?? []) {
    sum.cpus += s.need?.cpus ?? 0;
    sum.gpus += s.need?.gpus ?? 0;
  }
  return sum;
}

const LEASE_SLACK_MS = 1_000;
const MACHINE_LIST_SLACK_MS = 500;
/** What a machine of unknown size may use at most, in CPUs and accelerators: more than any limit. */
const UNKNOWN_MACHINE_SIZE = 1e9;
/** Of a group's machines, those that may be replaced at a time for receiving nothing. */
const MAX_REPLACED_SHARE = 0.1;

/**
 * What the master of a group knows under its token: machines, jobs, what is or may be on the machines, what is held for whom, and
 * what a former master may have left running. All parts of a master read it and change it by what is offered here, which
 * keeps it consistent; none of them owns a part of it, and nothing here calls any of them.
 */
export class PartitionState {
  readonly workers = new Map<string, Worker>();
  readonly jobs = new Map<string, JobRun>();
  readonly ledger = new ResourceLedger();
  readonly registry: MachineRegistry;
  /** Something changed that placing goes by. */
  needsScheduling = true;
  /** Machines with orders that they were not told yet. */
  readonly undelivered = new Set<Worker>();
  /** Machines whose room a gang held in the last placing pass. */
  readonly reservedForGangs = new Set<Worker>();
  /** Machines of the former master that have not reported under this token, with their types; null: all accounted for. */
  private failoverFence: Map<string, string> | null;
  /** The roster may lack some of them: the fence also waits for a list of the cloud that names them. */
  private fenceAwaitsMachineList: boolean;
  private readonly startedMs: number;

  constructor(
    private readonly ctx: Context,
    readonly partition: string,
    readonly token: number,
    /** Whether this controller may act for the group at this moment. */
    readonly mayAct: () => boolean,
  ) {
    this.startedMs = ctx.nowMs;
    this.registry = new MachineRegistry(
      ctx,
      partition,
      (conditions, writes, done) =>
        this.commit(conditions, writes, CallPriority.Leader, done),
      () => {
        this.needsScheduling = true;
      },
    );
    // Invariant (rules ran_twice, quota, wrong_place): whatever a former master may have started counts as
    // running until every machine it could have used has spoken under this token or is past its lease.
    this.failoverFence = new Map();
    for (const [id, { type }] of this.registry.machines())
      this.failoverFence.set(id, type);
    this.fenceAwaitsMachineList = this.registry.mayLackMachines;
    if (this.failoverFence.size === 0 && !this.fenceAwaitsMachineList)
      this.failoverFence = null;
  }

  /** Every commit of a master depends on its token, so that a late one changes nothing after a takeover. */
  commit(
    conditions: Condition[],
    writes: Write[],
    priority: CallPriority,
    done: (end: TransactionOutcome) => void,
  ): void {
    this.ctx.commit(
      [
        { key: partitionKey(this.partition), version: this.token },
        ...conditions,
      ],
      writes,
      priority,
      done,
    );
  }

  // ---- tasks ---------------------------------------------------------------------------------------------

  requeue(t: TaskRun): void {
    const { job, index } = t;
    if (job.active.get(index) === t) job.active.delete(index);
    this.ledger.remove(t);
    if (
      !job.isOver &&
      job.assigned.has(index) &&
      !job.finished.has(index) &&
      !job.pendingTransfer?.tasks.has(index)
    ) {
      if (job.waiting.isEmpty) job.waitingSinceMs = this.ctx.nowMs;
      job.waiting.add(index);
    }
    this.noteIdle(t.worker);
    this.needsScheduling = true;
  }

  /** What waits of a job: all of this group's part that is neither finished, nor on a machine, nor being handed over. */
  recomputeWaiting(job: JobRun): void {
    const waiting = job.assigned.clone();
    waiting.removeAll(job.finished);
    for (const i of job.active.keys()) waiting.remove(i);
    if (job.pendingTransfer) waiting.removeAll(job.pendingTransfer.tasks);
    if (job.waiting.isEmpty && !waiting.isEmpty)
      job.waitingSinceMs = this.ctx.nowMs;
    job.waiting = waiting;
    this.needsScheduling = true;
  }

  stop(t: TaskRun, graceS: number, why: string): void {
    if (t.stop && t.stop.graceS <= graceS) return;
    t.stop = { graceS, why };
    this.undelivered.add(t.worker);
    this.ctx.log("stopping task", {
      task: taskKey(t.job.id, t.index),
      worker: t.worker.id,
      reason: why,
    });
  }

  mayStart(job: JobRun): boolean {
    return (
      !job.isOver &&
      !job.waiting.isEmpty &&
      this.ctx.nowMs >= job.backoffUntilMs &&
      // See the fence: a task of an older record may be running on a machine that has not spoken yet.
      !(this.failoverFence && job.predatesLeader)
    );
  }

  /** All tasks of the job wait here, and nothing of it is or may be on a machine of the group. */
  isWhollyWaiting(job: JobRun): boolean {
    return (
      job.waiting.size === job.view.spec.tasks &&
      !this.ledger.hasUnconfirmed(job.id)
    );
  }

  runningTasksOf(id: string): number {
    let n = 0;
    for (const t of this.jobs.get(id)?.active.values() ?? [])
      if (t.phase === "running" || t.phase === "saving") n++;
    return n;
  }

  /**
   * Tasks that a job stands back by in the queues: those of an array that are unfinished anywhere in the fleet. By its own
   * waiting part alone, each group served another array first, and with little to share all had begun and few ended.
   */
  unfinishedTasks(job: JobRun): number {
    const { spec } = job.view;
    // Parts of one gang wait for each other: with a turn by its size each, one held what the other came to only much later.
    if (spec.kind === "gang" && spec.spread) return spec.tasks;
    if (spec.kind !== "array" || !this.ctx.tuning.fleetOrder)
      return job.waiting.size;
    return Math.max(
      job.waiting.size,
      spec.tasks - this.ctx.cache.finishedCount(job.id),
    );
  }

  /** Tasks that wait, by kind of machine. */
  backlog(): Backlog {
    return backlogOf(this.jobs.values());
  }

  /** What each team uses in this group, counting all that may be running. */
  usage(): Map<string, ResourceUse> {
    const used = this.ledger.used();
    const blind = this.ledger.unsizedUse();
    const add = (team: string, need: ResourceUse, n = 1): void => {
      const u = used.get(team) ?? { cpus: 0, gpus: 0 };
      u.cpus += need.cpus * n;
      u.gpus += need.gpus * n;
      used.set(team, u);
    };
    if (this.failoverFence) {
      for (const j of this.jobs.values())
        if (j.predatesLeader)
          add(j.view.spec.team, j.view.spec, j.waiting.size);
      // A silent machine may also run tasks of jobs that are over, of any team.
      // One whose report may be a late copy may run more than that lists.
      for (const [id, typeName] of this.failoverFence) {
        const type = this.ctx.catalog?.find((t) => t.name === typeName);
        const known = usageListedOn(this.workers.get(id));
        blind.cpus += Math.max(
          0,
          (type?.cpus ?? UNKNOWN_MACHINE_SIZE) - known.cpus,
        );
        blind.gpus += Math.max(
          0,
          (type?.gpus ?? UNKNOWN_MACHINE_SIZE) - known.gpus,
        );
      }
      if (this.fenceAwaitsMachineList) {
        blind.cpus += UNKNOWN_MACHINE_SIZE;
        blind.gpus += UNKNOWN_MACHINE_SIZE;
      }
    }
    for (const team of this.ctx.settings.teams.keys()) add(team, blind);
    return used;
  }

  // ---- machines ------------------------------------------------------------------------------------------

  noteIdle(w: Worker): void {
    if (w.tasks.size + w.unconfirmedTasks.size > 0) w.idleSinceMs = null;
    else w.idleSinceMs ??= this.ctx.nowMs;
  }

  releaseAll(w: Worker, why: string): void {
    if (w.tasks.size > 0)
      this.ctx.log("tasks lost with worker incarnation", {
        worker: w.id,
        tasks: w.tasks.size,
        reason: why,
      });
    for (const t of [...w.tasks.values()]) this.requeue(t);
    this.ledger.clearUnconfirmed(w);
    this.noteIdle(w);
  }

  /** A new incarnation: the worker has killed and forgotten all its tasks, and takes no older message any more. */
  startIncarnation(worker: Worker, incarnation: number): void {
    this.releaseAll(worker, "new incarnation");
    worker.incarnation = incarnation;
    worker.sequence = -1;
    worker.unansweredStarts.clear();
    worker.exited = [];
  }

  /** Lists a machine in the registry, which it must be in before its first task starts. */
  registerUnlessReturning(worker: Worker): void {
    if (worker.isReturning) return;
    this.registry.set(worker.id, { isReturning: false, type: worker.typeName });
  }

  /** Heard lately enough to expect that it takes orders. */
  private isReachable(w: Worker): boolean {
    return (
      !w.leaseExpired &&
      this.ctx.nowMs - w.lastAnsweredMs <
        2_000 * this.ctx.settings.reportS + 1_000
    );
  }

  /** Most of its workers have not been heard of for longer than a report and its retry take. */
  unreachableIn(): boolean {
    const limit = heartbeatGapMs(this.ctx.settings.reportS);
    let silent = 0;
    let all = 0;
    for (const w of this.workers.values()) {
      if (w.leaseExpired && this.ctx.nowMs - w.lastAnsweredMs > 60_000)
        continue;
      all++;
      if (this.ctx.nowMs - w.lastAnsweredMs > limit) silent++;
    }
    if (all === 0) return this.ctx.nowMs - this.startedMs > limit;
    return silent * 2 > all;
  }

  /** Machines that are heard and receive nothing, as far as known, longest first. */
  unreachableMachines(): Worker[] {
    const out: Worker[] = [];
    for (const w of this.workers.values())
      if (
        w.delivery.unreachableSinceMs !== null &&
        !w.leaseExpired &&
        !w.isReturning
      )
        out.push(w);
    return out.sort(
      (a, b) => a.delivery.unreachableSinceMs! - b.delivery.unreachableSinceMs!,
    );
  }
  /** How many of them are replaced at a time. */
  unreachableBeingReplaced(): number {
    return Math.max(1, Math.ceil(this.workers.size * MAX_REPLACED_SHARE));
  }

  isUsable(w: Worker): boolean {
    return (
      !w.isReturning &&
      w.delivery.proven &&
      w.delivery.unreachableSinceMs === null &&
      w.reclaimedAtMs === null &&
      w.type !== null &&
      this.ctx.nowMs >= w.avoidUntilMs &&
      this.isReachable(w) &&
      this.registry.has(w.id)
    );
  }

  /** Machines that may be used now, and which of them serve short tasks only. */
  usableWorkers(): {
    usable: readonly Worker[];
    reserved: ReadonlySet<string>;
  } {
    const usable: Worker[] = [];
    for (const w of this.workers.values()) if (this.isUsable(w)) usable.push(w);
    // Which are reserved follows from which are usable: mostly the same as the last time, several times a second.
    const last = this.lastUsable;
    if (
      usable.length === last.usable.length &&
      usable.every((w, i) => w === last.usable[i])
    )
      return last;
    return (this.lastUsable = { usable, reserved: this.reserved(usable) });
  }
  private lastUsable: {
    usable: readonly Worker[];
    reserved: ReadonlySet<string>;
  } = { usable: [], reserved: new Set() };

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

  /** What is held for a job is not there for others. */
  isReservedForOther(w: Worker): boolean {
    return (
      this.reservedForGangs.has(w) ||
      (w.reservedFor !== null && this.ctx.nowMs < w.reservedFor.untilMs)
    );
  }

  // ---- the fence, and what is gone -----------------------------------------------------------------------

  /** A former master's tasks are not all accounted for yet. */
  get isFenced(): boolean {
    return this.failoverFence !== null;
  }

  accountFor(id: string): void {
    if (!this.failoverFence) return;
    this.failoverFence.delete(id);
    if (this.failoverFence.size === 0 && !this.fenceAwaitsMachineList)
      this.liftFence("every machine has reported");
  }

  private liftFence(why: string): void {
    this.ctx.log("failover complete", {
      partition: this.partition,
      token: this.token,
      reason: why,
      silent: [...(this.failoverFence?.keys() ?? [])].slice(0, 10),
      afterMs: Math.round(this.ctx.nowMs - this.startedMs),
    });
    this.failoverFence = null;
    this.fenceAwaitsMachineList = false;
    this.registry.confirm();
    this.needsScheduling = true;
  }

  /**
   * Past its lease a machine has killed all its tasks and takes no older message: nothing may run there until it has
   * reported and is in the roster again. Left in the roster, machines that are gone made every later master wait for a
   * whole lease (docs/incidents/tremorline-grown-crashes.md).
   */
  forgetMachine(id: string): void {
    if (!this.registry.isReturnWritten(id)) this.registry.remove(id);
  }

  /** The cloud has said that these machines are gone, with everything on them. */
  machinesGone(ids: readonly string[]): void {
    for (const id of ids) {
      const w = this.workers.get(id);
      if (w) {
        this.releaseAll(w, "machine returned");
        this.workers.delete(id);
      }
      this.registry.remove(id);
      this.accountFor(id);
    }
  }

  /**
   * The cloud's list of this group's machines, as it was at `asOfMs` or later. A machine of the former master was up before
   * this one began, and once listed it stays so until it is gone with everything on it: what a list of this master's time
   * does not show is not waited for. One machine that was taken without notice held up each takeover of hundreds for a
   * whole lease.
   */
  noteMachineList(
    machines: ReadonlyMap<string, ListedMachine>,
    asOfMs: number,
  ): void {
    if (!this.failoverFence || asOfMs < this.startedMs + MACHINE_LIST_SLACK_MS)
      return;
    if (this.fenceAwaitsMachineList) this.fenceListed(machines);
    for (const id of [...(this.failoverFence?.keys() ?? [])]) {
      if (machines.has(id) || this.workers.has(id)) continue;
      this.ctx.log("machine of former leader is gone", {
        worker: id,
      });
      this.forgetMachine(id);
      this.accountFor(id);
    }
  }

  /**
   * Invariant (ran_twice, quota): what the former master may have started runs on machines that were up before this master
   * began, so this list names them, whether the roster does or not. One that stopped of its own accord runs nothing.
   */
  private fenceListed(machines: ReadonlyMap<string, ListedMachine>): void {
    this.fenceAwaitsMachineList = false;
    let added = 0;
    for (const [id, machine] of machines) {
      const hasReported = (this.workers.get(id)?.token ?? 0) >= this.token;
      if (
        machine.state === "failed" ||
        hasReported ||
        this.failoverFence!.has(id)
      )
        continue;
      this.failoverFence!.set(id, machine.type);
      added++;
    }
    this.ctx.log("failover waits for machines missing from the registry", {
      partition: this.partition,
      machines: added,
    });
    if (this.failoverFence!.size === 0)
      this.liftFence("every machine has reported");
  }

  /** Leases that have ended: of the machines that a takeover waits for, and of those that fell silent. */
  expireLeases(): void {
    const now = this.ctx.nowMs;
    const leaseMs =
      this.ctx.settings.leaseS * 1000 * CLOCK_DRIFT_FACTOR + LEASE_SLACK_MS;
    if (this.failoverFence && now - this.startedMs > leaseMs) {
      // Invariant (ran_twice): a machine that has reported, though not under this token yet, may run tasks: it stays.
      for (const id of this.failoverFence.keys())
        if (!this.workers.has(id)) this.forgetMachine(id);
      this.liftFence("leases of silent machines have ended");
    }
    for (const w of this.workers.values()) {
      // Invariant (ran_twice): a machine that was back at once begins a new lease, under the session that it had before if
      // that was its first: a start sent straight to it is carried out then. Its lease began before that command ended.
      if (
        w.leaseExpired ||
        w.commandInFlight ||
        now - Math.max(w.lastAnsweredMs, w.delivery.lastCommandMs) <= leaseMs
      )
        continue;
      w.leaseExpired = true;
      this.ctx.log("worker lease expired", {
        worker: w.id,
        tasks: w.tasks.size,
      });
      this.releaseAll(w, "lease ended");
      this.forgetMachine(w.id);
    }
  }
}
