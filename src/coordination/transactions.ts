/**
 * Transactions at the store: turns replies into outcomes, notes what was written, and logs what needs the operators. Owns the
 * transactions whose outcome is not known.
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

/** What transactions need from the controller around them. */
interface TransactionPorts {
  callStore: CallStore;
  /** The store has said that this store lease is over. */
  onStoreLeaseEnded(storeLease: number): void;
}

/** Sends transactions and judges how they ended. */
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

  /** Logs those transactions without an answer that these changes show to have been carried out. */
  logLateTransactions(changes: readonly Change[]): void {
    for (const late of this.indeterminate.takeApplied(changes, this.ctx.nowMs))
      this.ctx.log("indeterminate transaction was applied", late);
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

  private onRefused(why: string, writes: readonly Write[]): void {
    if (why === STORE_LEASE_ENDED) this.endStoreLeasesOf(writes);
    // Repeated unchanged it would be refused for ever: everything written is kept within the limits, now and next.
    else if (why === BAD_REQUEST)
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
