import type { Settings } from "../config/settings.js";
import {
  type Change,
  type Condition,
  HOLD_ENDED,
  type StateCall,
  type StateReply,
  type Write,
} from "../protocol/state.js";
import { bytesOf, parseKey, PAST } from "../storage/records.js";
import { Awaiting } from "./awaiting.js";
import type { CommitEnd, Context } from "./context.js";
import {
  type Answer,
  OWN_LIMIT,
  type CloudCall,
  type CloudReply,
  type CommandReply,
  type Effect,
  type Input,
  Urgent,
} from "./effects.js";
import { Groups } from "./groups.js";
import { NO_USE } from "./ledger.js";
import { Beliefs, type Pair } from "./limits/index.js";
import { Master } from "./master.js";
import { Mirror, type Seen } from "./mirror.js";
import type { JobSpec, MachineType, Order, Report, Tuning } from "./model.js";
import { Orphans } from "./orphans.js";
import { Ownership } from "./ownership.js";
import { maxRedirects, Redirects } from "./redirects.js";
import { StateReader } from "./state-reader.js";
import {
  type LogEvent,
  type LogEventFields,
  logEntry,
} from "../logging/events.js";
import { RateLimitedLog } from "./rate-limited-log.js";
import type { Handed } from "./splitter.js";
import { UnansweredCommits } from "./unanswered-commits.js";
import { Users, WITHDRAW_TRIES } from "./users.js";
import { UnownedGroups } from "./unowned-groups.js";

/** Who waits for the end of a call, which comes once. */
function ended<F>(ops: Map<number, F>, op: number): F | undefined {
  const done = ops.get(op);
  ops.delete(op);
  return done;
}

/** How things stand, for metrics: of the groups whose master this controller is. */
interface Figures {
  unfinished: number;
  groups: number;
  machines: number;
  idle: number;
  queuedPlain: number;
  queuedAccelerated: number;
  running: number;
  /** Machines whose reports arrive and which get nothing. */
  deaf: number;
  /** Reports that were no newer than what was known, since these groups were taken. */
  late: number;
  /** Jobs that fail wherever they run. */
  suspects: number;
  /** The longest that a gang which has not begun has waited, in seconds. */
  longestGangS: number;
  /** Questions refused so far, and for how long the job has been refused that was refused longest, in seconds. */
  refused: number;
  refusedForS: number;
}

/** So long without the state service and without any peer a controller tells users to go elsewhere. */
const ALONE_MS = 6_000;
/**
 * Latest jobs handed to a group since it wrote its room that are remembered at least; twice as many at most. Each was a commit,
 * so there are as many a second as the state service takes changes, however many machines there are; a split reads them all.
 */
const MAX_HANDED = 1_000;
/** What is left of jobs that are over is looked for this often. */
const SWEEP_MS = 5_000;
/** The catalog is read anew after this time; if reading it failed, sooner, and soonest while there is none. */
const CATALOG_MS = 60_000;
const CATALOG_RETRY_MS = 10_000;
const FIRST_CATALOG_RETRY_MS = 1_000;

/** One team in one group. */
export interface TeamFigures {
  team: string;
  group: string;
  /** Infinity: none. */
  limit: Pair;
  guarantee: Pair;
  /** Part of the limit that the group may use. */
  share: Pair;
  used: Pair;
  /** Waiting work that has a place, now or to be rented. */
  waiting: Pair;
  /** Of that, what the team is promised and does not have. */
  deficit: Pair;
  /** Part of the limit on its way to other groups. */
  inFlight: Pair;
  /** Stopped of others for this team since this controller took the group. */
  reclaimed: Pair;
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
  private readonly orphans: Orphans;
  private readonly unownedGroups: UnownedGroups;
  private readonly contradictions = new RateLimitedLog(this);
  private readonly beliefs: Beliefs;
  private readonly reader: StateReader;
  private readonly users: Users;
  private readonly unanswered = new UnansweredCommits();
  private readonly redirects: Redirects;
  private out: Effect[] = [];
  private ops = 0;
  private readonly stateOps = new Map<
    number,
    (r: StateReply, sentMs: number) => void
  >();
  private readonly cloudOps = new Map<number, (r: CloudReply) => void>();
  private readonly commandOps = new Map<number, (r: CommandReply) => void>();
  private readonly inspectOps = new Map<number, (r: Report | null) => void>();
  private nextCatalogMs = 0;
  private askingCatalog = false;
  private cloudDown = false;
  /** Handed to each group since it last wrote its room. */
  readonly handed = new Map<string, Handed[]>();
  private lastSweepMs = 0;

  constructor(
    readonly settings: Settings,
    readonly tuning: Tuning,
    nowMs: number,
    wallMs: number,
  ) {
    this.nowMs = nowMs;
    this.wallMs = wallMs;
    this.groups = new Groups(settings);
    this.redirects = new Redirects(maxRedirects(settings.memMb));
    this.beliefs = new Beliefs(this);
    this.awaiting = new Awaiting(
      this,
      (spec) => this.users.cut(spec),
      (id) => this.users.lookUp(id, () => {}),
    );
    this.ownership = new Ownership(
      this,
      (call, done) =>
        this.state(call, Urgent.Hold, (r, sentMs) => done(r, sentMs)),
      () => this.dropMasters(),
      () => this.checkMasters(),
      (group) => this.masters.get(group)?.own.deaf() ?? false,
    );
    this.unownedGroups = new UnownedGroups(this, this.ownership);
    this.orphans = new Orphans(this, this.unownedGroups, (spec) =>
      this.users.cut(spec),
    );
    const state = (
      call: StateCall,
      urgent: Urgent,
      done: (r: StateReply, sentMs: number) => void,
    ): void => this.state(call, urgent, done);
    const later = (req: number, why: string, afterS = 1): void =>
      this.answer(req, { is: "later", afterS, why });
    this.reader = new StateReader(
      this,
      this.ownership,
      state,
      (seen) => this.see(seen),
      (from, to, changes) => this.tell(from, to, changes),
      (afterMs) => this.out.push({ do: "wake", afterMs }),
      later,
    );
    this.users = new Users(
      this,
      this.masters,
      this.ownership,
      this.awaiting,
      this.reader,
      state,
      (req, answer) => this.answer(req, answer),
      later,
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

  /**
   * Whether an effect of the last step may still go out at this moment. Invariant (ran_cancelled, one master a group): what
   * only a permit allows is not sent once that has ended, although the step that decided it came before.
   */
  mayLeave(e: Effect, nowMs: number): boolean {
    const needsPermit =
      e.do === "command" || (e.do === "answer" && e.answer.is === "orders");
    return !needsPermit || nowMs < this.ownership.permitUntilMs;
  }

  /**
   * Ready to take requests: it has read what is alive. A state service that nobody reaches makes nobody unready, since the load
   * balancer would then keep all of them out beyond its end; one that reaches neither it nor any peer is cut off itself.
   */
  get ready(): boolean {
    return (
      this.mirror.ready &&
      !(
        this.settings.peers.length > 0 &&
        this.ownership.alone &&
        this.ownership.staleMs > ALONE_MS
      )
    );
  }

  private take(i: Input): void {
    switch (i.is) {
      case "tick":
        return this.tick();
      case "memory":
        return this.users.memory(i.short);
      case "wake":
        return this.reader.woken();
      case "submit":
        return this.users.submit(i.req, i.spec, i.awaits ?? []);
      case "status":
        return this.reader.afterRead(i.req, i.id, (req, id) =>
          this.users.tellStatus(req, id, 200),
        );
      case "withdraw":
        return this.reader.afterRead(i.req, i.id, (req, id) =>
          this.users.withdraw(req, id, WITHDRAW_TRIES),
        );
      case "report":
        return this.answer(i.req, this.report(i.report, i.relayed));
      case "unserved":
        return this.ownership.unserved(this.groups.of(i.zone));
      case "peers":
        return this.ownership.peersUp(i.up);
      case "state":
        return ended(this.stateOps, i.op)?.(i.reply, i.sentMs);
      case "cloud":
        return ended(this.cloudOps, i.op)?.(i.reply);
      case "command":
        return ended(this.commandOps, i.op)?.(i.reply);
      case "inspected":
        return ended(this.inspectOps, i.op)?.(i.report);
    }
  }

  // ---- effects -------------------------------------------------------------------------------------------

  log<E extends LogEvent>(event: E, fields: LogEventFields[E]): void {
    this.out.push({ do: "log", ...logEntry(event, fields) });
  }
  private answer(req: number, answer: Answer): void {
    this.out.push({ do: "answer", req, answer });
  }
  private state(
    call: StateCall,
    urgent: Urgent,
    done: (r: StateReply, sentMs: number) => void,
  ): void {
    const op = ++this.ops;
    this.stateOps.set(op, done);
    this.out.push({ do: "state", op, call, urgent });
  }
  commit(
    conditions: Condition[],
    writes: Write[],
    urgent: Urgent,
    done: (end: CommitEnd) => void,
  ): void {
    this.state({ op: "commit", conditions, writes }, urgent, (r) => {
      if (r.is === "committed") {
        for (const w of writes)
          if (w.op === "put") this.mirror.wrote(w.key, r.epoch);
        return done("ok");
      }
      // Repeated unchanged it would be refused for ever: everything written is kept within the limits, now and next.
      if (r.is === "refused" && r.why === HOLD_ENDED) {
        for (const w of writes)
          if (w.op === "put" && w.hold !== undefined)
            this.ownership.holdEnded(w.hold);
      } else if (r.is === "refused" && r.why === "400")
        this.log("transaction rejected by the store", {
          writes: writes.map((w) => [
            w.op,
            w.key,
            w.op === "put" ? bytesOf(w.value as object) : 0,
          ]),
        });
      if (r.is === "unknown") this.unanswered.note(writes, this.nowMs);
      done(
        r.is === "conflict"
          ? "conflict"
          : r.is === "refused"
            ? "refused"
            : "unknown",
      );
    });
  }
  cloud(
    call: CloudCall,
    urgent: Urgent,
    done: (reply: CloudReply) => void,
  ): void {
    const op = ++this.ops;
    this.cloudOps.set(op, (r) => {
      const down = r.is === "failed" && r.why !== OWN_LIMIT;
      if (r.is === "failed" && !down) return done(r);
      if (down !== this.cloudDown) {
        this.cloudDown = down;
        if (r.is === "failed") this.log("cloud unavailable", { reason: r.why });
        else this.log("cloud available again", {});
      }
      done(r);
    });
    this.out.push({ do: "cloud", op, call, urgent });
  }
  command(
    address: string,
    token: number,
    session: number,
    orders: Order[],
    done: (reply: CommandReply) => void,
  ): void {
    const op = ++this.ops;
    this.commandOps.set(op, done);
    this.out.push({ do: "command", op, address, token, session, orders });
  }

  inspect(address: string, done: (report: Report | null) => void): void {
    const op = ++this.ops;
    this.inspectOps.set(op, done);
    this.out.push({ do: "inspect", op, address });
  }

  // ---- the copy of the state service ---------------------------------------------------------------------

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
          if (job)
            for (const m of this.masters.values())
              if (m.own.jobs.has(s.id)) m.sync(job);
          break;
        }
        case "room":
          this.handed.delete(s.group);
          break;
        case "unreadable":
          this.contradictions.warn("unreadable record", s.key, {});
          break;
        default:
          break;
      }
    }
    this.checkMasters();
    this.awaiting.act();
  }

  /** For those who follow the ends of jobs, and for the log; this core has no need of it. */
  private tell(from: number, to: number, changes: readonly Change[]): void {
    for (const late of this.unanswered.among(changes, this.nowMs))
      this.log("indeterminate transaction was applied", late);
    if (!this.tuning.tellEnds) return;
    const theirs = changes.filter(
      (c) => c.key.startsWith(PAST) || parseKey(c.key) === null,
    );
    this.out.push({ do: "seen", from, to, changes: theirs });
  }
  /** The hold that this controller lives under, and until when (steady time, ms) it may act on what it owns under it. */
  get permit(): { hold: number | null; untilMs: number } {
    return {
      hold: this.ownership.holdId,
      untilMs: this.ownership.permitUntilMs,
    };
  }

  /** How things stand, for metrics: of the groups whose master this controller is. */
  get figures(): Figures {
    const read = this.reader.refusals;
    const oldest = Math.min(
      read.oldestMs ?? Infinity,
      this.users.lookups.oldestMs ?? Infinity,
    );
    const f: Figures = {
      unfinished: this.mirror.jobs.size,
      groups: this.masters.size,
      machines: 0,
      idle: 0,
      queuedPlain: 0,
      queuedAccelerated: 0,
      running: 0,
      deaf: 0,
      late: 0,
      suspects: 0,
      longestGangS: 0,
      refused: read.refused + this.users.lookups.refused,
      refusedForS: oldest === Infinity ? 0 : (this.nowMs - oldest) / 1000,
    };
    for (const m of this.masters.values()) {
      const { own } = m;
      f.deaf += own.deafMachines().length;
      f.late += m.lateReports;
      for (const j of own.jobs.values()) {
        if (j.suspectMs !== null) f.suspects++;
        else if (
          j.view.spec.shape === "ensemble" &&
          !j.waiting.isEmpty &&
          j.active.size === 0
        )
          f.longestGangS = Math.max(
            f.longestGangS,
            (this.wallMs - j.view.readyAt) / 1000,
          );
      }
      const q = own.queue();
      f.queuedPlain += q.plain;
      f.queuedAccelerated += q.accelerated;
      f.machines += own.workers.size;
      for (const w of own.workers.values()) {
        f.running += w.tasks.size;
        if (w.tasks.size === 0) f.idle++;
      }
    }
    return f;
  }

  /** How teams stand in the groups whose master this controller is; amounts in CPUs and accelerators. */
  get teamFigures(): TeamFigures[] {
    const out: TeamFigures[] = [];
    for (const m of this.masters.values()) {
      const used = m.own.usage();
      for (const t of this.settings.teams.values()) {
        const own = used.get(t.name) ?? NO_USE;
        const known = m.own.ledger.useOf(t.name);
        const waiting = m.sharing.waiting(t.name);
        const lacks = m.guarantees.lacks(t.name, own) ?? [0, 0];
        out.push({
          team: t.name,
          group: m.group,
          limit: [t.cpusMax, t.gpusMax],
          guarantee: [t.cpus, t.gpus],
          share: m.sharing.share(t.name),
          used: [known.cpus, known.gpus],
          waiting,
          deficit: [
            Math.max(0, Math.min(waiting[0], lacks[0])),
            Math.max(0, Math.min(waiting[1], lacks[1])),
          ],
          inFlight: m.sharing.inFlight(t.name),
          reclaimed: m.reclaims.reclaimed.get(t.name) ?? [0, 0],
        });
      }
    }
    return out;
  }

  /** A master exists exactly while the mirror shows its token as this controller's. */
  private checkMasters(): void {
    for (const [group, m] of this.masters) {
      if (this.ownership.tokenOf(group) === m.token) continue;
      this.masters.delete(group);
      this.log("partition lost", {
        partition: group,
        token: m.token,
        owner: this.mirror.groups.get(group)?.owner ?? null,
      });
    }
    for (const group of this.groups.names) {
      const token = this.ownership.tokenOf(group);
      if (token === null || this.masters.has(group)) continue;
      // The mirror reaches beyond the token's revision, and every commit of the former master depended on the
      // record that this token replaced: its roster and splits are all here.
      this.masters.set(
        group,
        new Master(
          this,
          group,
          token,
          () =>
            this.ownership.permitted() &&
            this.ownership.tokenOf(group) === token,
        ),
      );
      this.log("partition acquired", { partition: group, token });
    }
  }
  private dropMasters(): void {
    for (const [group, m] of this.masters)
      this.log("partition lost", {
        partition: group,
        token: m.token,
        owner: null,
      });
    this.masters.clear();
  }

  readAgeMs(): number {
    return this.ownership.readAgeMs;
  }
  unownedToken(group: string): number | null {
    return this.unownedGroups.token(group);
  }

  // ---- users ---------------------------------------------------------------------------------------------

  noteHanded(group: string, spec: JobSpec, tasks: number): void {
    let list = this.handed.get(group);
    if (!list) this.handed.set(group, (list = []));
    list.push({ spec, tasks });
    if (list.length >= 2 * MAX_HANDED) list.splice(0, MAX_HANDED);
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
    if (!g || g.owner === this.settings.label || relayed)
      return { is: "elsewhere", master: null };
    // It has been served under this very token, or was sent there a moment ago, and yet it comes here: its
    // master is out of its reach.
    const again =
      r.token === g.version ||
      this.redirects.isBack(r.worker, g.version, this.nowMs);
    if (again) return { is: "relay", master: g.owner };
    this.redirects.note(r.worker, g.version, this.nowMs);
    return { is: "elsewhere", master: g.owner };
  }

  // ---- time ----------------------------------------------------------------------------------------------

  private tick(): void {
    this.ownership.tick();
    this.reader.watch();
    this.reader.readNow();
    this.askCatalog();
    this.beliefs.tick(this.ownership.holdId);
    const agreed = this.beliefs.agreed();
    for (const m of this.masters.values()) m.tick(agreed);
    if (this.masters.size > 0) {
      this.orphans.tick();
      this.unownedGroups.tick();
    }
    this.awaiting.act();
    if (this.nowMs - this.lastSweepMs > SWEEP_MS) {
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
        this.nextCatalogMs =
          this.nowMs +
          (this.catalog ? CATALOG_RETRY_MS : FIRST_CATALOG_RETRY_MS);
        return;
      }
      this.catalog = r.types;
      this.nextCatalogMs = this.nowMs + CATALOG_MS;
    });
  }

  /** Finished ranges of jobs that are over, as many as did not fit the transaction that ended them. */
  private sweep(): void {
    const mine = this.masters.get(this.settings.label);
    if (!mine || !this.ownership.permitted()) return;
    const keys = this.mirror
      .leftovers()
      .flatMap((id) => this.mirror.sideKeys(id))
      .slice(0, this.settings.state.txnOps);
    if (keys.length > 0)
      mine.own.commit(
        [],
        keys.map((key) => ({ op: "delete", key })),
        Urgent.Spare,
        () => {},
      );
  }
}
