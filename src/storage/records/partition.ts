/**
 * The leader of a partition, and bids for its leadership. A controller writes the partition's record to become its leader,
 * conditional on the revision that the record had (0 if there was none), and attaches it to its store lease: when the lease
 * ends, the store deletes the record. The revision of the record is the leader's fencing token.
 */
import * as v from "valibot";
import { parseRecord } from "./codec.js";

const StoredPartition = v.object({ owner: v.string(), hold: v.number() });
const StoredLeadershipBid = v.object({ by: v.string(), token: v.number() });

export interface PartitionRecord {
  /** Label of the controller that leads the partition. */
  owner: string;
  /** Id of the store lease that the record is attached to. */
  hold: number;
}

/** Written by a controller that bids for the leadership, conditional on the revision of the partition's record that it saw. */
export interface LeadershipBidRecord {
  /** Label of the bidding controller. */
  by: string;
  /** Fencing token of the leader that the bid is to replace: the bid does not apply to later leaders. */
  token: number;
}

export const readPartition = (value: unknown): PartitionRecord | null =>
  parseRecord(StoredPartition, value);

export const readLeadershipBid = (value: unknown): LeadershipBidRecord | null =>
  parseRecord(StoredLeadershipBid, value);
