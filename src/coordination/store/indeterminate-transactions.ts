import type { Change, Write } from "../../protocol/state.js";

/**
 * Keys whose last transaction without an answer is remembered; beyond it the oldest is forgotten, and its log line is missing.
 * Counted by changes a second, of which the settings allow each controller a few: machines ride many to a record. Each keeps
 * the whole value that was put.
 */
const MAX_KEYS = 100;

/** Transactions without an answer, to say in the log when one of them shows all the same: nothing is decided by it. */
export class IndeterminateTransactions {
  /** By key: the value that was put, and when its answer was given up. */
  private readonly puts = new Map<string, { value: string; atMs: number }>();

  /** `nowMs`: steady time. */
  note(writes: readonly Write[], nowMs: number): void {
    for (const w of writes) {
      if (w.op !== "put") continue;
      this.puts.delete(w.key);
      this.puts.set(w.key, { value: JSON.stringify(w.value), atMs: nowMs });
    }
    while (this.puts.size > MAX_KEYS)
      this.puts.delete(this.puts.keys().next().value!);
  }

  /** Which of them these changes show; `afterMs`: since the answer was given up. What was put of the same key since says nothing more of it. */
  foundIn(
    changes: readonly Change[],
    nowMs: number,
  ): { key: string; afterMs: number }[] {
    const out: { key: string; afterMs: number }[] = [];
    if (this.puts.size === 0) return out;
    for (const c of changes) {
      const put = this.puts.get(c.key);
      if (!put) continue;
      this.puts.delete(c.key);
      if (c.op === "put" && JSON.stringify(c.value) === put.value)
        out.push({ key: c.key, afterMs: Math.round(nowMs - put.atMs) });
    }
    return out;
  }
}
