import {
  type Change,
  STORE_LEASE_ENDED,
  type Item,
  type StateCall,
  type StateReply,
} from "../../src/protocol/state.js";

/** A stand-in for the state service: the clock comes from outside, so that simulated days and real processes share it. */
export class Store {
  epoch = 0;
  readonly data = new Map<
    string,
    { value: unknown; version: number; hold?: number }
  >();
  private readonly holds = new Map<number, { ttlMs: number; endsMs: number }>();
  private log: Change[] = [];
  private logStart = 0;
  private holdIds = 0;
  private watchers: {
    prefix: string;
    since: number;
    done: (r: StateReply) => void;
  }[] = [];
  /** Puts and deletes carried out. */
  changes = 0;
  private level: number;
  private levelMs = 0;

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
    this.level = limits.changesPerS;
  }

  expire(): void {
    for (const [id, h] of this.holds) {
      if (this.now() < h.endsMs) continue;
      this.holds.delete(id);
      const keys = [...this.data]
        .filter(([, d]) => d.hold === id)
        .map(([k]) => k);
      if (keys.length === 0) continue;
      this.epoch++;
      for (const key of keys) {
        this.data.delete(key);
        this.note({ op: "delete", key, version: this.epoch });
      }
    }
    this.wake();
  }
  private note(c: Change): void {
    this.log.push(c);
    if (this.log.length <= this.limits.keptChanges * 1.1) return;
    const cut = this.log.splice(0, this.log.length - this.limits.keptChanges);
    this.logStart = cut.at(-1)!.version;
  }
  private since(prefix: string, since: number): Change[] {
    return this.log.filter(
      (c) => c.version > since && c.key.startsWith(prefix),
    );
  }
  private wake(): void {
    for (const w of [...this.watchers]) {
      const changes = this.since(w.prefix, w.since);
      if (changes.length === 0) continue;
      this.watchers = this.watchers.filter((x) => x !== w);
      w.done({ is: "changes", epoch: this.epoch, changes });
    }
  }

  /** `wait`: calls back after a time, for watches. */
  handle(
    call: StateCall,
    done: (r: StateReply) => void,
    wait: (ms: number, f: () => void) => void = () => {},
  ): void {
    this.expire();
    switch (call.op) {
      case "get": {
        const d = this.data.get(call.key);
        return done({
          is: "item",
          item: d
            ? { key: call.key, value: d.value, version: d.version }
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
        return done({
          is: "items",
          items,
          more: keys.length > 1_000,
          epoch: this.epoch,
        });
      }
      case "commit": {
        const n = call.writes.length;
        const bytes = Math.max(
          0,
          ...call.writes.map((w) =>
            w.op === "put" ? Buffer.byteLength(JSON.stringify(w.value)) : 0,
          ),
        );
        if (
          bytes > this.limits.valueBytes ||
          n > this.limits.txnOps ||
          call.conditions.length > 4 * this.limits.txnOps
        )
          throw new Error(
            `over the limits: ${n} changes, ${bytes} bytes: ${call.writes[0]?.key}`,
          );
        for (const w of call.writes)
          if (w.op === "put" && w.hold !== undefined && !this.holds.has(w.hold))
            return done({ is: "refused", why: STORE_LEASE_ENDED });
        this.level = Math.min(
          this.limits.changesPerS,
          this.level +
            ((this.now() - this.levelMs) / 1000) * this.limits.changesPerS,
        );
        this.levelMs = this.now();
        if (n > this.level) return done({ is: "refused", why: "429" });
        this.level -= n;
        if (
          call.conditions.some(
            (c) => (this.data.get(c.key)?.version ?? 0) !== c.version,
          )
        )
          return done({ is: "conflict" });
        this.epoch++;
        this.changes += n;
        for (const w of call.writes) {
          if (w.op === "put") {
            const value = structuredClone(w.value);
            this.data.set(w.key, {
              value,
              version: this.epoch,
              ...(w.hold === undefined ? {} : { hold: w.hold }),
            });
            this.note({ op: "put", key: w.key, value, version: this.epoch });
          } else if (this.data.delete(w.key))
            this.note({ op: "delete", key: w.key, version: this.epoch });
        }
        done({ is: "committed", epoch: this.epoch });
        return this.wake();
      }
      case "newHold": {
        const id = ++this.holdIds;
        this.holds.set(id, {
          ttlMs: call.ttlMs,
          endsMs: this.now() + call.ttlMs,
        });
        return done({ is: "hold", hold: id });
      }
      case "touch": {
        const h = this.holds.get(call.hold);
        if (!h) return done({ is: "gone" });
        h.endsMs = this.now() + h.ttlMs;
        return done({ is: "touched" });
      }
      case "changes": {
        if (call.since < this.logStart) return done({ is: "gone" });
        const changes = this.since(call.prefix, call.since);
        if (changes.length > 0 || call.waitMs === 0)
          return done({ is: "changes", epoch: this.epoch, changes });
        const w = { prefix: call.prefix, since: call.since, done };
        this.watchers.push(w);
        wait(call.waitMs, () => {
          if (!this.watchers.includes(w)) return;
          this.watchers = this.watchers.filter((x) => x !== w);
          done({ is: "changes", epoch: this.epoch, changes: [] });
        });
      }
    }
  }
}
