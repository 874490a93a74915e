import type { Team } from "../../src/config/settings.js";
import { QuotaAllocator } from "../../src/coordination/quota/index.js";
import type { PartitionLeader } from "../../src/coordination/scheduling/partition-leader.js";
import {
  injectLargeFaults,
  randomJob,
  injectFaults,
  submitWorkload,
} from "./workloads.js";
import { World } from "./world.js";

// Measures how much of a team limit is used while work waits, for the quota shares and for an ideal central allocator that has
// complete and immediate knowledge: node target/test-build/test/simulation/quota-comparison.js SEEDS

const LIMIT = 120;
const team = (name: string, cpusMax: number): Team => ({
  name,
  cpus: cpusMax / 2,
  gpus: 0,
  cpusMax,
  gpusMax: Infinity,
});

export interface Figures {
  /** Used fraction of the CPUs that waiting and running work could use within the limit, over the whole run. */
  usedShare: number;
  /** The same for the worst window of 30 s. */
  worstShare: number;
  starts: number;
  writes: number;
  brokenRules: string[];
}

/** Runs a workload in which two teams request about twice their limits, with enough machines for both. */
export function measureLimits(
  seed: number,
  controllers: number,
  withFaults: boolean,
  isCentral: boolean,
): Figures {
  const world = new World(seed, undefined, [], controllers);
  world.capacity = 16;
  world.settings.teams = new Map([
    ["red", team("red", LIMIT)],
    ["blue", team("blue", LIMIT)],
  ]);
  world.bootAll();
  for (const z of world.zones)
    for (let i = 0; i < 14; i++) world.cloud.add(world.types[0]!, z, false, 0);
  submitWorkload(world, 170_000, (target, jobNumber) => {
    const isGang = target.rng.chance(0.3);
    return {
      ...randomJob(target, jobNumber),
      kind: isGang ? "gang" : "array",
      tasks: isGang ? target.rng.int(2, 6) : target.rng.int(20, 60),
      cpus: 4,
      gpus: 0,
      machineTypes: null,
      zone: target.rng.chance(0.15) ? "west" : null,
      spread: false,
      samePlace: isGang,
      priority: "normal",
    };
  });
  if (withFaults) {
    injectFaults(world, 170_000);
    injectLargeFaults(world, 170_000);
  }
  const leaders = (): PartitionLeader[] =>
    [...world.nodes.values()].flatMap((n) => [
      ...(n?.core.leaders.values() ?? []),
    ]);
  const original = QuotaAllocator.prototype.share;
  if (isCentral)
    QuotaAllocator.prototype.share = function (teamName) {
      const own = (this as unknown as { state: PartitionLeader["state"] })
        .state;
      let cpusElsewhere = 0;
      // For each other partition: what its leader counts (0 without a leader) or what runs there, whichever is more.
      const { partitions } = (
        this as unknown as {
          context: {
            partitions: { names: string[]; partitionOf(zone: string): string };
          };
        }
      ).context;
      for (const partition of partitions.names) {
        if (partition === own.partition) continue;
        let realCpus = 0;
        for (const machine of world.workers)
          if (
            !machine.gone &&
            partitions.partitionOf(machine.zone) === partition
          )
            for (const task of machine.tasks.values())
              if (
                task.state !== "exited" &&
                world.specs.get(task.job)?.team === teamName
              )
                realCpus += world.specs.get(task.job)!.cpus;
        cpusElsewhere += Math.max(
          realCpus,
          leaders()
            .find((m) => m.partition === partition)
            ?.state.usage()
            .get(teamName)?.cpus ?? 0,
        );
      }
      return [LIMIT - cpusElsewhere, Infinity];
    };
  const windows = new Map<number, { used: number; of: number }>();
  const sample = (): void => {
    for (const teamName of ["red", "blue"]) {
      let usedCpus = 0;
      for (const machine of world.workers)
        if (!machine.gone)
          for (const task of machine.tasks.values())
            if (
              task.state !== "exited" &&
              world.specs.get(task.job)!.team === teamName
            )
              usedCpus += world.specs.get(task.job)!.cpus;
      // CPUs of waiting array tasks whose partition has a machine with room for one of them.
      let startableCpus = 0;
      for (const leader of leaders())
        for (const job of leader.state.jobs.values())
          if (
            job.view.spec.team === teamName &&
            leader.state.mayStart(job) &&
            leader.state
              .usableWorkers()
              .usable.some(
                (worker) =>
                  (worker.type?.cpus ?? 0) -
                    [...worker.tasks.values()].reduce(
                      (n, y) => n + y.job.view.spec.cpus,
                      0,
                    ) >=
                  job.view.spec.cpus,
              )
          )
            startableCpus +=
              job.view.spec.kind === "array"
                ? job.waiting.size * job.view.spec.cpus
                : 0;
      const window = windows.get(Math.floor(world.now / 30_000)) ?? {
        used: 0,
        of: 0,
      };
      window.used += usedCpus;
      window.of += Math.min(LIMIT, usedCpus + startableCpus);
      windows.set(Math.floor(world.now / 30_000), window);
    }
    if (world.now < 179_000) world.at(250, sample);
  };
  world.at(20_000, sample);
  try {
    world.run(180_000);
  } finally {
    QuotaAllocator.prototype.share = original;
  }
  const allWindows = [...windows.values()];
  const sum = allWindows.reduce(
    (a, x) => ({ used: a.used + x.used, of: a.of + x.of }),
    { used: 0, of: 0 },
  );
  return {
    usedShare: sum.used / sum.of,
    worstShare: Math.min(
      ...allWindows.map((x) => (x.of === 0 ? 1 : x.used / x.of)),
    ),
    starts: world.starts,
    writes: [...world.checker.writesByKind]
      .filter(([k]) => k !== "past")
      .reduce((n, [, x]) => n + x, 0),
    brokenRules: world.checker.brokenRules,
  };
}

if (process.argv[1]?.endsWith("limits.js"))
  for (const withFaults of [false, true])
    for (const isCentral of [false, true])
      for (const controllers of [1, 3, 5, 7]) {
        const seeds = Array.from(
          { length: Number(process.argv[2] ?? 3) },
          (_, i) => 900 + i,
        );
        const allFigures = seeds.map((s) =>
          measureLimits(s, controllers, withFaults, isCentral),
        );
        const mean = (f: (d: Figures) => number): string =>
          (
            allFigures.reduce((n, d) => n + f(d), 0) / allFigures.length
          ).toFixed(3);
        console.log(
          withFaults ? "with faults" : "without faults",
          isCentral ? "central allocator" : "quota shares",
          controllers,
          "used",
          mean((d) => d.usedShare),
          "worst 30 s",
          Math.min(...allFigures.map((d) => d.worstShare)).toFixed(3),
          "starts",
          mean((d) => d.starts),
          "writes",
          mean((d) => d.writes),
          allFigures.flatMap((d) => d.brokenRules).join("; "),
        );
      }
