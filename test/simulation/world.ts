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
import { Rng } from "./rng.js";
import { StateService, type StateServiceWorld } from "./state-service.js";

/** When a packet arrives that was lost and sent again, once or several times. */
export const RETRANSMISSION_MS = [200, 1_500] as const;
const RETRANSMISSION_SEED = 0x7cb;

export type CommitCall = Extract<StateCall, { op: "commit" }>;
/** How a transaction fares: when it is carried out after its sending, and whether and when its answer comes. */
export interface CommitFate {
  beforeMs: number;
  answered: boolean;
  afterMs?: number;
}
/** Orders ride in the answer to a report, or are sent straight to the machine. */
type CommandChannel = "answer" | "command";

/** A controller's process. */
interface SimController {
  core: Controller;
  startedMs: number;
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

/** A small world for the core: seeded, in simulated time, with a stand-in for everything around a controller. */
export class World implements CheckedWorld, CloudWorld, StateServiceWorld {
  now = 0;
  loss = 0.01;
  /** Part of the reports that are copied on their way. */
  duplicatedHeartbeats = 0;
  /** Users ask so many times as often. */
  queryRate = 1;
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
  kept: Heartbeat[] = [];
  /** Called the moment that the last task of a job completes. */
  jobEnded: ((id: string) => void) | null = null;
  /** Commands with orders that reached a machine which could not report. */
  muteCommands = 0;
  /** Copies of reports that came late, and commands that were carried out more than a second after they were sent. */
  lateHeartbeats = 0;
  lateCommands = 0;
  /** Jobs submitted with a mistake: they fail on every machine. */
  readonly faultyJobs = new Set<string>();
  stateDown = false;
  cloudDown = false;
  capacity = 3;
  readonly rng: Rng;
  /** Apart from the day's own chance, which takes the same course with and without retransmissions. */
  private readonly retransmissions: Rng;
  readonly state: StateService;
  readonly cloud: Cloud;
  readonly checker: Checker;
  readonly workers: SimWorker[] = [];
  readonly specs = new Map<string, JobSpec>();
  /** Jobs that a job needs, as its user named them. */
  readonly dependsOn = new Map<string, readonly string[]>();
  readonly results = new Set<string>();
  readonly polled = new Set<string>();
  names: string[];
  /** Zones of the controllers, in the order of their names. */
  private readonly areas: string[];
  readonly zones = ["east", "mid", "west", "attic"];
  readonly settings: Settings;
  readonly nodes = new Map<string, SimController | null>();
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
  readonly production = new Set<string>();
  /** What befalls a transaction on its way, where a scenario wants something else than the day brings. */
  commitFate:
    ((name: string, commit: CommitCall) => CommitFate | undefined) | null =
    null;
  /** Holds a direct command up on its way, unanswered; undefined: it goes as the day brings. */
  commandHold:
    | ((
        name: string,
        machine: SimWorker,
        token: number,
        commands: readonly Command[],
      ) => CommandHold | undefined)
    | null = null;
  /** Part of the messages between controllers and machines, in each direction, whose packet is lost and sent again. */
  retransmitted = 0;
  /** Keeps a heartbeat longer on its way: its packet was lost and sent again; undefined: it goes as the day brings. */
  heartbeatHold:
    | ((machine: SimWorker, heartbeat: Heartbeat) => HeartbeatHold | undefined)
    | null = null;
  /** Called when a transaction was carried out. */
  readonly onCommitted: ((
    name: string,
    commit: CommitCall,
    revision: number,
  ) => void)[] = [];
  /** Called when orders for a machine leave a controller. */
  readonly onCommands: ((
    name: string,
    machine: string,
    commands: readonly Command[],
    channel: CommandChannel,
  ) => void)[] = [];
  /** Called with each report that a machine makes. */
  readonly onHeartbeat: ((report: Heartbeat) => void)[] = [];
  /** Called with each step of a controller: what it was told and what it returned. */
  onStep:
    ((name: string, input: Input, effects: readonly Effect[]) => void) | null =
    null;
  /** Looks at a controller after each of its steps. */
  afterStep: ((core: Controller) => void) | null = null;
  starts = 0;
  private readonly events = new EventQueue();
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
    for (const name of old) this.production.add(name);
    this.rng = new Rng(seed);
    this.retransmissions = new Rng(seed ^ RETRANSMISSION_SEED);
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

  /** How much longer a message between a controller and a machine takes, drawn for each. */
  retransmissionMs(): number {
    if (this.retransmitted === 0) return 0;
    return this.retransmissions.chance(this.retransmitted)
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
      this.feed(name, node.life, { type: "tick" });
      this.at(200, tick);
    };
    tick();
    const peers = (): void => {
      if (this.nodes.get(name) !== node) return;
      this.feed(name, node.life, {
        type: "peers",
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
  private thaw(node: SimController): void {
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
        this.production.delete(name);
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
  heartbeat(
    name: string,
    r: Heartbeat,
    done: (a: Answer | null) => void,
  ): void {
    this.ask(
      name,
      (reqId) => ({ type: "heartbeat", reqId, heartbeat: r, relayed: false }),
      (a) => {
        this.noteCommands(name, r, a);
        if (a?.kind !== "relay") return done(a);
        const life = this.nodes.get(name)?.life ?? 0;
        const fail = (): void => {
          this.feed(name, life, { type: "leaderUnreachable", zone: r.zone });
          done({ kind: "redirect", leader: null });
        };
        if (this.meshCut(name, a.leader)) return this.at(2_000, fail);
        this.at(this.rng.real(1, 5) + this.retransmissionMs(), () =>
          this.ask(
            a.leader,
            (reqId) => ({
              type: "heartbeat",
              reqId,
              heartbeat: r,
              relayed: true,
            }),
            (b) => {
              this.noteCommands(a.leader, r, b);
              if (b?.kind === "commands") this.at(2, () => done(b));
              else fail();
            },
          ),
        );
      },
    );
  }

  private noteCommands(name: string, r: Heartbeat, a: Answer | null): void {
    if (a?.kind !== "commands") return;
    for (const notify of this.onCommands)
      notify(name, r.worker, a.commands, "answer");
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
  private step(name: string, node: SimController, input: Input): void {
    if (this.nodes.get(name) !== node) return;
    const effects = node.core.step(input, this.now * node.drift, this.now);
    this.onStep?.(name, input, effects);
    this.afterStep?.(node.core);
    // A controller checks its permit once more before anything leaves: it may stand still before that, or after it.
    const looksFirst = node.stillFor > 0 && this.rng.chance(0.5);
    const carryOut = (): void => {
      for (const e of effects) {
        if (looksFirst || this.production.has(name))
          this.carryOut(name, node, e);
        else if (node.core.maySend(e, this.now * node.drift)) {
          if (this.nodes.get(name) === node)
            this.checker.leaves(name, node.core, e);
          this.carryOut(name, node, e);
        } else if (e.type === "workerCommand")
          this.feed(name, node.life, {
            type: "commandReply",
            callId: e.callId,
            reply: { kind: "refused" },
          });
        else if (e.type === "answer")
          this.carryOut(name, node, {
            ...e,
            answer: { kind: "retryLater", afterS: 1, reason: "no permit" },
          });
      }
    };
    if (node.stillFor === 0) return carryOut();
    node.still = [carryOut];
    this.at(node.stillFor, () => this.thaw(node));
    node.stillFor = 0;
  }

  /** The peer that carries a controller's calls to the state service at this moment, as `StateClient` chooses it; null: none. */
  private carrier(name: string, node: SimController): string | null {
    if (
      !this.carries ||
      node.failingMs === null ||
      this.now - node.failingMs < 1_200 ||
      this.production.has(name)
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
    node: SimController,
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
    const fate =
      call.op === "commit" ? this.commitFate?.(name, call) : undefined;
    const delay = fate
      ? fate.beforeMs
      : held
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
        if (call.op === "commit" && r.is === "committed")
          for (const notify of this.onCommitted) notify(name, call, r.epoch);
        if (fate)
          return fate.answered
            ? this.at(fate.afterMs ?? 1, () => end(r))
            : undefined;
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

  private carryOut(name: string, node: SimController, e: Effect): void {
    if (this.nodes.get(name) !== node) return;
    const back = (i: Input): void =>
      this.at(this.rng.real(1, 10), () => this.feed(name, node.life, i));
    switch (e.type) {
      case "answer": {
        const done = this.answers.get(e.reqId);
        this.answers.delete(e.reqId);
        done?.(e.answer);
        break;
      }
      case "storeCall": {
        const sentMs = this.now * node.drift;
        let over = false;
        const reply = (r: StateReply): void => {
          if (over) return;
          over = true;
          back({ type: "storeReply", callId: e.callId, reply: r, sentMs });
        };
        const wait = e.call.op === "changes" ? e.call.waitMs + 1500 : 1500;
        this.at(wait, () => reply({ is: "unknown", why: "timeout" }));
        if (e.call.op === "commit" && !this.production.has(name))
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
      case "cloudCall": {
        let over = false;
        const reply = (r: CloudReply): void => {
          if (over) return;
          over = true;
          back({ type: "cloudReply", callId: e.callId, reply: r });
        };
        this.at(4_000, () => reply({ kind: "failed", why: "timeout" }));
        const held =
          this.apart(this.zoneOf(name), null) || this.rng.chance(this.loss);
        this.at(held ? this.rng.real(5_000, 40_000) : 100, () => {
          const r = this.cloud.handle(e.call);
          if (!held) reply(r);
        });
        break;
      }
      case "workerCommand": {
        let over = false;
        const reply = (r: CommandReply): void => {
          if (over) return;
          over = true;
          back({ type: "commandReply", callId: e.callId, reply: r });
        };
        this.at(3_000, () => reply({ kind: "unknown" }));
        const id = `n-${e.address.split(":")[1]}`;
        for (const notify of this.onCommands)
          notify(name, id, e.commands, "command");
        const w = this.workers.find((x) => x.id === id);
        if (!w || w.gone || !w.up) return;
        w.command(name, e.token, e.incarnation, e.commands, reply);
        break;
      }
      case "inspect": {
        let over = false;
        const reply = (r: Heartbeat | null): void => {
          if (over) return;
          over = true;
          back({ type: "inspectReply", callId: e.callId, heartbeat: r });
        };
        this.at(3_000, () => reply(null));
        this.workers
          .find((x) => x.id === `n-${e.address.split(":")[1]}`)
          ?.inspect(name, reply);
        break;
      }
      case "wake":
        this.at(e.afterMs, () => this.feed(name, node.life, { type: "wake" }));
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
