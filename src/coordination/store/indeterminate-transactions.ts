/**
 * Remembers transactions whose outcome is unknown, so that it is logged when one of them turns out to have been applied. No
 * decision depends on it.
 */
import type { Change, Write } from "../../protocol/state.js";

/**
 * Maximum number of keys whose last indeterminate put is remembered; beyond it the oldest is forgotten and never logged. Their
 * number depends on the changes per second, of which the settings allow each controller a few, and not on the number of
 * machines, since one record holds many machines. Each entry keeps the whole value that was put.
 */
const MAX_REMEMBERED_KEYS = 100;

interface IndeterminatePut {
  /** The value that was put, as JSON. */
  readonly valueJson: string;
  /** When the wait for an answer was given up; steady time, ms. */
  readonly givenUpMs: number;
}

/** A transaction that was applied although the wait for its answer was given up. */
export interface AppliedTransaction {
  key: string;
  /** Time from giving up the wait until its change was read, in ms. */
  afterMs: number;
}

export class IndeterminateTransactions {
  private readonly putsByKey = new Map<string, IndeterminatePut>();

  /** Remembers the puts of a transaction without an answer; `nowMs` is the steady time at which the wait was given up. */
  note(writes: readonly Write[], nowMs: number): void {
    for (const write of writes) {
      if (write.op !== "put") continue;
      this.putsByKey.delete(write.key);
      this.putsByKey.set(write.key, {
        valueJson: JSON.stringify(write.value),
        givenUpMs: nowMs,
      });
    }
    while (this.putsByKey.size > MAX_REMEMBERED_KEYS)
      this.putsByKey.delete(this.putsByKey.keys().next().value!);
  }

  /**
   * Returns the remembered transactions that these changes show to have been applied. Every remembered put of a changed key is
   * forgotten: a different value does not show whether it was applied.
   */
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
