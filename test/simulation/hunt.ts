import { SCENARIOS } from "../scenarios/index.js";
import {
  playFailureScenario,
  pipelines,
  injectFaults,
  submitWorkload,
} from "./workloads.js";
import {
  drawBasicFaults,
  drawExtendedFaults,
  playCancellationGap,
  playBasic,
  playExtended,
  shrink,
  type InjectedFault,
  type Network,
} from "./fault-combinations.js";
import { World } from "./world.js";

// Searches for seeds that break a rule: node target/test-build/test/simulation/hunt.js KIND FROM TO (TO is excluded). CONTRIBUTING.md lists
// the kinds. For a failing workload with drawn faults it prints a minimal list of faults that still breaks a rule, and at the end how
// often each combination occurred and in how many workloads.

/** The workload of one seed. */
interface HuntedWorkload {
  world: World;
  occurred?: Iterable<[string, number]>;
  /** Whether all submitted jobs had time to end. */
  comesToRest?: boolean;
  /** For drawn faults: a minimal list that still breaks a rule. */
  minimalFaults?: (() => readonly InjectedFault[]) | undefined;
}

function upgrade(seed: number): HuntedWorkload {
  const world = new World(seed, undefined, ["node-a", "node-b", "node-c"]);
  for (const zone of world.zones)
    world.cloud.add(world.types[0]!, zone, false, 0);
  submitWorkload(world, 150_000);
  world.rollout(world.rng.real(10_000, 30_000), world.rng.real(3_000, 12_000));
  world.at(world.rng.real(75_000, 110_000), () => (world.limitsFell = true));
  pipelines(world, 75_000, 170_000);
  injectFaults(world, 190_000);
  world.at(275_000, () => world.checker.checkNoneForgotten(200_000));
  world.run(330_000);
  return { world, comesToRest: true };
}

/** What became of the copies of requests. */
const copyCounts = ({ copies }: World): [string, number][] => [
  ...Object.entries(copies.delivered).map(([kind, times]): [string, number] => [
    `copies delivered: ${kind}`,
    times,
  ]),
  ["copied transactions committed again", copies.committedAgain],
  ...Object.entries<number>({ ...copies.commandCounts }),
];

/** The network in the kinds "lossy-..." and "copied-...". */
const LOSSY: Network = { retransmissionRate: 0.1 };
const COPYING: Network = { copyRate: 0.3 };

/** Workloads with drawn faults in such a network. */
const drawn =
  (
    play: typeof playBasic,
    drawFaults: (seed: number) => InjectedFault[],
    network: Network = {},
  ) =>
  (seed: number): HuntedWorkload => {
    const { world, occurred } = play(seed, drawFaults(seed), network);
    return {
      world,
      occurred: [
        ...Object.entries(occurred),
        ...(network.copyRate === undefined ? [] : copyCounts(world)),
      ],
      minimalFaults: () =>
        shrink(seed, drawFaults(seed), (s, faults) => play(s, faults, network)),
    };
  };

function gap(seed: number): HuntedWorkload {
  const { world, occurred } = playCancellationGap(seed);
  return { world, occurred: Object.entries(occurred) };
}

const KINDS: Readonly<Record<string, (seed: number) => HuntedWorkload>> = {
  upgrade,
  nights: (seed) => ({ world: playFailureScenario(seed), comesToRest: true }),
  gap,
  meetings: drawn(playBasic, drawBasicFaults),
  more: drawn(playExtended, drawExtendedFaults),
  "lossy-meetings": drawn(playBasic, drawBasicFaults, LOSSY),
  "lossy-more": drawn(playExtended, drawExtendedFaults, LOSSY),
  "copied-meetings": drawn(playBasic, drawBasicFaults, COPYING),
  "copied-more": drawn(playExtended, drawExtendedFaults, COPYING),
  ...SCENARIOS,
};

/** Most jobs that may be unfinished in a workload that had time to end. */
const MOST_OPEN = 2;

function main(kind: string, from: number, to: number): void {
  const playKind = KINDS[kind];
  if (!playKind)
    throw new Error(`KIND: one of ${Object.keys(KINDS).join(", ")}`);
  const occurred = new Map<string, { times: number; workloads: number }>();
  let longestMs = 0;
  let confirmed = 0;
  let startedAfter = 0;
  for (let seed = from; seed < to; seed++) {
    const workload = playKind(seed);
    const { checker, starts } = workload.world;
    longestMs = Math.max(longestMs, checker.longestRunAfterCancellationMs);
    confirmed += checker.tasksRunningAtCancellation;
    startedAfter += checker.startsAfterCancelled;
    for (const [name, times] of workload.occurred ?? []) {
      const sum = occurred.get(name) ?? { times: 0, workloads: 0 };
      const workloads = sum.workloads + (times > 0 ? 1 : 0);
      occurred.set(name, { times: sum.times + times, workloads: workloads });
    }
    const open = checker.unfinished();
    const isOpen = workload.comesToRest === true && open.length > MOST_OPEN;
    if (checker.brokenRules.length === 0 && !isOpen) continue;
    console.log(seed, checker.brokenRules, { open, starts });
    if (checker.brokenRules.length > 0 && workload.minimalFaults)
      console.log(
        seed,
        "fewest injected faults:",
        JSON.stringify(workload.minimalFaults()),
      );
  }
  console.log(
    `${to - from} workloads of ${kind}; ${confirmed} tasks on machines when their cancellation was confirmed, the longest for ${longestMs / 1000} s; ${startedAfter} started after it`,
  );
  for (const [name, { times, workloads }] of occurred)
    console.log(`${name}: ${times} times, in ${workloads} workloads`);
}

const [kind, from, to] = process.argv.slice(2);
main(kind ?? "", Number(from), Number(to));
