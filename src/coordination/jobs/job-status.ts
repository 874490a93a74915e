/**
 * Answers what became of a job. Owns the reads of final records that the cache does not hold; every answer rests on
 * the store's records.
 */
import type { FinalRecord } from "../../storage/records.js";
import type { Context } from "../context.js";
import type { Answer } from "../effects.js";
import type { PartitionLeader } from "../scheduling/partition-leader.js";
import type { CallStore } from "../store/call-store.js";
import { FinalStatusReader } from "../store/final-status-reader.js";
import type { JobView } from "../store/job-view.js";
import type { StoreWatcher } from "../store/store-watcher.js";
import type { DependencyTracker } from "./dependency-tracker.js";
import type { RequestReplies } from "./request-replies.js";

/** What status queries need of the controller. */
export interface JobStatusPorts {
  readonly replies: RequestReplies;
  readonly leaders: ReadonlyMap<string, PartitionLeader>;
  readonly dependencies: DependencyTracker;
  readonly watcher: StoreWatcher;
  readonly callStore: CallStore;
}

export class JobStatus {
  readonly finalStatusReader: FinalStatusReader;

  constructor(
    private readonly ctx: Context,
    private readonly ports: JobStatusPorts,
  ) {
    this.finalStatusReader = new FinalStatusReader(
      ctx,
      (call, priority, done) => ports.callStore(call, priority, done),
      (id, finalRecord) => this.onFinalRecord(id, finalRecord),
    );
  }

  /** Looks up the final record of a job; what is found goes to the cache and the dependency tracker. */
  lookUpFinalRecord(id: string): void {
    this.finalStatusReader.lookUp(id, () => {});
  }

  /** Takes note that a job is over. */
  onFinalRecord(id: string, finalRecord: FinalRecord): void {
    this.ctx.cache.keepFinalRecord(id, finalRecord);
    this.ports.dependencies.onFinalRecord(id, finalRecord);
  }

  /** The job if it is alive as far as the cache shows. */
  liveJob(id: string): JobView | undefined {
    const { cache } = this.ctx;
    return cache.finalRecords.has(id) ? undefined : cache.jobs.get(id);
  }

  /**
   * Calls `next` with the final record of a job that is not alive, null if there is none; a final record never changes.
   * If the store cannot say, the request is to be repeated later.
   */
  withFinalRecord(
    request: number,
    id: string,
    next: (finalRecord: FinalRecord | null) => void,
  ): void {
    const known = this.ctx.cache.finalRecords.get(id);
    if (known) return next(known);
    this.finalStatusReader.lookUp(id, (finalRecord, failed) =>
      failed === null
        ? next(finalRecord)
        : this.ports.replies.retryLater(request, failed),
    );
  }

  /** Calls `next` once the final record of a dependency that was unresolved is known. */
  withResolvedDependency(
    request: number,
    dependency: string,
    next: () => void,
  ): void {
    this.withFinalRecord(request, dependency, (finalRecord) =>
      finalRecord
        ? next()
        : this.ports.replies.retryLater(request, "not known yet"),
    );
  }

  /** Answers from a read of the store that was sent after the request came. */
  answerAfterRead(request: number, id: string): void {
    this.ports.watcher.afterRead(request, id, () =>
      this.answer(request, id, 200),
    );
  }

  /** After a read of the store: answers with the job's status if it was ever accepted, else calls `unknown`. */
  answerIfAccepted(request: number, id: string, unknown: () => void): void {
    this.ports.watcher.afterRead(request, id, () => {
      if (this.ctx.cache.jobs.has(id)) return this.answer(request, id, 200);
      this.withFinalRecord(request, id, (finalRecord) =>
        finalRecord ? this.answer(request, id, 200) : unknown(),
      );
    });
  }

  /** Answers with the status that the cache shows, reading only what it does not hold. */
  answer(request: number, id: string, status: 200 | 201): void {
    if (this.liveJob(id)) return this.answerLive(request, id, status);
    this.withFinalRecord(request, id, (finalRecord) =>
      this.ports.replies.answer(
        request,
        finalRecord
          ? {
              kind: "job",
              status,
              id,
              state: finalRecord.status,
              done: finalRecord.done,
              running: 0,
            }
          : { kind: "unknownJob" },
      ),
    );
  }

  private answerLive(request: number, id: string, status: 200 | 201): void {
    const { dependencies, replies } = this.ports;
    // Invariant (orphaned, went_back): another controller may know already that one of these is cancelled.
    const unresolved = dependencies.unresolvedDependency(id);
    if (unresolved !== null)
      return this.withResolvedDependency(request, unresolved, () =>
        this.answer(request, id, status),
      );
    if (dependencies.isCancelledByDependency(id))
      return replies.answer(request, {
        kind: "job",
        status,
        id,
        state: "cancelled",
        done: 0,
        running: 0,
      });
    replies.answer(request, this.liveAnswer(id, status));
  }

  private liveAnswer(id: string, status: 200 | 201): Answer {
    const running = this.runningTasksOf(id);
    return {
      kind: "job",
      status,
      id,
      state: running > 0 ? "running" : "queued",
      done: this.ctx.cache.allFinished(id).size,
      running,
      dependsOn: this.ports.dependencies.unfinishedDependencies(id),
    };
  }

  /** Running tasks of a job in all partitions: those led here count their own, the others as they last wrote. */
  private runningTasksOf(id: string): number {
    let running = 0;
    for (const partition of this.ctx.partitions.names)
      running +=
        this.ports.leaders.get(partition)?.state.runningTasksOf(id) ??
        this.ctx.cache.capacities.get(partition)?.running.get(id) ??
        0;
    return running;
  }
}
