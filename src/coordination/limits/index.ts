/** Teams' limits and guarantees over all controllers: docs/design/limits.md. */
export { Beliefs } from "./beliefs.js";
export { Guarantees } from "./guarantees.js";
export { Reclaims } from "./reclaims.js";
export { Sharing } from "./sharing.js";
export { Shortfall } from "./shortfall.js";
export { type Pair, withinShare } from "./shares.js";
