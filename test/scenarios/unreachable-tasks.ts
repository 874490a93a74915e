import { submitWorkload } from "../simulation/workloads.js";
import type { SimWorker } from "../simulation/machine.js";
import type { World } from "../simulation/world.js";
import {
  cutOffLeader,
  partitionOf,
  isUnreachable,
  liveLeaderOf,
  NEW_LEADERS,
  newLeader,
  Occurrences,
  plainJob,
  putOutOfReach,
  restart,
  runToEnd,
  type ScenarioRun,
  stage,
  tasksOnMachines,
  UNREACHABLE,
  watchPartitions,
} from "./stage.js";

const OVER_MS = 170_000;
const EPISODE_MS = 24_000;
/** A task that has so long to go is a long one. */
const LONG_MS = 20_000;

/**
 * A leader ends while machines with long tasks can't be reached, or don't hear the new leader's answers: what they run is not started
 * again until they have spoken under the new token or their leases are over.
 */
export function unreachedTasks(seed: number): ScenarioRun {
  const world = stage(seed, { controllers: 2 + (seed % 3), runFactor: 10 });
  const occurred = new Occurrences(
    UNREACHABLE.flatMap((how) => NEW_LEADERS.map((l) => `${how}, ${l}`)),
  );
  const reach = new Map<SimWorker, string>();
  watchPartitions(world, (takeover) => {
    const { partition } = takeover;
    const leader = newLeader(takeover);
    const met = new Set<string>();
    for (const { machine, task } of tasksOnMachines(world)) {
      if (!isUnreachable(machine) || partitionOf(world, machine) !== partition)
        continue;
      const isLong = task.endsMs !== null && task.endsMs - world.now >= LONG_MS;
      if (isLong) met.add(`${reach.get(machine)}, ${leader}`);
    }
    for (const name of met) occurred.note(name);
  });
  for (let atMs = 14_000; atMs < OVER_MS - EPISODE_MS; atMs += EPISODE_MS)
    world.at(atMs, () => episode(world, reach));
  submitWorkload(world, OVER_MS - 30_000, plainJob);
  runToEnd(world, OVER_MS);
  return { world, occurred: occurred.counts };
}

/** Half of a group's machines with tasks get out of reach, and its leader ends around that. */
function episode(world: World, reach: Map<SimWorker, string>): void {
  const { rng } = world;
  const busy = [...tasksOnMachines(world)].map(({ machine }) => machine);
  if (busy.length === 0) return;
  const partition = partitionOf(world, rng.pick(busy));
  const leader = liveLeaderOf(world, partition);
  if (leader === null) return;
  const lose = (): void => {
    for (const machine of new Set(busy)) {
      if (partitionOf(world, machine) !== partition || isUnreachable(machine))
        continue;
      if (rng.chance(0.5)) continue;
      const how = rng.pick(UNREACHABLE);
      reach.set(machine, how);
      putOutOfReach(world, machine, how, rng.real(5_000, 16_000));
    }
  };
  if (rng.chance(0.5)) {
    lose();
    return world.at(rng.real(0, 4_000), () =>
      restart(world, leader, rng.real(50, 900)),
    );
  }
  // It goes on answering until its permit ends; shortly before a peer takes the group the machines are lost.
  cutOffLeader(world, leader, 20_000);
  world.at(rng.real(9_500, 14_500), lose);
}
