import type { JobSpec } from "../../src/coordination/model.js";
import { cancel, pipelines, submitWorkload } from "../simulation/workloads.js";
import type { World } from "../simulation/world.js";
import {
  Occurrences,
  ownershipOf,
  plainJob,
  restartController,
  runToEnd,
  type ScenarioRun,
  setUp,
  tasksOnMachines,
  watchPartitions,
} from "./stage.js";

const CHANGES_FROM_MS = 12_000;
const CHANGES_DURATION_MS = 110_000;
const ALL_DOWN_AT_MS = 135_000;
const ONE_RETURNS_AT_MS = 175_000;
const FAULTS_END_MS = 215_000;
const TWO_MINUTES_MS = 120_000;

const COMBINATIONS = [
  "ten changes of a partition's leader in two minutes",
  "a leader crashes during an outage of the state service",
  "a partition goes back to a former leader",
  "all controllers down for longer than lease_s with tasks on machines",
  "all crash, one is back within a second and takes another's partition",
  "a job of two or three tasks with one done before a change, another after it",
  "a job cancelled between two changes within 15 s",
] as const;
type Combination = (typeof COMBINATIONS)[number];

/**
 * A partition changes its leader ten times in two minutes, also during outages of the state service. Then all controllers are down
 * for longer than a lease; then all crash and one returns at once. Meanwhile jobs of two or three tasks run, whose tasks end far
 * apart, and some are cancelled.
 */
export function leaderChanges(seed: number): ScenarioRun {
  const world = setUp(seed, {
    controllers: 2 + (seed % 3),
    runFactor: 3,
  });
  const occurred = new Occurrences(COMBINATIONS);
  const note = (combination: Combination): void => occurred.note(combination);
  watchChanges(world, note);
  changeLeaders(world, note);
  stopAllControllers(world, note);
  restartOneEarly(world, note);
  submitWorkload(world, FAULTS_END_MS - 25_000, smallArray);
  pipelines(world, 5_000, FAULTS_END_MS - 60_000);
  runToEnd(world, FAULTS_END_MS);
  return { world, occurred: occurred.counts };
}

function smallArray(world: World, jobNumber: number): JobSpec {
  const job = plainJob(world, jobNumber);
  if (jobNumber % 3 === 0) return job;
  return { ...job, kind: "array", tasks: world.rng.int(2, 3) };
}

/** Counts the combinations that a change of leader makes with earlier changes and with the running jobs. */
function watchChanges(world: World, note: (what: Combination) => void): void {
  const changesMs = new Map<string, number[]>();
  const leadersByPartition = new Map<string, Set<string>>();
  const partlyDone = new Set<string>();
  let lastChangeMs = -Infinity;
  watchPartitions(world, ({ partition, owner, formerOwner }) => {
    const recent = (changesMs.get(partition) ?? []).filter(
      (ms) => world.now - ms < TWO_MINUTES_MS,
    );
    recent.push(world.now);
    changesMs.set(partition, recent);
    if (recent.length === 10)
      note("ten changes of a partition's leader in two minutes");
    const former = leadersByPartition.get(partition) ?? new Set([formerOwner]);
    if (owner !== formerOwner && former.has(owner))
      note("a partition goes back to a former leader");
    leadersByPartition.set(partition, former.add(owner));
    for (const id of partlyDoneJobs(world)) partlyDone.add(id);
    lastChangeMs = world.now;
  });
  world.checker.onStateTold = (id, status) => {
    if (status === "done" && partlyDone.has(id))
      note(
        "a job of two or three tasks with one done before a change, another after it",
      );
    if (status === "cancelled" && world.now - lastChangeMs < 15_000)
      note("a job cancelled between two changes within 15 s");
  };
}

/** Array jobs of two or three tasks of which some are done and some are not. */
function partlyDoneJobs(world: World): string[] {
  const ids: string[] = [];
  for (const [id, status] of world.checker.toldStates) {
    const spec = world.specs.get(id)!;
    if (status !== "accepted" || spec.kind !== "array") continue;
    if (spec.tasks < 2 || spec.tasks > 3) continue;
    let done = 0;
    for (let i = 0; i < spec.tasks; i++)
      if (world.results.has(`${id}/${i}`)) done++;
    if (done > 0 && done < spec.tasks) ids.push(id);
  }
  return ids;
}

/** Crashes the leader of one partition again and again, mostly for up to two seconds; the state service is down twice meanwhile. */
function changeLeaders(world: World, note: (what: Combination) => void): void {
  const { rng } = world;
  const partition = rng.pick(world.names);
  const crashLeader = (): void => {
    if (world.now > CHANGES_FROM_MS + CHANGES_DURATION_MS) return;
    const leader =
      ownershipOf(world, partition)?.owner ?? rng.pick(world.names);
    if (world.stateDown)
      note("a leader crashes during an outage of the state service");
    // Mostly it takes its partition again; now and then a peer does so first.
    const awayMs = rng.chance(0.15)
      ? rng.real(15_000, 18_000)
      : rng.real(50, 2_000);
    restartController(world, leader, awayMs);
    cancelOne(world);
    world.at(rng.real(5_000, 10_000), crashLeader);
  };
  world.at(CHANGES_FROM_MS, crashLeader);
  for (const atMs of [30_000, 75_000])
    world.at(atMs + rng.real(0, 5_000), () => {
      world.stateDown = true;
      world.at(rng.real(6_000, 18_000), () => {
        world.stateDown = false;
        world.state.restart();
      });
    });
}

function cancelOne(world: World): void {
  const running = [...tasksOnMachines(world)].map(({ task }) => task.job);
  if (running.length > 0 && world.rng.chance(0.4))
    cancel(world, world.rng.pick(running));
}

function stopAllControllers(
  world: World,
  note: (what: Combination) => void,
): void {
  world.at(ALL_DOWN_AT_MS, () => {
    const awayMs = 1_000 * world.settings.leaseS + world.rng.real(1_500, 5_000);
    if ([...tasksOnMachines(world)].length > 0)
      note(
        "all controllers down for longer than lease_s with tasks on machines",
      );
    for (const name of world.names)
      restartController(world, name, awayMs + world.rng.real(0, 2_000));
  });
}

function restartOneEarly(
  world: World,
  note: (what: Combination) => void,
): void {
  world.at(ONE_RETURNS_AT_MS, () => {
    const first = world.rng.pick(world.names);
    for (const name of world.names)
      restartController(
        world,
        name,
        name === first
          ? world.rng.real(50, 900)
          : world.rng.real(24_000, 28_000),
      );
    const others = world.names.filter((name) => name !== first);
    world.at(24_000, () => {
      if (
        others.some(
          (partition) => ownershipOf(world, partition)?.owner === first,
        )
      )
        note(
          "all crash, one is back within a second and takes another's partition",
        );
    });
  });
}
