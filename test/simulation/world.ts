import type { Settings } from "../../src/config/settings.js";
import { DEFAULTS } from "../../src/config/operator.js";
import { Controller } from "../../src/coordination/controller.js";
import type {
  Answer,
  CloudReply,
  CommandReply,
  Effect,
  Input,
} from "../../src/coordination/effects.js";
import type {
  JobSpec,
  MachineType,
  Command,
  Heartbeat,
  Tuning,
} from "../../src/coordination/model.js";
import type { StateCall, StateReply } from "../../src/protocol/state.js";
import { ProductionController } from "./production-controller.js";
import { type CheckedWorld, Checker } from "./checker.js";
import { Cloud, type CloudWorld } from "./cloud.js";
import { EventQueue } from "./event-queue.js";
import type {
  CommandHold,
  HeartbeatHold,
  SimTask,
  SimWorker,
} from "./machine.js";
import { type CommandMessage, RequestCopies } from "./request-copies.js";
import { Rng } from "./rng.js";
import { StateService, type StateServiceWorld } from "./state-service.js";

/** Range of the extra delay of a packet that was lost and retransmitted, once or several times. */
export const RETRANSMISSION_MS = [200, 1_500] as const;
const RETRANSMISSION_SEED = 0x7cb;
const COPY_SEED = 0xc09;

export type CommitCall = Extract<StateCall, { op: "commit" }>;
/** What happens to a transaction: how long until the store applies it, whether it is answered, and how long the reply takes. */
export interface CommitFate {
  applyAfterMs: number;
  answered: boolean;
  replyAfterMs?: number;
}
/** Commands travel in the answer to a heartbeat, or in a direct command to the worker. */
type CommandChannel = "answer" | "command";

/** A running controller process. */
interface SimController {
  core: Controller;
  startedMs: number;
  /** Number of the process, which tells it from its predecessors under the same name. */
  processNumber: number;
  /** Rate of its monotonic clock relative to simulated time. */
  drift: number;
  /** While the process is paused (its clocks keep running): its queued inputs and the effects of its last step; otherwise null. */
  pausedWork: (() => void)[] | null;
  /** If not 0, the process pauses for this long after its next step, before or after the lease check on that step's effects. */
  pauseNextMs: number;
  /** Since when its own calls to the state service have been refused or unanswered; null while they succeed. */
  failingSinceMs: number | null;
  /** When it last called the state service itself while a peer relays its calls. */
  lastProbeMs: number;
}

/** Deterministic simulation of a cluster around the real controllers: seeded, in simulated time, with stand-ins for all other parts. */
export class World implements CheckedWorld, CloudWorld, StateServiceWorld {
  now = 0;
  /** Fraction of the packets that are lost. */
  loss = 0.01;
  /** Fraction of the heartbeats that the network duplicates. */
  duplicatedHeartbeatRate = 0;
  /** Multiplies how often users query job states. */
  queryRate = 1;
  /** Multiplies the boot time of machines. */
  bootFactor = 1;
  /** Fraction of the transactions that get no reply and are applied 2 to 12 s later, after newer ones. */
  lateCommitRate = 0;
  /** Longest extra latency of a request to the state service; up to half of it passes before the request is applied. */
  stateLatencyMs = 0;
  /** Multiplies the run time of tasks. */
  runFactor = 1;
  /** Whether a peer relays the calls of a controller that alone can't reach the state service. */
  relaysStoreCalls = false;
  /** Calls to the state service that a peer relayed. */
  relayedCalls = 0;
  /** Transactions that were applied late (see `lateCommitRate`). */
  lateCommits = 0;
  /** Fraction of the transactions that are applied at once but whose reply is lost. */
  lostCommitReplyRate = 0;
  /** Transactions whose reply was lost (see `lostCommitReplyRate`). */
  lostCommitReplies = 0;
  /** Fraction of the heartbeats of which a copy is kept for replay to the partition's next leader. */
  keptHeartbeatRate = 0;
  /** The kept copies. */
  keptHeartbeats: Heartbeat[] = [];
  /** Called when the last task of a job completes. */
  onJobEnded: ((id: string) => void) | null = null;
  /** Direct commands applied by machines that could not connect to any controller. */
  commandsToMuteMachines = 0;
  /** Duplicated heartbeats that arrived late. */
  lateHeartbeats = 0;
  /** Commands that were applied more than a second after they were sent. */
  lateCommands = 0;
  /** Jobs whose tasks fail on every machine. */
  readonly faultyJobs = new Set<string>();
  stateDown = false;
  cloudDown = false;
  /** Most machines of one type, zone and kind (spot or not) that can be rented. */
  capacity = 3;
  readonly rng: Rng;
  /** A generator of its own, so that the draws of `rng` are the same with and without retransmissions. */
  private readonly retransmissions: Rng;
  /** Late copies of requests that were carried out. */
  readonly copies: RequestCopies;
  readonly state: StateService;
  readonly cloud: Cloud;
  readonly checker: Checker;
  readonly workers: SimWorker[] = [];
  readonly specs = new Map<string, JobSpec>();
  /** The direct dependencies of each job, as its user named them. */
  readonly dependsOn = new Map<string, readonly string[]>();
  /** Completed tasks, as `job/index`. */
  readonly results = new Set<string>();
  /** Jobs whose state some user polls. */
  readonly polled = new Set<string>();
  /** Names of the configured controllers. */
  names: string[];
  /** The zone of each controller, in the order of `names`. */
  private readonly controllerZones: string[];
  readonly zones = ["east", "mid", "west", "attic"];
  readonly settings: Settings;
  /** Controllers by name; null while a controller is down. */
  readonly nodes = new Map<string, SimController | null>();
  /** Zones cut off from everything outside; packets into and out of them are delayed. */
  private readonly cutZones = new Set<string>();
  /** Controllers that the state service refuses, or whose calls to it are delayed: all calls, only writes, or only reads. */
  readonly stateCut = new Map<
    string,
    "refused" | "held" | "writes" | "reads"
  >();
  readonly logs: string[] = [];
  /** Limits of the state service once `limitsFell`; the present version keeps within them at all times. */
  readonly nextLimits = { valueBytes: 2048, txnOps: 4 };
  limitsFell = false;
  /** Team limits that the quota rule checks while operators change them; null: those of the settings. */
  teamLimits: Settings["teams"] | null = null;
  /** Controllers that still run the production version. */
  readonly production = new Set<string>();
  /** Lets a scenario decide what happens to a transaction; undefined leaves it to the simulated network. */
  commitFate:
    ((name: string, commit: CommitCall) => CommitFate | undefined) | null =
    null;
  /** Lets a scenario delay a direct command, which then gets no reply; undefined leaves it to the simulated network. */
  commandHold:
    | ((
        name: string,
        machine: SimWorker,
        token: number,
        commands: readonly Command[],
      ) => CommandHold | undefined)
    | null = null;
  /** Fraction of the messages between controllers and machines, in each direction, whose packet is lost and retransmitted. */
  retransmissionRate = 0;
  /** Lets a scenario delay a heartbeat as if its packet was retransmitted; undefined leaves it to the simulated network. */
  heartbeatHold:
    | ((machine: SimWorker, heartbeat: Heartbeat) => HeartbeatHold | undefined)
    | null = null;
  /** Called when the store has applied a transaction. */
  readonly onCommitted: ((
    name: string,
    commit: CommitCall,
    revision: number,
  ) => void)[] = [];
  /** Called when a controller sends commands for a machine. */
  readonly onCommands: ((
    name: string,
    machine: string,
    commands: readonly Command[],
    channel: CommandChannel,
  ) => void)[] = [];
  /** Called when a machine has carried out a message of direct commands, but not for copies of it. */
  readonly onCommandsCarriedOut: ((
    machine: SimWorker,
    message: CommandMessage,
  ) => void)[] = [];
  /** Called with each heartbeat that a machine sends. */
  readonly onHeartbeat: ((heartbeat: Heartbeat) => void)[] = [];
  /** Called with the input and the effects of each step of a controller. */
  onStep:
    ((name: string, input: Input, effects: readonly Effect[]) => void) | null =
    null;
  /** Called with a controller after each of its steps. */
  afterStep: ((core: Controller) => void) | null = null;
  /** Tasks that have started on a machine. */
  starts = 0;
  private readonly events = new EventQueue();
  private processCount = 0;
  private lastReqId = 0;
  private readonly pendingRequests = new Map<
    number,
    (a: Answer | null) => void
  >();
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
    productionNames: readonly string[] = [],
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
    this.controllerZones = [
      "east",
      "mid",
      "west",
      "east",
      "attic",
      "mid",
      "west",
    ].slice(0, controllers);
    for (const name of productionNames) this.production.add(name);
    this.rng = new Rng(seed);
    this.retransmissions = new Rng(seed ^ RETRANSMISSION_SEED);
    this.copies = new RequestCopies(
      new Rng(seed ^ COPY_SEED),
      () => 1000 * this.settings.leaseS,
      (delayMs, fn) => this.at(delayMs, fn),
    );
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

  /** Draws the extra delay of one message between a controller and a machine; 0 if its packet is not retransmitted. */
  retransmissionMs(): number {
    if (this.retransmissionRate === 0) return 0;
    return this.retransmissions.chance(this.retransmissionRate)
      ? this.retransmissions.real(...RETRANSMISSION_MS)
      : 0;
  }

  at(delayMs: number, fn: () => void): void {
    this.events.add(this.now + delayMs, fn);
  }
  every(ms: number, fn: () => void): void {
    this.at(ms, () => {
      fn();
      this.every(ms, fn);
    });
  }
  run(untilMs: number): void {
    while (this.events.nextMs <= untilMs) {
      const event = this.events.take()!;
      this.now = event.atMs;
      event.run();
      if (this.checker.brokenRules.length > 0) return;
    }
    this.now = untilMs;
  }

  boot(name: string): void {
    const index = this.names.indexOf(name);
    // It was removed from the settings in the meantime.
    if (index < 0) return;
    const { controllerZones } = this;
    const settings: Settings = {
      ...this.settings,
      label: name,
      area: controllerZones[index]!,
      peers: this.names
        .map((label, peerIndex) => ({
          label,
          area: controllerZones[peerIndex]!,
          host: "0.0.0.0",
          port: 9,
        }))
        .filter((p) => p.label !== name),
    };
    const drift = 1 + this.rng.real(0, 0.0005);
    const core = this.production.has(name)
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
    const node: SimController = {
      core,
      startedMs: this.now,
      processNumber: ++this.processCount,
      drift,
      pausedWork: null,
      pauseNextMs: 0,
      failingSinceMs: null,
      lastProbeMs: 0,
    };
    this.nodes.set(name, node);
    const tick = (): void => {
      if (this.nodes.get(name) !== node) return;
      this.feed(name, node.processNumber, { type: "tick" });
      this.at(200, tick);
    };
    tick();
    const sendPeers = (): void => {
      if (this.nodes.get(name) !== node) return;
      this.feed(name, node.processNumber, {
        type: "peers",
        up: this.names.filter(
          (n) => n !== name && this.nodes.get(n) && !this.isMeshCut(n, name),
        ),
      });
      this.at(1_000, sendPeers);
    };
    sendPeers();
  }
  /** Controllers that start from now on get these controllers and teams in their settings. */
  reconfigure(names: string[], teams: Settings["teams"]): void {
    this.names = names;
    this.settings.teams = teams;
  }
  /** Restarts all controllers with the current settings. */
  bootAll(): void {
    for (const name of this.names) {
      this.crash(name);
      this.boot(name);
    }
  }
  crash(name: string): void {
    this.nodes.set(name, null);
  }
  /** Pauses a controller's process for this long after its next step. */
  freeze(name: string, forMs: number): void {
    const node = this.nodes.get(name);
    if (node && !node.pausedWork) node.pauseNextMs = forMs;
  }
  private thaw(node: SimController): void {
    // Queued work is handled in order and at once, before the process accepts new input.
    for (
      let next = node.pausedWork?.shift();
      next;
      next = node.pausedWork?.shift()
    )
      next();
    node.pausedWork = null;
  }

  /** A controller's monotonic clock, in ms. */
  clockOf(name: string): number {
    return this.now * (this.nodes.get(name)?.drift ?? 1);
  }
  zoneOf(name: string): string {
    return this.controllerZones[this.names.indexOf(name)]!;
  }
  /** Cuts a zone off from everything for a while; its packets are lost or delayed. */
  cutZone(zone: string, forMs: number): void {
    if (this.cutZones.has(zone)) return;
    this.cutZones.add(zone);
    this.at(forMs, () => this.cutZones.delete(zone));
  }
  /** Whether no packet passes between these two zones; null stands for users, cloud and state service, which are in no zone. */
  isCutApart(fromZone: string | null, toZone: string | null): boolean {
    return (
      fromZone !== toZone &&
      ((fromZone !== null && this.cutZones.has(fromZone)) ||
        (toZone !== null && this.cutZones.has(toZone)))
    );
  }
  /** Rolling upgrade: kills the controllers one after the other and restarts them with the present version. */
  rollout(atMs: number, everyMs: number): void {
    this.names.forEach((name, index) =>
      this.at(atMs + index * everyMs, () => {
        this.production.delete(name);
        this.crash(name);
        this.at(
          this.rng.real(1_000, 4_000),
          () => this.nodes.get(name) ?? this.boot(name),
        );
      }),
    );
  }

  /** Whether messages between these two controllers are lost. */
  isMeshCut(from: string, to: string): boolean {
    return (
      this.meshCuts.has(from) ||
      this.meshCuts.has(to) ||
      this.isCutApart(this.zoneOf(from), this.zoneOf(to))
    );
  }
  /** Controllers cut off from all their peers. */
  readonly meshCuts = new Set<string>();

  /** Delivers a worker's heartbeat to a controller, and relays it to the leader over the mesh if the controller asks for that. */
  heartbeat(
    name: string,
    heartbeat: Heartbeat,
    done: (a: Answer | null) => void,
  ): void {
    this.ask(
      name,
      (reqId) => ({ type: "heartbeat", reqId, heartbeat, relayed: false }),
      (answer) => {
        this.notifyOnCommands(name, heartbeat, answer);
        if (answer?.kind !== "relay") return done(answer);
        const processNumber = this.nodes.get(name)?.processNumber ?? 0;
        const fail = (): void => {
          this.feed(name, processNumber, {
            type: "leaderUnreachable",
            zone: heartbeat.zone,
          });
          done({ kind: "redirect", leader: null });
        };
        if (this.isMeshCut(name, answer.leader)) return this.at(2_000, fail);
        this.at(this.rng.real(1, 5) + this.retransmissionMs(), () =>
          this.relay(answer.leader, heartbeat, (relayedAnswer) => {
            this.notifyOnCommands(answer.leader, heartbeat, relayedAnswer);
            if (relayedAnswer?.kind === "commands")
              this.at(2, () => done(relayedAnswer));
            else fail();
            this.drawRelayCopy(answer.leader, heartbeat);
          }),
        );
      },
    );
  }

  private relay(
    leader: string,
    heartbeat: Heartbeat,
    onAnswer: (answer: Answer | null) => void,
  ): void {
    this.ask(
      leader,
      (reqId) => ({
        type: "heartbeat",
        reqId,
        heartbeat: structuredClone(heartbeat),
        relayed: true,
      }),
      onAnswer,
    );
  }

  private drawRelayCopy(leader: string, heartbeat: Heartbeat): void {
    this.copies.draw("relayedHeartbeat", () =>
      this.relay(leader, heartbeat, () => {}),
    );
  }

  private notifyOnCommands(
    name: string,
    heartbeat: Heartbeat,
    answer: Answer | null,
  ): void {
    if (answer?.kind !== "commands") return;
    this.checker.checkCommands(name, answer.commands);
    for (const notify of this.onCommands)
      notify(name, heartbeat.worker, answer.commands, "answer");
  }

  /** Writes a log line of the simulation itself. */
  note(event: string, fields: Record<string, unknown> = {}): void {
    if (this.logs.length < 50_000)
      this.logs.push(
        `${(this.now / 1000).toFixed(3)} world ${event} ${JSON.stringify(fields)}`,
      );
  }
  /** Sends a request to a controller; `done` gets null if the controller is down. */
  ask(
    name: string,
    input: (reqId: number) => Input,
    done: (a: Answer | null) => void,
  ): void {
    const node = this.nodes.get(name);
    if (!node) return done(null);
    const reqId = ++this.lastReqId;
    this.pendingRequests.set(reqId, done);
    this.feed(name, node.processNumber, input(reqId));
  }

  /** Number of the running process of a controller. */
  processNumberOf(name: string): number {
    return this.nodes.get(name)?.processNumber ?? 0;
  }
  feed(name: string, processNumber: number, input: Input): void {
    const node = this.nodes.get(name);
    if (!node || node.processNumber !== processNumber) return;
    if (node.pausedWork)
      return void node.pausedWork.push(() => this.step(name, node, input));
    this.step(name, node, input);
  }
  private step(name: string, node: SimController, input: Input): void {
    if (this.nodes.get(name) !== node) return;
    const effects = node.core.step(input, this.now * node.drift, this.now);
    this.onStep?.(name, input, effects);
    this.afterStep?.(node.core);
    // A controller checks its leadership lease again before it sends an effect; the pause may come before or after that check.
    const checkedBeforePause = node.pauseNextMs > 0 && this.rng.chance(0.5);
    const sendEffects = (): void => {
      for (const effect of effects) {
        if (checkedBeforePause || this.production.has(name))
          this.carryOut(name, node, effect);
        else if (node.core.maySend(effect, this.now * node.drift)) {
          if (this.nodes.get(name) === node)
            this.checker.checkLeaseOnSend(name, node.core, effect);
          this.carryOut(name, node, effect);
        } else if (effect.type === "workerCommand")
          this.feed(name, node.processNumber, {
            type: "commandReply",
            callId: effect.callId,
            reply: { kind: "refused" },
          });
        else if (effect.type === "inspect")
          this.feed(name, node.processNumber, {
            type: "inspectReply",
            callId: effect.callId,
            heartbeat: null,
          });
        else if (effect.type === "answer")
          this.carryOut(name, node, {
            ...effect,
            answer: { kind: "retryLater", afterS: 1, reason: "no permit" },
          });
      }
    };
    if (node.pauseNextMs === 0) return sendEffects();
    node.pausedWork = [sendEffects];
    this.at(node.pauseNextMs, () => this.thaw(node));
    node.pauseNextMs = 0;
  }

  /** The peer that relays a controller's calls to the state service, chosen as `StoreClient` does; null if it calls by itself. */
  private relayPeer(name: string, node: SimController): string | null {
    if (
      !this.relaysStoreCalls ||
      node.failingSinceMs === null ||
      this.now - node.failingSinceMs < 1_200 ||
      this.production.has(name)
    )
      return null;
    const peer = this.names.find(
      (n) =>
        n !== name &&
        this.nodes.get(n)?.failingSinceMs === null &&
        !this.nodes.get(n)!.pausedWork &&
        !this.isMeshCut(name, n),
    );
    if (peer === undefined) return null;
    if (this.now - node.lastProbeMs <= 1_000) return peer;
    node.lastProbeMs = this.now;
    return null;
  }

  /** Sends a call from this controller to the state service. */
  private sendToStore(
    name: string,
    node: SimController,
    call: StateCall,
    done: (r: StateReply) => void,
  ): void {
    let finished = false;
    const finish = (reply: StateReply | null): void => {
      if (finished) return;
      finished = true;
      if (reply === null || (reply.is === "refused" && reply.why === "503"))
        node.failingSinceMs ??= this.now;
      else node.failingSinceMs = null;
      if (reply) done(reply);
    };
    this.at(call.op === "changes" ? call.waitMs + 1_500 : 1_500, () =>
      finish(null),
    );
    const cut = this.stateCut.get(name);
    if (cut === "refused") return finish({ is: "refused", why: "503" });
    const isWrite =
      call.op === "commit" || call.op === "touch" || call.op === "newHold";
    const isHeld =
      cut === "held" ||
      (cut === "writes" && isWrite) ||
      (cut === "reads" && !isWrite) ||
      this.isCutApart(this.zoneOf(name), null) ||
      this.rng.chance(this.loss / 4);
    const isLate =
      call.op === "commit" &&
      this.lateCommitRate > 0 &&
      this.rng.chance(this.lateCommitRate);
    const isReplyLost =
      call.op === "commit" &&
      this.lostCommitReplyRate > 0 &&
      this.rng.chance(this.lostCommitReplyRate);
    const fate =
      call.op === "commit" ? this.commitFate?.(name, call) : undefined;
    const delayMs = fate
      ? fate.applyAfterMs
      : isHeld
        ? this.rng.real(1_600, 60_000)
        : isLate
          ? this.rng.real(2_000, 12_000)
          : this.rng.real(1, 10) +
            (this.stateLatencyMs > 0
              ? this.rng.real(0, this.stateLatencyMs / 2)
              : 0);
    // Open watches get no reply while the controller is cut off, as in an outage.
    const isHeldWatch = (): boolean =>
      call.op === "changes" &&
      this.stateCut.has(name) &&
      this.stateCut.get(name) !== "writes";
    this.at(delayMs, () =>
      this.state.handle(call, (reply) => {
        if (call.op === "commit" && reply.is === "committed")
          for (const notify of this.onCommitted)
            notify(name, call, reply.epoch);
        this.drawStoreCopy(call, reply);
        if (fate)
          return fate.answered
            ? this.at(fate.replyAfterMs ?? 1, () => finish(reply))
            : undefined;
        if (isLate && reply.is === "committed") this.lateCommits++;
        if (isReplyLost && reply.is === "committed") this.lostCommitReplies++;
        if (
          this.rng.chance(this.loss / 4) ||
          isHeld ||
          isLate ||
          isReplyLost ||
          isHeldWatch()
        )
          return;
        if (this.stateLatencyMs > 0)
          this.at(this.rng.real(0, this.stateLatencyMs / 2), () =>
            finish(reply),
          );
        else finish(reply);
      }),
    );
  }

  /** Draws a copy of a call that the state service has carried out. Nobody waits for its reply. */
  private drawStoreCopy(call: StateCall, reply: StateReply): void {
    if (call.op === "commit" && reply.is === "committed")
      this.copies.draw("transaction", () =>
        this.state.handle(call, ({ is }) => {
          if (is === "committed") this.copies.committedAgain++;
        }),
      );
    if (reply.is === "hold" || reply.is === "touched")
      this.copies.draw("storeLease", () => this.state.handle(call, () => {}));
  }

  private carryOut(name: string, node: SimController, effect: Effect): void {
    if (this.nodes.get(name) !== node) return;
    const feedLater = (input: Input): void =>
      this.at(this.rng.real(1, 10), () =>
        this.feed(name, node.processNumber, input),
      );
    switch (effect.type) {
      case "answer": {
        const done = this.pendingRequests.get(effect.reqId);
        this.pendingRequests.delete(effect.reqId);
        done?.(effect.answer);
        break;
      }
      case "storeCall": {
        const sentMs = this.now * node.drift;
        let finished = false;
        const reply = (result: StateReply): void => {
          if (finished) return;
          finished = true;
          feedLater({
            type: "storeReply",
            callId: effect.callId,
            reply: result,
            sentMs,
          });
        };
        const timeoutMs =
          effect.call.op === "changes" ? effect.call.waitMs + 1500 : 1500;
        this.at(timeoutMs, () => reply({ is: "unknown", why: "timeout" }));
        if (effect.call.op === "commit" && !this.production.has(name))
          this.checker.checkWrites(name, effect.call.writes);
        const peer = this.relayPeer(name, node);
        if (peer === null) this.sendToStore(name, node, effect.call, reply);
        else {
          this.relayedCalls++;
          // A frame to the peer, the peer's own request, a frame back.
          this.at(this.rng.real(1, 5), () => {
            const peerNode = this.nodes.get(peer);
            if (!peerNode || this.isMeshCut(name, peer)) return;
            this.sendToStore(
              peer,
              peerNode,
              effect.call,
              (r) =>
                this.isMeshCut(name, peer) ||
                this.at(this.rng.real(1, 5), () => reply(r)),
            );
          });
        }
        break;
      }
      case "cloudCall": {
        let finished = false;
        const reply = (result: CloudReply): void => {
          if (finished) return;
          finished = true;
          feedLater({
            type: "cloudReply",
            callId: effect.callId,
            reply: result,
          });
        };
        this.at(4_000, () => reply({ kind: "failed", why: "timeout" }));
        const isHeld =
          this.isCutApart(this.zoneOf(name), null) ||
          this.rng.chance(this.loss);
        this.at(isHeld ? this.rng.real(5_000, 40_000) : 100, () => {
          const result = this.cloud.handle(effect.call);
          if (result.kind === "rented" || result.kind === "returned")
            this.copies.draw("cloudCall", () => this.cloud.handle(effect.call));
          if (!isHeld) reply(result);
        });
        break;
      }
      case "workerCommand": {
        let finished = false;
        const reply = (result: CommandReply): void => {
          if (finished) return;
          finished = true;
          feedLater({
            type: "commandReply",
            callId: effect.callId,
            reply: result,
          });
        };
        this.at(3_000, () => reply({ kind: "unknown" }));
        this.checker.checkCommands(name, effect.commands);
        const machineId = `n-${effect.address.split(":")[1]}`;
        for (const notify of this.onCommands)
          notify(name, machineId, effect.commands, "command");
        const machine = this.workers.find((x) => x.id === machineId);
        if (!machine || machine.gone || !machine.up) return;
        machine.command(
          name,
          effect.token,
          effect.incarnation,
          effect.commands,
          reply,
        );
        break;
      }
      case "inspect": {
        let finished = false;
        const reply = (result: Heartbeat | null): void => {
          if (finished) return;
          finished = true;
          feedLater({
            type: "inspectReply",
            callId: effect.callId,
            heartbeat: result,
          });
        };
        this.at(3_000, () => reply(null));
        this.workers
          .find((x) => x.id === `n-${effect.address.split(":")[1]}`)
          ?.inspect(name, reply, effect.fence);
        break;
      }
      case "wake":
        this.at(effect.afterMs, () =>
          this.feed(name, node.processNumber, { type: "wake" }),
        );
        break;
      case "log":
        if (this.logs.length < 50_000)
          this.logs.push(
            `${(this.now / 1000).toFixed(3)} ${name} ${effect.msg} ${JSON.stringify(effect.fields)}`,
          );
        break;
    }
  }

  // ---- gangs ---------------------------------------------------------------------------------------------

  private gangTasks(
    job: string,
    attempt: number,
  ): { machine: SimWorker; task: SimTask }[] {
    return this.workers.flatMap((machine) =>
      [...machine.tasks.values()]
        .filter(
          (task) =>
            task.job === job &&
            task.attempt === attempt &&
            task.state !== "exited",
        )
        .map((task) => ({ machine, task })),
    );
  }
  gangReady(job: string, attempt: number, spec: JobSpec): void {
    const waiting = this.gangTasks(job, attempt).filter(
      (x) => x.task.state === "waiting",
    );
    if (new Set(waiting.map((x) => x.task.index)).size < spec.tasks) return;
    const runMs = this.rng.real(2_000, 12_000) * this.runFactor;
    for (const { machine: w, task: t } of waiting) w.run(t, spec, runMs);
  }
  gangComplete(job: string, attempt: number, spec: JobSpec): boolean {
    return (
      this.gangTasks(job, attempt).filter(
        (x) => x.task.state === "running" && !x.machine.hung,
      ).length === spec.tasks
    );
  }
  gangDone(job: string, attempt: number, spec: JobSpec): void {
    for (let i = 0; i < spec.tasks; i++) this.results.add(`${job}/${i}`);
    for (const { machine: w, task: t } of this.gangTasks(job, attempt))
      w.exit(t, "done");
  }
}
