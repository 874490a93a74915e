import assert from "node:assert/strict";
import { test } from "node:test";
import type { JobSpec } from "../../../src/coordination/model.js";
import { cancel, randomJob, submit } from "../../simulation/workloads.js";
import { describeWorkload } from "../../simulation/guards.js";
import { World } from "../../simulation/world.js";

// Parts of gangs with `spread` in the partition of a removed controller go to partitions that are there: docs/incidents/orphaned-gang-parts.md.

const CONTROLLERS = 5;
const GANGS = 10;
const REMOVED_MS = 20_000;
/** All controllers have started with the new settings. */
const RESTARTED_MS = 26_000;
/** The faults of these tests are over. */
const OVER_MS = 70_000;
const END_MS = 200_000;

/** A day on which gangs with `spread` wait for machines in all partitions, and the last controller is removed for good. */
function removedController(
  seed: number,
  during: (world: World, gangs: readonly JobSpec[]) => void = () => {},
  {
    production = [],
    looksForWaiting = true,
  }: { production?: readonly string[]; looksForWaiting?: boolean } = {},
): { world: World; gangs: JobSpec[]; reassigned: Set<string> } {
  const world = new World(seed, undefined, production, CONTROLLERS);
  world.capacity = 0;
  const gangs = Array.from({ length: GANGS }, (_, n) => spreadGang(world, n));
  for (const gang of gangs) {
    world.specs.set(gang.id, gang);
    world.at(world.rng.real(5_000, 15_000), () =>
      submit(world, gang, world.now),
    );
  }
  const left = world.names.slice(0, -1);
  world.at(REMOVED_MS, () => {
    world.crash(world.names.at(-1)!);
    world.reconfigure(left, world.settings.teams);
  });
  for (const [n, name] of left.entries())
    world.at(REMOVED_MS + 1_000 * (n + 1), () => {
      world.crash(name);
      world.boot(name);
    });
  world.at(RESTARTED_MS, () => (world.capacity = 12));
  during(world, gangs);
  if (looksForWaiting)
    world.at(OVER_MS, () =>
      world.every(1_000, () => world.checker.nobodyLeft()),
    );
  world.run(END_MS);
  assert.deepEqual(
    world.checker.broken,
    [],
    `seed ${seed}: ${describeWorkload(world)}`,
  );
  const reassigned = new Set(
    world.logs.flatMap(
      (line) =>
        /reassigning tasks of removed partition .*"job":"([^"]*)"/.exec(
          line,
        )?.[1] ?? [],
    ),
  );
  return { world, gangs, reassigned };
}

const spreadGang = (world: World, n: number): JobSpec => ({
  ...randomJob(world, n + 1),
  kind: "gang",
  jobClass: "gangs",
  priority: "normal",
  tasks: 2 + (n % 3),
  cpus: 2,
  gpus: 0,
  machineTypes: null,
  zone: null,
  samePlace: false,
  spread: true,
  spot: false,
  deadlineS: null,
});

type Day = ReturnType<typeof removedController>;

/** Every gang is done that no user cancelled. */
function expectDone(
  seed: number,
  { world, gangs }: Omit<Day, "reassigned">,
): void {
  for (const { id } of gangs)
    if (world.checker.told.get(id) !== "cancelled")
      assert.ok(
        world.checker.isDone(id),
        `seed ${seed}: ${id}\n${describeWorkload(world)}`,
      );
}

function expectReassignedAndDone(seed: number, day: Day): void {
  assert.ok(day.reassigned.size > 0, `seed ${seed}: no part was there`);
  expectDone(seed, day);
}

test("parts of gangs with spread in a removed partition go to others, and all gangs are done", () => {
  for (const seed of [1, 2, 3, 4])
    expectReassignedAndDone(seed, removedController(seed));
});

test("the same while transactions are answered late or not at all", () => {
  for (const seed of [11, 12, 13, 14])
    expectReassignedAndDone(
      seed,
      removedController(seed, (world) => {
        world.at(RESTARTED_MS, () => {
          world.lateWrites = 0.2;
          world.lostAnswers = 0.3;
        });
        world.at(OVER_MS - 15_000, () => {
          world.lateWrites = 0;
          world.lostAnswers = 0;
        });
      }),
    );
});

/** A controller ends and starts again. */
function restartOne(world: World): void {
  const name = world.rng.pick(world.names);
  world.crash(name);
  world.at(
    world.rng.real(500, 2_500),
    () => world.nodes.get(name) ?? world.boot(name),
  );
}

test("the same while leaders change", () => {
  for (const seed of [21, 22, 23, 24])
    expectReassignedAndDone(
      seed,
      removedController(seed, (world) => {
        for (let atMs = 32_000; atMs < 60_000; atMs += 3_000)
          world.at(atMs, () => restartOne(world));
      }),
    );
});

test("gangs that are cancelled while their parts are reassigned are gone for good", () => {
  for (const seed of [31, 32, 33, 34]) {
    const day = removedController(seed, (world, gangs) => {
      for (const { id } of gangs.filter((_, n) => n % 2 === 0))
        world.at(world.rng.real(36_000, 48_000), () => cancel(world, id));
    });
    expectReassignedAndDone(seed, day);
    const ended = day.gangs.filter(
      ({ id }) => day.world.checker.told.get(id) === "cancelled",
    );
    assert.ok(ended.length > 0);
  }
});

/** The removed controller is there again, with its zone. */
function nameAgain(world: World): void {
  const names = [...world.names];
  world.at(world.rng.real(38_000, 56_000), () => {
    world.reconfigure(names, world.settings.teams);
    for (const name of names) {
      world.crash(name);
      world.boot(name);
    }
  });
}

test("the removed controller is named again while its parts are given away: no rule is broken", () => {
  let reassigned = 0;
  for (const seed of [41, 42, 43, 44, 45, 46]) {
    const day = removedController(seed, nameAgain, { looksForWaiting: false });
    reassigned += day.reassigned.size;
  }
  assert.ok(reassigned > 0, "parts were given away in none of these days");
});

// A gang that one partition held whole waits for good for a second zone, once the partition has lost one of its two to a controller that is
// named again.
test("a gang with spread is not left waiting in a partition that has lost a zone to another", () => {
  removedController(43, nameAgain);
});

test("a controller of the version in production beside it breaks no rule", () => {
  for (const seed of [51, 52, 53])
    removedController(seed, () => {}, { production: ["node-b"] });
});
