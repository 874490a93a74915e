/** Keeps the catalog of machine types up to date: one call to the cloud platform at a time. */
import type { Clock, CloudCalls, MachineCatalog } from "../context.js";
import { CallPriority } from "../effects.js";

/** The catalog is read anew after this time. */
const REFRESH_INTERVAL_MS = 60_000;
/** After a failed read it is read again after this time. */
const RETRY_MS = 10_000;
/** The same while there is no catalog at all: no job can be placed until then. */
const FIRST_READ_RETRY_MS = 1_000;

/** Reads the catalog again when its time has come. */
export class CatalogRefresh {
  private nextReadMs = 0;
  private isReading = false;

  constructor(private readonly ctx: Clock & CloudCalls & MachineCatalog) {}

  /** Starts a read if it is time; after a failed one the catalog stays as it is. */
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
