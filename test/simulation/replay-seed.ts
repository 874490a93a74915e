import { failureScenario } from "./workloads.js";

// For looking into one seed of hunt.ts's failure scenarios: node target/test-build/test/simulation/replay-seed.js SEED [FILTER]
const [seed, filter] = process.argv.slice(2);
const w = failureScenario(Number(seed));
for (const l of w.logs)
  if (!filter || new RegExp(filter).test(l)) console.log(l);
console.log(w.checker.broken, w.starts);
