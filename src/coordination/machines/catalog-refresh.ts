/** Keeps the catalog of machine types up to date, with at most one call to the cloud platform in flight. */
import type { Clock, CloudCalls, MachineCatalog } from "../context.js";
import { CallPriority } from "../effects.js";

/** Interval between a successful read of the catalog and the next read. */
const REFRESH_INTERVAL_MS = 60_000;
/** Delay before a failed read is retried. */
const RETRY_MS = 10_000;
/** Retry delay while there is no catalog at all, because no job can be placed without one. */
const FIRST_READ_RETRY_MS = 1_000;

/** Reads the catalog periodically into the shared context. */
export class CatalogRefresh {
  private nextReadMs = 0;
  private isReading = false;

  constructor(private readonly ctx: Clock & CloudCalls & MachineCatalog) {}

  /** Starts a read if one is due. A failed read leaves the catalog unchanged. */
  tick(): void {
    if (this.isReading || this.ctx.nowMs < this.nextReadMs) return;
    this.isReading = true;
    this.ctx.callCloud({ op: "catalog" }, CallPriority.UserRequest, (reply) => {
      this.isReading = false;
      if (reply.kind === "catalog") {
        this.ctx.catalog = reply.types;
        this.nextReadMs = this.ctx.nowMs + REFRESH_INTERVAL_MS;
      } else this.nextReadMs = this.ctx.nowMs + this.retryMs;
    });
  }

  private get retryMs(): number {
    return this.ctx.catalog ? RETRY_MS : FIRST_READ_RETRY_MS;
  }
}
