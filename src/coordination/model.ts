/**
 * What the core works with: jobs, machines, heartbeats and commands, as they are inside. The wire's and the store's names for them are
 * mapped in their codecs. `S` ends names of durations in seconds, `Gb` those of sizes in GB.
 */

/**
 * `array`: tasks that run independently. `gang`: tasks that run all at once or not at all. `service`: tasks that are started again
 * whenever they exit, until the job is cancelled.
 */
export type JobKind = "array" | "gang" | "service";

/** From the least to the most urgent. */
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
  /** Of each task, as are accelerators and memory. */
  cpus: number;
  gpus: number;
  memGb: number;
  image: string;
  imageGb: number;
  /** null: any. */
  machineTypes: string[] | null;
  /** null: any. */
  zone: string | null;
  /** All tasks run in one zone. */
  samePlace: boolean;
  /** No zone holds more than half of the tasks. */
  spread: boolean;
  /** May run on spot machines. */
  spot: boolean;
  /** Estimated run time of a task. */
  estimateS: number;
  /** Between two checkpoints of a task; 0: it writes none. */
  checkpointS: number;
  /** How long a task that is stopped takes to save its checkpoint. */
  saveS: number;
  /** Counted from the acceptance; null: none. */
  deadlineS: number | null;
}

/** How far a task is on its machine. */
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
  /** null: it has not exited. */
  cause: ExitCause | null;
  checkpointed: boolean;
}

/** What a worker reports of itself and its tasks. */
export interface Heartbeat {
  worker: string;
  address: string;
  type: string;
  zone: string;
  spot: boolean;
  /** Grows with each start of the worker process. */
  incarnation: number;
  /** Grows with each heartbeat of an incarnation. */
  sequence: number;
  /** The fencing token under which the worker was last answered. */
  token: number;
  /** Until the platform takes the machine back; null: no notice was given. */
  noticeS: number | null;
  tasks: ReportedTask[];
}

/** What a leader tells a worker to do with one attempt of a task. `graceS`: time to save a checkpoint. */
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
  /** Of images that were fetched. */
  cacheGb: number;
  fetchGbPerS: number;
  price: number;
  spotPrice: number;
  bootS: number;
  zones: string[];
}

/** A machine in the cloud platform's list of those rented. */
export interface ListedMachine {
  id: string;
  address: string;
  type: string;
  zone: string;
  spot: boolean;
  state: "starting" | "running" | "failed";
  ageS: number;
}

/** What the operators may set; every value has a default (config/operator.ts). */
export interface Tuning {
  /** Of so many tasks served, at least one comes from a waiting queue of long tasks. */
  longEvery: number;
  /** Part of a partition's machines of a type that serves short tasks only. */
  reservedShare: number;
  /** Estimated run time below which a task is short. */
  shortCutoffS: number;
  /** The same for gangs: estimated run time times tasks, since a gang takes all its machines at once. */
  shortGangS: number;
  /** A gang reserves the capacity that it could use already once it has waited this long. */
  holdAfterS: number;
  /** No job waits longer for its first start where it could have had one; 0: no such bound. */
  beginWithinS: number;
  /** Least idle time before a machine is given back. */
  idleReturnS: number;
  /** The same as a multiple of its type's usual boot time. */
  idleBoots: number;
  /** How far back the most machines in use at once counts for what is kept warm. */
  warmWindowS: number;
  /** Machines to have free beyond those in use, as part of them, where a class should start sooner than one boots. */
  spareShare: number;
  /** Part of its time until the deadline that a job waits for a spot machine before an ordinary one is rented. */
  cheapPatience: number;
  /** Time without a heartbeat after which a machine is given back. */
  silentReturnS: number;
  /** Multiple of the type's usual boot time after which a machine that never came up is given back. */
  bootPatience: number;
  /** Send starts straight to the workers as well as in answers to heartbeats. */
  directOrders: boolean;
  /** At equal priority teams within their guarantee come first, then those with the smaller share of it. */
  guaranteeOrder: boolean;
  /** Arrays come in the order of their unfinished tasks in all partitions, and parts of limits follow that order. */
  fleetOrder: boolean;
  /** Limits of teams that the first record has no space for move between partitions: only once no controller of 0.1 can come back. */
  dividedLimits: boolean;
  /** Final records hold what webhooks need, and changes are passed on to those who follow them. */
  tellEnds: boolean;
}

/** What decides when a waiting job is served, beside its description; for a job that others depend on, theirs count as well. */
export interface EffectivePriority {
  /** Time of day when it was accepted. Deadlines count from here. */
  acceptedAt: number;
  /** Time of day when it could start: all other times count from here. */
  readyAt: number;
  /** Its own priority, or the highest of the jobs that depend on it. */
  priority: Priority;
  /** Time of day by which it should be done, so that jobs that depend on it can be in time too; Infinity: no deadline. */
  dueAt: number;
}

/** `req-000412` and 3 make `req-000412/3`. */
export const taskKey = (job: string, index: number): string =>
  `${job}/${index}`;
