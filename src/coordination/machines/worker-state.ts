import type { PendingTransfer } from "../leadership/pending-transfer.js";
import type { JobView } from "../store/job-view.js";
import type { ExitCause, Heartbeat, MachineType, TaskState } from "../model.js";
import { offerKey, type Resources } from "../scheduling/placement.js";
import { RangeSet } from "../jobs/range-set.js";

/** One task on one machine, from the start order until the machine is known not to have it any more. */
export interface TaskRun {
  job: JobRun;
  index: number;
  attempt: number;
  worker: Worker;
  /** `ordered`: no report has shown it yet. */
  phase: "ordered" | Exclude<TaskState, "exited">;
  /** Answers that bore its start. */
  timesSent: number;
  sinceMs: number;
  /** It is to be stopped, with this much time to save. */
  stop: { graceS: number; why: string } | null;
}

/** A job as far as it concerns one group. */
export interface JobRun {
  id: string;
  view: JobView;
  /** Tasks of the job that this group answers for. */
  assigned: RangeSet;
  waiting: RangeSet;
  active: Map<number, TaskRun>;
  /** Finished here, written or not. */
  finished: RangeSet;
  /** Finished here and known to be written. */
  written: RangeSet;
  writing: boolean;
  /** All of its tasks are known to be finished, here or elsewhere: its end is to be written. */
  isComplete: boolean;
  /** When finished tasks were last written. */
  lastWrittenMs: number;
  /** From before this master's token: a task that nobody reports may be running somewhere. */
  predatesLeader: boolean;
  /** Over, or not ours any more: whatever still runs has to go. */
  isOver: boolean;
  finalizing: boolean;
  waitingSinceMs: number;
  backoffUntilMs: number;
  /** A gang in several groups: the attempt that its part here was started under, and whether a record is being written. */
  lastAttempt: number;
  writingGangRecord: boolean;
  /** Machines where it failed, and how often. */
  failuresByMachine: Map<string, number>;
  /** It seems to have been submitted with a mistake, since then; null: no reason to think so. */
  quarantinedSinceMs: number | null;
  /** Tries that ended in failure, its tasks' failures within a moment counted as one; and when the last did. */
  failedTries: number;
  lastFailureMs: number;
  /** Handed to another group by a commit that has not shown yet. */
  pendingTransfer: { tasks: RangeSet; change: PendingTransfer } | null;
}

/** A task on a machine that should not be there. */
export interface UnconfirmedTask {
  worker: Worker;
  job: string;
  index: number;
  attempt: number;
  need: (Resources & { team: string }) | null;
  sinceMs: number;
}

/** What a master knows of whether a machine gets its answers and commands, and of its life before. */
export interface DeliveryState {
  /** It has shown that it gets what this master sends, or was known to run for this group before. */
  proven: boolean;
  /** Since when it gets nothing, as far as its reports say; null: it does. */
  unreachableSinceMs: number | null;
  /** Times that it was found deaf: the more, the longer it has to show the contrary. */
  timesUnreachable: number;
  /** Reports in a row that don't show what answers before them bore. */
  missed: number;
  /** When its present session was first seen. */
  incarnationSinceMs: number;
  /** When it was last asked by `inspect`, and whether that is on its way. */
  inspectedMs: number;
  inspecting: boolean;
  /** It began anew: what its former life had reached at most, and until when late copies of it may come. */
  formerLife: { incarnation: number; sequence: number; untilMs: number } | null;
  /** When the last command with starts that was sent straight to it ended. */
  lastCommandMs: number;
}

export const newDeliveryState = (
  proven: boolean,
  nowMs: number,
): DeliveryState => ({
  proven,
  unreachableSinceMs: null,
  timesUnreachable: 0,
  missed: 0,
  incarnationSinceMs: nowMs,
  inspectedMs: -Infinity,
  inspecting: false,
  formerLife: null,
  lastCommandMs: -Infinity,
});

export interface Worker {
  id: string;
  address: string;
  typeName: string;
  type: MachineType | null;
  zone: string;
  spot: boolean;
  /** Type, zone and kind as one word: machines that share it are alike to every job. */
  offerKey: string;
  /** What is free on it, as last counted; null: something came or went since. */
  free: Readonly<Resources> | null;
  incarnation: number;
  sequence: number;
  token: number;
  /** When its last report was answered with 200: its lease ends no later than lease_s after. */
  lastAnsweredMs: number;
  leaseExpired: boolean;
  /** When a report of it last counted. */
  lastHeardMs: number;
  delivery: DeliveryState;
  firstSeenMs: number;
  reclaimedAtMs: number | null;
  tasks: Map<string, TaskRun>;
  unconfirmedTasks: Map<string, UnconfirmedTask>;
  /** Exited tasks of the last report that wait for a `forget`. */
  exited: {
    job: string;
    index: number;
    attempt: number;
    cause: ExitCause | null;
  }[];
  /** Images it should have, by last use. */
  images: Map<string, { gb: number; usedMs: number }>;
  isReturning: boolean;
  idleSinceMs: number | null;
  /** Jobs that failed here since a task last completed. */
  failedJobs: Set<string>;
  avoidUntilMs: number;
  /** Room made here by stopping others belongs to this job for a while. */
  reservedFor: { job: string; untilMs: number } | null;
  /**
   * Starts sent straight to it whose message was not answered: it may arrive at any time within this session,
   * so a `forget` of such a task could start it again.
   */
  unansweredStarts: Map<string, number>;
  commandInFlight: boolean;
}

/** Time to save for a task that is to be stopped in order; what can't save is stopped at once. */
export function saveTimeS(t: TaskRun): number {
  const spec = t.job.view.spec;
  return spec.checkpointS > 0 ? spec.saveS + 1 : 0;
}

export const attemptKey = (
  job: string,
  index: number,
  attempt: number,
): string => `${job}/${index}#${attempt}`;

export function newJobRun(
  view: JobView,
  predatesLeader: boolean,
  nowMs: number,
): JobRun {
  return {
    id: view.id,
    view,
    assigned: RangeSet.empty(),
    waiting: RangeSet.empty(),
    active: new Map(),
    finished: RangeSet.empty(),
    written: RangeSet.empty(),
    writing: false,
    isComplete: false,
    lastWrittenMs: -Infinity,
    predatesLeader,
    isOver: false,
    finalizing: false,
    waitingSinceMs: nowMs,
    backoffUntilMs: 0,
    lastAttempt: 0,
    writingGangRecord: false,
    failuresByMachine: new Map(),
    quarantinedSinceMs: null,
    failedTries: 0,
    lastFailureMs: -Infinity,
    pendingTransfer: null,
  };
}

/** What a leader knows of a worker before it takes in its first heartbeat. */
export interface WorkerOrigin {
  /** From the catalog; null: not known yet. */
  type: MachineType | null;
  /** Known to run for this partition: it need not show first that it receives. */
  isProven: boolean;
  isReturning: boolean;
  nowMs: number;
}

/** A worker as its first heartbeat describes it, before any of that heartbeat's numbers or tasks count. */
export function newWorker(heartbeat: Heartbeat, origin: WorkerOrigin): Worker {
  const { type, zone, spot } = heartbeat;
  const { nowMs } = origin;
  return {
    id: heartbeat.worker,
    address: heartbeat.address,
    typeName: type,
    type: origin.type,
    zone,
    spot,
    offerKey: offerKey(type, zone, spot),
    free: null,
    incarnation: heartbeat.incarnation,
    sequence: -1,
    token: 0,
    lastAnsweredMs: nowMs,
    leaseExpired: false,
    lastHeardMs: nowMs,
    delivery: newDeliveryState(origin.isProven, nowMs),
    firstSeenMs: nowMs,
    reclaimedAtMs: null,
    tasks: new Map(),
    unconfirmedTasks: new Map(),
    exited: [],
    images: new Map(),
    isReturning: origin.isReturning,
    idleSinceMs: nowMs,
    failedJobs: new Set(),
    avoidUntilMs: 0,
    reservedFor: null,
    unansweredStarts: new Map(),
    commandInFlight: false,
  };
}

/** What is free on a machine, counting all that is or may be on it. The ledger forgets the count when that changes. */
export function freeOn(w: Worker): Resources {
  w.free ??= countFree(w);
  return { cpus: w.free.cpus, gpus: w.free.gpus, memGb: w.free.memGb };
}
function countFree(w: Worker): Resources {
  const free = {
    cpus: w.type?.cpus ?? 0,
    gpus: w.type?.gpus ?? 0,
    memGb: w.type?.memGb ?? 0,
  };
  for (const t of w.tasks.values()) subtract(free, t.job.view.spec);
  for (const s of w.unconfirmedTasks.values()) {
    // A task of a job that nobody knows any more: it may take the whole machine.
    if (s.need) subtract(free, s.need);
    else return { cpus: 0, gpus: 0, memGb: 0 };
  }
  return free;
}

export function subtract(from: Resources, need: Resources): void {
  from.cpus -= need.cpus;
  from.gpus -= need.gpus;
  from.memGb -= need.memGb;
}
