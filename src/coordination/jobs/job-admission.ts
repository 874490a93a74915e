/**
 * Admits the jobs that users submit: checks that a job can run and be stored, resolves its dependencies and commits its
 * record. Owns the bound on live jobs and whether memory is short.
 */
import type { Write } from "../../protocol/state.js";
import {
  bytesOf,
  finalKey,
  jobKey,
  type JobRecord,
  writeFinal,
  writeJob,
} from "../../storage/records.js";
import type { Context } from "../context.js";
import { type Answer, CallPriority } from "../effects.js";
import type { Leadership } from "../leadership/leadership.js";
import type { JobSpec } from "../model.js";
import { EPSILON } from "../scheduling/placement.js";
import type { StoreWatcher } from "../store/store-watcher.js";
import type { DependencyTracker } from "./dependency-tracker.js";
import type { JobAssigner } from "./job-assigner.js";
import { finalRecordOf } from "./job-completion.js";
import { capablePartitions } from "./partition-capacity.js";
import type { JobStatus } from "./job-status.js";
import { RangeSet } from "./range-set.js";
import type { RequestReplies } from "./request-replies.js";

/** A cache that was read within this time shows every cancellation that was answered at least `cancel_s` ago. */
const FRESH_CACHE_MS = 3_000;
/**
 * Memory of one live job. Measured with 12,000 waiting jobs and 2,400 machines: 3.3 KiB, and as much again while all jobs are
 * read after a start. Names of the maximum length take another 3 KiB.
 */
const JOB_KIB = 6;
/** Part of the memory that live jobs may take: the process itself and its libraries take half. */
const JOBS_MEMORY_SHARE = 0.35;
/** Part of the heap that live jobs may take: the rest is for machines, tasks and the temporary data of a step. */
const JOBS_HEAP_SHARE = 0.5;
const KIB_PER_MIB = 1024;
/** Retry delay sent to users while memory is short, which does not pass quickly. */
const OVERLOAD_RETRY_S = 10;
/** Retry delay sent to users until the catalog of machine types has been read. */
const CATALOG_RETRY_S = 1;

/** An answer that says why a job is not admitted. */
type Rejection = Extract<
  Answer,
  { kind: "cannotRun" | "recordTooLarge" | "retryLater" }
>;

/** A submission whose dependencies are being resolved. */
interface Submission {
  readonly reqId: number;
  readonly spec: JobSpec;
  /** Dependencies that are still to be resolved. */
  readonly unresolved: readonly string[];
  /** Dependencies found alive. */
  readonly alive: readonly string[];
  /** One of the dependencies is cancelled. */
  readonly hasCancelledDependency: boolean;
}

/** Parts of the controller that admission uses. */
export interface JobAdmissionPorts {
  readonly replies: RequestReplies;
  readonly leadership: Pick<Leadership, "readAgeMs">;
  readonly dependencies: DependencyTracker;
  readonly watcher: StoreWatcher;
  readonly status: JobStatus;
  readonly assigner: JobAssigner;
}

export class JobAdmission {
  private readonly maxJobs: number;
  /** The next step may need all the remaining memory, so new jobs are rejected. */
  private isMemoryShort = false;

  constructor(
    private readonly ctx: Context,
    private readonly ports: JobAdmissionPorts,
  ) {
    const { memMb, heapMb = Infinity } = ctx.settings;
    const jobsMb = Math.min(
      memMb * JOBS_MEMORY_SHARE,
      heapMb * JOBS_HEAP_SHARE,
    );
    this.maxJobs = Math.floor((jobsMb * KIB_PER_MIB) / JOB_KIB);
  }

  /** Stops or resumes admission as memory runs short or recovers. */
  setMemoryShort(isShort: boolean): void {
    if (isShort === this.isMemoryShort) return;
    this.isMemoryShort = isShort;
    this.ctx.log(
      isShort
        ? "memory low, new jobs rejected"
        : "memory recovered, new jobs accepted",
      { jobs: this.ctx.cache.jobs.size },
    );
  }

  /** Handles a submission. It is idempotent: a job that was accepted once is answered with its status. */
  submit(reqId: number, spec: JobSpec, dependsOn: readonly string[]): void {
    const { cache } = this.ctx;
    const { replies, status } = this.ports;
    if (cache.finalRecords.has(spec.id))
      return status.answer(reqId, spec.id, 200);
    if (cache.jobs.has(spec.id)) return status.answerAfterRead(reqId, spec.id);
    if (!cache.ready) return replies.retryLater(reqId, "not ready yet");
    const rejection =
      this.reasonItCannotRun(spec) ??
      this.reasonItCannotBeStored(spec, dependsOn) ??
      this.reasonItIsOverloaded();
    // A job that was accepted once is answered from its record, even if the catalog or the limits have changed since.
    if (rejection)
      return status.answerIfAccepted(reqId, spec.id, () =>
        replies.answer(reqId, rejection),
      );
    if (dependsOn.length === 0) return this.accept(reqId, spec, []);
    this.resolveFromFreshCache({
      reqId,
      spec,
      unresolved: dependsOn,
      alive: [],
      hasCancelledDependency: false,
    });
  }

  // ---- checks --------------------------------------------------------------------------------------------

  /** Why a job can never run, or that this is not known yet; null if it can run. */
  private reasonItCannotRun(spec: JobSpec): Rejection | null {
    const { catalog, partitions, settings } = this.ctx;
    const team = settings.teams.get(spec.team);
    if (!team) return cannotRun(`crew: unknown team ${spec.team}`);
    const tasksAtOnce = spec.kind === "array" ? 1 : spec.tasks;
    if (
      spec.cpus * tasksAtOnce > team.cpusMax + EPSILON ||
      spec.gpus * tasksAtOnce > team.gpusMax + EPSILON
    )
      return cannotRun("cores, accelerators: more than the team's limit");
    if (!catalog)
      return retryLater("machine types are not known yet", CATALOG_RETRY_S);
    if (capablePartitions(spec, catalog, partitions).length === 0)
      return cannotRun("a task fits no allowed machine type");
    return null;
  }

  /** Rejects a job whose record would not fit a value of the store, either while it waits or once it is assigned to partitions. */
  private reasonItCannotBeStored(
    spec: JobSpec,
    dependsOn: readonly string[],
  ): Rejection | null {
    const assignment = new Map(
      this.ctx.partitions.names.map((partition) => [
        partition,
        RangeSet.upTo(spec.tasks),
      ]),
    );
    const assigned: JobRecord = {
      spec,
      acceptedAt: this.ctx.wallMs,
      dependsOn: [],
      releasedAt: this.ctx.wallMs,
      assignment,
    };
    const waiting: JobRecord = {
      ...assigned,
      assignment: new Map(),
      dependsOn,
    };
    const bytes = Math.max(
      bytesOf(writeJob(assigned)),
      bytesOf(writeJob(waiting)),
    );
    const { valueBytes } = this.ctx.settings.state;
    if (bytes <= valueBytes) return null;
    return {
      kind: "recordTooLarge",
      error: `body: names and lists take ${bytes} bytes of a record, at most ${valueBytes} fit`,
    };
  }

  /** Rejects a job that would not fit in memory: every controller holds all live jobs. */
  private reasonItIsOverloaded(): Rejection | null {
    if (this.ctx.cache.jobs.size >= this.maxJobs)
      return retryLater("too many unfinished jobs", OVERLOAD_RETRY_S);
    if (this.isMemoryShort)
      return retryLater("memory is short", OVERLOAD_RETRY_S);
    return null;
  }

  // ---- dependencies --------------------------------------------------------------------------------------

  /**
   * Resolves dependencies from the cache if it shows all of them and is recent enough to show their cancellations, otherwise
   * after a read of the store. A job that the cache shows was accepted, however old the cache is.
   */
  private resolveFromFreshCache(submission: Submission): void {
    const { leadership, watcher } = this.ports;
    const areResolvable = submission.unresolved.every((id) =>
      this.isResolvableFromCache(id),
    );
    if (areResolvable && leadership.readAgeMs < FRESH_CACHE_MS)
      return this.resolveDependencies(submission);
    watcher.afterRead(submission.reqId, submission.spec.id, () =>
      this.resolveDependencies(submission),
    );
  }

  private isResolvableFromCache(id: string): boolean {
    const { cache } = this.ctx;
    return (
      cache.finalRecords.has(id) ||
      (cache.jobs.has(id) &&
        this.ports.dependencies.unresolvedDependency(id) === null)
    );
  }

  /**
   * Resolves dependencies one by one. One that the cache does not show is looked up by a read sent after the request arrived:
   * users name a job as a dependency only after its acceptance was answered, so the read shows it.
   */
  private resolveDependencies(submission: Submission): void {
    const { reqId, spec, unresolved } = submission;
    const { status } = this.ports;
    const { cache } = this.ctx;
    if (cache.finalRecords.has(spec.id) || cache.jobs.has(spec.id))
      return status.answer(reqId, spec.id, 200);
    const [dependency] = unresolved;
    if (dependency === undefined) return this.acceptResolved(submission);
    if (status.liveJob(dependency))
      return this.resolveLive(submission, dependency);
    this.resolveEnded(submission, dependency);
  }

  private resolveLive(submission: Submission, dependency: string): void {
    const { dependencies, status } = this.ports;
    const indirect = dependencies.unresolvedDependency(dependency);
    if (indirect !== null)
      return status.withResolvedDependency(submission.reqId, indirect, () =>
        this.resolveDependencies(submission),
      );
    this.resolveDependencies({
      ...submission,
      unresolved: submission.unresolved.slice(1),
      alive: [...submission.alive, dependency],
      hasCancelledDependency:
        submission.hasCancelledDependency ||
        dependencies.isCancelledByDependency(dependency),
    });
  }

  private resolveEnded(submission: Submission, dependency: string): void {
    const { replies, status } = this.ports;
    const { reqId, spec } = submission;
    status.withFinalRecord(reqId, dependency, (finalRecord) => {
      if (!finalRecord)
        return status.answerIfAccepted(reqId, spec.id, () =>
          replies.answer(
            reqId,
            cannotRun(`awaits: ${dependency} was never accepted`),
          ),
        );
      this.resolveDependencies({
        ...submission,
        unresolved: submission.unresolved.slice(1),
        hasCancelledDependency:
          submission.hasCancelledDependency ||
          finalRecord.status === "cancelled",
      });
    });
  }

  private acceptResolved(submission: Submission): void {
    const { reqId, spec, alive, hasCancelledDependency } = submission;
    if (hasCancelledDependency) this.acceptCancelled(reqId, spec);
    else this.accept(reqId, spec, alive);
  }

  // ---- commits -------------------------------------------------------------------------------------------

  /** Accepts a job by one commit that contains its assignment; partition leaders learn of the job from its record. */
  private accept(
    reqId: number,
    spec: JobSpec,
    dependsOn: readonly string[],
  ): void {
    const { assigner, replies } = this.ports;
    const assignment =
      dependsOn.length > 0
        ? new Map<string, RangeSet>()
        : assigner.assign(spec);
    if (!assignment)
      return replies.retryLater(reqId, "machine types are not known yet");
    const record: JobRecord = {
      spec,
      acceptedAt: this.ctx.wallMs,
      assignment,
      dependsOn,
      releasedAt: null,
    };
    this.commitNew(
      reqId,
      spec.id,
      { op: "put", key: jobKey(spec.id), value: writeJob(record) },
      () => this.onAccepted(reqId, record),
    );
  }

  private onAccepted(reqId: number, record: JobRecord): void {
    const { spec, dependsOn, assignment } = record;
    this.ports.replies.answer(reqId, {
      kind: "job",
      status: 201,
      id: spec.id,
      state: "queued",
    });
    this.ctx.log("job accepted", {
      job: spec.id,
      class: spec.jobClass,
      tasks: spec.tasks,
      dependsOn,
      assignment: [...assignment].map(([partition, tasks]) => [
        partition,
        tasks.size,
      ]),
    });
    this.ports.watcher.watchNow();
  }

  /** Accepts a job with a cancelled dependency, and records it as cancelled at once. */
  private acceptCancelled(reqId: number, spec: JobSpec): void {
    const finalRecord = finalRecordOf(this.ctx, spec, "cancelled", 0);
    this.commitNew(
      reqId,
      spec.id,
      { op: "put", key: finalKey(spec.id), value: writeFinal(finalRecord) },
      () => {
        this.ports.status.onFinalRecord(spec.id, finalRecord);
        this.ports.replies.answer(reqId, {
          kind: "job",
          status: 201,
          id: spec.id,
          state: "cancelled",
        });
      },
    );
  }

  /** Commits the first record of a job, on condition that it has none yet. */
  private commitNew(
    reqId: number,
    id: string,
    write: Write,
    onCommitted: () => void,
  ): void {
    const { replies, status } = this.ports;
    const absent = [jobKey(id), finalKey(id)].map((key) => ({
      key,
      version: 0,
    }));
    this.ctx.commit(absent, [write], CallPriority.UserRequest, (outcome) => {
      if (outcome === "ok") onCommitted();
      else if (outcome === "conflict") status.answerAfterRead(reqId, id);
      else replies.retryLater(reqId, "state service does not answer");
    });
  }
}

const cannotRun = (error: string): Rejection => ({ kind: "cannotRun", error });

const retryLater = (reason: string, afterS: number): Rejection => ({
  kind: "retryLater",
  afterS,
  reason,
});
