import type { Settings } from "../../src/config/settings.js";
import type {
  Answer,
  CommandReply,
  TokenMessage,
} from "../../src/coordination/effects.js";
import type {
  ExitCause,
  JobSpec,
  MachineType,
  Command,
  Heartbeat,
  ReportedTask,
  TaskState,
} from "../../src/coordination/model.js";
import { isTooLarge } from "./heartbeat-size.js";
import type { CommandMessage, RequestCopies } from "./request-copies.js";
import type { Rng } from "./rng.js";

/** A task on a simulated machine. */
export interface SimTask {
  job: string;
  index: number;
  attempt: number;
  state: TaskState;
  cause: ExitCause | null;
  checkpointed: boolean;
  stopped: boolean;
  /** When its run time ends; null if it does not run or is a service, which has no end. */
  endsMs: number | null;
}

/** Delay of a direct command; `onArrival` is called just before the machine handles it. */
export interface CommandHold {
  forMs: number;
  onArrival: () => void;
}

/** Delay of a heartbeat; `onArrival` is called just before it reaches a controller. */
export interface HeartbeatHold {
  forMs: number;
  onArrival: () => void;
}

/** The part of the world that a simulated machine uses; the members are documented in `World`. */
export interface MachineWorld {
  readonly now: number;
  readonly rng: Rng;
  readonly settings: Settings;
  readonly names: readonly string[];
  readonly loss: number;
  readonly duplicatedHeartbeatRate: number;
  readonly keptHeartbeatRate: number;
  readonly runFactor: number;
  readonly specs: ReadonlyMap<string, JobSpec>;
  readonly faultyJobs: ReadonlySet<string>;
  readonly results: Set<string>;
  readonly keptHeartbeats: Heartbeat[];
  readonly copies: RequestCopies;
  readonly onCommandsCarriedOut: readonly ((
    machine: SimWorker,
    message: CommandMessage,
  ) => void)[];
  readonly onHeartbeat: readonly ((heartbeat: Heartbeat) => void)[];
  readonly onJobEnded: ((id: string) => void) | null;
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
    noteTaskStart(machine: SimWorker, job: string, index: number): void;
    isDone(job: string): boolean;
  };
  retransmissionMs(): number;
  lateHeartbeats: number;
  lateCommands: number;
  commandsToMuteMachines: number;
  at(delayMs: number, fn: () => void): void;
  isCutApart(a: string | null, b: string | null): boolean;
  zoneOf(name: string): string;
  note(event: string, fields?: Record<string, unknown>): void;
  heartbeat(
    name: string,
    heartbeat: Heartbeat,
    done: (a: Answer | null) => void,
  ): void;
  gangReady(job: string, attempt: number, spec: JobSpec): void;
  gangComplete(job: string, attempt: number, spec: JobSpec): boolean;
  gangDone(job: string, attempt: number, spec: JobSpec): void;
}

/** A simulated machine with its worker, which behaves as PROTOCOL describes. */
export class SimWorker {
  incarnation = 1;
  sequence = 0;
  token = 0;
  up = false;
  gone = false;
  hung = false;
  faulty = false;
  /** Its heartbeats arrive, but neither answers nor commands reach it. */
  oneWay = false;
  /** It can't connect to any controller, but receives direct commands and replies to them. */
  isMute = false;
  /** Why it refuses every start at the moment; null if it does not. */
  refusesStarts: "busy" | "no_room" | null = null;
  /** When the cloud will take it back; null while no notice was given. */
  noticeMs: number | null = null;
  /** Controllers that it can't reach and that can't reach it. */
  readonly cut = new Set<string>();
  readonly tasks = new Map<string, SimTask>();
  /** When the heartbeat was sent whose answer last renewed its lease. */
  private leaseStartMs = 0;
  /** Index of the controller that gets the next heartbeat. */
  private targetIndex = 0;
  private heartbeatInFlight = false;
  private lastSentMs = -1e9;
  private readonly images = new Set<string>();
  /** Heartbeats that were refused for their size. */
  oversizedHeartbeats = 0;
  readonly bornMs: number;
  /** When its worker last started. */
  startedMs = Infinity;
  /** When the cloud removed it; the cloud's list, which lags, still names it for a while. */
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
    this.leaseStartMs = this.world.now;
    this.runHeartbeatLoop();
  }
  private isCut(node: string): boolean {
    return (
      this.cut.has(node) ||
      this.world.isCutApart(this.zone, this.world.zoneOf(node))
    );
  }
  occupiesMachine(task: SimTask): boolean {
    return (
      task.state === "waiting" ||
      task.state === "running" ||
      task.state === "saving"
    );
  }
  private runHeartbeatLoop(processNumber = this.processCount): void {
    if (this.gone || processNumber !== this.processCount) return;
    this.expire();
    if (
      !this.heartbeatInFlight &&
      !this.hung &&
      this.world.now - this.lastSentMs >= 500
    )
      this.sendHeartbeat();
    this.world.at(
      1000 * this.world.settings.reportS * this.world.rng.real(0.75, 1.25),
      () => this.runHeartbeatLoop(processNumber),
    );
  }
  expire(): void {
    if (
      this.gone ||
      !this.up ||
      this.world.now - this.leaseStartMs <= this.world.settings.leaseS * 1000
    )
      return;
    // A hung machine acts on the expiry only when it resumes, but executes nothing until then: its tasks count as ended.
    this.tasks.clear();
    this.incarnation++;
    this.leaseStartMs = this.world.now;
  }
  /**
   * Restarts its process or the machine, which forgets its tasks. PROTOCOL does not say whether it also forgets its incarnation and
   * the highest token it has seen; with `remembers` it begins the next incarnation and goes on with the token.
   */
  restart(downMs: number, remembers = false): void {
    if (this.gone || !this.up) return;
    this.world.note(`${this.id} restarts`, {
      session: this.incarnation,
      tally: this.sequence,
      tasks: [...this.tasks.keys()],
    });
    this.up = false;
    this.processCount++;
    this.tasks.clear();
    this.images.clear();
    this.world.at(downMs, () => {
      if (this.gone) return;
      if (remembers) this.incarnation++;
      else this.forgetIdentity();
      this.heartbeatInFlight = false;
      this.lastSentMs = -1e9;
      this.start();
    });
  }
  /** Gives it an image, as if the image were still on its disk after a restart. */
  cacheImage(image: string): void {
    this.images.add(image);
  }
  private forgetIdentity(): void {
    this.incarnation = 1;
    this.sequence = 0;
    this.token = 0;
  }
  /** Number of its restarts. */
  processCount = 0;
  /** Higher tokens cause a heartbeat of their own at most once in half a lease. */
  private reportTokenSoon(): void {
    const minGapMs = this.world.settings.leaseS * 500;
    if (this.world.now - this.lastTokenReportMs < minGapMs) return;
    this.lastTokenReportMs = this.world.now;
    this.sendHeartbeatSoon();
  }
  private lastTokenReportMs = -Infinity;
  sendHeartbeatSoon(): void {
    this.world.at(500, () => {
      if (
        !this.gone &&
        !this.hung &&
        !this.heartbeatInFlight &&
        this.world.now - this.lastSentMs >= 500
      )
        this.sendHeartbeat();
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
      tasks: [...this.tasks.values()].map((task): ReportedTask => ({
        job: task.job,
        index: task.index,
        attempt: task.attempt,
        state: task.state,
        cause: task.cause,
        checkpointed: task.checkpointed,
      })),
    };
  }
  private sendHeartbeat(): void {
    if (!this.up) return;
    const processNumber = this.processCount;
    const names = this.world.names;
    const node = names[this.targetIndex % names.length]!;
    const sentMs = this.world.now;
    const heartbeat = this.snapshot();
    for (const notify of this.world.onHeartbeat) notify(heartbeat);
    const incarnation = this.incarnation;
    this.heartbeatInFlight = true;
    this.lastSentMs = sentMs;
    let finished = false;
    const tryNextController = (): void => {
      if (finished || processNumber !== this.processCount) return;
      finished = true;
      this.heartbeatInFlight = false;
      this.targetIndex++;
      this.world.at(
        1000,
        () =>
          this.gone ||
          this.hung ||
          this.heartbeatInFlight ||
          this.sendHeartbeat(),
      );
    };
    this.world.at(4000, tryNextController);
    if (this.isMute)
      return this.world.at(this.world.rng.real(1, 3_900), tryNextController);
    if (isTooLarge(heartbeat)) {
      this.oversizedHeartbeats++;
      return this.world.at(this.world.rng.real(1, 30), tryNextController);
    }
    const deliver = (): void =>
      this.world.heartbeat(node, heartbeat, (answer) => {
        if (
          this.isCut(node) ||
          this.oneWay ||
          this.world.rng.chance(this.world.loss)
        )
          return;
        const answerMs =
          this.world.rng.real(1, 30) + this.world.retransmissionMs();
        this.world.at(answerMs, () => {
          if (finished || this.gone || processNumber !== this.processCount)
            return;
          if (answer === null) return tryNextController();
          if (answer.kind === "redirect") {
            const leaderIndex =
              answer.leader === null ? -1 : names.indexOf(answer.leader);
            if (
              leaderIndex < 0 ||
              leaderIndex === this.targetIndex % names.length
            )
              return tryNextController();
            finished = true;
            this.heartbeatInFlight = false;
            this.targetIndex = leaderIndex;
            return this.world.at(
              this.world.rng.real(0, 500),
              () =>
                this.gone ||
                this.hung ||
                this.heartbeatInFlight ||
                this.sendHeartbeat(),
            );
          }
          if (answer.kind !== "commands") return tryNextController();
          finished = true;
          this.heartbeatInFlight = false;
          this.expire();
          if (incarnation !== this.incarnation || answer.token < this.token)
            return;
          this.leaseStartMs = sentMs;
          if (answer.token > this.token) {
            this.token = answer.token;
            this.reportTokenSoon();
          }
          for (const command of answer.commands) this.execute(command);
        });
      });
    // Duplicates arrive late, by 0.5 s to four leases, at any controller.
    for (
      let copies = this.world.rng.chance(this.world.duplicatedHeartbeatRate)
        ? this.world.rng.int(1, 2)
        : 0;
      copies > 0;
      copies--
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
            structuredClone(heartbeat),
            () => {},
          );
        },
      );
    if (
      this.world.keptHeartbeatRate > 0 &&
      this.world.rng.chance(this.world.keptHeartbeatRate) &&
      this.world.keptHeartbeats.length < 500
    )
      this.world.keptHeartbeats.push(structuredClone(heartbeat));
    if (this.isCut(node)) {
      // Half of these packets are delivered much later, the others are lost.
      if (this.world.rng.chance(0.5))
        this.world.at(this.world.rng.real(1_000, 60_000), deliver);
      return;
    }
    if (this.world.rng.chance(this.world.loss)) return;
    const usualMs = this.world.rng.real(1, 30) + this.world.retransmissionMs();
    const delay = this.world.heartbeatHold?.(this, heartbeat);
    if (!delay) return this.world.at(usualMs, deliver);
    this.world.at(usualMs + delay.forMs, () => {
      if (!finished) delay.onArrival();
      deliver();
    });
  }
  command(
    node: string,
    token: number,
    incarnation: number,
    commands: Command[],
    done: (reply: CommandReply, statusAfter: Heartbeat) => void,
  ): void {
    const processNumber = this.processCount;
    const sentMs = this.world.now;
    const handle = (mayReply: boolean): void => {
      if (this.gone || !this.up || processNumber !== this.processCount) return;
      if (this.hung) return this.world.at(300, () => handle(false));
      this.expire();
      const isAccepted =
        token >= this.token && incarnation === this.incarnation;
      if (isAccepted) {
        if (this.world.now - sentMs > 1_000) this.world.lateCommands++;
        if (this.isMute && commands.length > 0)
          this.world.commandsToMuteMachines++;
        const message = { token, incarnation, commands };
        this.carryOut(message);
        this.world.copies.draw("command", () => this.receiveCopy(message));
      }
      const status = this.snapshot();
      if (!mayReply || this.oneWay || this.world.rng.chance(this.world.loss))
        return;
      const reply: CommandReply = {
        kind: "answered",
        status: isAccepted ? 200 : 409,
        sequence: isAccepted ? this.sequence : null,
      };
      const replyMs = this.world.retransmissionMs();
      if (replyMs === 0) done(reply, status);
      else this.world.at(replyMs, () => done(reply, status));
    };
    const delay = this.world.commandHold?.(node, this, token, commands);
    if (delay)
      return this.world.at(delay.forMs, () => {
        if (!this.gone && this.up && processNumber === this.processCount)
          delay.onArrival();
        handle(false);
      });
    const held =
      this.isCut(node) || (this.oneWay && this.world.rng.chance(0.5));
    if (!held && (this.oneWay || this.world.rng.chance(this.world.loss)))
      return;
    this.world.at(
      held
        ? this.world.rng.real(1_000, 60_000)
        : this.world.rng.real(1, 30) + this.world.retransmissionMs(),
      () => handle(!held),
    );
  }
  private executeMessage({ token, commands }: CommandMessage): void {
    this.token = Math.max(this.token, token);
    for (const command of commands) this.execute(command);
  }
  private carryOut(message: CommandMessage): void {
    this.executeMessage(message);
    for (const notify of this.world.onCommandsCarriedOut) notify(this, message);
  }
  /** Receives a message of commands that was carried out before, perhaps before a restart. Nobody waits for the answer. */
  receiveCopy(message: CommandMessage): void {
    if (this.gone || !this.up) return;
    if (this.hung) return this.world.at(300, () => this.receiveCopy(message));
    this.expire();
    const counts = this.world.copies.commandCounts;
    counts.received++;
    if (message.token < this.token) counts.refusedByToken++;
    else if (message.incarnation !== this.incarnation)
      counts.refusedByIncarnation++;
    else this.carryOutCopy(message);
    this.sequence++;
  }
  private carryOutCopy(message: CommandMessage): void {
    const counts = this.world.copies.commandCounts;
    counts.carriedOut++;
    for (const { op, job, index, attempt } of message.commands) {
      if (op !== "start") continue;
      const isKnown = this.tasks.has(`${job}/${index}#${attempt}`);
      if (isKnown) counts.knownAttempts++;
      else counts.restartedAttempts++;
    }
    this.world.note(`${this.id} carries out a copy`, { ...message });
    this.executeMessage(message);
  }
  /** `fence`: the query is a message without commands under this token; refused or not, the reply is a status. */
  inspect(
    node: string,
    done: (r: Heartbeat) => void,
    fence?: TokenMessage,
  ): void {
    if (fence)
      return this.command(
        node,
        fence.token,
        fence.incarnation,
        [],
        (_reply, status) => done(status),
      );
    const processNumber = this.processCount;
    this.world.at(
      this.world.rng.real(1, 30) + this.world.retransmissionMs(),
      () => {
        if (
          this.gone ||
          !this.up ||
          processNumber !== this.processCount ||
          this.hung ||
          this.oneWay ||
          this.isCut(node) ||
          this.world.rng.chance(this.world.loss)
        )
          return;
        this.expire();
        const heartbeat = this.snapshot();
        this.world.at(
          this.world.rng.real(1, 30) + this.world.retransmissionMs(),
          () => this.isCut(node) || done(heartbeat),
        );
      },
    );
  }
  execute(command: Command): void {
    const key = `${command.job}/${command.index}#${command.attempt}`;
    const existing = this.tasks.get(key);
    if (command.op === "start") {
      if (existing) return;
      const spec = this.world.specs.get(command.job);
      const task: SimTask = {
        job: command.job,
        index: command.index,
        attempt: command.attempt,
        state: "fetching",
        cause: null,
        checkpointed: false,
        stopped: false,
        endsMs: null,
      };
      this.tasks.set(key, task);
      const liveTasks = [...this.tasks.values()].filter(
        (x) => x.state !== "exited" && x !== task,
      );
      if (!spec) return this.exit(task, "no_such");
      if (this.refusesStarts) return this.exit(task, this.refusesStarts);
      if (
        liveTasks.some(
          (x) => x.job === command.job && x.index === command.index,
        )
      )
        return this.exit(task, "busy");
      const usedCpus = liveTasks.reduce(
        (a, x) => a + this.world.specs.get(x.job)!.cpus,
        0,
      );
      if (usedCpus + spec.cpus > this.type.cpus + 1e-6)
        return this.exit(task, "no_room");
      this.world.at(
        this.images.has(spec.image) ? 10 : this.world.rng.real(300, 2500),
        () => this.hasImage(task, spec),
      );
      return;
    }
    if (!existing) return;
    if (command.op === "forget") {
      if (existing.state === "exited") this.tasks.delete(key);
      return;
    }
    if (existing.state === "exited") return;
    const spec = this.world.specs.get(command.job)!;
    if (
      existing.state === "running" &&
      spec.checkpointS > 0 &&
      command.graceS >= spec.saveS
    ) {
      existing.state = "saving";
      this.world.at(
        spec.saveS * 1000,
        () =>
          existing.state === "saving" &&
          this.holdsTask(existing) &&
          this.exit(existing, "stopped", true),
      );
    } else if (existing.state !== "saving" || command.graceS === 0)
      this.exit(existing, "stopped");
  }
  private holdsTask(task: SimTask): boolean {
    return !this.gone && [...this.tasks.values()].includes(task);
  }
  private hasImage(task: SimTask, spec: JobSpec): void {
    if (!this.holdsTask(task) || task.state !== "fetching") return;
    if (this.hung) return this.world.at(300, () => this.hasImage(task, spec));
    this.images.add(spec.image);
    this.world.checker.noteTaskStart(this, task.job, task.index);
    if (this.world.results.has(`${task.job}/${task.index}`)) {
      task.state = "running";
      return this.exit(task, "done");
    }
    if (spec.kind === "gang") {
      task.state = "waiting";
      this.sendHeartbeatSoon();
      this.world.at(
        this.world.settings.gangWaitS * 1000,
        () =>
          task.state === "waiting" &&
          this.holdsTask(task) &&
          this.exit(task, "incomplete"),
      );
      return this.world.gangReady(task.job, task.attempt, spec);
    }
    this.run(task, spec);
  }
  run(
    task: SimTask,
    spec: JobSpec,
    runMs = this.world.rng.real(1_000, 12_000) * this.world.runFactor,
  ): void {
    task.state = "running";
    this.sendHeartbeatSoon();
    if (spec.kind === "service") return;
    task.endsMs = this.world.now + runMs;
    this.world.at(runMs, () => {
      if (!this.holdsTask(task) || task.state !== "running") return;
      if (this.hung) return this.run(task, spec, 500);
      if (this.faulty || this.world.faultyJobs.has(task.job))
        return this.exit(task, "error");
      if (
        spec.kind === "gang" &&
        !this.world.gangComplete(task.job, task.attempt, spec)
      )
        return this.exit(task, "peers");
      this.world.results.add(`${task.job}/${task.index}`);
      if (spec.kind === "gang")
        this.world.gangDone(task.job, task.attempt, spec);
      else this.exit(task, "done");
      if (this.world.onJobEnded && this.world.checker.isDone(task.job))
        this.world.onJobEnded(task.job);
    });
  }
  exit(task: SimTask, cause: ExitCause, checkpointed = false): void {
    task.state = "exited";
    task.cause = cause;
    task.checkpointed = checkpointed;
    this.sendHeartbeatSoon();
  }
  vanish(): void {
    this.gone = true;
    this.tasks.clear();
  }
  /** The cloud takes the machine back. */
  reclaim(): void {
    this.vanish();
    this.removedMs = this.world.now;
  }
}
