/**
 * Where a heartbeat is answered: by this controller if it leads the worker's partition, else by the partition's leader, to which the
 * worker is redirected or, if the worker cannot reach it, the heartbeat is relayed.
 */
import type { Clock, Configuration, StoreView } from "../context.js";
import type { Answer } from "../effects.js";
import type { Heartbeat } from "../model.js";
import { maxRedirects, Redirects } from "./redirects.js";

/** What answers the heartbeats of a partition. */
interface HeartbeatHandler {
  handleHeartbeat(heartbeat: Heartbeat): Answer;
}

/** Answers heartbeats of led partitions, and sends the others where they belong. */
export class HeartbeatRouter {
  private readonly redirects: Redirects;

  constructor(
    private readonly ctx: Clock & Configuration & StoreView,
    private readonly leaders: ReadonlyMap<string, HeartbeatHandler>,
    private readonly leadership: { mayAct(): boolean },
  ) {
    this.redirects = new Redirects(maxRedirects(ctx.settings.memMb));
  }

  /** `relayed`: a peer has passed it on for the worker; it is not passed on again. */
  answer(heartbeat: Heartbeat, relayed: boolean): Answer {
    const partition = this.ctx.partitions.partitionOf(heartbeat.zone);
    const leader = this.leaders.get(partition);
    if (!leader) return this.redirect(heartbeat, partition, relayed);
    return this.leadership.mayAct()
      ? leader.handleHeartbeat(heartbeat)
      : { kind: "retryLater", afterS: 1, reason: "no permit" };
  }

  private redirect(
    { worker, token }: Heartbeat,
    partition: string,
    relayed: boolean,
  ): Answer {
    const record = this.ctx.cache.partitions.get(partition);
    if (!record || record.owner === this.ctx.settings.label || relayed)
      return { kind: "redirect", leader: null };
    const { owner, version } = record;
    // It has been served under this very token, or was sent there a moment ago, and yet it comes here: its leader is out of its reach.
    const isLeaderOutOfReach =
      token === version ||
      this.redirects.wasJustRedirected(worker, version, this.ctx.nowMs);
    if (isLeaderOutOfReach) return { kind: "relay", leader: owner };
    this.redirects.note(worker, version, this.ctx.nowMs);
    return { kind: "redirect", leader: owner };
  }
}
