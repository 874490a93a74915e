import { troubles, users } from "./days.js";
import { World } from "./world.js";

// For looking into one seed: node target/test-build/test/sim/one.js SEED [FILTER] [quiet]
const [seed, filter, quiet] = process.argv.slice(2);
const w = new World(Number(seed));
for (const z of w.zones) w.cloud.add(w.types[0]!, z, false, 0);
users(w, 168_000);
if (!quiet) troubles(w, 168_000);
w.run(240_000);
for (const l of w.logs) if (!filter || l.includes(filter)) console.log(l);
console.log(w.checker.broken, w.starts);
