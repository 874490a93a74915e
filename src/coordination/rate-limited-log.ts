import type { Context } from "./context.js";

/** Each subject is logged at most this often. */
const GAP_MS = 60_000;
/**
 * Subjects that are remembered, and so the most lines in `GAP_MS`: a few kinds of message about each of 4,000 machines. Some
 * 200 bytes each; they come from whoever connects.
 */
const MAX_SUBJECTS = 16_000;

interface Subject {
  /** When it was last logged. Steady time. */
  atMs: number;
  /** How often it was seen since. */
  times: number;
}

/**
 * Log lines about what contradicts itself or what is known to be newer: each subject once a minute at most, with how often it
 * was seen. Subjects beyond the bound are counted, and their number is logged as often.
 */
export class RateLimitedLog {
  /** In the order of their last lines. */
  private readonly subjects = new Map<string, Subject>();
  private omitted = 0;
  private omittedLoggedMs = -Infinity;

  constructor(
    private readonly ctx: Pick<Context, "nowMs" | "log">,
    private readonly maxSubjects = MAX_SUBJECTS,
  ) {}

  /** `of`: the key or the machine's name. */
  warn(msg: string, of: string, fields: Record<string, unknown> = {}): void {
    const name = `${msg}/${of}`;
    const known = this.subjects.get(name);
    if (!known && !this.makeRoom()) return this.omit();
    const subject = known ?? { atMs: -Infinity, times: 0 };
    subject.times++;
    if (this.ctx.nowMs - subject.atMs < GAP_MS) return;
    this.ctx.log("warn", msg, { of, ...fields, times: subject.times });
    subject.atMs = this.ctx.nowMs;
    subject.times = 0;
    this.subjects.delete(name);
    this.subjects.set(name, subject);
  }

  /** Forgets the subject whose last line is the oldest, if that may be logged again by now; false: there is no room for another. */
  private makeRoom(): boolean {
    if (this.subjects.size < this.maxSubjects) return true;
    const [name, { atMs }] = this.subjects.entries().next().value!;
    if (this.ctx.nowMs - atMs < GAP_MS) return false;
    this.subjects.delete(name);
    return true;
  }

  private omit(): void {
    this.omitted++;
    if (this.ctx.nowMs - this.omittedLoggedMs < GAP_MS) return;
    this.omittedLoggedMs = this.ctx.nowMs;
    this.ctx.log("warn", "too many subjects of warnings: lines left out", {
      times: this.omitted,
    });
    this.omitted = 0;
  }
}
