// One array of many small tasks: more of them are started on a machine than its reports can list in 64 KiB.
// VERDICT_S: seconds from the start to the verdict, for a longer run by hand.
import { claimdesk, newJob, sleep } from "../lib/deployment.mjs";
import { CannotRun, runCase, TROUBLE } from "../lib/case.mjs";

const ZONES = ["piarco", "chaguaramas", "san-fernando"];
const VERDICT_S = Number(process.env.VERDICT_S ?? 106);

await runCase(import.meta.url, claimdesk(), { fetchS: 0.3, verbose: "quiet" }, async (d) => {
  await d.start(ZONES.map((zone) => ["counterbox", zone]));
  if (!(await d.ready())) throw new CannotRun("controllers are not ready");
  await sleep(2_500);
  const accept = async (n, fields) => {
    const body = newJob(d.truth, n, fields);
    for (let i = n; i < n + 30; i++) {
      const reply = await d.ask(i % 3, "POST", "/v1/jobs", body, 5_000, false);
      if (reply?.status === 201 || reply?.status === 200) return body.id;
      await sleep(500);
    }
    throw new CannotRun("no controller accepts a job");
  };
  const status = async (id, i) => (await d.ask(i % 3, "GET", `/v1/jobs/${id}`, undefined, 2_000, false))?.body;
  // Six tasks of 30 s, which fit beside everything else.
  const steady = await accept(1, { crew: "intake-crew", shards: 6, cores: 2.0, memoryGb: 4.0, runMs: 30_000, reckonS: 30.0, bundle: "img-02" });
  for (const end = performance.now() + 15_000; (await status(steady, 0))?.running !== 6; await sleep(500))
    if (performance.now() > end) throw new CannotRun("the first job does not begin");
  const small = await accept(2, { shards: TROUBLE ? 4_800 : 48, cores: TROUBLE ? 0.02 : 1.0, memoryGb: 0.03, runMs: 40_000, reckonS: 40.0 });
  let isDone = false;
  for (let i = 0; !isDone && performance.now() - d.startMs < VERDICT_S * 1000; i++) {
    await sleep(3_000);
    const states = [await status(steady, i), await status(small, i + 1)];
    isDone = states.every((state) => state?.status === "done");
  }
  if (d.exits.length > 0) d.note(d.exits.join(", "));
  const broken = [];
  for (const [id, what] of [[steady, "six tasks of 30 s"], [small, "the array"]]) {
    const state = await status(id, 0);
    if (!state) throw new CannotRun("no answer");
    // All machines, controllers and links work all the time, so that at least one task of each must have come to its end by now.
    if (state.done === 0) broken.push(`${id} (${what}) was accepted, and ${VERDICT_S} s after the start not one of its tasks is done`);
  }
  return broken;
});
