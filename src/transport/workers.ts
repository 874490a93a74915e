import type { CommandReply } from "../coordination/effects.js";
import type { Order, Report } from "../coordination/model.js";
import { commandBody, parseReport } from "../protocol/workers.js";
import { Client } from "./client.js";

/** Orders sent straight to workers. */
export class WorkerClient {
  private readonly client: Client;

  constructor(maxSockets: number) {
    this.client = new Client(Math.max(8, Math.floor(maxSockets / 4)), 64);
  }

  async command(address: string, token: number, session: number, orders: readonly Order[]): Promise<CommandReply> {
    const at = address.lastIndexOf(":");
    const body = JSON.stringify(commandBody(token, session, orders));
    const f = await this.client.fetch(address.slice(0, at), Number(address.slice(at + 1)), "POST", "/commands", body, 3_000);
    if (f.is === "answered") return { is: "answered", status: f.status };
    return { is: f.is };
  }

  /** The machine's report of a moment after this question; null: no answer, or none that can be read. */
  async inspect(address: string): Promise<Report | null> {
    const at = address.lastIndexOf(":");
    const f = await this.client.fetch(address.slice(0, at), Number(address.slice(at + 1)), "GET", "/inspect", undefined, 3_000);
    if (f.is !== "answered" || f.status !== 200) return null;
    const r = parseReport(f.body);
    return r.ok ? r.value : null;
  }
}
