/**
 * Transactions whose outcome is unknown, remembered to log it when one of them turns out to have been applied. Nothing is
 * decided by it.
 */
import type { Change, Write } from "../../protocol/state.js";

/**
 * Keys whose last transaction without an answer is remembered; beyond it the oldest is forgotten, and its log line is missing.
 * Counted by changes a second, of which the settings allow each controller a few: machines ride many to a record. Each keeps
 * the whole value that was put.
 */
const MAX_KEYS = 100;

interface IndeterminatePut {
  /** The value that was put, as JSON. */
  readonly valueJson: string;
  /** When its answer was given up; steady time, ms. */
  readonly givenUpMs: number;
}

/** A transaction that was applied although its answer was given up. */
export interface AppliedTransaction {
  key: string;
  /** Time since the answer was given up, ms. */
  afterMs: number;
}

export class IndeterminateTransactions {
  private readonly putsByKey = new Map<string, IndeterminatePut>();

  /** Remembers the writes of a transaction whose answer was given up now; `nowMs`: steady time. */
  note(writes: readonly Write[], nowMs: number): void {
    for (const write of writes) {
      if (write.op !== "put") continue;
      this.putsByKey.delete(write.key);
      this.putsByKey.set(write.key, {
        valueJson: JSON.stringify(write.value),
        givenUpMs: nowMs,
      });
    }
    while (this.putsByKey.size > MAX_KEYS)
      this.putsByKey.delete(this.putsByKey.keys().next().value!);
  }

  /** Which of them these changes show. A newer value of the same key says nothing more of the transaction: it is forgotten. */
  takeApplied(changes: readonly Change[], nowMs: number): AppliedTransaction[] {
    const found: AppliedTransaction[] = [];
    if (this.putsByKey.size === 0) return found;
    for (const change of changes) {
      const put = this.putsByKey.get(change.key);
      if (!put) continue;
      this.putsByKey.delete(change.key);
      if (change.op === "put" && JSON.stringify(change.value) === put.valueJson)
        found.push({
          key: change.key,
          afterMs: Math.round(nowMs - put.givenUpMs),
        });
    }
    return found;
  }
}
