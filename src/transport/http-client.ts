import http from "node:http";
import type { Duplex } from "node:stream";

/** `refused`: nothing reached the other side, now or later. `unknown`: it may have, or may yet. */
export type HttpOutcome =
  | { kind: "answered"; status: number; body: string }
  | { kind: "refused"; why: string }
  | { kind: "unknown"; why: string };

export type Method = "GET" | "POST" | "PATCH" | "DELETE";

/** The longest answer that is read, in bytes: a page of 1,000 records, or of 500 machines, is far below it. */
const MAX_BODY = 16 * 1024 * 1024;

/**
 * Keeps idle connections for reuse, and at most so many of all hosts together. Node bounds them by host only and counts them
 * as in use: once as many hosts had been asked as there may be connections, all others waited until one was closed.
 */
class PoolingAgent extends http.Agent {
  /** Connections kept for reuse, those that have been idle for longest first. */
  private readonly idle = new Set<Duplex>();
  /** Connections that leave `idle` by themselves once they are closed. */
  private readonly watched = new WeakSet<Duplex>();

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

  /** A request is over: whether its connection is kept. One that others wait for is closed, and one of theirs opened for it. */
  override keepSocketAlive(socket: Duplex): boolean {
    if (this.hasWaiting()) return false;
    // Node's types leave out what it returns.
    const keeps = super.keepSocketAlive(socket) as unknown as boolean;
    if (!keeps) return false;
    this.idle.add(socket);
    this.forgetOnClose(socket);
    if (this.idle.size > this.maxIdle) this.closeOldest();
    return true;
  }

  override reuseSocket(socket: Duplex, request: http.ClientRequest): void {
    this.idle.delete(socket);
    super.reuseSocket(socket, request);
  }

  /** One listener for each connection, however often it is reused. */
  private forgetOnClose(socket: Duplex): void {
    if (this.watched.has(socket)) return;
    this.watched.add(socket);
    socket.once("close", () => this.idle.delete(socket));
  }

  private hasWaiting(): boolean {
    for (const host in this.requests)
      if (this.requests[host]!.length > 0) return true;
    return false;
  }

  private closeOldest(): void {
    const oldest = this.idle.values().next().value!;
    this.idle.delete(oldest);
    oldest.destroy();
  }
}

/** A keep-alive HTTP client for one service or for many workers. Every request ends: answered or given up. */
export class HttpClient {
  private readonly agent: http.Agent;

  /** `maxIdle`: connections kept for reuse, of all hosts together; below `maxSockets` if there is more than one host. */
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
    return new Promise((resolve) => {
      let sent = false;
      let over = false;
      const end = (f: HttpOutcome): void => {
        if (over) return;
        over = true;
        clearTimeout(timer);
        resolve(f);
        if (f.kind !== "answered") req.destroy();
      };
      const fail = (why: string): void =>
        end(sent ? { kind: "unknown", why } : { kind: "refused", why });
      const timer = setTimeout(() => fail("timeout"), timeoutMs);
      const headers: http.OutgoingHttpHeaders =
        body === undefined
          ? {}
          : {
              "content-type": "application/json",
              "content-length": Buffer.byteLength(body),
            };
      const req = http.request(
        { host, port, method, path, headers, agent: this.agent },
        (res) => {
          const parts: Buffer[] = [];
          let size = 0;
          res.on("data", (d: Buffer) => {
            size += d.length;
            if (size > MAX_BODY) fail("answer too large");
            else parts.push(d);
          });
          res.on("end", () =>
            end({
              kind: "answered",
              status: res.statusCode ?? 0,
              body: Buffer.concat(parts).toString("utf8"),
            }),
          );
          res.on("error", (e) => fail(e.message));
        },
      );
      req.on("socket", (socket) => {
        if (!socket.connecting) sent = true;
        else socket.once("connect", () => (sent = true));
      });
      req.on("error", (e) => fail(e.message));
      req.end(body);
    });
  }

  close(): void {
    this.agent.destroy();
  }
}

export function parseJson(body: string): unknown {
  try {
    return JSON.parse(body);
  } catch {
    return undefined;
  }
}
