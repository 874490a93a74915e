import type { Settings } from "../../src/config/settings.js";
import type { Answer, CommandReply } from "../../src/coordination/effects.js";
import type {
  ExitCause,
  JobSpec,
  MachineType,
  Command,
  Heartbeat,
  ReportedTask,
  TaskState,
} from "../../src/coordination/model.js";
import type { Rng } from "./rng.js";

/** A task on a simulated machine. */
export interface SimTask {
  job: string;
  index: number;
  attempt: number;
  state: TaskState;
  cause: ExitCause | null;
  saved: boolean;
  stopped: boolean;
  /** When it will have run for its time; null: it does not run, or has no end. */
  endsMs: number | null;
}

/** A direct command that is held up: for how long, and what is called just before the machine handles it. */
export interface CommandHold {
  forMs: number;
  onArrival: () => void;
}

/** A heartbeat that is longer on its way: for how long, and what is called just before it reaches a controller. */
export interface HeartbeatHold {
  forMs: number;
  onArrival: () => void;
}

/** What a simulated machine needs of the world around it; `World` says what each of them means. */
export interface MachineWorld {
  readonly now: number;
  readonly rng: Rng;
  readonly settings: Settings;
  readonly names: readonly string[];
  readonly loss: number;
  readonly duplicatedHeartbeats: number;
  readonly forNext: number;
  readonly runFactor: number;
  readonly specs: ReadonlyMap<string, JobSpec>;
  readonly faultyJobs: ReadonlySet<string>;
  readonly results: Set<string>;
  readonly kept: Heartbeat[];
  readonly onHeartbeat: readonly ((report: Heartbeat) => void)[];
  readonly jobEnded: ((id: string) => void) | null;
  readonly commandHold:
    | ((
        name: string,
        machine: SimWorker,
        token: number,
        commands: readonly Command[],
      ) => CommandHold | undefined)
    | null;
  readonly heartbeatHold:
    | ((machine: SimWorker, heartbeat: Heartbeat) => HeartbeatHold | undefined)
    | null;
  readonly checker: {
    begins(machine: SimWorker, job: string, index: number): void;
    isDone(job: string): boolean;
  };
  retransmissionMs(): number;
  lateHeartbeats: number;
  lateCommands: number;
  muteCommands: number;
  at(delayMs: number, fn: () => void): void;
  apart(a: string | null, b: string | null): boolean;
  zoneOf(name: string): string;
  note(what: string, fields?: Record<string, unknown>): void;
  heartbeat(name: string, r: Heartbeat, done: (a: Answer | null) => void): void;
  gangReady(job: string, attempt: number, spec: JobSpec): void;
  gangComplete(job: string, attempt: number, spec: JobSpec): boolean;
  gangDone(job: string, attempt: number, spec: JobSpec): void;
}

/** A simulated machine with its worker, as PROTOCOL describes it. */
export class SimWorker {
  incarnation = 1;
  sequence = 0;
  token = 0;
  up = false;
  gone = false;
  hung = false;
  faulty = false;
  /** Its reports arrive, but neither answers nor commands reach it. */
  oneWay = false;
  /** It can't open connections to any controller, while commands sent to it arrive and are answered. */
  isMute = false;
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
  /** When its worker started, last. */
  startedMs = Infinity;
  /** When it was deleted or taken: from then on the cloud's list does not name it, once the list has caught up. */
  removedMs = Infinity;

  constructor(
    readonly world: MachineWorld,
    readonly id: string,
    readonly type: MachineType,
    readonly zone: string,
    readonly spot: boolean,
  ) {
    this.bornMs = world.now;
  }
  start(): void {
    this.up = true;
    this.startedMs = this.world.now;
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
    this.incarnation++;
    this.sentMs = this.world.now;
  }
  /** Its process or machine ended and is back: it knows nothing of before, neither its session nor the highest token. */
  restart(downMs: number): void {
    if (this.gone || !this.up) return;
    this.world.note(`${this.id} restarts`, {
      session: this.incarnation,
      tally: this.sequence,
      tasks: [...this.tasks.keys()],
    });
    this.up = false;
    this.lives++;
    this.tasks.clear();
    this.images.clear();
    this.world.at(downMs, () => {
      if (this.gone) return;
      this.incarnation = 1;
      this.sequence = 0;
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
  snapshot(): Heartbeat {
    this.sequence++;
    return {
      worker: this.id,
      address: `10.0.0.1:${this.id.slice(2)}`,
      type: this.type.name,
      zone: this.zone,
      spot: this.spot,
      incarnation: this.incarnation,
      sequence: this.sequence,
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
        checkpointed: t.saved,
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
    for (const notify of this.world.onHeartbeat) notify(r);
    const incarnation = this.incarnation;
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
    if (this.isMute) return this.world.at(this.world.rng.real(1, 3_900), next);
    const deliver = (): void =>
      this.world.heartbeat(node, r, (a) => {
        if (
          this.isCut(node) ||
          this.oneWay ||
          this.world.rng.chance(this.world.loss)
        )
          return;
        const answerMs =
          this.world.rng.real(1, 30) + this.world.retransmissionMs();
        this.world.at(answerMs, () => {
          if (over || this.gone || life !== this.lives) return;
          if (a === null) return next();
          if (a.kind === "redirect") {
            const to = a.leader === null ? -1 : names.indexOf(a.leader);
            if (to < 0 || to === this.target % names.length) return next();
            over = true;
            this.flying = false;
            this.target = to;
            return this.world.at(
              this.world.rng.real(0, 500),
              () => this.gone || this.hung || this.flying || this.report(),
            );
          }
          if (a.kind !== "commands") return next();
          over = true;
          this.flying = false;
          this.expire();
          if (incarnation !== this.incarnation || a.token < this.token) return;
          this.sentMs = sent;
          if (a.token > this.token) {
            this.token = a.token;
            this.changed();
          }
          for (const o of a.commands) this.execute(o);
        });
      });
    // Copies come late, from seconds to well over a lease, at any node.
    for (
      let n = this.world.rng.chance(this.world.duplicatedHeartbeats)
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
          this.world.lateHeartbeats++;
          this.world.heartbeat(
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
    if (this.world.rng.chance(this.world.loss)) return;
    const usualMs = this.world.rng.real(1, 30) + this.world.retransmissionMs();
    const hold = this.world.heartbeatHold?.(this, r);
    if (!hold) return this.world.at(usualMs, deliver);
    this.world.at(usualMs + hold.forMs, () => {
      if (!over) hold.onArrival();
      deliver();
    });
  }
  command(
    node: string,
    token: number,
    incarnation: number,
    commands: Command[],
    done: (r: CommandReply) => void,
  ): void {
    const life = this.lives;
    const askedMs = this.world.now;
    const run = (answer: boolean): void => {
      if (this.gone || !this.up || life !== this.lives) return;
      if (this.hung) return this.world.at(300, () => run(false));
      this.expire();
      const ok = token >= this.token && incarnation === this.incarnation;
      if (ok) {
        if (this.world.now - askedMs > 1_000) this.world.lateCommands++;
        if (this.isMute && commands.length > 0) this.world.muteCommands++;
        if (token > this.token) this.token = token;
        for (const o of commands) this.execute(o);
      }
      this.sequence++;
      if (!answer || this.oneWay || this.world.rng.chance(this.world.loss))
        return;
      const reply: CommandReply = {
        kind: "answered",
        status: ok ? 200 : 409,
        sequence: ok ? this.sequence : null,
      };
      const replyMs = this.world.retransmissionMs();
      if (replyMs === 0) done(reply);
      else this.world.at(replyMs, () => done(reply));
    };
    const hold = this.world.commandHold?.(node, this, token, commands);
    if (hold)
      return this.world.at(hold.forMs, () => {
        if (!this.gone && this.up && life === this.lives) hold.onArrival();
        run(false);
      });
    const held =
      this.isCut(node) || (this.oneWay && this.world.rng.chance(0.5));
    if (!held && (this.oneWay || this.world.rng.chance(this.world.loss)))
      return;
    this.world.at(
      held
        ? this.world.rng.real(1_000, 60_000)
        : this.world.rng.real(1, 30) + this.world.retransmissionMs(),
      () => run(!held),
    );
  }
  inspect(node: string, done: (r: Heartbeat) => void): void {
    const life = this.lives;
    this.world.at(
      this.world.rng.real(1, 30) + this.world.retransmissionMs(),
      () => {
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
          this.world.rng.real(1, 30) + this.world.retransmissionMs(),
          () => this.isCut(node) || done(r),
        );
      },
    );
  }
  execute(o: Command): void {
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
        endsMs: null,
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
    if (spec.kind === "gang") {
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
    if (spec.kind === "service") return;
    t.endsMs = this.world.now + runMs;
    this.world.at(runMs, () => {
      if (!this.has(t) || t.state !== "running") return;
      if (this.hung) return this.run(t, spec, 500);
      if (this.faulty || this.world.faultyJobs.has(t.job))
        return this.exit(t, "error");
      if (
        spec.kind === "gang" &&
        !this.world.gangComplete(t.job, t.attempt, spec)
      )
        return this.exit(t, "peers");
      this.world.results.add(`${t.job}/${t.index}`);
      if (spec.kind === "gang") this.world.gangDone(t.job, t.attempt, spec);
      else this.exit(t, "done");
      if (this.world.jobEnded && this.world.checker.isDone(t.job))
        this.world.jobEnded(t.job);
    });
  }
  exit(t: SimTask, cause: ExitCause, saved = false): void {
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
