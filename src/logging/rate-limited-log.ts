import type {
  EventLog,
  LogEventFields,
  RateLimitedEvent,
  RateLimitedFields,
} from "./events.js";

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
 * Logs each event of a subject once a minute at most, with the number of its occurrences. Subjects beyond the bound are
 * counted, and their number is logged as often.
 */
export class RateLimitedLog {
  /** In the order of their last lines. */
  private readonly subjects = new Map<string, Subject>();
  private omitted = 0;
  private omittedLoggedMs = -Infinity;

  constructor(
    private readonly ctx: EventLog & { readonly nowMs: number },
    private readonly maxSubjects = MAX_SUBJECTS,
  ) {}

  warn<E extends RateLimitedEvent>(
    event: E,
    subject: string,
    details: Omit<LogEventFields[E], keyof RateLimitedFields>,
  ): void {
    const key = `${event}/${subject}`;
    const known = this.subjects.get(key);
    if (!known && !this.makeRoom()) {
      this.omit();
      return;
    }
    const entry = known ?? { atMs: -Infinity, times: 0 };
    entry.times++;
    if (this.ctx.nowMs - entry.atMs < GAP_MS) return;
    const fields = { subject, ...details, occurrences: entry.times };
    this.ctx.log(event, fields as unknown as LogEventFields[E]);
    entry.atMs = this.ctx.nowMs;
    entry.times = 0;
    this.subjects.delete(key);
    this.subjects.set(key, entry);
  }

  /** Forgets the subject whose last line is the oldest, if that may be logged again by now; false: there is no room for another. */
  private makeRoom(): boolean {
    if (this.subjects.size < this.maxSubjects) return true;
    const [key, { atMs }] = this.subjects.entries().next().value!;
    if (this.ctx.nowMs - atMs < GAP_MS) return false;
    this.subjects.delete(key);
    return true;
  }

  private omit(): void {
    this.omitted++;
    if (this.ctx.nowMs - this.omittedLoggedMs < GAP_MS) return;
    this.omittedLoggedMs = this.ctx.nowMs;
    this.ctx.log("too many warning subjects", { occurrences: this.omitted });
    this.omitted = 0;
  }
}
