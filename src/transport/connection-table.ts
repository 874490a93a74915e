/** Kinds of clients, by the last request on the connection; `fresh` before the first request. */
export const CONNECTION_KINDS = ["fresh", "probe", "user", "worker"] as const;
export type ConnectionKind = (typeof CONNECTION_KINDS)[number];

/** Share of all connections that each kind may use while another kind needs more. */
const SHARE: Record<ConnectionKind, number> = {
  fresh: 0.1,
  probe: 0.05,
  user: 0.25,
  worker: 0.6,
};

/**
 * Limits the connections of users, workers and health checks, which all use one address. With one limit for all kinds, the
 * connections of machines that are dead or cut off, which are never closed by their clients, would keep users out. So each
 * kind has a share. When the limit is exceeded, the connection that has been idle for the longest time is evicted from the
 * kind that uses the most in proportion to its share. If no other connection is idle, the new one is closed. Connections that
 * have been idle for longer than the timeout of their kind are closed, too. A connection with a request in progress never is.
 *
 * Times are steady time in ms.
 */
export class ConnectionTable<Connection> {
  private readonly connections = new Map<
    Connection,
    { kind: ConnectionKind; activeRequests: number }
  >();
  /** For each kind, its idle connections and the time since when each is idle, longest idle first. */
  private readonly idle: Record<ConnectionKind, Map<Connection, number>> = {
    fresh: new Map(),
    probe: new Map(),
    user: new Map(),
    worker: new Map(),
  };
  private readonly counts: Record<ConnectionKind, number> = {
    fresh: 0,
    probe: 0,
    user: 0,
    worker: 0,
  };

  constructor(
    private readonly maxConnections: number,
    /** For each kind, the maximum time that a connection may be idle. */
    private readonly idleTimeoutMs: Readonly<Record<ConnectionKind, number>>,
  ) {}

  get size(): number {
    return this.connections.size;
  }

  /** Adds a new connection. Returns the connection to close for it, which may be the new one itself, or null if there is none. */
  add(connection: Connection, nowMs: number): Connection | null {
    this.connections.set(connection, { kind: "fresh", activeRequests: 0 });
    this.counts.fresh++;
    this.idle.fresh.set(connection, nowMs);
    if (this.connections.size <= this.maxConnections) return null;
    let evictedKind: ConnectionKind | null = null;
    for (const kind of CONNECTION_KINDS) {
      const evictable = this.idle[kind].size - (kind === "fresh" ? 1 : 0);
      if (
        evictable > 0 &&
        (evictedKind === null ||
          this.counts[kind] / SHARE[kind] >
            this.counts[evictedKind] / SHARE[evictedKind])
      )
        evictedKind = kind;
    }
    const evicted =
      evictedKind === null
        ? connection
        : this.idle[evictedKind].keys().next().value!;
    this.remove(evicted);
    return evicted;
  }

  /** Records that a request has started. */
  requestStarted(connection: Connection, kind: ConnectionKind): void {
    const entry = this.connections.get(connection);
    if (!entry) return;
    this.idle[entry.kind].delete(connection);
    this.counts[entry.kind]--;
    this.counts[kind]++;
    entry.kind = kind;
    entry.activeRequests++;
  }
  /** Records that a request was answered or aborted. */
  requestEnded(connection: Connection, nowMs: number): void {
    const entry = this.connections.get(connection);
    if (!entry || --entry.activeRequests > 0) return;
    this.idle[entry.kind].set(connection, nowMs);
  }
  remove(connection: Connection): void {
    const entry = this.connections.get(connection);
    if (!entry) return;
    this.connections.delete(connection);
    this.idle[entry.kind].delete(connection);
    this.counts[entry.kind]--;
  }

  /** Removes and returns the connections that have been idle for longer than their timeout. */
  removeExpired(nowMs: number): Connection[] {
    const expired: Connection[] = [];
    for (const kind of CONNECTION_KINDS)
      for (const [connection, sinceMs] of this.idle[kind]) {
        if (nowMs - sinceMs <= this.idleTimeoutMs[kind]) break;
        expired.push(connection);
      }
    for (const connection of expired) this.remove(connection);
    return expired;
  }
}
