import {
  bytesOf,
  RECLAIM_KEY,
  type Reclaim,
  writeReclaims,
} from "../../storage/records.js";
import type { Context } from "../context.js";
import { CallPriority } from "../effects.js";
import type { PartitionState } from "../scheduling/partition-state.js";
import { NO_USE } from "../machines/resource-ledger.js";
import { EPSILON } from "../scheduling/placement.js";
import type { Guarantees } from "./guarantees.js";
import { DIMENSIONS, type ResourceAmounts } from "./resource-amounts.js";

/**
 * Added to the grace period and two heartbeat intervals: by then the preempted tasks have ended, and the use of those started
 * instead is published.
 */
const RECLAIM_TTL_S = 6;

/** What a reclaim takes from each team. */
type ReclaimedByTeam = ReadonlyMap<string, ResourceAmounts>;

const NO_AMOUNTS: ResourceAmounts = [0, 0];

/**
 * Records reclaims: preemptions in favor of a team that has less than its guarantee. A leader preempts nothing before it has
 * committed the reclaim, in a transaction that is conditional on the record of all reclaims. Leaders that decide at the same
 * time for the same team, or at the expense of the same team, therefore see each other's reclaims first. Together they preempt
 * at most the deficit plus one task (or gang), and no team falls below its guarantee by more than the last task preempted. A
 * reclaim whose transaction gets no answer preempts nothing and, if it was written, counts until it expires.
 */
export class GuaranteeReclaims {
  private isCommitPending = false;
  /** CPUs and accelerators reclaimed since this leader started, by the team that they were reclaimed for. */
  readonly reclaimed = new Map<string, ResourceAmounts>();

  constructor(
    private readonly context: Context,
    private readonly state: PartitionState,
    private readonly guarantees: Guarantees,
  ) {}

  private unexpiredReclaims(): Map<string, readonly Reclaim[]> {
    const unexpired = new Map<string, readonly Reclaim[]>();
    for (const [partition, reclaims] of this.context.cache.reclaims) {
      const current = reclaims.filter(
        (reclaim) => reclaim.expiresAt > this.context.wallMs,
      );
      if (current.length > 0) unexpired.set(partition, current);
    }
    return unexpired;
  }

  /** What a team gains and loses by all reclaims that have not expired. */
  private pendingAmounts(team: string): {
    gains: ResourceAmounts;
    losses: ResourceAmounts;
  } {
    const gains: ResourceAmounts = [0, 0];
    const losses: ResourceAmounts = [0, 0];
    for (const reclaims of this.unexpiredReclaims().values())
      for (const reclaim of reclaims) {
        if (reclaim.team === team)
          for (const dimension of DIMENSIONS)
            gains[dimension] += reclaim.coveredDeficit[dimension];
        for (const [otherTeam, cpus, gpus] of reclaim.from)
          if (otherTeam === team) {
            losses[0] += cpus;
            losses[1] += gpus;
          }
      }
    return { gains, losses };
  }

  /** Whether `need` still fits into the team's guarantee, on top of what it may use and of pending reclaims for it. */
  mayReclaim(team: string, need: ResourceAmounts): boolean {
    if (this.isCommitPending) return false;
    const headroom = this.guarantees.headroom(
      team,
      this.state.usage().get(team) ?? NO_USE,
    );
    if (!headroom) return false;
    const { gains } = this.pendingAmounts(team);
    return DIMENSIONS.every(
      (dimension) =>
        need[dimension] + gains[dimension] <= headroom[dimension] + EPSILON,
    );
  }

  /** What may still be reclaimed from a team: its certain use beyond its guarantee, less pending reclaims from it. */
  reclaimableFrom(team: string): ResourceAmounts {
    const excess = this.guarantees.excess(
      team,
      this.state.ledger.useOfTeam(team),
    );
    const { losses } = this.pendingAmounts(team);
    return [excess[0] - losses[0], excess[1] - losses[1]];
  }

  /** Records a reclaim of `need` for a team. Tasks may be preempted only when, and if, `onCommitted` is called. */
  reclaim(
    team: string,
    need: ResourceAmounts,
    from: ReclaimedByTeam,
    graceS: number,
    onCommitted: () => void,
  ): void {
    if (this.isCommitPending) return;
    const expiresAt = Math.round(
      this.context.wallMs +
        (RECLAIM_TTL_S + graceS + 2 * this.context.settings.reportS) * 1000,
    );
    const reclaims = this.unexpiredReclaims();
    const ownReclaim: Reclaim = {
      token: this.state.token,
      team,
      coveredDeficit: need,
      from: [...from].map(([fromTeam, amounts]) => [
        fromTeam,
        amounts[0],
        amounts[1],
      ]),
      expiresAt,
    };
    reclaims.set(this.state.partition, [
      ...(reclaims.get(this.state.partition) ?? []),
      ownReclaim,
    ]);
    const value = writeReclaims(reclaims);
    if (bytesOf(value) > this.context.settings.state.valueBytes) return;
    this.isCommitPending = true;
    // Not above the priority of capacity records: a reclaim must not overtake the record of the use that it is based on.
    this.state.commit(
      [
        {
          key: RECLAIM_KEY,
          version: this.context.cache.observedRevisionOf(RECLAIM_KEY),
        },
      ],
      [{ op: "put", key: RECLAIM_KEY, value }],
      CallPriority.Background,
      (outcome) => {
        this.isCommitPending = false;
        if (outcome !== "ok" || !this.state.mayAct()) return;
        const earlier = this.reclaimed.get(team) ?? NO_AMOUNTS;
        const taken = [...from.values()].reduce<ResourceAmounts>(
          (total, amounts) => [total[0] + amounts[0], total[1] + amounts[1]],
          [0, 0],
        );
        this.reclaimed.set(team, [
          earlier[0] + taken[0],
          earlier[1] + taken[1],
        ]);
        onCommitted();
      },
    );
  }
}
