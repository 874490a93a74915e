/** A change of a shared record that gives up tasks or quota, until it is known whether the change was applied. */
import type { TransactionOutcome } from "../context.js";

/**
 * A change of a shared record by which this partition gives up waiting tasks or quota. It stops using them before it
 * sends the transaction. Invariant (ran_twice, quota): the partition uses them again only if no transaction of the
 * transfer can have been applied. After a transaction of unknown outcome, even a conflict proves nothing. The outcome is
 * then read from the record itself, once the cache has it at another version than `baseRevision`; until then the
 * partition does not use them.
 */
export class PendingTransfer<Base = number, Value = object> {
  /** Outcome of the last transaction; null before the first reply. */
  lastOutcome: TransactionOutcome | null = null;
  private isSent = false;
  private isSettled = false;
  /** The outcome of a transaction is unknown: it may have been applied, or may still be applied later. */
  private isIndeterminate = false;

  constructor(
    /** The revision of the record that the change is based on. */
    readonly baseRevision: Base,
    private readonly value: Value,
  ) {}

  /** Sends the transaction, also again after a refusal. `onNotApplied` is called if it has certainly not been applied. */
  send(
    commit: (
      base: Base,
      value: Value,
      done: (outcome: TransactionOutcome) => void,
    ) => void,
    onNotApplied: () => void,
  ): void {
    if (this.isSent || this.isSettled) return;
    this.isSent = true;
    commit(this.baseRevision, this.value, (outcome) => {
      this.isSent = false;
      this.lastOutcome = outcome;
      if (outcome === "unknown") this.isIndeterminate = true;
      else if (outcome !== "refused") this.isSettled = true;
      else if (!this.isIndeterminate) onNotApplied();
    });
  }
}
