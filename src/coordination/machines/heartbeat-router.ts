/**
 * Decides where a heartbeat is answered. If this controller leads the worker's partition, it answers itself. Otherwise it redirects
 * the worker to the partition's leader, or relays the heartbeat if the worker cannot reach that leader.
 */
import type { Clock, Configuration, StoreView } from "../context.js";
import type { Answer } from "../effects.js";
import type { Heartbeat } from "../model.js";
import { maxRedirects, Redirects } from "./redirects.js";

/** A worker that has made no more statuses than this since it started may have its token from a message, not from an answer. */
const FIRST_SEQUENCES = 8;

/** Whether a worker has just started, so that it may not have tried yet to reach its leader under the token that it shows. */
const hasJustStarted = ({ incarnation, sequence }: Heartbeat): boolean =>
  incarnation === 1 && sequence <= FIRST_SEQUENCES;

/** Answers the heartbeats of one partition's workers. */
interface HeartbeatHandler {
  handleHeartbeat(heartbeat: Heartbeat): Answer;
}

/** Passes heartbeats to the leaders on this controller, and redirects or relays the others. */
export class HeartbeatRouter {
  private readonly redirects: Redirects;

  constructor(
    private readonly ctx: Clock & Configuration & StoreView,
    private readonly leaders: ReadonlyMap<string, HeartbeatHandler>,
    private readonly leadership: { mayAct(): boolean },
  ) {
    this.redirects = new Redirects(maxRedirects(ctx.settings.memMb));
  }

  /** `isRelayed`: a peer has relayed the heartbeat for the worker, so it must not be relayed again. */
  answer(heartbeat: Heartbeat, isRelayed: boolean): Answer {
    const partition = this.ctx.partitions.partitionOf(heartbeat.zone);
    const leader = this.leaders.get(partition);
    if (!leader) return this.redirect(heartbeat, partition, isRelayed);
    return this.leadership.mayAct()
      ? leader.handleHeartbeat(heartbeat)
      : { kind: "retryLater", afterS: 1, reason: "no permit" };
  }

  private redirect(
    heartbeat: Heartbeat,
    partition: string,
    isRelayed: boolean,
  ): Answer {
    const { worker, token } = heartbeat;
    const record = this.ctx.cache.partitions.get(partition);
    if (!record || record.owner === this.ctx.settings.label || isRelayed)
      return { kind: "redirect", leader: null };
    const { owner, version } = record;
    // The worker has seen this leader's token, or was redirected to it just now, and still sent its heartbeat here.
    const isLeaderUnreachable =
      (token >= version && !hasJustStarted(heartbeat)) ||
      this.redirects.wasJustRedirected(worker, version, this.ctx.nowMs);
    if (isLeaderUnreachable) return { kind: "relay", leader: owner };
    this.redirects.note(worker, version, this.ctx.nowMs);
    return { kind: "redirect", leader: owner };
  }
}
