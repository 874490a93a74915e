import type { Tuning } from "../coordination/model.js";
import { SettingsError } from "./settings.js";

/** Defaults of the operators' settings. docs/settings.md describes the unit and effect of each. */
export const DEFAULTS: Readonly<Tuning> = {
  longEvery: 4,
  reservedShare: 0.1,
  shortCutoffS: 240,
  shortGangS: 1500,
  holdAfterS: 600,
  beginWithinS: 240,
  idleReturnS: 15,
  idleBoots: 1,
  warmWindowS: 300,
  spareShare: 0.15,
  cheapPatience: 0.5,
  silentReturnS: 90,
  bootPatience: 3.5,
  directOrders: true,
  guaranteeOrder: true,
  fleetOrder: true,
  dividedLimits: false,
  tellEnds: false,
};

/** Schema of the operators' file, which is an `Operator` message in protobuf text format. */
const SCHEMA = `
syntax = "proto2";
message Operator {
  optional uint32 long_every = 1;
  optional double reserved_share = 2;
  optional double short_cutoff_s = 3;
  optional double idle_return_s = 4;
  optional double idle_boots = 5;
  optional double warm_window_s = 6;
  optional double silent_return_s = 7;
  optional double boot_patience = 8;
  optional bool direct_orders = 9;
  optional double cheap_patience = 10;
  optional double spare_share = 11;
  optional double short_gang_s = 12;
  optional double hold_after_s = 13;
  optional Hooks hooks = 20;
  optional bool metrics = 21;
  optional bool guarantee_order = 22;
  optional bool divided_limits = 23;
  optional bool fleet_order = 24;
  optional double begin_within_s = 25;
}
message Hooks {
  message Key {
    optional string id = 1;
    optional string file = 2;
    optional string variable = 3;
  }
  repeated Key key = 1;
  repeated string allow = 2;
  optional bool only_listed = 3;
  optional bool allow_http = 4;
  optional string ca_file = 5;
  optional uint32 in_flight = 6 [default = 32];
  optional uint32 parallel = 7 [default = 4];
  optional double deadline_s = 8 [default = 10];
  optional uint32 answer_bytes = 9 [default = 16384];
  optional double horizon_s = 10 [default = 259200];
  optional double retry_base_s = 11 [default = 2];
  optional double retry_most_s = 12 [default = 3600];
  optional uint32 breaker_after = 13 [default = 5];
  optional double breaker_base_s = 14 [default = 5];
  optional double breaker_most_s = 15 [default = 600];
  optional double changes_share = 16 [default = 0.3];
  optional uint32 spool_batches = 17 [default = 2000];
  optional uint32 subscriptions = 18 [default = 200];
}`;

/** Settings of webhooks in the operators' file. Their presence enables webhooks. docs/hooks.md describes the unit and effect of each. */
export interface WebhookFileSettings {
  key: { id: string; file: string; variable: string }[];
  allow: string[];
  onlyListed: boolean;
  allowHttp: boolean;
  caFile: string;
  inFlight: number;
  parallel: number;
  deadlineS: number;
  answerBytes: number;
  horizonS: number;
  retryBaseS: number;
  retryMostS: number;
  breakerAfter: number;
  breakerBaseS: number;
  breakerMostS: number;
  changesShare: number;
  spoolBatches: number;
  subscriptions: number;
}
/** The operators' file: tuning of the core and optional extensions of the process. */
export interface Operator {
  tuning: Tuning;
  /** null if webhooks are disabled. */
  hooks: WebhookFileSettings | null;
  metrics: boolean;
}

/** Minimum and maximum of each number in `hooks`. */
const WEBHOOK_BOUNDS: Partial<
  Record<keyof WebhookFileSettings, [number, number]>
> = {
  inFlight: [1, 512],
  parallel: [1, 64],
  deadlineS: [0.1, 60],
  answerBytes: [0, 1 << 20],
  horizonS: [1, 60 * 86_400],
  retryBaseS: [0.01, 3_600],
  retryMostS: [0.01, 86_400],
  breakerAfter: [1, 1_000],
  breakerBaseS: [0.01, 3_600],
  breakerMostS: [0.01, 86_400],
  changesShare: [0.01, 0.9],
  spoolBatches: [1, 100_000],
  subscriptions: [1, 1_000],
};

/** Minimum and maximum of each number in `Tuning`. */
const TUNING_BOUNDS: Partial<Record<keyof Tuning, [number, number]>> = {
  longEvery: [1, 1_000_000],
  reservedShare: [0, 0.9],
  shortCutoffS: [0, 1e9],
  shortGangS: [0, 1e9],
  holdAfterS: [0, 1e9],
  beginWithinS: [0, 1e9],
  idleReturnS: [0, 1e9],
  idleBoots: [0, 1e6],
  warmWindowS: [1, 1e9],
  cheapPatience: [0, 1],
  spareShare: [0, 10],
  silentReturnS: [1, 1e9],
  bootPatience: [1, 1e6],
};

/**
 * Parses the operators' file. protobufjs is loaded only if there is such a file, so that a controller without one restarts
 * faster after a crash.
 */
export async function parseOperator(
  text: string,
  file: string,
): Promise<Operator> {
  const { default: protobuf } = await import("protobufjs");
  const { default: textformat } =
    (await import("protobufjs/ext/textformat.js")) as unknown as {
      default: { install(): void };
    };
  textformat.install();
  const type = protobuf.parse(SCHEMA).root.lookupType("Operator") as ReturnType<
    typeof protobuf.Root.prototype.lookupType
  > & { fromText(text: string): object };
  let fields: Record<string, unknown>;
  let hooks: WebhookFileSettings | null;
  try {
    const message = type.fromText(text) as unknown as { hooks?: object | null };
    fields = type.toObject(message as never);
    hooks = message.hooks
      ? (type.root.lookupType("Hooks").toObject(message.hooks as never, {
          defaults: true,
          arrays: true,
        }) as WebhookFileSettings)
      : null;
  } catch (e) {
    throw new SettingsError(
      `${file}: ${(e instanceof Error ? e.message : String(e)).split("\n")[0]}`,
    );
  }
  const checkBounds = (numbers: object, bounds: object, path: string): void => {
    for (const [key, [min, max]] of Object.entries(bounds) as [
      string,
      [number, number],
    ][]) {
      const value = (numbers as Record<string, unknown>)[key];
      const field =
        path + key.replaceAll(/[A-Z]/g, (c) => `_${c.toLowerCase()}`);
      if (
        value !== undefined &&
        !(typeof value === "number" && value >= min && value <= max)
      )
        throw new SettingsError(
          `${file}: ${field}: must lie within ${min} and ${max}`,
        );
    }
  };
  checkBounds(fields, TUNING_BOUNDS, "");
  if (hooks) checkBounds(hooks, WEBHOOK_BOUNDS, "hooks.");
  const { hooks: _, metrics, ...tuning } = fields;
  return {
    tuning: { ...DEFAULTS, ...tuning, tellEnds: hooks !== null },
    hooks,
    metrics: metrics === true,
  };
}
