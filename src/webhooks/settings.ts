import { readFileSync } from "node:fs";
import type { WebhookFileSettings } from "../config/operator.js";
import { type Settings, SettingsError } from "../config/settings.js";
import type { WebhookLimits } from "./webhook-core.js";
import { AllowedNetworks, parseNetwork } from "./allowed-networks.js";
import { parseSecret } from "./signing.js";
import type { SenderSettings } from "./webhook-sender.js";

/** Reads the signing keys from the files or environment variables that the operators' file names; it never holds them itself. */
function readKeys(
  hooks: WebhookFileSettings,
  file: string,
): Map<string, Uint8Array> {
  const keys = new Map<string, Uint8Array>();
  hooks.key.forEach((key, index) => {
    const field = `${file}: hooks.key[${index}]`;
    if (!key.id) throw new SettingsError(`${field}.id: missing`);
    if (keys.has(key.id))
      throw new SettingsError(`${field}.id: ${key.id} is named twice`);
    if ((key.file === "") === (key.variable === ""))
      throw new SettingsError(`${field}: either file or variable expected`);
    let secretText: string;
    if (key.file !== "") {
      try {
        secretText = readFileSync(key.file, "utf8");
      } catch (e) {
        throw new SettingsError(
          `${field}.file: ${key.file}: ${(e as NodeJS.ErrnoException).code === "ENOENT" ? "no such file" : (e as Error).message}`,
        );
      }
    } else {
      const value = process.env[key.variable];
      if (value === undefined)
        throw new SettingsError(
          `${field}.variable: ${key.variable} is not set`,
        );
      secretText = value;
    }
    try {
      keys.set(key.id, parseSecret(secretText));
    } catch (e) {
      throw new SettingsError(
        `${field}: the secret of ${key.id}: ${(e as Error).message}`,
      );
    }
  });
  return keys;
}

/** Checks the settings as far as that is possible without starting anything; throws a SettingsError. */
export function checkWebhookSettings(
  hooks: WebhookFileSettings,
  file: string,
): void {
  hooks.allow.forEach((text, index) => {
    try {
      parseNetwork(text);
    } catch (e) {
      throw new SettingsError(
        `${file}: hooks.allow[${index}]: ${(e as Error).message}`,
      );
    }
  });
  readKeys(hooks, file);
}

/** Webhooks may use `changesShare` of this controller's write rate; user requests, leases and partition leaders have the rest. */
export function webhookLimits(
  hooks: WebhookFileSettings,
  platform: Settings,
): WebhookLimits {
  const controllers = platform.peers.length + 1;
  const changesPerS =
    (platform.state.writeRps / controllers) * hooks.changesShare;
  return {
    valueBytes: platform.state.valueBytes,
    txnOps: platform.state.txnOps,
    parallel: hooks.parallel,
    horizonMs: hooks.horizonS * 1000,
    backoff: {
      baseMs: hooks.retryBaseS * 1000,
      maxMs: hooks.retryMostS * 1000,
    },
    spoolBatches: hooks.spoolBatches,
    // The state service's log keeps 10,000 changes, and a revision may hold as many as a transaction. Half of the log is safe.
    settleEveryRevisions: Math.max(
      20,
      Math.floor(5_000 / platform.state.txnOps),
    ),
    changesPerS,
    // Finishing a batch takes three changes in one transaction.
    changesBurst: Math.max(4, changesPerS),
    inFlight: hooks.inFlight,
    breakerAfter: hooks.breakerAfter,
    breakerPause: {
      baseMs: hooks.breakerBaseS * 1000,
      maxMs: hooks.breakerMostS * 1000,
    },
    subscriptions: hooks.subscriptions,
  };
}

export function senderSettings(
  hooks: WebhookFileSettings,
  file: string,
  agent: string,
): SenderSettings {
  let ca: string | null = null;
  if (hooks.caFile !== "") {
    try {
      ca = readFileSync(hooks.caFile, "utf8");
    } catch (e) {
      throw new SettingsError(
        `${file}: hooks.ca_file: ${hooks.caFile}: ${(e as Error).message.split(",")[0]}`,
      );
    }
  }
  return {
    networks: new AllowedNetworks(hooks.allow, hooks.onlyListed),
    keys: readKeys(hooks, file),
    allowHttp: hooks.allowHttp,
    deadlineMs: hooks.deadlineS * 1000,
    maxSockets: hooks.inFlight,
    maxAnswerBytes: hooks.answerBytes,
    ca,
    userAgent: agent,
  };
}
