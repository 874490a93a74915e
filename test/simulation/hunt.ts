import { SCENARIOS } from "../scenarios/index.js";
import {
  failureScenario,
  pipelines,
  injectFaults,
  submitWorkload,
} from "./workloads.js";
import {
  draw,
  drawMore,
  gap,
  play,
  type PlayedWorkload,
  playMore,
  shrink,
  type InjectedFault,
} from "./fault-combinations.js";
import { World } from "./world.js";

// Looks for seeds that break a rule: node target/test-build/test/simulation/hunt.js KIND FROM TO. CONTRIBUTING.md says which kinds there are. Of drawn
// injected faults it prints the fewest that still break the rule; at the end, how often each conjunction occurred and on how many days.

/** One day of a search. */
interface Workload {
  world: World;
  occurred?: Iterable<[string, number]>;
  /** Everything submitted had time to end. */
  comesToRest?: boolean;
  /** For days of drawn injected faults: the fewest that still break a rule. */
  fewest?: (() => readonly InjectedFault[]) | undefined;
}

function upgrade(seed: number): Workload {
  const world = new World(seed, undefined, ["node-a", "node-b", "node-c"]);
  for (const zone of world.zones)
    world.cloud.add(world.types[0]!, zone, false, 0);
  submitWorkload(world, 150_000);
  world.rollout(world.rng.real(10_000, 30_000), world.rng.real(3_000, 12_000));
  world.at(world.rng.real(75_000, 110_000), () => (world.limitsFell = true));
  pipelines(world, 75_000, 170_000);
  injectFaults(world, 190_000);
  world.at(275_000, () => world.checker.remembers(200_000));
  world.run(330_000);
  return { world, comesToRest: true };
}

const drawnWorkload = (
  { world, occurred: met }: PlayedWorkload,
  fewest?: Workload["fewest"],
): Workload => ({
  world,
  occurred: Object.entries(met),
  fewest,
});

const KINDS: Readonly<Record<string, (seed: number) => Workload>> = {
  upgrade,
  nights: (seed) => ({ world: failureScenario(seed), comesToRest: true }),
  gap: (seed) => drawnWorkload(gap(seed)),
  meetings: (seed) =>
    drawnWorkload(play(seed, draw(seed)), () => shrink(seed, draw(seed))),
  more: (seed) =>
    drawnWorkload(playMore(seed, drawMore(seed)), () =>
      shrink(seed, drawMore(seed), playMore),
    ),
  "lossy-meetings": (seed) =>
    drawnWorkload(play(seed, draw(seed), LOSSY), () =>
      shrink(seed, draw(seed), (s, faults) => play(s, faults, LOSSY)),
    ),
  "lossy-more": (seed) =>
    drawnWorkload(playMore(seed, drawMore(seed), LOSSY), () =>
      shrink(seed, drawMore(seed), (s, faults) => playMore(s, faults, LOSSY)),
    ),
  ...SCENARIOS,
};

/** Part of the messages that are lost and sent again in the kinds "lossy-...". */
const LOSSY = 0.1;

/** A few jobs may still be under way on a day that comes to rest. */
const MOST_OPEN = 2;

function main(kind: string, from: number, to: number): void {
  const playKind = KINDS[kind];
  if (!playKind)
    throw new Error(`KIND: one of ${Object.keys(KINDS).join(", ")}`);
  const occurred = new Map<string, { times: number; days: number }>();
  let longestMs = 0;
  let confirmed = 0;
  let startedAfter = 0;
  for (let seed = from; seed < to; seed++) {
    const day = playKind(seed);
    const { checker, starts } = day.world;
    longestMs = Math.max(longestMs, checker.longestAfterMs);
    confirmed += checker.cancelledOn;
    startedAfter += checker.startsAfterCancelled;
    for (const [name, n] of day.occurred ?? []) {
      const sum = occurred.get(name) ?? { times: 0, days: 0 };
      const days = sum.days + (n > 0 ? 1 : 0);
      occurred.set(name, { times: sum.times + n, days });
    }
    const open = checker.unfinished();
    const isOpen = day.comesToRest === true && open.length > MOST_OPEN;
    if (checker.broken.length === 0 && !isOpen) continue;
    console.log(seed, checker.broken, { open, starts });
    if (checker.broken.length > 0 && day.fewest)
      console.log(
        seed,
        "fewest injected faults:",
        JSON.stringify(day.fewest()),
      );
  }
  console.log(
    `${to - from} days of ${kind}; ${confirmed} tasks on machines when their cancellation was confirmed, the longest for ${longestMs / 1000} s; ${startedAfter} got on one after it`,
  );
  for (const [name, { times, days }] of occurred)
    console.log(`${name}: ${times} times, on ${days} days`);
}

const [kind, from, to] = process.argv.slice(2);
main(kind ?? "", Number(from), Number(to));
