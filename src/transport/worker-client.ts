import type { CommandReply } from "../coordination/effects.js";
import type { Command, Heartbeat } from "../coordination/model.js";
import {
  commandBody,
  parseHeartbeat,
  readSequence,
} from "../protocol/workers.js";
import { HttpClient, type HttpOutcome, type Method } from "./http-client.js";

/** Of all connections of the process, what those to workers may take; requests beyond it wait for one. */
const SOCKETS_SHARE = 0.25;
const MIN_SOCKETS = 8;
/** Of these, what may be kept idle for reuse: the rest is always there for workers that have none. */
const IDLE_SHARE = 0.5;
/** A worker that does not answer within this time, the wait for a connection included, counts as out of reach. */
const ANSWER_TIMEOUT_MS = 3_000;
/** The commands were carried out, and the body is the machine's status after them. */
const HTTP_OK = 200;

/** Orders sent straight to workers. */
export class WorkerClient {
  private readonly client: HttpClient;

  constructor(maxSockets: number) {
    const sockets = Math.max(
      MIN_SOCKETS,
      Math.floor(maxSockets * SOCKETS_SHARE),
    );
    this.client = new HttpClient(sockets, Math.floor(sockets * IDLE_SHARE));
  }

  async command(
    address: string,
    token: number,
    incarnation: number,
    commands: readonly Command[],
  ): Promise<CommandReply> {
    const f = await this.fetch(
      address,
      "POST",
      "/commands",
      JSON.stringify(commandBody(token, incarnation, commands)),
    );
    if (f.kind !== "answered") return { kind: f.kind };
    const { status } = f;
    if (status !== HTTP_OK) return { kind: "answered", status, sequence: null };
    const sequence = readSequence(f.body);
    // Carried out, but which statuses it precedes is not known: as if its answer were lost.
    return sequence === null
      ? { kind: "unknown" }
      : { kind: "answered", status, sequence };
  }

  private fetch(
    address: string,
    method: Method,
    path: string,
    body?: string,
  ): Promise<HttpOutcome> {
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
  async inspect(address: string): Promise<Heartbeat | null> {
    const f = await this.fetch(address, "GET", "/inspect");
    if (f.kind !== "answered" || f.status !== HTTP_OK) return null;
    const r = parseHeartbeat(f.body);
    return r.ok ? r.value : null;
  }
}
