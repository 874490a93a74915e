/**
 * Numbers the attempts that a partition leader starts. Owns the count of attempts under the leader's fencing token.
 */
import type { PartitionState } from "./partition-state.js";

/** Attempts of one token: with a token below 2^33 they stay below 2^53. */
const ATTEMPTS_PER_TOKEN = 2 ** 20;

export class AttemptSequence {
  private issued = 0;

  constructor(private readonly partition: Pick<PartitionState, "token">) {}

  /** A number above those of all attempts under this or any earlier fencing token. */
  next(): number {
    return this.partition.token * ATTEMPTS_PER_TOKEN + ++this.issued;
  }
}
