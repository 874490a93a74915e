import type { TransactionOutcome } from "../context.js";

/**
 * A change of a shared record by which this group gives something away: waiting tasks, or part of a team's limit. What
 * is given is not used from before the commit is sent. Invariant (ran_twice, quota): it comes back only if no such
 * commit can have been carried out. After one without an answer even a conflict proves nothing: the record itself, once
 * the mirror shows it at another version than `base`, says which it is, and until then what is given stays untouched.
 */
export class PendingTransfer<B = number, V = object> {
  private sent = false;
  private settled = false;
  /** A commit was not answered: it may have been carried out, or may yet be. */
  private indeterminate = false;

  constructor(
    readonly baseRevision: B,
    private readonly value: V,
  ) {}

  /** Sends the commit, again after a refusal; `undone`: it was surely not carried out. */
  send(
    commit: (
      base: B,
      value: V,
      done: (end: TransactionOutcome) => void,
    ) => void,
    undone: () => void,
  ): void {
    if (this.sent || this.settled) return;
    this.sent = true;
    commit(this.baseRevision, this.value, (end) => {
      this.sent = false;
      if (end === "unknown") this.indeterminate = true;
      else if (end !== "refused") this.settled = true;
      else if (!this.indeterminate) undone();
    });
  }
}
