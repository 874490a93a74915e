import { night, pipelines, troubles, users } from "./days.js";
import { World } from "./world.js";

// Looks for seeds that break a rule: node target/test-build/test/sim/hunt.js KIND FROM TO, KIND: upgrade (days that begin with one) or nights
const kind = process.argv[2];
const [from, to] = process.argv.slice(3).map(Number);

function upgrade(seed: number): World {
  const w = new World(seed, undefined, ["node-a", "node-b", "node-c"]);
  for (const z of w.zones) w.cloud.add(w.types[0]!, z, false, 0);
  users(w, 150_000);
  w.rollout(w.rng.real(10_000, 30_000), w.rng.real(3_000, 12_000));
  w.at(w.rng.real(75_000, 110_000), () => (w.limitsFell = true));
  pipelines(w, 75_000, 170_000);
  troubles(w, 190_000);
  w.at(275_000, () => w.checker.remembers(200_000));
  w.run(330_000);
  return w;
}

for (let seed = from!; seed < to!; seed++) {
  const w = kind === "nights" ? night(seed) : upgrade(seed);
  const open = w.checker.unfinished();
  if (w.checker.broken.length > 0 || open.length > 2) console.log(seed, w.checker.broken, "open", open.length, open.slice(0, 4), "starts", w.starts);
}
