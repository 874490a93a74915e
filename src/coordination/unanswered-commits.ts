import type { Change, Write } from "../protocol/state.js";

const MOST = 100;

/** Transactions without an answer, to say in the log when one of them shows all the same: nothing is decided by it. */
export class UnansweredCommits {
  /** By key: the value that was put, and when its answer was given up. */
  private readonly puts = new Map<string, { value: string; atMs: number }>();

  /** `nowMs`: steady time. */
  note(writes: readonly Write[], nowMs: number): void {
    for (const w of writes) {
      if (w.op !== "put") continue;
      this.puts.delete(w.key);
      this.puts.set(w.key, { value: JSON.stringify(w.value), atMs: nowMs });
    }
    while (this.puts.size > MOST)
      this.puts.delete(this.puts.keys().next().value!);
  }

  /** Which of them these changes show; `afterMs`: since the answer was given up. What was put of the same key since says nothing more of it. */
  among(
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
