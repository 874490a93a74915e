/** Who is at the other end, by what was asked last; `fresh`: nothing yet. */
export const CONNECTION_KINDS = ["fresh", "probe", "user", "worker"] as const;
export type ConnectionKind = (typeof CONNECTION_KINDS)[number];

/** Of all connections, what each kind may have while another kind wants more. */
const SHARE: Record<ConnectionKind, number> = {
  fresh: 0.1,
  probe: 0.05,
  user: 0.25,
  worker: 0.6,
};

/**
 * The connections of users, workers and health checks, which come to one address: one number for all of them lets those of
 * machines that are dead or cut off, which nobody closes, keep users out. So each kind has a share; when there is no room
 * for a new connection, the one that has been idle for longest goes, of the kind that is furthest over its share; and what
 * has been silent for longer than its kind explains is closed. A connection with a request in progress is never closed.
 *
 * Times are steady time in ms.
 */
export class ConnectionTable<S> {
  private readonly all = new Map<S, { kind: ConnectionKind; busy: number }>();
  /** By kind: idle connections, those that have been so for longest first. */
  private readonly idle: Record<ConnectionKind, Map<S, number>> = {
    fresh: new Map(),
    probe: new Map(),
    user: new Map(),
    worker: new Map(),
  };
  private readonly sizes: Record<ConnectionKind, number> = {
    fresh: 0,
    probe: 0,
    user: 0,
    worker: 0,
  };

  constructor(
    private readonly most: number,
    /** By kind: how long one may be idle. */
    private readonly silentMs: Readonly<Record<ConnectionKind, number>>,
  ) {}

  get size(): number {
    return this.all.size;
  }

  /** A new connection; what has to be closed for it: maybe itself. */
  opened(s: S, nowMs: number): S | null {
    this.all.set(s, { kind: "fresh", busy: 0 });
    this.sizes.fresh++;
    this.idle.fresh.set(s, nowMs);
    if (this.all.size <= this.most) return null;
    let from: ConnectionKind | null = null;
    for (const kind of CONNECTION_KINDS) {
      const others = this.idle[kind].size - (kind === "fresh" ? 1 : 0);
      if (
        others > 0 &&
        (from === null ||
          this.sizes[kind] / SHARE[kind] > this.sizes[from] / SHARE[from])
      )
        from = kind;
    }
    const out = from === null ? s : this.idle[from].keys().next().value!;
    this.closed(out);
    return out;
  }

  /** A request begins. */
  asked(s: S, kind: ConnectionKind): void {
    const c = this.all.get(s);
    if (!c) return;
    this.idle[c.kind].delete(s);
    this.sizes[c.kind]--;
    this.sizes[kind]++;
    c.kind = kind;
    c.busy++;
  }
  /** It was answered, or given up. */
  answered(s: S, nowMs: number): void {
    const c = this.all.get(s);
    if (!c || --c.busy > 0) return;
    this.idle[c.kind].set(s, nowMs);
  }
  closed(s: S): void {
    const c = this.all.get(s);
    if (!c) return;
    this.all.delete(s);
    this.idle[c.kind].delete(s);
    this.sizes[c.kind]--;
  }

  /** Those that have been silent for too long; they count as closed. */
  silent(nowMs: number): S[] {
    const out: S[] = [];
    for (const kind of CONNECTION_KINDS)
      for (const [s, sinceMs] of this.idle[kind]) {
        if (nowMs - sinceMs <= this.silentMs[kind]) break;
        out.push(s);
      }
    for (const s of out) this.closed(s);
    return out;
  }
}
