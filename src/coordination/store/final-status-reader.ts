import type { StateCall, StateReply } from "../../protocol/state.js";
import {
  finalKey,
  type FinalRecord,
  readFinal,
} from "../../storage/records.js";
import type { Context } from "../context.js";
import { CallPriority } from "../effects.js";
import { FairQueue } from "./fair-queue.js";

/** Reads on their way at once, and questions that wait for one: users also ask for what nobody submitted. */
const MAX_READS = 12;
const MAX_WAITING = 300;

type OnFinalStatus = (
  finalRecord: FinalRecord | null,
  failed: string | null,
) => void;
interface PendingQuestion {
  readonly id: string;
  atMs: number;
  done: OnFinalStatus;
}

/** Final states that this controller's copy does not hold: one read serves all that asked for the same job before it was sent. */
export class FinalStatusReader {
  private readonly reading = new Map<string, PendingQuestion[]>();
  private readonly waiting = new FairQueue<PendingQuestion>(MAX_WAITING);

  constructor(
    private readonly ctx: Context,
    private readonly state: (
      call: StateCall,
      priority: CallPriority,
      done: (r: StateReply, sentMs: number) => void,
    ) => void,
    private readonly onFound: (id: string, finalRecord: FinalRecord) => void,
  ) {}

  /** `past` null: it has none, or `failed` says why that can't be known now. */
  ask(id: string, done: OnFinalStatus): void {
    const asked = { id, atMs: this.ctx.nowMs, done };
    if (!this.start(asked))
      this.waiting.add(asked, this.ctx.nowMs)?.done(null, "too many questions");
  }

  /** Joins the read of this job that is under way, or begins one; false: there are as many as there may be. */
  private start(a: PendingQuestion): boolean {
    const others = this.reading.get(a.id);
    // One that is on its way was sent before, or is not sent yet: `sentMs` tells.
    if (others) others.push(a);
    else if (this.reading.size < MAX_READS) this.read(a.id, [a]);
    else return false;
    return true;
  }

  private read(id: string, asked: PendingQuestion[]): void {
    this.reading.set(id, asked);
    this.state(
      { op: "get", key: finalKey(id) },
      CallPriority.UserRequest,
      (r, sentMs) => {
        this.reading.delete(id);
        // Invariant (forgotten): that a job is not there is told only by a read that was sent after the question.
        const served = asked.filter((a) => a.atMs <= sentMs);
        const late = asked.filter((a) => a.atMs > sentMs);
        const p = r.is === "item" && r.item ? readFinal(r.item.value) : null;
        if (p) this.onFound(id, p);
        const failed =
          r.is !== "item"
            ? "state service does not answer"
            : r.item && !p
              ? "unreadable record"
              : null;
        if (failed === null) this.waiting.answered(id);
        for (const a of served) {
          if (failed !== null) this.waiting.refuse(a, this.ctx.nowMs);
          a.done(p, failed);
        }
        if (late.length > 0) this.read(id, late);
        this.next();
      },
    );
  }

  private next(): void {
    while (this.reading.size < MAX_READS && this.waiting.size > 0)
      for (const a of this.waiting.take(1)) this.start(a);
  }

  get refused(): number {
    return this.waiting.refused;
  }
  get oldestMs(): number | null {
    return this.waiting.oldestMs(this.ctx.nowMs);
  }
}
