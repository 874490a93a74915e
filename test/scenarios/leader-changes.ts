import type { JobSpec } from "../../src/coordination/model.js";
import { cancel, pipelines, submitWorkload } from "../simulation/workloads.js";
import type { World } from "../simulation/world.js";
import {
  Occurrences,
  ownerOf,
  plainJob,
  restart,
  runToEnd,
  type ScenarioRun,
  stage,
  tasksOnMachines,
  watchPartitions,
} from "./stage.js";

const CHANGES_FROM_MS = 12_000;
const CHANGES_FOR_MS = 110_000;
const ALL_AWAY_MS = 135_000;
const ONE_RETURNS_MS = 175_000;
const OVER_MS = 215_000;
const TWO_MINUTES_MS = 120_000;

const CONJUNCTIONS = [
  "ten changes of a group's leader in two minutes",
  "a leader ends inside an outage of the state service",
  "a group goes back to a former leader",
  "all controllers away for longer than lease_s with tasks on machines",
  "all end and one is back within a second, and takes another's group",
  "of a job of two or three tasks one is done before a change, another after it",
  "a job cancelled between two changes within 15 s",
] as const;
type Conjunction = (typeof CONJUNCTIONS)[number];

/**
 * Leaders change ten times in two minutes, also inside outages of the state service; then all controllers are away for longer than a
 * lease; then all end and one returns at once. Jobs of two or three tasks end far apart meanwhile, and some are cancelled.
 */
export function leaderChanges(seed: number): ScenarioRun {
  const world = stage(seed, { controllers: 2 + (seed % 3), runFactor: 3 });
  const occurred = new Occurrences(CONJUNCTIONS);
  const note = (what: Conjunction): void => occurred.note(what);
  watchChanges(world, note);
  changeLeaders(world, note);
  allAway(world, note);
  oneReturns(world, note);
  submitWorkload(world, OVER_MS - 25_000, smallArray);
  pipelines(world, 5_000, OVER_MS - 60_000);
  runToEnd(world, OVER_MS);
  return { world, occurred: occurred.counts };
}

function smallArray(world: World, n: number): JobSpec {
  const job = plainJob(world, n);
  if (n % 3 === 0) return job;
  return { ...job, kind: "array", tasks: world.rng.int(2, 3) };
}

/** Counts what a change of leader means for its group and for the jobs under way. */
function watchChanges(world: World, note: (what: Conjunction) => void): void {
  const changesMs = new Map<string, number[]>();
  const leaders = new Map<string, Set<string>>();
  const partlyDone = new Set<string>();
  let lastChangeMs = -Infinity;
  watchPartitions(world, ({ partition, owner, formerOwner }) => {
    const recent = (changesMs.get(partition) ?? []).filter(
      (ms) => world.now - ms < TWO_MINUTES_MS,
    );
    recent.push(world.now);
    changesMs.set(partition, recent);
    if (recent.length === 10)
      note("ten changes of a group's leader in two minutes");
    const former = leaders.get(partition) ?? new Set([formerOwner]);
    if (owner !== formerOwner && former.has(owner))
      note("a group goes back to a former leader");
    leaders.set(partition, former.add(owner));
    for (const id of partlyDoneJobs(world)) partlyDone.add(id);
    lastChangeMs = world.now;
  });
  world.checker.onTold = (id, told) => {
    if (told === "done" && partlyDone.has(id))
      note(
        "of a job of two or three tasks one is done before a change, another after it",
      );
    if (told === "cancelled" && world.now - lastChangeMs < 15_000)
      note("a job cancelled between two changes within 15 s");
  };
}

/** Arrays of two or three tasks of which some are done and some are not. */
function partlyDoneJobs(world: World): string[] {
  const ids: string[] = [];
  for (const [id, told] of world.checker.told) {
    const spec = world.specs.get(id)!;
    if (told !== "accepted" || spec.kind !== "array") continue;
    if (spec.tasks < 2 || spec.tasks > 3) continue;
    let done = 0;
    for (let i = 0; i < spec.tasks; i++)
      if (world.results.has(`${id}/${i}`)) done++;
    if (done > 0 && done < spec.tasks) ids.push(id);
  }
  return ids;
}

/** The leader of one group ends again and again, and is back within seconds; twice the state service is down meanwhile. */
function changeLeaders(world: World, note: (what: Conjunction) => void): void {
  const { rng } = world;
  const partition = rng.pick(world.names);
  const end = (): void => {
    if (world.now > CHANGES_FROM_MS + CHANGES_FOR_MS) return;
    const leader = ownerOf(world, partition)?.owner ?? rng.pick(world.names);
    if (world.stateDown)
      note("a leader ends inside an outage of the state service");
    // Mostly it takes its group again; now and then a peer does first.
    const awayMs = rng.chance(0.15)
      ? rng.real(15_000, 18_000)
      : rng.real(50, 2_000);
    restart(world, leader, awayMs);
    cancelOne(world);
    world.at(rng.real(5_000, 10_000), end);
  };
  world.at(CHANGES_FROM_MS, end);
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

function allAway(world: World, note: (what: Conjunction) => void): void {
  world.at(ALL_AWAY_MS, () => {
    const awayMs = 1_000 * world.settings.leaseS + world.rng.real(1_500, 5_000);
    if ([...tasksOnMachines(world)].length > 0)
      note(
        "all controllers away for longer than lease_s with tasks on machines",
      );
    for (const name of world.names)
      restart(world, name, awayMs + world.rng.real(0, 2_000));
  });
}

function oneReturns(world: World, note: (what: Conjunction) => void): void {
  world.at(ONE_RETURNS_MS, () => {
    const first = world.rng.pick(world.names);
    for (const name of world.names)
      restart(
        world,
        name,
        name === first
          ? world.rng.real(50, 900)
          : world.rng.real(24_000, 28_000),
      );
    const others = world.names.filter((name) => name !== first);
    world.at(24_000, () => {
      if (
        others.some((partition) => ownerOf(world, partition)?.owner === first)
      )
        note(
          "all end and one is back within a second, and takes another's group",
        );
    });
  });
}
