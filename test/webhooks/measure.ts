/** Measurements by hand, in simulated time but for the last: `node --expose-gc target/test-build/test/webhooks/measure.js`. */
import { build, type Histogram } from "hdr-histogram-js";
import { WebhookWorld, LIMITS, type Receiver } from "./webhook-world.js";
import { Deployment } from "./processes.js";
import { Store } from "./store.js";

const say = (text: string): void => void process.stdout.write(`${text}\n`);
const quantiles = (h: Histogram): string =>
  `median ${h.getValueAtPercentile(50)} ms, 99% ${h.getValueAtPercentile(99)} ms, most ${h.maxValue} ms`;
const id = (i: number): string => `req-${String(i).padStart(6, "0")}`;
function delays(
  w: WebhookWorld,
  r: Receiver,
  from = 0,
  to = Infinity,
): Histogram {
  const h = build({
    highestTrackableValue: 100_000_000,
    numberOfSignificantValueDigits: 3,
  });
  for (const [i, e] of w.ended) {
    const at = r.firstMs.get(i);
    if (at !== undefined && e.atMs >= from && e.atMs < to)
      h.recordValue(Math.max(1, Math.round(at - e.atMs)));
  }
  return h;
}

/** One controller's 5 changes a second, of which hooks have 30%; the end of a job itself takes 2 and is not counted. */
const CHANGES = 5;
const SHARE = 0.3;
const limits = (valueBytes: number): typeof LIMITS => ({
  ...LIMITS,
  valueBytes,
  changesPerS: CHANGES * SHARE,
  changesBurst: 4,
  settleEvery: 416,
  inFlight: 32,
  spoolBatches: 5_000,
});

/** What a way of keeping the outbox takes, run against the stand-in's limit for five minutes. */
function way(name: string, perCommit: number, changes: number): void {
  let now = 0;
  const store = new Store(() => now, {
    valueBytes: 8_192,
    txnOps: 12,
    changesPerS: CHANGES,
    keptChanges: 10_000,
  });
  let sent = 0;
  for (; now < 300_000; now += 50) {
    // Whoever waits for the limit sends again at once.
    store.handle(
      {
        op: "commit",
        conditions: [],
        writes: Array.from({ length: changes }, (_, k) => ({
          op: "put",
          key: `w/${k}`,
          value: 1,
        })),
      },
      (r) => {
        if (r.is === "committed") sent += perCommit;
      },
    );
  }
  say(
    `${name}: ${(sent / 300).toFixed(2)} notifications a second with all ${CHANGES} changes, ${((sent / 300) * SHARE).toFixed(2)} with the part that hooks have`,
  );
}
say("ways weighed, one hook, one controller:");
way(
  "a record for each notification, put with the end, attempt written, deleted",
  1,
  3,
);
way("the same for two hooks, one transaction", 2, 5);
way("a record for each end, deleted after delivery", 1, 2);

for (const valueBytes of [1_800, 7_300]) {
  for (const webhooks of [1, 4]) {
    let best = 0;
    let shown = "";
    for (let rate = 5; rate <= 400; rate = Math.ceil(rate * 1.25)) {
      const w = new WebhookWorld(3, { ...limits(valueBytes), parallel: 16 }, 1);
      w.run(3_000);
      const rs = Array.from({ length: webhooks }, (_, k) => w.add(`h${k}`));
      const from = w.now;
      const changes = w.store.changes;
      for (let i = 0; i < rate * 120; i++)
        w.at((i * 1000) / rate, () => w.end(id(i)));
      w.run(122_000);
      const kept = rs.every((r) => w.missing(r).length < rate * 8);
      if (!kept) break;
      best = rate * webhooks;
      const own = w.store.changes - changes - w.ended.size;
      shown = `${(own / (w.ended.size * webhooks)).toFixed(3)} changes each; ${quantiles(delays(w, rs[0]!, from))}`;
    }
    say(
      `final records, cursor, window and spool, values of ${valueBytes} bytes, ${webhooks} hook(s): ${best} notifications a second with the part that hooks have; ${shown}`,
    );
  }
}

{
  const w = new WebhookWorld(5, limits(7_300), 3);
  w.run(3_000);
  const r = w.add("one");
  const from = w.now;
  for (let i = 0; i < 200; i++) w.at(i * 5_000, () => w.end(id(i)));
  w.run(1_010_000);
  say(`idle, an end each 5 s: ${quantiles(delays(w, r, from))}`);
  const burst = w.now;
  for (let i = 1_000; i < 2_000; i++) w.end(id(i));
  w.run(120_000);
  say(`a burst of 1,000 at once: ${quantiles(delays(w, r, burst))}`);
}
for (const parallel of [4, 16]) {
  const w = new WebhookWorld(6, { ...limits(7_300), parallel }, 3);
  w.run(3_000);
  const away = w.add("away");
  const well = w.add("well");
  const before = w.now;
  globalThis.gc?.();
  away.mood = "refused";
  const rate = 50_000 / 3_600;
  for (let i = 0; i < 50_000; i++) w.at((i * 1000) / rate, () => w.end(id(i)));
  const changes = w.store.changes;
  w.run(3_601_000);
  const inHour = w.store.changes - changes - w.ended.size;
  const batches = w.webhookRecords();
  const held = w.nodes.map(
    (n) =>
      JSON.stringify(
        (
          n.core as unknown as {
            deliveries: Map<
              string,
              { fresh: unknown; window: unknown; front: unknown }
            >;
          }
        ).deliveries.size > 0
          ? [
              ...(
                n.core as unknown as {
                  deliveries: Map<
                    string,
                    { fresh: unknown; window: unknown; front: unknown }
                  >;
                }
              ).deliveries.values(),
            ].map((d) => [d.fresh, d.window, d.front])
          : [],
      ).length,
  );
  say(
    `${parallel} in parallel: away for an hour, ${w.ended.size} ends: ${inHour} changes for both hooks, ${batches} batches kept, ${away.calls.length} attempts; queues in memory ${held.map((b) => `${Math.round(b / 1024)} KiB`).join(", ")}`,
  );
  say(
    `  the other receiver in that hour: ${quantiles(delays(w, well, before))}`,
  );
  away.mood = "well";
  const back = w.now;
  while (w.missing(away).length > 0 && w.now - back < 7_200_000) w.run(5_000);
  say(
    `  caught up after ${Math.round((w.now - back) / 1000)} s; broken: ${w.broken.length}; lost: ${w.missing(away).length}`,
  );
}

for (const webhooks of [false, true]) {
  const d = new Deployment(9);
  await d.start(3);
  if (webhooks)
    await d.ask("POST", "/v1/hooks", { name: "h", url: d.url, keys: ["k1"] });
  for (let i = 0; i < 50; i++) await d.end(i);
  const h = build({
    highestTrackableValue: 100_000_000,
    numberOfSignificantValueDigits: 3,
  });
  const ended = new Map<string, number>();
  for (let i = 100; i < 600; i++) {
    const from = performance.now();
    const e = await d.end(i);
    h.recordValue(Math.round((performance.now() - from) * 1000));
    ended.set(e, performance.now());
  }
  say(
    `real processes, submission and withdrawal one after the other, ${webhooks ? "one hook" : "no hook"}: median ${h.getValueAtPercentile(50)} us, 99% ${h.getValueAtPercentile(99)} us`,
  );
  if (webhooks) {
    await d.until("all", () => d.has.size >= 550);
    const t = build({
      highestTrackableValue: 100_000_000,
      numberOfSignificantValueDigits: 3,
    });
    for (const [e, at] of ended)
      t.recordValue(Math.max(1, Math.round(d.has.get(`h.${e}`)! - at)));
    say(`  from the user's answer to delivery: ${quantiles(t)}`);
  }
  await d.stop();
}
