import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { Settings } from "../../src/config/settings.js";
import { DEFAULTS } from "../../src/config/operator.js";
import { Controller } from "../../src/coordination/controller.js";
import type {
  Answer,
  CloudCall,
  CloudReply,
  CommandReply,
  Effect,
  Input,
} from "../../src/coordination/effects.js";
import type {
  Cause,
  JobSpec,
  MachineType,
  Order,
  Report,
  ReportedTask,
  TaskState,
  Tuning,
} from "../../src/coordination/model.js";
import {
  type Change,
  HOLD_ENDED,
  type Item,
  type StateCall,
  type StateReply,
} from "../../src/protocol/state.js";
import { Controller as ProductionController } from "../production/coordination/controller.js";
import { Checker } from "./checker.js";

/** A small world for the core: seeded, in simulated time, with a stand-in for everything around a controller. */

export class Rng {
  private readonly g;
  constructor(seed: number) {
    this.g = xoroshiro128plus(seed);
  }
  int(lo: number, hi: number): number {
    return uniformInt(this.g, lo, hi);
  }
  real(lo = 0, hi = 1): number {
    return lo + uniformFloat64(this.g) * (hi - lo);
  }
  chance(p: number): boolean {
    return this.real() < p;
  }
  pick<T>(from: readonly T[]): T {
    return from[this.int(0, from.length - 1)]!;
  }
}

class StateService {
  epoch = 0;
  readonly data = new Map<
    string,
    { value: unknown; version: number; hold?: number }
  >();
  readonly holds = new Map<number, { ttlMs: number; endsMs: number }>();
  private readonly log: Change[] = [];
  private readonly watchers = new Set<{
    prefix: string;
    since: number;
    done: (r: StateReply) => void;
  }>();
  private holdIds = 0;

  constructor(private readonly world: World) {}

  /** After an outage every hold has its full time again. */
  restart(): void {
    for (const h of this.holds.values()) h.endsMs = this.world.now + h.ttlMs;
  }
  private expire(): void {
    for (const [id, h] of this.holds) {
      if (this.world.now < h.endsMs) continue;
      this.holds.delete(id);
      const keys = [...this.data]
        .filter(([, d]) => d.hold === id)
        .map(([k]) => k);
      if (keys.length === 0) continue;
      this.epoch++;
      for (const k of keys) {
        this.data.delete(k);
        this.log.push({ op: "delete", key: k, version: this.epoch });
      }
    }
    this.wake();
  }
  tick(): void {
    if (!this.world.stateDown) this.expire();
  }
  private since(prefix: string, since: number): Change[] {
    return this.log.filter(
      (c) => c.version > since && c.key.startsWith(prefix),
    );
  }
  private wake(): void {
    for (const w of [...this.watchers]) {
      const changes = this.since(w.prefix, w.since);
      if (changes.length === 0) continue;
      this.watchers.delete(w);
      w.done({
        is: "changes",
        epoch: this.epoch,
        changes: structuredClone(changes),
      });
    }
  }
  handle(call: StateCall, done: (r: StateReply) => void): void {
    if (this.world.stateDown) return done({ is: "refused", why: "503" });
    this.expire();
    switch (call.op) {
      case "get": {
        const d = this.data.get(call.key);
        return done({
          is: "item",
          item: d
            ? {
                key: call.key,
                value: structuredClone(d.value),
                version: d.version,
              }
            : null,
        });
      }
      case "list": {
        const keys = [...this.data.keys()]
          .filter((k) => k.startsWith(call.prefix) && k > call.after)
          .sort();
        const items: Item[] = keys.slice(0, 20).map((key) => ({
          key,
          value: structuredClone(this.data.get(key)!.value),
          version: this.data.get(key)!.version,
        }));
        return done({
          is: "items",
          items,
          more: keys.length > 20,
          epoch: this.epoch,
        });
      }
      case "commit": {
        // Values and transactions over the limit of the day are refused.
        const limits = this.world.limitsFell
          ? this.world.nextLimits
          : this.world.settings.state;
        const bytes = Math.max(
          0,
          ...call.writes.map((w) =>
            w.op === "put" ? Buffer.byteLength(JSON.stringify(w.value)) : 0,
          ),
        );
        if (
          bytes > limits.valueBytes ||
          call.writes.length > limits.txnOps ||
          call.conditions.length > 4 * limits.txnOps
        )
          return done({ is: "refused", why: "400" });
        for (const w of call.writes)
          if (w.op === "put" && w.hold !== undefined && !this.holds.has(w.hold))
            return done({ is: "refused", why: HOLD_ENDED });
        if (
          call.conditions.some(
            (c) => (this.data.get(c.key)?.version ?? 0) !== c.version,
          )
        )
          return done({ is: "conflict" });
        this.epoch++;
        for (const w of call.writes) {
          if (w.op === "put") {
            this.data.set(w.key, {
              value: structuredClone(w.value),
              version: this.epoch,
              hold: w.hold,
            });
            this.log.push({
              op: "put",
              key: w.key,
              value: structuredClone(w.value),
              version: this.epoch,
            });
          } else if (this.data.delete(w.key))
            this.log.push({ op: "delete", key: w.key, version: this.epoch });
        }
        done({ is: "committed", epoch: this.epoch });
        return this.wake();
      }
      case "newHold": {
        const id = ++this.holdIds;
        this.holds.set(id, {
          ttlMs: call.ttlMs,
          endsMs: this.world.now + call.ttlMs,
        });
        return done({ is: "hold", hold: id });
      }
      case "touch": {
        const h = this.holds.get(call.hold);
        if (!h) return done({ is: "gone" });
        h.endsMs = this.world.now + h.ttlMs;
        return done({ is: "touched" });
      }
      case "changes": {
        if (this.world.rng.chance(0.002)) return done({ is: "gone" });
        const changes = this.since(call.prefix, call.since);
        if (changes.length > 0 || call.waitMs === 0)
          return done({
            is: "changes",
            epoch: this.epoch,
            changes: structuredClone(changes),
          });
        const w = { prefix: call.prefix, since: call.since, done };
        this.watchers.add(w);
        this.world.at(call.waitMs, () => {
          if (!this.watchers.delete(w)) return;
          if (this.world.stateDown) return;
          done({ is: "changes", epoch: this.epoch, changes: [] });
        });
      }
    }
  }
}

interface SimTask {
  job: string;
  index: number;
  attempt: number;
  state: TaskState;
  cause: Cause | null;
  saved: boolean;
  stopped: boolean;
}

export class SimWorker {
  session = 1;
  tally = 0;
  token = 0;
  up = false;
  gone = false;
  hung = false;
  faulty = false;
  /** Its reports arrive, but neither answers nor commands reach it. */
  oneWay = false;
  /** It can't open connections to any controller, while commands sent to it arrive and are answered. */
  mute = false;
  noticeMs: number | null = null;
  /** Nodes that can't be reached. */
  readonly cut = new Set<string>();
  readonly tasks = new Map<string, SimTask>();
  private sentMs = 0;
  private target = 0;
  private flying = false;
  private lastMs = -1e9;
  private readonly images = new Set<string>();
  readonly bornMs: number;
  /** When it was deleted or taken: from then on the cloud's list does not name it, once the list has caught up. */
  removedMs = Infinity;

  constructor(
    readonly world: World,
    readonly id: string,
    readonly type: MachineType,
    readonly zone: string,
    readonly spot: boolean,
  ) {
    this.bornMs = world.now;
  }
  start(): void {
    this.up = true;
    this.sentMs = this.world.now;
    this.loop();
  }
  private isCut(node: string): boolean {
    return (
      this.cut.has(node) || this.world.apart(this.zone, this.world.zoneOf(node))
    );
  }
  onMachine(t: SimTask): boolean {
    return (
      t.state === "waiting" || t.state === "running" || t.state === "saving"
    );
  }
  private loop(life = this.lives): void {
    if (this.gone || life !== this.lives) return;
    this.expire();
    if (!this.flying && !this.hung && this.world.now - this.lastMs >= 500)
      this.report();
    this.world.at(
      1000 * this.world.settings.reportS * this.world.rng.real(0.75, 1.25),
      () => this.loop(life),
    );
  }
  expire(): void {
    if (
      this.gone ||
      !this.up ||
      this.world.now - this.sentMs <= this.world.settings.leaseS * 1000
    )
      return;
    // A hanging machine acts when it resumes, but its tasks count as gone: it does not execute them.
    this.tasks.clear();
    this.session++;
    this.sentMs = this.world.now;
  }
  /** Its process or machine ended and is back: it knows nothing of before, neither its session nor the highest token. */
  restart(downMs: number): void {
    if (this.gone || !this.up) return;
    this.world.note(`${this.id} restarts`, {
      session: this.session,
      tally: this.tally,
      tasks: [...this.tasks.keys()],
    });
    this.up = false;
    this.lives++;
    this.tasks.clear();
    this.images.clear();
    this.world.at(downMs, () => {
      if (this.gone) return;
      this.session = 1;
      this.tally = 0;
      this.token = 0;
      this.flying = false;
      this.lastMs = -1e9;
      this.start();
    });
  }
  private lives = 0;
  changed(): void {
    this.world.at(500, () => {
      if (
        !this.gone &&
        !this.hung &&
        !this.flying &&
        this.world.now - this.lastMs >= 500
      )
        this.report();
    });
  }
  snapshot(): Report {
    this.tally++;
    return {
      worker: this.id,
      address: `10.0.0.1:${this.id.slice(2)}`,
      type: this.type.name,
      zone: this.zone,
      spot: this.spot,
      session: this.session,
      tally: this.tally,
      token: this.token,
      noticeS:
        this.noticeMs === null
          ? null
          : Math.max(0, (this.noticeMs - this.world.now) / 1000),
      tasks: [...this.tasks.values()].map((t): ReportedTask => ({
        job: t.job,
        index: t.index,
        attempt: t.attempt,
        state: t.state,
        cause: t.cause,
        saved: t.saved,
      })),
    };
  }
  private report(): void {
    if (!this.up) return;
    const life = this.lives;
    const names = this.world.names;
    const node = names[this.target % names.length]!;
    const sent = this.world.now;
    const r = this.snapshot();
    const session = this.session;
    this.flying = true;
    this.lastMs = sent;
    let over = false;
    const next = (): void => {
      if (over || life !== this.lives) return;
      over = true;
      this.flying = false;
      this.target++;
      this.world.at(
        1000,
        () => this.gone || this.hung || this.flying || this.report(),
      );
    };
    this.world.at(4000, next);
    if (this.mute) return this.world.at(this.world.rng.real(1, 3_900), next);
    const deliver = (): void =>
      this.world.report(node, r, (a) => {
        if (
          this.isCut(node) ||
          this.oneWay ||
          this.world.rng.chance(this.world.loss)
        )
          return;
        this.world.at(this.world.rng.real(1, 30), () => {
          if (over || this.gone || life !== this.lives) return;
          if (a === null) return next();
          if (a.is === "elsewhere") {
            const to = a.master === null ? -1 : names.indexOf(a.master);
            if (to < 0 || to === this.target % names.length) return next();
            over = true;
            this.flying = false;
            this.target = to;
            return this.world.at(
              this.world.rng.real(0, 500),
              () => this.gone || this.hung || this.flying || this.report(),
            );
          }
          if (a.is !== "orders") return next();
          over = true;
          this.flying = false;
          this.expire();
          if (session !== this.session || a.token < this.token) return;
          this.sentMs = sent;
          if (a.token > this.token) {
            this.token = a.token;
            this.changed();
          }
          for (const o of a.orders) this.execute(o);
        });
      });
    // Copies come late, from seconds to well over a lease, at any node.
    for (
      let n = this.world.rng.chance(this.world.copies)
        ? this.world.rng.int(1, 2)
        : 0;
      n > 0;
      n--
    )
      this.world.at(
        this.world.rng.real(
          500,
          4_000 * this.world.settings.leaseS * this.world.rng.real() ** 2,
        ),
        () => {
          this.world.lateReports++;
          this.world.report(
            this.world.rng.pick(names),
            structuredClone(r),
            () => {},
          );
        },
      );
    if (
      this.world.forNext > 0 &&
      this.world.rng.chance(this.world.forNext) &&
      this.world.kept.length < 500
    )
      this.world.kept.push(structuredClone(r));
    if (this.isCut(node)) {
      // Held by the network, perhaps delivered much later.
      if (this.world.rng.chance(0.5))
        this.world.at(this.world.rng.real(1_000, 60_000), deliver);
      return;
    }
    if (!this.world.rng.chance(this.world.loss))
      this.world.at(this.world.rng.real(1, 30), deliver);
  }
  command(
    node: string,
    token: number,
    session: number,
    orders: Order[],
    done: (r: CommandReply) => void,
  ): void {
    const life = this.lives;
    const askedMs = this.world.now;
    const run = (answer: boolean): void => {
      if (this.gone || !this.up || life !== this.lives) return;
      if (this.hung) return this.world.at(300, () => run(false));
      this.expire();
      const ok = token >= this.token && session === this.session;
      if (ok) {
        if (this.world.now - askedMs > 1_000) this.world.lateCommands++;
        if (this.mute && orders.length > 0) this.world.muteCommands++;
        if (token > this.token) this.token = token;
        for (const o of orders) this.execute(o);
      }
      this.tally++;
      if (answer && !this.oneWay && !this.world.rng.chance(this.world.loss))
        done({ is: "answered", status: ok ? 200 : 409 });
    };
    const held =
      this.isCut(node) || (this.oneWay && this.world.rng.chance(0.5));
    if (!held && (this.oneWay || this.world.rng.chance(this.world.loss)))
      return;
    this.world.at(
      held ? this.world.rng.real(1_000, 60_000) : this.world.rng.real(1, 30),
      () => run(!held),
    );
  }
  inspect(node: string, done: (r: Report) => void): void {
    const life = this.lives;
    this.world.at(this.world.rng.real(1, 30), () => {
      if (
        this.gone ||
        !this.up ||
        life !== this.lives ||
        this.hung ||
        this.oneWay ||
        this.isCut(node) ||
        this.world.rng.chance(this.world.loss)
      )
        return;
      this.expire();
      const r = this.snapshot();
      this.world.at(
        this.world.rng.real(1, 30),
        () => this.isCut(node) || done(r),
      );
    });
  }
  execute(o: Order): void {
    const key = `${o.job}/${o.index}#${o.attempt}`;
    const t = this.tasks.get(key);
    if (o.op === "start") {
      if (t) return;
      const spec = this.world.specs.get(o.job);
      const task: SimTask = {
        job: o.job,
        index: o.index,
        attempt: o.attempt,
        state: "fetching",
        cause: null,
        saved: false,
        stopped: false,
      };
      this.tasks.set(key, task);
      const live = [...this.tasks.values()].filter(
        (x) => x.state !== "exited" && x !== task,
      );
      if (!spec) return this.exit(task, "no_such");
      if (live.some((x) => x.job === o.job && x.index === o.index))
        return this.exit(task, "busy");
      const used = live.reduce(
        (a, x) => a + this.world.specs.get(x.job)!.cpus,
        0,
      );
      if (used + spec.cpus > this.type.cpus + 1e-6)
        return this.exit(task, "no_room");
      this.world.at(
        this.images.has(spec.image) ? 10 : this.world.rng.real(300, 2500),
        () => this.hasImage(task, spec),
      );
      return;
    }
    if (!t) return;
    if (o.op === "forget") {
      if (t.state === "exited") this.tasks.delete(key);
      return;
    }
    if (t.state === "exited") return;
    const spec = this.world.specs.get(o.job)!;
    if (
      t.state === "running" &&
      spec.checkpointS > 0 &&
      o.graceS >= spec.saveS
    ) {
      t.state = "saving";
      this.world.at(
        spec.saveS * 1000,
        () =>
          t.state === "saving" && this.has(t) && this.exit(t, "stopped", true),
      );
    } else if (t.state !== "saving" || o.graceS === 0) this.exit(t, "stopped");
  }
  private has(t: SimTask): boolean {
    return !this.gone && [...this.tasks.values()].includes(t);
  }
  private hasImage(t: SimTask, spec: JobSpec): void {
    if (!this.has(t) || t.state !== "fetching") return;
    if (this.hung) return this.world.at(300, () => this.hasImage(t, spec));
    this.images.add(spec.image);
    this.world.checker.begins(this, t.job, t.index);
    if (this.world.results.has(`${t.job}/${t.index}`)) {
      t.state = "running";
      return this.exit(t, "done");
    }
    if (spec.shape === "ensemble") {
      t.state = "waiting";
      this.changed();
      this.world.at(
        this.world.settings.gangWaitS * 1000,
        () =>
          t.state === "waiting" && this.has(t) && this.exit(t, "incomplete"),
      );
      return this.world.gangReady(t.job, t.attempt, spec);
    }
    this.run(t, spec);
  }
  run(
    t: SimTask,
    spec: JobSpec,
    runMs = this.world.rng.real(1_000, 12_000) * this.world.runFactor,
  ): void {
    t.state = "running";
    this.changed();
    if (spec.shape === "daemon") return;
    this.world.at(runMs, () => {
      if (!this.has(t) || t.state !== "running") return;
      if (this.hung) return this.run(t, spec, 500);
      if (this.faulty || this.world.broken.has(t.job))
        return this.exit(t, "error");
      if (
        spec.shape === "ensemble" &&
        !this.world.gangComplete(t.job, t.attempt, spec)
      )
        return this.exit(t, "peers");
      this.world.results.add(`${t.job}/${t.index}`);
      if (spec.shape === "ensemble")
        this.world.gangDone(t.job, t.attempt, spec);
      else this.exit(t, "done");
      if (this.world.jobEnded && this.world.checker.isDone(t.job))
        this.world.jobEnded(t.job);
    });
  }
  exit(t: SimTask, cause: Cause, saved = false): void {
    t.state = "exited";
    t.cause = cause;
    t.saved = saved;
    this.changed();
  }
  vanish(): void {
    this.gone = true;
    this.tasks.clear();
  }
  /** The cloud takes it away. */
  taken(): void {
    this.vanish();
    this.removedMs = this.world.now;
  }
}

class Cloud {
  private ids = 0;
  private readonly charters = new Map<string, string[]>();
  readonly rented = new Map<string, SimWorker>();

  constructor(private readonly world: World) {}

  add(
    type: MachineType,
    zone: string,
    spot: boolean,
    bootMs: number,
  ): SimWorker {
    const w = new SimWorker(
      this.world,
      `n-${String(++this.ids).padStart(6, "0")}`,
      type,
      zone,
      spot,
    );
    this.rented.set(w.id, w);
    this.world.workers.push(w);
    if (this.world.rng.chance(0.95))
      this.world.at(bootMs, () => w.gone || w.start());
    return w;
  }
  handle(call: CloudCall): CloudReply {
    if (this.world.cloudDown) return { is: "failed", why: "503" };
    switch (call.op) {
      case "catalog":
        return { is: "catalog", types: structuredClone(this.world.types) };
      case "rent": {
        const known = this.charters.get(call.request);
        if (known) return { is: "rented", machines: known };
        const there = [...this.rented.values()].filter(
          (w) =>
            w.zone === call.zone &&
            w.type.name === call.type &&
            w.spot === call.spot,
        ).length;
        const n = Math.min(call.count, this.world.capacity - there);
        if (n <= 0) return { is: "noCapacity" };
        const type = this.world.types.find((t) => t.name === call.type)!;
        const machines = Array.from(
          { length: n },
          () =>
            this.add(
              type,
              call.zone,
              call.spot,
              this.world.bootFactor * this.world.rng.real(1_000, 6_000),
            ).id,
        );
        this.charters.set(call.request, machines);
        return { is: "rented", machines };
      }
      case "return":
        for (const id of call.machines) {
          this.rented.get(id)?.taken();
          this.rented.delete(id);
        }
        return { is: "returned" };
      case "list": {
        // As things were up to twice the usual lag ago; a list may be older than the one before it.
        const asOf =
          this.world.now -
          this.world.rng.real(0, 2_000 * this.world.settings.cloud.listLagS);
        return {
          is: "list",
          more: false,
          machines: this.world.workers
            .filter(
              (w) =>
                w.id > call.after && w.bornMs <= asOf && w.removedMs > asOf,
            )
            .map((w) => ({
              id: w.id,
              address: "",
              type: w.type.name,
              zone: w.zone,
              spot: w.spot,
              state: w.gone ? "failed" : w.up ? "running" : "starting",
              ageS: (this.world.now - w.bornMs) / 1000,
            })),
        };
      }
    }
  }
}

interface Node {
  core: Controller;
  life: number;
  drift: number;
  /** It stands still while its clocks run on: what comes waits, and so does what its last step returned. */
  still: (() => void)[] | null;
  /** It will do so between the next input and the carrying out of its effects. */
  stillFor: number;
  /** Since when the state service has refused its own calls or not answered them; and when it last tried itself while a peer carries them. */
  failingMs: number | null;
  probeMs: number;
}

export class World {
  now = 0;
  loss = 0.01;
  /** Part of the reports that are copied on their way. */
  copies = 0;
  /** Users ask so many times as often. */
  stormOf = 1;
  /** Machines boot so many times as slowly. */
  bootFactor = 1;
  /** Part of the transactions that get no answer and are carried out 2 to 12 s later, after newer ones. */
  lateWrites = 0;
  /** The state service takes up to so long for a request, in ms, half of it before it is carried out. */
  stateSlow = 0;
  /** Tasks run so many times as long. */
  runFactor = 1;
  /** A peer carries the calls of a controller that the state service refuses alone. */
  carries = false;
  /** Calls to the state service that a peer carried, and transactions that were carried out late. */
  carried = 0;
  lateWritten = 0;
  /** Part of the transactions that are carried out at once and of which only the answer is lost; how many were. */
  lostAnswers = 0;
  answersLost = 0;
  /** Part of the reports of which a copy is kept for whoever takes the group next; the copies. */
  forNext = 0;
  kept: Report[] = [];
  /** Called the moment that the last task of a job completes. */
  jobEnded: ((id: string) => void) | null = null;
  /** Commands with orders that reached a machine which could not report. */
  muteCommands = 0;
  /** Copies of reports that came late, and commands that were carried out more than a second after they were sent. */
  lateReports = 0;
  lateCommands = 0;
  /** Jobs submitted with a mistake: they fail on every machine. */
  readonly broken = new Set<string>();
  stateDown = false;
  cloudDown = false;
  capacity = 3;
  readonly rng: Rng;
  readonly state: StateService;
  readonly cloud: Cloud;
  readonly checker: Checker;
  readonly workers: SimWorker[] = [];
  readonly specs = new Map<string, JobSpec>();
  /** Jobs that a job needs, as its user named them. */
  readonly awaits = new Map<string, readonly string[]>();
  readonly results = new Set<string>();
  readonly polled = new Set<string>();
  names: string[];
  /** Zones of the controllers, in the order of their names. */
  private readonly areas: string[];
  readonly zones = ["east", "mid", "west", "attic"];
  readonly settings: Settings;
  readonly nodes = new Map<string, Node | null>();
  /** Zones that reach nobody outside and are not reached; packets into and out of them are held. */
  private readonly zoneCuts = new Set<string>();
  /** Nodes that the state service refuses, whose messages to it are held, or of whose messages only those are that change something, or that don't. */
  readonly stateCut = new Map<
    string,
    "refused" | "held" | "writes" | "reads"
  >();
  readonly logs: string[] = [];
  /** The limits that the state service will have once they fell; the present version keeps within them all the time. */
  readonly nextLimits = { valueBytes: 2048, txnOps: 4 };
  limitsFell = false;
  /** The teams' limits that the rule goes by: those of the settings, but while operators change them. */
  teamLimits: Settings["teams"] | null = null;
  /** Controllers that still run the version in production. */
  readonly old = new Set<string>();
  /** Looks at a controller after each of its steps. */
  afterStep: ((core: Controller) => void) | null = null;
  starts = 0;
  private readonly heap: { at: number; seq: number; fn: () => void }[] = [];
  private seq = 0;
  private lives = 0;
  private reqs = 0;
  private readonly answers = new Map<number, (a: Answer | null) => void>();
  readonly types: MachineType[] = [
    {
      name: "small",
      cpus: 8,
      gpus: 0,
      memGb: 32,
      cacheGb: 20,
      fetchGbPerS: 1,
      price: 1,
      spotPrice: 0.3,
      bootS: 4,
      zones: ["east", "mid", "west", "attic"],
    },
    {
      name: "big",
      cpus: 24,
      gpus: 4,
      memGb: 128,
      cacheGb: 50,
      fetchGbPerS: 1,
      price: 8,
      spotPrice: 2,
      bootS: 6,
      zones: ["east", "mid"],
    },
  ];

  constructor(
    seed: number,
    readonly tuning: Tuning = { ...DEFAULTS, silentReturnS: 20 },
    old: readonly string[] = [],
    controllers = 3,
  ) {
    this.names = [
      "node-a",
      "node-b",
      "node-c",
      "node-d",
      "node-e",
      "node-f",
      "node-g",
    ].slice(0, controllers);
    this.areas = ["east", "mid", "west", "east", "attic", "mid", "west"].slice(
      0,
      controllers,
    );
    for (const name of old) this.old.add(name);
    this.rng = new Rng(seed);
    this.settings = {
      label: "",
      area: "",
      clientListen: { host: "0.0.0.0", port: 1 },
      mesh: { host: "0.0.0.0", port: 2 },
      peers: [],
      cloud: { host: "0.0.0.0", port: 3, rps: 5, listLagS: 2 },
      state: {
        host: "0.0.0.0",
        port: 4,
        rps: 100,
        writeRps: 20,
        valueBytes: 8192,
        txnOps: 12,
      },
      zones: this.zones,
      teams: new Map([
        ["red", { name: "red", cpus: 20, gpus: 0, cpusMax: 48, gpusMax: 6 }],
        [
          "blue",
          { name: "blue", cpus: 20, gpus: 0, cpusMax: 90, gpusMax: Infinity },
        ],
      ]),
      objectives: [{ kind: "wait", class: "gangs", withinS: 2 }],
      reportS: 1,
      leaseS: 10,
      gangWaitS: 12,
      gangPeerS: 3,
      cancelS: 26,
      maxSockets: 700,
      memMb: 146,
    };
    this.state = new StateService(this);
    this.cloud = new Cloud(this);
    this.checker = new Checker(this);
    for (const n of this.names) this.boot(n);
    this.every(100, () => this.state.tick());
    this.every(250, () => {
      for (const w of this.workers) w.expire();
      this.checker.sweep();
    });
  }

  at(delayMs: number, fn: () => void): void {
    const e = { at: this.now + delayMs, seq: ++this.seq, fn };
    let i = this.heap.push(e) - 1;
    while (i > 0) {
      const p = (i - 1) >> 1;
      if (!World.less(e, this.heap[p]!)) break;
      this.heap[i] = this.heap[p]!;
      i = p;
    }
    this.heap[i] = e;
  }
  private static less(
    a: { at: number; seq: number },
    b: { at: number; seq: number },
  ): boolean {
    return a.at < b.at || (a.at === b.at && a.seq < b.seq);
  }
  private pop(): { at: number; fn: () => void } | undefined {
    const top = this.heap[0];
    const last = this.heap.pop();
    if (!top || !last || top === last) return top;
    let i = 0;
    for (;;) {
      let c = 2 * i + 1;
      if (c >= this.heap.length) break;
      if (
        c + 1 < this.heap.length &&
        World.less(this.heap[c + 1]!, this.heap[c]!)
      )
        c++;
      if (!World.less(this.heap[c]!, last)) break;
      this.heap[i] = this.heap[c]!;
      i = c;
    }
    this.heap[i] = last;
    return top;
  }
  every(ms: number, fn: () => void): void {
    this.at(ms, () => {
      fn();
      this.every(ms, fn);
    });
  }
  run(untilMs: number): void {
    while (this.heap.length > 0 && this.heap[0]!.at <= untilMs) {
      const e = this.pop()!;
      this.now = e.at;
      e.fn();
      if (this.checker.broken.length > 0) return;
    }
    this.now = untilMs;
  }

  boot(name: string): void {
    const i = this.names.indexOf(name);
    // Taken away for good meanwhile.
    if (i < 0) return;
    const { areas } = this;
    const settings: Settings = {
      ...this.settings,
      label: name,
      area: areas[i]!,
      peers: this.names
        .map((label, k) => ({
          label,
          area: areas[k]!,
          host: "0.0.0.0",
          port: 9,
        }))
        .filter((p) => p.label !== name),
    };
    const drift = 1 + this.rng.real(0, 0.0005);
    const core = this.old.has(name)
      ? (new ProductionController(
          settings,
          this.tuning,
          this.now * drift,
          this.now,
        ) as unknown as Controller)
      : new Controller(
          { ...settings, state: { ...settings.state, ...this.nextLimits } },
          this.tuning,
          this.now * drift,
          this.now,
        );
    const node: Node = {
      core,
      life: ++this.lives,
      drift,
      still: null,
      stillFor: 0,
      failingMs: null,
      probeMs: 0,
    };
    this.nodes.set(name, node);
    const tick = (): void => {
      if (this.nodes.get(name) !== node) return;
      this.feed(name, node.life, { is: "tick" });
      this.at(200, tick);
    };
    tick();
    const peers = (): void => {
      if (this.nodes.get(name) !== node) return;
      this.feed(name, node.life, {
        is: "peers",
        up: this.names.filter(
          (n) => n !== name && this.nodes.get(n) && !this.meshCut(n, name),
        ),
      });
      this.at(1_000, peers);
    };
    peers();
  }
  /** From here on controllers that start are told of these controllers and teams. */
  reconfigure(names: string[], teams: Settings["teams"]): void {
    this.names = names;
    this.settings.teams = teams;
  }
  /** All controllers start anew, with the settings as they are now. */
  bootAll(): void {
    for (const name of this.names) {
      this.crash(name);
      this.boot(name);
    }
  }
  crash(name: string): void {
    this.nodes.set(name, null);
  }
  /** From its next input on a controller stands still for so long. */
  freeze(name: string, forMs: number): void {
    const node = this.nodes.get(name);
    if (node && !node.still) node.stillFor = forMs;
  }
  private thaw(node: Node): void {
    // What queued up is worked off in order, at once: only then does the process wait for anything new.
    for (let next = node.still?.shift(); next; next = node.still?.shift())
      next();
    node.still = null;
  }

  /** A controller's steady time, in ms. */
  clockOf(name: string): number {
    return this.now * (this.nodes.get(name)?.drift ?? 1);
  }
  zoneOf(name: string): string {
    return this.areas[this.names.indexOf(name)]!;
  }
  /** A zone is cut off from everything; packets are held until it is over, some delivered then. */
  cutZone(zone: string, forMs: number): void {
    if (this.zoneCuts.has(zone)) return;
    this.zoneCuts.add(zone);
    this.at(forMs, () => this.zoneCuts.delete(zone));
  }
  /** No packet passes between these two zones; `null`: users, cloud and state service, which belong to none. */
  apart(a: string | null, b: string | null): boolean {
    return (
      a !== b &&
      ((a !== null && this.zoneCuts.has(a)) ||
        (b !== null && this.zoneCuts.has(b)))
    );
  }
  /** Controllers are killed one after the other and come back with the present version. */
  rollout(atMs: number, everyMs: number): void {
    this.names.forEach((name, i) =>
      this.at(atMs + i * everyMs, () => {
        this.old.delete(name);
        this.crash(name);
        this.at(
          this.rng.real(1_000, 4_000),
          () => this.nodes.get(name) ?? this.boot(name),
        );
      }),
    );
  }

  /** Messages between these two nodes don't arrive. */
  meshCut(a: string, b: string): boolean {
    return (
      this.meshCuts.has(a) ||
      this.meshCuts.has(b) ||
      this.apart(this.zoneOf(a), this.zoneOf(b))
    );
  }
  readonly meshCuts = new Set<string>();

  /** A worker's report at a node, passed on over the mesh where the node says so. */
  report(name: string, r: Report, done: (a: Answer | null) => void): void {
    this.ask(
      name,
      (req) => ({ is: "report", req, report: r, relayed: false }),
      (a) => {
        if (a?.is !== "relay") return done(a);
        const life = this.nodes.get(name)?.life ?? 0;
        const fail = (): void => {
          this.feed(name, life, { is: "unserved", zone: r.zone });
          done({ is: "elsewhere", master: null });
        };
        if (this.meshCut(name, a.master)) return this.at(2_000, fail);
        this.at(this.rng.real(1, 5), () =>
          this.ask(
            a.master,
            (req) => ({ is: "report", req, report: r, relayed: true }),
            (b) => (b?.is === "orders" ? this.at(2, () => done(b)) : fail()),
          ),
        );
      },
    );
  }

  /** A line of the world's own in the log. */
  note(what: string, fields: Record<string, unknown> = {}): void {
    if (this.logs.length < 50_000)
      this.logs.push(
        `${(this.now / 1000).toFixed(3)} world ${what} ${JSON.stringify(fields)}`,
      );
  }
  /** A request at a node; null: no answer or no connection. */
  ask(
    name: string,
    input: (req: number) => Input,
    done: (a: Answer | null) => void,
  ): void {
    const node = this.nodes.get(name);
    if (!node) return done(null);
    const req = ++this.reqs;
    this.answers.set(req, done);
    this.feed(name, node.life, input(req));
  }

  feed(name: string, life: number, input: Input): void {
    const node = this.nodes.get(name);
    if (!node || node.life !== life) return;
    if (node.still)
      return void node.still.push(() => this.step(name, node, input));
    this.step(name, node, input);
  }
  private step(name: string, node: Node, input: Input): void {
    if (this.nodes.get(name) !== node) return;
    const effects = node.core.step(input, this.now * node.drift, this.now);
    this.afterStep?.(node.core);
    // A controller looks at its permit once more before anything leaves: it may stand still before that, or after it.
    const looksFirst = node.stillFor > 0 && this.rng.chance(0.5);
    const carryOut = (): void => {
      for (const e of effects) {
        if (looksFirst || this.old.has(name)) this.carryOut(name, node, e);
        else if (node.core.mayLeave(e, this.now * node.drift)) {
          if (this.nodes.get(name) === node)
            this.checker.leaves(name, node.core, e);
          this.carryOut(name, node, e);
        } else if (e.do === "command")
          this.feed(name, node.life, {
            is: "command",
            op: e.op,
            reply: { is: "refused" },
          });
        else if (e.do === "answer")
          this.carryOut(name, node, {
            ...e,
            answer: { is: "later", afterS: 1, why: "no permit" },
          });
      }
    };
    if (node.stillFor === 0) return carryOut();
    node.still = [carryOut];
    this.at(node.stillFor, () => this.thaw(node));
    node.stillFor = 0;
  }

  /** The peer that carries a controller's calls to the state service at this moment, as `StateClient` chooses it; null: none. */
  private carrier(name: string, node: Node): string | null {
    if (
      !this.carries ||
      node.failingMs === null ||
      this.now - node.failingMs < 1_200 ||
      this.old.has(name)
    )
      return null;
    const peer = this.names.find(
      (n) =>
        n !== name &&
        this.nodes.get(n)?.failingMs === null &&
        !this.nodes.get(n)!.still &&
        !this.meshCut(name, n),
    );
    if (peer === undefined) return null;
    if (this.now - node.probeMs <= 1_000) return peer;
    node.probeMs = this.now;
    return null;
  }

  /** A controller's own request to the state service. */
  private direct(
    name: string,
    node: Node,
    call: StateCall,
    done: (r: StateReply) => void,
  ): void {
    let over = false;
    const end = (r: StateReply | null): void => {
      if (over) return;
      over = true;
      if (r === null || (r.is === "refused" && r.why === "503"))
        node.failingMs ??= this.now;
      else node.failingMs = null;
      if (r) done(r);
    };
    this.at(call.op === "changes" ? call.waitMs + 1_500 : 1_500, () =>
      end(null),
    );
    const cut = this.stateCut.get(name);
    if (cut === "refused") return end({ is: "refused", why: "503" });
    const changes =
      call.op === "commit" || call.op === "touch" || call.op === "newHold";
    const held =
      cut === "held" ||
      (cut === "writes" && changes) ||
      (cut === "reads" && !changes) ||
      this.apart(this.zoneOf(name), null) ||
      this.rng.chance(this.loss / 4);
    const late =
      call.op === "commit" &&
      this.lateWrites > 0 &&
      this.rng.chance(this.lateWrites);
    const lost =
      call.op === "commit" &&
      this.lostAnswers > 0 &&
      this.rng.chance(this.lostAnswers);
    const delay = held
      ? this.rng.real(1_600, 60_000)
      : late
        ? this.rng.real(2_000, 12_000)
        : this.rng.real(1, 10) +
          (this.stateSlow > 0 ? this.rng.real(0, this.stateSlow / 2) : 0);
    // Open watches wait, as in an outage.
    const waits = (): boolean =>
      call.op === "changes" &&
      this.stateCut.has(name) &&
      this.stateCut.get(name) !== "writes";
    this.at(delay, () =>
      this.state.handle(call, (r) => {
        if (late && r.is === "committed") this.lateWritten++;
        if (lost && r.is === "committed") this.answersLost++;
        if (this.rng.chance(this.loss / 4) || held || late || lost || waits())
          return;
        if (this.stateSlow > 0)
          this.at(this.rng.real(0, this.stateSlow / 2), () => end(r));
        else end(r);
      }),
    );
  }

  private carryOut(name: string, node: Node, e: Effect): void {
    if (this.nodes.get(name) !== node) return;
    const back = (i: Input): void =>
      this.at(this.rng.real(1, 10), () => this.feed(name, node.life, i));
    switch (e.do) {
      case "answer": {
        const done = this.answers.get(e.req);
        this.answers.delete(e.req);
        done?.(e.answer);
        break;
      }
      case "state": {
        const sentMs = this.now * node.drift;
        let over = false;
        const reply = (r: StateReply): void => {
          if (over) return;
          over = true;
          back({ is: "state", op: e.op, reply: r, sentMs });
        };
        const wait = e.call.op === "changes" ? e.call.waitMs + 1500 : 1500;
        this.at(wait, () => reply({ is: "unknown", why: "timeout" }));
        if (e.call.op === "commit" && !this.old.has(name))
          this.checker.committed(name, e.call.writes);
        const peer = this.carrier(name, node);
        if (peer === null) this.direct(name, node, e.call, reply);
        else {
          this.carried++;
          // A frame there, the peer's own request, a frame back.
          this.at(this.rng.real(1, 5), () => {
            const other = this.nodes.get(peer);
            if (!other || this.meshCut(name, peer)) return;
            this.direct(
              peer,
              other,
              e.call,
              (r) =>
                this.meshCut(name, peer) ||
                this.at(this.rng.real(1, 5), () => reply(r)),
            );
          });
        }
        break;
      }
      case "cloud": {
        let over = false;
        const reply = (r: CloudReply): void => {
          if (over) return;
          over = true;
          back({ is: "cloud", op: e.op, reply: r });
        };
        this.at(4_000, () => reply({ is: "failed", why: "timeout" }));
        const held =
          this.apart(this.zoneOf(name), null) || this.rng.chance(this.loss);
        this.at(held ? this.rng.real(5_000, 40_000) : 100, () => {
          const r = this.cloud.handle(e.call);
          if (!held) reply(r);
        });
        break;
      }
      case "command": {
        let over = false;
        const reply = (r: CommandReply): void => {
          if (over) return;
          over = true;
          back({ is: "command", op: e.op, reply: r });
        };
        this.at(3_000, () => reply({ is: "unknown" }));
        const id = `n-${e.address.split(":")[1]}`;
        const w = this.workers.find((x) => x.id === id);
        if (!w || w.gone || !w.up) return;
        w.command(name, e.token, e.session, e.orders, reply);
        break;
      }
      case "inspect": {
        let over = false;
        const reply = (r: Report | null): void => {
          if (over) return;
          over = true;
          back({ is: "inspected", op: e.op, report: r });
        };
        this.at(3_000, () => reply(null));
        this.workers
          .find((x) => x.id === `n-${e.address.split(":")[1]}`)
          ?.inspect(name, reply);
        break;
      }
      case "wake":
        this.at(e.afterMs, () => this.feed(name, node.life, { is: "wake" }));
        break;
      case "log":
        if (this.logs.length < 50_000)
          this.logs.push(
            `${(this.now / 1000).toFixed(3)} ${name} ${e.msg} ${JSON.stringify(e.fields)}`,
          );
        break;
    }
  }

  // ---- gangs ---------------------------------------------------------------------------------------------

  private gang(job: string, attempt: number): { w: SimWorker; t: SimTask }[] {
    return this.workers.flatMap((w) =>
      [...w.tasks.values()]
        .filter(
          (t) => t.job === job && t.attempt === attempt && t.state !== "exited",
        )
        .map((t) => ({ w, t })),
    );
  }
  gangReady(job: string, attempt: number, spec: JobSpec): void {
    const all = this.gang(job, attempt).filter((x) => x.t.state === "waiting");
    if (new Set(all.map((x) => x.t.index)).size < spec.tasks) return;
    const ms = this.rng.real(2_000, 12_000) * this.runFactor;
    for (const { w, t } of all) w.run(t, spec, ms);
  }
  gangComplete(job: string, attempt: number, spec: JobSpec): boolean {
    return (
      this.gang(job, attempt).filter(
        (x) => x.t.state === "running" && !x.w.hung,
      ).length === spec.tasks
    );
  }
  gangDone(job: string, attempt: number, spec: JobSpec): void {
    for (let i = 0; i < spec.tasks; i++) this.results.add(`${job}/${i}`);
    for (const { w, t } of this.gang(job, attempt)) w.exit(t, "done");
  }
}
