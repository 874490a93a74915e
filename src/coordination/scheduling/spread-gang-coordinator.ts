/**
 * Starts this partition's part of a gang that is spread over partitions, under the attempt that all parts share. Owns no
 * state: what the parts agree on is in the store, and the last attempt in the `JobRun`.
 */
import { gangKey, jobKey, readyKey } from "../../storage/records.js";
import type { Condition, Write } from "../../protocol/state.js";
import type { Context } from "../context.js";
import { CallPriority } from "../effects.js";
import type { JobRun } from "../machines/worker-state.js";
import type { AttemptSequence } from "./attempt-sequence.js";
import type { PartitionState } from "./partition-state.js";
import { nextGangStep } from "./spread-gangs.js";

export class SpreadGangCoordinator {
  constructor(
    private readonly ctx: Context,
    private readonly state: PartitionState,
    private readonly attempts: AttemptSequence,
  ) {}

  /** The attempt under which this partition's part starts now; null if it does not start yet. */
  nextAttempt(job: JobRun): number | null {
    if (job.isWritingGangRecord) return null;
    const step = nextGangStep(
      [...job.view.assignment.keys()],
      this.state.partition,
      this.ctx.cache.gang(job.id),
      job.lastGangAttempt,
    );
    switch (step.kind) {
      case "start":
        return (job.lastGangAttempt = step.attempt);
      case "wait":
        return null;
      case "ready":
        this.writeReady(job, step.afterAttempt);
        return null;
      case "announce":
        this.announceAttempt(job);
        return null;
    }
  }

  /** Writes that this part is ready for the attempt that follows `afterAttempt`. */
  private writeReady(job: JobRun, afterAttempt: number): void {
    const key = readyKey(job.id, this.state.partition);
    const version = this.ctx.cache.latestRevisionOf(key);
    this.commit(job, [{ key, version }], {
      op: "put",
      key,
      value: { attempt: afterAttempt },
    });
  }

  /** Writes the attempt under which all parts start. */
  private announceAttempt(job: JobRun): void {
    this.commit(job, [], {
      op: "put",
      key: gangKey(job.id),
      value: { attempt: this.attempts.next() },
    });
  }

  /** Commits on condition that the job is unchanged and no attempt was announced since, so that a late commit has no effect. */
  private commit(job: JobRun, conditions: Condition[], write: Write): void {
    const jobCondition = { key: jobKey(job.id), version: job.view.revision };
    const gangCondition = {
      key: gangKey(job.id),
      version: this.ctx.cache.gang(job.id).revision,
    };
    job.isWritingGangRecord = true;
    this.state.commit(
      [jobCondition, gangCondition, ...conditions],
      [write],
      CallPriority.Leader,
      () => {
        job.isWritingGangRecord = false;
      },
    );
  }
}
