import assert from "node:assert/strict";
import { test } from "node:test";
import { DEFAULTS } from "../../src/config/operator.js";
import { FINAL_PREFIX, readFinal } from "../../src/storage/records.js";
import { pipelines, submitWorkload } from "../simulation/workloads.js";
import { World } from "../simulation/world.js";
import { calm, WebhookWorld, LIMITS, faults } from "./webhook-world.js";

/** One seeded day: three receivers, injected faults of all kinds, a few hundred ends. */
function day(
  seed: number,
  broken = false,
): { w: WebhookWorld; left: string[] } {
  // Every fourth day the log of changes is so short that subscriptions fall behind it.
  const w = new WebhookWorld(
    seed,
    LIMITS,
    3,
    15,
    seed % 4 === 3 ? 120 : 10_000,
  );
  w.run(3_000);
  const all = w.add("all");
  const red = w.add("red-only", {
    crews: ["red"],
    outcomes: ["done"],
    ordered: true,
  });
  const asked = w.add("asked", { ask: true });
  const forMs = 180_000;
  w.lossy = 0.02;
  faults(w, forMs);
  let id = 0;
  for (let t = 0; t < forMs; t += w.rng.real(50, 1_200)) {
    const n = w.rng.chance(0.05) ? w.rng.int(5, 40) : 1;
    w.at(t, () => {
      for (let k = 0; k < n; k++)
        w.end(
          `req-${String(++id).padStart(6, "0")}`,
          w.rng.pick(["red", "blue"]),
          w.rng.chance(0.8) ? "done" : "cancelled",
          broken,
        );
    });
  }
  w.run(forMs);
  calm(w);
  for (
    let k = 0;
    k < 60 && w.missing(all).length + w.missing(asked).length > 0;
    k++
  )
    w.run(20_000);
  w.run(60_000);
  const wantsRed = (e: { team: string; outcome: string }): boolean =>
    e.team === "red" && e.outcome === "done";
  const left = [
    ...w.missing(all),
    ...w.missing(red, wantsRed),
    ...w.missing(asked),
  ];
  return { w, left };
}

test("seeded days: nothing is lost, one sender at a time, every repeat has a cause", () => {
  let repeats = 0;
  let sent = 0;
  for (let seed = 1; seed <= Number(process.env["HOOK_DAYS"] ?? 12); seed++) {
    const { w, left } = day(seed);
    assert.deepEqual(w.broken, [], `seed ${seed}`);
    assert.deepEqual(
      left,
      [],
      `seed ${seed}: lost, or sent without being asked for`,
    );
    for (const r of w.receivers.values()) {
      sent += r.has.size;
      repeats += r.calls.filter((c) => c.reason !== null).length;
    }
    // In order where that was asked for: the first arrival of each.
    const red = w.receivers.get("http://r-red-only.example.org/in")!;
    const arrived = [...red.has.keys()].map((id) => w.order.indexOf(id));
    if (seed % 4 !== 3)
      assert.deepEqual(
        arrived,
        [...arrived].sort((a, b) => a - b),
        `seed ${seed}: out of order`,
      );
    assert.equal(w.webhookRecords(), 0, `seed ${seed}: batches left behind`);
  }
  assert.ok(
    sent > 3_000 && repeats > 100,
    `${sent} sent, ${repeats} repeats: too quiet a test`,
  );
});

test("an outbox that is written after the end, instead of with it, is detected", () => {
  let lost = 0;
  for (let seed = 1; seed <= 2; seed++) lost += day(seed, true).left.length;
  assert.ok(lost > 0);
});

test("in each of the ways a job ends, its final record names what hooks need, in the commit that ends it", () => {
  const w = new World(21, { ...DEFAULTS, tellEnds: true }, []);
  submitWorkload(w, 150_000);
  pipelines(w, 5_000, 150_000);
  const ways = new Map<string, number>();
  // As the changes come: nothing may be put right later.
  const seen = new Set<string>();
  for (let t = 0; t < 240_000; t += 500) {
    w.run(t);
    for (const [key, d] of w.state.data) {
      if (!key.startsWith(FINAL_PREFIX) || seen.has(key)) continue;
      seen.add(key);
      const id = key.slice(FINAL_PREFIX.length);
      const spec = w.specs.get(id)!;
      const past = readFinal(d.value)!;
      assert.deepEqual(
        [past.end?.team, past.end?.class],
        [spec.team, spec.jobClass],
        id,
      );
      const way =
        past.status === "done"
          ? "done"
          : w.checker.asked.has(id)
            ? "withdrawn"
            : (w.dependsOn.get(id)?.length ?? 0) > 0
              ? "with one that it needs"
              : "other";
      ways.set(way, (ways.get(way) ?? 0) + 1);
    }
  }
  assert.deepEqual(w.checker.broken, []);
  assert.deepEqual([...ways.keys()].sort(), [
    "done",
    "with one that it needs",
    "withdrawn",
  ]);
  assert.ok(seen.size > 60, `${seen.size} ends`);
});
