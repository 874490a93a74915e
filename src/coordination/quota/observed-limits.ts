import { createHash } from "node:crypto";
import type { Settings } from "../../config/settings.js";
import type { Context } from "../context.js";
import { CallPriority } from "../effects.js";
import { observedLimitsKey } from "../../storage/records.js";

/** Hexadecimal digits kept of the hash of all limits: 64 bits make a collision between two settings negligible. */
const HASH_DIGITS = 16;

/** Hash of all teams' limits: controllers with the same limits in their settings compute the same value. */
function limitsHash(teams: Settings["teams"]): string {
  const limits = [...teams.values()]
    .map((team) => [
      team.name,
      team.cpusMax === Infinity ? 0 : team.cpusMax,
      team.gpusMax === Infinity ? 0 : team.gpusMax,
    ])
    .sort((first, second) => (first[0]! < second[0]! ? -1 : 1));
  return createHash("sha256")
    .update(JSON.stringify(limits))
    .digest("hex")
    .slice(0, HASH_DIGITS);
}

/**
 * Publishes the limits in this controller's settings, as a record attached to its store lease, and compares them with those of
 * the other controllers. A limit is raised only once every live controller has the raised one in its settings: until then the
 * smallest applies. Lowering a limit takes effect without waiting.
 */
export class ObservedLimits {
  private readonly ownHash: string;
  private publishedLeaseId: number | null = null;
  private isPublishing = false;

  constructor(private readonly context: Context) {
    this.ownHash = limitsHash(context.settings.teams);
  }

  /**
   * Whether all live controllers have the same limits. A partition owner without a record disagrees: it runs an earlier version,
   * or has not published its limits yet.
   */
  areAgreed(): boolean {
    const { observedLimits, partitions } = this.context.cache;
    for (const hash of observedLimits.values())
      if (hash !== this.ownHash) return false;
    for (const partition of partitions.values())
      if (observedLimits.get(partition.owner) !== this.ownHash) return false;
    return observedLimits.get(this.context.settings.label) === this.ownHash;
  }

  tick(leaseId: number | null): void {
    const { cache } = this.context;
    if (
      leaseId === null ||
      !cache.ready ||
      this.isPublishing ||
      this.publishedLeaseId === leaseId
    )
      return;
    const key = observedLimitsKey(this.context.settings.label);
    this.isPublishing = true;
    // Invariant (quota): conditional on the latest revision, because a former process of this controller may have sent a record
    // with other settings under a store lease that has not expired. If that transaction were applied late, the other controllers
    // could raise a limit above the one in this controller's settings.
    this.context.commit(
      [{ key, version: cache.latestRevisionOf(key) }],
      [{ op: "put", key, value: { limits: this.ownHash }, hold: leaseId }],
      CallPriority.Leader,
      (outcome) => {
        this.isPublishing = false;
        if (outcome === "ok") this.publishedLeaseId = leaseId;
      },
    );
  }
}
