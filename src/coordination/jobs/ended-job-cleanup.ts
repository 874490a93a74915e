/** Deletes completion records of jobs that are over: those that did not fit the transaction that ended the job. */
import type { Clock, Configuration, StoreView } from "../context.js";
import { CallPriority } from "../effects.js";
import type { PartitionState } from "../scheduling/partition-state.js";

/** Between two sweeps. */
const SWEEP_INTERVAL_MS = 5_000;

/** Sweeps under the fencing token of the controller's home partition, while it leads that. */
export class EndedJobCleanup {
  private lastSweepMs = 0;

  constructor(
    private readonly ctx: Clock & Configuration & StoreView,
    private readonly leaders: ReadonlyMap<
      string,
      { readonly state: Pick<PartitionState, "commit"> }
    >,
    private readonly leadership: { mayAct(): boolean },
  ) {}

  /** Sweeps if it is time. */
  tick(): void {
    if (this.ctx.nowMs - this.lastSweepMs <= SWEEP_INTERVAL_MS) return;
    this.lastSweepMs = this.ctx.nowMs;
    this.sweep();
  }

  /** As many records as one transaction holds. */
  private sweep(): void {
    const { cache, settings } = this.ctx;
    const homeLeader = this.leaders.get(settings.label);
    if (!homeLeader || !this.leadership.mayAct()) return;
    const keys = cache
      .leftovers()
      .flatMap((jobId) => cache.sideKeys(jobId))
      .slice(0, settings.state.txnOps);
    if (keys.length === 0) return;
    homeLeader.state.commit(
      [],
      keys.map((key) => ({ op: "delete", key })),
      CallPriority.Background,
      () => {},
    );
  }
}
