import type { Settings } from "../config/settings.js";
import { type Condition, HOLD_ENDED, type Item, type StateCall, type StateReply, type Write } from "../protocol/state.js";
import { bytesOf, endWrites, jobKey, type JobRecord, NOW, pastKey, type PastRecord, readPast, ROOT, writeJob, writePast } from "../storage/records.js";
import { Awaiting } from "./awaiting.js";
import type { CommitEnd, Context } from "./context.js";
import { type Answer, OWN_LIMIT, type CloudCall, type CloudReply, type CommandReply, type Effect, type Input, type Level, Urgent } from "./effects.js";
import { Groups } from "./groups.js";
import { Master } from "./master.js";
import { Mirror, type Seen } from "./mirror.js";
import type { JobSpec, MachineType, Order, Report, Tuning } from "./model.js";
import { Ownership } from "./ownership.js";
import { EPS } from "./placement.js";
import { isShort } from "./queues.js";
import { RangeSet } from "./ranges.js";
import { capableGroups, type Handed, splitJob } from "./splitter.js";

/** A watch is renewed at least this often: its age is part of the permit. */
const WATCH_MS = 2_000;
/** Reads follow each other no faster than this: one serves all that asked meanwhile. */
const READ_PAUSE_MS = 60;
const WITHDRAW_TRIES = 4;
const MAX_WAITING = 400;
/** A copy read within this time tells a new job's user of every cancellation that was told cancel_s ago. */
const FRESH_MS = 3_000;
/** Measured: 2 KiB for a live job, as much again for each group that has a part of it, and the text while it is read. */
const JOB_KIB = 6;
/** Of the memory, what live jobs may take: the process itself and its libraries take half. */
const JOBS_SHARE = 0.35;

interface Waiting {
  req: number;
  id: string;
  next: (req: number, id: string) => void;
}

/**
 * The whole of one controller without its sockets and clocks: takes inputs, returns effects. Everything that
 * several controllers must agree on goes through conditional commits at the state service.
 */
export class Controller implements Context {
  nowMs: number;
  wallMs: number;
  catalog: MachineType[] | null = null;
  readonly groups: Groups;
  readonly mirror = new Mirror();
  readonly masters = new Map<string, Master>();
  readonly ownership: Ownership;
  readonly awaiting: Awaiting;
  private out: Effect[] = [];
  private ops = 0;
  private readonly stateOps = new Map<number, (r: StateReply, sentMs: number) => void>();
  private readonly cloudOps = new Map<number, (r: CloudReply) => void>();
  private readonly commandOps = new Map<number, (r: CommandReply) => void>();
  private watching = false;
  private loading = false;
  private reading = false;
  private nextWatchMs = 0;
  private nextReadMs = 0;
  private waking = false;
  private waiting: Waiting[] = [];
  private nextCatalogMs = 0;
  private askingCatalog = false;
  private stateDown = false;
  private cloudDown = false;
  /** Handed to each group since it last wrote its room. */
  readonly handed = new Map<string, Handed[]>();
  private lastSweepMs = 0;
  private readonly maxJobs: number;

  constructor(
    readonly settings: Settings,
    readonly tuning: Tuning,
    nowMs: number,
    wallMs: number,
  ) {
    this.nowMs = nowMs;
    this.wallMs = wallMs;
    this.groups = new Groups(settings);
    this.maxJobs = Math.floor((settings.memMb * 1024 * JOBS_SHARE) / JOB_KIB);
    this.awaiting = new Awaiting(this, (spec) => this.cut(spec), (id) => this.lookUp(id, () => {}));
    this.ownership = new Ownership(
      this,
      (call, done) => this.state(call, Urgent.Hold, (r, sentMs) => done(r as { is: string; hold?: number }, sentMs)),
      () => this.dropMasters(),
      () => this.checkMasters(),
      (group) => this.masters.get(group)?.deaf() ?? false,
    );
  }

  step(input: Input, nowMs: number, wallMs: number): Effect[] {
    this.nowMs = nowMs;
    this.wallMs = wallMs;
    this.take(input);
    for (const m of this.masters.values()) {
      m.place();
      m.sendDirect();
    }
    const out = this.out;
    this.out = [];
    return out;
  }

  /** Ready to take requests: it has read what is alive, and the state service was there lately. */
  get ready(): boolean {
    return this.mirror.ready;
  }

  private take(i: Input): void {
    switch (i.is) {
      case "tick":
        return this.tick();
      case "wake":
        this.waking = false;
        this.watch();
        return this.readNow();
      case "submit":
        return this.submit(i.req, i.spec, i.awaits ?? []);
      case "status":
        return this.afterRead(i.req, i.id, (req, id) => this.tellStatus(req, id, 200));
      case "withdraw":
        return this.afterRead(i.req, i.id, (req, id) => this.withdraw(req, id, WITHDRAW_TRIES));
      case "report":
        return this.answer(i.req, this.report(i.report, i.relayed));
      case "unserved":
        return this.ownership.unserved(this.groups.of(i.zone));
      case "peers":
        return this.ownership.peersUp(i.up);
      case "state": {
        const done = this.stateOps.get(i.op);
        this.stateOps.delete(i.op);
        return done?.(i.reply, i.sentMs);
      }
      case "cloud": {
        const done = this.cloudOps.get(i.op);
        this.cloudOps.delete(i.op);
        return done?.(i.reply);
      }
      case "command": {
        const done = this.commandOps.get(i.op);
        this.commandOps.delete(i.op);
        return done?.(i.reply);
      }
    }
  }

  // ---- effects -------------------------------------------------------------------------------------------

  log(level: Level, msg: string, fields: Record<string, unknown> = {}): void {
    this.out.push({ do: "log", level, msg, fields });
  }
  private answer(req: number, answer: Answer): void {
    this.out.push({ do: "answer", req, answer });
  }
  private later(req: number, why: string, afterS = 1): void {
    this.answer(req, { is: "later", afterS, why });
  }
  private state(call: StateCall, urgent: Urgent, done: (r: StateReply, sentMs: number) => void): void {
    const op = ++this.ops;
    this.stateOps.set(op, done);
    this.out.push({ do: "state", op, call, urgent });
  }
  commit(conditions: Condition[], writes: Write[], urgent: Urgent, done: (end: CommitEnd, epoch: number) => void): void {
    this.state({ op: "commit", conditions, writes }, urgent, (r) => {
      if (r.is === "committed") return done("ok", r.epoch);
      // Repeated unchanged it would be refused for ever: everything written is kept within the limits, now and next.
      if (r.is === "refused" && r.why === HOLD_ENDED) {
        for (const w of writes) if (w.op === "put" && w.hold !== undefined) this.ownership.holdEnded(w.hold);
      } else if (r.is === "refused" && r.why === "400") this.log("error", "state service refuses a transaction", { writes: writes.map((w) => [w.op, w.key, w.op === "put" ? bytesOf(w.value as object) : 0]) });
      done(r.is === "conflict" ? "conflict" : r.is === "refused" ? "refused" : "unknown", 0);
    });
  }
  cloud(call: CloudCall, urgent: Urgent, done: (reply: CloudReply) => void): void {
    const op = ++this.ops;
    this.cloudOps.set(op, (r) => {
      const down = r.is === "failed" && r.why !== OWN_LIMIT;
      if (r.is === "failed" && !down) return done(r);
      if (down !== this.cloudDown) {
        this.cloudDown = down;
        this.log(down ? "warn" : "info", down ? "cloud does not answer" : "cloud answers again", down && r.is === "failed" ? { why: r.why } : {});
      }
      done(r);
    });
    this.out.push({ do: "cloud", op, call, urgent });
  }
  command(address: string, token: number, session: number, orders: Order[], done: (reply: CommandReply) => void): void {
    const op = ++this.ops;
    this.commandOps.set(op, done);
    this.out.push({ do: "command", op, address, token, session, orders });
  }

  // ---- the copy of the state service ---------------------------------------------------------------------

  private load(after = "", items: Item[] = [], since: number | null = null, firstSentMs = 0): void {
    this.loading = true;
    this.state({ op: "list", prefix: NOW, after }, Urgent.Hold, (r, sentMs) => {
      if (r.is !== "items") {
        this.loading = false;
        this.nextWatchMs = this.nowMs + 300;
        this.noteState(false);
        return;
      }
      const all = [...items, ...r.items];
      const from = since ?? r.epoch;
      const sent = since === null ? sentMs : firstSentMs;
      const last = r.items.at(-1);
      if (r.more && last) return this.load(last.key, all, from, sent);
      this.loading = false;
      this.see(this.mirror.reload(all, from));
      this.ownership.read(sent);
      this.noteState(true);
      this.watch();
    });
  }

  private watch(): void {
    if (this.watching || this.loading || this.nowMs < this.nextWatchMs) return;
    if (!this.mirror.ready) return this.load();
    this.watching = true;
    this.changes(WATCH_MS, (ok) => {
      this.watching = false;
      this.nextWatchMs = this.nowMs + (ok ? READ_PAUSE_MS : 300);
      if (ok) this.wakeIn(READ_PAUSE_MS);
    });
  }
  /**
   * Ticks are 200 ms apart: a watch that was opened again, or questions that were read for, only by the next one left
   * users and every stage of a line of jobs waiting that long.
   */
  private wakeIn(afterMs: number): void {
    if (this.waking) return;
    this.waking = true;
    this.out.push({ do: "wake", afterMs });
  }

  private changes(waitMs: number, done: (ok: boolean) => void): void {
    this.state({ op: "changes", prefix: ROOT, since: this.mirror.epoch, waitMs }, Urgent.Hold, (r, sentMs) => {
      if (r.is === "changes") {
        this.ownership.read(sentMs);
        this.noteState(true);
        this.see(this.mirror.apply(r.changes, r.epoch));
        done(true);
      } else {
        if (r.is === "gone") {
          this.log("warn", "watch fell too far behind; reading everything again");
          if (!this.loading) this.load();
        } else this.noteState(false);
        done(false);
      }
    });
  }

  private noteState(up: boolean): void {
    if (up === !this.stateDown) return;
    if (!up && this.ownership.staleMs < 3_000) return;
    this.stateDown = !up;
    if (up) this.log("info", "state service answers again");
    else this.log("warn", "state service does not answer", { permitLeftMs: Math.round(this.ownership.permitUntilMs - this.nowMs) });
  }

  private see(seen: readonly Seen[]): void {
    for (const s of seen) {
      switch (s.kind) {
        case "group":
          break;
        case "job":
          for (const m of this.masters.values()) m.sync(s.job);
          this.awaiting.seen(s.job);
          break;
        case "jobGone":
          for (const m of this.masters.values()) m.jobGone(s.id);
          this.awaiting.gone(s.id);
          break;
        case "past":
          this.awaiting.settle(s.id, s.past);
          break;
        case "fin": {
          const job = this.mirror.jobs.get(s.id);
          if (job) for (const m of this.masters.values()) if (m.jobs.has(s.id)) m.sync(job);
          break;
        }
        case "room":
          this.handed.delete(s.group);
          break;
        default:
          break;
      }
    }
    this.checkMasters();
    this.awaiting.act();
  }

  /** A master exists exactly while the mirror shows its token as this controller's. */
  private checkMasters(): void {
    for (const [group, m] of this.masters) {
      if (this.ownership.tokenOf(group) === m.token) continue;
      this.masters.delete(group);
      this.log("info", "group lost", { group, token: m.token, owner: this.mirror.groups.get(group)?.owner ?? null });
    }
    for (const group of this.groups.names) {
      const token = this.ownership.tokenOf(group);
      if (token === null || this.masters.has(group)) continue;
      // The mirror reaches beyond the token's revision, and every commit of the former master depended on the
      // record that this token replaced: its roster and splits are all here.
      this.masters.set(group, new Master(this, group, token, () => this.ownership.permitted() && this.ownership.tokenOf(group) === token));
      this.log("info", "group taken", { group, token });
    }
  }
  private dropMasters(): void {
    for (const [group, m] of this.masters) this.log("info", "group lost", { group, token: m.token, owner: null });
    this.masters.clear();
  }

  // ---- users ---------------------------------------------------------------------------------------------

  /**
   * Invariant (rules forgotten, went_back): an answer that is not final rests on a read that was sent after the
   * question came. One read serves all questions that came before it.
   */
  private afterRead(req: number, id: string, next: (req: number, id: string) => void): void {
    const past = this.mirror.past.get(id);
    if (past) return next(req, id);
    if (!this.mirror.ready) return this.later(req, "not ready yet");
    if (this.waiting.length >= MAX_WAITING) return this.later(req, "too many requests");
    this.waiting.push({ req, id, next });
    this.readNow();
  }

  private readNow(): void {
    if (this.reading || this.waiting.length === 0) return;
    if (this.nowMs < this.nextReadMs) return this.wakeIn(this.nextReadMs - this.nowMs);
    this.reading = true;
    const served = this.waiting;
    this.waiting = [];
    this.changes(0, (ok) => {
      this.reading = false;
      this.nextReadMs = this.nowMs + READ_PAUSE_MS;
      for (const w of served) {
        if (ok) w.next(w.req, w.id);
        else this.later(w.req, "state service does not answer");
      }
      this.readNow();
    });
  }

  /** A job's final state, read from the state service; null: it has none, or that can't be known now. */
  private lookUp(id: string, done: (past: PastRecord | null, failed: string | null) => void): void {
    this.state({ op: "get", key: pastKey(id) }, Urgent.User, (r) => {
      if (r.is !== "item") return done(null, "state service does not answer");
      const p = r.item ? readPast(r.item.value) : null;
      if (p) this.learnt(id, p);
      done(p, r.item && !p ? "unreadable record" : null);
    });
  }
  private learnt(id: string, past: PastRecord): void {
    this.mirror.keepPast(id, past);
    this.awaiting.settle(id, past);
  }

  /** Calls `then` with what became of a job that is not alive; a final state never changes. */
  private past(req: number, id: string, then: (p: PastRecord | null) => void): void {
    const known = this.mirror.past.get(id);
    if (known) return then(known);
    this.lookUp(id, (p, failed) => (failed === null ? then(p) : this.later(req, failed)));
  }

  private tellStatus(req: number, id: string, status: 200 | 201): void {
    const job = this.mirror.past.has(id) ? undefined : this.mirror.jobs.get(id);
    if (job) {
      // Invariant (orphaned, went_back): another controller may know already that one of these is cancelled.
      const unsure = this.awaiting.unsure(id);
      if (unsure !== null) return this.past(req, unsure, (p) => (p ? this.tellStatus(req, id, status) : this.later(req, "not known yet")));
      if (this.awaiting.isDoomed(id)) return this.answer(req, { is: "job", status, id, state: "cancelled", done: 0, running: 0 });
      let running = 0;
      for (const g of this.groups.names) running += this.masters.get(g)?.runningOf(id) ?? this.mirror.rooms.get(g)?.running.get(id) ?? 0;
      const done = this.mirror.allFinished(id).size;
      return this.answer(req, { is: "job", status, id, state: running > 0 ? "running" : "queued", done, running, awaits: this.awaiting.waitsFor(id) });
    }
    this.past(req, id, (p) => {
      if (!p) return this.answer(req, { is: "unknownJob" });
      this.answer(req, { is: "job", status, id, state: p.status, done: p.done, running: 0 });
    });
  }

  private submit(req: number, spec: JobSpec, awaits: readonly string[]): void {
    const id = spec.id;
    if (this.mirror.past.has(id)) return this.tellStatus(req, id, 200);
    if (this.mirror.jobs.has(id)) return this.afterRead(req, id, (r, i) => this.tellStatus(r, i, 200));
    if (!this.mirror.ready) return this.later(req, "not ready yet");
    const no = this.cannotRun(spec);
    // Whatever the catalog says today: a job that was accepted once is answered from its record.
    if (no === "undecided") return this.known(req, id, () => this.later(req, "machine types are not known yet"));
    if (no !== null) return this.known(req, id, () => this.answer(req, { is: "never", error: no }));
    const tooLong = this.tooLong(spec, awaits);
    if (tooLong !== null) return this.known(req, id, () => this.answer(req, { is: "tooLong", error: tooLong }));
    // Every controller holds all live jobs: more than fit are not accepted, on any of them.
    if (this.mirror.jobs.size >= this.maxJobs) return this.known(req, id, () => this.later(req, "too many unfinished jobs", 10));
    if (awaits.length === 0) return this.accept(req, spec, []);
    // What this copy shows of a job was so a moment ago: it was accepted. Only what it does not show takes a fresh read,
    // and what it may be too old for.
    const shown = awaits.every((name) => this.mirror.past.has(name) || (this.mirror.jobs.has(name) && this.awaiting.unsure(name) === null));
    if (shown && this.ownership.readAgeMs < FRESH_MS) return this.judge(req, spec, awaits, []);
    this.afterRead(req, id, () => this.judge(req, spec, awaits, []));
  }

  /**
   * What a job waits for, name by name, each by a read that was sent after the question: whoever names a job has been
   * told before that it was accepted. `open`: those found alive; `doomed`: one is cancelled.
   */
  private judge(req: number, spec: JobSpec, names: readonly string[], open: readonly string[], doomed = false): void {
    const id = spec.id;
    if (this.mirror.past.has(id) || this.mirror.jobs.has(id)) return this.tellStatus(req, id, 200);
    const [name, ...rest] = names;
    if (name === undefined) return doomed ? this.acceptCancelled(req, spec) : this.accept(req, spec, open);
    if (!this.mirror.past.has(name) && this.mirror.jobs.has(name)) {
      const unsure = this.awaiting.unsure(name);
      if (unsure !== null) return this.past(req, unsure, (p) => (p ? this.judge(req, spec, names, open, doomed) : this.later(req, "not known yet")));
      return this.judge(req, spec, rest, [...open, name], doomed || this.awaiting.isDoomed(name));
    }
    this.past(req, name, (p) => {
      if (!p) return this.known(req, id, () => this.answer(req, { is: "never", error: `awaits: ${name} was never accepted` }));
      this.judge(req, spec, rest, open, doomed || p.status === "cancelled");
    });
  }

  /** A job's record must fit a value, while it waits and once it is cut over the groups. */
  private tooLong(spec: JobSpec, awaits: readonly string[]): string | null {
    const record = { spec, acceptedAt: this.wallMs, awaits: [], releasedAt: this.wallMs, split: new Map(this.groups.names.map((g) => [g, RangeSet.upTo(spec.tasks)])) };
    const bytes = Math.max(bytesOf(writeJob(record)), bytesOf(writeJob({ ...record, split: new Map(), awaits })));
    return bytes > this.settings.state.valueBytes ? `body: names and lists take ${bytes} bytes of a record, at most ${this.settings.state.valueBytes} fit` : null;
  }

  /** Cuts a job over the groups by their room at this moment; null: not now. */
  private cut(spec: JobSpec): Map<string, RangeSet> | null {
    const capable = this.catalog ? capableGroups(spec, this.catalog, this.groups) : [];
    if (!this.catalog || capable.length === 0) return null;
    const rooms = new Map(this.mirror.rooms);
    for (const [g, m] of this.masters) rooms.set(g, m.room());
    const split = splitJob(spec, capable, rooms, this.catalog, isShort(spec, this.tuning), this.handed);
    for (const [g, r] of split) if (!this.masters.has(g)) this.noteHanded(g, spec, r.size);
    return split;
  }

  /** Accepting is one commit, with the split in it; the masters learn of the job from the record. */
  private accept(req: number, spec: JobSpec, awaits: readonly string[]): void {
    const split = awaits.length > 0 ? new Map<string, RangeSet>() : this.cut(spec);
    if (!split) return this.later(req, "machine types are not known yet");
    const record: JobRecord = { spec, acceptedAt: this.wallMs, split, awaits, releasedAt: null };
    this.commitNew(req, spec.id, { op: "put", key: jobKey(spec.id), value: writeJob(record) }, () => {
      this.answer(req, { is: "job", status: 201, id: spec.id, state: "queued" });
      this.log("debug", "job accepted", { job: spec.id, class: spec.class, tasks: spec.tasks, awaits, split: [...split].map(([g, r]) => [g, r.size]) });
      this.watchSoon();
    });
  }

  /** It needs a cancelled job: it is accepted all the same, and cancelled with it. */
  private acceptCancelled(req: number, spec: JobSpec): void {
    const past: PastRecord = { status: "cancelled", tasks: spec.tasks, done: 0 };
    this.commitNew(req, spec.id, { op: "put", key: pastKey(spec.id), value: writePast(past) }, () => {
      this.learnt(spec.id, past);
      this.answer(req, { is: "job", status: 201, id: spec.id, state: "cancelled" });
    });
  }

  private commitNew(req: number, id: string, write: Write, ok: () => void): void {
    const absent = [jobKey(id), pastKey(id)].map((key) => ({ key, version: 0 }));
    this.commit(absent, [write], Urgent.User, (end) => {
      if (end === "ok") ok();
      else if (end === "conflict") this.afterRead(req, id, (r, i) => this.tellStatus(r, i, 200));
      else this.later(req, "state service does not answer");
    });
  }

  noteHanded(group: string, spec: JobSpec, tasks: number): void {
    const list = this.handed.get(group) ?? [];
    this.handed.set(group, [...list, { spec, tasks }].slice(-50));
  }

  /** The open watch shows a commit at once; if none is open, one is opened. */
  private watchSoon(): void {
    if (!this.watching) {
      this.nextWatchMs = this.nowMs;
      this.watch();
    }
  }

  /** Answers from the job's record if there is one. */
  private known(req: number, id: string, unknown: () => void): void {
    this.afterRead(req, id, () => {
      if (this.mirror.jobs.has(id)) return this.tellStatus(req, id, 200);
      this.past(req, id, (p) => (p ? this.tellStatus(req, id, 200) : unknown()));
    });
  }

  /** Why a job can never run; null if it can. */
  private cannotRun(spec: JobSpec): string | null {
    const team = this.settings.teams.get(spec.team);
    if (!team) return `crew: unknown team ${spec.team}`;
    const n = spec.shape === "batch" ? 1 : spec.tasks;
    if (spec.cpus * n > team.cpusMax + EPS || spec.gpus * n > team.gpusMax + EPS) return "cores, accelerators: more than the team's limit";
    if (!this.catalog) return "undecided";
    if (capableGroups(spec, this.catalog, this.groups).length === 0) return "a task fits no allowed machine type";
    return null;
  }

  private withdraw(req: number, id: string, tries: number): void {
    const job = this.mirror.past.has(id) ? undefined : this.mirror.jobs.get(id);
    if (!job) {
      return this.past(req, id, (p) => this.answer(req, p ? { is: "job", status: 200, id, state: p.status } : { is: "unknownJob" }));
    }
    const past: PastRecord = { status: "cancelled", tasks: job.spec.tasks, done: this.mirror.allFinished(id).size };
    const beside = this.mirror.sideKeys(id).slice(0, this.settings.state.txnOps - 2);
    // Invariant (went_back): cancelled and done are conditional on the same record, so only one of them happens.
    this.commit(
      [{ key: jobKey(id), version: job.version }],
      endWrites(id, past, beside),
      Urgent.User,
      (end) => {
        if (end === "ok") {
          this.learnt(id, past);
          this.answer(req, { is: "job", status: 200, id, state: "cancelled" });
        } else if (end === "conflict" && tries > 0) this.afterRead(req, id, (r, i) => this.withdraw(r, i, tries - 1));
        else this.later(req, "state service does not answer");
      },
    );
  }

  // ---- workers -------------------------------------------------------------------------------------------

  private report(r: Report, relayed: boolean): Answer {
    const group = this.groups.of(r.zone);
    const m = this.masters.get(group);
    if (m) {
      if (this.ownership.permitted()) return m.report(r);
      return { is: "later", afterS: 1, why: "no permit" };
    }
    const g = this.mirror.groups.get(group);
    if (!g || g.owner === this.settings.label || relayed) return { is: "elsewhere", master: null };
    // It has been served under this very token, or was sent there a moment ago, and yet it comes here: its
    // master is out of its reach.
    const sent = this.sentAway.get(r.worker);
    const again = r.token === g.version || (sent !== undefined && sent.token === g.version && this.nowMs - sent.ms < 12_000);
    if (again) return { is: "relay", master: g.owner };
    this.sentAway.delete(r.worker);
    this.sentAway.set(r.worker, { token: g.version, ms: this.nowMs });
    if (this.sentAway.size > 2_000) this.sentAway.delete(this.sentAway.keys().next().value!);
    return { is: "elsewhere", master: g.owner };
  }
  private readonly sentAway = new Map<string, { token: number; ms: number }>();

  // ---- time ----------------------------------------------------------------------------------------------

  private tick(): void {
    this.ownership.tick();
    this.watch();
    this.readNow();
    this.askCatalog();
    for (const m of this.masters.values()) m.tick();
    this.awaiting.act();
    if (this.nowMs - this.lastSweepMs > 5_000) {
      this.lastSweepMs = this.nowMs;
      this.sweep();
    }
  }

  private askCatalog(): void {
    if (this.askingCatalog || this.nowMs < this.nextCatalogMs) return;
    this.askingCatalog = true;
    this.cloud({ op: "catalog" }, Urgent.User, (r) => {
      this.askingCatalog = false;
      if (r.is !== "catalog") {
        this.nextCatalogMs = this.nowMs + (this.catalog ? 10_000 : 1_000);
        return;
      }
      this.catalog = r.types;
      this.nextCatalogMs = this.nowMs + 60_000;
    });
  }

  /** Finished ranges of jobs that are over, as many as did not fit the transaction that ended them. */
  private sweep(): void {
    const mine = this.masters.get(this.settings.label);
    if (!mine || !this.ownership.permitted()) return;
    const keys = this.mirror.leftovers().flatMap((id) => this.mirror.sideKeys(id)).slice(0, this.settings.state.txnOps);
    if (keys.length > 0) mine.commit([], keys.map((key) => ({ op: "delete", key })), Urgent.Spare, () => {});
  }
}

