// A webhook is removed while its receiver is away: another webhook of the same receiver must go on once it is back.
import { createHash } from "node:crypto";
import { claimdesk, newJob, sleep } from "../lib/deployment.mjs";
import { CannotRun, runCase, TROUBLE } from "../lib/case.mjs";
import { Receiver } from "../lib/receiver.mjs";

/** Far more than the longest pauses between attempts (4 s and 4 s) and the time limit of an attempt (4 s) together. */
const DELIVERED_WITHIN_MS = 45_000;
/** deploy/hooks.textpb, with the receiver on loopback and with short pauses. */
const OPERATOR = `metrics: true
hooks {
  key { id: "main" variable: "LINENCOVE_HOOK_KEY" }
  allow: "127.0.0.0/8" allow_http: true
  deadline_s: 4 horizon_s: 259200
  retry_base_s: 1 retry_most_s: 4 breaker_base_s: 1 breaker_most_s: 4
}
`;
const ZONES = ["piarco", "chaguaramas", "san-fernando"];

/** A webhook's name decides one of 16 lanes, and a lane is sent by one controller: two names of one lane have the same sender. */
const laneOf = (name) => createHash("sha256").update(`sub ${name}`).digest().readUInt32BE(0) % 16;
const names = ["alerts-0"];
for (let i = 1; names.length < 2; i++) if (laneOf(`alerts-${i}`) === laneOf(names[0])) names.push(`alerts-${i}`);

await runCase(
  import.meta.url, claimdesk(),
  { operator: OPERATOR, env: { LINENCOVE_HOOK_KEY: Buffer.alloc(32, 7).toString("base64") }, fetchS: 0.2 },
  async (d) => {
    await d.start(ZONES.map((zone) => ["counterbox", zone]));
    if (!(await d.ready())) throw new CannotRun("controllers are not ready");
    await sleep(2_500);
    const receiver = new Receiver((text) => d.note(text));
    await receiver.listen();
    for (const name of names) {
      const added = await d.ask(0, "POST", "/v1/hooks", { name, url: receiver.url, keys: ["main"] }, 5_000, false);
      if (added?.status !== 201) throw new CannotRun("no webhook");
    }
    await sleep(2_500);
    const ids = [];
    const submit = async (n) => {
      const body = newJob(d.truth, n, { runMs: 200 });
      for (let i = n; ; i++) {
        const reply = await d.ask(i % 3, "POST", "/v1/jobs", body, 5_000, false);
        if (reply?.status === 201 || reply?.status === 200) break;
        await sleep(300);
      }
      ids.push(body.id);
    };
    await submit(1);
    for (const end = performance.now() + 10_000; receiver.kept.size < 2; await sleep(100))
      if (performance.now() > end) throw new CannotRun("nothing is told");

    if (TROUBLE) {
      d.note("the receiver accepts and answers nothing");
      receiver.mode = "silent";
    }
    for (let n = 2; n < 8; n++) await submit(n);
    let removed = names[0];
    if (TROUBLE) {
      // Attempts now come one by one: wait for one that is alone, and remove its webhook while the receiver holds it.
      let probe = null;
      for (const end = performance.now() + 40_000; !probe; await sleep(50)) {
        if (performance.now() > end) throw new CannotRun("no attempt came alone");
        const [held, second] = receiver.held;
        if (held?.isAlone && !second && receiver.calls.length > 10 && performance.now() - held.atMs > 500) probe = held;
      }
      removed = probe.id.split(".")[0];
    } else await sleep(5_000);
    const reply = await d.ask(1, "DELETE", `/v1/hooks/${removed}`, undefined, 5_000, false);
    if (reply?.status !== 200) throw new CannotRun("the webhook could not be removed");
    await sleep(3_000);

    d.note("the receiver answers again");
    receiver.mode = "up";
    await submit(20);
    const kept = names.find((name) => name !== removed);
    const missing = () => ids.filter((id) => !receiver.kept.has(`${kept}.${id}`));
    for (const end = performance.now() + DELIVERED_WITHIN_MS; missing().length > 0 && performance.now() < end; ) await sleep(500);
    for (const i of [0, 1, 2]) await d.ask(i, "GET", `/v1/hooks/${kept}`, undefined, 5_000, false);
    await receiver.stop();
    const lost = missing();
    return lost.length > 0
      ? [`${kept} told nothing of ${lost.length} of ${ids.length} ends of jobs within ${DELIVERED_WITHIN_MS / 1000} s after its receiver was back: ${lost.join(" ")}`]
      : [];
  },
);
