/**
 * One change of the quota records that this partition has under way, until the records show how it ended. Owns the transaction
 * and what is reserved for it. Design: docs/design/limits.md.
 */
import { partitionKey, type QuotaShares } from "../../storage/records.js";
import type { Context, TransactionOutcome } from "../context.js";
import { CallPriority } from "../effects.js";
import { PendingTransfer } from "../leadership/pending-transfer.js";
import type { PartitionState } from "../scheduling/partition-state.js";
import type { QuotaPlan } from "./quota-situation.js";
import type { QuotaEntry } from "./quota-records.js";
import type { ResourceAmounts } from "./resource-amounts.js";

/** Revisions that a change depends on. */
interface ChangeBase {
  records: [key: string, version: number][];
  /** Partitions that no settings name, with the token under which they have no leader. */
  removedPartitions: [partition: string, token: number][];
}

/** Carries out one plan: a transaction that is conditional on every record it replaces. */
export class QuotaChange {
  private readonly transfer: PendingTransfer<
    ChangeBase,
    Map<string, QuotaShares>
  >;
  private readonly priority: CallPriority;

  /** `removedTokens`: the tokens of removed partitions, which the plan may rest on. */
  constructor(
    private readonly context: Context,
    private readonly state: PartitionState,
    private readonly plan: QuotaPlan,
    removedTokens: ReadonlyMap<string, number>,
  ) {
    const base: ChangeBase = {
      records: [...plan.writes.keys()].map((key) => [key, this.versionOf(key)]),
      removedPartitions: plan.removedPartitions.flatMap((partition) => {
        const token = removedTokens.get(partition);
        return token === undefined ? [] : [[partition, token]];
      }),
    };
    this.transfer = new PendingTransfer(base, plan.writes);
    this.priority =
      plan.caps.length > 0 ? CallPriority.Leader : CallPriority.Background;
  }

  /** What of a team's limit it gives away. */
  reservedOf(team: string): ResourceAmounts {
    const reserved = this.plan.released.get(team);
    return reserved ? [reserved[0], reserved[1]] : [0, 0];
  }

  /** Whether the records show how it ended. */
  isSettled(): boolean {
    return this.transfer.baseRevision.records.some(
      ([key, version]) => this.versionOf(key) !== version,
    );
  }

  /** Sends the transaction, again after a refusal; `onNotApplied`: it was surely not carried out. */
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

  private versionOf(key: string): number {
    return this.context.cache.quotaRecords.get(key)?.revision ?? 0;
  }

  // ---- log -------------------------------------------------------------------------------------------------

  logPlanned(agreed: boolean): void {
    for (const { team, to, amounts: give, reason } of this.plan.transfers)
      this.context.log("transferring quota to another partition", {
        team,
        to,
        cpus: give[0],
        gpus: give[1],
        reason,
      });
    for (const team of this.plan.caps)
      this.context.log("writing team quota", { team, agreed });
    for (const partition of this.plan.removedPartitions)
      this.context.log("reclaiming quota of removed partition", { partition });
  }

  /** `entryOf`: what is written of a team now. */
  logSettled(entryOf: (team: string) => QuotaEntry | null): void {
    this.context.log("quota change settled", {
      partition: this.state.partition,
      answer: this.transfer.lastOutcome,
      records: this.transfer.baseRevision.records.map(([key, before]) => ({
        key,
        before,
        after: this.versionOf(key),
      })),
      teams: [...this.plan.released.keys()].flatMap((team) => {
        const entry = entryOf(team);
        return entry ? [{ team, parts: entry.sum, limit: entry.cap }] : [];
      }),
    });
  }
}
