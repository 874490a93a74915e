/**
 * What the parts of the core get from the controller: small interfaces, so that a part can name just those that it needs. The
 * controller provides all of them together as `Context`, and sets the times before each step.
 */
import type { Settings } from "../config/settings.js";
import type { EventLog } from "../logging/events.js";
import type { Condition, Write } from "../protocol/state.js";
import type {
  CallPriority,
  CloudCall,
  CloudReply,
  CommandReply,
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

/** How a transaction ended. `unknown`: it may have been carried out, or may yet be. */
export type TransactionOutcome = "ok" | "conflict" | "refused" | "unknown";

/** The times of the present step: the core has no clock of its own. */
export interface Clock {
  /** Steady time of this step, in ms. */
  nowMs: number;
  /** Time of day of this step, in ms since the epoch. */
  wallMs: number;
}

/** What was set before the start and stays as it is. */
export interface Configuration {
  readonly settings: Settings;
  readonly tuning: Tuning;
  readonly partitions: PartitionMap;
}

/** What the cloud offers. */
export interface MachineCatalog {
  /** null: not read yet. */
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
  /** Carries out the writes if all conditions hold; `done` is called once, in a later step. */
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
  /** Asks a machine itself for its heartbeat: the answer is of a moment after the question; null: none came. */
  inspect(address: string, done: (heartbeat: Heartbeat | null) => void): void;
}

/** Tasks assigned to partitions whose capacity records may not show them yet. */
export interface Assignments {
  /** By partition, since it last wrote its capacity record. */
  readonly pendingAssignments: ReadonlyMap<
    string,
    readonly PendingAssignment[]
  >;
  notePendingAssignment(partition: string, spec: JobSpec, tasks: number): void;
}

/** Partitions that no settings name any more. */
export interface LeaderlessTokens {
  /** The fencing token to act under for such a partition; null: not yet, or another controller does. */
  leaderlessToken(partition: string): number | null;
}

/** All that the parts of the core share. */
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

/** Steady clocks of different machines may drift apart by 0.05%; waiting for another's clock takes this factor. */
export const CLOCK_DRIFT_FACTOR = 1.0015;
/**
 * A cache older than this judges nobody, and says of no partition that it is gone: a watch that shows nothing is renewed every 2 s.
 */
export const STALE_CACHE_MS = 6_000;
