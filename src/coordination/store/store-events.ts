/** What a change of the store cache means to the core. */
import type { FinalRecord } from "../../storage/records.js";
import type { JobView } from "./job-view.js";

/** A change that the store cache has taken in; the cache already shows it. */
export type StoreEvent =
  /** A job's live record appeared or changed. */
  | { kind: "job"; job: JobView }
  /** A job's live record was deleted. */
  | { kind: "jobRemoved"; id: string }
  /** A job's final record was read. */
  | { kind: "final"; id: string; record: FinalRecord }
  /** A partition's leader, or the bid for its leadership, changed. */
  | { kind: "partition" | "leadershipBid"; partition: string }
  /** Finished tasks of a job, or the attempts of a gang, changed. */
  | { kind: "completion"; id: string }
  /** A partition's capacity record changed. */
  | { kind: "capacity"; partition: string }
  /** The quota records, or the limits that some controller goes by, changed. */
  | { kind: "quota" | "observedLimits" }
  /** A record is not of the form that its key demands; the cache keeps what it had before. */
  | { kind: "unreadable"; key: string };
