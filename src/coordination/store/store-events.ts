/** Events by which the store cache reports its changes to the core. */
import type { FinalRecord } from "../../storage/records.js";
import type { JobView } from "./job-view.js";

/** A change that the store cache has applied; the cache already shows it. */
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
  /** The quota records, or the limits that a controller applies, changed. */
  | { kind: "quota" | "observedLimits" }
  /** A record does not have the format that its key requires; the cache keeps its previous value. */
  | { kind: "unreadable"; key: string };
