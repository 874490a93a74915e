import type { StateCall, StateReply, Write } from "../protocol/state.js";
import {
  bytesOf,
  endWrites,
  jobKey,
  type JobRecord,
  pastKey,
  type PastRecord,
  writeJob,
  writePast,
} from "../storage/records.js";
import type { Awaiting } from "./awaiting.js";
import type { Context } from "./context.js";
import { type Answer, Urgent } from "./effects.js";
import { finalRecord } from "./finishing.js";
import { Lookups } from "./lookups.js";
import type { Master } from "./master.js";
import type { JobSpec } from "./model.js";
import type { Ownership } from "./ownership.js";
import { EPS } from "./placement.js";
import { isShort } from "./queues.js";
import { RangeSet } from "./ranges.js";
import type { StateReader } from "./state-reader.js";
import { capableGroups, splitJob } from "./splitter.js";

export const WITHDRAW_TRIES = 4;
/** A copy read within this time tells a new job's user of every cancellation that was told cancel_s ago. */
const FRESH_MS = 3_000;
/**
 * Measured with 12,000 waiting jobs and 2,400 machines: 3.3 KiB for a live job, and as much again while all of them are read
 * after a start; names at their longest, another 3.
 */
const JOB_KIB = 6;
/** Of the memory, what live jobs may take: the process itself and its libraries take half. */
const JOBS_SHARE = 0.35;
/** The same of the heap: the rest is for machines, tasks and what a step needs for a moment. */
const HEAP_SHARE = 0.5;

/** What users ask: submissions, status, withdrawals. Every answer rests on the records. */
export class Users {
  private readonly maxJobs: number;
  readonly lookups: Lookups;
  /** Of what is left of memory the next step may need all: nothing new is accepted. */
  private short = false;

  constructor(
    private readonly ctx: Context,
    private readonly masters: ReadonlyMap<string, Master>,
    private readonly ownership: Pick<Ownership, "readAgeMs">,
    private readonly awaiting: Awaiting,
    private readonly reader: StateReader,
    state: (
      call: StateCall,
      urgent: Urgent,
      done: (r: StateReply, sentMs: number) => void,
    ) => void,
    private readonly answer: (req: number, answer: Answer) => void,
    private readonly later: (req: number, why: string, afterS?: number) => void,
  ) {
    this.lookups = new Lookups(ctx, state, (id, past) => this.learnt(id, past));
    const { memMb, heapMb = Infinity } = ctx.settings;
    this.maxJobs = Math.floor(
      (Math.min(memMb * JOBS_SHARE, heapMb * HEAP_SHARE) * 1024) / JOB_KIB,
    );
  }

  memory(short: boolean): void {
    if (short === this.short) return;
    this.short = short;
    this.ctx.log(
      short
        ? "memory low, new jobs rejected"
        : "memory recovered, new jobs accepted",
      { jobs: this.ctx.mirror.jobs.size },
    );
  }

  /** A job's final state, read from the state service; null: it has none, or that can't be known now. */
  lookUp(
    id: string,
    done: (past: PastRecord | null, failed: string | null) => void,
  ): void {
    this.lookups.ask(id, done);
  }

  private learnt(id: string, past: PastRecord): void {
    this.ctx.mirror.keepPast(id, past);
    this.awaiting.settle(id, past);
  }

  /** Calls `then` with what became of a job that is not alive; a final state never changes. */
  private past(
    req: number,
    id: string,
    then: (p: PastRecord | null) => void,
  ): void {
    const known = this.ctx.mirror.past.get(id);
    if (known) return then(known);
    this.lookUp(id, (p, failed) =>
      failed === null ? then(p) : this.later(req, failed),
    );
  }

  tellStatus(req: number, id: string, status: 200 | 201): void {
    const job = this.ctx.mirror.past.has(id)
      ? undefined
      : this.ctx.mirror.jobs.get(id);
    if (job) {
      // Invariant (orphaned, went_back): another controller may know already that one of these is cancelled.
      const unsure = this.awaiting.unsure(id);
      if (unsure !== null)
        return this.past(req, unsure, (p) =>
          p
            ? this.tellStatus(req, id, status)
            : this.later(req, "not known yet"),
        );
      if (this.awaiting.isDoomed(id))
        return this.answer(req, {
          is: "job",
          status,
          id,
          state: "cancelled",
          done: 0,
          running: 0,
        });
      let running = 0;
      for (const g of this.ctx.groups.names)
        running +=
          this.masters.get(g)?.own.runningOf(id) ??
          this.ctx.mirror.rooms.get(g)?.running.get(id) ??
          0;
      const done = this.ctx.mirror.allFinished(id).size;
      return this.answer(req, {
        is: "job",
        status,
        id,
        state: running > 0 ? "running" : "queued",
        done,
        running,
        awaits: this.awaiting.waitsFor(id),
      });
    }
    this.past(req, id, (p) => {
      if (!p) return this.answer(req, { is: "unknownJob" });
      this.answer(req, {
        is: "job",
        status,
        id,
        state: p.status,
        done: p.done,
        running: 0,
      });
    });
  }

  submit(req: number, spec: JobSpec, awaits: readonly string[]): void {
    const id = spec.id;
    if (this.ctx.mirror.past.has(id)) return this.tellStatus(req, id, 200);
    if (this.ctx.mirror.jobs.has(id))
      return this.reader.afterRead(req, id, (r, i) =>
        this.tellStatus(r, i, 200),
      );
    if (!this.ctx.mirror.ready) return this.later(req, "not ready yet");
    const no = this.cannotRun(spec);
    // Whatever the catalog says today: a job that was accepted once is answered from its record.
    if (no === "undecided")
      return this.known(req, id, () =>
        this.later(req, "machine types are not known yet"),
      );
    if (no !== null)
      return this.known(req, id, () =>
        this.answer(req, { is: "never", error: no }),
      );
    const tooLong = this.tooLong(spec, awaits);
    if (tooLong !== null)
      return this.known(req, id, () =>
        this.answer(req, { is: "tooLong", error: tooLong }),
      );
    // Every controller holds all live jobs: more than fit are not accepted, on any of them.
    if (this.ctx.mirror.jobs.size >= this.maxJobs)
      return this.known(req, id, () =>
        this.later(req, "too many unfinished jobs", 10),
      );
    if (this.short)
      return this.known(req, id, () => this.later(req, "memory is short", 10));
    if (awaits.length === 0) return this.accept(req, spec, []);
    // What this copy shows of a job was so a moment ago: it was accepted. Only what it does not show takes a fresh read,
    // and what it may be too old for.
    const shown = awaits.every(
      (name) =>
        this.ctx.mirror.past.has(name) ||
        (this.ctx.mirror.jobs.has(name) && this.awaiting.unsure(name) === null),
    );
    if (shown && this.ownership.readAgeMs < FRESH_MS)
      return this.judge(req, spec, awaits, []);
    this.reader.afterRead(req, id, () => this.judge(req, spec, awaits, []));
  }

  /**
   * What a job waits for, name by name, each by a read that was sent after the question: whoever names a job has been
   * told before that it was accepted. `open`: those found alive; `doomed`: one is cancelled.
   */
  private judge(
    req: number,
    spec: JobSpec,
    names: readonly string[],
    open: readonly string[],
    doomed = false,
  ): void {
    const id = spec.id;
    if (this.ctx.mirror.past.has(id) || this.ctx.mirror.jobs.has(id))
      return this.tellStatus(req, id, 200);
    const [name, ...rest] = names;
    if (name === undefined)
      return doomed
        ? this.acceptCancelled(req, spec)
        : this.accept(req, spec, open);
    if (!this.ctx.mirror.past.has(name) && this.ctx.mirror.jobs.has(name)) {
      const unsure = this.awaiting.unsure(name);
      if (unsure !== null)
        return this.past(req, unsure, (p) =>
          p
            ? this.judge(req, spec, names, open, doomed)
            : this.later(req, "not known yet"),
        );
      return this.judge(
        req,
        spec,
        rest,
        [...open, name],
        doomed || this.awaiting.isDoomed(name),
      );
    }
    this.past(req, name, (p) => {
      if (!p)
        return this.known(req, id, () =>
          this.answer(req, {
            is: "never",
            error: `awaits: ${name} was never accepted`,
          }),
        );
      this.judge(req, spec, rest, open, doomed || p.status === "cancelled");
    });
  }

  /** A job's record must fit a value, while it waits and once it is cut over the groups. */
  private tooLong(spec: JobSpec, awaits: readonly string[]): string | null {
    const record = {
      spec,
      acceptedAt: this.ctx.wallMs,
      awaits: [],
      releasedAt: this.ctx.wallMs,
      split: new Map(
        this.ctx.groups.names.map((g) => [g, RangeSet.upTo(spec.tasks)]),
      ),
    };
    const bytes = Math.max(
      bytesOf(writeJob(record)),
      bytesOf(writeJob({ ...record, split: new Map(), awaits })),
    );
    return bytes > this.ctx.settings.state.valueBytes
      ? `body: names and lists take ${bytes} bytes of a record, at most ${this.ctx.settings.state.valueBytes} fit`
      : null;
  }

  /** Cuts a job over the groups by their room at this moment; null: not now. */
  cut(spec: JobSpec): Map<string, RangeSet> | null {
    const capable = this.ctx.catalog
      ? capableGroups(spec, this.ctx.catalog, this.ctx.groups)
      : [];
    if (!this.ctx.catalog || capable.length === 0) return null;
    const rooms = new Map(this.ctx.mirror.rooms);
    const handed = new Map(this.ctx.handed);
    for (const [g, m] of this.masters) {
      const own = m.room.lately();
      rooms.set(g, own.room);
      handed.set(g, own.handed);
    }
    const split = splitJob(
      spec,
      capable,
      rooms,
      this.ctx.catalog,
      isShort(spec, this.ctx.tuning),
      handed,
    );
    for (const [g, r] of split) {
      const m = this.masters.get(g);
      if (m) m.room.noteHanded(spec, r.size);
      else this.ctx.noteHanded(g, spec, r.size);
    }
    return split;
  }

  /** Accepting is one commit, with the split in it; the masters learn of the job from the record. */
  private accept(req: number, spec: JobSpec, awaits: readonly string[]): void {
    const split =
      awaits.length > 0 ? new Map<string, RangeSet>() : this.cut(spec);
    if (!split) return this.later(req, "machine types are not known yet");
    const record: JobRecord = {
      spec,
      acceptedAt: this.ctx.wallMs,
      split,
      awaits,
      releasedAt: null,
    };
    this.commitNew(
      req,
      spec.id,
      { op: "put", key: jobKey(spec.id), value: writeJob(record) },
      () => {
        this.answer(req, {
          is: "job",
          status: 201,
          id: spec.id,
          state: "queued",
        });
        this.ctx.log("job accepted", {
          job: spec.id,
          class: spec.class,
          tasks: spec.tasks,
          dependsOn: awaits,
          assignment: [...split].map(([g, r]) => [g, r.size]),
        });
        this.reader.watchSoon();
      },
    );
  }

  /** It needs a cancelled job: it is accepted all the same, and cancelled with it. */
  private acceptCancelled(req: number, spec: JobSpec): void {
    const past = finalRecord(this.ctx, spec, "cancelled", 0);
    this.commitNew(
      req,
      spec.id,
      { op: "put", key: pastKey(spec.id), value: writePast(past) },
      () => {
        this.learnt(spec.id, past);
        this.answer(req, {
          is: "job",
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
    const absent = [jobKey(id), pastKey(id)].map((key) => ({
      key,
      version: 0,
    }));
    this.ctx.commit(absent, [write], Urgent.User, (end) => {
      if (end === "ok") ok();
      else if (end === "conflict")
        this.reader.afterRead(req, id, (r, i) => this.tellStatus(r, i, 200));
      else this.later(req, "state service does not answer");
    });
  }

  /** Answers from the job's record if there is one. */
  private known(req: number, id: string, unknown: () => void): void {
    this.reader.afterRead(req, id, () => {
      if (this.ctx.mirror.jobs.has(id)) return this.tellStatus(req, id, 200);
      this.past(req, id, (p) =>
        p ? this.tellStatus(req, id, 200) : unknown(),
      );
    });
  }

  /** Why a job can never run; null if it can. */
  private cannotRun(spec: JobSpec): string | null {
    const team = this.ctx.settings.teams.get(spec.team);
    if (!team) return `crew: unknown team ${spec.team}`;
    const n = spec.shape === "batch" ? 1 : spec.tasks;
    if (
      spec.cpus * n > team.cpusMax + EPS ||
      spec.gpus * n > team.gpusMax + EPS
    )
      return "cores, accelerators: more than the team's limit";
    if (!this.ctx.catalog) return "undecided";
    if (capableGroups(spec, this.ctx.catalog, this.ctx.groups).length === 0)
      return "a task fits no allowed machine type";
    return null;
  }

  withdraw(req: number, id: string, tries: number): void {
    const job = this.ctx.mirror.past.has(id)
      ? undefined
      : this.ctx.mirror.jobs.get(id);
    if (!job) {
      return this.past(req, id, (p) =>
        this.answer(
          req,
          p
            ? { is: "job", status: 200, id, state: p.status }
            : { is: "unknownJob" },
        ),
      );
    }
    const past = finalRecord(
      this.ctx,
      job.spec,
      "cancelled",
      this.ctx.mirror.allFinished(id).size,
    );
    const beside = this.ctx.mirror
      .sideKeys(id)
      .slice(0, this.ctx.settings.state.txnOps - 2);
    // Invariant (went_back): cancelled and done are conditional on the same record, so only one of them happens.
    this.ctx.commit(
      [{ key: jobKey(id), version: job.version }],
      endWrites(id, past, beside),
      Urgent.User,
      (end) => {
        if (end === "ok") {
          this.learnt(id, past);
          this.answer(req, { is: "job", status: 200, id, state: "cancelled" });
        } else if (end === "conflict" && tries > 0)
          this.reader.afterRead(req, id, (r, i) =>
            this.withdraw(r, i, tries - 1),
          );
        else this.later(req, "state service does not answer");
      },
    );
  }
}
