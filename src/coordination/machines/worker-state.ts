/**
 * Types of what a partition leader knows: workers, the tasks on them, and the jobs as far as they concern its partition.
 * The objects are owned by `PartitionState`.
 */

import type { PendingTransfer } from "../leadership/pending-transfer.js";
import type { JobView } from "../store/job-view.js";
import type { ExitCause, Heartbeat, MachineType, TaskState } from "../model.js";
import { offerKey, type Resources } from "../scheduling/placement.js";
import { RangeSet } from "../jobs/range-set.js";

/** One task on one machine, from the start command until the machine is known not to have it any more. */
export interface TaskRun {
  job: JobRun;
  index: number;
  attempt: number;
  worker: Worker;
  /** `ordered`: no heartbeat has shown it yet. */
  phase: "ordered" | Exclude<TaskState, "exited">;
  /** Answers to heartbeats that contained its start. */
  timesSent: number;
  /**
   * Sequence of the machine's last answer to a command that contained its start: a status made before it can't show the
   * task. -1: no such answer.
   */
  startAnsweredSequence: number;
  phaseSinceMs: number;
  /** It is to be stopped, with this much time to save. */
  stop: { graceS: number; reason: string } | null;
}

/** A job as far as it concerns one partition. */
export interface JobRun {
  id: string;
  view: JobView;
  /** Tasks of the job that are assigned to this partition. */
  assigned: RangeSet;
  waiting: RangeSet;
  active: Map<number, TaskRun>;
  /** Finished here, written or not. */
  finished: RangeSet;
  /** Finished here and known to be written. */
  writtenFinished: RangeSet;
  isWritingFinished: boolean;
  /** All of its tasks are known to be finished, here or elsewhere: its end is to be written. */
  isComplete: boolean;
  /** When finished tasks were last written. */
  lastFinishedWriteMs: number;
  /** From before this leader's token: a task that nobody reports may be running somewhere. */
  predatesLeader: boolean;
  /** Over, or not ours any more: whatever still runs has to go. */
  isOver: boolean;
  isFinalizing: boolean;
  waitingSinceMs: number;
  backoffUntilMs: number;
  /** A gang spread over several partitions: the attempt that its part here was started under, and whether a record is being written. */
  lastGangAttempt: number;
  isWritingGangRecord: boolean;
  /** Machines where it failed, and how often. */
  failuresByMachine: Map<string, number>;
  /** It seems to have been submitted with a mistake, since then; null: no reason to think so. */
  quarantinedSinceMs: number | null;
  /** Tries that ended in failure, its tasks' failures within a moment counted as one; and when the last did. */
  failedTries: number;
  lastFailureMs: number;
  /** Transferred to another partition by a commit whose result has not been read yet. */
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

/** What a leader knows of whether a machine receives its answers and commands, and of its former life. */
export interface DeliveryState {
  /** It has shown that it receives what this leader sends, or was known to run for this partition before. */
  isProven: boolean;
  /** Since when it receives nothing, as far as its heartbeats say; null: it does. */
  unreachableSinceMs: number | null;
  /** Times that it was found unreachable: the more, the longer it has to show the contrary. */
  timesUnreachable: number;
  /** Heartbeats in a row that don't show what answers before them contained. */
  missed: number;
  /** When its present incarnation was first seen. */
  incarnationSinceMs: number;
  /** When its status was last queried by `inspect`, and whether that query is in flight. */
  lastInspectedMs: number;
  inspecting: boolean;
  /** It restarted: what its former life had reached at most, and until when late copies of its heartbeats may come. */
  formerLife: { incarnation: number; sequence: number; untilMs: number } | null;
  /** When the last command with starts that was sent straight to it ended. */
  lastCommandMs: number;
}

/** `proven`: it is known that the machine receives. */
export const newDeliveryState = (
  proven: boolean,
  nowMs: number,
): DeliveryState => ({
  isProven: proven,
  unreachableSinceMs: null,
  timesUnreachable: 0,
  missed: 0,
  incarnationSinceMs: nowMs,
  lastInspectedMs: -Infinity,
  inspecting: false,
  formerLife: null,
  lastCommandMs: -Infinity,
});

/** A machine of the partition and the worker process on it. */
export interface Worker {
  id: string;
  address: string;
  typeName: string;
  type: MachineType | null;
  zone: string;
  spot: boolean;
  /** Type, zone and spot or not as one key: machines that share it are alike to every job. */
  offerKey: string;
  /** What is free on it, as last counted; null: something came or went since. */
  free: Readonly<Resources> | null;
  incarnation: number;
  sequence: number;
  token: number;
  /** When its last heartbeat was answered with 200: its lease ends no later than lease_s after. */
  lastAnsweredMs: number;
  leaseExpired: boolean;
  /** When a heartbeat of it was last news. */
  lastHeardMs: number;
  delivery: DeliveryState;
  firstSeenMs: number;
  reclaimedAtMs: number | null;
  tasks: Map<string, TaskRun>;
  unconfirmedTasks: Map<string, UnconfirmedTask>;
  /** Exited tasks of the last heartbeat that wait for a `forget`. */
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
  /** What was freed here by preemption is reserved for this job for a while. */
  reservedFor: { job: string; untilMs: number } | null;
  /**
   * Starts sent straight to it whose message was not answered: it may arrive at any time within this incarnation,
   * so a `forget` of such a task could start it again.
   */
  unansweredStarts: Map<string, number>;
  commandInFlight: boolean;
}

/** Time to save a checkpoint, in s, for a task that is to be stopped gracefully; what can't save is stopped at once. */
export function saveTimeS(task: TaskRun): number {
  const { spec } = task.job.view;
  return spec.checkpointS > 0 ? spec.saveS + 1 : 0;
}

/** Key of one attempt at one task. */
export const attemptKey = (
  job: string,
  index: number,
  attempt: number,
): string => `${job}/${index}#${attempt}`;

/** A job of which nothing is known here yet but its record. */
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
    writtenFinished: RangeSet.empty(),
    isWritingFinished: false,
    isComplete: false,
    lastFinishedWriteMs: -Infinity,
    predatesLeader,
    isOver: false,
    isFinalizing: false,
    waitingSinceMs: nowMs,
    backoffUntilMs: 0,
    lastGangAttempt: 0,
    isWritingGangRecord: false,
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

/** What is free on a machine, counting all that is or may be on it. `ResourceLedger` drops the cached count when that changes. */
export function freeOn(worker: Worker): Resources {
  worker.free ??= countFree(worker);
  return {
    cpus: worker.free.cpus,
    gpus: worker.free.gpus,
    memGb: worker.free.memGb,
  };
}

function countFree(worker: Worker): Resources {
  const free = {
    cpus: worker.type?.cpus ?? 0,
    gpus: worker.type?.gpus ?? 0,
    memGb: worker.type?.memGb ?? 0,
  };
  for (const { job } of worker.tasks.values()) subtract(free, job.view.spec);
  for (const { need } of worker.unconfirmedTasks.values()) {
    // A task of a job that nobody knows any more: it may take the whole machine.
    if (need) subtract(free, need);
    else return { cpus: 0, gpus: 0, memGb: 0 };
  }
  return free;
}

/** Takes what one task needs from `from`, in place. */
export function subtract(from: Resources, need: Resources): void {
  from.cpus -= need.cpus;
  from.gpus -= need.gpus;
  from.memGb -= need.memGb;
}
