import type { CommandReply } from "../coordination/effects.js";
import type { Order, Report } from "../coordination/model.js";
import { commandBody, parseReport } from "../protocol/workers.js";
import { Client, type Fetched, type Method } from "./client.js";

/** Of all connections of the process, what those to workers may take; requests beyond it wait for one. */
const SOCKETS_SHARE = 0.25;
const MIN_SOCKETS = 8;
/** Of these, what may be kept idle for reuse: the rest is always there for workers that have none. */
const IDLE_SHARE = 0.5;
/** A worker that does not answer within this time, the wait for a connection included, counts as out of reach. */
const ANSWER_TIMEOUT_MS = 3_000;

/** Orders sent straight to workers. */
export class WorkerClient {
  private readonly client: Client;

  constructor(maxSockets: number) {
    const sockets = Math.max(
      MIN_SOCKETS,
      Math.floor(maxSockets * SOCKETS_SHARE),
    );
    this.client = new Client(sockets, Math.floor(sockets * IDLE_SHARE));
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
      ANSWER_TIMEOUT_MS,
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
