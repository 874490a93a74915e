import { hmac } from "@noble/hashes/hmac.js";
import { sha256 } from "@noble/hashes/sha2.js";
import { utf8ToBytes } from "@noble/hashes/utils.js";
import type { JobEnd } from "./records.js";

/**
 * Parses a secret in the form of Standard Webhooks: base64 of 24 to 64 bytes, with or without the prefix `whsec_`. Error
 * messages do not contain the secret.
 */
export function parseSecret(text: string): Uint8Array {
  const encoded = text.trim().replace(/^whsec_/, "");
  if (!/^[A-Za-z0-9+/]+={0,2}$/.test(encoded)) throw new Error("not base64");
  const key = Buffer.from(encoded, "base64");
  if (key.length < 24 || key.length > 64)
    throw new Error(`24 to 64 bytes expected, not ${key.length}`);
  return key;
}

/** The signature with one key, in the form of the header `webhook-signature`. `timestampS`: seconds since the epoch. */
export const signature = (
  key: Uint8Array,
  id: string,
  timestampS: number,
  body: string,
): string =>
  `v1,${Buffer.from(hmac(sha256, key, utf8ToBytes(`${id}.${timestampS}.${body}`))).toString("base64")}`;

/** The id of a notification: the same for all its attempts, and unique. */
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
