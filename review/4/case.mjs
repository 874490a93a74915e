/** A machine that is back within a second carries out a late copy of a start, and a task is on two machines at once. */
import { CLAIMDESK, Controllers, runCase, request, sleep, StateService, TROUBLE } from "../lib-2/standins.mjs";
import { Cloud } from "../lib-2/machines.mjs";

/** Values of kit/more/fleet/claimdesk-pos-fleet.toml; machines are up within two seconds. */
const SITE = {
  ...CLAIMDESK,
  report_s: 2.5,
  lease_s: 15.25,
  cancel_s: 45.25,
  state: { rps: 600, write_rps: 120, value_kb: 8, txn_ops: 24 },
  cloud: { rps: 2.5, list_lag_s: 10 },
  teams: [
    { name: "intake-crew", cpus: 5000, cpus_max: 10000 },
    { name: "claims-team", cpus: 7000, cpus_max: 30000 },
  ],
};
const BOOT_S = 2;
const BACK_AFTER_MS = 500;
const COPY_AFTER_MS = 300;

await runCase(import.meta.dirname, 110, async (record, cleanUps) => {
  const state = new StateService(SITE.state);
  await state.start();
  cleanUps.push(() => state.stop());
  const cloud = new Cloud(SITE, record, { bootS: () => BOOT_S });
  await cloud.start();
  cleanUps.push(() => cloud.stop());
  const { ledger } = cloud;
  const controllers = new Controllers(SITE, state.port, cloud.port, record);
  await controllers.prepare();
  cleanUps.push(() => controllers.stop());
  cloud.clientPorts = controllers.nodes.map(({ port, label }) => ({ port, label }));
  for (const node of controllers.nodes) controllers.start(node);
  for (const node of controllers.nodes) await controllers.ready(node);

  const until = async (what, condition, forMs = 40_000) => {
    for (const endMs = performance.now() + forMs; performance.now() < endMs; await sleep(20)) if (condition()) return;
    throw new Error(`never: ${what}`);
  };

  // A task of ledger-sync, which runs for 150 s. The first machine for it is faulty: the task fails there after a second.
  const id = "req-000001";
  const job = {
    jobclass: "ledger-sync",
    shape: "ensemble",
    shards: 1,
    cores: 30,
    memoryGb: 51,
    samePlace: true,
    yard: "piarco",
    hulls: null,
    spread: false,
    loaners: false,
    bundle: "img-02",
    sizeGb: 0.3,
    reckonS: 150,
    stashEveryS: 60,
    stashS: 5,
    dueS: null,
  };
  ledger.jobs.set(id, { id, crew: "claims-team", accelerators: 0, ...job, runS: 150 });
  await controllers.submit(id, job);
  await until("a machine is rented", () => cloud.machines.size > 0);
  const [first] = cloud.machines.values();
  first.faulty = true;
  first.traced = true;
  const on = () => [...(ledger.running.get(`${id}/0`) ?? [])].map((at) => at.split("#")[0]);
  await until("the task starts by a direct command", () => first.carriedOut.length > 0);
  const [message] = first.carriedOut;
  await until("the task is on the first machine", () => on().includes(first.id));
  await until(
    "it has failed there, is taken off its reports, and is on another machine",
    () => first.tasks.size === 0 && on().length === 1 && on()[0] !== first.id,
  );
  // One more report, so that the machine shows whatever token it has got with the answer that had it forget the attempt.
  const { tally } = first;
  await until("the first machine reports again", () => first.tally > tally + 1);

  if (TROUBLE) {
    await first.restart(BACK_AFTER_MS);
    first.faulty = false;
    await sleep(COPY_AFTER_MS);
    first.receiveCopy(message);
  }
  await sleep(20_000);
  const poll = await request(controllers.nodes[1].port, "GET", `/v1/jobs/${id}`, undefined, 2000);
  record.note(`GET /v1/jobs/${id}: ${poll?.status} ${JSON.stringify(poll?.body)}`);
  record.note(`starts: ${ledger.starts.map((s) => `${s.shard} try ${s.try} on ${s.machine}`).join(", ")}`);
  return ledger.broken;
});
