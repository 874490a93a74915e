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

/** Until what is stopped for a claim is gone and what it was stopped for is published as started. */
const CLAIM_TTL_S = 6;

/** Of which teams a claim takes how much. */
type ReclaimedByTeam = ReadonlyMap<string, ResourceAmounts>;

const NOTHING: ResourceAmounts = [0, 0];

/**
 * What is stopped so that a team gets its guarantee is claimed first, by a commit that depends on all claims that stand:
 * masters that decide at once for the same team, or at the cost of the same one, see each other's before they stop
 * anything. So all together stop no more than the deficit and one task (or gang) beyond, and nobody falls below a
 * guarantee by more than the last task stopped. A claim without an answer stops nothing and counts until its time is over.
 */
export class GuaranteeReclaims {
  private asking = false;
  /** Stopped under a claim since this master began, by the team that it was for: CPUs and accelerators. */
  readonly reclaimed = new Map<string, ResourceAmounts>();

  constructor(
    private readonly ctx: Context,
    private readonly own: PartitionState,
    private readonly guarantees: Guarantees,
  ) {}

  private standing(): Map<string, readonly Reclaim[]> {
    const out = new Map<string, readonly Reclaim[]>();
    for (const [partition, list] of this.ctx.cache.reclaims) {
      const open = list.filter((c) => c.expiresAt > this.ctx.wallMs);
      if (open.length > 0) out.set(partition, open);
    }
    return out;
  }

  /** By claims that stand: what a team is about to get, and what it is about to lose. */
  private claimed(team: string): {
    gets: ResourceAmounts;
    loses: ResourceAmounts;
  } {
    const gets: ResourceAmounts = [0, 0];
    const loses: ResourceAmounts = [0, 0];
    for (const list of this.standing().values())
      for (const c of list) {
        if (c.team === team)
          for (const d of DIMENSIONS) gets[d] += c.coveredDeficit[d];
        for (const [t, cpus, gpus] of c.from)
          if (t === team) {
            loses[0] += cpus;
            loses[1] += gpus;
          }
      }
    return { gets, loses };
  }

  /** Whether a team may claim so much more: it fits into its guarantee with all that it has and all that is claimed for it. */
  mayReclaim(team: string, need: ResourceAmounts): boolean {
    if (this.asking) return false;
    const lacks = this.guarantees.headroom(
      team,
      this.own.usage().get(team) ?? NO_USE,
    );
    if (!lacks) return false;
    const { gets } = this.claimed(team);
    return DIMENSIONS.every((d) => need[d] + gets[d] <= lacks[d] + EPSILON);
  }

  /** What may still be taken of a team: all that it surely has beyond its guarantee, less what is claimed of it already. */
  reclaimableFrom(team: string): ResourceAmounts {
    const excess = this.guarantees.excess(
      team,
      this.own.ledger.useOfTeam(team),
    );
    const { loses } = this.claimed(team);
    return [excess[0] - loses[0], excess[1] - loses[1]];
  }

  /** Claims so much for a team at the cost of others; `granted`: now, and only now, they may be stopped. */
  reclaim(
    team: string,
    need: ResourceAmounts,
    from: ReclaimedByTeam,
    graceS: number,
    granted: () => void,
  ): void {
    if (this.asking) return;
    const until = Math.round(
      this.ctx.wallMs +
        (CLAIM_TTL_S + graceS + 2 * this.ctx.settings.reportS) * 1000,
    );
    const all = this.standing();
    const mine: Reclaim = {
      token: this.own.token,
      team,
      coveredDeficit: need,
      from: [...from].map(([t, p]) => [t, p[0], p[1]]),
      expiresAt: until,
    };
    all.set(this.own.partition, [...(all.get(this.own.partition) ?? []), mine]);
    const value = writeReclaims(all);
    if (bytesOf(value) > this.ctx.settings.state.valueBytes) return;
    this.asking = true;
    // No more urgent than the writing of rooms: a claim never overtakes the use that it was judged by.
    this.own.commit(
      [
        {
          key: RECLAIM_KEY,
          version: this.ctx.cache.observedRevisionOf(RECLAIM_KEY),
        },
      ],
      [{ op: "put", key: RECLAIM_KEY, value }],
      CallPriority.Background,
      (end) => {
        this.asking = false;
        if (end !== "ok" || !this.own.mayAct()) return;
        const sum = this.reclaimed.get(team) ?? NOTHING;
        const taken = [...from.values()].reduce<ResourceAmounts>(
          (s, p) => [s[0] + p[0], s[1] + p[1]],
          [0, 0],
        );
        this.reclaimed.set(team, [sum[0] + taken[0], sum[1] + taken[1]]);
        granted();
      },
    );
  }
}
