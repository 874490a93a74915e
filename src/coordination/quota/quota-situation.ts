/** Input and output of planning changes to the quota records. Owns no state. */
import type { Team } from "../../config/settings.js";
import type { QuotaShares } from "../../storage/records.js";
import type { PartitionDemand } from "./partition-demand.js";
import type { PartitionReservation } from "./quota-reservations.js";
import type { QuotaRecords } from "./quota-records.js";
import type { ResourceAmounts } from "./resource-amounts.js";

/** What a partition leader knows when it plans changes to the quota records; planning modifies none of it. */
export interface QuotaSituation {
  partition: string;
  /** All partitions that the settings name. */
  partitions: readonly string[];
  teams: ReadonlyMap<string, Team>;
  records: QuotaRecords;
  /** Maximum size of a record, in bytes. */
  maxValueBytes: number;
  /** Maximum number of records in one transaction. */
  maxRecords: number;
  /** What a team uses in this partition, including tasks that may be running. */
  use(team: string): ResourceAmounts;
  /** What a team certainly uses in this partition; null during a failover, when it is not known. */
  confirmedUse(team: string): ResourceAmounts | null;
  /** Demand of this partition, by team. */
  ownDemands: ReadonlyMap<string, PartitionDemand>;
  /** Demand of the other partitions, by partition and team. */
  otherDemands: ReadonlyMap<string, ReadonlyMap<string, PartitionDemand>>;
  /**
   * What this partition's own waiting tasks need that come before the demand of another partition: `queueOrderMs`, `partition` and
   * `isStartable` describe that demand.
   */
  needAheadOf(
    team: string,
    queueOrderMs: number,
    partition: string,
    isStartable: boolean,
  ): ResourceAmounts;
  /** Free quota that no task waiting in this partition can use. */
  lendable(team: string): ResourceAmounts;
  /** Free quota kept for waiting tasks that can start once idle quota of other partitions is added. */
  keptForBackfill(team: string): ResourceAmounts;
  /** The reservation in force for an overdue large job of the team; null if there is none. */
  reservation(team: string): PartitionReservation | null;
  /** Quota kept for this partition's own overdue job while `reservation` is in force. */
  keptForOverdueJob(
    team: string,
    reservation: PartitionReservation,
  ): ResourceAmounts;
  /** Whether every live controller has the same limits in its settings as this one. */
  limitsAgreed: boolean;
  /** Partitions that are no longer in the settings and can't have any running task. */
  removedPartitions: ReadonlySet<string>;
  /** Whether shares in the record with this key may be transferred between partitions. */
  mayMoveShares(key: string): boolean;
}

/** Why quota is transferred to another partition. */
export type TransferReason =
  /** Its waiting tasks are next in the queue order. */
  | "turn"
  /** It has the reservation in force, for an overdue large job. */
  | "reservation"
  /** Its tasks can use quota that is idle in this partition. */
  | "backfill";

/** Quota of a team that a plan transfers to another partition. */
export interface QuotaTransfer {
  team: string;
  to: string;
  amounts: ResourceAmounts;
  reason: TransferReason;
}

/** What a partition leader writes in one transaction. */
export interface QuotaPlan {
  /** New values of records, by key. */
  writes: Map<string, QuotaShares>;
  /** By team, the quota that this partition gives up. It stops using this before it sends the transaction. */
  released: Map<string, ResourceAmounts>;
  transfers: QuotaTransfer[];
  /** Removed partitions whose shares the plan reclaims: valid only while they have no leader. */
  removedPartitions: string[];
  /** Teams whose cap the plan writes or changes. */
  teamsWithNewCap: string[];
}
