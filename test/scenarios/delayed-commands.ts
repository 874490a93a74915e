import { cancel, submitWorkload } from "../simulation/workloads.js";
import type { SimWorker } from "../simulation/machine.js";
import type { World } from "../simulation/world.js";
import {
  partitionOf,
  isUnreachable,
  LOW_LIMITS,
  Occurrences,
  ownershipOf,
  plainJob,
  makeUnreachable,
  restartController,
  runToEnd,
  type ScenarioRun,
  setUp,
} from "./stage.js";

const FAULTS_END_MS = 160_000;
/** Share of the direct commands with starts that are delayed without an answer, and the range of the delay. */
const DELAYED_SHARE = 0.5;
const DELAY_MS = [2_000, 16_000] as const;

const COMBINATIONS = [
  "carried out late under the same leader",
  "carried out after a change of leader that the machine has not seen",
  "refused, the machine has seen a higher token",
  "refused, the machine has a new incarnation",
  "carried out late on a machine that can't send heartbeats",
  "carried out late although the job is cancelled",
] as const;
type Combination = (typeof COMBINATIONS)[number];

/**
 * Direct commands with starts are delayed by 2 to 16 s and then carried out once, if token and incarnation still match. Meanwhile
 * their leader crashes, their machine can't send heartbeats, or the job is cancelled.
 */
export function delayedCommands(seed: number): ScenarioRun {
  const world = setUp(seed, {
    controllers: 2 + (seed % 3),
    runFactor: 3,
    teams: LOW_LIMITS,
  });
  const { rng } = world;
  const occurred = new Occurrences(COMBINATIONS);
  world.commandHold = (leader, machine, token, commands) => {
    const start = commands.find((o) => o.op === "start");
    if (!start || world.now > FAULTS_END_MS || !rng.chance(DELAYED_SHARE))
      return undefined;
    injectFault(world, leader, machine, start.job);
    const incarnation = machine.incarnation;
    return {
      forMs: rng.real(...DELAY_MS),
      onArrival: () => {
        for (const c of combinationsOf(
          world,
          machine,
          token,
          incarnation,
          start.job,
        ))
          occurred.note(c);
      },
    };
  };
  submitWorkload(world, FAULTS_END_MS - 15_000, (w, n) => ({
    ...plainJob(w, n),
    tasks: w.rng.int(1, 3),
  }));
  runToEnd(world, FAULTS_END_MS);
  return { world, occurred: occurred.counts };
}

/** Injects a fault while a command is delayed. */
function injectFault(
  world: World,
  leader: string,
  machine: SimWorker,
  job: string,
): void {
  const { rng } = world;
  const afterMs = rng.real(0, 3_000);
  switch (rng.int(0, 5)) {
    case 0:
    case 1:
      world.at(afterMs, () =>
        restartController(world, leader, rng.real(50, 900)),
      );
      // The machine learns of its new leader only after the command has arrived.
      if (rng.chance(0.5))
        makeUnreachable(
          world,
          machine,
          "can't connect",
          rng.real(5_000, 9_000),
        );
      return;
    case 2:
      if (!isUnreachable(machine))
        makeUnreachable(
          world,
          machine,
          "can't connect",
          rng.real(3_000, 9_000),
        );
      return;
    case 3:
      if (!isUnreachable(machine))
        makeUnreachable(
          world,
          machine,
          "can't connect",
          rng.real(11_000, 14_000),
        );
      return;
    case 4:
      return world.at(afterMs, () => cancel(world, job));
    case 5:
  }
}

function combinationsOf(
  world: World,
  machine: SimWorker,
  token: number,
  incarnation: number,
  job: string,
): Combination[] {
  if (machine.token > token)
    return ["refused, the machine has seen a higher token"];
  if (machine.incarnation !== incarnation)
    return ["refused, the machine has a new incarnation"];
  const found: Combination[] = [];
  const currentToken = ownershipOf(world, partitionOf(world, machine))?.token;
  found.push(
    currentToken === token
      ? "carried out late under the same leader"
      : "carried out after a change of leader that the machine has not seen",
  );
  if (machine.isMute)
    found.push("carried out late on a machine that can't send heartbeats");
  if (world.checker.toldStates.get(job) === "cancelled")
    found.push("carried out late although the job is cancelled");
  return found;
}
