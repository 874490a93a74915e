import type { CommandReply } from "../coordination/effects.js";
import type { Order } from "../coordination/model.js";
import { commandBody } from "../protocol/workers.js";
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
}
