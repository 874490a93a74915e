import type { Context } from "./context.js";

const GAP_MS = 60_000;
const MOST = 500;

/** Log lines about what contradicts itself or what is known to be newer: each subject once a minute at most, with how often it was seen. */
export class RateLimitedLog {
  private readonly seen = new Map<string, { atMs: number; times: number }>();

  constructor(private readonly ctx: Pick<Context, "nowMs" | "log">) {}

  /** `of`: the key or the machine's name. */
  warn(msg: string, of: string, fields: Record<string, unknown> = {}): void {
    const subject = `${msg}/${of}`;
    const s = this.seen.get(subject) ?? { atMs: -Infinity, times: 0 };
    s.times++;
    if (this.ctx.nowMs - s.atMs >= GAP_MS) {
      this.ctx.log("warn", msg, { of, ...fields, times: s.times });
      s.atMs = this.ctx.nowMs;
      s.times = 0;
      this.seen.delete(subject);
    }
    this.seen.set(subject, s);
    if (this.seen.size > MOST) this.seen.delete(this.seen.keys().next().value!);
  }
}
