/**
 * Measurements, started by hand; all but the last in simulated time:
 * `node --expose-gc target/test-build/test/webhooks/measure.js`
 */
import { build, type Histogram } from "hdr-histogram-js";
import { WebhookWorld, LIMITS, type Receiver } from "./webhook-world.js";
import { Deployment } from "./processes.js";
import { Store } from "./store.js";

const print = (text: string): void => void process.stdout.write(`${text}\n`);
const quantiles = (histogram: Histogram): string =>
  `median ${histogram.getValueAtPercentile(50)} ms, 99% ${histogram.getValueAtPercentile(99)} ms, most ${histogram.maxValue} ms`;
const jobId = (i: number): string => `req-${String(i).padStart(6, "0")}`;
function deliveryDelays(
  world: WebhookWorld,
  receiver: Receiver,
  fromMs = 0,
  toMs = Infinity,
): Histogram {
  const histogram = build({
    highestTrackableValue: 100_000_000,
    numberOfSignificantValueDigits: 3,
  });
  for (const [job, end] of world.ended) {
    const receivedMs = receiver.firstReceivedMs.get(job);
    if (receivedMs !== undefined && end.atMs >= fromMs && end.atMs < toMs)
      histogram.recordValue(Math.max(1, Math.round(receivedMs - end.atMs)));
  }
  return histogram;
}

/** A controller writes 5 changes per second, 30% of them for webhooks. The end of a job takes 2 more, which are not counted. */
const CHANGES_PER_S = 5;
const WEBHOOK_SHARE = 0.3;
const limits = (valueBytes: number): typeof LIMITS => ({
  ...LIMITS,
  valueBytes,
  changesPerS: CHANGES_PER_S * WEBHOOK_SHARE,
  changesBurst: 4,
  settleEveryRevisions: 416,
  inFlight: 32,
  spoolBatches: 5_000,
});

/** Notifications per second that an outbox design allows for, measured for five minutes at the simulated store's limit. */
function measureOutbox(name: string, perCommit: number, changes: number): void {
  let nowMs = 0;
  const store = new Store(() => nowMs, {
    valueBytes: 8_192,
    txnOps: 12,
    changesPerS: CHANGES_PER_S,
    keptChanges: 10_000,
  });
  let sent = 0;
  for (; nowMs < 300_000; nowMs += 50) {
    // A commit that the limit refuses is sent again at once.
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
      (reply) => {
        if (reply.is === "committed") sent += perCommit;
      },
    );
  }
  print(
    `${name}: ${(sent / 300).toFixed(2)} notifications a second with all ${CHANGES_PER_S} changes, ${((sent / 300) * WEBHOOK_SHARE).toFixed(2)} with the webhooks' share`,
  );
}
print("outbox designs compared, one webhook, one controller:");
measureOutbox(
  "a record for each notification, put with the end, attempt written, deleted",
  1,
  3,
);
measureOutbox("the same for two hooks, one transaction", 2, 5);
measureOutbox("a record for each end, deleted after delivery", 1, 2);

for (const valueBytes of [1_800, 7_300]) {
  for (const webhooks of [1, 4]) {
    let bestPerS = 0;
    let summary = "";
    for (
      let endsPerS = 5;
      endsPerS <= 400;
      endsPerS = Math.ceil(endsPerS * 1.25)
    ) {
      const world = new WebhookWorld(
        3,
        { ...limits(valueBytes), parallel: 16 },
        1,
      );
      world.run(3_000);
      const receivers = Array.from({ length: webhooks }, (_, k) =>
        world.add(`h${k}`),
      );
      const fromMs = world.now;
      const changesBefore = world.store.changes;
      for (let i = 0; i < endsPerS * 120; i++)
        world.at((i * 1000) / endsPerS, () => world.end(jobId(i)));
      world.run(122_000);
      const keptUp = receivers.every(
        (r) => world.missing(r).length < endsPerS * 8,
      );
      if (!keptUp) break;
      bestPerS = endsPerS * webhooks;
      const webhookChanges =
        world.store.changes - changesBefore - world.ended.size;
      summary = `${(webhookChanges / (world.ended.size * webhooks)).toFixed(3)} changes each; ${quantiles(deliveryDelays(world, receivers[0]!, fromMs))}`;
    }
    print(
      `final records, cursor, window and spool, values of ${valueBytes} bytes, ${webhooks} hook(s): ${bestPerS} notifications a second with the webhooks' share; ${summary}`,
    );
  }
}

{
  const world = new WebhookWorld(5, limits(7_300), 3);
  world.run(3_000);
  const receiver = world.add("one");
  const fromMs = world.now;
  for (let i = 0; i < 200; i++) world.at(i * 5_000, () => world.end(jobId(i)));
  world.run(1_010_000);
  print(
    `idle, an end each 5 s: ${quantiles(deliveryDelays(world, receiver, fromMs))}`,
  );
  const burstMs = world.now;
  for (let i = 1_000; i < 2_000; i++) world.end(jobId(i));
  world.run(120_000);
  print(
    `a burst of 1,000 at once: ${quantiles(deliveryDelays(world, receiver, burstMs))}`,
  );
}
for (const parallel of [4, 16]) {
  const world = new WebhookWorld(6, { ...limits(7_300), parallel }, 3);
  world.run(3_000);
  const unreachable = world.add("away");
  const reachable = world.add("well");
  const startMs = world.now;
  globalThis.gc?.();
  unreachable.mode = "refused";
  const endsPerS = 50_000 / 3_600;
  for (let i = 0; i < 50_000; i++)
    world.at((i * 1000) / endsPerS, () => world.end(jobId(i)));
  const changesBefore = world.store.changes;
  world.run(3_601_000);
  const changesInHour = world.store.changes - changesBefore - world.ended.size;
  const batches = world.batchCount();
  const queueBytes = world.nodes.map(
    (n) =>
      JSON.stringify(
        (
          n.core as unknown as {
            deliveries: Map<
              string,
              { fresh: unknown; window: unknown; firstBatch: unknown }
            >;
          }
        ).deliveries.size > 0
          ? [
              ...(
                n.core as unknown as {
                  deliveries: Map<
                    string,
                    { fresh: unknown; window: unknown; firstBatch: unknown }
                  >;
                }
              ).deliveries.values(),
            ].map((d) => [d.fresh, d.window, d.firstBatch])
          : [],
      ).length,
  );
  print(
    `${parallel} in parallel: away for an hour, ${world.ended.size} ends: ${changesInHour} changes for both hooks, ${batches} batches kept, ${unreachable.calls.length} attempts; queues in memory ${queueBytes.map((b) => `${Math.round(b / 1024)} KiB`).join(", ")}`,
  );
  print(
    `  the other receiver in that hour: ${quantiles(deliveryDelays(world, reachable, startMs))}`,
  );
  unreachable.mode = "healthy";
  const recoveredMs = world.now;
  while (
    world.missing(unreachable).length > 0 &&
    world.now - recoveredMs < 7_200_000
  )
    world.run(5_000);
  print(
    `  caught up after ${Math.round((world.now - recoveredMs) / 1000)} s; broken: ${world.violations.length}; lost: ${world.missing(unreachable).length}`,
  );
}

for (const webhooks of [false, true]) {
  const deployment = new Deployment(9);
  await deployment.start(3);
  if (webhooks)
    await deployment.ask("POST", "/v1/hooks", {
      name: "h",
      url: deployment.url,
      keys: ["k1"],
    });
  for (let i = 0; i < 50; i++) await deployment.endJob(i);
  const endTimes = build({
    highestTrackableValue: 100_000_000,
    numberOfSignificantValueDigits: 3,
  });
  const answeredMs = new Map<string, number>();
  for (let i = 100; i < 600; i++) {
    const startedMs = performance.now();
    const job = await deployment.endJob(i);
    endTimes.recordValue(Math.round((performance.now() - startedMs) * 1000));
    answeredMs.set(job, performance.now());
  }
  print(
    `real processes, submission and withdrawal one after the other, ${webhooks ? "one hook" : "no hook"}: median ${endTimes.getValueAtPercentile(50)} us, 99% ${endTimes.getValueAtPercentile(99)} us`,
  );
  if (webhooks) {
    await deployment.until("all", () => deployment.received.size >= 550);
    const deliveryTimes = build({
      highestTrackableValue: 100_000_000,
      numberOfSignificantValueDigits: 3,
    });
    for (const [job, answered] of answeredMs)
      deliveryTimes.recordValue(
        Math.max(
          1,
          Math.round(deployment.received.get(`h.${job}`)! - answered),
        ),
      );
    print(`  from the user's answer to delivery: ${quantiles(deliveryTimes)}`);
  }
  await deployment.stop();
}
