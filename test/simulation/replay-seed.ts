import { playFailureScenario } from "./workloads.js";

// Prints the log of one seed of hunt.ts's failure scenarios, optionally only lines that match FILTER: node target/test-build/test/simulation/replay-seed.js SEED [FILTER]
const [seed, filter] = process.argv.slice(2);
const world = playFailureScenario(Number(seed));
for (const l of world.logs)
  if (!filter || new RegExp(filter).test(l)) console.log(l);
console.log(world.checker.brokenRules, world.starts);
