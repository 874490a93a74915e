import type { Settings } from "../config/settings.js";
import type { EventLog } from "../logging/events.js";
import type { Condition, Write } from "../protocol/state.js";
import type { CloudCall, CloudReply, CommandReply, Urgent } from "./effects.js";
import type { Groups } from "./groups.js";
import type { Handed } from "./splitter.js";
import type { Mirror } from "./mirror.js";
import type { JobSpec, MachineType, Order, Report, Tuning } from "./model.js";

/** How a commit ended. `unknown`: it may have been carried out, or may yet be. */
export type CommitEnd = "ok" | "conflict" | "refused" | "unknown";

/** What the parts of the core share; the controller provides it and sets the times before each step. */
export interface Context extends EventLog {
  readonly settings: Settings;
  readonly tuning: Tuning;
  readonly groups: Groups;
  readonly mirror: Mirror;
  catalog: MachineType[] | null;
  /** Steady time of this step. */
  nowMs: number;
  /** Time of day of this step, in ms since the epoch. */
  wallMs: number;
  commit(
    conditions: Condition[],
    writes: Write[],
    urgent: Urgent,
    done: (end: CommitEnd) => void,
  ): void;
  cloud(
    call: CloudCall,
    urgent: Urgent,
    done: (reply: CloudReply) => void,
  ): void;
  command(
    address: string,
    token: number,
    session: number,
    orders: Order[],
    done: (reply: CommandReply) => void,
  ): void;
  /** Asks a machine itself: the answer is of a moment after the question. */
  inspect(address: string, done: (report: Report | null) => void): void;
  /** Age of the copy of the state service's records, in ms. */
  readAgeMs(): number;
  /** The token to act under for a group that no settings name any more; null: not yet, or another controller does. */
  unownedToken(group: string): number | null;
  /** Handed to each group, by splits and moves, since it last wrote its room. */
  readonly handed: ReadonlyMap<string, readonly Handed[]>;
  noteHanded(group: string, spec: JobSpec, tasks: number): void;
}

/** Steady clocks of different machines may drift apart by 0.05%; waiting for another's clock takes this factor. */
export const DRIFT = 1.0015;
/** A copy of the records older than this judges nobody, and says of no group that it is gone: a watch that shows nothing is renewed every 2 s. */
export const STALE_MS = 6_000;
