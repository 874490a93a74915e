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

// How much of a limit is in use while work waits, against one allocator that knows everything at once and whose word needs no
// time: node target/test-build/test/simulation/quota-comparison.js SEEDS

const LIMIT = 120;
const team = (name: string, cpusMax: number): Team => ({
  name,
  cpus: cpusMax / 2,
  gpus: 0,
  cpusMax,
  gpusMax: Infinity,
});

export interface Figures {
  /** Of the limit, over all moments in which work waits that some group has a machine for. */
  used: number;
  /** The same for the worst 30 s. */
  worst: number;
  starts: number;
  changes: number;
  broken: string[];
}

/** A day on which two teams ask for about twice their limits, on machines enough for both. */
export function limitsDay(
  seed: number,
  controllers: number,
  rough: boolean,
  central: boolean,
): Figures {
  const w = new World(seed, undefined, [], controllers);
  w.capacity = 16;
  w.settings.teams = new Map([
    ["red", team("red", LIMIT)],
    ["blue", team("blue", LIMIT)],
  ]);
  w.bootAll();
  for (const z of w.zones)
    for (let i = 0; i < 14; i++) w.cloud.add(w.types[0]!, z, false, 0);
  submitWorkload(w, 170_000, (x, n) => {
    const gang = x.rng.chance(0.3);
    return {
      ...randomJob(x, n),
      kind: gang ? "gang" : "array",
      tasks: gang ? x.rng.int(2, 6) : x.rng.int(20, 60),
      cpus: 4,
      gpus: 0,
      machineTypes: null,
      zone: x.rng.chance(0.15) ? "west" : null,
      spread: false,
      samePlace: gang,
      priority: "normal",
    };
  });
  if (rough) {
    injectFaults(w, 170_000);
    injectLargeFaults(w, 170_000);
  }
  const leaders = (): PartitionLeader[] =>
    [...w.nodes.values()].flatMap((n) => [...(n?.core.leaders.values() ?? [])]);
  const before = QuotaAllocator.prototype.share;
  if (central)
    QuotaAllocator.prototype.share = function (t) {
      const own = (this as unknown as { state: PartitionLeader["state"] })
        .state;
      let elsewhere = 0;
      // Group by group, what its master counts, or what really runs there if that is more, or it has none.
      const { partitions } = (
        this as unknown as {
          context: {
            partitions: { names: string[]; partitionOf(zone: string): string };
          };
        }
      ).context;
      for (const g of partitions.names) {
        if (g === own.partition) continue;
        let real = 0;
        for (const x of w.workers)
          if (!x.gone && partitions.partitionOf(x.zone) === g)
            for (const y of x.tasks.values())
              if (y.state !== "exited" && w.specs.get(y.job)?.team === t)
                real += w.specs.get(y.job)!.cpus;
        elsewhere += Math.max(
          real,
          leaders()
            .find((m) => m.partition === g)
            ?.state.usage()
            .get(t)?.cpus ?? 0,
        );
      }
      return [LIMIT - elsewhere, Infinity];
    };
  const windows = new Map<number, { used: number; of: number }>();
  const sample = (): void => {
    for (const t of ["red", "blue"]) {
      let used = 0;
      for (const x of w.workers)
        if (!x.gone)
          for (const y of x.tasks.values())
            if (y.state !== "exited" && w.specs.get(y.job)!.team === t)
              used += w.specs.get(y.job)!.cpus;
      // Of what waits: so much as the limit has left, where its group has room for it at once.
      let could = 0;
      for (const m of leaders())
        for (const j of m.state.jobs.values())
          if (
            j.view.spec.team === t &&
            m.state.mayStart(j) &&
            m.state
              .usableWorkers()
              .usable.some(
                (x) =>
                  (x.type?.cpus ?? 0) -
                    [...x.tasks.values()].reduce(
                      (n, y) => n + y.job.view.spec.cpus,
                      0,
                    ) >=
                  j.view.spec.cpus,
              )
          )
            could +=
              j.view.spec.kind === "array"
                ? j.waiting.size * j.view.spec.cpus
                : 0;
      const window = windows.get(Math.floor(w.now / 30_000)) ?? {
        used: 0,
        of: 0,
      };
      window.used += used;
      window.of += Math.min(LIMIT, used + could);
      windows.set(Math.floor(w.now / 30_000), window);
    }
    if (w.now < 179_000) w.at(250, sample);
  };
  w.at(20_000, sample);
  try {
    w.run(180_000);
  } finally {
    QuotaAllocator.prototype.share = before;
  }
  const all = [...windows.values()];
  const sum = all.reduce(
    (a, x) => ({ used: a.used + x.used, of: a.of + x.of }),
    { used: 0, of: 0 },
  );
  return {
    used: sum.used / sum.of,
    worst: Math.min(...all.map((x) => (x.of === 0 ? 1 : x.used / x.of))),
    starts: w.starts,
    changes: [...w.checker.writes]
      .filter(([k]) => k !== "past")
      .reduce((n, [, x]) => n + x, 0),
    broken: w.checker.broken,
  };
}

if (process.argv[1]?.endsWith("limits.js"))
  for (const rough of [false, true])
    for (const central of [false, true])
      for (const controllers of [1, 3, 5, 7]) {
        const seeds = Array.from(
          { length: Number(process.argv[2] ?? 3) },
          (_, i) => 900 + i,
        );
        const days = seeds.map((s) =>
          limitsDay(s, controllers, rough, central),
        );
        const mean = (f: (d: Figures) => number): string =>
          (days.reduce((n, d) => n + f(d), 0) / days.length).toFixed(3);
        console.log(
          rough ? "rough" : "calm",
          central ? "one that knows all" : "limits",
          controllers,
          "used",
          mean((d) => d.used),
          "worst 30 s",
          Math.min(...days.map((d) => d.worst)).toFixed(3),
          "starts",
          mean((d) => d.starts),
          "changes",
          mean((d) => d.changes),
          days.flatMap((d) => d.broken).join("; "),
        );
      }
