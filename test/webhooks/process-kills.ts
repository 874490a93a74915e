/** A long run by hand: `node target/test-build/test/webhooks/process-kills.js SEED ENDS KILL_EVERY_MS`. */
import { kills } from "./processes.js";

const [seed = 1, ends = 3_000, every = 1_500] = process.argv
  .slice(2)
  .map(Number);
const r = await kills(seed, ends, every, 8);
const repeats = r.d.calls.filter((c) => c.repeat !== null);
const by = new Map<string, number>();
for (const c of repeats) by.set(c.repeat!, (by.get(c.repeat!) ?? 0) + 1);
process.stdout.write(
  `${r.ended.length} ends, ${r.kills} kills, ${r.d.calls.length} calls, ${repeats.length} repeats ${JSON.stringify(Object.fromEntries(by))}, ${r.d.logErrors.length} errors logged\n${r.wrong.join("\n") || "ledger: nothing lost, every repeat explained"}\n`,
);
process.exitCode = r.wrong.length > 0 ? 1 : 0;
