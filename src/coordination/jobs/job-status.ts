/**
 * Answers status queries about jobs. Owns the lookups of final records that the cache does not hold; every answer is based
 * on the store's records.
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

/** Parts of the controller that status queries use. */
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

  /** Looks up the final record of a job and passes it, if there is one, to the cache and the dependency tracker. */
  lookUpFinalRecord(id: string): void {
    this.finalStatusReader.lookUp(id, () => {});
  }

  /** Passes a job's final record to the cache and the dependency tracker. */
  onFinalRecord(id: string, finalRecord: FinalRecord): void {
    this.ctx.cache.cacheFinalRecord(id, finalRecord);
    this.ports.dependencies.onFinalRecord(id, finalRecord);
  }

  /** The job if the cache shows it as alive. */
  liveJob(id: string): JobView | undefined {
    const { cache } = this.ctx;
    return cache.finalRecords.has(id) ? undefined : cache.jobs.get(id);
  }

  /**
   * Calls `next` with the final record of a job that is not alive, or with null if it has none. A cached one is used at any
   * age, since final records never change. If the lookup fails, the user is asked to retry.
   */
  withFinalRecord(
    reqId: number,
    id: string,
    next: (finalRecord: FinalRecord | null) => void,
  ): void {
    const cached = this.ctx.cache.finalRecords.get(id);
    if (cached) return next(cached);
    this.finalStatusReader.lookUp(id, (finalRecord, failure) =>
      failure === null
        ? next(finalRecord)
        : this.ports.replies.retryLater(reqId, failure),
    );
  }

  /** Calls `next` once the final record of an unresolved dependency is known. */
  withResolvedDependency(
    reqId: number,
    dependency: string,
    next: () => void,
  ): void {
    this.withFinalRecord(reqId, dependency, (finalRecord) =>
      finalRecord
        ? next()
        : this.ports.replies.retryLater(reqId, "not known yet"),
    );
  }

  /** Answers with the job's status after a read of the store that is sent after the request arrived. */
  answerAfterRead(reqId: number, id: string): void {
    this.ports.watcher.afterRead(reqId, id, () => this.answer(reqId, id, 200));
  }

  /** After a read of the store, answers with the job's status if it was ever accepted, otherwise calls `onUnknown`. */
  answerIfAccepted(reqId: number, id: string, onUnknown: () => void): void {
    this.ports.watcher.afterRead(reqId, id, () => {
      if (this.ctx.cache.jobs.has(id)) return this.answer(reqId, id, 200);
      this.withFinalRecord(reqId, id, (finalRecord) =>
        finalRecord ? this.answer(reqId, id, 200) : onUnknown(),
      );
    });
  }

  /** Answers with the status that the cache shows; reads from the store only final records that the cache does not hold. */
  answer(reqId: number, id: string, status: 200 | 201): void {
    if (this.liveJob(id)) return this.answerLive(reqId, id, status);
    this.withFinalRecord(reqId, id, (finalRecord) =>
      this.ports.replies.answer(
        reqId,
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

  private answerLive(reqId: number, id: string, status: 200 | 201): void {
    const { dependencies, replies } = this.ports;
    // Invariant (orphaned, went_back): another controller may already know that an unresolved dependency is cancelled.
    const unresolved = dependencies.unresolvedDependency(id);
    if (unresolved !== null)
      return this.withResolvedDependency(reqId, unresolved, () =>
        this.answer(reqId, id, status),
      );
    if (dependencies.isCancelledByDependency(id))
      return replies.answer(reqId, {
        kind: "job",
        status,
        id,
        state: "cancelled",
        done: 0,
        running: 0,
      });
    replies.answer(reqId, this.liveAnswer(id, status));
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

  /** Running tasks of a job in all partitions: counted in those led here, taken from the capacity records of the others. */
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
