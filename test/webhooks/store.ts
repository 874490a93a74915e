import {
  type Change,
  STORE_LEASE_ENDED,
  type Item,
  type StateCall,
  type StateReply,
} from "../../src/protocol/state.js";

/** A simulated state service. Its clock is passed in, so that it serves simulated time and real processes. */
export class Store {
  revision = 0;
  readonly data = new Map<
    string,
    { value: unknown; version: number; hold?: number }
  >();
  private readonly leases = new Map<
    number,
    { ttlMs: number; endsMs: number }
  >();
  private changeLog: Change[] = [];
  private logStartRevision = 0;
  private lastLeaseId = 0;
  private watchers: {
    prefix: string;
    since: number;
    onReply: (reply: StateReply) => void;
  }[] = [];
  /** Number of puts and deletes carried out. */
  changes = 0;
  private availableChanges: number;
  private availableChangesAtMs = 0;

  constructor(
    private readonly now: () => number,
    private readonly limits: {
      valueBytes: number;
      txnOps: number;
      changesPerS: number;
      keptChanges: number;
    } = {
      valueBytes: 8_192,
      txnOps: 12,
      changesPerS: Infinity,
      keptChanges: 10_000,
    },
  ) {
    this.availableChanges = limits.changesPerS;
  }

  setLimits({
    valueBytes,
    txnOps,
  }: {
    valueBytes: number;
    txnOps: number;
  }): void {
    this.limits.valueBytes = valueBytes;
    this.limits.txnOps = txnOps;
  }

  expireLeases(): void {
    for (const [id, lease] of this.leases) {
      if (this.now() < lease.endsMs) continue;
      this.leases.delete(id);
      const keys = [...this.data]
        .filter(([, d]) => d.hold === id)
        .map(([k]) => k);
      if (keys.length === 0) continue;
      this.revision++;
      for (const key of keys) {
        this.data.delete(key);
        this.appendChange({ op: "delete", key, version: this.revision });
      }
    }
    this.notifyWatchers();
  }
  private appendChange(change: Change): void {
    this.changeLog.push(change);
    if (this.changeLog.length <= this.limits.keptChanges * 1.1) return;
    const dropped = this.changeLog.splice(
      0,
      this.changeLog.length - this.limits.keptChanges,
    );
    this.logStartRevision = dropped.at(-1)!.version;
  }
  private changesSince(prefix: string, since: number): Change[] {
    return this.changeLog.filter(
      (c) => c.version > since && c.key.startsWith(prefix),
    );
  }
  private notifyWatchers(): void {
    for (const watcher of [...this.watchers]) {
      const changes = this.changesSince(watcher.prefix, watcher.since);
      if (changes.length === 0) continue;
      this.watchers = this.watchers.filter((x) => x !== watcher);
      watcher.onReply({ is: "changes", epoch: this.revision, changes });
    }
  }

  /** `callAfter`: a timer, which ends watches without changes. */
  handle(
    call: StateCall,
    onReply: (reply: StateReply) => void,
    callAfter: (ms: number, f: () => void) => void = () => {},
  ): void {
    this.expireLeases();
    switch (call.op) {
      case "get": {
        const record = this.data.get(call.key);
        return onReply({
          is: "item",
          item: record
            ? { key: call.key, value: record.value, version: record.version }
            : null,
        });
      }
      case "list": {
        const keys = [...this.data.keys()]
          .filter((k) => k.startsWith(call.prefix) && k > call.after)
          .sort();
        const items: Item[] = keys.slice(0, 1_000).map((key) => ({
          key,
          value: this.data.get(key)!.value,
          version: this.data.get(key)!.version,
        }));
        return onReply({
          is: "items",
          items,
          more: keys.length > 1_000,
          epoch: this.revision,
        });
      }
      case "commit": {
        const writeCount = call.writes.length;
        const bytes = Math.max(
          0,
          ...call.writes.map((w) =>
            w.op === "put" ? Buffer.byteLength(JSON.stringify(w.value)) : 0,
          ),
        );
        if (
          bytes > this.limits.valueBytes ||
          writeCount > this.limits.txnOps ||
          call.conditions.length > 4 * this.limits.txnOps
        )
          throw new Error(
            `over the limits: ${writeCount} changes, ${bytes} bytes: ${call.writes[0]?.key}`,
          );
        for (const write of call.writes)
          if (
            write.op === "put" &&
            write.hold !== undefined &&
            !this.leases.has(write.hold)
          )
            return onReply({ is: "refused", why: STORE_LEASE_ENDED });
        this.availableChanges = Math.min(
          this.limits.changesPerS,
          this.availableChanges +
            ((this.now() - this.availableChangesAtMs) / 1000) *
              this.limits.changesPerS,
        );
        this.availableChangesAtMs = this.now();
        if (writeCount > this.availableChanges)
          return onReply({ is: "refused", why: "429" });
        this.availableChanges -= writeCount;
        if (
          call.conditions.some(
            (c) => (this.data.get(c.key)?.version ?? 0) !== c.version,
          )
        )
          return onReply({ is: "conflict" });
        this.revision++;
        this.changes += writeCount;
        for (const write of call.writes) {
          if (write.op === "put") {
            const value = structuredClone(write.value);
            this.data.set(write.key, {
              value,
              version: this.revision,
              ...(write.hold === undefined ? {} : { hold: write.hold }),
            });
            this.appendChange({
              op: "put",
              key: write.key,
              value,
              version: this.revision,
            });
          } else if (this.data.delete(write.key))
            this.appendChange({
              op: "delete",
              key: write.key,
              version: this.revision,
            });
        }
        onReply({ is: "committed", epoch: this.revision });
        return this.notifyWatchers();
      }
      case "newHold": {
        const leaseId = ++this.lastLeaseId;
        this.leases.set(leaseId, {
          ttlMs: call.ttlMs,
          endsMs: this.now() + call.ttlMs,
        });
        return onReply({ is: "hold", hold: leaseId });
      }
      case "touch": {
        const lease = this.leases.get(call.hold);
        if (!lease) return onReply({ is: "gone" });
        lease.endsMs = this.now() + lease.ttlMs;
        return onReply({ is: "touched" });
      }
      case "changes": {
        if (call.since < this.logStartRevision) return onReply({ is: "gone" });
        const changes = this.changesSince(call.prefix, call.since);
        if (changes.length > 0 || call.waitMs === 0)
          return onReply({ is: "changes", epoch: this.revision, changes });
        const watcher = { prefix: call.prefix, since: call.since, onReply };
        this.watchers.push(watcher);
        callAfter(call.waitMs, () => {
          if (!this.watchers.includes(watcher)) return;
          this.watchers = this.watchers.filter((x) => x !== watcher);
          onReply({ is: "changes", epoch: this.revision, changes: [] });
        });
      }
    }
  }
}
