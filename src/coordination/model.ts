/**
 * The data model of the core: jobs, machines, heartbeats and commands. Their names on the wire and in the store are mapped by the
 * codecs. Names of durations in seconds end with `S`, names of sizes in GB with `Gb`.
 */

/**
 * `array`: tasks that run independently. `gang`: tasks that run all at once or not at all. `service`: tasks that are restarted
 * whenever they exit, until the job is cancelled.
 */
export type JobKind = "array" | "gang" | "service";

/** From the lowest to the highest. */
export const PRIORITIES = ["best_effort", "normal", "high", "prod"] as const;
export type Priority = (typeof PRIORITIES)[number];

/** A job as it was submitted. */
export interface JobSpec {
  id: string;
  jobClass: string;
  team: string;
  kind: JobKind;
  priority: Priority;
  tasks: number;
  /** Per task, as are `gpus` and `memGb`. */
  cpus: number;
  gpus: number;
  memGb: number;
  image: string;
  imageGb: number;
  /** null if any type will do. */
  machineTypes: string[] | null;
  /** null if any zone will do. */
  zone: string | null;
  /** All tasks run in one zone. */
  samePlace: boolean;
  /** No zone holds more than half of the tasks. */
  spread: boolean;
  /** May run on spot machines. */
  spot: boolean;
  /** Estimated run time of a task. */
  estimateS: number;
  /** Interval between two checkpoints of a task; 0 if it writes none. */
  checkpointS: number;
  /** Time that a task needs to save its checkpoint when it is stopped. */
  saveS: number;
  /** Counted from the acceptance of the job; null if there is none. */
  deadlineS: number | null;
}

/** State of a task on its machine. */
export type TaskState =
  "fetching" | "waiting" | "running" | "saving" | "exited";
/** Why a task exited. */
export type ExitCause =
  | "done"
  | "stopped"
  | "peers"
  | "incomplete"
  | "error"
  | "no_room"
  | "busy"
  | "no_such";

/** One task in a heartbeat. */
export interface ReportedTask {
  job: string;
  index: number;
  attempt: number;
  state: TaskState;
  /** null if it has not exited. */
  cause: ExitCause | null;
  checkpointed: boolean;
}

/** A worker's report on itself and its tasks. */
export interface Heartbeat {
  worker: string;
  address: string;
  type: string;
  zone: string;
  spot: boolean;
  /** Grows each time the worker's lease expires; starts anew when the worker process restarts. */
  incarnation: number;
  /** Grows with each heartbeat and each message of commands; starts anew when the worker process restarts. */
  sequence: number;
  /** The highest fencing token that the worker has received since its process started. */
  token: number;
  /** Time until the platform reclaims the machine; null if it has given no notice. */
  noticeS: number | null;
  tasks: ReportedTask[];
}

/** A leader's command to a worker for one attempt of a task. `graceS`: time to save a checkpoint. */
export type Command =
  | { op: "start"; job: string; index: number; attempt: number }
  | { op: "stop"; job: string; index: number; attempt: number; graceS: number }
  | { op: "forget"; job: string; index: number; attempt: number };

/** A type of machine in the cloud platform's catalog. */
export interface MachineType {
  name: string;
  cpus: number;
  gpus: number;
  memGb: number;
  /** Size of the cache of fetched images. */
  cacheGb: number;
  fetchGbPerS: number;
  price: number;
  spotPrice: number;
  bootS: number;
  zones: string[];
}

/** An entry of the cloud platform's list of rented machines. */
export interface ListedMachine {
  id: string;
  address: string;
  type: string;
  zone: string;
  spot: boolean;
  state: "starting" | "running" | "failed";
  ageS: number;
}

/** Settings of the operators; each has a default (config/operator.ts). */
export interface Tuning {
  /** At least one in this many tasks that are started comes from a queue of long tasks, while one is waiting. */
  longEvery: number;
  /** Share of a partition's machines of each type that is reserved for short tasks. */
  reservedShare: number;
  /** Tasks with a shorter estimated run time count as short. */
  shortCutoffS: number;
  /**
   * The same limit for gangs. It applies to the run time multiplied by the number of tasks, since a gang occupies all its
   * machines at once.
   */
  shortGangS: number;
  /** Waiting time after which a gang reserves the capacity that it can already use. */
  holdAfterS: number;
  /** Upper bound on the wait for a job's first start, if it could have started at all; 0 for no bound. */
  beginWithinS: number;
  /** Minimum idle time before a machine is returned. */
  idleReturnS: number;
  /** The same minimum as a multiple of the usual boot time of its type. */
  idleBoots: number;
  /** Length of the period whose peak number of machines in use determines how many are kept warm. */
  warmWindowS: number;
  /** Spare machines, as a share of those in use, where the jobs of a class should start faster than a machine boots. */
  spareShare: number;
  /** Share of the time until its deadline that a job waits for a spot machine before an on-demand one is rented. */
  cheapPatience: number;
  /** Time without a heartbeat after which a machine is returned. */
  silentReturnS: number;
  /** Multiple of the usual boot time of its type after which a machine that has not sent a heartbeat is returned. */
  bootPatience: number;
  /** Start commands are also sent directly to workers, in addition to the replies to heartbeats. */
  directOrders: boolean;
  /** At equal priority, teams within their guarantee come first, then teams that use a smaller share of it. */
  guaranteeOrder: boolean;
  /** Arrays are ordered by their unfinished tasks in all partitions, and quota shares follow that order. */
  fleetOrder: boolean;
  /** Quota shares of teams that do not fit the first quota record also move. Only safe if no controller of 0.1 can come back. */
  dividedLimits: boolean;
  /** Final records contain the data that webhooks need, and changes are published to webhooks. */
  tellEnds: boolean;
}

/** Priority and times that the scheduling of a job depends on, with those of the jobs that depend on it taken into account. */
export interface EffectivePriority {
  /** Time of day of its acceptance. Deadlines count from here. */
  acceptedAt: number;
  /** Time of day from which it could start. All other times count from here. */
  readyAt: number;
  /** Its own priority, or the highest of the jobs that depend on it. */
  priority: Priority;
  /** Time of day by which it should be done for the jobs that depend on it to meet their deadlines; Infinity if there is none. */
  dueAt: number;
}

/** The key of task 3 of job `req-000412` is `req-000412/3`. */
export const taskKey = (job: string, index: number): string =>
  `${job}/${index}`;
