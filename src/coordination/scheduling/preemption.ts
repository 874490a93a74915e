/**
 * Decides which running tasks are stopped for a waiting job that comes first: for its higher priority, or to give a team its
 * guarantee back. Owns no state: reservations are kept on the machines, reclaims in the quota's records.
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

const MS_PER_S = 1_000;
/** What stopping any task loses, in CPU seconds. */
const RESTART_LOSS = 5;
/** Room is reserved for so many heartbeats after the victims should be gone, and for a margin. */
const RESERVED_HEARTBEATS = 2;
const RESERVATION_MARGIN_MS = 3_000;

export class Preemption {
  constructor(
    private readonly ctx: Context,
    private readonly partition: PartitionState,
    private readonly quota: QuotaAllocator,
    private readonly scaleOut: ScaleOut,
    private readonly reclaims: GuaranteeReclaims,
  ) {}

  /** PROTOCOL, "Preemption": for a job of higher priority, or to give a team its guarantee back. */
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
   * Teams that work may be taken of for the guarantee of the job's team, with how much: they are surely beyond their own,
   * all machines and reclaims of all partitions counted, and the job fits into what its team is promised.
   */
  private teamsToReclaimFrom(job: JobRun, want: number): ReclaimableTeams {
    const { spec } = job.view;
    const teams = new Map<string, ResourceAmounts>();
    if (
      !this.reclaims.mayReclaim(spec.team, [spec.cpus * want, spec.gpus * want])
    )
      return teams;
    for (const team of this.ctx.settings.teams.keys()) {
      if (team === spec.team) continue;
      const left = this.reclaims.reclaimableFrom(team);
      const [cpus, gpus] = left;
      if (cpus > EPSILON || gpus > EPSILON) teams.set(team, left);
    }
    return teams;
  }

  /** Whether any job here runs tasks that may be stopped for this one: mostly none does, and no machine need be looked at. */
  private anyBehind(job: JobRun, reclaimable: ReclaimableTeams): boolean {
    for (const running of this.partition.jobs.values())
      if (
        running.active.size > 0 &&
        this.comesBefore(job, running, reclaimable)
      )
        return true;
    return false;
  }

  /** What stopping a task loses, in seconds of its CPUs. */
  private lostWorkOf(task: TaskRun): number {
    const { spec } = task.job.view;
    const ranS =
      task.phase === "running"
        ? (this.ctx.nowMs - task.phaseSinceMs) / MS_PER_S
        : 0;
    const lostS = spec.checkpointS > 0 ? spec.saveS : ranS;
    return RESTART_LOSS + lostS * Math.max(1, spec.cpus);
  }

  /**
   * Tasks to stop on one machine so that one of the job's fits: the least lost first; null: that can't be had there.
   * `left`: what may still be taken of each team for a guarantee.
   */
  private victimsOn(
    worker: Worker,
    job: JobRun,
    free: Resources,
    reclaimable: ReclaimableTeams,
    left: Map<string, ResourceAmounts>,
  ): Victims | null {
    const spec = job.view.spec;
    const room = { ...free };
    const victims: TaskRun[] = [];
    let loss = 0;
    for (const task of [...worker.tasks.values()]
      .filter((candidate) => this.mayPreempt(job, candidate, reclaimable))
      .sort(
        (first, second) => this.lostWorkOf(first) - this.lostWorkOf(second),
      )) {
      if (fits(spec, room)) break;
      if (!this.charge(task, job, left)) continue;
      victims.push(task);
      loss += this.lostWorkOf(task);
      addTo(room, task.job.view.spec);
    }
    return victims.length > 0 && fits(spec, room) ? { victims, loss } : null;
  }

  /** Counts a task against what may be taken of its team, if it is stopped for a guarantee; false: nothing may be any more. */
  private charge(
    task: TaskRun,
    job: JobRun,
    left: Map<string, ResourceAmounts>,
  ): boolean {
    const { spec, priority } = task.job.view;
    if (PRIORITIES.indexOf(job.view.priority) > PRIORITIES.indexOf(priority))
      return true;
    const teamLeft = left.get(spec.team);
    if (!teamLeft) return false;
    const [cpus, gpus] = teamLeft;
    // The last task may go beyond, so that no guarantee stays unmet for the size of a task.
    const isAnyLeft =
      (spec.cpus > 0 && cpus > EPSILON) || (spec.gpus > 0 && gpus > EPSILON);
    if (!isAnyLeft) return false;
    left.set(spec.team, [cpus - spec.cpus, gpus - spec.gpus]);
    return true;
  }

  /**
   * Preempts tasks for a waiting job that fits nowhere, where nothing more can be rented: on the machines where the least
   * is lost, for a gang as many as it lacks, in one zone if it must be. The room is reserved for the job until they are
   * gone.
   */
  consider(
    job: JobRun,
    workers: readonly Worker[],
    free: ReadonlyMap<Worker, Resources>,
    used: ReadonlyMap<string, ResourceUse>,
  ): void {
    const { spec } = job.view;
    const want = spec.kind === "gang" ? spec.tasks : 1;
    if (
      !this.isEligible(job) ||
      !this.isWithinQuota(spec, want, used) ||
      this.hasReservation(job, workers)
    )
      return;
    const reclaimable = this.teamsToReclaimFrom(job, want);
    if (
      !this.anyBehind(job, reclaimable) ||
      !this.scaleOut.isCapacityExhausted(spec)
    )
      return;
    const usable = workers.filter((worker) => this.mayUse(job, worker));
    const best = this.bestCandidate(job, want, usable, free, reclaimable);
    if (best) this.carryOut(job, want, best);
  }

  private isEligible(job: JobRun): boolean {
    const { spec } = job.view;
    const isGangJob = spec.kind === "gang";
    if (spec.spread || (spec.samePlace && !isGangJob)) return false;
    return !isGangJob || this.partition.isWhollyWaiting(job);
  }

  private isWithinQuota(
    spec: JobSpec,
    want: number,
    used: ReadonlyMap<string, ResourceUse>,
  ): boolean {
    return withinShare(
      used.get(spec.team) ?? NO_USE,
      { cpus: spec.cpus * want, gpus: spec.gpus * want },
      this.quota.share(spec.team),
    );
  }

  /** Whether room is being made for a job already. */
  private hasReservation(job: JobRun, workers: readonly Worker[]): boolean {
    return workers.some(
      (worker) => worker.reservedFor?.job === job.id && this.isReserved(worker),
    );
  }

  private isReserved({ reservedFor }: Worker): boolean {
    return reservedFor !== null && this.ctx.nowMs < reservedFor.untilMs;
  }

  /** Whether a job's tasks may run on a machine once there is room. */
  private mayUse(job: JobRun, worker: Worker): boolean {
    const { spec } = job.view;
    return (
      isAllowedOn(spec, worker.typeName, worker.zone, worker.spot) &&
      isSuitable(spec, worker.type, worker.spot, this.ctx.catalog) &&
      !this.isReserved(worker) &&
      !job.failuresByMachine.has(worker.id)
    );
  }

  /** The tasks that lose the least, zone by zone if the job needs one. */
  private bestCandidate(
    job: JobRun,
    want: number,
    usable: readonly Worker[],
    free: ReadonlyMap<Worker, Resources>,
    reclaimable: ReclaimableTeams,
  ): Candidate | null {
    const { spec } = job.view;
    let best: Candidate | null = null;
    for (const here of spec.samePlace ? byZone(usable) : [usable]) {
      const rooms = here.filter((worker) => fits(spec, free.get(worker)!));
      const lacking =
        want -
        rooms.reduce(
          (places, worker) => places + fitCount(spec, free.get(worker)!),
          0,
        );
      if (lacking <= 0) continue;
      const candidate =
        this.tasksFor(job, here, rooms, lacking, free, reclaimable) ??
        this.gangFor(job, here, rooms, lacking, free, reclaimable);
      if (candidate && (!best || candidate.loss < best.loss)) best = candidate;
    }
    return best;
  }

  /** Single tasks, machine by machine, where the least is lost. */
  private tasksFor(
    job: JobRun,
    here: readonly Worker[],
    rooms: readonly Worker[],
    lacking: number,
    free: ReadonlyMap<Worker, Resources>,
    reclaimable: ReclaimableTeams,
  ): Candidate | null {
    const victimsOn = (
      worker: Worker,
      left: Map<string, ResourceAmounts>,
    ): Victims | null =>
      this.victimsOn(worker, job, free.get(worker)!, reclaimable, left);
    const options = here
      .filter((worker) => !rooms.includes(worker))
      .flatMap((worker) => {
        const found = victimsOn(worker, new Map(reclaimable));
        return found ? [{ worker, loss: found.loss }] : [];
      })
      .sort((first, second) => first.loss - second.loss);
    if (options.length < lacking) return null;
    // Chosen in this order, what may be taken of a team is charged once for all machines.
    const left = new Map(reclaimable);
    const candidate: Candidate = { workers: [...rooms], victims: [], loss: 0 };
    let freed = 0;
    for (const { worker } of options) {
      if (freed === lacking) break;
      const found = victimsOn(worker, left);
      if (!found) continue;
      freed++;
      candidate.workers.push(worker);
      candidate.victims.push(...found.victims);
      candidate.loss += found.loss;
    }
    return freed === lacking ? candidate : null;
  }

  /**
   * Where only gangs can be preempted: the one that loses the least and makes enough room, whole and by an orderly stop.
   * One that can't save, or that other partitions have a part of, is left alone.
   */
  private gangFor(
    job: JobRun,
    here: readonly Worker[],
    rooms: readonly Worker[],
    lacking: number,
    free: ReadonlyMap<Worker, Resources>,
    reclaimable: ReclaimableTeams,
  ): Candidate | null {
    const { spec } = job.view;
    let best: Candidate | null = null;
    for (const gang of this.partition.jobs.values()) {
      if (!this.mayPreemptGang(job, gang, reclaimable)) continue;
      const victims = [...gang.active.values()];
      const freeing = [...freeWithout(victims, free)].filter(
        ([worker]) => here.includes(worker) && !rooms.includes(worker),
      );
      const places = freeing.reduce(
        (sum, [, room]) => sum + fitCount(spec, room),
        0,
      );
      if (places < lacking) continue;
      const loss = victims.reduce(
        (sum, task) => sum + this.lostWorkOf(task),
        0,
      );
      if (!best || loss < best.loss) {
        const workers = [...rooms, ...freeing.map(([worker]) => worker)];
        best = { workers, victims, loss };
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

  /** Stops the victims; those that are stopped for a guarantee only once the reclaim is written. */
  private carryOut(job: JobRun, want: number, candidate: Candidate): void {
    const { spec } = job.view;
    const graceS = Math.max(0, ...candidate.victims.map(saveTimeS));
    const stop = (): void => this.stopVictims(job, candidate, graceS);
    const reclaimed = reclaimedByTeam(job, candidate.victims);
    if (reclaimed.size === 0) return stop();
    this.reclaims.reclaim(
      spec.team,
      [spec.cpus * want, spec.gpus * want],
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
    // It may have begun, or ended, while the reclaim was written.
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
      this.partition.stop(task, taskGraceS, "preempted");
      // It does not come up elsewhere a moment later: whoever it was stopped for comes first there, too.
      task.job.backoffUntilMs = Math.max(task.job.backoffUntilMs, untilMs);
    }
  }
}

/** Teams that work may be taken of for a guarantee, with how much. */
type ReclaimableTeams = ReadonlyMap<string, ResourceAmounts>;

/** Tasks to stop, and what that loses in CPU seconds. */
interface Victims {
  victims: TaskRun[];
  loss: number;
}

interface Candidate extends Victims {
  /** Where the room is, or will be. */
  workers: Worker[];
}

/** What is reclaimed of each team: victims of lower priority are no reclaim. */
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

/** What is free on the machines of some tasks once these are gone. */
function freeWithout(
  tasks: readonly TaskRun[],
  free: ReadonlyMap<Worker, Resources>,
): Map<Worker, Resources> {
  const freed = new Map<Worker, Resources>();
  for (const { worker, job } of tasks) {
    const room = freed.get(worker) ?? {
      ...(free.get(worker) ?? { cpus: 0, gpus: 0, memGb: 0 }),
    };
    addTo(room, job.view.spec);
    freed.set(worker, room);
  }
  return freed;
}

/** Machines by zone, in the order in which the zones come up. */
function byZone(workers: readonly Worker[]): Worker[][] {
  const zones = new Set(workers.map(({ zone }) => zone));
  return [...zones].map((zone) =>
    workers.filter((worker) => worker.zone === zone),
  );
}

/** A gang that loses one task loses all. */
const isGang = ({ view: { spec } }: JobRun): boolean =>
  spec.kind === "gang" && spec.tasks > 1;

function addTo(room: Resources, spec: Resources): void {
  room.cpus += spec.cpus;
  room.gpus += spec.gpus;
  room.memGb += spec.memGb;
}
