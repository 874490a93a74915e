import assert from "node:assert/strict";
import { test } from "node:test";
import type { JobSpec } from "../../../src/coordination/model.js";
import { cancel, randomJob, submit } from "../../simulation/workloads.js";
import { describeWorkload } from "../../simulation/guards.js";
import { World } from "../../simulation/world.js";

// Parts of gangs with `spread` in the partition of a removed controller are reassigned to other partitions. Without that, no leader would
// ever start them, and the gangs would wait forever (docs/incidents/orphaned-gang-parts.md).

const CONTROLLERS = 5;
const GANGS = 10;
const REMOVED_MS = 20_000;
/** All remaining controllers have been restarted with the new settings. */
const RESTARTED_MS = 26_000;
/** Time when the faults of these tests have ended. */
const FAULTS_END_MS = 70_000;
const END_MS = 200_000;

/** Runs a simulation in which gangs with `spread` wait for machines in all partitions and the last controller is removed. */
function runWithRemovedController(
  seed: number,
  injectFaults: (world: World, gangs: readonly JobSpec[]) => void = () => {},
  {
    production = [],
    checksWaitingJobs = true,
  }: { production?: readonly string[]; checksWaitingJobs?: boolean } = {},
): { world: World; gangs: JobSpec[]; reassigned: Set<string> } {
  const world = new World(seed, undefined, production, CONTROLLERS);
  world.capacity = 0;
  const gangs = Array.from({ length: GANGS }, (_, i) => spreadGang(world, i));
  for (const gang of gangs) {
    world.specs.set(gang.id, gang);
    world.at(world.rng.real(5_000, 15_000), () =>
      submit(world, gang, world.now),
    );
  }
  const remaining = world.names.slice(0, -1);
  world.at(REMOVED_MS, () => {
    world.crash(world.names.at(-1)!);
    world.reconfigure(remaining, world.settings.teams);
  });
  for (const [index, name] of remaining.entries())
    world.at(REMOVED_MS + 1_000 * (index + 1), () => {
      world.crash(name);
      world.boot(name);
    });
  world.at(RESTARTED_MS, () => (world.capacity = 12));
  injectFaults(world, gangs);
  if (checksWaitingJobs)
    world.at(FAULTS_END_MS, () =>
      world.every(1_000, () => world.checker.checkNoneLeftWaiting()),
    );
  world.run(END_MS);
  assert.deepEqual(
    world.checker.brokenRules,
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

const spreadGang = (world: World, index: number): JobSpec => ({
  ...randomJob(world, index + 1),
  kind: "gang",
  jobClass: "gangs",
  priority: "normal",
  tasks: 2 + (index % 3),
  cpus: 2,
  gpus: 0,
  machineTypes: null,
  zone: null,
  samePlace: false,
  spread: true,
  spot: false,
  deadlineS: null,
});

type RunResult = ReturnType<typeof runWithRemovedController>;

/** Expects every gang to be done that was not cancelled. */
function expectDone(
  seed: number,
  { world, gangs }: Omit<RunResult, "reassigned">,
): void {
  for (const { id } of gangs)
    if (world.checker.toldStates.get(id) !== "cancelled")
      assert.ok(
        world.checker.isDone(id),
        `seed ${seed}: ${id}\n${describeWorkload(world)}`,
      );
}

function expectReassignedAndDone(seed: number, result: RunResult): void {
  assert.ok(
    result.reassigned.size > 0,
    `seed ${seed}: no gang had a part in the removed partition`,
  );
  expectDone(seed, result);
}

test("parts of gangs with spread in a removed partition are reassigned, and all gangs are done", () => {
  for (const seed of [1, 2, 3, 4])
    expectReassignedAndDone(seed, runWithRemovedController(seed));
});

test("parts in a removed partition are reassigned while transactions are answered late or not at all", () => {
  for (const seed of [11, 12, 13, 14])
    expectReassignedAndDone(
      seed,
      runWithRemovedController(seed, (world) => {
        world.at(RESTARTED_MS, () => {
          world.lateCommitRate = 0.2;
          world.lostCommitReplyRate = 0.3;
        });
        world.at(FAULTS_END_MS - 15_000, () => {
          world.lateCommitRate = 0;
          world.lostCommitReplyRate = 0;
        });
      }),
    );
});

/** Restarts a randomly chosen controller. */
function restartOne(world: World): void {
  const name = world.rng.pick(world.names);
  world.crash(name);
  world.at(
    world.rng.real(500, 2_500),
    () => world.nodes.get(name) ?? world.boot(name),
  );
}

test("parts in a removed partition are reassigned while leaders change", () => {
  for (const seed of [21, 22, 23, 24])
    expectReassignedAndDone(
      seed,
      runWithRemovedController(seed, (world) => {
        for (let atMs = 32_000; atMs < 60_000; atMs += 3_000)
          world.at(atMs, () => restartOne(world));
      }),
    );
});

test("gangs that are cancelled while their parts are reassigned stay cancelled", () => {
  for (const seed of [31, 32, 33, 34]) {
    const result = runWithRemovedController(seed, (world, gangs) => {
      for (const { id } of gangs.filter((_, index) => index % 2 === 0))
        world.at(world.rng.real(36_000, 48_000), () => cancel(world, id));
    });
    expectReassignedAndDone(seed, result);
    const cancelled = result.gangs.filter(
      ({ id }) => result.world.checker.toldStates.get(id) === "cancelled",
    );
    assert.ok(cancelled.length > 0);
  }
});

/** Adds the removed controller to the settings again, with its zone. */
function restoreController(world: World): void {
  const names = [...world.names];
  world.at(world.rng.real(38_000, 56_000), () => {
    world.reconfigure(names, world.settings.teams);
    for (const name of names) {
      world.crash(name);
      world.boot(name);
    }
  });
}

test("the removed controller is added again while its parts are reassigned: no rule is broken", () => {
  let reassigned = 0;
  for (const seed of [41, 42, 43, 44, 45, 46]) {
    const result = runWithRemovedController(seed, restoreController, {
      checksWaitingJobs: false,
    });
    reassigned += result.reassigned.size;
  }
  assert.ok(reassigned > 0, "no part was reassigned in any of these runs");
});

// A gang whose tasks are all in one partition waits forever for a second zone if the partition loses one of its two zones to a controller
// that is added again.
test("a gang with spread is not left waiting in a partition that has lost a zone to another", () => {
  runWithRemovedController(43, restoreController);
});

test("no rule is broken beside a controller of the version in production", () => {
  for (const seed of [51, 52, 53])
    runWithRemovedController(seed, () => {}, { production: ["node-b"] });
});
