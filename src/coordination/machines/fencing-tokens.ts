/**
 * Raises the fencing token of the messages to single workers, without a write. Owns which token the store's revision has to exceed
 * before a worker can be given a higher one.
 */

import type { StoreView } from "../context.js";
import { keepsExitedForToken } from "./worker-commands.js";
import type { Worker } from "./worker-state.js";

/**
 * Fencing tokens of the leader of a partition. Invariant (one leader per partition): the store revision that the cache has reached
 * while it shows this leader's record is lower than the token of every later leader, which is the revision of a later write.
 */
export class FencingTokens {
  /** A worker needs a higher token than this, and the store has not reached such a revision yet; null if none does. */
  private exhaustedToken: number | null = null;

  constructor(
    private readonly ctx: StoreView,
    /** Whether this controller may act for the partition at this moment. */
    private readonly mayAct: () => boolean,
  ) {}

  /** Raises the token of the next messages to a worker if it needs a higher one. */
  raiseIfNeeded(worker: Worker): void {
    // A message in flight would be refused if the worker saw the higher token first.
    if (!needsHigherToken(worker) || worker.commandInFlight || !this.mayAct())
      return;
    this.raise(worker);
  }

  /** A token above those of all starts sent to a worker; null until the store has reached such a revision. */
  tokenAboveStarts(worker: Worker): number | null {
    const { commandFence } = worker;
    if (!commandFence.refusesAllStarts(commandFence.token)) this.raise(worker);
    return commandFence.refusesAllStarts(commandFence.token)
      ? commandFence.token
      : null;
  }

  private raise(worker: Worker): void {
    const lowest = Math.max(worker.commandFence.token, worker.token);
    const { revision } = this.ctx.cache;
    if (revision <= lowest) {
      this.exhaustedToken = Math.max(this.exhaustedToken ?? 0, lowest);
      return;
    }
    worker.commandFence.raiseToken(revision);
  }

  /** Whether a worker needs a higher token than the store's present revision, so that some change has to be written. */
  get needsNewRevision(): boolean {
    if (this.exhaustedToken === null) return false;
    if (this.ctx.cache.revision > this.exhaustedToken)
      this.exhaustedToken = null;
    return this.exhaustedToken !== null;
  }
}

/** Whether the next answer to a worker needs a higher token than the messages before it. */
function needsHigherToken(worker: Worker): boolean {
  return (
    worker.commandFence.needsHigherToken ||
    worker.token > worker.commandFence.token ||
    keepsExitedForToken(worker)
  );
}
