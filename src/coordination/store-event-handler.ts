/** Dispatches changes of the store cache to the parts of the core that act on them. */
import type { RateLimitedLog } from "../logging/rate-limited-log.js";
import type { StoreView } from "./context.js";
import type { DependencyTracker } from "./jobs/dependency-tracker.js";
import type { PendingAssignments } from "./jobs/pending-assignments.js";
import type { PartitionLeaders } from "./leadership/partition-leaders.js";
import type { JobView } from "./store/job-view.js";
import type { StoreEvent } from "./store/store-events.js";

/** The parts of the core that act on changes of the store cache. */
interface StoreEventTargets {
  leaders: PartitionLeaders;
  dependencies: DependencyTracker;
  pendingAssignments: PendingAssignments;
  inconsistencyLog: RateLimitedLog;
}

/** Passes each event to its targets, then updates the partition leaders and processes the jobs that wait for others. */
export class StoreEventHandler {
  constructor(
    private readonly ctx: StoreView,
    private readonly targets: StoreEventTargets,
  ) {}

  /** Handles events in the order in which the cache applied them. */
  handle(events: readonly StoreEvent[]): void {
    for (const event of events) this.handleOne(event);
    this.targets.leaders.update();
    this.targets.dependencies.processWaitingJobs();
  }

  private handleOne(event: StoreEvent): void {
    const { dependencies, pendingAssignments, inconsistencyLog } = this.targets;
    switch (event.kind) {
      case "job":
        return this.onJob(event.job);
      case "jobRemoved":
        return this.onJobRemoved(event.id);
      case "final":
        return dependencies.onFinalRecord(event.id, event.record);
      case "completion":
        return this.onTasksCompleted(event.id);
      case "capacity":
        return pendingAssignments.forget(event.partition);
      case "unreadable":
        return inconsistencyLog.warn("unreadable record", event.key, {});
      // No part acts on these at once: they are read from the cache when they are needed.
      case "partition":
      case "leadershipBid":
      case "quota":
      case "observedLimits":
    }
  }

  private onJob(job: JobView): void {
    for (const leader of this.targets.leaders.byPartition.values())
      leader.syncJob(job);
    this.targets.dependencies.onJob(job);
  }

  private onJobRemoved(jobId: string): void {
    for (const leader of this.targets.leaders.byPartition.values())
      leader.removeJob(jobId);
    this.targets.dependencies.onJobRemoved(jobId);
  }

  /** Only leaders that have the job have tasks of it. */
  private onTasksCompleted(jobId: string): void {
    const job = this.ctx.cache.jobs.get(jobId);
    if (!job) return;
    for (const leader of this.targets.leaders.byPartition.values())
      if (leader.state.jobs.has(jobId)) leader.syncJob(job);
  }
}
