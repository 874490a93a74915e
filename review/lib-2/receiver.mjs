/** A receiver of webhooks on loopback, and the parts of a case that all cases about webhooks share. */
import http from "node:http";
import { bodyOf, Controllers, EmptyCloud, listen, request, sleep, StateService } from "./standins.mjs";

export class Receiver {
  /** `answers`: takes each notification and answers 204. `silent`: accepts it, keeps nothing and never answers. */
  mode = "answers";
  /** By webhook-id: how often it was taken. */
  taken = new Map();
  /** By webhook-id: how often it came, taken or not. */
  came = new Map();

  constructor(record) {
    this.record = record;
  }
  async start() {
    this.server = http.createServer((req, res) => {
      void (async () => {
        const id = String(req.headers["webhook-id"]);
        await bodyOf(req);
        const repeat = req.headers["linencove-repeat"];
        this.came.set(id, (this.came.get(id) ?? 0) + 1);
        this.record.note(
          `receiver: ${id}, attempt ${req.headers["linencove-attempt"]}${repeat ? `, repeat: ${repeat}` : ""}: ${this.mode === "answers" ? "204" : "no answer"}`,
        );
        if (this.mode !== "answers") return;
        this.taken.set(id, (this.taken.get(id) ?? 0) + 1);
        res.writeHead(204).end();
      })().catch(() => res.destroy());
    });
    this.port = await listen(this.server);
    this.url = `http://127.0.0.1:${this.port}/in`;
  }
  stop() {
    this.server.closeAllConnections();
    this.server.close();
  }
}

/** What the state service announces in `kit/change` (site claimdesk-pos-next): `state.next`, and the limits themselves later. */
export const LOWERED = { value_kb: 2, txn_ops: 8, write_rps: 35 };

/** Pause between two jobs: "One-task jobs come four a second for minutes" (kit/more/hunt). */
export const JOB_EVERY_MS = 250;

/** Starts a deployment with webhooks. `hooks`: more fields of the block in the operators' file. */
export async function deployment(site, record, cleanUps, hooks) {
  const state = new StateService(site.state);
  await state.start();
  cleanUps.push(() => state.stop());
  const cloud = new EmptyCloud(site.hulls);
  await cloud.start();
  cleanUps.push(() => cloud.stop());
  const controllers = new Controllers(site, state.port, cloud.port, record, {
    operator: `hooks { key { id: "main" variable: "LINENCOVE_HOOK_KEY" } allow: "127.0.0.0/8" allow_http: true ${hooks} }\n`,
    env: { LINENCOVE_HOOK_KEY: `whsec_${Buffer.alloc(32, 7).toString("base64")}` },
  });
  await controllers.prepare();
  cleanUps.push(() => controllers.stop());
  for (const node of controllers.nodes) controllers.start(node);
  for (const node of controllers.nodes) await controllers.ready(node);
  return { state, controllers };
}

/** The controller that sends for a hook, as it says itself, and what waits there; null if none says so. */
export async function senderOf(controllers, name) {
  for (const node of controllers.nodes) {
    if (!node.child) continue;
    const reply = await request(node.port, "GET", `/v1/hooks/${name}`, undefined, 2000);
    if (reply?.status === 200 && reply.body.sending) return { node, sending: reply.body.sending };
  }
  return null;
}

/** Waits until a controller sends for the hook, and returns it. */
export async function awaitSender(controllers, name, timeoutMs = 45_000) {
  for (const endMs = performance.now() + timeoutMs; performance.now() < endMs; await sleep(300)) {
    const sender = await senderOf(controllers, name);
    if (sender) return sender;
  }
  throw new Error(`no controller sends for ${name}`);
}

/** All controllers are restarted one after the other, each back after `downS`; `next`: what their new settings announce. */
export async function restartInTurn(controllers, record, everyS, downS, next) {
  for (const node of controllers.nodes) {
    const beganMs = performance.now();
    await controllers.kill(node);
    if (next) controllers.writeSettings(node, next);
    await sleep(downS * 1000);
    controllers.start(node);
    await controllers.ready(node);
    await sleep(Math.max(0, everyS * 1000 - (performance.now() - beganMs)));
  }
  record.note(`all controllers were restarted in turn${next ? `, with state.next ${JSON.stringify(next)}` : ", settings unchanged"}`);
}

/** Ids of the dead letters of a hook. */
export async function deadLetters(controllers, name) {
  const ids = [];
  for (let after = ""; ; ) {
    const reply = await controllers.ask("GET", `/v1/hooks/${name}/dead?after=${encodeURIComponent(after)}`);
    ids.push(...reply.body.dead.map((d) => d.id));
    if (!reply.body.next) return ids;
    after = reply.body.next;
  }
}

/** Waits until every notification was taken, or until nothing waits for the hook any more, for at most `forMs`. */
export async function awaitDelivery(controllers, record, receiver, name, ids, forMs) {
  let quietSinceMs = null;
  let sending = null;
  for (const endMs = performance.now() + forMs; performance.now() < endMs; await sleep(500)) {
    if (ids.every((id) => receiver.taken.has(`${name}.${id}`))) break;
    sending = (await senderOf(controllers, name))?.sending ?? null;
    const isIdle = sending !== null && sending.window + sending.batches + sending.fresh === 0;
    if (!isIdle) quietSinceMs = null;
    else quietSinceMs ??= performance.now();
    if (quietSinceMs !== null && performance.now() - quietSinceMs > 4000) break;
  }
  record.note(`what waits for the hook, by its sender: ${JSON.stringify((await senderOf(controllers, name))?.sending ?? null)}`);
}
