/** The partition leaders of this controller: one for each partition whose fencing token it holds. */
import type { Context } from "../context.js";
import { PartitionLeader } from "../scheduling/partition-leader.js";
import type { Leadership } from "./leadership.js";

/** Creates and drops partition leaders when the fencing tokens in the cache change. */
export class PartitionLeaders {
  private readonly leaders = new Map<string, PartitionLeader>();

  constructor(
    private readonly ctx: Context,
    private readonly leadership: Pick<Leadership, "tokenOf" | "mayAct">,
  ) {}

  /** A live view of the current leaders. */
  get byPartition(): ReadonlyMap<string, PartitionLeader> {
    return this.leaders;
  }

  /** Creates and drops leaders so that one exists exactly for each token that this controller holds according to the cache. */
  update(): void {
    this.dropDeposed();
    for (const partition of this.ctx.partitions.names) {
      const token = this.leadership.tokenOf(partition);
      if (token !== null && !this.leaders.has(partition))
        this.create(partition, token);
    }
  }

  /** Drops all leaders: the store lease has ended, and every token with it. */
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
   * Creates a leader. Its data is complete: every transaction of the former leader was conditional on the partition's record that this
   * token replaced, and the cache includes all changes up to the token's revision, so it has the former leader's registry and assignments.
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
