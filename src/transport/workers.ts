import type { CommandReply } from "../coordination/effects.js";
import type { Order, Report } from "../coordination/model.js";
import { commandBody, parseReport } from "../protocol/workers.js";
import { Client, type Fetched, type Method } from "./client.js";

/** Orders sent straight to workers. */
export class WorkerClient {
  private readonly client: Client;

  constructor(maxSockets: number) {
    this.client = new Client(Math.max(8, Math.floor(maxSockets / 4)), 64);
  }

  async command(
    address: string,
    token: number,
    session: number,
    orders: readonly Order[],
  ): Promise<CommandReply> {
    const f = await this.fetch(
      address,
      "POST",
      "/commands",
      JSON.stringify(commandBody(token, session, orders)),
    );
    if (f.is === "answered") return { is: "answered", status: f.status };
    return { is: f.is };
  }

  private fetch(
    address: string,
    method: Method,
    path: string,
    body?: string,
  ): Promise<Fetched> {
    const at = address.lastIndexOf(":");
    return this.client.fetch(
      address.slice(0, at),
      Number(address.slice(at + 1)),
      method,
      path,
      body,
      3_000,
    );
  }

  /** The machine's report of a moment after this question; null: no answer, or none that can be read. */
  async inspect(address: string): Promise<Report | null> {
    const f = await this.fetch(address, "GET", "/inspect");
    if (f.is !== "answered" || f.status !== 200) return null;
    const r = parseReport(f.body);
    return r.ok ? r.value : null;
  }
}
