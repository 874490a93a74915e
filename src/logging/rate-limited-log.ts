import type {
  EventLog,
  LogEventFields,
  RateLimitedEvent,
  RateLimitedFields,
} from "./events.js";

/** Minimum time between log lines about the same subject. */
const MIN_INTERVAL_MS = 60_000;
/**
 * Maximum number of tracked subjects, and so of lines per `MIN_INTERVAL_MS`: enough for a few kinds of events about each of
 * 4,000 machines. A subject takes some 200 bytes. Without a limit, any client could use up the memory.
 */
const MAX_SUBJECTS = 16_000;

interface Subject {
  /** Steady time of its last log line. */
  lastLoggedMs: number;
  /** Number of occurrences since that line. */
  occurrences: number;
}

/**
 * Logs each event about a subject at most once a minute, with the number of its occurrences. Occurrences for subjects beyond
 * the limit are only counted, and their number is logged at most once a minute.
 */
export class RateLimitedLog {
  /** In the order of their last log lines. */
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
    const existing = this.subjects.get(key);
    if (!existing && !this.ensureCapacity()) {
      this.countOmitted();
      return;
    }
    const entry = existing ?? { lastLoggedMs: -Infinity, occurrences: 0 };
    entry.occurrences++;
    if (this.ctx.nowMs - entry.lastLoggedMs < MIN_INTERVAL_MS) return;
    const fields = { subject, ...details, occurrences: entry.occurrences };
    this.ctx.log(event, fields as unknown as LogEventFields[E]);
    entry.lastLoggedMs = this.ctx.nowMs;
    entry.occurrences = 0;
    this.subjects.delete(key);
    this.subjects.set(key, entry);
  }

  /**
   * Returns whether another subject can be tracked. If the limit is reached, it removes the subject with the oldest log line,
   * provided that this subject could be logged again now.
   */
  private ensureCapacity(): boolean {
    if (this.subjects.size < this.maxSubjects) return true;
    const [key, { lastLoggedMs }] = this.subjects.entries().next().value!;
    if (this.ctx.nowMs - lastLoggedMs < MIN_INTERVAL_MS) return false;
    this.subjects.delete(key);
    return true;
  }

  private countOmitted(): void {
    this.omitted++;
    if (this.ctx.nowMs - this.omittedLoggedMs < MIN_INTERVAL_MS) return;
    this.omittedLoggedMs = this.ctx.nowMs;
    this.ctx.log("too many warning subjects", { occurrences: this.omitted });
    this.omitted = 0;
  }
}
