/**
 * Guards against starts that the network delivers once more after the machine has forgotten the attempt: a task ran on two machines
 * at once, and tasks of cancelled jobs ran again (docs/incidents/copied-start.md).
 */
import { cancel, randomJob, submitWorkload } from "../simulation/workloads.js";
import type { SimWorker } from "../simulation/machine.js";
import type { CommandMessage } from "../simulation/request-copies.js";
import type { World } from "../simulation/world.js";
import { attemptKey } from "../../src/coordination/machines/worker-state.js";
import type { Command, ExitCause } from "../../src/coordination/model.js";
import {
  Occurrences,
  ownershipOf,
  partitionOf,
  runToEnd,
  type ScenarioRun,
  setUp,
  tasksOnMachines,
} from "./stage.js";

const FAULTS_END_MS = 150_000;
const POLL_MS = 20;
/** Copies of one message that are delivered, each in another situation. */
const MAX_COPIES = 3;
/** How long all controllers are down, and how soon after a machine's restart copies arrive. */
const DOWN_MS = [50, 900] as const;

export const SITUATIONS = [
  "failed, forgotten, on another machine",
  "cancelled, forgotten",
  "stopped to make room or to drain, forgotten",
  "done, forgotten",
  "gang's task of an earlier attempt, forgotten",
  "refused as busy or for lack of room, forgotten",
  "forgotten, all controllers just back, their token not seen",
  "from before a restart of the machine, in its next incarnation",
] as const;
export type Situation = (typeof SITUATIONS)[number];

type Start = Extract<Command, { op: "start" }>;

/** A message that a machine carried out, and the situations in which copies of it were delivered. */
interface CarriedOutMessage {
  readonly machine: SimWorker;
  readonly message: CommandMessage;
  readonly starts: readonly Start[];
  /** Number of the machine's process that carried it out. */
  readonly processNumber: number;
  readonly delivered: Set<Situation>;
}

const keyOf = ({ job, index, attempt }: Start): string =>
  attemptKey(job, index, attempt);

/** Delivers copies of carried-out starts in each of the situations, and counts them. */
class CopyDelivery {
  readonly occurred = new Occurrences(SITUATIONS);
  private readonly messages: CarriedOutMessage[] = [];
  /** How each attempt on each machine ended. */
  private readonly causes = new Map<string, ExitCause | null>();

  constructor(
    private readonly world: World,
    private readonly situations: readonly Situation[],
  ) {
    world.onCommandsCarriedOut.push((machine, message) =>
      this.keep(machine, message),
    );
    world.every(POLL_MS, () => {
      this.noteCauses();
      if (world.now < FAULTS_END_MS)
        for (const message of this.messages) this.deliverIfDue(message);
    });
  }

  private keep(machine: SimWorker, message: CommandMessage): void {
    const starts = message.commands.filter(({ op }) => op === "start");
    if (starts.length === 0) return;
    this.messages.push({
      machine,
      message,
      starts: starts as Start[],
      processNumber: machine.processCount,
      delivered: new Set(),
    });
  }

  private noteCauses(): void {
    for (const machine of this.world.workers)
      for (const [key, task] of machine.tasks)
        if (task.state === "exited")
          this.causes.set(`${machine.id} ${key}`, task.cause);
  }

  private deliverIfDue(sent: CarriedOutMessage): void {
    if (sent.machine.gone || sent.delivered.size >= MAX_COPIES) return;
    for (const start of sent.starts) {
      const situation = this.situationOf(sent, start);
      if (situation === null || sent.delivered.has(situation)) continue;
      if (!this.situations.includes(situation)) continue;
      sent.delivered.add(situation);
      this.occurred.note(situation);
      sent.machine.receiveCopy(sent.message);
      return;
    }
  }

  private situationOf(
    { machine, message, processNumber }: CarriedOutMessage,
    start: Start,
  ): Situation | null {
    if (!machine.up || machine.tasks.has(keyOf(start))) return null;
    if (machine.processCount !== processNumber)
      return "from before a restart of the machine, in its next incarnation";
    const cause = this.causes.get(`${machine.id} ${keyOf(start)}`);
    if (cause === undefined) return null;
    if (this.hasUnseenLeader(machine, message.token))
      return "forgotten, all controllers just back, their token not seen";
    if (this.world.checker.toldStates.get(start.job) === "cancelled")
      return "cancelled, forgotten";
    return this.situationByCause(start, cause);
  }

  /** Whether the machine's partition has a leader whose token the machine has not seen. */
  private hasUnseenLeader(machine: SimWorker, token: number): boolean {
    const ownership = ownershipOf(this.world, partitionOf(this.world, machine));
    return (
      ownership !== null &&
      ownership.token > machine.token &&
      token < ownership.token
    );
  }

  private situationByCause(
    start: Start,
    cause: ExitCause | null,
  ): Situation | null {
    if (cause === "done") return "done, forgotten";
    if (cause === "busy" || cause === "no_room")
      return "refused as busy or for lack of room, forgotten";
    const { kind, tasks } = this.world.specs.get(start.job)!;
    const isGang = kind === "gang" && tasks > 1;
    if (isGang) return "gang's task of an earlier attempt, forgotten";
    if (cause === "stopped")
      return "stopped to make room or to drain, forgotten";
    return cause === "error" && this.isOnMachine(start)
      ? "failed, forgotten, on another machine"
      : null;
  }

  private isOnMachine({ job, index }: Start): boolean {
    for (const { task } of tasksOnMachines(this.world))
      if (task.job === job && task.index === index) return true;
    return false;
  }
}

/** Faults after which attempts end and are forgotten. Machines that restart go on with their token and the next incarnation. */
function injectFaults(world: World): void {
  const { rng } = world;
  const injectOne = (): void => {
    if (world.now > FAULTS_END_MS - 20_000) return;
    const up = world.workers.filter((machine) => !machine.gone && machine.up);
    const machine = rng.pick(up);
    switch (rng.int(0, 5)) {
      case 0:
        machine.faulty = true;
        world.at(rng.real(4_000, 9_000), () => (machine.faulty = false));
        break;
      case 1:
        machine.refusesStarts = rng.pick(["busy", "no_room"] as const);
        world.at(rng.real(500, 3_000), () => (machine.refusesStarts = null));
        break;
      case 2:
        machine.restart(rng.real(...DOWN_MS), true);
        break;
      case 3:
        for (const name of world.names) world.crash(name);
        for (const name of world.names)
          world.at(rng.real(...DOWN_MS), () => {
            if (!world.nodes.get(name)) world.boot(name);
          });
        break;
      case 4:
        machine.noticeMs = world.now + rng.real(8_000, 15_000);
        world.at(rng.real(4_000, 7_000), () => (machine.noticeMs = null));
        break;
      case 5: {
        const accepted = [...world.checker.toldStates].filter(
          ([, told]) => told === "accepted",
        );
        if (accepted.length > 0) cancel(world, rng.pick(accepted)[0]);
      }
    }
    world.at(rng.real(1_500, 5_000), injectOne);
  };
  world.at(10_000, injectOne);
}

/** Rule that breaks when a machine starts an attempt once more that it had forgotten. */
export const COPIED_START = "copied_start";

/** Machines get copies of starts that they carried out and forgot, in these situations, under the same and under later leaders. */
export function commandCopies(
  seed: number,
  situations: readonly Situation[] = SITUATIONS,
): ScenarioRun {
  const world = setUp(seed, { controllers: 1 + (seed % 3), runFactor: 1.5 });
  const delivery = new CopyDelivery(world, situations);
  submitWorkload(world, FAULTS_END_MS - 30_000, randomJob);
  injectFaults(world);
  runToEnd(world, FAULTS_END_MS);
  const { restartedAttempts } = world.copies.commandCounts;
  if (restartedAttempts > 0)
    world.checker.fail(COPIED_START, `${restartedAttempts} attempts`);
  return { world, occurred: delivery.occurred.counts };
}
