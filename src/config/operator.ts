import type { Tuning } from "../coordination/model.js";
import { SettingsError } from "./settings.js";

/** Defaults of the operators' own settings; docs/settings.md has unit and effect of each. */
export const DEFAULTS: Readonly<Tuning> = {
  longEvery: 4,
  reservedShare: 0.1,
  shortCutoffS: 240,
  shortGangS: 1500,
  holdAfterS: 600,
  idleReturnS: 15,
  idleBoots: 1,
  warmWindowS: 300,
  spareShare: 0.15,
  cheapPatience: 0.5,
  silentReturnS: 90,
  bootPatience: 3.5,
  directOrders: true,
};

/** The message that the operators' file holds, in protobuf text format. */
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
}`;

/** Least and most of each number. */
const BOUNDS: Partial<Record<keyof Tuning, [number, number]>> = {
  longEvery: [1, 1_000_000],
  reservedShare: [0, 0.9],
  shortCutoffS: [0, 1e9],
  shortGangS: [0, 1e9],
  holdAfterS: [0, 1e9],
  idleReturnS: [0, 1e9],
  idleBoots: [0, 1e6],
  warmWindowS: [1, 1e9],
  cheapPatience: [0, 1],
  spareShare: [0, 10],
  silentReturnS: [1, 1e9],
  bootPatience: [1, 1e6],
};

/**
 * Reads the operators' file. protobufjs is loaded only when there is one: a controller that starts again after a
 * crash should not pay for it.
 */
export async function parseOperator(text: string, file: string): Promise<Tuning> {
  const { default: protobuf } = await import("protobufjs");
  const { default: textformat } = (await import("protobufjs/ext/textformat.js")) as unknown as { default: { install(): void } };
  textformat.install();
  const type = protobuf.parse(SCHEMA).root.lookupType("Operator") as ReturnType<typeof protobuf.Root.prototype.lookupType> & { fromText(text: string): object };
  let given: Record<string, unknown>;
  try {
    given = type.toObject(type.fromText(text) as never);
  } catch (e) {
    throw new SettingsError(`${file}: ${(e instanceof Error ? e.message : String(e)).split("\n")[0]}`);
  }
  for (const [key, [lo, hi]] of Object.entries(BOUNDS)) {
    const value = given[key];
    const field = key.replace(/[A-Z]/g, (c) => `_${c.toLowerCase()}`);
    if (value !== undefined && !(typeof value === "number" && value >= lo && value <= hi))
      throw new SettingsError(`${file}: ${field}: must lie within ${lo} and ${hi}`);
  }
  return { ...DEFAULTS, ...given };
}
