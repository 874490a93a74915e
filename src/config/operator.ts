import type { Tuning } from "../coordination/model.js";

/** Defaults of the operators' own settings; docs/settings.md has unit and effect of each. */
export const DEFAULTS: Readonly<Tuning> = {
  longEvery: 4,
  reservedShare: 0.1,
  shortCutoffS: 240,
  idleReturnS: 15,
  idleBoots: 1,
  warmWindowS: 300,
  silentReturnS: 90,
  bootPatience: 3.5,
  directOrders: true,
};
