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
    private readonly partition: PartitionState,
    private readonly attempts: AttemptSequence,
  ) {}

  /** The attempt under which this partition's part is to start now; null: not yet. */
  nextAttempt(job: JobRun): number | null {
    if (job.isWritingGangRecord) return null;
    const step = nextGangStep(
      [...job.view.assignment.keys()],
      this.partition.partition,
      this.ctx.cache.gang(job.id),
      job.lastGangAttempt,
    );
    switch (step.kind) {
      case "start":
        return (job.lastGangAttempt = step.attempt);
      case "wait":
        return null;
      case "ready":
        this.writeReady(job, step.after);
        return null;
      case "call":
        this.callAttempt(job);
        return null;
    }
  }

  /** Records that this part is ready to follow an attempt. */
  private writeReady(job: JobRun, after: number): void {
    const key = readyKey(job.id, this.partition.partition);
    const version = this.ctx.cache.latestRevisionOf(key);
    this.commit(job, [{ key, version }], {
      op: "put",
      key,
      value: { attempt: after },
    });
  }

  /** Records the attempt under which all parts are to start. */
  private callAttempt(job: JobRun): void {
    this.commit(job, [], {
      op: "put",
      key: gangKey(job.id),
      value: { attempt: this.attempts.next() },
    });
  }

  /** Conditional on the call that the write follows: one that is carried out late, after the next call, has no effect. */
  private commit(job: JobRun, conditions: Condition[], write: Write): void {
    const alive = { key: jobKey(job.id), version: job.view.revision };
    const called = {
      key: gangKey(job.id),
      version: this.ctx.cache.gang(job.id).revision,
    };
    job.isWritingGangRecord = true;
    this.partition.commit(
      [alive, called, ...conditions],
      [write],
      CallPriority.Leader,
      () => {
        job.isWritingGangRecord = false;
      },
    );
  }
}
