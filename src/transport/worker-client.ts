import type { CommandReply, TokenMessage } from "../coordination/effects.js";
import type { Command, Heartbeat } from "../coordination/model.js";
import {
  commandBody,
  parseHeartbeat,
  readSequence,
} from "../protocol/workers.js";
import { HttpClient, type HttpOutcome, type Method } from "./http-client.js";

/** Share of the process's sockets for connections to workers. Requests beyond it wait for a connection. */
const SOCKET_SHARE = 0.25;
const MIN_SOCKETS = 8;
/** Share of these connections that may be kept idle for reuse. The rest stays available for workers without a connection. */
const IDLE_SHARE = 0.5;
/** A worker that does not answer within this time, including the wait for a connection, counts as unreachable. */
const ANSWER_TIMEOUT_MS = 3_000;
/** To commands: they were executed, and the body is the machine's status after them. */
const HTTP_OK = 200;
/** To commands: they were refused for their token or incarnation, and the body is the machine's status. */
const HTTP_CONFLICT = 409;

/** Sends requests directly to workers. */
export class WorkerClient {
  private readonly httpClient: HttpClient;

  constructor(maxSockets: number) {
    const sockets = Math.max(
      MIN_SOCKETS,
      Math.floor(maxSockets * SOCKET_SHARE),
    );
    this.httpClient = new HttpClient(sockets, Math.floor(sockets * IDLE_SHARE));
  }

  async command(
    address: string,
    token: number,
    incarnation: number,
    commands: readonly Command[],
  ): Promise<CommandReply> {
    const outcome = await this.fetch(
      address,
      "POST",
      "/commands",
      JSON.stringify(commandBody(token, incarnation, commands)),
    );
    if (outcome.kind !== "answered") return { kind: outcome.kind };
    const { status } = outcome;
    if (status !== HTTP_OK) return { kind: "answered", status, sequence: null };
    const sequence = readSequence(outcome.body);
    // Executed, but the sequence of the status after it is not known. Treated as a lost response.
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
    const colon = address.lastIndexOf(":");
    return this.httpClient.fetch(
      address.slice(0, colon),
      Number(address.slice(colon + 1)),
      method,
      path,
      body,
      ANSWER_TIMEOUT_MS,
    );
  }

  /**
   * Requests a machine's current status; with `fence` by a message that has it see this token. Returns null if there is no answer or
   * it cannot be parsed.
   */
  async inspect(
    address: string,
    fence?: TokenMessage,
  ): Promise<Heartbeat | null> {
    const outcome = fence
      ? await this.sendToken(address, fence)
      : await this.fetch(address, "GET", "/inspect");
    if (outcome.kind !== "answered") return null;
    const hasStatus =
      outcome.status === HTTP_OK ||
      (fence !== undefined && outcome.status === HTTP_CONFLICT);
    const parsed = hasStatus ? parseHeartbeat(outcome.body) : null;
    return parsed?.ok ? parsed.value : null;
  }

  private sendToken(
    address: string,
    { token, incarnation }: TokenMessage,
  ): Promise<HttpOutcome> {
    const body = JSON.stringify(commandBody(token, incarnation, []));
    return this.fetch(address, "POST", "/commands", body);
  }
}
