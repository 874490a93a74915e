/**
 * Numbers the attempts that a partition leader starts. Owns the count of attempts under the leader's fencing token.
 */
import type { PartitionState } from "./partition-state.js";

/** Attempt numbers available to one token. With tokens below 2^33, attempt numbers stay below 2^53 and thus exact. */
const ATTEMPTS_PER_TOKEN = 2 ** 20;

/** The fencing token under which an attempt was issued. */
export const tokenOfAttempt = (attempt: number): number =>
  Math.floor(attempt / ATTEMPTS_PER_TOKEN);

export class AttemptSequence {
  private issued = 0;

  constructor(private readonly state: Pick<PartitionState, "token">) {}

  /** Returns a number higher than that of any attempt under this or an earlier fencing token. */
  next(): number {
    return this.state.token * ATTEMPTS_PER_TOKEN + ++this.issued;
  }
}
