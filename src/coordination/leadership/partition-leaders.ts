/** The partition leaders of this controller: one for each partition whose fencing token it has. */
import type { Context } from "../context.js";
import { PartitionLeader } from "../scheduling/partition-leader.js";
import type { Leadership } from "./leadership.js";

/** Creates and drops partition leaders as the cache shows tokens come and go. */
export class PartitionLeaders {
  private readonly leaders = new Map<string, PartitionLeader>();

  constructor(
    private readonly ctx: Context,
    private readonly leadership: Pick<Leadership, "tokenOf" | "mayAct">,
  ) {}

  /** The present leaders; changes as they come and go. */
  get byPartition(): ReadonlyMap<string, PartitionLeader> {
    return this.leaders;
  }

  /** A leader exists exactly while the cache shows its token as this controller's. */
  update(): void {
    this.dropDeposed();
    for (const partition of this.ctx.partitions.names) {
      const token = this.leadership.tokenOf(partition);
      if (token !== null && !this.leaders.has(partition))
        this.create(partition, token);
    }
  }

  /** The store lease is over, and every token with it. */
  dropAll(): void {
    for (const [partition, { token }] of this.leaders)
      this.ctx.log("partition lost", { partition, token, owner: null });
    this.leaders.clear();
  }

  private dropDeposed(): void {
    for (const [partition, { token }] of this.leaders) {
      if (this.leadership.tokenOf(partition) === token) continue;
      this.leaders.delete(partition);
      const owner = this.ctx.cache.partitions.get(partition)?.owner ?? null;
      this.ctx.log("partition lost", { partition, token, owner });
    }
  }

  /**
   * The cache reaches beyond the token's revision, and every transaction of the former leader depended on the record that this token
   * replaced: its registry and assignments are all here.
   */
  private create(partition: string, token: number): void {
    const mayAct = (): boolean =>
      this.leadership.mayAct() && this.leadership.tokenOf(partition) === token;
    this.leaders.set(
      partition,
      new PartitionLeader(this.ctx, partition, token, mayAct),
    );
    this.ctx.log("partition acquired", { partition, token });
  }
}
