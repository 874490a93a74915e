import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** A seeded source of chance. */
export class Rng {
  private readonly g;
  constructor(seed: number) {
    this.g = xoroshiro128plus(seed);
  }
  int(lo: number, hi: number): number {
    return uniformInt(this.g, lo, hi);
  }
  real(lo = 0, hi = 1): number {
    return lo + uniformFloat64(this.g) * (hi - lo);
  }
  chance(p: number): boolean {
    return this.real() < p;
  }
  pick<T>(from: readonly T[]): T {
    return from[this.int(0, from.length - 1)]!;
  }
}
