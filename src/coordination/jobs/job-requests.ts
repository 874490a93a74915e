import type { StateCall, StateReply, Write } from "../../protocol/state.js";
import {
  bytesOf,
  endWrites,
  jobKey,
  type JobRecord,
  finalKey,
  type FinalRecord,
  writeJob,
  writeFinal,
} from "../../storage/records.js";
import type { DependencyTracker } from "./dependency-tracker.js";
import type { Context } from "../context.js";
import { type Answer, CallPriority } from "../effects.js";
import { finalRecordOf } from "./job-completion.js";
import { FinalStatusReader } from "../store/final-status-reader.js";
import type { PartitionLeader } from "../scheduling/partition-leader.js";
import type { JobSpec } from "../model.js";
import type { Leadership } from "../leadership/leadership.js";
import { EPSILON } from "../scheduling/placement.js";
import { isShort } from "../scheduling/scheduling-round.js";
import { RangeSet } from "./range-set.js";
import type { StoreWatcher } from "../store/store-watcher.js";
import { capablePartitions, partitionJob } from "./job-partitioner.js";

export const MAX_CANCEL_ATTEMPTS = 4;
/** A copy read within this time tells a new job's user of every cancellation that was told cancel_s ago. */
const FRESH_COPY_MS = 3_000;
/**
 * Measured with 12,000 waiting jobs and 2,400 machines: 3.3 KiB for a live job, and as much again while all of them are read
 * after a start; names at their longest, another 3.
 */
const JOB_KIB = 6;
/** Of the memory, what live jobs may take: the process itself and its libraries take half. */
const JOBS_MEMORY_SHARE = 0.35;
/** The same of the heap: the rest is for machines, tasks and what a step needs for a moment. */
const JOBS_HEAP_SHARE = 0.5;

/** What users ask: submissions, status, withdrawals. Every answer rests on the records. */
export class JobRequests {
  private readonly maxJobs: number;
  readonly finalStatus: FinalStatusReader;
  /** Of what is left of memory the next step may need all: nothing new is accepted. */
  private memoryShort = false;

  constructor(
    private readonly ctx: Context,
    private readonly leaders: ReadonlyMap<string, PartitionLeader>,
    private readonly leadership: Pick<Leadership, "readAgeMs">,
    private readonly dependencies: DependencyTracker,
    private readonly watcher: StoreWatcher,
    state: (
      call: StateCall,
      priority: CallPriority,
      done: (r: StateReply, sentMs: number) => void,
    ) => void,
    private readonly answer: (req: number, answer: Answer) => void,
    private readonly retryLater: (
      req: number,
      why: string,
      afterS?: number,
    ) => void,
  ) {
    this.finalStatus = new FinalStatusReader(ctx, state, (id, finalRecord) =>
      this.onFinalRecord(id, finalRecord),
    );
    const { memMb, heapMb = Infinity } = ctx.settings;
    this.maxJobs = Math.floor(
      (Math.min(memMb * JOBS_MEMORY_SHARE, heapMb * JOBS_HEAP_SHARE) * 1024) /
        JOB_KIB,
    );
  }

  setMemoryShort(short: boolean): void {
    if (short === this.memoryShort) return;
    this.memoryShort = short;
    this.ctx.log(
      short
        ? "memory low, new jobs rejected"
        : "memory recovered, new jobs accepted",
      { jobs: this.ctx.cache.jobs.size },
    );
  }

  /** A job's final state, read from the state service; null: it has none, or that can't be known now. */
  readFinalRecord(
    id: string,
    done: (finalRecord: FinalRecord | null, failed: string | null) => void,
  ): void {
    this.finalStatus.ask(id, done);
  }

  private onFinalRecord(id: string, finalRecord: FinalRecord): void {
    this.ctx.cache.keepFinalRecord(id, finalRecord);
    this.dependencies.onFinalRecord(id, finalRecord);
  }

  /** Calls `then` with what became of a job that is not alive; a final state never changes. */
  private withFinalRecord(
    req: number,
    id: string,
    then: (p: FinalRecord | null) => void,
  ): void {
    const known = this.ctx.cache.finalRecords.get(id);
    if (known) return then(known);
    this.readFinalRecord(id, (p, failed) =>
      failed === null ? then(p) : this.retryLater(req, failed),
    );
  }

  answerStatus(req: number, id: string, status: 200 | 201): void {
    const job = this.ctx.cache.finalRecords.has(id)
      ? undefined
      : this.ctx.cache.jobs.get(id);
    if (job) {
      // Invariant (orphaned, went_back): another controller may know already that one of these is cancelled.
      const unsure = this.dependencies.unresolvedDependency(id);
      if (unsure !== null)
        return this.withFinalRecord(req, unsure, (p) =>
          p
            ? this.answerStatus(req, id, status)
            : this.retryLater(req, "not known yet"),
        );
      if (this.dependencies.isCancelledByDependency(id))
        return this.answer(req, {
          kind: "job",
          status,
          id,
          state: "cancelled",
          done: 0,
          running: 0,
        });
      let running = 0;
      for (const g of this.ctx.partitions.names)
        running +=
          this.leaders.get(g)?.state.runningTasksOf(id) ??
          this.ctx.cache.capacities.get(g)?.running.get(id) ??
          0;
      const done = this.ctx.cache.allFinished(id).size;
      return this.answer(req, {
        kind: "job",
        status,
        id,
        state: running > 0 ? "running" : "queued",
        done,
        running,
        dependsOn: this.dependencies.unfinishedDependencies(id),
      });
    }
    this.withFinalRecord(req, id, (p) => {
      if (!p) return this.answer(req, { kind: "unknownJob" });
      this.answer(req, {
        kind: "job",
        status,
        id,
        state: p.status,
        done: p.done,
        running: 0,
      });
    });
  }

  submit(req: number, spec: JobSpec, dependsOn: readonly string[]): void {
    const id = spec.id;
    if (this.ctx.cache.finalRecords.has(id))
      return this.answerStatus(req, id, 200);
    if (this.ctx.cache.jobs.has(id))
      return this.watcher.afterRead(req, id, (r, i) =>
        this.answerStatus(r, i, 200),
      );
    if (!this.ctx.cache.ready) return this.retryLater(req, "not ready yet");
    const no = this.reasonItCannotRun(spec);
    // Whatever the catalog says today: a job that was accepted once is answered from its record.
    if (no === "undecided")
      return this.answerIfKnown(req, id, () =>
        this.retryLater(req, "machine types are not known yet"),
      );
    if (no !== null)
      return this.answerIfKnown(req, id, () =>
        this.answer(req, { kind: "cannotRun", error: no }),
      );
    const tooLong = this.recordTooLarge(spec, dependsOn);
    if (tooLong !== null)
      return this.answerIfKnown(req, id, () =>
        this.answer(req, { kind: "recordTooLarge", error: tooLong }),
      );
    // Every controller holds all live jobs: more than fit are not accepted, on any of them.
    if (this.ctx.cache.jobs.size >= this.maxJobs)
      return this.answerIfKnown(req, id, () =>
        this.retryLater(req, "too many unfinished jobs", 10),
      );
    if (this.memoryShort)
      return this.answerIfKnown(req, id, () =>
        this.retryLater(req, "memory is short", 10),
      );
    if (dependsOn.length === 0) return this.accept(req, spec, []);
    // What this copy shows of a job was so a moment ago: it was accepted. Only what it does not show takes a fresh read,
    // and what it may be too old for.
    const shown = dependsOn.every(
      (name) =>
        this.ctx.cache.finalRecords.has(name) ||
        (this.ctx.cache.jobs.has(name) &&
          this.dependencies.unresolvedDependency(name) === null),
    );
    if (shown && this.leadership.readAgeMs < FRESH_COPY_MS)
      return this.resolveDependencies(req, spec, dependsOn, []);
    this.watcher.afterRead(req, id, () =>
      this.resolveDependencies(req, spec, dependsOn, []),
    );
  }

  /**
   * What a job waits for, name by name, each by a read that was sent after the question: whoever names a job has been
   * told before that it was accepted. `open`: those found alive; `doomed`: one is cancelled.
   */
  private resolveDependencies(
    req: number,
    spec: JobSpec,
    names: readonly string[],
    open: readonly string[],
    doomed = false,
  ): void {
    const id = spec.id;
    if (this.ctx.cache.finalRecords.has(id) || this.ctx.cache.jobs.has(id))
      return this.answerStatus(req, id, 200);
    const [name, ...rest] = names;
    if (name === undefined)
      return doomed
        ? this.acceptCancelled(req, spec)
        : this.accept(req, spec, open);
    if (
      !this.ctx.cache.finalRecords.has(name) &&
      this.ctx.cache.jobs.has(name)
    ) {
      const unsure = this.dependencies.unresolvedDependency(name);
      if (unsure !== null)
        return this.withFinalRecord(req, unsure, (p) =>
          p
            ? this.resolveDependencies(req, spec, names, open, doomed)
            : this.retryLater(req, "not known yet"),
        );
      return this.resolveDependencies(
        req,
        spec,
        rest,
        [...open, name],
        doomed || this.dependencies.isCancelledByDependency(name),
      );
    }
    this.withFinalRecord(req, name, (p) => {
      if (!p)
        return this.answerIfKnown(req, id, () =>
          this.answer(req, {
            kind: "cannotRun",
            error: `awaits: ${name} was never accepted`,
          }),
        );
      this.resolveDependencies(
        req,
        spec,
        rest,
        open,
        doomed || p.status === "cancelled",
      );
    });
  }

  /** A job's record must fit a value, while it waits and once it is cut over the groups. */
  private recordTooLarge(
    spec: JobSpec,
    dependsOn: readonly string[],
  ): string | null {
    const record = {
      spec,
      acceptedAt: this.ctx.wallMs,
      dependsOn: [],
      releasedAt: this.ctx.wallMs,
      assignment: new Map(
        this.ctx.partitions.names.map((g) => [g, RangeSet.upTo(spec.tasks)]),
      ),
    };
    const bytes = Math.max(
      bytesOf(writeJob(record)),
      bytesOf(writeJob({ ...record, assignment: new Map(), dependsOn })),
    );
    return bytes > this.ctx.settings.state.valueBytes
      ? `body: names and lists take ${bytes} bytes of a record, at most ${this.ctx.settings.state.valueBytes} fit`
      : null;
  }

  /** Cuts a job over the groups by their room at this moment; null: not now. */
  partitionJob(spec: JobSpec): Map<string, RangeSet> | null {
    const capable = this.ctx.catalog
      ? capablePartitions(spec, this.ctx.catalog, this.ctx.partitions)
      : [];
    if (!this.ctx.catalog || capable.length === 0) return null;
    const rooms = new Map(this.ctx.cache.capacities);
    const handed = new Map(this.ctx.pendingAssignments);
    for (const [g, m] of this.leaders) {
      const own = m.capacity.recent();
      rooms.set(g, own.room);
      handed.set(g, own.handed);
    }
    const assignment = partitionJob(
      spec,
      capable,
      rooms,
      this.ctx.catalog,
      isShort(spec, this.ctx.tuning),
      handed,
    );
    for (const [g, r] of assignment) {
      const m = this.leaders.get(g);
      if (m) m.capacity.notePendingAssignment(spec, r.size);
      else this.ctx.notePendingAssignment(g, spec, r.size);
    }
    return assignment;
  }

  /** Accepting is one commit, with the split in it; the masters learn of the job from the record. */
  private accept(
    req: number,
    spec: JobSpec,
    dependsOn: readonly string[],
  ): void {
    const assignment =
      dependsOn.length > 0
        ? new Map<string, RangeSet>()
        : this.partitionJob(spec);
    if (!assignment)
      return this.retryLater(req, "machine types are not known yet");
    const record: JobRecord = {
      spec,
      acceptedAt: this.ctx.wallMs,
      assignment,
      dependsOn,
      releasedAt: null,
    };
    this.commitNew(
      req,
      spec.id,
      { op: "put", key: jobKey(spec.id), value: writeJob(record) },
      () => {
        this.answer(req, {
          kind: "job",
          status: 201,
          id: spec.id,
          state: "queued",
        });
        this.ctx.log("job accepted", {
          job: spec.id,
          class: spec.jobClass,
          tasks: spec.tasks,
          dependsOn: dependsOn,
          assignment: [...assignment].map(([g, r]) => [g, r.size]),
        });
        this.watcher.watchSoon();
      },
    );
  }

  /** It needs a cancelled job: it is accepted all the same, and cancelled with it. */
  private acceptCancelled(req: number, spec: JobSpec): void {
    const finalRecord = finalRecordOf(this.ctx, spec, "cancelled", 0);
    this.commitNew(
      req,
      spec.id,
      { op: "put", key: finalKey(spec.id), value: writeFinal(finalRecord) },
      () => {
        this.onFinalRecord(spec.id, finalRecord);
        this.answer(req, {
          kind: "job",
          status: 201,
          id: spec.id,
          state: "cancelled",
        });
      },
    );
  }

  private commitNew(
    req: number,
    id: string,
    write: Write,
    ok: () => void,
  ): void {
    const absent = [jobKey(id), finalKey(id)].map((key) => ({
      key,
      version: 0,
    }));
    this.ctx.commit(absent, [write], CallPriority.UserRequest, (end) => {
      if (end === "ok") ok();
      else if (end === "conflict")
        this.watcher.afterRead(req, id, (r, i) => this.answerStatus(r, i, 200));
      else this.retryLater(req, "state service does not answer");
    });
  }

  /** Answers from the job's record if there is one. */
  private answerIfKnown(req: number, id: string, unknown: () => void): void {
    this.watcher.afterRead(req, id, () => {
      if (this.ctx.cache.jobs.has(id)) return this.answerStatus(req, id, 200);
      this.withFinalRecord(req, id, (p) =>
        p ? this.answerStatus(req, id, 200) : unknown(),
      );
    });
  }

  /** Why a job can never run; null if it can. */
  private reasonItCannotRun(spec: JobSpec): string | null {
    const team = this.ctx.settings.teams.get(spec.team);
    if (!team) return `crew: unknown team ${spec.team}`;
    const n = spec.kind === "array" ? 1 : spec.tasks;
    if (
      spec.cpus * n > team.cpusMax + EPSILON ||
      spec.gpus * n > team.gpusMax + EPSILON
    )
      return "cores, accelerators: more than the team's limit";
    if (!this.ctx.catalog) return "undecided";
    if (
      capablePartitions(spec, this.ctx.catalog, this.ctx.partitions).length ===
      0
    )
      return "a task fits no allowed machine type";
    return null;
  }

  cancel(req: number, id: string, tries: number): void {
    const job = this.ctx.cache.finalRecords.has(id)
      ? undefined
      : this.ctx.cache.jobs.get(id);
    if (!job) {
      return this.withFinalRecord(req, id, (p) =>
        this.answer(
          req,
          p
            ? { kind: "job", status: 200, id, state: p.status }
            : { kind: "unknownJob" },
        ),
      );
    }
    const finalRecord = finalRecordOf(
      this.ctx,
      job.spec,
      "cancelled",
      this.ctx.cache.allFinished(id).size,
    );
    const beside = this.ctx.cache
      .sideKeys(id)
      .slice(0, this.ctx.settings.state.txnOps - 2);
    // Invariant (went_back): cancelled and done are conditional on the same record, so only one of them happens.
    this.ctx.commit(
      [{ key: jobKey(id), version: job.revision }],
      endWrites(id, finalRecord, beside),
      CallPriority.UserRequest,
      (end) => {
        if (end === "ok") {
          this.onFinalRecord(id, finalRecord);
          this.answer(req, {
            kind: "job",
            status: 200,
            id,
            state: "cancelled",
          });
        } else if (end === "conflict" && tries > 0)
          this.watcher.afterRead(req, id, (r, i) =>
            this.cancel(r, i, tries - 1),
          );
        else this.retryLater(req, "state service does not answer");
      },
    );
  }
}
