/** The words used inside: job, task, gang, worker, lease, token, attempt, zone, spot. */

export type JobKind = "array" | "gang" | "service";

/** Higher is more urgent. */
export const PRIORITIES = ["best_effort", "normal", "high", "prod"] as const;
export type Priority = (typeof PRIORITIES)[number];

export interface JobSpec {
  id: string;
  jobClass: string;
  team: string;
  kind: JobKind;
  priority: Priority;
  tasks: number;
  cpus: number;
  gpus: number;
  memGb: number;
  image: string;
  imageGb: number;
  machineTypes: string[] | null;
  zone: string | null;
  samePlace: boolean;
  spread: boolean;
  spot: boolean;
  estimateS: number;
  checkpointS: number;
  saveS: number;
  deadlineS: number | null;
}

export type TaskState =
  "fetching" | "waiting" | "running" | "saving" | "exited";
export type ExitCause =
  | "done"
  | "stopped"
  | "peers"
  | "incomplete"
  | "error"
  | "no_room"
  | "busy"
  | "no_such";

export interface ReportedTask {
  job: string;
  index: number;
  attempt: number;
  state: TaskState;
  cause: ExitCause | null;
  checkpointed: boolean;
}

export interface Heartbeat {
  worker: string;
  address: string;
  type: string;
  zone: string;
  spot: boolean;
  incarnation: number;
  sequence: number;
  token: number;
  noticeS: number | null;
  tasks: ReportedTask[];
}

export type Command =
  | { op: "start"; job: string; index: number; attempt: number }
  | { op: "stop"; job: string; index: number; attempt: number; graceS: number }
  | { op: "forget"; job: string; index: number; attempt: number };

export interface MachineType {
  name: string;
  cpus: number;
  gpus: number;
  memGb: number;
  cacheGb: number;
  fetchGbPerS: number;
  price: number;
  spotPrice: number;
  bootS: number;
  zones: string[];
}

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
  /** Of every W tasks served, at least one comes from a waiting long queue. */
  longEvery: number;
  /** Part of a group's machines of a type that serves short tasks only. */
  reservedShare: number;
  /** Estimated run time below which a task is short. */
  shortCutoffS: number;
  /** The same for gangs: estimated run time times tasks, since a gang takes all its machines at once. */
  shortGangS: number;
  /** A waiting gang holds the room that it could use already once it has waited this long. */
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
  /** Time without a report after which a machine is given back. */
  silentReturnS: number;
  /** Multiple of the type's usual boot time after which a machine that never came up is given back. */
  bootPatience: number;
  /** Send starts straight to the workers as well as in report answers. */
  directOrders: boolean;
  /** At equal urgency teams within their guarantee come first, then those with the smaller share of it. */
  guaranteeOrder: boolean;
  /** An array stands back by its unfinished tasks in the whole fleet, and parts of limits follow that order. */
  fleetOrder: boolean;
  /** Limits of teams that the first record has no room for move between groups: only once no controller of 0.1 can come back. */
  dividedLimits: boolean;
  /** Final records hold what hooks need, and changes are passed on to those who follow them. */
  tellEnds: boolean;
}

/** What counts of a waiting job beside its own description; for a job that others need, theirs count as well. */
export interface EffectivePriority {
  /** Time of day when it was accepted. Deadlines count from here. */
  acceptedAt: number;
  /** Time of day when it could start: all other times count from here. */
  readyAt: number;
  /** Its own urgency, or that of the most urgent job that needs it. */
  priority: Priority;
  /** Time of day by which it should be done, so that what needs it can be in time too; Infinity: no deadline. */
  dueAt: number;
}

/** `req-000412` and 3 make `req-000412/3`. */
export const taskKey = (job: string, index: number): string =>
  `${job}/${index}`;
