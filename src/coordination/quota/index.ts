/** Teams' limits and guarantees across all partitions. Design: docs/design/limits.md. */
export { ObservedLimits } from "./observed-limits.js";
export { Guarantees } from "./guarantees.js";
export { GuaranteeReclaims } from "./guarantee-reclaims.js";
export { QuotaAllocator } from "./quota-allocator.js";
export { GuaranteeShortfallLog } from "./guarantee-shortfall-log.js";
export { type ResourceAmounts, withinShare } from "./resource-amounts.js";
