/** What planning of the teams' limits starts from, and what it results in. Owns no state. */
import type { Team } from "../../config/settings.js";
import type { QuotaShares } from "../../storage/records.js";
import type { PartitionDemand } from "./partition-demand.js";
import type { PartitionReservation } from "./quota-reservations.js";
import type { QuotaRecords } from "./quota-records.js";
import type { ResourceAmounts } from "./resource-amounts.js";

/** What a partition knows when it considers the records of the limits; none of it is changed. */
export interface QuotaSituation {
  partition: string;
  /** All partitions that the settings name. */
  partitions: readonly string[];
  teams: ReadonlyMap<string, Team>;
  records: QuotaRecords;
  /** The most bytes that a record may have. */
  maxValueBytes: number;
  /** Records that one commit may write. */
  maxRecords: number;
  /** What this partition uses of a team, counting all that may be running. */
  use(team: string): ResourceAmounts;
  /** The same, counting only what surely runs; null: not known yet (the failover fence). */
  confirmedUse(team: string): ResourceAmounts | null;
  /** What this partition wants, by team. */
  ownDemands: ReadonlyMap<string, PartitionDemand>;
  /** What the others want, by partition and team. */
  otherDemands: ReadonlyMap<string, ReadonlyMap<string, PartitionDemand>>;
  /** What the own waiting tasks that come before such a demand are going to use; `since` in ms since the epoch. */
  needAheadOf(
    team: string,
    since: number,
    partition: string,
    now: boolean,
  ): ResourceAmounts;
  /** What this partition has free and nothing that waits here can use. */
  lendable(team: string): ResourceAmounts;
  /** What this partition keeps for waiting tasks that idle quota elsewhere completes. */
  keptForBackfill(team: string): ResourceAmounts;
  /** The large job that quota is reserved for now; null: there is none. */
  reservation(team: string): PartitionReservation | null;
  /** What this partition keeps for its own overdue job while quota is reserved. */
  keptForOverdueJob(
    team: string,
    reservation: PartitionReservation,
  ): ResourceAmounts;
  /** Every live controller goes by the same limits as this one. */
  limitsAgreed: boolean;
  /** Partitions that no settings name any more and of which nothing can run. */
  removedPartitions: ReadonlySet<string>;
  /** Whether parts of teams in that record may go from partition to partition. */
  mayMoveShares(key: string): boolean;
}

/** Why a part of a limit goes to another partition. */
export type GiftReason =
  /** Its work has its turn. */
  | "turn"
  /** For a large job whose first start is overdue. */
  | "reservation"
  /** Its tasks fit into what nothing here can use. */
  | "backfill";

/** What a plan gives to another partition. */
export interface QuotaGift {
  team: string;
  to: string;
  amounts: ResourceAmounts;
  reason: GiftReason;
}

/** What a partition writes in one commit. */
export interface QuotaPlan {
  /** New values of records, by key. */
  writes: Map<string, QuotaShares>;
  /** By team: what this partition gives away, and does not use from before the commit is sent. */
  released: Map<string, ResourceAmounts>;
  transfers: QuotaGift[];
  /** Partitions whose absence it rests on. */
  removedPartitions: string[];
  /** Teams whose limit was written anew. */
  caps: string[];
}
