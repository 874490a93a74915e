/**
 * Cancels jobs at users' request. Owns no state: a cancellation is one conditional commit.
 */
import { jobEndWrites, jobKey } from "../../storage/records.js";
import type { Context } from "../context.js";
import { CallPriority } from "../effects.js";
import type { JobView } from "../store/job-view.js";
import type { StoreWatcher } from "../store/store-watcher.js";
import { finalRecordOf, progressKeysToDelete } from "./job-completion.js";
import type { JobStatus } from "./job-status.js";
import type { RequestReplies } from "./request-replies.js";

/** Maximum number of retries when a job's record changes between the read and the commit. */
const MAX_CANCEL_RETRIES = 4;

/** Parts of the controller that cancellation uses. */
export interface JobCancellationPorts {
  readonly replies: RequestReplies;
  readonly watcher: StoreWatcher;
  readonly status: JobStatus;
}

export class JobCancellation {
  constructor(
    private readonly ctx: Context,
    private readonly ports: JobCancellationPorts,
  ) {}

  /** Cancels a job, or answers how it has ended. The cache must have been read after the request arrived. */
  cancel(reqId: number, id: string, retries = MAX_CANCEL_RETRIES): void {
    const job = this.ports.status.liveJob(id);
    if (job) this.commitCancellation(reqId, job, retries);
    else this.answerEnded(reqId, id);
  }

  private answerEnded(reqId: number, id: string): void {
    const { replies, status } = this.ports;
    status.withFinalRecord(reqId, id, (finalRecord) =>
      replies.answer(
        reqId,
        finalRecord
          ? { kind: "job", status: 200, id, state: finalRecord.status }
          : { kind: "unknownJob" },
      ),
    );
  }

  private commitCancellation(
    reqId: number,
    job: JobView,
    retries: number,
  ): void {
    const { replies, status, watcher } = this.ports;
    const id = job.id;
    const finishedTasks = this.ctx.cache.allFinished(id).size;
    const finalRecord = finalRecordOf(
      this.ctx,
      job.spec,
      "cancelled",
      finishedTasks,
    );
    // Invariant (went_back): cancelling and completing a job are conditional on the same record, so only one of them happens.
    this.ctx.commit(
      [{ key: jobKey(id), version: job.revision }],
      jobEndWrites(id, finalRecord, progressKeysToDelete(this.ctx, id)),
      CallPriority.UserRequest,
      (outcome) => {
        if (outcome === "ok") {
          status.onFinalRecord(id, finalRecord);
          replies.answer(reqId, {
            kind: "job",
            status: 200,
            id,
            state: "cancelled",
          });
        } else if (outcome === "conflict" && retries > 0)
          watcher.afterRead(reqId, id, () =>
            this.cancel(reqId, id, retries - 1),
          );
        else replies.retryLater(reqId, "state service does not answer");
      },
    );
  }
}
