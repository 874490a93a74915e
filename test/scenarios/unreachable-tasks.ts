import { submitWorkload } from "../simulation/workloads.js";
import type { SimWorker } from "../simulation/machine.js";
import type { World } from "../simulation/world.js";
import {
  cutOffLeader,
  partitionOf,
  isUnreachable,
  liveLeaderOf,
  NEW_LEADER_KINDS,
  newLeaderKind,
  Occurrences,
  plainJob,
  makeUnreachable,
  restartController,
  runToEnd,
  type ScenarioRun,
  setUp,
  tasksOnMachines,
  UNREACHABLE_MODES,
  watchPartitions,
} from "./stage.js";

const FAULTS_END_MS = 170_000;
const FAILOVER_INTERVAL_MS = 24_000;
/** A task counts as long if it has at least this time to run. */
const LONG_TASK_MS = 20_000;

/**
 * A leader fails while machines with long tasks can't be reached or don't receive the new leader's answers. Their tasks must not be
 * started again until the machines have sent a heartbeat under the new token or their leases have expired.
 */
export function unreachableTasks(seed: number): ScenarioRun {
  const world = setUp(seed, {
    controllers: 2 + (seed % 3),
    runFactor: 10,
  });
  const occurred = new Occurrences(
    UNREACHABLE_MODES.flatMap((mode) =>
      NEW_LEADER_KINDS.map((l) => `${mode}, ${l}`),
    ),
  );
  const modeByMachine = new Map<SimWorker, string>();
  watchPartitions(world, (takeover) => {
    const { partition } = takeover;
    const leader = newLeaderKind(takeover);
    const combinations = new Set<string>();
    for (const { machine, task } of tasksOnMachines(world)) {
      if (!isUnreachable(machine) || partitionOf(world, machine) !== partition)
        continue;
      const isLong =
        task.endsMs !== null && task.endsMs - world.now >= LONG_TASK_MS;
      if (isLong) combinations.add(`${modeByMachine.get(machine)}, ${leader}`);
    }
    for (const name of combinations) occurred.note(name);
  });
  for (
    let atMs = 14_000;
    atMs < FAULTS_END_MS - FAILOVER_INTERVAL_MS;
    atMs += FAILOVER_INTERVAL_MS
  )
    world.at(atMs, () => failOver(world, modeByMachine));
  submitWorkload(world, FAULTS_END_MS - 30_000, plainJob);
  runToEnd(world, FAULTS_END_MS);
  return { world, occurred: occurred.counts };
}

/** Makes about half of a partition's machines with tasks unreachable, and crashes or cuts off its leader around that time. */
function failOver(world: World, modeByMachine: Map<SimWorker, string>): void {
  const { rng } = world;
  const machinesWithTasks = [...tasksOnMachines(world)].map(
    ({ machine }) => machine,
  );
  if (machinesWithTasks.length === 0) return;
  const partition = partitionOf(world, rng.pick(machinesWithTasks));
  const leader = liveLeaderOf(world, partition);
  if (leader === null) return;
  const cutOffMachines = (): void => {
    for (const machine of new Set(machinesWithTasks)) {
      if (partitionOf(world, machine) !== partition || isUnreachable(machine))
        continue;
      if (rng.chance(0.5)) continue;
      const mode = rng.pick(UNREACHABLE_MODES);
      modeByMachine.set(machine, mode);
      makeUnreachable(world, machine, mode, rng.real(5_000, 16_000));
    }
  };
  if (rng.chance(0.5)) {
    cutOffMachines();
    return world.at(rng.real(0, 4_000), () =>
      restartController(world, leader, rng.real(50, 900)),
    );
  }
  // The leader answers its workers until its leadership lease expires; the machines become unreachable before a peer takes the partition.
  cutOffLeader(world, leader, 20_000);
  world.at(rng.real(9_500, 14_500), cutOffMachines);
}
