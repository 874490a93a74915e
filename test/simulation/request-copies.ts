import type { Command } from "../../src/coordination/model.js";
import type { Rng } from "./rng.js";

/** Kinds of requests of which the network may deliver a copy after they were carried out. */
const COPIED_REQUESTS = [
  "command",
  "transaction",
  "storeLease",
  "cloudCall",
  "relayedHeartbeat",
] as const;
export type CopiedRequest = (typeof COPIED_REQUESTS)[number];

/** Shortest delay of a copy, and the longest one in worker leases. */
const MIN_DELAY_MS = 100;
const MAX_DELAY_LEASES = 4;

/** A message of commands as it was sent directly to a worker. */
export interface CommandMessage {
  readonly token: number;
  readonly incarnation: number;
  readonly commands: readonly Command[];
}

/** What became of the copies of direct commands. */
export interface CommandCopyCounts {
  /** Messages that reached a running worker. */
  received: number;
  refusedByToken: number;
  refusedByIncarnation: number;
  /** Messages that were carried out once more. */
  carriedOut: number;
  /** Starts in these messages without effect, since the machine still held the attempt. */
  knownAttempts: number;
  /** Starts in these messages that started an attempt once more. */
  restartedAttempts: number;
}

/**
 * Late copies of requests that were carried out: the network delivers them once more, tenths of a second to several worker
 * leases later. Draws from a generator of its own, so that a run without copies does not depend on it.
 */
export class RequestCopies {
  /** Fraction of the requests of each kind of which a copy arrives. */
  private readonly rates = new Map<CopiedRequest, number>();
  /** Copies that were delivered, of each kind. */
  readonly delivered: Record<CopiedRequest, number> = {
    command: 0,
    transaction: 0,
    storeLease: 0,
    cloudCall: 0,
    relayedHeartbeat: 0,
  };
  /** Copies of transactions that were committed once more. */
  committedAgain = 0;
  readonly commandCounts: CommandCopyCounts = {
    received: 0,
    refusedByToken: 0,
    refusedByIncarnation: 0,
    carriedOut: 0,
    knownAttempts: 0,
    restartedAttempts: 0,
  };

  constructor(
    private readonly rng: Rng,
    private readonly leaseMs: () => number,
    private readonly at: (delayMs: number, fn: () => void) => void,
  ) {}

  /** Sets the rate of each kind. */
  setRate(rate: number): void {
    for (const kind of COPIED_REQUESTS) this.rates.set(kind, rate);
  }

  /** Draws whether a copy of a request that was just carried out arrives, and schedules its delivery. */
  draw(kind: CopiedRequest, deliver: () => void): void {
    const rate = this.rates.get(kind) ?? 0;
    if (rate === 0 || !this.rng.chance(rate)) return;
    const maxMs = MAX_DELAY_LEASES * this.leaseMs() * this.rng.real() ** 2;
    this.at(MIN_DELAY_MS + this.rng.real(0, maxMs), () => {
      this.delivered[kind]++;
      deliver();
    });
  }
}
