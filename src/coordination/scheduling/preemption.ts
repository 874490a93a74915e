/**
 * Decides which running tasks are stopped for a waiting job, because of its higher priority or to restore its team's
 * guarantee. Owns no state: reservations are kept on the machines, reclaims in the quota's records.
 */
import type { Context } from "../context.js";
import type { PartitionState } from "./partition-state.js";
import { NO_USE, type ResourceUse } from "../machines/resource-ledger.js";
import {
  type ResourceAmounts,
  type GuaranteeReclaims,
  type QuotaAllocator,
  withinShare,
} from "../quota/index.js";
import { type JobSpec, PRIORITIES } from "../model.js";
import {
  isAllowedOn,
  addTask,
  type FreeCapacity,
  NO_CAPACITY,
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

const MS_PER_S = 1_000;
/** Work lost by stopping any task, in CPU seconds. */
const RESTART_LOSS_CPU_S = 5;
/** Capacity stays reserved for this many heartbeat intervals, plus a margin, after the victims should be gone. */
const RESERVED_HEARTBEATS = 2;
const RESERVATION_MARGIN_MS = 3_000;

export class Preemption {
  constructor(
    private readonly ctx: Context,
    private readonly state: PartitionState,
    private readonly quota: QuotaAllocator,
    private readonly scaleOut: ScaleOut,
    private readonly reclaims: GuaranteeReclaims,
  ) {}

  /** Whether a task may be stopped for a job of higher priority or to restore a guarantee (PROTOCOL, "Preemption"). */
  private mayPreempt(
    job: JobRun,
    task: TaskRun,
    reclaimable: ReclaimableTeams,
  ): boolean {
    return (
      !task.stop &&
      task.phase !== "saving" &&
      !isGang(task.job) &&
      this.comesBefore(job, task.job, reclaimable)
    );
  }

  private comesBefore(
    job: JobRun,
    running: JobRun,
    reclaimable: ReclaimableTeams,
  ): boolean {
    if (
      PRIORITIES.indexOf(job.view.priority) >
      PRIORITIES.indexOf(running.view.priority)
    )
      return true;
    return reclaimable.has(running.view.spec.team);
  }

  /**
   * Teams from which resources may be reclaimed for the guarantee of the job's team, with the amounts. Counting all machines
   * and reclaims of all partitions, they surely use more than their own guarantee, and the job fits into its team's.
   */
  private teamsToReclaimFrom(job: JobRun, taskCount: number): ReclaimableTeams {
    const { spec } = job.view;
    const teams = new Map<string, ResourceAmounts>();
    if (
      !this.reclaims.mayReclaim(spec.team, [
        spec.cpus * taskCount,
        spec.gpus * taskCount,
      ])
    )
      return teams;
    for (const team of this.ctx.settings.teams.keys()) {
      if (team === spec.team) continue;
      const amounts = this.reclaims.reclaimableFrom(team);
      const [cpus, gpus] = amounts;
      if (cpus > EPSILON || gpus > EPSILON) teams.set(team, amounts);
    }
    return teams;
  }

  /** Whether any job here runs tasks that this one may preempt. Usually none does, so that no machine need be searched. */
  private hasPreemptibleTasks(
    job: JobRun,
    reclaimable: ReclaimableTeams,
  ): boolean {
    for (const running of this.state.jobs.values())
      if (
        running.active.size > 0 &&
        this.comesBefore(job, running, reclaimable)
      )
        return true;
    return false;
  }

  /** Work lost by stopping a task, in CPU seconds. */
  private lostCpuSecondsOf(task: TaskRun): number {
    const { spec } = task.job.view;
    const ranS =
      task.phase === "running"
        ? (this.ctx.nowMs - task.phaseSinceMs) / MS_PER_S
        : 0;
    const lostS = spec.checkpointS > 0 ? spec.saveS : ranS;
    return RESTART_LOSS_CPU_S + lostS * Math.max(1, spec.cpus);
  }

  /**
   * Tasks to stop on one machine so that one of the job's fits, those that lose the least work first; null if that is not
   * possible there. `remaining`: amounts that may still be reclaimed from each team; what the victims use is deducted.
   */
  private victimsOn(
    worker: Worker,
    job: JobRun,
    free: FreeCapacity,
    reclaimable: ReclaimableTeams,
    remaining: Map<string, ResourceAmounts>,
  ): Victims | null {
    const spec = job.view.spec;
    const available = { ...free };
    const victims: TaskRun[] = [];
    let lostCpuS = 0;
    for (const task of [...worker.tasks.values()]
      .filter((candidate) => this.mayPreempt(job, candidate, reclaimable))
      .sort(
        (first, second) =>
          this.lostCpuSecondsOf(first) - this.lostCpuSecondsOf(second),
      )) {
      if (fits(spec, available)) break;
      if (!this.charge(task, job, remaining)) continue;
      victims.push(task);
      lostCpuS += this.lostCpuSecondsOf(task);
      addTask(available, task.job.view.spec);
    }
    return victims.length > 0 && fits(spec, available)
      ? { victims, lostCpuS }
      : null;
  }

  /** Deducts a task that is stopped for a guarantee from what may be reclaimed from its team; false if nothing remains. */
  private charge(
    task: TaskRun,
    job: JobRun,
    remaining: Map<string, ResourceAmounts>,
  ): boolean {
    const { spec, priority } = task.job.view;
    if (PRIORITIES.indexOf(job.view.priority) > PRIORITIES.indexOf(priority))
      return true;
    const teamRemaining = remaining.get(spec.team);
    if (!teamRemaining) return false;
    const [cpus, gpus] = teamRemaining;
    // The last task may exceed the amount, so that no guarantee stays unmet only because of the size of a task.
    const hasRemaining =
      (spec.cpus > 0 && cpus > EPSILON) || (spec.gpus > 0 && gpus > EPSILON);
    if (!hasRemaining) return false;
    remaining.set(spec.team, [cpus - spec.cpus, gpus - spec.gpus]);
    return true;
  }

  /**
   * Preempts tasks for a waiting job that fits nowhere and for which no more machines can be rented: on the machines where the
   * least work is lost, for a gang as many as it lacks, in one zone if the job requires it. The capacity is reserved for the job
   * until the victims are gone.
   */
  preemptFor(
    job: JobRun,
    workers: readonly Worker[],
    free: ReadonlyMap<Worker, FreeCapacity>,
    used: ReadonlyMap<string, ResourceUse>,
  ): void {
    const { spec } = job.view;
    const taskCount = spec.kind === "gang" ? spec.tasks : 1;
    if (
      !this.isEligible(job) ||
      !this.isWithinQuota(spec, taskCount, used) ||
      this.hasReservation(job, workers)
    )
      return;
    const reclaimable = this.teamsToReclaimFrom(job, taskCount);
    if (
      !this.hasPreemptibleTasks(job, reclaimable) ||
      !this.scaleOut.isCapacityExhausted(spec)
    )
      return;
    const usable = workers.filter((worker) => this.mayUse(job, worker));
    const best = this.bestCandidate(job, taskCount, usable, free, reclaimable);
    if (best) this.carryOut(job, taskCount, best);
  }

  private isEligible(job: JobRun): boolean {
    const { spec } = job.view;
    const isGangJob = spec.kind === "gang";
    if (spec.spread || (spec.samePlace && !isGangJob)) return false;
    return !isGangJob || this.state.isWhollyWaiting(job);
  }

  private isWithinQuota(
    spec: JobSpec,
    taskCount: number,
    used: ReadonlyMap<string, ResourceUse>,
  ): boolean {
    return withinShare(
      used.get(spec.team) ?? NO_USE,
      { cpus: spec.cpus * taskCount, gpus: spec.gpus * taskCount },
      this.quota.share(spec.team),
    );
  }

  /** Whether an earlier preemption has already reserved capacity for a job. */
  private hasReservation(job: JobRun, workers: readonly Worker[]): boolean {
    return workers.some(
      (worker) => worker.reservedFor?.job === job.id && this.isReserved(worker),
    );
  }

  private isReserved({ reservedFor }: Worker): boolean {
    return reservedFor !== null && this.ctx.nowMs < reservedFor.untilMs;
  }

  /** Whether a job's tasks may run on a machine once enough of it is free. */
  private mayUse(job: JobRun, worker: Worker): boolean {
    const { spec } = job.view;
    return (
      isAllowedOn(spec, worker.typeName, worker.zone, worker.spot) &&
      isSuitable(spec, worker.type, worker.spot, this.ctx.catalog) &&
      !this.isReserved(worker) &&
      !job.failuresByMachine.has(worker.id)
    );
  }

  /** The tasks whose preemption loses the least work; all in one zone if the job requires it. */
  private bestCandidate(
    job: JobRun,
    taskCount: number,
    usable: readonly Worker[],
    free: ReadonlyMap<Worker, FreeCapacity>,
    reclaimable: ReclaimableTeams,
  ): Candidate | null {
    const { spec } = job.view;
    let best: Candidate | null = null;
    for (const eligible of spec.samePlace ? byZone(usable) : [usable]) {
      const withSlots = eligible.filter((worker) =>
        fits(spec, free.get(worker)!),
      );
      const missingSlots =
        taskCount -
        withSlots.reduce(
          (slots, worker) => slots + fitCount(spec, free.get(worker)!),
          0,
        );
      if (missingSlots <= 0) continue;
      const candidate =
        this.singleTaskVictims(
          job,
          eligible,
          withSlots,
          missingSlots,
          free,
          reclaimable,
        ) ??
        this.gangVictims(
          job,
          eligible,
          withSlots,
          missingSlots,
          free,
          reclaimable,
        );
      if (candidate && (!best || candidate.lostCpuS < best.lostCpuS))
        best = candidate;
    }
    return best;
  }

  /** Single tasks to stop, on the machines where the least work is lost. */
  private singleTaskVictims(
    job: JobRun,
    eligible: readonly Worker[],
    withSlots: readonly Worker[],
    missingSlots: number,
    free: ReadonlyMap<Worker, FreeCapacity>,
    reclaimable: ReclaimableTeams,
  ): Candidate | null {
    const victimsOn = (
      worker: Worker,
      remaining: Map<string, ResourceAmounts>,
    ): Victims | null =>
      this.victimsOn(worker, job, free.get(worker)!, reclaimable, remaining);
    const options = eligible
      .filter((worker) => !withSlots.includes(worker))
      .flatMap((worker) => {
        const found = victimsOn(worker, new Map(reclaimable));
        return found ? [{ worker, lostCpuS: found.lostCpuS }] : [];
      })
      .sort((first, second) => first.lostCpuS - second.lostCpuS);
    if (options.length < missingSlots) return null;
    // The search above judged each machine alone; here what is reclaimed from a team adds up over all machines.
    const remaining = new Map(reclaimable);
    const candidate: Candidate = {
      workers: [...withSlots],
      victims: [],
      lostCpuS: 0,
    };
    let freed = 0;
    for (const { worker } of options) {
      if (freed === missingSlots) break;
      const found = victimsOn(worker, remaining);
      if (!found) continue;
      freed++;
      candidate.workers.push(worker);
      candidate.victims.push(...found.victims);
      candidate.lostCpuS += found.lostCpuS;
    }
    return freed === missingSlots ? candidate : null;
  }

  /**
   * If only gangs can be preempted: the gang that frees enough slots and loses the least work, stopped as a whole with time
   * to save a checkpoint. Gangs that can't save, or that have parts in other partitions, are not preempted.
   */
  private gangVictims(
    job: JobRun,
    eligible: readonly Worker[],
    withSlots: readonly Worker[],
    missingSlots: number,
    free: ReadonlyMap<Worker, FreeCapacity>,
    reclaimable: ReclaimableTeams,
  ): Candidate | null {
    const { spec } = job.view;
    let best: Candidate | null = null;
    for (const gang of this.state.jobs.values()) {
      if (!this.mayPreemptGang(job, gang, reclaimable)) continue;
      const victims = [...gang.active.values()];
      const freedWorkers = [...freeWithout(victims, free)].filter(
        ([worker]) => eligible.includes(worker) && !withSlots.includes(worker),
      );
      const slots = freedWorkers.reduce(
        (sum, [, available]) => sum + fitCount(spec, available),
        0,
      );
      if (slots < missingSlots) continue;
      const lostCpuS = victims.reduce(
        (sum, task) => sum + this.lostCpuSecondsOf(task),
        0,
      );
      if (!best || lostCpuS < best.lostCpuS) {
        const workers = [
          ...withSlots,
          ...freedWorkers.map(([worker]) => worker),
        ];
        best = { workers, victims, lostCpuS };
      }
    }
    return best;
  }

  private mayPreemptGang(
    job: JobRun,
    gang: JobRun,
    reclaimable: ReclaimableTeams,
  ): boolean {
    const { spec } = gang.view;
    if (
      !isGang(gang) ||
      spec.checkpointS <= 0 ||
      gang.active.size < spec.tasks ||
      !reclaimable.has(spec.team) ||
      !this.comesBefore(job, gang, reclaimable)
    )
      return false;
    const tasks = [...gang.active.values()];
    if (tasks.some((task) => task.stop || task.phase !== "running"))
      return false;
    return this.charge(tasks[0]!, job, new Map(reclaimable));
  }

  /** Stops the victims; if any is stopped for a guarantee, only after the reclaim is written. */
  private carryOut(job: JobRun, taskCount: number, candidate: Candidate): void {
    const { spec } = job.view;
    const graceS = Math.max(0, ...candidate.victims.map(saveTimeS));
    const stop = (): void => this.stopVictims(job, candidate, graceS);
    const reclaimed = reclaimedByTeam(job, candidate.victims);
    if (reclaimed.size === 0) return stop();
    this.reclaims.reclaim(
      spec.team,
      [spec.cpus * taskCount, spec.gpus * taskCount],
      reclaimed,
      graceS,
      stop,
    );
  }

  private stopVictims(
    job: JobRun,
    { workers, victims }: Candidate,
    graceS: number,
  ): void {
    // The job may have started or ended while the reclaim was written.
    if (job.isOver || job.waiting.isEmpty) return;
    const untilMs =
      this.ctx.nowMs +
      graceS * MS_PER_S +
      RESERVED_HEARTBEATS * MS_PER_S * this.ctx.settings.reportS +
      RESERVATION_MARGIN_MS;
    for (const worker of workers) worker.reservedFor = { job: job.id, untilMs };
    const active = victims.filter(
      (task) => !task.stop && task.job.active.get(task.index) === task,
    );
    this.ctx.log("preempting tasks", {
      job: job.id,
      team: job.view.spec.team,
      workers: [...new Set(active.map(({ worker }) => worker.id))],
      tasks: active.length,
    });
    for (const task of active) {
      const taskGraceS = isGang(task.job) ? graceS : saveTimeS(task);
      this.state.stop(task, taskGraceS, "preempted");
      // The victim is not started elsewhere a moment later, since the job that it was stopped for comes first there, too.
      task.job.backoffUntilMs = Math.max(task.job.backoffUntilMs, untilMs);
    }
  }
}

/** Teams from which resources may be reclaimed for a guarantee, with the amounts. */
type ReclaimableTeams = ReadonlyMap<string, ResourceAmounts>;

/** Tasks to stop, and the work that this loses. */
interface Victims {
  victims: TaskRun[];
  lostCpuS: number;
}

interface Candidate extends Victims {
  /** Machines that have free slots, or will have them once the victims are gone. */
  workers: Worker[];
}

/** Amounts reclaimed from each team; victims of lower priority do not count as reclaimed. */
function reclaimedByTeam(
  job: JobRun,
  victims: readonly TaskRun[],
): Map<string, ResourceAmounts> {
  const reclaimed = new Map<string, ResourceAmounts>();
  const priority = PRIORITIES.indexOf(job.view.priority);
  for (const task of victims) {
    const { spec, priority: taskPriority } = task.job.view;
    if (priority > PRIORITIES.indexOf(taskPriority)) continue;
    const [cpus, gpus] = reclaimed.get(spec.team) ?? [0, 0];
    reclaimed.set(spec.team, [cpus + spec.cpus, gpus + spec.gpus]);
  }
  return reclaimed;
}

/** Free capacity of the machines of `tasks` once these tasks are gone. */
function freeWithout(
  tasks: readonly TaskRun[],
  free: ReadonlyMap<Worker, FreeCapacity>,
): Map<Worker, FreeCapacity> {
  const freed = new Map<Worker, FreeCapacity>();
  for (const { worker, job } of tasks) {
    const available = freed.get(worker) ?? {
      ...(free.get(worker) ?? NO_CAPACITY),
    };
    addTask(available, job.view.spec);
    freed.set(worker, available);
  }
  return freed;
}

/** Machines grouped by zone, in the order in which the zones first occur. */
function byZone(workers: readonly Worker[]): Worker[][] {
  const zones = new Set(workers.map(({ zone }) => zone));
  return [...zones].map((zone) =>
    workers.filter((worker) => worker.zone === zone),
  );
}

/** Whether a job is a gang of several tasks: if one of them stops, all do. */
const isGang = ({ view: { spec } }: JobRun): boolean =>
  spec.kind === "gang" && spec.tasks > 1;
