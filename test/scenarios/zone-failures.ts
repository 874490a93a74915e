import type { JobSpec } from "../../src/coordination/model.js";
import { cancel, submitWorkload } from "../simulation/workloads.js";
import type { World } from "../simulation/world.js";
import {
  Occurrences,
  plainJob,
  runToEnd,
  type ScenarioRun,
  setUp,
  tasksOnMachines,
} from "./stage.js";

const FAULTS_END_MS = 190_000;
const SHAPES = ["array", "gang", "gang in one place"] as const;
const COMBINATIONS = [
  ...SHAPES.map((s) => `${s} restricted to a zone lost a machine and is done`),
  "zone with its controller cut off for longer than lease_s, tasks on its machines",
  "job cancelled with tasks in a zone that is cut off with its controller",
] as const;

/**
 * Jobs restricted to one zone lose machines there and must still complete. Zones with a controller are cut off for longer than a
 * lease, and jobs with tasks there are cancelled meanwhile.
 */
export function zoneFailures(
  seed: number,
  checksInvariants = true,
): ScenarioRun {
  const world = setUp(seed, {
    controllers: 3,
    runFactor: 6,
    capacity: 5,
  });
  world.checker.invariants = checksInvariants;
  const occurred = new Occurrences(COMBINATIONS);
  const shapeByAffectedJob = new Map<string, string>();
  loseMachines(world, shapeByAffectedJob);
  cutZones(world, occurred);
  world.checker.onStateTold = (id, status) => {
    const shape = shapeByAffectedJob.get(id);
    if (status === "done" && shape !== undefined)
      occurred.note(`${shape} restricted to a zone lost a machine and is done`);
    if (status === "cancelled" && hasTaskInCutZone(world, id))
      occurred.note(
        "job cancelled with tasks in a zone that is cut off with its controller",
      );
  };
  submitWorkload(world, FAULTS_END_MS - 60_000, zoneJob);
  runToEnd(world, FAULTS_END_MS);
  return { world, occurred: occurred.counts };
}

function zoneJob(world: World, jobNumber: number): JobSpec {
  const { rng } = world;
  const job = {
    ...plainJob(world, jobNumber),
    zone: rng.pick(["east", "mid"]),
  };
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

/** Machines with tasks of jobs restricted to a zone vanish, restart, or are reclaimed by the cloud. */
function loseMachines(
  world: World,
  shapeByAffectedJob: Map<string, string>,
): void {
  const { rng } = world;
  world.every(4_000, () => {
    if (world.now > FAULTS_END_MS - 60_000) return;
    const zoneBoundTasks = [...tasksOnMachines(world)].filter(
      ({ spec }) => spec.zone !== null && spec.kind !== "service",
    );
    if (zoneBoundTasks.length === 0) return;
    const { machine } = rng.pick(zoneBoundTasks);
    for (const { machine: other, task, spec } of zoneBoundTasks)
      if (other === machine) shapeByAffectedJob.set(task.job, shapeOf(spec));
    switch (rng.int(0, 2)) {
      case 0:
        return machine.vanish();
      case 1:
        return machine.restart(rng.real(50, 800));
      case 2:
        return machine.reclaim();
    }
  });
}

const controllerZones = (world: World): string[] =>
  world.names.map((name) => world.zoneOf(name));

/** Cuts off three zones, one after the other, for longer than a lease, and cancels some of the jobs with tasks there. */
function cutZones(world: World, occurred: Occurrences): void {
  const { rng } = world;
  for (const atMs of [25_000, 70_000, 115_000])
    world.at(atMs, () => {
      const zone = rng.pick(controllerZones(world));
      const durationMs =
        1_000 * world.settings.leaseS + rng.real(2_000, 26_000);
      const tasksInZone = [...tasksOnMachines(world)].filter(
        ({ machine }) => machine.zone === zone,
      );
      world.cutZone(zone, durationMs);
      world.at(durationMs - 50, () => {
        if (tasksInZone.length > 0)
          occurred.note(
            "zone with its controller cut off for longer than lease_s, tasks on its machines",
          );
      });
      for (const { task } of tasksInZone)
        if (rng.chance(0.5) && !world.checker.cancelRequests.has(task.job))
          world.at(rng.real(500, 5_000), () => cancel(world, task.job));
    });
}

function hasTaskInCutZone(world: World, id: string): boolean {
  for (const { machine, task } of tasksOnMachines(world))
    if (
      task.job === id &&
      controllerZones(world).includes(machine.zone) &&
      world.isCutApart(machine.zone, null)
    )
      return true;
  return false;
}
