import { troubles, users } from "./days.js";
import { World } from "./world.js";

// Looks for seeds that break a rule: node target/test-build/test/sim/hunt.js FROM TO
const [from, to] = process.argv.slice(2).map(Number);
for (let seed = from!; seed < to!; seed++) {
  const w = new World(seed);
  for (const z of w.zones) w.cloud.add(w.types[0]!, z, false, 0);
  users(w, 168_000);
  troubles(w, 168_000);
  w.run(240_000);
  const open = [...w.checker.told].filter(([id, s]) => s === "accepted" && w.specs.get(id)!.shape !== "daemon").length;
  if (w.checker.broken.length > 0 || open > 2) console.log(seed, w.checker.broken, "open", open, "starts", w.starts);
}
