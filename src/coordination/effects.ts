import type { LogEntry } from "../logging/events.js";
import type { Change, StateCall, StateReply } from "../protocol/state.js";
import type {
  JobSpec,
  ListedMachine,
  MachineType,
  Order,
  Report,
} from "./model.js";

/** What the core is told. Times come with each input: the core has no clock of its own. */
export type Input =
  | {
      is: "submit";
      req: number;
      spec: JobSpec;
      awaits?: readonly string[] | undefined;
    }
  | { is: "status"; req: number; id: string }
  | { is: "withdraw"; req: number; id: string }
  /** `relayed`: by a peer that the worker can reach; it is not passed on again. */
  | { is: "report"; req: number; report: Report; relayed: boolean }
  /** A report could not be passed on to its master. */
  | { is: "unserved"; zone: string }
  /** The other controllers that answer. */
  | { is: "peers"; up: readonly string[] }
  | { is: "state"; op: number; reply: StateReply; sentMs: number }
  | { is: "cloud"; op: number; reply: CloudReply }
  | { is: "command"; op: number; reply: CommandReply }
  /** A machine's own answer to a question; null: none. */
  | { is: "inspected"; op: number; report: Report | null }
  /** Whether memory is nearly used up. */
  | { is: "memory"; short: boolean }
  | { is: "tick" }
  /** What was asked for by `wake`. */
  | { is: "wake" };

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
  | { is: "catalog"; types: MachineType[] }
  | { is: "rented"; machines: string[] }
  | { is: "noCapacity" }
  | { is: "returned" }
  | { is: "list"; machines: ListedMachine[]; more: boolean }
  /** Not carried out, or it can't be known. */
  | { is: "failed"; why: string };

/** Why a call was not even sent: this controller's part of the limit was used up. */
export const OWN_LIMIT = "own rate limit";

/** `refused`: no connection came about, so nothing can arrive later. `unknown`: it may, minutes later. */
export type CommandReply =
  { is: "answered"; status: number } | { is: "refused" } | { is: "unknown" };

/** Which calls go first when a rate limit is short: rule-keeping ones. */
export const enum Urgent {
  Hold = 0,
  User = 1,
  Master = 2,
  Spare = 3,
}

export type Answer =
  | {
      is: "job";
      status: 200 | 201;
      id: string;
      state: "queued" | "running" | "done" | "cancelled";
      done?: number;
      running?: number;
      awaits?: readonly string[];
    }
  | { is: "never"; error: string }
  /** Its record would not fit a value of the state service. */
  | { is: "tooLong"; error: string }
  | { is: "unknownJob" }
  | { is: "later"; afterS: number; why: string }
  | { is: "orders"; token: number; orders: Order[] }
  | { is: "elsewhere"; master: string | null }
  /** The worker can't reach its master: the report is to be passed on to it. */
  | { is: "relay"; master: string };

export type Effect =
  | { do: "answer"; req: number; answer: Answer }
  | { do: "state"; op: number; call: StateCall; urgent: Urgent }
  | { do: "cloud"; op: number; call: CloudCall; urgent: Urgent }
  | {
      do: "command";
      op: number;
      address: string;
      token: number;
      session: number;
      orders: Order[];
    }
  /** Asks a machine for its report. */
  | { do: "inspect"; op: number; address: string }
  /**
   * All changes of final records and of records that this core does not know itself, between two revisions. After a gap `from` is
   * later than the last `to`. Only with `tellEnds`.
   */
  | { do: "seen"; from: number; to: number; changes: Change[] }
  /** To be called again after this time, sooner than by the next tick; one at a time. */
  | { do: "wake"; afterMs: number }
  | ({ do: "log" } & LogEntry);
