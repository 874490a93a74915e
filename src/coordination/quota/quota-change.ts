/**
 * A pending change to the quota records, until the records show whether it was applied. Owns the transaction and the quota that
 * it releases. Design: docs/design/limits.md.
 */
import { partitionKey, type QuotaShares } from "../../storage/records.js";
import type { Context, TransactionOutcome } from "../context.js";
import { CallPriority } from "../effects.js";
import { PendingTransfer } from "../leadership/pending-transfer.js";
import type { PartitionState } from "../scheduling/partition-state.js";
import type { QuotaPlan } from "./quota-situation.js";
import type { QuotaEntry } from "./quota-records.js";
import type { ResourceAmounts } from "./resource-amounts.js";

/** Revisions that a change is conditional on. */
interface ChangeBase {
  records: [key: string, revision: number][];
  /** Partitions that are no longer in the settings, with the fencing token under which they have no leader. */
  removedPartitions: [partition: string, token: number][];
}

/** Commits one plan in a transaction that is conditional on every record that it replaces. */
export class QuotaChange {
  private readonly transfer: PendingTransfer<
    ChangeBase,
    Map<string, QuotaShares>
  >;
  private readonly priority: CallPriority;

  /** `removedTokens`: fencing tokens of removed partitions; the change is conditional on those whose shares the plan reclaims. */
  constructor(
    private readonly context: Context,
    private readonly state: PartitionState,
    private readonly plan: QuotaPlan,
    removedTokens: ReadonlyMap<string, number>,
  ) {
    const base: ChangeBase = {
      records: [...plan.writes.keys()].map((key) => [
        key,
        this.revisionOf(key),
      ]),
      removedPartitions: plan.removedPartitions.flatMap((partition) => {
        const token = removedTokens.get(partition);
        return token === undefined ? [] : [[partition, token]];
      }),
    };
    this.transfer = new PendingTransfer(base, plan.writes);
    this.priority =
      plan.teamsWithNewCap.length > 0
        ? CallPriority.Leader
        : CallPriority.Background;
  }

  /** How much of a team's quota this change releases. */
  releasedOf(team: string): ResourceAmounts {
    const released = this.plan.released.get(team);
    return released ? [released[0], released[1]] : [0, 0];
  }

  /** Whether a record has changed since the plan, which shows whether this change was applied. */
  isSettled(): boolean {
    return this.transfer.baseRevision.records.some(
      ([key, revision]) => this.revisionOf(key) !== revision,
    );
  }

  /** Sends the transaction, or sends it again after a refusal. `onNotApplied` is called if it was certainly not applied. */
  send(onNotApplied: () => void): void {
    this.transfer.send(
      (base, writes, done) => this.commit(base, writes, done),
      onNotApplied,
    );
  }

  private commit(
    base: ChangeBase,
    writes: ReadonlyMap<string, QuotaShares>,
    done: (outcome: TransactionOutcome) => void,
  ): void {
    const conditions = [
      ...base.records.map(([key, version]) => ({ key, version })),
      ...base.removedPartitions.map(([partition, version]) => ({
        key: partitionKey(partition),
        version,
      })),
    ];
    const puts = [...writes].map(([key, value]) => ({
      op: "put" as const,
      key,
      value,
    }));
    this.state.commit(conditions, puts, this.priority, done);
  }

  private revisionOf(key: string): number {
    return this.context.cache.quotaRecords.get(key)?.revision ?? 0;
  }

  // ---- log -------------------------------------------------------------------------------------------------

  logPlanned(limitsAgreed: boolean): void {
    for (const { team, to, amounts, reason } of this.plan.transfers)
      this.context.log("transferring quota to another partition", {
        team,
        to,
        cpus: amounts[0],
        gpus: amounts[1],
        reason,
      });
    for (const team of this.plan.teamsWithNewCap)
      this.context.log("writing team quota", { team, agreed: limitsAgreed });
    for (const partition of this.plan.removedPartitions)
      this.context.log("reclaiming quota of removed partition", { partition });
  }

  /** `entryOf`: the team's current entry in the records. */
  logSettled(entryOf: (team: string) => QuotaEntry | null): void {
    this.context.log("quota change settled", {
      partition: this.state.partition,
      answer: this.transfer.lastOutcome,
      records: this.transfer.baseRevision.records.map(([key, before]) => ({
        key,
        before,
        after: this.revisionOf(key),
      })),
      teams: [...this.plan.released.keys()].flatMap((team) => {
        const entry = entryOf(team);
        return entry ? [{ team, parts: entry.sum, limit: entry.cap }] : [];
      }),
    });
  }
}
