/**
 * Reads final records that the store cache does not keep. It owns the reads that are in flight and the questions that wait
 * for one.
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

/** Reads in flight at once. */
const MAX_READS = 12;
/** Questions that wait for a read: users also ask for jobs that nobody submitted. */
const MAX_WAITING = 300;

/** Both null: the job has no final record. `failure`: why that can't be known now. */
type OnFinalStatus = (
  finalRecord: FinalRecord | null,
  failure: string | null,
) => void;

interface PendingQuestion {
  readonly id: string;
  /** When it was asked; steady time, ms. */
  readonly askedMs: number;
  readonly done: OnFinalStatus;
}

interface ReadResult {
  readonly finalRecord: FinalRecord | null;
  readonly failure: string | null;
}

/** One read serves all that asked for the same job before it was sent. */
export class FinalStatusReader {
  private readonly readsInFlight = new Map<string, PendingQuestion[]>();
  private readonly waiting = new FairQueue<PendingQuestion>(MAX_WAITING);

  constructor(
    private readonly ctx: Context,
    private readonly callStore: CallStore,
    private readonly onFound: (id: string, finalRecord: FinalRecord) => void,
  ) {}

  /** Reads the final record of a job, and answers with it or with the reason why it can't be known now. */
  lookUp(id: string, done: OnFinalStatus): void {
    const question = { id, askedMs: this.ctx.nowMs, done };
    if (this.start(question)) return;
    const refused = this.waiting.add(question, this.ctx.nowMs);
    refused?.done(null, "too many questions");
  }

  /** Questions refused so far. */
  get refusedCount(): number {
    return this.waiting.refusedCount;
  }

  /** Since when (steady time, ms) the job that has been refused longest is refused; null: there is none. */
  get longestRefusedSinceMs(): number | null {
    return this.waiting.longestRefusedSinceMs(this.ctx.nowMs);
  }

  /** Joins the read of this job that is in flight, or begins one; false: there are as many as there may be. */
  private start(question: PendingQuestion): boolean {
    const others = this.readsInFlight.get(question.id);
    // The read may have been sent before this question came; `sentMs` tells when it is answered.
    if (others) others.push(question);
    else if (this.readsInFlight.size < MAX_READS)
      this.read(question.id, [question]);
    else return false;
    return true;
  }

  private read(id: string, questions: PendingQuestion[]): void {
    this.readsInFlight.set(id, questions);
    this.callStore(
      { op: "get", key: finalKey(id) },
      CallPriority.UserRequest,
      (reply, sentMs) => {
        this.readsInFlight.delete(id);
        this.onReply(id, questions, readResult(reply), sentMs);
        this.startWaiting();
      },
    );
  }

  private onReply(
    id: string,
    questions: readonly PendingQuestion[],
    { finalRecord, failure }: ReadResult,
    sentMs: number,
  ): void {
    // Invariant (forgotten): that a job is not there is told only by a read that was sent after the question.
    const served = questions.filter((question) => question.askedMs <= sentMs);
    const late = questions.filter((question) => question.askedMs > sentMs);
    if (finalRecord) this.onFound(id, finalRecord);
    if (failure === null) this.waiting.answered(id);
    for (const question of served) {
      if (failure !== null) this.waiting.refuse(question, this.ctx.nowMs);
      question.done(finalRecord, failure);
    }
    if (late.length > 0) this.read(id, late);
  }

  private startWaiting(): void {
    while (this.readsInFlight.size < MAX_READS && this.waiting.size > 0)
      for (const question of this.waiting.take(1)) this.start(question);
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
