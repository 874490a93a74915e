import { badNights, troubles, users } from "./days.js";
import { World } from "./world.js";

// For looking into one seed of hunt.ts's nights: node target/test-build/test/sim/one.js SEED [FILTER]
const [seedText, filter] = process.argv.slice(2);
const seed = Number(seedText);
const w = new World(seed, undefined, [], (seed % 7) + 1);
for (const z of w.zones) w.cloud.add(w.types[0]!, z, false, 0);
users(w, 150_000);
badNights(w, 190_000);
if (seed % 2 === 0) troubles(w, 190_000);
w.at(275_000, () => w.checker.remembers(200_000));
w.run(330_000);
for (const l of w.logs) if (!filter || new RegExp(filter).test(l)) console.log(l);
console.log(w.checker.broken, w.starts);
