import type { LogEntry } from "../logging/events.js";
import type { Change, StateCall, StateReply } from "../protocol/state.js";
import type {
  JobSpec,
  ListedMachine,
  MachineType,
  Command,
  Heartbeat,
} from "./model.js";

/** What the core is told. Times come with each input: the core has no clock of its own. */
export type Input =
  | {
      type: "submit";
      req: number;
      spec: JobSpec;
      dependsOn?: readonly string[] | undefined;
    }
  | { type: "status"; req: number; id: string }
  | { type: "cancel"; req: number; id: string }
  /** `relayed`: by a peer that the worker can reach; it is not passed on again. */
  | { type: "heartbeat"; req: number; heartbeat: Heartbeat; relayed: boolean }
  /** A report could not be passed on to its master. */
  | { type: "leaderUnreachable"; zone: string }
  /** The other controllers that answer. */
  | { type: "peers"; up: readonly string[] }
  | { type: "state"; op: number; reply: StateReply; sentMs: number }
  | { type: "cloud"; op: number; reply: CloudReply }
  | { type: "command"; op: number; reply: CommandReply }
  /** A machine's own answer to a question; null: none. */
  | { type: "inspectReply"; op: number; heartbeat: Heartbeat | null }
  /** Whether memory is nearly used up. */
  | { type: "memory"; short: boolean }
  | { type: "tick" }
  /** What was asked for by `wake`. */
  | { type: "wake" };

export type CloudCall =
  | { op: "catalog" }
  | {
      op: "rent";
      request: string;
      type: string;
      zone: string;
      spot: boolean;
      count: number;
    }
  | { op: "return"; machines: string[] }
  | { op: "list"; after: string };

export type CloudReply =
  | { kind: "catalog"; types: MachineType[] }
  | { kind: "rented"; machines: string[] }
  | { kind: "noCapacity" }
  | { kind: "returned" }
  | { kind: "list"; machines: ListedMachine[]; more: boolean }
  /** Not carried out, or it can't be known. */
  | { kind: "failed"; why: string };

/** Why a call was not even sent: this controller's part of the limit was used up. */
export const OWN_LIMIT = "own rate limit";

/** `refused`: no connection came about, so nothing can arrive later. `unknown`: it may, minutes later. */
export type CommandReply =
  | { kind: "answered"; status: number }
  | { kind: "refused" }
  | { kind: "unknown" };

/** Which calls go first when a rate limit is short: rule-keeping ones. */
export const enum CallPriority {
  Lease = 0,
  UserRequest = 1,
  Leader = 2,
  Background = 3,
}

export type Answer =
  | {
      kind: "job";
      status: 200 | 201;
      id: string;
      state: "queued" | "running" | "done" | "cancelled";
      done?: number;
      running?: number;
      dependsOn?: readonly string[];
    }
  | { kind: "cannotRun"; error: string }
  /** Its record would not fit a value of the state service. */
  | { kind: "recordTooLarge"; error: string }
  | { kind: "unknownJob" }
  | { kind: "retryLater"; afterS: number; why: string }
  | { kind: "commands"; token: number; commands: Command[] }
  | { kind: "redirect"; leader: string | null }
  /** The worker can't reach its master: the report is to be passed on to it. */
  | { kind: "relay"; leader: string };

export type Effect =
  | { type: "answer"; req: number; answer: Answer }
  | { type: "state"; op: number; call: StateCall; priority: CallPriority }
  | { type: "cloud"; op: number; call: CloudCall; priority: CallPriority }
  | {
      type: "command";
      op: number;
      address: string;
      token: number;
      incarnation: number;
      commands: Command[];
    }
  /** Asks a machine for its report. */
  | { type: "inspect"; op: number; address: string }
  /**
   * All changes of final records and of records that this core does not know itself, between two revisions. After a gap `from` is
   * later than the last `to`. Only with `tellEnds`.
   */
  | { type: "storeChanges"; from: number; to: number; changes: Change[] }
  /** To be called again after this time, sooner than by the next tick; one at a time. */
  | { type: "wake"; afterMs: number }
  | ({ type: "log" } & LogEntry);
