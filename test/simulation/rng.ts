import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Seeded pseudo-random number generator. */
export class Rng {
  private readonly generator;
  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }
  int(min: number, max: number): number {
    return uniformInt(this.generator, min, max);
  }
  real(min = 0, max = 1): number {
    return min + uniformFloat64(this.generator) * (max - min);
  }
  chance(probability: number): boolean {
    return this.real() < probability;
  }
  pick<T>(items: readonly T[]): T {
    return items[this.int(0, items.length - 1)]!;
  }
}
