import type { Settings } from "../config/settings.js";
import type { EventLog } from "../logging/events.js";
import type { Condition, Write } from "../protocol/state.js";
import type {
  CloudCall,
  CloudReply,
  CommandReply,
  CallPriority,
} from "./effects.js";
import type { PartitionMap } from "./leadership/partition-map.js";
import type { PendingAssignment } from "./jobs/job-partitioner.js";
import type { StoreCache } from "./store/store-cache.js";
import type {
  JobSpec,
  MachineType,
  Command,
  Heartbeat,
  Tuning,
} from "./model.js";

/** How a commit ended. `unknown`: it may have been carried out, or may yet be. */
export type TransactionOutcome = "ok" | "conflict" | "refused" | "unknown";

/** What the parts of the core share; the controller provides it and sets the times before each step. */
export interface Context extends EventLog {
  readonly settings: Settings;
  readonly tuning: Tuning;
  readonly partitions: PartitionMap;
  readonly cache: StoreCache;
  catalog: MachineType[] | null;
  /** Steady time of this step. */
  nowMs: number;
  /** Time of day of this step, in ms since the epoch. */
  wallMs: number;
  commit(
    conditions: Condition[],
    writes: Write[],
    priority: CallPriority,
    done: (end: TransactionOutcome) => void,
  ): void;
  cloud(
    call: CloudCall,
    priority: CallPriority,
    done: (reply: CloudReply) => void,
  ): void;
  command(
    address: string,
    token: number,
    incarnation: number,
    commands: Command[],
    done: (reply: CommandReply) => void,
  ): void;
  /** Asks a machine itself: the answer is of a moment after the question. */
  inspect(address: string, done: (report: Heartbeat | null) => void): void;
  /** Age of the copy of the state service's records, in ms. */
  readAgeMs(): number;
  /** The token to act under for a group that no settings name any more; null: not yet, or another controller does. */
  leaderlessToken(partition: string): number | null;
  /** Handed to each group, by splits and moves, since it last wrote its room. */
  readonly pendingAssignments: ReadonlyMap<
    string,
    readonly PendingAssignment[]
  >;
  notePendingAssignment(partition: string, spec: JobSpec, tasks: number): void;
}

/** Steady clocks of different machines may drift apart by 0.05%; waiting for another's clock takes this factor. */
export const CLOCK_DRIFT_FACTOR = 1.0015;
/** A copy of the records older than this judges nobody, and says of no group that it is gone: a watch that shows nothing is renewed every 2 s. */
export const STALE_CACHE_MS = 6_000;
