import type { Settings } from "../../src/config/settings.js";
import {
  type Change,
  STORE_LEASE_ENDED,
  type Item,
  type StateCall,
  type StateReply,
} from "../../src/protocol/state.js";
import type { Rng } from "./rng.js";

/** The part of the world that the state service stand-in uses. */
export interface StateServiceWorld {
  readonly now: number;
  readonly rng: Rng;
  readonly settings: Settings;
  readonly stateDown: boolean;
  /** The limits that apply once `limitsFell`. */
  readonly nextLimits: { readonly valueBytes: number; readonly txnOps: number };
  readonly limitsFell: boolean;
  at(delayMs: number, fn: () => void): void;
}

/** A stand-in for the state service: records, conditional transactions, store leases (`hold` on the wire) and watches. */
export class StateService {
  epoch = 0;
  readonly data = new Map<
    string,
    { value: unknown; version: number; storeLeaseId?: number | undefined }
  >();
  readonly storeLeases = new Map<number, { ttlMs: number; endsMs: number }>();
  private readonly changeLog: Change[] = [];
  private readonly watchers = new Set<{
    prefix: string;
    since: number;
    done: (r: StateReply) => void;
  }>();
  private lastStoreLeaseId = 0;

  constructor(private readonly world: StateServiceWorld) {}

  /** Ends an outage: every store lease gets its full TTL again. */
  restart(): void {
    for (const lease of this.storeLeases.values())
      lease.endsMs = this.world.now + lease.ttlMs;
  }
  private expire(): void {
    for (const [id, lease] of this.storeLeases) {
      if (this.world.now < lease.endsMs) continue;
      this.storeLeases.delete(id);
      const keys = [...this.data]
        .filter(([, d]) => d.storeLeaseId === id)
        .map(([k]) => k);
      if (keys.length === 0) continue;
      this.epoch++;
      for (const key of keys) {
        this.data.delete(key);
        this.changeLog.push({ op: "delete", key, version: this.epoch });
      }
    }
    this.wake();
  }
  tick(): void {
    if (!this.world.stateDown) this.expire();
  }
  private changesSince(prefix: string, sinceVersion: number): Change[] {
    return this.changeLog.filter(
      (c) => c.version > sinceVersion && c.key.startsWith(prefix),
    );
  }
  private wake(): void {
    for (const watcher of [...this.watchers]) {
      const changes = this.changesSince(watcher.prefix, watcher.since);
      if (changes.length === 0) continue;
      this.watchers.delete(watcher);
      watcher.done({
        is: "changes",
        epoch: this.epoch,
        changes: structuredClone(changes),
      });
    }
  }
  handle(call: StateCall, done: (r: StateReply) => void): void {
    if (this.world.stateDown) return done({ is: "refused", why: "503" });
    this.expire();
    switch (call.op) {
      case "get": {
        const record = this.data.get(call.key);
        return done({
          is: "item",
          item: record
            ? {
                key: call.key,
                value: structuredClone(record.value),
                version: record.version,
              }
            : null,
        });
      }
      case "list": {
        const keys = [...this.data.keys()]
          .filter((k) => k.startsWith(call.prefix) && k > call.after)
          .sort();
        const items: Item[] = keys.slice(0, 20).map((key) => ({
          key,
          value: structuredClone(this.data.get(key)!.value),
          version: this.data.get(key)!.version,
        }));
        return done({
          is: "items",
          items,
          more: keys.length > 20,
          epoch: this.epoch,
        });
      }
      case "commit": {
        // Values and transactions over the current limits are refused.
        const limits = this.world.limitsFell
          ? this.world.nextLimits
          : this.world.settings.state;
        const bytes = Math.max(
          0,
          ...call.writes.map((w) =>
            w.op === "put" ? Buffer.byteLength(JSON.stringify(w.value)) : 0,
          ),
        );
        if (
          bytes > limits.valueBytes ||
          call.writes.length > limits.txnOps ||
          call.conditions.length > 4 * limits.txnOps
        )
          return done({ is: "refused", why: "400" });
        for (const write of call.writes)
          if (
            write.op === "put" &&
            write.hold !== undefined &&
            !this.storeLeases.has(write.hold)
          )
            return done({ is: "refused", why: STORE_LEASE_ENDED });
        if (
          call.conditions.some(
            (c) => (this.data.get(c.key)?.version ?? 0) !== c.version,
          )
        )
          return done({ is: "conflict" });
        this.epoch++;
        for (const write of call.writes) {
          if (write.op === "put") {
            this.data.set(write.key, {
              value: structuredClone(write.value),
              version: this.epoch,
              storeLeaseId: write.hold,
            });
            this.changeLog.push({
              op: "put",
              key: write.key,
              value: structuredClone(write.value),
              version: this.epoch,
            });
          } else if (this.data.delete(write.key))
            this.changeLog.push({
              op: "delete",
              key: write.key,
              version: this.epoch,
            });
        }
        done({ is: "committed", epoch: this.epoch });
        return this.wake();
      }
      case "newHold": {
        const id = ++this.lastStoreLeaseId;
        this.storeLeases.set(id, {
          ttlMs: call.ttlMs,
          endsMs: this.world.now + call.ttlMs,
        });
        return done({ is: "hold", hold: id });
      }
      case "touch": {
        const lease = this.storeLeases.get(call.hold);
        if (!lease) return done({ is: "gone" });
        lease.endsMs = this.world.now + lease.ttlMs;
        return done({ is: "touched" });
      }
      case "changes": {
        if (this.world.rng.chance(0.002)) return done({ is: "gone" });
        const changes = this.changesSince(call.prefix, call.since);
        if (changes.length > 0 || call.waitMs === 0)
          return done({
            is: "changes",
            epoch: this.epoch,
            changes: structuredClone(changes),
          });
        const watcher = { prefix: call.prefix, since: call.since, done };
        this.watchers.add(watcher);
        this.world.at(call.waitMs, () => {
          if (!this.watchers.delete(watcher)) return;
          if (this.world.stateDown) return;
          done({ is: "changes", epoch: this.epoch, changes: [] });
        });
      }
    }
  }
}
