import assert from "node:assert/strict";
import { test } from "node:test";
import {
  backfillTarget,
  idleAmounts,
  QuotaBackfill,
} from "../../../src/coordination/quota/quota-backfill.js";
import type { WaitingTasks } from "../../../src/coordination/quota/quota-demand.js";
import { QuotaReservations } from "../../../src/coordination/quota/quota-reservations.js";
import { LimitedWorld } from "./limited-world.js";

// Idle quota is lent to jobs that fit into it, and quota is reserved for large jobs whose start is overdue: docs/design/limits.md.

/** Design goal: no job waits for 90 s while there is capacity for it. */
const MAX_SMALL_WAIT_S = 90;
/** Design goal: the largest jobs begin within four minutes. */
const MAX_LARGE_WAIT_S = 240;
const CONTROLLER_COUNTS = [1, 2, 3, 5, 7];

const waitingTasks = (
  cpus: number,
  units: number,
  overrides: Partial<WaitingTasks> = {},
): WaitingTasks => ({
  need: [cpus * units, 0],
  queueOrderMs: 0,
  readyAt: 0,
  isStartable: true,
  unit: [cpus, 0],
  units,
  isPartOfGang: false,
  ...overrides,
});

test("idle quota is what no waiting task can use, in queue order", () => {
  assert.deepEqual(idleAmounts([waitingTasks(4, 3)], [2.8, 1]), [2.8, 1]);
  assert.deepEqual(idleAmounts([waitingTasks(4, 3)], [6.8, 0]), [2.8, 0]);
  assert.deepEqual(
    idleAmounts([waitingTasks(4, 3), waitingTasks(1, 2)], [2.8, 0]),
    [0.8, 0],
  );
  assert.deepEqual(
    idleAmounts([waitingTasks(1, 1), waitingTasks(4, 1)], [4, 0]),
    [3, 0],
  );
  const unlimited = idleAmounts([waitingTasks(4, 1)], [2, Infinity]);
  assert.deepEqual(unlimited, [2, 0], "unlimited resources are not lent");
  assert.deepEqual(
    idleAmounts([waitingTasks(2, 1, { isPartOfGang: true })], [2, 0]),
    [2, 0],
    "quota for one part of a spread gang starts nothing",
  );
});

test("idle quota is requested only if tasks can start with it, and for as many tasks as can", () => {
  assert.equal(backfillTarget([waitingTasks(1, 5)], [0, 0], [0, 0]), null);
  assert.equal(backfillTarget([waitingTasks(4, 5)], [0, 0], [2.8, 0]), null);
  assert.deepEqual(
    backfillTarget([waitingTasks(4, 1), waitingTasks(1, 5)], [0, 0], [2.8, 0]),
    {
      need: [2, 0],
      missing: [2, 0],
    },
  );
  assert.deepEqual(backfillTarget([waitingTasks(1, 5)], [0.5, 0], [2.8, 0]), {
    need: [3, 0],
    missing: [2.5, 0],
  });
  const acceleratedTask = waitingTasks(1, 1, { unit: [1, 1], need: [1, 1] });
  assert.equal(backfillTarget([acceleratedTask], [0, 0], [5, 0]), null);
  assert.deepEqual(backfillTarget([acceleratedTask], [0, 3], [5, 0]), {
    need: [1, 1],
    missing: [1, 0],
  });
  const withoutSlot = waitingTasks(1, 5, { isStartable: false });
  assert.equal(backfillTarget([withoutSlot], [0, 0], [5, 0]), null);
});

/** Larger and older tasks in one zone leave 2 of 10 CPUs unused; small tasks arrive in another zone. */
function runSmallBesideLarge(controllers: number): {
  day: LimitedWorld;
  startedAfterS: number;
} {
  const day = new LimitedWorld({
    seed: 40 + controllers,
    controllers,
    cpusMax: 10,
    runFactor: 30,
  });
  day.submit(10_000, { zone: "east", tasks: 20, cpus: 4, estimateS: 5 });
  const small = day.submit(40_000, { zone: "mid", tasks: 8, estimateS: 600 });
  day.run(160_000, 40_000);
  return { day, startedAfterS: day.startedAfterS(small, 40_000) };
}

// Small tasks waited as long as the larger and older tasks of their team, whose partition left the rest of the limit idle.
test("small tasks start beside larger tasks of their team that can't use the rest of the limit, with 1, 2, 3, 5 and 7 controllers", () => {
  for (const controllers of CONTROLLER_COUNTS) {
    const { day, startedAfterS } = runSmallBesideLarge(controllers);
    assert.ok(
      startedAfterS < MAX_SMALL_WAIT_S,
      `${controllers} controllers: ${startedAfterS} s`,
    );
    const transfers = day.transfersSince(60_000);
    assert.ok(
      transfers.length < 20,
      `${controllers} controllers: quota moves back and forth\n${transfers.join("\n")}`,
    );
  }
});

test("guard: idle quota is lent", () => {
  const { lendable } = QuotaBackfill.prototype;
  QuotaBackfill.prototype.lendable = () => [0, 0];
  try {
    assert.ok(runSmallBesideLarge(3).startedAfterS > MAX_SMALL_WAIT_S);
  } finally {
    QuotaBackfill.prototype.lendable = lendable;
  }
});

test("idle quota of three partitions together starts small tasks in a fourth", () => {
  const day = new LimitedWorld({
    seed: 50,
    controllers: 5,
    cpusMax: 15,
    runFactor: 30,
  });
  // Each of the three partitions ends up with 5 CPUs, one of which it can't use.
  for (const zone of ["east", "mid", "west"])
    day.submit(10_000, { zone, tasks: 20, cpus: 4, estimateS: 5 });
  const small = day.submit(45_000, {
    zone: "attic",
    tasks: 3,
    cpus: 2,
    estimateS: 600,
  });
  day.run(150_000, 45_000);
  assert.ok(day.startedAfterS(small, 45_000) < MAX_SMALL_WAIT_S);
});

test("idle quota of accelerators is lent", () => {
  const day = new LimitedWorld({
    seed: 51,
    controllers: 2,
    cpusMax: 100,
    gpusMax: 5,
    machinesPerZone: 2,
    machineType: "big",
    runFactor: 30,
  });
  day.submit(10_000, {
    zone: "east",
    tasks: 10,
    cpus: 2,
    gpus: 2,
    estimateS: 5,
  });
  const small = day.submit(40_000, {
    zone: "mid",
    tasks: 3,
    gpus: 1,
    estimateS: 600,
  });
  day.run(150_000, 40_000);
  assert.ok(day.startedAfterS(small, 40_000) < MAX_SMALL_WAIT_S);
});

test("a leader crash and an unreachable machine while quota is lent: the limit holds, and the small tasks start", () => {
  for (const seed of [60, 61, 62, 63]) {
    const day = new LimitedWorld({
      seed,
      controllers: 3,
      cpusMax: 10,
      runFactor: 30,
    });
    const { world } = day;
    day.submit(10_000, { zone: "east", tasks: 20, cpus: 4, estimateS: 5 });
    const small = day.submit(40_000, { zone: "mid", tasks: 8, estimateS: 600 });
    let isLent = false;
    world.every(20, () => {
      const lent = day
        .transfersSince(40_000)
        .find((line) => line.includes("backfill"));
      if (!lent || isLent) return;
      isLent = true;
      const [, lender = ""] = lent.split(" ");
      world.at(world.rng.real(0, 400), () => world.crash(lender));
      world.at(5_000, () => world.boot(lender));
      const machine = world.workers.find(
        (w) => w.zone === "mid" && w.tasks.size === 0,
      );
      assert.ok(machine);
      for (const name of world.names) machine.cut.add(name);
      world.at(15_000, () => machine.cut.clear());
    });
    day.run(180_000, 70_000);
    assert.ok(isLent);
    assert.ok(
      day.startedAfterS(small, 40_000) < MAX_SMALL_WAIT_S,
      `seed ${seed}`,
    );
  }
});

/** Seconds until a gang that needs 8 of 10 CPUs begins, beside a stream of small tasks that use the whole limit. */
function startOfGangBesideStreamS(controllers: number): number {
  const day = new LimitedWorld({
    seed: 70 + controllers,
    controllers,
    cpusMax: 10,
    runFactor: 4,
  });
  const { world } = day;
  for (let atMs = 5_000; atMs < 280_000; atMs += 1_500)
    day.submit(atMs, {
      zone: world.rng.pick(["east", "mid", "west"]),
      estimateS: 25,
    });
  const gang = day.submit(30_000, {
    kind: "gang",
    zone: "east",
    tasks: 4,
    cpus: 2,
  });
  day.run(30_000 + 1_000 * MAX_LARGE_WAIT_S, 30_000);
  return day.startedAfterS(gang, 30_000);
}

// Lending idle quota must not starve large jobs: quota is reserved for a job that has waited for long.
test("a large gang begins within four minutes beside a stream of small tasks of its team, with 1, 2, 3, 5 and 7 controllers", () => {
  for (const controllers of CONTROLLER_COUNTS) {
    const startedAfterS = startOfGangBesideStreamS(controllers);
    assert.ok(
      startedAfterS < MAX_LARGE_WAIT_S,
      `${controllers} controllers: ${startedAfterS} s`,
    );
  }
});

// A large gang that had its quota and waited for machines only held back all other jobs of its team in its partition.
test("a large gang that only waits for machines holds nobody back", () => {
  const { isHeldBack } = QuotaReservations.prototype;
  let heldBack = 0;
  QuotaReservations.prototype.isHeldBack = function (job) {
    const isHeld = isHeldBack.call(this, job);
    if (isHeld) heldBack++;
    return isHeld;
  };
  try {
    const day = new LimitedWorld({
      seed: 80,
      controllers: 2,
      cpusMax: 1_000,
      machinesPerZone: 1,
      runFactor: 10,
    });
    day.world.capacity = 1;
    for (let atMs = 5_000; atMs < 200_000; atMs += 2_000)
      day.submit(atMs, { zone: "east", tasks: 2, estimateS: 25 });
    const gang = day.submit(10_000, {
      kind: "gang",
      zone: "east",
      tasks: 3,
      cpus: 4,
    });
    day.run(250_000, 250_000);
    assert.equal(
      day.startedAfterS(gang, 10_000),
      Infinity,
      "the machines have no capacity for it",
    );
    assert.equal(heldBack, 0);
  } finally {
    QuotaReservations.prototype.isHeldBack = isHeldBack;
  }
});

test("guard: quota is reserved for a large gang", () => {
  const { inForce } = QuotaReservations.prototype;
  QuotaReservations.prototype.inForce = () => null;
  try {
    assert.ok(startOfGangBesideStreamS(3) > MAX_LARGE_WAIT_S);
  } finally {
    QuotaReservations.prototype.inForce = inForce;
  }
});
