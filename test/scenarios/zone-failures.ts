import type { JobSpec } from "../../src/coordination/model.js";
import { cancel, submitWorkload } from "../simulation/workloads.js";
import type { World } from "../simulation/world.js";
import {
  Occurrences,
  plainJob,
  runToEnd,
  type ScenarioRun,
  stage,
  tasksOnMachines,
} from "./stage.js";

const OVER_MS = 190_000;
const SHAPES = ["array", "gang", "gang in one place"] as const;
const CONJUNCTIONS = [
  ...SHAPES.map((s) => `${s} bound to a zone lost a machine, and is done`),
  "zone with its controller cut off beyond lease_s, tasks on its machines",
  "job cancelled with tasks in a zone that is cut off with its controller",
] as const;

/**
 * Jobs bound to one zone lose machines of it and are done all the same; zones with a controller are cut off for longer than a lease,
 * and jobs with tasks there are cancelled meanwhile.
 */
export function zones(seed: number, checksInvariants = true): ScenarioRun {
  const world = stage(seed, { controllers: 3, runFactor: 6, capacity: 5 });
  world.checker.invariants = checksInvariants;
  const occurred = new Occurrences(CONJUNCTIONS);
  const lostMachine = new Map<string, string>();
  loseMachines(world, lostMachine);
  cutZones(world, occurred);
  world.checker.onTold = (id, told) => {
    const shape = lostMachine.get(id);
    if (told === "done" && shape !== undefined)
      occurred.note(`${shape} bound to a zone lost a machine, and is done`);
    if (told === "cancelled" && isInCutZone(world, id))
      occurred.note(
        "job cancelled with tasks in a zone that is cut off with its controller",
      );
  };
  submitWorkload(world, OVER_MS - 60_000, zoneJob);
  runToEnd(world, OVER_MS);
  return { world, occurred: occurred.counts };
}

function zoneJob(world: World, n: number): JobSpec {
  const { rng } = world;
  const job = { ...plainJob(world, n), zone: rng.pick(["east", "mid"]) };
  const shape = rng.pick(SHAPES);
  if (shape === "array")
    return { ...job, kind: "array", samePlace: false, tasks: rng.int(2, 6) };
  return {
    ...job,
    kind: "gang",
    samePlace: shape === "gang in one place",
    tasks: rng.int(2, 3),
  };
}

const shapeOf = (spec: JobSpec): (typeof SHAPES)[number] => {
  if (spec.kind === "array") return "array";
  return spec.samePlace ? "gang in one place" : "gang";
};

/** Machines with tasks of such jobs stop for good, begin anew, or are taken back. */
function loseMachines(world: World, lostMachine: Map<string, string>): void {
  const { rng } = world;
  world.every(4_000, () => {
    if (world.now > OVER_MS - 60_000) return;
    const busy = [...tasksOnMachines(world)].filter(
      ({ spec }) => spec.zone !== null && spec.kind !== "service",
    );
    if (busy.length === 0) return;
    const { machine } = rng.pick(busy);
    for (const { machine: other, task, spec } of busy)
      if (other === machine) lostMachine.set(task.job, shapeOf(spec));
    switch (rng.int(0, 2)) {
      case 0:
        return machine.vanish();
      case 1:
        return machine.restart(rng.real(50, 800));
      case 2:
        return machine.taken();
    }
  });
}

const controllerZones = (world: World): string[] =>
  world.names.map((name) => world.zoneOf(name));

/** One zone after the other, for longer than a lease; some of what runs there is cancelled. */
function cutZones(world: World, occurred: Occurrences): void {
  const { rng } = world;
  for (const atMs of [25_000, 70_000, 115_000])
    world.at(atMs, () => {
      const zone = rng.pick(controllerZones(world));
      const forMs = 1_000 * world.settings.leaseS + rng.real(2_000, 26_000);
      const inZone = [...tasksOnMachines(world)].filter(
        ({ machine }) => machine.zone === zone,
      );
      world.cutZone(zone, forMs);
      world.at(forMs - 50, () => {
        if (inZone.length > 0)
          occurred.note(
            "zone with its controller cut off beyond lease_s, tasks on its machines",
          );
      });
      for (const { task } of inZone)
        if (rng.chance(0.5) && !world.checker.asked.has(task.job))
          world.at(rng.real(500, 5_000), () => cancel(world, task.job));
    });
}

function isInCutZone(world: World, id: string): boolean {
  for (const { machine, task } of tasksOnMachines(world))
    if (
      task.job === id &&
      controllerZones(world).includes(machine.zone) &&
      world.apart(machine.zone, null)
    )
      return true;
  return false;
}
