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

// Idle quota is lent to work that fits into it, and quota is reserved for large work whose start is overdue: docs/design/limits.md.

/** From the stated aim: nobody waits for 90 s beside room. */
const SMALL_WITHIN_S = 90;
/** From the stated aim: the largest jobs begin within four minutes. */
const LARGE_WITHIN_S = 240;
const CONTROLLERS = [1, 2, 3, 5, 7];

const waiting = (
  cpus: number,
  units: number,
  over: Partial<WaitingTasks> = {},
): WaitingTasks => ({
  need: [cpus * units, 0],
  turnMs: 0,
  readyAt: 0,
  isStartable: true,
  unit: [cpus, 0],
  units,
  isPartOfGang: false,
  ...over,
});

test("idle is what no waiting task can use, in the order of turns", () => {
  assert.deepEqual(idleAmounts([waiting(4, 3)], [2.8, 1]), [2.8, 1]);
  assert.deepEqual(idleAmounts([waiting(4, 3)], [6.8, 0]), [2.8, 0]);
  assert.deepEqual(
    idleAmounts([waiting(4, 3), waiting(1, 2)], [2.8, 0]),
    [0.8, 0],
  );
  assert.deepEqual(idleAmounts([waiting(1, 1), waiting(4, 1)], [4, 0]), [3, 0]);
  const unlimited = idleAmounts([waiting(4, 1)], [2, Infinity]);
  assert.deepEqual(unlimited, [2, 0], "what has no limit is lent to nobody");
  assert.deepEqual(
    idleAmounts([waiting(2, 1, { isPartOfGang: true })], [2, 0]),
    [2, 0],
    "the part of a gang starts nothing alone",
  );
});

test("work asks for idle quota only if that completes it, and for as many tasks as it completes", () => {
  assert.equal(backfillTarget([waiting(1, 5)], [0, 0], [0, 0]), null);
  assert.equal(backfillTarget([waiting(4, 5)], [0, 0], [2.8, 0]), null);
  assert.deepEqual(
    backfillTarget([waiting(4, 1), waiting(1, 5)], [0, 0], [2.8, 0]),
    {
      need: [2, 0],
      lacks: [2, 0],
    },
  );
  assert.deepEqual(backfillTarget([waiting(1, 5)], [0.5, 0], [2.8, 0]), {
    need: [3, 0],
    lacks: [2.5, 0],
  });
  const accelerated = waiting(1, 1, { unit: [1, 1], need: [1, 1] });
  assert.equal(backfillTarget([accelerated], [0, 0], [5, 0]), null);
  assert.deepEqual(backfillTarget([accelerated], [0, 3], [5, 0]), {
    need: [1, 1],
    lacks: [1, 0],
  });
  const withoutPlace = waiting(1, 5, { isStartable: false });
  assert.equal(backfillTarget([withoutPlace], [0, 0], [5, 0]), null);
});

/** Larger, older work in east leaves 2 of 10 CPUs; small work comes to another zone. */
function smallBesideLarge(controllers: number): {
  day: LimitedWorld;
  beganAfterS: number;
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
  return { day, beganAfterS: day.begunS(small, 40_000) };
}

// Small work waited for as long as larger, older work of its team did, in whose partition the rest of the limit lay idle.
test("small work begins beside larger work of its team that can't use the rest of the limit, with 1, 2, 3, 5 and 7 controllers", () => {
  for (const controllers of CONTROLLERS) {
    const { day, beganAfterS } = smallBesideLarge(controllers);
    assert.ok(
      beganAfterS < SMALL_WITHIN_S,
      `${controllers} controllers: ${beganAfterS} s`,
    );
    const transfers = day.transfersSince(60_000);
    assert.ok(
      transfers.length < 20,
      `${controllers} controllers: quota goes to and fro\n${transfers.join("\n")}`,
    );
  }
});

test("guard: idle quota is lent", () => {
  const { lendable } = QuotaBackfill.prototype;
  QuotaBackfill.prototype.lendable = () => [0, 0];
  try {
    assert.ok(smallBesideLarge(3).beganAfterS > SMALL_WITHIN_S);
  } finally {
    QuotaBackfill.prototype.lendable = lendable;
  }
});

test("the rest of a limit that is scattered over three partitions starts small work in a fourth", () => {
  const day = new LimitedWorld({
    seed: 50,
    controllers: 5,
    cpusMax: 15,
    runFactor: 30,
  });
  // Each of three partitions has 5 CPUs in the end, of which it can't use one.
  for (const zone of ["east", "mid", "west"])
    day.submit(10_000, { zone, tasks: 20, cpus: 4, estimateS: 5 });
  const small = day.submit(45_000, {
    zone: "attic",
    tasks: 3,
    cpus: 2,
    estimateS: 600,
  });
  day.run(150_000, 45_000);
  assert.ok(day.begunS(small, 45_000) < SMALL_WITHIN_S);
});

test("the same with accelerators", () => {
  const day = new LimitedWorld({
    seed: 51,
    controllers: 2,
    cpusMax: 100,
    gpusMax: 5,
    machines: 2,
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
  assert.ok(day.begunS(small, 40_000) < SMALL_WITHIN_S);
});

test("a leader that ends and a machine that can't be reached while quota is lent: the limit holds, and the small work begins", () => {
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
    assert.ok(day.begunS(small, 40_000) < SMALL_WITHIN_S, `seed ${seed}`);
  }
});

/** A stream of small work takes all of the limit, and a gang comes that needs 8 of its 10 CPUs; s until it begins. */
function gangBesideStream(controllers: number): number {
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
  day.run(30_000 + 1_000 * LARGE_WITHIN_S, 30_000);
  return day.begunS(gang, 30_000);
}

// What lending takes from large work it gets back in time: quota is reserved for it once it has waited for long.
test("a large gang begins within four minutes beside a stream of small work of its team, with 1, 2, 3, 5 and 7 controllers", () => {
  for (const controllers of CONTROLLERS) {
    const beganAfterS = gangBesideStream(controllers);
    assert.ok(
      beganAfterS < LARGE_WITHIN_S,
      `${controllers} controllers: ${beganAfterS} s`,
    );
  }
});

// All work of the team stood still in a partition whose large gang had its quota and waited for machines.
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
      machines: 1,
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
    assert.equal(day.begunS(gang, 10_000), Infinity, "it has no room");
    assert.equal(heldBack, 0);
  } finally {
    QuotaReservations.prototype.isHeldBack = isHeldBack;
  }
});

test("guard: quota is reserved for a large gang", () => {
  const { inForce } = QuotaReservations.prototype;
  QuotaReservations.prototype.inForce = () => null;
  try {
    assert.ok(gangBesideStream(3) > LARGE_WITHIN_S);
  } finally {
    QuotaReservations.prototype.inForce = inForce;
  }
});
