/**
 * A long run of the test that kills processes, started by hand:
 * `node target/test-build/test/webhooks/process-kills.js SEED ENDS KILL_EVERY_MS`
 */
import { runKills } from "./processes.js";

const [seed = 1, ends = 3_000, killEveryMs = 1_500] = process.argv
  .slice(2)
  .map(Number);
const result = await runKills(seed, ends, killEveryMs, 8);
const repeats = result.deployment.calls.filter((c) => c.repeat !== null);
const repeatsByReason = new Map<string, number>();
for (const call of repeats)
  repeatsByReason.set(
    call.repeat!,
    (repeatsByReason.get(call.repeat!) ?? 0) + 1,
  );
process.stdout.write(
  `${result.ended.length} ends, ${result.killCount} kills, ${result.deployment.calls.length} calls, ${repeats.length} repeats ${JSON.stringify(Object.fromEntries(repeatsByReason))}, ${result.deployment.logErrors.length} errors logged\n${result.errors.join("\n") || "ledger: nothing lost, every repeat explained"}\n`,
);
process.exitCode = result.errors.length > 0 ? 1 : 0;
