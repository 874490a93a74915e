/** A webhook whose URL has its scheme in capitals ends the controller that sends for it, again and again. */
import { CLAIMDESK, runCase, request, sleep, TROUBLE } from "../lib-2/standins.mjs";
import { deployment, Receiver } from "../lib-2/receiver.mjs";

const RESTART_S = 6;
const WATCHED_S = 75;

await runCase(import.meta.dirname, 110, async (record, cleanUps) => {
  const receiver = new Receiver(record);
  await receiver.start();
  cleanUps.push(() => receiver.stop());
  const { controllers } = await deployment(CLAIMDESK, record, cleanUps, "");
  // The platform: an ended process is back about 6 s later.
  controllers.onEnd = (node) => setTimeout(() => controllers.onEnd && controllers.start(node), RESTART_S * 1000);

  // The receiver speaks no TLS, so that it can't take anything in either run; nothing may end because of that.
  const url = `${TROUBLE ? "HTTPS" : "https"}://127.0.0.1:${receiver.port}/in`;
  const added = await controllers.ask("POST", "/v1/hooks", { name: "alerts", url, keys: ["main"] });
  if (added.status !== 201) throw new Error(`the hook was refused: ${JSON.stringify(added.body)}`);
  await controllers.endJob("req-000001");

  const polls = { answered: 0, failed: 0 };
  const untilMs = performance.now() + WATCHED_S * 1000;
  for (let i = 0; performance.now() < untilMs; i++) {
    const reply = await request(controllers.nodes[i % 3].port, "GET", "/v1/jobs/req-000001", undefined, 2000);
    if (reply?.status === 200) polls.answered++;
    else polls.failed++;
    await sleep(500);
  }
  record.note(`polls, at the controllers in turn: ${polls.answered} answered, ${polls.failed} failed`);
  for (const node of controllers.nodes)
    for (const line of controllers.plainLog(node).filter((l) => /Error/.test(l)).slice(0, 1))
      record.note(`${node.label} wrote: ${line.trim()}`);
  return controllers.nodes
    .filter((node) => node.ends.length > 0)
    .map((node) => `${node.label} ended by itself ${node.ends.length} times (exit code ${node.ends[0].code})`);
});
