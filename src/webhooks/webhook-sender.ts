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
  /** Signing keys by id. */
  keys: ReadonlyMap<string, Uint8Array>;
  allowHttp: boolean;
  /** Time limit of an attempt, from connecting to the end of the answer. */
  deadlineMs: number;
  maxSockets: number;
  /** At most about this much of an answer's body is read. */
  maxAnswerBytes: number;
  /** PEM certificates to trust in addition to Node's root certificates; null: none. */
  ca: string | null;
  userAgent: string;
}

const MAX_RETRY_AFTER_MS = 86_400_000;
/** Parses a Retry-After header, which holds seconds or a date. */
function retryAfterMs(text: string | undefined, wallMs: number): number | null {
  if (text === undefined) return null;
  const ms = /^\d{1,9}$/.test(text)
    ? Number(text) * 1000
    : Date.parse(text) - wallMs;
  return Number.isFinite(ms)
    ? Math.min(MAX_RETRY_AFTER_MS, Math.max(0, ms))
    : null;
}

function failureResult(
  e: NodeJS.ErrnoException,
  connected: boolean,
): AttemptResult {
  const code = e.code ?? "";
  if (e instanceof BlockedAddressError)
    return { is: "failed", reason: "blocked" };
  if (
    /CERT|SSL|TLS|ALTNAME|SELF_SIGNED|ERR_TLS|UNABLE_TO_(GET|VERIFY)/.test(code)
  )
    return { is: "failed", reason: "tls" };
  if (code === "ENOTFOUND" || code === "EAI_AGAIN")
    return { is: "failed", reason: "name" };
  return { is: "failed", reason: connected ? "reset" : "refused" };
}

/** Carries out attempts: HTTP requests, limited in time and size, to addresses that are checked. */
export class WebhookSender {
  private readonly httpAgent: http.Agent;
  private readonly httpsAgent: https.Agent;
  private readonly abortByAttempt = new Map<number, () => void>();

  constructor(private readonly settings: SenderSettings) {
    const options = {
      keepAlive: true,
      maxTotalSockets: settings.maxSockets,
      maxFreeSockets: Math.ceil(settings.maxSockets / 4),
      timeout: settings.deadlineMs,
      lookup: settings.networks.lookup(),
    };
    this.httpAgent = new http.Agent(options);
    // TLS sessions are not resumed: a certificate that has expired in the meantime would not be noticed.
    this.httpsAgent = new https.Agent({
      ...options,
      maxCachedSessions: 0,
      ...(settings.ca === null
        ? {}
        : { ca: [...rootCertificates, settings.ca] }),
    });
  }

  /** Why no notification can be sent to a URL; null if nothing speaks against it. Host names are not resolved here. */
  urlProblem(text: string): string | null {
    return URL.canParse(text)
      ? this.parsedUrlProblem(new URL(text))
      : "not a URL";
  }

  private parsedUrlProblem(url: URL): string | null {
    if (
      url.protocol !== "https:" &&
      !(url.protocol === "http:" && this.settings.allowHttp)
    )
      return this.settings.allowHttp
        ? "https or http expected"
        : "https expected";
    if (url.username !== "" || url.password !== "")
      return "must not hold a user or password";
    if (url.hash !== "") return "must not hold a fragment";
    const host = url.hostname.replace(/^\[(.*)\]$/, "$1");
    if (isIP(host) && !this.settings.networks.allows(host))
      return `address ${host} is not in a network that hooks may connect to`;
    return null;
  }

  async attempt(
    attemptId: number,
    webhook: string,
    request: AttemptRequest,
  ): Promise<AttemptResult> {
    const urlText = request.subscription.url;
    if (this.urlProblem(urlText) !== null)
      return { is: "failed", reason: "blocked" };
    const url = new URL(urlText);
    const keys = request.subscription.keys
      .map((k) => this.settings.keys.get(k))
      .filter((k) => k !== undefined);
    if (keys.length === 0) return { is: "failed", reason: "blocked" };
    const deadlineAtMs = performance.now() + this.settings.deadlineMs;
    if (request.ask) {
      const check = await this.sendRequest(
        attemptId,
        "GET",
        url,
        this.headers(webhook, request, keys, ""),
        null,
        deadlineAtMs,
      );
      if (check.is === "aborted") return check;
      // Any other answer leaves it unknown whether the receiver has the notification, so that it is sent.
      if (check.is === "answered" && check.status === 200) return { is: "had" };
      if (check.is === "failed") return check;
    }
    const body = messageBody(request.end);
    return this.sendRequest(
      attemptId,
      "POST",
      url,
      {
        ...this.headers(webhook, request, keys, body),
        "content-type": "application/json",
        "content-length": Buffer.byteLength(body),
      },
      body,
      deadlineAtMs,
    );
  }

  private headers(
    webhook: string,
    request: AttemptRequest,
    keys: readonly Uint8Array[],
    body: string,
  ): http.OutgoingHttpHeaders {
    const id = webhookId(webhook, request.end);
    const timestampS = Math.floor(Date.now() / 1000);
    return {
      "user-agent": this.settings.userAgent,
      "webhook-id": id,
      "webhook-timestamp": String(timestampS),
      "webhook-signature": keys
        .map((k) => signature(k, id, timestampS, body))
        .join(" "),
      "linencove-attempt": String(request.attempt),
      ...(request.reason === null
        ? {}
        : { "linencove-repeat": request.reason }),
    };
  }

  private sendRequest(
    attemptId: number,
    method: "GET" | "POST",
    url: URL,
    headers: http.OutgoingHttpHeaders,
    body: string | null,
    deadlineAtMs: number,
  ): Promise<AttemptResult> {
    const clientRequest = this.formRequest(url, method, headers);
    if (clientRequest instanceof Error)
      return Promise.resolve({ is: "failed", reason: "refused" });
    return new Promise((resolve) => {
      let connected = false;
      let finished = false;
      const finish = (result: AttemptResult): void => {
        if (finished) return;
        finished = true;
        clearTimeout(timer);
        this.abortByAttempt.delete(attemptId);
        resolve(result);
        if (result.is !== "answered") clientRequest.destroy();
      };
      const timer = setTimeout(
        () => finish({ is: "failed", reason: "timeout" }),
        Math.max(1, deadlineAtMs - performance.now()),
      );
      this.abortByAttempt.set(attemptId, () => finish({ is: "aborted" }));
      clientRequest.on("response", (response) => {
        const finishWithStatus = (): void =>
          finish({
            is: "answered",
            status: response.statusCode ?? 0,
            retryAfterMs: retryAfterMs(
              response.headers["retry-after"],
              Date.now(),
            ),
          });
        let bytesRead = 0;
        // Only the status matters. The body is read, up to a limit, so that the connection can be reused.
        response.on("data", (chunk: Buffer) => {
          bytesRead += chunk.length;
          if (bytesRead > this.settings.maxAnswerBytes) {
            finishWithStatus();
            clientRequest.destroy();
          }
        });
        response.on("end", finishWithStatus);
        response.on("error", finishWithStatus);
        response.on("close", finishWithStatus);
      });
      clientRequest.on("socket", (socket) => {
        // A reused connection: its address was checked when it was opened.
        if (!socket.connecting) {
          connected = true;
          return;
        }
        socket.once("connect", () => {
          connected = true;
          const remoteAddress = socket.remoteAddress;
          if (
            remoteAddress === undefined ||
            !this.settings.networks.allows(remoteAddress)
          )
            finish({ is: "failed", reason: "blocked" });
        });
      });
      clientRequest.on("error", (e) => finish(failureResult(e, connected)));
      clientRequest.end(body ?? undefined);
    });
  }

  /** A request that is not sent yet, or why it can't be formed. */
  private formRequest(
    url: URL,
    method: "GET" | "POST",
    headers: http.OutgoingHttpHeaders,
  ): http.ClientRequest | Error {
    // Of the parsed URL, as `urlProblem` judges it: in the text, the scheme may be in capitals or follow a blank.
    const isSecure = url.protocol === "https:";
    const agent = isSecure ? this.httpsAgent : this.httpAgent;
    try {
      return (isSecure ? https : http).request(url, { method, headers, agent });
    } catch (error) {
      return error as Error;
    }
  }

  abort(attemptId: number): void {
    this.abortByAttempt.get(attemptId)?.();
  }
}
