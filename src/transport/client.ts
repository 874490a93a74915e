import http from "node:http";

/** `refused`: nothing reached the other side, now or later. `unknown`: it may have, or may yet. */
export type Fetched =
  | { is: "answered"; status: number; body: string }
  | { is: "refused"; why: string }
  | { is: "unknown"; why: string };

export type Method = "GET" | "POST" | "PATCH" | "DELETE";

const MAX_BODY = 16 * 1024 * 1024;

/** A keep-alive HTTP client for one service or for many workers. Every request ends: answered or given up. */
export class Client {
  private readonly agent: http.Agent;

  constructor(maxSockets: number, keep: number) {
    this.agent = new http.Agent({
      keepAlive: true,
      maxTotalSockets: maxSockets,
      maxFreeSockets: keep,
      noDelay: true,
    });
  }

  fetch(
    host: string,
    port: number,
    method: Method,
    path: string,
    body: string | undefined,
    timeoutMs: number,
  ): Promise<Fetched> {
    return new Promise((resolve) => {
      let sent = false;
      let over = false;
      const end = (f: Fetched): void => {
        if (over) return;
        over = true;
        clearTimeout(timer);
        resolve(f);
        if (f.is !== "answered") req.destroy();
      };
      const fail = (why: string): void =>
        end(sent ? { is: "unknown", why } : { is: "refused", why });
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
              is: "answered",
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

export function json(body: string): unknown {
  try {
    return JSON.parse(body);
  } catch {
    return undefined;
  }
}
