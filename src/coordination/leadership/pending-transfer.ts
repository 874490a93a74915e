/** A change of a shared record that gives something away, until it is known whether it was carried out. */
import type { TransactionOutcome } from "../context.js";

/**
 * A change of a shared record by which this partition gives something away: waiting tasks, or part of a team's limit. What is given is
 * not used from before the transaction is sent. Invariant (ran_twice, quota): it comes back only if no such transaction can have been
 * carried out. After one without an answer even a conflict proves nothing: the record itself, once the cache shows it at another
 * version than `baseRevision`, says which it is, and until then what is given stays untouched.
 */
export class PendingTransfer<Base = number, Value = object> {
  /** How the last transaction was answered; null: it was not yet. */
  lastOutcome: TransactionOutcome | null = null;
  private isSent = false;
  private isSettled = false;
  /** A transaction was not answered: it may have been carried out, or may yet be. */
  private isIndeterminate = false;

  constructor(
    /** The version of the record that the change starts from. */
    readonly baseRevision: Base,
    private readonly value: Value,
  ) {}

  /** Sends the transaction, again after a refusal; `onNotApplied`: it was surely not carried out. */
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
