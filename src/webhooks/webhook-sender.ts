import http from "node:http";
import https from "node:https";
import { isIP } from "node:net";
import { rootCertificates } from "node:tls";
import type { AttemptResult, AttemptRequest } from "./delivery.js";
import {
  BlockedAddressError,
  type AllowedNetworks,
} from "./allowed-networks.js";
import { messageBody, signature, webhookId } from "./signing.js";

export interface SenderSettings {
  networks: AllowedNetworks;
  /** By id. */
  keys: ReadonlyMap<string, Uint8Array>;
  allowHttp: boolean;
  /** From the start of an attempt to its end, connecting and answer included. */
  deadlineMs: number;
  maxSockets: number;
  /** Of an answer, this is read and no more. */
  maxAnswerBytes: number;
  /** Certificates to trust beside the usual ones, PEM. */
  ca: string | null;
  agent: string;
}

const MAX_RETRY_AFTER_MS = 86_400_000;
/** Seconds, or a date. */
function retryAfterMs(text: string | undefined, wallMs: number): number | null {
  if (text === undefined) return null;
  const ms = /^\d{1,9}$/.test(text)
    ? Number(text) * 1000
    : Date.parse(text) - wallMs;
  return Number.isFinite(ms)
    ? Math.min(MAX_RETRY_AFTER_MS, Math.max(0, ms))
    : null;
}

function failureReason(
  e: NodeJS.ErrnoException,
  connected: boolean,
): AttemptResult {
  const code = e.code ?? "";
  if (e instanceof BlockedAddressError) return { is: "failed", why: "blocked" };
  if (
    /CERT|SSL|TLS|ALTNAME|SELF_SIGNED|ERR_TLS|UNABLE_TO_(GET|VERIFY)/.test(code)
  )
    return { is: "failed", why: "tls" };
  if (code === "ENOTFOUND" || code === "EAI_AGAIN")
    return { is: "failed", why: "name" };
  return { is: "failed", why: connected ? "reset" : "refused" };
}

/** Makes attempts: one HTTP request each, within bounds, to an address that was checked. */
export class WebhookSender {
  private readonly plain: http.Agent;
  private readonly secure: https.Agent;
  private readonly flights = new Map<number, () => void>();

  constructor(private readonly s: SenderSettings) {
    const options = {
      keepAlive: true,
      maxTotalSockets: s.maxSockets,
      maxFreeSockets: Math.ceil(s.maxSockets / 4),
      timeout: s.deadlineMs,
      lookup: s.networks.lookup(),
    };
    this.plain = new http.Agent(options);
    // No sessions are resumed: a certificate that has expired since would not be looked at.
    this.secure = new https.Agent({
      ...options,
      maxCachedSessions: 0,
      ...(s.ca === null ? {} : { ca: [...rootCertificates, s.ca] }),
    });
  }

  /** Why a URL can't be sent to; null: it can, as far as can be said without resolving its name. */
  refuses(text: string): string | null {
    if (!URL.canParse(text)) return "not a URL";
    const url = new URL(text);
    if (
      url.protocol !== "https:" &&
      !(url.protocol === "http:" && this.s.allowHttp)
    )
      return this.s.allowHttp ? "https or http expected" : "https expected";
    if (url.username !== "" || url.password !== "")
      return "must not hold a user or password";
    if (url.hash !== "") return "must not hold a fragment";
    const host = url.hostname.replace(/^\[(.*)\]$/, "$1");
    if (isIP(host) && !this.s.networks.allows(host))
      return `address ${host} is not in a network that hooks may connect to`;
    return null;
  }

  async attempt(
    attempt: number,
    webhook: string,
    l: AttemptRequest,
  ): Promise<AttemptResult> {
    const why = this.refuses(l.sub.url);
    if (why !== null) return { is: "failed", why: "blocked" };
    const keys = l.sub.keys
      .map((k) => this.s.keys.get(k))
      .filter((k) => k !== undefined);
    if (keys.length === 0) return { is: "failed", why: "blocked" };
    const endsMs = performance.now() + this.s.deadlineMs;
    if (l.ask) {
      const got = await this.request(
        attempt,
        "GET",
        l.sub.url,
        this.headers(webhook, l, keys, ""),
        null,
        endsMs,
      );
      if (got.is === "aborted") return got;
      // Whatever else it says, it is not known to have it.
      if (got.is === "answered" && got.status === 200) return { is: "had" };
      if (got.is === "failed") return got;
    }
    const body = messageBody(l.end);
    return this.request(
      attempt,
      "POST",
      l.sub.url,
      {
        ...this.headers(webhook, l, keys, body),
        "content-type": "application/json",
        "content-length": Buffer.byteLength(body),
      },
      body,
      endsMs,
    );
  }

  private headers(
    webhook: string,
    l: AttemptRequest,
    keys: readonly Uint8Array[],
    body: string,
  ): http.OutgoingHttpHeaders {
    const id = webhookId(webhook, l.end);
    const now = Math.floor(Date.now() / 1000);
    return {
      "user-agent": this.s.agent,
      "webhook-id": id,
      "webhook-timestamp": String(now),
      "webhook-signature": keys
        .map((k) => signature(k, id, now, body))
        .join(" "),
      "linencove-attempt": String(l.attempt),
      ...(l.reason === null ? {} : { "linencove-repeat": l.reason }),
    };
  }

  private request(
    attempt: number,
    method: "GET" | "POST",
    url: string,
    headers: http.OutgoingHttpHeaders,
    body: string | null,
    endsMs: number,
  ): Promise<AttemptResult> {
    return new Promise((resolve) => {
      const secure = url.startsWith("https:");
      let connected = false;
      let over = false;
      const end = (r: AttemptResult): void => {
        if (over) return;
        over = true;
        clearTimeout(timer);
        this.flights.delete(attempt);
        resolve(r);
        if (r.is !== "answered") req.destroy();
      };
      const timer = setTimeout(
        () => end({ is: "failed", why: "timeout" }),
        Math.max(1, endsMs - performance.now()),
      );
      this.flights.set(attempt, () => end({ is: "aborted" }));
      const req = (secure ? https : http).request(
        url,
        { method, headers, agent: secure ? this.secure : this.plain },
        (res) => {
          const done = (): void =>
            end({
              is: "answered",
              status: res.statusCode ?? 0,
              retryAfterMs: retryAfterMs(
                res.headers["retry-after"],
                Date.now(),
              ),
            });
          let size = 0;
          // The status has said what counts; the rest is read so that the connection can serve again, within bounds.
          res.on("data", (d: Buffer) => {
            size += d.length;
            if (size > this.s.maxAnswerBytes) {
              done();
              req.destroy();
            }
          });
          res.on("end", done);
          res.on("error", done);
          res.on("close", done);
        },
      );
      req.on("socket", (socket) => {
        // Taken over from an earlier request: that one's address was checked.
        if (!socket.connecting) {
          connected = true;
          return;
        }
        socket.once("connect", () => {
          connected = true;
          const to = socket.remoteAddress;
          if (to === undefined || !this.s.networks.allows(to))
            end({ is: "failed", why: "blocked" });
        });
      });
      req.on("error", (e) => end(failureReason(e, connected)));
      req.end(body ?? undefined);
    });
  }

  abort(attempt: number): void {
    this.flights.get(attempt)?.();
  }
}
