/**
 * Services that the controller provides to the parts of the core, as small interfaces, so that each part declares only those that
 * it needs. The controller implements all of them together as `Context`, and sets the times before each step.
 */
import type { Settings } from "../config/settings.js";
import type { EventLog } from "../logging/events.js";
import type { Condition, Write } from "../protocol/state.js";
import type {
  CallPriority,
  CloudCall,
  CloudReply,
  CommandReply,
  TokenMessage,
} from "./effects.js";
import type { PendingAssignment } from "./jobs/partition-capacity.js";
import type { PartitionMap } from "./leadership/partition-map.js";
import type {
  Command,
  Heartbeat,
  JobSpec,
  MachineType,
  Tuning,
} from "./model.js";
import type { StoreCache } from "./store/store-cache.js";

/** Outcome of a transaction. `unknown`: it may have been applied, or may still be applied later. */
export type TransactionOutcome = "ok" | "conflict" | "refused" | "unknown";

/** The times of the current step. The core has no clock of its own. */
export interface Clock {
  /** Steady (monotonic) time of this step, in ms. */
  nowMs: number;
  /** Time of day of this step, in ms since the epoch. */
  wallMs: number;
}

/** Configuration that is fixed at the start of the process. */
export interface Configuration {
  readonly settings: Settings;
  readonly tuning: Tuning;
  readonly partitions: PartitionMap;
}

/** Machine types that the cloud platform offers. */
export interface MachineCatalog {
  /** null if it has not been read yet. */
  catalog: MachineType[] | null;
}

/** The cache of the store's records. */
export interface StoreView {
  readonly cache: StoreCache;
  /** Age of the cache, in ms. */
  readAgeMs(): number;
}

/** Compare-and-swap transactions at the store. */
export interface StoreTransactions {
  /** Applies the writes if all conditions hold. `done` is called once, in a later step. */
  commit(
    conditions: Condition[],
    writes: Write[],
    priority: CallPriority,
    done: (outcome: TransactionOutcome) => void,
  ): void;
}

/** Calls to the cloud platform. */
export interface CloudCalls {
  /** `done` is called once, in a later step. */
  callCloud(
    call: CloudCall,
    priority: CallPriority,
    done: (reply: CloudReply) => void,
  ): void;
}

/** Calls to workers. */
export interface WorkerCommands {
  /** Sends commands under a fencing token to one incarnation of a worker. */
  sendCommands(
    address: string,
    token: number,
    incarnation: number,
    commands: Command[],
    done: (reply: CommandReply) => void,
  ): void;
  /**
   * Requests a heartbeat directly from a machine. The heartbeat is newer than the request; null if there was no reply. `fence`: the
   * request has the machine see this token first, unless it has seen a higher one or is in another incarnation.
   */
  inspect(
    address: string,
    done: (heartbeat: Heartbeat | null) => void,
    fence?: TokenMessage,
  ): void;
}

/** Tasks assigned to partitions whose capacity records may not include them yet. */
export interface Assignments {
  /** By partition: the assignments since it last wrote its capacity record. */
  readonly pendingAssignments: ReadonlyMap<
    string,
    readonly PendingAssignment[]
  >;
  notePendingAssignment(partition: string, spec: JobSpec, tasks: number): void;
}

/** Partitions that are no longer in the settings. */
export interface LeaderlessTokens {
  /** The fencing token to act under for such a partition; null if this controller may not act for it, or not yet. */
  leaderlessToken(partition: string): number | null;
}

/** All services that the controller provides to the parts of the core. */
export type Context = Clock &
  Configuration &
  MachineCatalog &
  StoreView &
  StoreTransactions &
  CloudCalls &
  WorkerCommands &
  Assignments &
  LeaderlessTokens &
  EventLog;

/** Steady clocks of two machines may drift apart by 0.05%. A wait for a time measured on another machine is multiplied by this. */
export const CLOCK_DRIFT_FACTOR = 1.0015;
/**
 * With a cache older than this no team's guarantee is evaluated, and no partition counts as absent. A watch without changes is
 * renewed every 2 s.
 */
export const STALE_CACHE_MS = 6_000;
