/** Deletes progress records of ended jobs: those that did not fit in the transaction that ended the job. */
import type { Clock, Configuration, StoreView } from "../context.js";
import { CallPriority } from "../effects.js";
import type { PartitionState } from "../scheduling/partition-state.js";

/** Interval between two cleanups. */
const CLEANUP_INTERVAL_MS = 5_000;

/** Deletes under the fencing token of the controller's home partition, while the controller leads that partition. */
export class EndedJobCleanup {
  private lastCleanupMs = 0;

  constructor(
    private readonly ctx: Clock & Configuration & StoreView,
    private readonly leaders: ReadonlyMap<
      string,
      { readonly state: Pick<PartitionState, "commit"> }
    >,
    private readonly leadership: { mayAct(): boolean },
  ) {}

  /** Runs a cleanup if one is due. */
  tick(): void {
    if (this.ctx.nowMs - this.lastCleanupMs <= CLEANUP_INTERVAL_MS) return;
    this.lastCleanupMs = this.ctx.nowMs;
    this.cleanUp();
  }

  /** Deletes as many records as one transaction can hold. */
  private cleanUp(): void {
    const { cache, settings } = this.ctx;
    const homeLeader = this.leaders.get(settings.label);
    if (!homeLeader || !this.leadership.mayAct()) return;
    const keys = cache
      .endedJobsWithProgress()
      .flatMap((jobId) => cache.progressKeys(jobId))
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
