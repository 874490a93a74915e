import { cancel, submitWorkload } from "../simulation/workloads.js";
import type { SimWorker } from "../simulation/machine.js";
import type { World } from "../simulation/world.js";
import {
  partitionOf,
  isUnreachable,
  LOW_LIMITS,
  Occurrences,
  ownerOf,
  plainJob,
  putOutOfReach,
  restart,
  runToEnd,
  type ScenarioRun,
  stage,
} from "./stage.js";

const OVER_MS = 160_000;
/** Part of the direct commands that are held up, unanswered, and for how long. */
const HELD_SHARE = 0.5;
const HELD_MS = [2_000, 16_000] as const;

const CONJUNCTIONS = [
  "carried out late under the same leader",
  "carried out after the group has a new leader, of which the machine has not heard",
  "refused, for the machine has heard of a new leader",
  "refused, for the machine has a new session",
  "carried out late on a machine that can't report",
  "carried out late although the job is cancelled",
] as const;
type Conjunction = (typeof CONJUNCTIONS)[number];

/**
 * Direct commands with starts are held up for 2 to 16 s and then carried out once, if token and session still match; meanwhile their
 * leader ends, their machine can't report, or the job is cancelled.
 */
export function heldCommands(seed: number): ScenarioRun {
  const world = stage(seed, {
    controllers: 2 + (seed % 3),
    runFactor: 3,
    teams: LOW_LIMITS,
  });
  const { rng } = world;
  const occurred = new Occurrences(CONJUNCTIONS);
  world.commandHold = (leader, machine, token, commands) => {
    const start = commands.find((o) => o.op === "start");
    if (!start || world.now > OVER_MS || !rng.chance(HELD_SHARE))
      return undefined;
    disturb(world, leader, machine, start.job);
    const incarnation = machine.incarnation;
    return {
      forMs: rng.real(...HELD_MS),
      onArrival: () => {
        for (const c of conjunctionsOf(
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
  submitWorkload(world, OVER_MS - 15_000, (w, n) => ({
    ...plainJob(w, n),
    tasks: w.rng.int(1, 3),
  }));
  runToEnd(world, OVER_MS);
  return { world, occurred: occurred.counts };
}

/** While a command is held up. */
function disturb(
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
      world.at(afterMs, () => restart(world, leader, rng.real(50, 900)));
      // It hears of its new leader only after the command has come.
      if (rng.chance(0.5))
        putOutOfReach(world, machine, "mute", rng.real(5_000, 9_000));
      return;
    case 2:
      if (!isUnreachable(machine))
        putOutOfReach(world, machine, "mute", rng.real(3_000, 9_000));
      return;
    case 3:
      if (!isUnreachable(machine))
        putOutOfReach(world, machine, "mute", rng.real(11_000, 14_000));
      return;
    case 4:
      return world.at(afterMs, () => cancel(world, job));
    case 5:
  }
}

function conjunctionsOf(
  world: World,
  machine: SimWorker,
  token: number,
  incarnation: number,
  job: string,
): Conjunction[] {
  if (machine.token > token)
    return ["refused, for the machine has heard of a new leader"];
  if (machine.incarnation !== incarnation)
    return ["refused, for the machine has a new session"];
  const found: Conjunction[] = [];
  const leads = ownerOf(world, partitionOf(world, machine))?.token;
  found.push(
    leads === token
      ? "carried out late under the same leader"
      : "carried out after the group has a new leader, of which the machine has not heard",
  );
  if (machine.isMute)
    found.push("carried out late on a machine that can't report");
  if (world.checker.told.get(job) === "cancelled")
    found.push("carried out late although the job is cancelled");
  return found;
}
