/**
 * Reads final records that the store cache does not hold. Owns the reads in flight and the queries that wait for one.
 */
import type { StateReply } from "../../protocol/state.js";
import {
  finalKey,
  type FinalRecord,
  readFinal,
} from "../../storage/records.js";
import type { Context } from "../context.js";
import { CallPriority } from "../effects.js";
import type { CallStore } from "./call-store.js";
import { FairQueue } from "./fair-queue.js";

/** Maximum number of reads in flight. */
const MAX_READS_IN_FLIGHT = 12;
/** Maximum number of queries that wait for a read. Users may also ask about any number of jobs that were never submitted. */
const MAX_WAITING_QUERIES = 300;

/** Receives the final record, or the reason why the lookup failed. Both are null if the job has no final record. */
type OnFinalStatus = (
  finalRecord: FinalRecord | null,
  failure: string | null,
) => void;

interface PendingQuery {
  readonly id: string;
  /** When the query was made; steady time, ms. */
  readonly askedMs: number;
  readonly done: OnFinalStatus;
}

interface ReadResult {
  readonly finalRecord: FinalRecord | null;
  readonly failure: string | null;
}

/** Looks up final records; one read serves all queries about the same job that were made before it was sent. */
export class FinalStatusReader {
  private readonly readsInFlight = new Map<string, PendingQuery[]>();
  private readonly waitingQueries = new FairQueue<PendingQuery>(
    MAX_WAITING_QUERIES,
  );

  constructor(
    private readonly ctx: Context,
    private readonly callStore: CallStore,
    private readonly onFound: (id: string, finalRecord: FinalRecord) => void,
  ) {}

  /** Looks up the final record of a job and calls `done` with the result, or with a failure if there are too many queries. */
  lookUp(id: string, done: OnFinalStatus): void {
    const query = { id, askedMs: this.ctx.nowMs, done };
    if (this.joinOrStartRead(query)) return;
    const refused = this.waitingQueries.add(query, this.ctx.nowMs);
    refused?.done(null, "too many questions");
  }

  /** Queries refused so far. */
  get refusedCount(): number {
    return this.waitingQueries.refusedCount;
  }

  /** Time (steady, ms) since which the job refused longest has been refused; null if no job is. */
  get longestRefusedSinceMs(): number | null {
    return this.waitingQueries.longestRefusedSinceMs(this.ctx.nowMs);
  }

  /** Joins the read of this job that is in flight, or starts one; returns false if too many are in flight. */
  private joinOrStartRead(query: PendingQuery): boolean {
    const sameJobQueries = this.readsInFlight.get(query.id);
    // That read may have been sent before this query was made; `onReply` then reads again.
    if (sameJobQueries) sameJobQueries.push(query);
    else if (this.readsInFlight.size < MAX_READS_IN_FLIGHT)
      this.read(query.id, [query]);
    else return false;
    return true;
  }

  private read(id: string, queries: PendingQuery[]): void {
    this.readsInFlight.set(id, queries);
    this.callStore(
      { op: "get", key: finalKey(id) },
      CallPriority.UserRequest,
      (reply, sentMs) => {
        this.readsInFlight.delete(id);
        this.onReply(id, queries, readResult(reply), sentMs);
        this.startWaitingQueries();
      },
    );
  }

  private onReply(
    id: string,
    queries: readonly PendingQuery[],
    { finalRecord, failure }: ReadResult,
    sentMs: number,
  ): void {
    // Invariant (forgotten): only a read that was sent after the query may report that a job does not exist.
    const served = queries.filter((query) => query.askedMs <= sentMs);
    const late = queries.filter((query) => query.askedMs > sentMs);
    if (finalRecord) this.onFound(id, finalRecord);
    if (failure === null) this.waitingQueries.noteAnswered(id);
    for (const query of served) {
      if (failure !== null) this.waitingQueries.refuse(query, this.ctx.nowMs);
      query.done(finalRecord, failure);
    }
    if (late.length > 0) this.read(id, late);
  }

  private startWaitingQueries(): void {
    while (
      this.readsInFlight.size < MAX_READS_IN_FLIGHT &&
      this.waitingQueries.size > 0
    )
      for (const query of this.waitingQueries.take(1))
        this.joinOrStartRead(query);
  }
}

function readResult(reply: StateReply): ReadResult {
  if (reply.is !== "item")
    return { finalRecord: null, failure: "state service does not answer" };
  if (!reply.item) return { finalRecord: null, failure: null };
  const finalRecord = readFinal(reply.item.value);
  const failure = finalRecord ? null : "unreadable record";
  return { finalRecord, failure };
}
