/**
 * Who leads a partition, and who bids to. A controller writes the partition's record to become its leader, conditional on
 * the revision that the record had (0: none), and attaches it to its store lease: when that ends, the store deletes the
 * record. The revision of the record is the leader's fencing token.
 */
import * as v from "valibot";
import { read } from "./codec.js";

const StoredPartition = v.object({ owner: v.string(), hold: v.number() });
const StoredLeadershipBid = v.object({ by: v.string(), token: v.number() });

export interface PartitionRecord {
  /** Label of the controller that leads the partition. */
  owner: string;
  /** The store lease that the record is attached to. */
  hold: number;
}

/** Written by a controller that wants to lead, conditional on the partition's record as it saw it. */
export interface LeadershipBidRecord {
  /** Label of the bidding controller. */
  by: string;
  /** Fencing token of the leadership that the bid is against: an old bid says nothing of a later leader. */
  token: number;
}

export const readPartition = (value: unknown): PartitionRecord | null =>
  read(StoredPartition, value);

export const readLeadershipBid = (value: unknown): LeadershipBidRecord | null =>
  read(StoredLeadershipBid, value);
