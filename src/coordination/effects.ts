/**
 * The messages between the core of a controller and the process around it: inputs go in, effects come out. A call goes out with a number
 * (`op`), and the input with the same number brings its reply. `req` numbers what users and workers ask.
 */
import type { LogEntry } from "../logging/events.js";
import type { Change, StateCall, StateReply } from "../protocol/state.js";
import type {
  Command,
  Heartbeat,
  JobSpec,
  ListedMachine,
  MachineType,
} from "./model.js";

/** What the core is told. Times come with each input: the core has no clock of its own. */
export type Input =
  | {
      type: "submit";
      reqId: number;
      spec: JobSpec;
      dependsOn?: readonly string[] | undefined;
    }
  | { type: "status"; reqId: number; id: string }
  | { type: "cancel"; reqId: number; id: string }
  /** `relayed`: by a peer that the worker can reach; it is not passed on again. */
  | { type: "heartbeat"; reqId: number; heartbeat: Heartbeat; relayed: boolean }
  /** A heartbeat could not be relayed to the leader of its partition. */
  | { type: "leaderUnreachable"; zone: string }
  /** The other controllers that answer. */
  | { type: "peers"; up: readonly string[] }
  /** `sentMs`: the steady time at which the call was sent. */
  | { type: "storeReply"; callId: number; reply: StateReply; sentMs: number }
  | { type: "cloudReply"; callId: number; reply: CloudReply }
  | { type: "commandReply"; callId: number; reply: CommandReply }
  /** A machine's own answer to `inspect`; null: none came. */
  | { type: "inspectReply"; callId: number; heartbeat: Heartbeat | null }
  /** Whether memory is nearly used up. */
  | { type: "memory"; short: boolean }
  /** Time has passed; comes at a steady rate. */
  | { type: "tick" }
  /** The time is over that the effect `wake` asked for. */
  | { type: "wake" };

/** A call to the cloud platform. */
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
  /** `after`: the last machine of the page before; empty: the first page. */
  | { op: "list"; after: string };

/** How a call to the cloud platform ended. */
export type CloudReply =
  | { kind: "catalog"; types: MachineType[] }
  | { kind: "rented"; machines: string[] }
  | { kind: "noCapacity" }
  | { kind: "returned" }
  | { kind: "list"; machines: ListedMachine[]; more: boolean }
  /** Not carried out, or it cannot be known. */
  | { kind: "failed"; why: string };

/** Why a call was not even sent: this controller's part of the rate limit was used up. */
export const OWN_RATE_LIMIT = "own rate limit";

/** How a command to a worker ended. */
export type CommandReply =
  /** `sequence`: of the status that the machine made after the commands; null: they were not carried out. */
  | { kind: "answered"; status: number; sequence: number | null }
  /** No connection came about, so nothing can arrive later. */
  | { kind: "refused" }
  /** It may arrive, minutes later. */
  | { kind: "unknown" };

/** Which calls go first when a rate limit is short: those that keep the rules. Lower goes first. */
export const enum CallPriority {
  /** Leases and leadership. */
  Lease = 0,
  /** What a user waits for. */
  UserRequest = 1,
  /** The work of partition leaders. */
  Leader = 2,
  /** What may wait for minutes. */
  Background = 3,
}

/** The answer to a user or a worker. */
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
  /** No machine type that is offered can run the job. */
  | { kind: "cannotRun"; error: string }
  /** The job's record would not fit a value of the store. */
  | { kind: "recordTooLarge"; error: string }
  | { kind: "unknownJob" }
  | { kind: "retryLater"; afterS: number; reason: string }
  /** Renews the worker's lease. */
  | { kind: "commands"; token: number; commands: Command[] }
  /** The worker belongs to another leader; null: nobody knows whose it is. */
  | { kind: "redirect"; leader: string | null }
  /** The worker cannot reach its leader: the heartbeat is to be relayed to it. */
  | { kind: "relay"; leader: string };

/** What the core wants done. */
export type Effect =
  | { type: "answer"; reqId: number; answer: Answer }
  | {
      type: "storeCall";
      callId: number;
      call: StateCall;
      priority: CallPriority;
    }
  | {
      type: "cloudCall";
      callId: number;
      call: CloudCall;
      priority: CallPriority;
    }
  /** Commands under a fencing token for one incarnation of a worker. */
  | {
      type: "workerCommand";
      callId: number;
      address: string;
      token: number;
      incarnation: number;
      commands: Command[];
    }
  /** Asks a machine for its heartbeat. */
  | { type: "inspect"; callId: number; address: string }
  /**
   * All changes of final records and of records that this core does not know itself, between two revisions. After a gap `from` is
   * later than the last `to`. Only with `tellEnds`.
   */
  | { type: "storeChanges"; from: number; to: number; changes: Change[] }
  /** To be called again after this time, sooner than by the next tick; one at a time. */
  | { type: "wake"; afterMs: number }
  | ({ type: "log" } & LogEntry);
