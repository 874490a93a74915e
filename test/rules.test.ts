import assert from "node:assert/strict";
import { test } from "node:test";
import { Master } from "../src/coordination/master.js";
import { Ownership } from "../src/coordination/ownership.js";
import { randomJob, troubles, users } from "./sim/days.js";
import { World } from "./sim/world.js";

const DAY_MS = 240_000;

function day(seed: number, withTroubles: boolean): World {
  const w = new World(seed);
  for (const z of w.zones) w.cloud.add(w.types[0]!, z, false, 0);
  users(w, DAY_MS * 0.7);
  if (withTroubles) troubles(w, DAY_MS * 0.7);
  w.run(DAY_MS);
  return w;
}

const report = (w: World, seed: number): string => `seed ${seed}: ${w.checker.broken.join("; ")}\n${w.logs.slice(-30).join("\n")}`;

test("a quiet day keeps the rules and finishes its work", () => {
  for (let seed = 1; seed <= 4; seed++) {
    const w = day(seed, false);
    assert.deepEqual(w.checker.broken, [], report(w, seed));
    const open = [...w.checker.told].filter(([id, s]) => s === "accepted" && w.specs.get(id)!.shape !== "daemon");
    assert.ok(w.starts > 100, `only ${w.starts} starts`);
    assert.deepEqual(open, [], `unfinished: ${open.map(([id]) => JSON.stringify(w.specs.get(id))).join("\n")}\n${w.logs.slice(-20).join("\n")}`);
  }
});

test("days full of troubles keep the rules", () => {
  let starts = 0;
  for (let seed = 100; seed < 125; seed++) {
    const w = day(seed, true);
    assert.deepEqual(w.checker.broken, [], report(w, seed));
    starts += w.starts;
  }
  assert.ok(starts > 2_000, `only ${starts} starts`);
});

/** Breaks something on purpose and expects the checker to notice within some seeds. */
function mustCatch(rule: string, breakIt: () => () => void): void {
  const mend = breakIt();
  try {
    for (let seed = 200; seed < 240; seed++) if (day(seed, true).checker.broken.some((b) => b.startsWith(rule))) return;
  } finally {
    mend();
  }
  assert.fail(`${rule} was not caught`);
}

test("the checker catches a master without a fence", () => {
  mustCatch("ran_twice", () => {
    const proto = Master.prototype as unknown as { mayStart: (j: { gone: boolean; waiting: { isEmpty: boolean } }) => boolean };
    const before = proto.mayStart;
    proto.mayStart = (j) => !j.gone && !j.waiting.isEmpty;
    return () => (proto.mayStart = before);
  });
});

test("the checker catches shares that ignore the other groups", () => {
  mustCatch("quota", () => {
    const before = Master.prototype.share;
    Master.prototype.share = function (team) {
      const [c, g] = before.call(this, team);
      return [c * 3, g * 3];
    };
    return () => (Master.prototype.share = before);
  });
});

/** A master that the state service refuses for a minute, while a job on its machines is cancelled elsewhere. */
function cancelBehindBack(): World {
  const w = new World(7);
  w.loss = 0;
  for (const z of w.zones) w.cloud.add(w.types[0]!, z, false, 0);
  const spec = { ...randomJob(w, 1), shape: "daemon" as const, tasks: 1, cpus: 2, gpus: 0, types: null, zone: "east", samePlace: false, spread: false };
  w.specs.set(spec.id, spec);
  w.at(3_000, () => w.ask("node-b", (req) => ({ is: "submit", req, spec }), (a) => assert.equal(a?.is, "job")));
  w.at(15_000, () => w.stateCut.set("node-a", "refused"));
  w.at(16_000, () => {
    assert.ok(w.starts > 0, "the job runs");
    w.checker.asked.add(spec.id);
    w.ask("node-b", (req) => ({ is: "withdraw", req, id: spec.id }), (a) => a?.is === "job" && w.checker.answered(spec.id, a.state, w.now));
  });
  w.at(75_000, () => w.stateCut.delete("node-a"));
  w.run(90_000);
  assert.equal(w.checker.told.get(spec.id), "cancelled");
  return w;
}

test("a master that can't read cancellations lets its leases run out in time", () => {
  const w = cancelBehindBack();
  assert.deepEqual(w.checker.broken, [], report(w, 7));
});

test("the checker catches orders without a permit", () => {
  const before = Ownership.prototype.permitted;
  Ownership.prototype.permitted = () => true;
  try {
    assert.match(cancelBehindBack().checker.broken.join(), /ran_cancelled/);
  } finally {
    Ownership.prototype.permitted = before;
  }
});
