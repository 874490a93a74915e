import { pipelines, troubles, users } from "./days.js";
import { World } from "./world.js";

// Looks for seeds that break a rule, on days that begin with an upgrade: node target/test-build/test/sim/hunt.js FROM TO
const [from, to] = process.argv.slice(2).map(Number);
for (let seed = from!; seed < to!; seed++) {
  const w = new World(seed, undefined, ["node-a", "node-b", "node-c"]);
  for (const z of w.zones) w.cloud.add(w.types[0]!, z, false, 0);
  users(w, 150_000);
  w.rollout(w.rng.real(10_000, 30_000), w.rng.real(3_000, 12_000));
  w.at(w.rng.real(75_000, 110_000), () => (w.limitsFell = true));
  pipelines(w, 75_000, 170_000);
  troubles(w, 190_000);
  w.run(330_000);
  const open = [...w.checker.told].filter(([id, s]) => s === "accepted" && w.specs.get(id)!.shape !== "daemon").length;
  if (w.checker.broken.length > 0 || open > 2) console.log(seed, w.checker.broken, "open", open, "starts", w.starts);
}
