import type { Settings } from "../config/settings.js";
import { type StateCall, type StateReply, stateReply, stateRequest } from "../protocol/state.js";
import { Client, json } from "../transport/client.js";
import { Limiter } from "../transport/limiter.js";

/** Requests to the state service, within this controller's part of both limits. */
export class StateClient {
  private readonly client = new Client(24, 8);
  private readonly limiter: Limiter;

  constructor(private readonly settings: Settings) {
    const nodes = settings.peers.length + 1;
    const rates = [settings.state.rps / nodes, settings.state.writeRps / nodes];
    this.limiter = new Limiter(rates, rates.map((r) => Math.max(1, r)));
  }

  private static timeoutMs(call: StateCall): number {
    if (call.op === "changes") return call.waitMs + 1_500;
    return call.op === "list" ? 4_000 : 1_500;
  }

  call(call: StateCall, urgent: number): Promise<{ reply: StateReply; sentMs: number }> {
    return new Promise((resolve) => {
      const writes = call.op === "commit" ? call.writes.length : 0;
      this.limiter.add({
        urgent,
        cost: [1, writes],
        deadlineMs: performance.now() + 1_500,
        refuse: () => resolve({ reply: { is: "refused", why: "rate limit" }, sentMs: performance.now() }),
        run: () => {
          const sentMs = performance.now();
          const { method, path, body } = stateRequest(call);
          const { host, port } = this.settings.state;
          void this.client.fetch(host, port, method, path, body, StateClient.timeoutMs(call)).then((f) => {
            const reply: StateReply = f.is === "answered" ? stateReply(call, f.status, json(f.body)) : { is: f.is, why: f.why };
            resolve({ reply, sentMs });
          });
        },
      });
    });
  }
}
