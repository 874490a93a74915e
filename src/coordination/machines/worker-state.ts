/**
 * Types of a partition leader's state: workers, the tasks on them, and its partition's part of each job. `PartitionState` owns the
 * objects.
 */

import type { PendingTransfer } from "../leadership/pending-transfer.js";
import type { JobView } from "../store/job-view.js";
import type { ExitCause, Heartbeat, MachineType, TaskState } from "../model.js";
import {
  capacityOf,
  NO_CAPACITY,
  type FreeCapacity,
  offerKey,
  type Resources,
  subtractTask,
} from "../scheduling/placement.js";
import { RangeSet } from "../jobs/range-set.js";
import { CommandFence } from "./command-fence.js";

/** One task on one machine, from its start command until the machine is known not to have it any more. */
export interface TaskRun {
  job: JobRun;
  index: number;
  attempt: number;
  worker: Worker;
  /** `ordered`: its start was decided, but no heartbeat has shown the task yet. */
  phase: "ordered" | Exclude<TaskState, "exited">;
  /** How many answers to heartbeats contained its start. */
  timesSent: number;
  /**
   * Sequence of the machine's last answer to a command that contained the task's start. A status with a lower sequence can't show
   * the task. -1 if there was no such answer.
   */
  startAnsweredSequence: number;
  phaseSinceMs: number;
  /** Set when the task is to be stopped, with its time to save a checkpoint. */
  stop: { graceS: number; reason: string } | null;
}

/** One partition's part of a job. */
export interface JobRun {
  id: string;
  view: JobView;
  /** Tasks of the job that are assigned to this partition. */
  assigned: RangeSet;
  waiting: RangeSet;
  active: Map<number, TaskRun>;
  /** Tasks that finished in this partition, stored or not. */
  finished: RangeSet;
  /** Finished tasks that are known to be stored. */
  writtenFinished: RangeSet;
  /** Whether a write of finished tasks is in flight. */
  isWritingFinished: boolean;
  /** All of the job's tasks are known to be finished, in any partition, so its end is to be written. */
  isComplete: boolean;
  /** When finished tasks were last sent to the store. */
  lastFinishedWriteMs: number;
  /** The job existed before this leader's token, so its tasks may run on machines that have not sent a heartbeat yet. */
  predatesLeader: boolean;
  /** The job has ended or has no tasks in this partition any more, so its remaining tasks are stopped. */
  isOver: boolean;
  /** Whether the write of the job's end is in flight. */
  isFinalizing: boolean;
  waitingSinceMs: number;
  backoffUntilMs: number;
  /** For a gang spread over several partitions: the attempt under which this partition's part was last started. */
  lastGangAttempt: number;
  /** For such a gang: whether a write of one of its shared records is in flight. */
  isWritingGangRecord: boolean;
  /** How often the job's tasks failed, by machine id. */
  failuresByMachine: Map<string, number>;
  /** Since when the job has been quarantined as probably faulty; null if it is not. */
  quarantinedSinceMs: number | null;
  /** Number of failures, counting those within `FAILURE_BURST_MS` of each other as one. */
  failureBurstCount: number;
  lastFailureMs: number;
  /** Tasks being transferred to another partition by a commit whose result has not been read yet. */
  pendingTransfer: { tasks: RangeSet; change: PendingTransfer } | null;
}

/** A task that a machine reports but that this leader does not expect there. */
export interface UnconfirmedTask {
  worker: Worker;
  job: string;
  index: number;
  attempt: number;
  /** Its team and resources; null if its job is unknown. */
  need: (Resources & { team: string }) | null;
  firstReportedMs: number;
}

/** A task that ended on a machine and that the machine's heartbeats still list. */
export interface ExitedTask {
  job: string;
  index: number;
  attempt: number;
  cause: ExitCause | null;
}

/** Whether a machine receives the leader's answers and commands, and what is known of the time before its last restart. */
export interface DeliveryState {
  /** The machine has shown that it receives this leader's messages, or was already known to belong to this partition. */
  isProven: boolean;
  /** Since when the machine has been considered unreachable; null if it is considered reachable. */
  unreachableSinceMs: number | null;
  /** How often the machine became unreachable. From the second time on, a direct answer does not make it reachable again. */
  timesUnreachable: number;
  /** Consecutive heartbeats that showed no effect of earlier answers. */
  consecutiveMisses: number;
  /** When the present incarnation was first seen. */
  incarnationSinceMs: number;
  /** When the machine's status was last queried. */
  lastInspectedMs: number;
  /** Whether that query is in flight. */
  isInspecting: boolean;
  /** After a restart: the highest values reached before it, and until when late heartbeats from that time may arrive. */
  previousLifetime: {
    incarnation: number;
    sequence: number;
    untilMs: number;
  } | null;
  /** When the last direct command containing starts ended, with or without an answer. */
  lastCommandMs: number;
}

/** `isProven`: the machine is known to receive this leader's messages. */
export const newDeliveryState = (
  isProven: boolean,
  nowMs: number,
): DeliveryState => ({
  isProven,
  unreachableSinceMs: null,
  timesUnreachable: 0,
  consecutiveMisses: 0,
  incarnationSinceMs: nowMs,
  lastInspectedMs: -Infinity,
  isInspecting: false,
  previousLifetime: null,
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
  /** Key of the machine's type, zone and spot flag. Machines with the same key are equivalent for every job. */
  offerKey: string;
  /** Cached free capacity; null if the worker's tasks or type changed since it was computed. */
  free: Readonly<FreeCapacity> | null;
  incarnation: number;
  sequence: number;
  /** Highest fencing token that the worker has shown. */
  token: number;
  /** When its last heartbeat was answered with 200. Its lease ends at most lease_s later. */
  lastAnsweredMs: number;
  leaseExpired: boolean;
  /** When a heartbeat or status of the worker was last accepted as new. */
  lastStatusMs: number;
  delivery: DeliveryState;
  firstSeenMs: number;
  /** When the cloud will reclaim this spot machine; null if it has given no notice. */
  reclaimedAtMs: number | null;
  tasks: Map<string, TaskRun>;
  unconfirmedTasks: Map<string, UnconfirmedTask>;
  /** Exited tasks in the last heartbeat, which the worker keeps until a `forget`. */
  exited: readonly ExitedTask[];
  /** Images that the machine should have cached, least recently used first. */
  images: Map<string, { sizeGb: number; lastUsedMs: number }>;
  isReturning: boolean;
  idleSinceMs: number | null;
  /** Jobs whose tasks failed on this machine since a task last completed on it. */
  failedJobs: Set<string>;
  avoidUntilMs: number;
  /** Capacity freed by preemption is reserved for this job until this time. */
  reservedFor: { job: string; untilMs: number } | null;
  readonly commandFence: CommandFence;
  commandInFlight: boolean;
}

/** Time in seconds that a task gets to save a checkpoint before it is stopped; 0 if it has no checkpoints. */
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

/** The initial state of a job of which only its record is known. */
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
    failureBurstCount: 0,
    lastFailureMs: -Infinity,
    pendingTransfer: null,
  };
}

/** What a leader knows of a worker before its first heartbeat is processed. */
export interface WorkerOrigin {
  /** From the catalog; null if not known yet. */
  type: MachineType | null;
  /** Whether the worker is known to belong to this partition, so that it need not first show that it receives messages. */
  isProven: boolean;
  isReturning: boolean;
  /** Fencing token of the leader. */
  token: number;
  nowMs: number;
}

/** A worker as described by its first heartbeat, without that heartbeat's sequence, token and tasks. */
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
    lastStatusMs: nowMs,
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
    commandFence: new CommandFence(origin.token),
    commandInFlight: false,
  };
}

/** Free capacity of a machine, counting every task that is or may be on it. `ResourceLedger` invalidates the cached value. */
export function freeOn(worker: Worker): FreeCapacity {
  worker.free ??= countFree(worker);
  const { cpus, gpus, memGb, taskSlots } = worker.free;
  return { cpus, gpus, memGb, taskSlots };
}

function countFree(worker: Worker): Readonly<FreeCapacity> {
  if (!worker.type) return NO_CAPACITY;
  const free = capacityOf(worker.type);
  for (const { job } of worker.tasks.values())
    subtractTask(free, job.view.spec);
  for (const { need } of worker.unconfirmedTasks.values()) {
    // A task of an unknown job may take the whole machine.
    if (!need) return NO_CAPACITY;
    subtractTask(free, need);
  }
  // Exited tasks take no resources, but the machine's heartbeats list them until they are forgotten.
  free.taskSlots -= worker.exited.length;
  return free;
}
