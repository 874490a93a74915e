/**
 * Transactions at the store: maps replies to outcomes, notes in the cache which revisions were written, and logs what operators
 * should know. Owns the transactions whose outcome is unknown.
 */
import {
  type Change,
  type Condition,
  STORE_LEASE_ENDED,
  type StateReply,
  type Write,
} from "../protocol/state.js";
import { bytesOf } from "../storage/records.js";
import type { EventLog } from "../logging/events.js";
import type {
  Clock,
  StoreTransactions,
  StoreView,
  TransactionOutcome,
} from "./context.js";
import type { CallPriority } from "./effects.js";
import type { CallStore } from "./store/call-store.js";
import { IndeterminateTransactions } from "./store/indeterminate-transactions.js";

/** The store's reply to a malformed or too large request. */
const BAD_REQUEST = "400";

/** Services that `Transactions` needs from the controller. */
interface TransactionPorts {
  callStore: CallStore;
  /** The store has reported that this store lease has ended. */
  onStoreLeaseEnded(storeLease: number): void;
}

/** Sends transactions and determines their outcomes. */
export class Transactions implements StoreTransactions {
  private readonly indeterminate = new IndeterminateTransactions();

  constructor(
    private readonly ctx: Clock & StoreView & EventLog,
    private readonly ports: TransactionPorts,
  ) {}

  commit(
    conditions: Condition[],
    writes: Write[],
    priority: CallPriority,
    done: (outcome: TransactionOutcome) => void,
  ): void {
    this.ports.callStore(
      { op: "commit", conditions, writes },
      priority,
      (reply) => done(this.outcomeOf(reply, writes)),
    );
  }

  /** Logs the transactions of unknown outcome that turn out to be applied, since these changes contain their writes. */
  logLateTransactions(changes: readonly Change[]): void {
    for (const applied of this.indeterminate.takeApplied(
      changes,
      this.ctx.nowMs,
    ))
      this.ctx.log("indeterminate transaction was applied", applied);
  }

  private outcomeOf(
    reply: StateReply,
    writes: readonly Write[],
  ): TransactionOutcome {
    switch (reply.is) {
      case "committed":
        this.noteCommitted(writes, reply.epoch);
        return "ok";
      case "conflict":
        return "conflict";
      case "refused":
        this.onRefused(reply.why, writes);
        return "refused";
      case "unknown":
        this.indeterminate.note(writes, this.ctx.nowMs);
        return "unknown";
      default:
        return "unknown";
    }
  }

  private noteCommitted(writes: readonly Write[], revision: number): void {
    for (const write of writes)
      if (write.op === "put") this.ctx.cache.noteCommitted(write.key, revision);
  }

  private onRefused(reason: string, writes: readonly Write[]): void {
    if (reason === STORE_LEASE_ENDED) this.endStoreLeasesOf(writes);
    // A retry would be refused as well. Not expected: all writes are kept within the store's current and announced limits.
    else if (reason === BAD_REQUEST)
      this.ctx.log("transaction rejected by the store", {
        writes: writes.map((write) => [
          write.op,
          write.key,
          write.op === "put" ? bytesOf(write.value as object) : 0,
        ]),
      });
  }

  private endStoreLeasesOf(writes: readonly Write[]): void {
    for (const write of writes)
      if (write.op === "put" && write.hold !== undefined)
        this.ports.onStoreLeaseEnded(write.hold);
  }
}
