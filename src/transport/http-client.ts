import http from "node:http";
import type { Duplex } from "node:stream";

/** `refused`: the request did not reach the server and never will. `unknown`: it may have reached the server, or may still do so. */
export type HttpOutcome =
  | { kind: "answered"; status: number; body: string }
  | { kind: "refused"; reason: string }
  | { kind: "unknown"; reason: string };

export type Method = "GET" | "POST" | "PATCH" | "DELETE";

/** Maximum size of a response body. A page of 1,000 records or of 500 machines is far smaller. */
const MAX_BODY_BYTES = 16 * 1024 * 1024;

/**
 * Keeps idle connections for reuse and limits their number over all hosts. Node limits idle connections per host only, and
 * counts them towards `maxTotalSockets`: after requests to as many hosts as there may be connections, requests to any other
 * host waited until a connection was closed.
 */
class PoolingAgent extends http.Agent {
  /** Connections kept for reuse, longest idle first. */
  private readonly idle = new Set<Duplex>();
  /** Connections with a listener that removes them from `idle` when they are closed. */
  private readonly socketsWithListener = new WeakSet<Duplex>();

  constructor(
    maxSockets: number,
    private readonly maxIdle: number,
  ) {
    super({
      keepAlive: true,
      maxTotalSockets: maxSockets,
      maxFreeSockets: maxIdle,
      noDelay: true,
    });
  }

  /**
   * Called when a request has ended. Returns whether its connection is kept. While other requests wait for a connection, it is
   * closed instead, so that one can be opened for them.
   */
  override keepSocketAlive(socket: Duplex): boolean {
    if (this.hasWaitingRequests()) return false;
    // Node's type definitions omit the return value.
    const reusable = super.keepSocketAlive(socket) as unknown as boolean;
    if (!reusable) return false;
    this.idle.add(socket);
    this.removeOnClose(socket);
    if (this.idle.size > this.maxIdle) this.closeLongestIdle();
    return true;
  }

  override reuseSocket(socket: Duplex, request: http.ClientRequest): void {
    this.idle.delete(socket);
    super.reuseSocket(socket, request);
  }

  /** Adds at most one listener to each connection, however often it is reused. */
  private removeOnClose(socket: Duplex): void {
    if (this.socketsWithListener.has(socket)) return;
    this.socketsWithListener.add(socket);
    socket.once("close", () => this.idle.delete(socket));
  }

  private hasWaitingRequests(): boolean {
    for (const host in this.requests)
      if (this.requests[host]!.length > 0) return true;
    return false;
  }

  private closeLongestIdle(): void {
    const longestIdle = this.idle.values().next().value!;
    this.idle.delete(longestIdle);
    longestIdle.destroy();
  }
}

/** A keep-alive HTTP client for one service or for many workers. Each request ends with a response, an error or a timeout. */
export class HttpClient {
  private readonly agent: http.Agent;

  /** `maxIdle`: maximum number of idle connections over all hosts. Must be less than `maxSockets` if there is more than one host. */
  constructor(maxSockets: number, maxIdle: number) {
    this.agent = new PoolingAgent(maxSockets, maxIdle);
  }

  fetch(
    host: string,
    port: number,
    method: Method,
    path: string,
    body: string | undefined,
    timeoutMs: number,
  ): Promise<HttpOutcome> {
    const headers: http.OutgoingHttpHeaders =
      body === undefined
        ? {}
        : {
            "content-type": "application/json",
            "content-length": Buffer.byteLength(body),
          };
    const request = formRequest({
      host,
      port,
      method,
      path,
      headers,
      agent: this.agent,
    });
    if (request instanceof Error)
      return Promise.resolve({ kind: "refused", reason: request.message });
    return outcomeOf(request, body, timeoutMs);
  }

  close(): void {
    this.agent.destroy();
  }
}

/** A request that is not sent yet, or why it can't be formed: Node throws for some paths and ports. */
function formRequest(options: http.RequestOptions): http.ClientRequest | Error {
  try {
    return http.request(options);
  } catch (error) {
    return error as Error;
  }
}

/** Sends a request, and returns how it ended. */
function outcomeOf(
  request: http.ClientRequest,
  body: string | undefined,
  timeoutMs: number,
): Promise<HttpOutcome> {
  return new Promise((resolve) => {
    let connected = false;
    let finished = false;
    const finish = (outcome: HttpOutcome): void => {
      if (finished) return;
      finished = true;
      clearTimeout(timer);
      resolve(outcome);
      if (outcome.kind !== "answered") request.destroy();
    };
    const fail = (reason: string): void =>
      finish(
        connected ? { kind: "unknown", reason } : { kind: "refused", reason },
      );
    const timer = setTimeout(() => fail("timeout"), timeoutMs);
    request.on("response", (response) => {
      const chunks: Buffer[] = [];
      let size = 0;
      response.on("data", (chunk: Buffer) => {
        size += chunk.length;
        if (size > MAX_BODY_BYTES) fail("answer too large");
        else chunks.push(chunk);
      });
      response.on("end", () =>
        finish({
          kind: "answered",
          status: response.statusCode ?? 0,
          body: Buffer.concat(chunks).toString("utf8"),
        }),
      );
      response.on("error", (error) => fail(error.message));
    });
    request.on("socket", (socket) => {
      if (!socket.connecting) connected = true;
      else socket.once("connect", () => (connected = true));
    });
    request.on("error", (error) => fail(error.message));
    request.end(body);
  });
}

export function parseJson(body: string): unknown {
  try {
    return JSON.parse(body);
  } catch {
    return undefined;
  }
}
