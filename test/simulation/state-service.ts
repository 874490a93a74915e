import type { Settings } from "../../src/config/settings.js";
import {
  type Change,
  STORE_LEASE_ENDED,
  type Item,
  type StateCall,
  type StateReply,
} from "../../src/protocol/state.js";
import type { Rng } from "./rng.js";

/** What the state service's stand-in needs of the world around it. */
export interface StateServiceWorld {
  readonly now: number;
  readonly rng: Rng;
  readonly settings: Settings;
  readonly stateDown: boolean;
  /** The limits that count once `limitsFell`. */
  readonly nextLimits: { readonly valueBytes: number; readonly txnOps: number };
  readonly limitsFell: boolean;
  at(delayMs: number, fn: () => void): void;
}

/** A stand-in for the state service: records, conditional transactions, holds and watches. */
export class StateService {
  epoch = 0;
  readonly data = new Map<
    string,
    { value: unknown; version: number; hold?: number | undefined }
  >();
  readonly holds = new Map<number, { ttlMs: number; endsMs: number }>();
  private readonly log: Change[] = [];
  private readonly watchers = new Set<{
    prefix: string;
    since: number;
    done: (r: StateReply) => void;
  }>();
  private holdIds = 0;

  constructor(private readonly world: StateServiceWorld) {}

  /** After an outage every hold has its full time again. */
  restart(): void {
    for (const h of this.holds.values()) h.endsMs = this.world.now + h.ttlMs;
  }
  private expire(): void {
    for (const [id, h] of this.holds) {
      if (this.world.now < h.endsMs) continue;
      this.holds.delete(id);
      const keys = [...this.data]
        .filter(([, d]) => d.hold === id)
        .map(([k]) => k);
      if (keys.length === 0) continue;
      this.epoch++;
      for (const k of keys) {
        this.data.delete(k);
        this.log.push({ op: "delete", key: k, version: this.epoch });
      }
    }
    this.wake();
  }
  tick(): void {
    if (!this.world.stateDown) this.expire();
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
      this.watchers.delete(w);
      w.done({
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
        const d = this.data.get(call.key);
        return done({
          is: "item",
          item: d
            ? {
                key: call.key,
                value: structuredClone(d.value),
                version: d.version,
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
        // Values and transactions over the limit of the day are refused.
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
        for (const w of call.writes)
          if (w.op === "put" && w.hold !== undefined && !this.holds.has(w.hold))
            return done({ is: "refused", why: STORE_LEASE_ENDED });
        if (
          call.conditions.some(
            (c) => (this.data.get(c.key)?.version ?? 0) !== c.version,
          )
        )
          return done({ is: "conflict" });
        this.epoch++;
        for (const w of call.writes) {
          if (w.op === "put") {
            this.data.set(w.key, {
              value: structuredClone(w.value),
              version: this.epoch,
              hold: w.hold,
            });
            this.log.push({
              op: "put",
              key: w.key,
              value: structuredClone(w.value),
              version: this.epoch,
            });
          } else if (this.data.delete(w.key))
            this.log.push({ op: "delete", key: w.key, version: this.epoch });
        }
        done({ is: "committed", epoch: this.epoch });
        return this.wake();
      }
      case "newHold": {
        const id = ++this.holdIds;
        this.holds.set(id, {
          ttlMs: call.ttlMs,
          endsMs: this.world.now + call.ttlMs,
        });
        return done({ is: "hold", hold: id });
      }
      case "touch": {
        const h = this.holds.get(call.hold);
        if (!h) return done({ is: "gone" });
        h.endsMs = this.world.now + h.ttlMs;
        return done({ is: "touched" });
      }
      case "changes": {
        if (this.world.rng.chance(0.002)) return done({ is: "gone" });
        const changes = this.since(call.prefix, call.since);
        if (changes.length > 0 || call.waitMs === 0)
          return done({
            is: "changes",
            epoch: this.epoch,
            changes: structuredClone(changes),
          });
        const w = { prefix: call.prefix, since: call.since, done };
        this.watchers.add(w);
        this.world.at(call.waitMs, () => {
          if (!this.watchers.delete(w)) return;
          if (this.world.stateDown) return;
          done({ is: "changes", epoch: this.epoch, changes: [] });
        });
      }
    }
  }
}
