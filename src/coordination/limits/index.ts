/** Teams' limits and guarantees over all controllers: docs/design/limits.md. */
export { ObservedLimits } from "./beliefs.js";
export { Guarantees } from "./guarantees.js";
export { GuaranteeReclaims } from "./reclaims.js";
export { QuotaAllocator } from "./sharing.js";
export { GuaranteeShortfallLog } from "./shortfall.js";
export { type ResourceAmounts, withinShare } from "./shares.js";
