import type {
  EventLog,
  LogEventFields,
  RateLimitedEvent,
  RateLimitedFields,
} from "../logging/events.js";

const GAP_MS = 60_000;
const MOST = 500;

/** Logs each event of a subject once a minute at most, with the number of its occurrences. */
export class RateLimitedLog {
  private readonly seen = new Map<string, { atMs: number; times: number }>();

  constructor(private readonly ctx: EventLog & { readonly nowMs: number }) {}

  warn<E extends RateLimitedEvent>(
    event: E,
    subject: string,
    details: Omit<LogEventFields[E], keyof RateLimitedFields>,
  ): void {
    const key = `${event}/${subject}`;
    const s = this.seen.get(key) ?? { atMs: -Infinity, times: 0 };
    s.times++;
    if (this.ctx.nowMs - s.atMs >= GAP_MS) {
      const fields = { subject, ...details, occurrences: s.times };
      this.ctx.log(event, fields as unknown as LogEventFields[E]);
      s.atMs = this.ctx.nowMs;
      s.times = 0;
      this.seen.delete(key);
    }
    this.seen.set(key, s);
    if (this.seen.size > MOST) this.seen.delete(this.seen.keys().next().value!);
  }
}
