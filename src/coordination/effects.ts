/**
 * The messages between the core of a controller and the process around it: the core takes inputs and returns effects. A call is an
 * effect with a `callId`, and its reply is the input with the same `callId`. `reqId` identifies a request of a user or worker.
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

/** An input of the core. The core has no clock of its own: the process passes the time with each input. */
export type Input =
  | {
      type: "submit";
      reqId: number;
      spec: JobSpec;
      dependsOn?: readonly string[] | undefined;
    }
  | { type: "status"; reqId: number; id: string }
  | { type: "cancel"; reqId: number; id: string }
  /** `relayed`: a peer that the worker can reach has forwarded it. A relayed heartbeat is not relayed again. */
  | { type: "heartbeat"; reqId: number; heartbeat: Heartbeat; relayed: boolean }
  /** A heartbeat could not be relayed to the leader of its partition. */
  | { type: "leaderUnreachable"; zone: string }
  /** Labels of the other controllers that answer now. */
  | { type: "peers"; up: readonly string[] }
  /** `sentMs`: the steady time at which the call was sent. */
  | { type: "storeReply"; callId: number; reply: StateReply; sentMs: number }
  | { type: "cloudReply"; callId: number; reply: CloudReply }
  | { type: "commandReply"; callId: number; reply: CommandReply }
  /** A machine's reply to `inspect`; null if there was none. */
  | { type: "inspectReply"; callId: number; heartbeat: Heartbeat | null }
  /** Whether the process is short of memory. */
  | { type: "memory"; short: boolean }
  /** Sent at a fixed interval. */
  | { type: "tick" }
  /** The time requested by the effect `wake` has passed. */
  | { type: "wake" };

/** A call to the cloud platform. */
export type CloudCall =
  | { op: "catalog" }
  /** `request`: id of the rental request. */
  | {
      op: "rent";
      request: string;
      type: string;
      zone: string;
      spot: boolean;
      count: number;
    }
  | { op: "return"; machines: string[] }
  /** One page of the list of machines. `after`: the last machine of the previous page; empty for the first page. */
  | { op: "list"; after: string };

/** Outcome of a call to the cloud platform. */
export type CloudReply =
  | { kind: "catalog"; types: MachineType[] }
  | { kind: "rented"; machines: string[] }
  | { kind: "noCapacity" }
  | { kind: "returned" }
  | { kind: "list"; machines: ListedMachine[]; more: boolean }
  /** The call was not carried out, or its outcome is unknown. */
  | { kind: "failed"; why: string };

/** Reason of a call that was not sent because this controller's share of the rate limit was used up. */
export const OWN_RATE_LIMIT = "own rate limit";

/** Outcome of sending commands to a worker. */
export type CommandReply =
  /** `sequence`: that of the machine's status after it executed the commands; null if it did not execute them. */
  | { kind: "answered"; status: number; sequence: number | null }
  /** No connection was made, so the commands cannot arrive later. */
  | { kind: "refused" }
  /** The commands may still arrive, even minutes later. */
  | { kind: "unknown" };

/** A message without commands, which has one incarnation of a worker see a fencing token. */
export interface TokenMessage {
  readonly token: number;
  readonly incarnation: number;
}

/** Order of calls that wait for a rate limit, lowest first. Calls on which the safety rules depend come first. */
export const enum CallPriority {
  /** Leases and leadership. */
  Lease = 0,
  /** Calls that a user's request waits for. */
  UserRequest = 1,
  /** Scheduling by partition leaders. */
  Leader = 2,
  /** Calls that can wait for minutes. */
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
  /** No machine type on offer can run the job. */
  | { kind: "cannotRun"; error: string }
  /** The job's record exceeds the size limit of the store's values. */
  | { kind: "recordTooLarge"; error: string }
  | { kind: "unknownJob" }
  | { kind: "retryLater"; afterS: number; reason: string }
  /** Renews the worker's lease. */
  | { kind: "commands"; token: number; commands: Command[] }
  /** Another controller leads the worker's partition; null if the leader is not known. */
  | { kind: "redirect"; leader: string | null }
  /** The worker cannot reach its leader: the process has to relay the heartbeat to it. */
  | { kind: "relay"; leader: string };

/** An effect for the process to execute. */
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
  /** Requests a heartbeat from a machine. `fence`: with a message that also has the machine see this token. */
  | { type: "inspect"; callId: number; address: string; fence?: TokenMessage }
  /**
   * All changes between two revisions to final records and to records of kinds that the core does not read. After a gap, `from` is
   * greater than the last `to`. Only emitted if `tellEnds` is set.
   */
  | { type: "storeChanges"; from: number; to: number; changes: Change[] }
  /** Requests the input `wake` after this time, before the next tick. At most one such request is pending. */
  | { type: "wake"; afterMs: number }
  | ({ type: "log" } & LogEntry);
