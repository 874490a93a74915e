import { hmac } from "@noble/hashes/hmac.js";
import { sha256 } from "@noble/hashes/sha2.js";
import { utf8ToBytes } from "@noble/hashes/utils.js";
import type { JobEnd } from "./records.js";

/**
 * A secret in the form of Standard Webhooks: base64 of 24 to 64 bytes, `whsec_` before it or not. Throws a plain sentence that
 * does not hold the secret.
 */
export function parseSecret(text: string): Uint8Array {
  const body = text.trim().replace(/^whsec_/, "");
  if (!/^[A-Za-z0-9+/]+={0,2}$/.test(body)) throw new Error("not base64");
  const key = Buffer.from(body, "base64");
  if (key.length < 24 || key.length > 64)
    throw new Error(`24 to 64 bytes expected, not ${key.length}`);
  return key;
}

/** The signature of one key, as `webhook-signature` holds it. `timestampS`: seconds since the epoch. */
export const signature = (
  key: Uint8Array,
  id: string,
  timestampS: number,
  body: string,
): string =>
  `v1,${Buffer.from(hmac(sha256, key, utf8ToBytes(`${id}.${timestampS}.${body}`))).toString("base64")}`;

/** The same for all attempts, and for no other notification. */
export const webhookId = (webhook: string, end: Pick<JobEnd, "id">): string =>
  `${webhook}.${end.id}`;

/** The body of a notification; the same for all attempts. */
export function messageBody(end: JobEnd): string {
  const timestamp = new Date(end.at).toISOString();
  if (end.outcome === "test")
    return JSON.stringify({ type: "hook.test", timestamp, data: {} });
  return JSON.stringify({
    type: `job.${end.outcome}`,
    timestamp,
    data: {
      id: end.id,
      status: end.outcome,
      crew: end.team,
      jobclass: end.class,
      shards: end.tasks,
      done: end.done,
    },
  });
}
