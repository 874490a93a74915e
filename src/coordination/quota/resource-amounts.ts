/** Arithmetic on amounts of the resources that teams' limits and guarantees count: CPUs and accelerators. Owns no state. */
import { EPSILON } from "../scheduling/placement.js";

/** A pair, as the stored records have it. */
export type ResourceAmounts = [cpus: number, gpus: number];

/** Index of CPUs or of accelerators in `ResourceAmounts`. */
export type Dimension = 0 | 1;

/** Both dimensions, CPUs first. */
export const DIMENSIONS = [0, 1] as const;

/** The pair of what `compute` returns for CPUs and for accelerators. */
export const perDimension = (
  compute: (dimension: Dimension) => number,
): ResourceAmounts => [compute(0), compute(1)];

/** Whether either amount is more than what rounding leaves. */
export const isAnyPositive = (amounts: Readonly<ResourceAmounts>): boolean =>
  amounts[0] > EPSILON || amounts[1] > EPSILON;

/** A number that should be a whole number of hundredths may miss it by this part of one. */
const HUNDREDTH_TOLERANCE = 1e-6;

/** Parts are written in hundredths, rounded down: sums of them don't pass the limit. */
export const roundDownToHundredth = (amount: number): number =>
  Math.floor(amount * 100 + HUNDREDTH_TOLERANCE) / 100;

/** What is asked for is rounded up: a hundredth too little would start nothing. */
export const roundUpToHundredth = (amount: number): number =>
  Math.ceil(amount * 100 - HUNDREDTH_TOLERANCE) / 100;

/** Whether `need` fits into a team's share of its limit beside what is used of it. */
export const withinShare = (
  used: { cpus: number; gpus: number },
  need: { cpus: number; gpus: number },
  share: Readonly<ResourceAmounts>,
): boolean =>
  used.cpus + need.cpus <= share[0] + EPSILON &&
  used.gpus + need.gpus <= share[1] + EPSILON;
