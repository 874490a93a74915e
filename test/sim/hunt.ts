import { badNights, pipelines, troubles, users } from "./days.js";
import { World } from "./world.js";

// Looks for seeds that break a rule: node target/test-build/test/sim/hunt.js KIND FROM TO, KIND: upgrade (days that begin with one) or nights
const kind = process.argv[2];
const [from, to] = process.argv.slice(3).map(Number);
for (let seed = from!; seed < to!; seed++) {
  const nights = kind === "nights";
  const w = nights ? new World(seed, undefined, [], (seed % 7) + 1) : new World(seed, undefined, ["node-a", "node-b", "node-c"]);
  for (const z of w.zones) w.cloud.add(w.types[0]!, z, false, 0);
  users(w, 150_000);
  if (nights) badNights(w, 190_000);
  else {
    w.rollout(w.rng.real(10_000, 30_000), w.rng.real(3_000, 12_000));
    w.at(w.rng.real(75_000, 110_000), () => (w.limitsFell = true));
    pipelines(w, 75_000, 170_000);
  }
  if (!nights || seed % 2 === 0) troubles(w, 190_000);
  // Troubles overlap: each is over 30 s before, or so it was said when it began.
  w.at(275_000, () => w.checker.remembers(200_000));
  w.run(330_000);
  const open = [...w.checker.told].filter(([id, s]) => s === "accepted" && w.specs.get(id)!.shape !== "daemon");
  if (w.checker.broken.length > 0 || open.length > 2) console.log(seed, w.checker.broken, "open", open.length, open.slice(0, 4).map(([id]) => id), "starts", w.starts);
}
