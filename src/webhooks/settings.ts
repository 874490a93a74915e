import { readFileSync } from "node:fs";
import type { HooksFile } from "../config/operator.js";
import { type Settings, SettingsError } from "../config/settings.js";
import type { WebhookLimits } from "./webhook-core.js";
import { AllowedNetworks, parseNetwork } from "./allowed-networks.js";
import { parseSecret } from "./signing.js";
import type { SenderSettings } from "./webhook-sender.js";

/** Reads the secrets that the operators' file names: from files or variables, never from the file itself. */
function readKeys(s: HooksFile, file: string): Map<string, Uint8Array> {
  const keys = new Map<string, Uint8Array>();
  s.key.forEach((k, i) => {
    const field = `${file}: hooks.key[${i}]`;
    if (!k.id) throw new SettingsError(`${field}.id: missing`);
    if (keys.has(k.id))
      throw new SettingsError(`${field}.id: ${k.id} is named twice`);
    if ((k.file === "") === (k.variable === ""))
      throw new SettingsError(`${field}: either file or variable expected`);
    let text: string;
    if (k.file !== "") {
      try {
        text = readFileSync(k.file, "utf8");
      } catch (e) {
        throw new SettingsError(
          `${field}.file: ${k.file}: ${(e as NodeJS.ErrnoException).code === "ENOENT" ? "no such file" : (e as Error).message}`,
        );
      }
    } else {
      const value = process.env[k.variable];
      if (value === undefined)
        throw new SettingsError(`${field}.variable: ${k.variable} is not set`);
      text = value;
    }
    try {
      keys.set(k.id, parseSecret(text));
    } catch (e) {
      throw new SettingsError(
        `${field}: the secret of ${k.id}: ${(e as Error).message}`,
      );
    }
  });
  return keys;
}

/** What can be said of the file without starting anything. */
export function checkWebhookSettings(s: HooksFile, file: string): void {
  s.allow.forEach((text, i) => {
    try {
      parseNetwork(text);
    } catch (e) {
      throw new SettingsError(
        `${file}: hooks.allow[${i}]: ${(e as Error).message}`,
      );
    }
  });
  readKeys(s, file);
}

/** A part of this controller's changes, for hooks to use up; users, holds and masters have the rest. */
export function webhookLimits(s: HooksFile, p: Settings): WebhookLimits {
  const nodes = p.peers.length + 1;
  const changesPerS = (p.state.writeRps / nodes) * s.changesShare;
  return {
    valueBytes: p.state.valueBytes,
    txnOps: p.state.txnOps,
    parallel: s.parallel,
    horizonMs: s.horizonS * 1000,
    backoff: { baseMs: s.retryBaseS * 1000, mostMs: s.retryMostS * 1000 },
    spoolBatches: s.spoolBatches,
    // The log keeps 10,000 changes, and each revision may hold as many as a transaction: half of that is safe.
    settleEvery: Math.max(20, Math.floor(5_000 / p.state.txnOps)),
    changesPerS,
    // Ending a batch takes three changes at once.
    changesBurst: Math.max(4, changesPerS),
    inFlight: s.inFlight,
    breakerAfter: s.breakerAfter,
    breakerPause: {
      baseMs: s.breakerBaseS * 1000,
      mostMs: s.breakerMostS * 1000,
    },
    subscriptions: s.subscriptions,
  };
}

export function senderSettings(
  s: HooksFile,
  file: string,
  agent: string,
): SenderSettings {
  let ca: string | null = null;
  if (s.caFile !== "") {
    try {
      ca = readFileSync(s.caFile, "utf8");
    } catch (e) {
      throw new SettingsError(
        `${file}: hooks.ca_file: ${s.caFile}: ${(e as Error).message.split(",")[0]}`,
      );
    }
  }
  return {
    networks: new AllowedNetworks(s.allow, s.onlyListed),
    keys: readKeys(s, file),
    allowHttp: s.allowHttp,
    deadlineMs: s.deadlineS * 1000,
    maxSockets: s.inFlight,
    maxAnswerBytes: s.answerBytes,
    ca,
    agent,
  };
}
