/**
 * Guards against starts that the network delivers once more to a machine which is back within a second, in its first incarnation and
 * without the tokens that it had seen, while its leader takes its heartbeats for old ones: a task ran on two machines at once
 * (docs/incidents/back-without-its-token.md).
 */
import type { Command, Heartbeat } from "../../src/coordination/model.js";
import { attemptKey } from "../../src/coordination/machines/worker-state.js";
import { cancel, randomJob, submitWorkload } from "../simulation/workloads.js";
import type { SimWorker } from "../simulation/machine.js";
import type { CommandMessage } from "../simulation/request-copies.js";
import type { World } from "../simulation/world.js";
import { COPIED_START } from "./command-copies.js";
import { Occurrences, runToEnd, type ScenarioRun, setUp } from "./stage.js";

const FAULTS_END_MS = 150_000;
const POLL_MS = 20;
/** Longer than an answer takes, and than a message and its answer do. */
const FENCED_AFTER_MS = 100;
/** How long machines and controllers are down. */
const DOWN_MS = [50, 900] as const;

const SITUATIONS = [
  "the leader knew the machine",
  "the leader had just begun",
  "the attempt had been forgotten before the restart",
  "the attempt was lost with the restart",
] as const;

/** What a machine had carried out, and what it still held, when it restarted. */
interface FormerLife {
  readonly messages: readonly CommandMessage[];
  readonly heldAttempts: ReadonlySet<string>;
}

/** A machine that restarted and has no copies yet; `contactMs`: when its leader got its first heartbeat since. */
interface RestartedMachine extends FormerLife {
  readonly processNumber: number;
  contactMs: number;
  wasKnown: boolean;
}

const keyOf = ({ job, index, attempt }: Command): string =>
  attemptKey(job, index, attempt);

/** Restarts machines, and delivers copies of all starts of their former lives once their first heartbeat has reached its leader. */
class RestartsWithCopies {
  readonly occurred = new Occurrences(SITUATIONS);
  private readonly messages = new Map<SimWorker, CommandMessage[]>();
  private readonly restarted = new Map<SimWorker, RestartedMachine>();
  /** Heartbeats of the present lives of restarted machines. */
  private readonly sentSinceRestart = new WeakSet<Heartbeat>();

  constructor(private readonly world: World) {
    world.onCommandsCarriedOut.push((machine, message) =>
      this.keep(machine, message),
    );
    world.onHeartbeat.push((heartbeat) => this.noteSent(heartbeat));
    const deliver = world.heartbeat.bind(world);
    world.heartbeat = (name, heartbeat, done) => {
      if (this.sentSinceRestart.has(heartbeat))
        this.noteArrival(name, heartbeat);
      deliver(name, heartbeat, done);
    };
    world.every(POLL_MS, () => {
      for (const [machine, restart] of this.restarted)
        if (world.now - restart.contactMs >= FENCED_AFTER_MS)
          this.deliverCopies(machine, restart);
    });
  }

  private keep(machine: SimWorker, message: CommandMessage): void {
    if (!message.commands.some(({ op }) => op === "start")) return;
    const messages = this.messages.get(machine) ?? [];
    messages.push(message);
    this.messages.set(machine, messages);
  }

  restart(machine: SimWorker): void {
    const messages = this.messages.get(machine) ?? [];
    const heldAttempts = new Set(machine.tasks.keys());
    this.messages.delete(machine);
    machine.restart(this.world.rng.real(...DOWN_MS));
    this.restarted.set(machine, {
      messages,
      heldAttempts,
      processNumber: machine.processCount,
      contactMs: Infinity,
      wasKnown: false,
    });
  }

  private noteSent(heartbeat: Heartbeat): void {
    for (const machine of this.restarted.keys())
      if (machine.id === heartbeat.worker && machine.up)
        this.sentSinceRestart.add(heartbeat);
  }

  /** Notes the first heartbeat since a restart that reaches a leader which may act. */
  private noteArrival(name: string, { worker, zone }: Heartbeat): void {
    const core = this.world.nodes.get(name)?.core;
    const leader = core?.leaders.get(core.partitions.partitionOf(zone));
    if (!leader?.state.mayAct()) return;
    for (const [machine, restart] of this.restarted) {
      if (machine.id !== worker || restart.contactMs < Infinity) continue;
      restart.contactMs = this.world.now;
      restart.wasKnown = leader.state.workers.has(worker);
    }
  }

  private deliverCopies(machine: SimWorker, restart: RestartedMachine): void {
    this.restarted.delete(machine);
    if (!machine.up || machine.processCount !== restart.processNumber) return;
    for (const message of restart.messages) {
      for (const command of message.commands)
        if (command.op === "start") this.count(keyOf(command), restart);
      machine.receiveCopy(message);
    }
  }

  private count(
    key: string,
    { wasKnown, heldAttempts }: RestartedMachine,
  ): void {
    this.occurred.note(SITUATIONS[wasKnown ? 0 : 1]);
    this.occurred.note(SITUATIONS[heldAttempts.has(key) ? 3 : 2]);
  }
}

/** Faults after which attempts end and are forgotten, and restarts of machines, alone and with their leaders. */
function injectFaults(world: World, restarts: RestartsWithCopies): void {
  const { rng } = world;
  const injectOne = (): void => {
    if (world.now > FAULTS_END_MS - 20_000) return;
    const up = world.workers.filter((machine) => !machine.gone && machine.up);
    const machine = rng.pick(up);
    switch (rng.int(0, 4)) {
      case 0:
        machine.faulty = true;
        world.at(rng.real(4_000, 9_000), () => (machine.faulty = false));
        break;
      case 1: {
        const accepted = [...world.checker.toldStates].filter(
          ([, told]) => told === "accepted",
        );
        if (accepted.length > 0) cancel(world, rng.pick(accepted)[0]);
        break;
      }
      case 2:
        restartControllers(world);
        world.at(rng.real(...DOWN_MS), () => restarts.restart(machine));
        break;
      default:
        restarts.restart(machine);
    }
    world.at(rng.real(1_000, 4_000), injectOne);
  };
  world.at(10_000, injectOne);
}

function restartControllers(world: World): void {
  for (const name of world.names) {
    world.crash(name);
    world.at(world.rng.real(...DOWN_MS), () => {
      if (!world.nodes.get(name)) world.boot(name);
    });
  }
}

/** Machines restart and forget incarnation and token; copies of all their earlier starts arrive after their first heartbeat. */
export function forgottenTokens(seed: number): ScenarioRun {
  const world = setUp(seed, { controllers: 1 + (seed % 3), runFactor: 1.5 });
  world.loss = 0;
  const restarts = new RestartsWithCopies(world);
  submitWorkload(world, FAULTS_END_MS - 30_000, randomJob);
  injectFaults(world, restarts);
  runToEnd(world, FAULTS_END_MS);
  const { restartedAttempts } = world.copies.commandCounts;
  if (restartedAttempts > 0)
    world.checker.fail(COPIED_START, `${restartedAttempts} attempts`);
  return { world, occurred: restarts.occurred.counts };
}
