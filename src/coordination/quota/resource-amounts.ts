/** Arithmetic on amounts of the resources that limits and guarantees apply to: CPUs and accelerators. Owns no state. */
import { EPSILON } from "../scheduling/placement.js";

/** An amount of each resource, in the format of the stored records. */
export type ResourceAmounts = [cpus: number, gpus: number];

/** Index into `ResourceAmounts`: 0 for CPUs, 1 for accelerators. */
export type Dimension = 0 | 1;

/** Both dimensions, CPUs first. */
export const DIMENSIONS = [0, 1] as const;

/** Calls `compute` for each dimension and returns both results. */
export const perDimension = (
  compute: (dimension: Dimension) => number,
): ResourceAmounts => [compute(0), compute(1)];

/** Whether either amount is positive by more than a rounding error. */
export const isAnyPositive = (amounts: Readonly<ResourceAmounts>): boolean =>
  amounts[0] > EPSILON || amounts[1] > EPSILON;

/** Floating-point error, in hundredths, up to which an amount counts as a whole number of hundredths. */
const HUNDREDTH_TOLERANCE = 1e-6;

/** Shares are stored in hundredths, rounded down so that their sum does not exceed the limit. */
export const roundDownToHundredth = (amount: number): number =>
  Math.floor(amount * 100 + HUNDREDTH_TOLERANCE) / 100;

/** Demands are rounded up: if a hundredth were missing, the task could not start. */
export const roundUpToHundredth = (amount: number): number =>
  Math.ceil(amount * 100 - HUNDREDTH_TOLERANCE) / 100;

/** Whether `need` fits into a share of a team's limit of which `used` is already in use. */
export const withinShare = (
  used: { cpus: number; gpus: number },
  need: { cpus: number; gpus: number },
  share: Readonly<ResourceAmounts>,
): boolean =>
  used.cpus + need.cpus <= share[0] + EPSILON &&
  used.gpus + need.gpus <= share[1] + EPSILON;
