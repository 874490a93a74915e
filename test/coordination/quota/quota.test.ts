import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { DEFAULTS } from "../../../src/config/operator.js";
import type { Team } from "../../../src/config/settings.js";
import type { PartitionDemand } from "../../../src/coordination/quota/partition-demand.js";
import { planQuotas } from "../../../src/coordination/quota/quota-plan.js";
import type { QuotaSituation } from "../../../src/coordination/quota/quota-situation.js";
import {
  GuaranteeReclaims,
  QuotaAllocator,
} from "../../../src/coordination/quota/index.js";
import {
  entryIn,
  entryOf,
  type QuotaRecord,
  maxUsage,
  isOverAllocated,
} from "../../../src/coordination/quota/quota-records.js";
import type { ResourceAmounts } from "../../../src/coordination/quota/resource-amounts.js";
import type { JobSpec } from "../../../src/coordination/model.js";
import { SchedulingRound } from "../../../src/coordination/scheduling/scheduling-round.js";
import { explore } from "../../../src/verification/explore.js";
import {
  type Guard,
  GUARDS,
  quotaModel,
  type QuotaScope,
} from "../../../src/verification/quota-model.js";
import {
  bytesOf,
  QUOTA_KEY,
  type QuotaShares,
} from "../../../src/storage/records.js";
import { runProcessCluster } from "./process-cluster.js";
import {
  randomJob,
  injectFaults,
  injectLargeFaults,
  submitWorkload,
} from "../../simulation/workloads.js";
import { World } from "../../simulation/world.js";

/** Teams' limits and guarantees across all controllers. */

const team = (
  name: string,
  cpusMax: number,
  overrides: Partial<Team> = {},
): Team => ({
  name,
  cpus: 0,
  gpus: 0,
  cpusMax,
  gpusMax: Infinity,
  ...overrides,
});

/** Partition leaders that share the quota records, each with its own settings; every commit is applied at once. */
class PartitionsOnOneRecord {
  readonly records = new Map<string, QuotaRecord>();
  private revision = 0;
  readonly use = new Map<string, Map<string, number>>();
  readonly demands = new Map<string, Map<string, PartitionDemand>>();
  commitCount = 0;

  constructor(readonly valueBytes = 8_000) {}

  usedBy(partition: string, teamName: string): number {
    return this.use.get(partition)?.get(teamName) ?? 0;
  }
  situation(
    partition: string,
    partitions: string[],
    teams: Team[],
    overrides: Partial<QuotaSituation> = {},
  ): QuotaSituation {
    const use = (teamName: string): ResourceAmounts => [
      this.usedBy(partition, teamName),
      0,
    ];
    return {
      partition,
      partitions,
      teams: new Map(teams.map((t) => [t.name, t])),
      records: this.records,
      maxValueBytes: this.valueBytes,
      maxRecords: 3,
      use,
      confirmedUse: use,
      ownDemands: this.demands.get(partition) ?? new Map(),
      otherDemands: new Map([...this.demands].filter(([g]) => g !== partition)),
      needAheadOf: () => [0, 0],
      lendable: () => [0, 0],
      keptForBackfill: () => [0, 0],
      reservation: () => null,
      keptForOverdueJob: () => [0, 0],
      limitsAgreed: true,
      removedPartitions: new Set(),
      mayMoveShares: () => true,
      ...overrides,
    };
  }
  /** Plans and commits the next change of one leader; returns whether there was one. */
  planAndCommit(situation: QuotaSituation): boolean {
    const plan = planQuotas(situation);
    if (!plan) return false;
    this.commitCount++;
    this.revision++;
    for (const [key, shares] of plan.writes) {
      assert.ok(bytesOf(shares) <= this.valueBytes);
      this.records.set(key, {
        shares: JSON.parse(JSON.stringify(shares)) as QuotaShares,
        revision: this.revision,
      });
    }
    return true;
  }
  share(partition: string, settings: Team): number {
    return maxUsage(
      settings,
      entryOf(this.records, settings.name),
      partition,
      () => [this.usedBy(partition, settings.name), 0],
    )[0];
  }
  publishDemand(
    partition: string,
    teamName: string,
    cpus: number,
    queueOrderMs: number,
    baseShare: number,
  ): void {
    const ofPartition =
      this.demands.get(partition) ?? new Map<string, PartitionDemand>();
    this.demands.set(
      partition,
      ofPartition.set(teamName, {
        startable: [cpus, 0],
        startableSinceMs: [queueOrderMs, Infinity],
        awaitingMachines: [0, 0],
        awaitingMachinesSinceMs: [Infinity, Infinity],
        baseShare: [baseShare, 0],
      }),
    );
  }
}

test("shares stay correct when controllers are added and removed, limits are raised and lowered, and settings differ", () => {
  const cluster = new PartitionsOnOneRecord();
  const three = ["a", "b", "c"];
  const t900 = team("t", 900);
  for (const partition of three)
    cluster.planAndCommit(cluster.situation(partition, three, [t900]));
  assert.deepEqual(
    three.map((g) => cluster.share(g, t900)),
    [300, 300, 300],
  );
  // A fourth controller gets no share, because the records take precedence: limit / n beside the other shares made 1,125 in all.
  const four = [...three, "d"];
  for (const partition of four)
    cluster.planAndCommit(cluster.situation(partition, four, [t900]));
  assert.deepEqual(
    four.map((g) => cluster.share(g, t900)),
    [300, 300, 300, 0],
  );
  cluster.publishDemand("d", "t", 200, 1, 0);
  for (const partition of four)
    cluster.planAndCommit(cluster.situation(partition, four, [t900]));
  assert.equal(cluster.share("d", t900), 200);
  assert.equal(
    four.reduce((n, g) => n + cluster.share(g, t900), 0),
    900,
  );
  cluster.demands.clear();
  // Lowered to 300 while 400 are in use: no task starts, whether or not a controller has the new settings yet.
  cluster.use.set("b", new Map([["t", 250]])).set("c", new Map([["t", 150]]));
  const t300 = team("t", 300);
  assert.equal(
    cluster.share("a", t300),
    0,
    "the settings apply before the records change",
  );
  for (let k = 0; k < 3; k++)
    for (const partition of four)
      cluster.planAndCommit(
        cluster.situation(partition, four, [partition === "a" ? t300 : t900], {
          limitsAgreed: false,
        }),
      );
  assert.deepEqual(
    four.map((g) => cluster.share(g, t900)),
    [0, 250, 150, 0],
    "only what is in use",
  );
  cluster.use.get("b")!.set("t", 100);
  for (let k = 0; k < 3; k++)
    for (const partition of four)
      cluster.planAndCommit(cluster.situation(partition, four, [t300]));
  assert.ok(four.reduce((n, g) => n + cluster.share(g, t300), 0) <= 300.01);
  assert.ok(cluster.share("b", t300) >= 100 && cluster.share("c", t300) >= 150);
  // A removed partition keeps its share until none of its tasks can be running; then others get it.
  const two = ["a", "b"];
  cluster.use.set("a", new Map([["t", 0]]));
  cluster.publishDemand("a", "t", 200, 1, cluster.share("a", t300));
  const previousShare = cluster.share("c", t300);
  for (const partition of two)
    cluster.planAndCommit(cluster.situation(partition, two, [t300]));
  assert.equal(entryOf(cluster.records, "t")!.shares["c"]![0], previousShare);
  for (let k = 0; k < 2; k++)
    for (const partition of two)
      cluster.planAndCommit(
        cluster.situation(partition, two, [t300], {
          removedPartitions: new Set(["c"]),
        }),
      );
  assert.equal(entryOf(cluster.records, "t")!.shares["c"]![0], 0);
  assert.ok(cluster.share("a", t300) >= 200, `${cluster.share("a", t300)}`);
  // Raised only when all controllers have the new limit.
  const t600 = team("t", 600);
  cluster.planAndCommit(
    cluster.situation("a", two, [t600], { limitsAgreed: false }),
  );
  assert.equal(entryOf(cluster.records, "t")!.cap[0], 300);
  cluster.planAndCommit(cluster.situation("a", two, [t600]));
  assert.equal(entryOf(cluster.records, "t")!.cap[0], 600);
});

test("random changes of settings, use and demand: shares never exceed the limit in total, no task starts while they do", () => {
  fc.assert(
    fc.property(
      fc.array(
        fc.record({
          partitionIndex: fc.nat(4),
          action: fc.constantFrom(
            "plan",
            "start",
            "end",
            "demand",
            "limit",
            "remove",
          ),
          amount: fc.integer({ min: 1, max: 60 }),
        }),
        { minLength: 20, maxLength: 120 },
      ),
      (steps) => {
        const cluster = new PartitionsOnOneRecord();
        const all = ["a", "b", "c", "d", "e"];
        let limit = 90;
        let smallest = limit;
        const removedPartitions = new Set<string>();
        for (const { partitionIndex, action, amount } of steps) {
          const partition = all[partitionIndex]!;
          const settings = team("t", limit);
          const partitions = all.filter((x) => !removedPartitions.has(x));
          const before = entryOf(cluster.records, "t");
          const used = all.reduce((sum, x) => sum + cluster.usedBy(x, "t"), 0);
          if (action === "limit") limit = [30, 60, 90, 120][amount % 4]!;
          else if (removedPartitions.has(partition)) continue;
          else if (
            action === "remove" &&
            partitions.length > 2 &&
            cluster.usedBy(partition, "t") === 0
          )
            removedPartitions.add(partition);
          else if (action === "plan")
            cluster.planAndCommit(
              cluster.situation(partition, partitions, [settings], {
                removedPartitions,
              }),
            );
          else if (action === "demand")
            cluster.publishDemand(
              partition,
              "t",
              amount,
              amount,
              cluster.share(partition, settings),
            );
          else if (action === "end")
            cluster.use.set(
              partition,
              new Map([
                ["t", Math.max(0, cluster.usedBy(partition, "t") - amount)],
              ]),
            );
          else if (
            action === "start" &&
            cluster.usedBy(partition, "t") + amount <=
              cluster.share(partition, settings) + 1e-6
          ) {
            cluster.use.set(
              partition,
              new Map([["t", cluster.usedBy(partition, "t") + amount]]),
            );
            assert.ok(
              used + amount <= before!.cap[0] + 0.05 &&
                !isOverAllocated(before!, 0),
              `${used} + ${amount} of ${before!.cap[0]}`,
            );
          }
          smallest = limit;
          const after = entryOf(cluster.records, "t");
          if (after && after.cap[0] <= smallest) {
            const usable = partitions.reduce(
              (sum, x) =>
                sum +
                Math.max(
                  cluster.usedBy(x, "t"),
                  cluster.share(x, team("t", limit)),
                ),
              0,
            );
            assert.ok(
              usable <=
                Math.max(
                  after.cap[0],
                  all.reduce((sum, x) => sum + cluster.usedBy(x, "t"), 0),
                ) +
                  0.05,
            );
          }
        }
      },
    ),
    { seed: 21, numRuns: 300 },
  );
});

test("200 teams in 7 partitions: records of 8 KiB and of 2 KiB hold all entries, nothing is written without a change", () => {
  for (const [valueBytes, writes] of [
    [7_782, 3],
    [2_048, 3],
  ] as const) {
    const cluster = new PartitionsOnOneRecord(valueBytes);
    const partitions = Array.from({ length: 7 }, (_, i) => `controller-${i}`);
    const teams = Array.from({ length: 200 }, (_, i) =>
      team(`team-${i}`, 100 + i),
    );
    let commitCount = 0;
    while (
      cluster.planAndCommit(
        cluster.situation(partitions[commitCount % 7]!, partitions, teams, {
          maxRecords: writes,
        }),
      )
    )
      assert.ok(++commitCount < 200, "the plans settle");
    for (const settings of teams) {
      const sum = partitions.reduce(
        (n, g) => n + cluster.share(g, settings),
        0,
      );
      assert.ok(
        sum > settings.cpusMax - 0.1 && sum <= settings.cpusMax + 1e-6,
        `${settings.name}: ${sum}`,
      );
    }
    assert.ok(cluster.records.size > 1 && cluster.records.has(QUOTA_KEY));
    const commits = cluster.commitCount;
    for (const partition of partitions)
      assert.equal(
        cluster.planAndCommit(cluster.situation(partition, partitions, teams)),
        false,
      );
    assert.equal(cluster.commitCount, commits);
    // Transfers for several teams in one commit.
    for (let i = 0; i < 40; i++)
      cluster.publishDemand(
        "controller-1",
        `team-${i}`,
        5,
        1,
        cluster.share("controller-1", teams[i]!),
      );
    assert.ok(
      cluster.planAndCommit(
        cluster.situation("controller-0", partitions, teams),
      ),
    );
    const servedTeams = teams
      .slice(0, 40)
      .filter(
        (t) => cluster.share("controller-1", t) > t.cpusMax / 7 + 4,
      ).length;
    assert.ok(servedTeams >= 20, `${servedTeams} teams in one commit`);
  }
});

const SCOPES: Record<string, QuotaScope> = {
  give: {
    names: ["a", "b", "c"],
    teams: ["x"],
    limit: 3,
    later: 3,
    laterNames: ["a", "b", "c"],
    tasks: [2, 0, 0],
    commits: 2,
    failovers: 0,
    restarts: 0,
  },
  take: {
    names: ["a", "b"],
    teams: ["x"],
    limit: 2,
    later: 2,
    laterNames: ["a", "b"],
    tasks: [2, 0],
    commits: 1,
    failovers: 1,
    restarts: 0,
  },
  // Tasks of two CPUs leave one CPU of the limit unused, which partition b can use.
  backfill: {
    names: ["a", "b"],
    teams: ["x"],
    limit: 3,
    later: 3,
    laterNames: ["a", "b"],
    tasks: [2, 2],
    sizes: [2, 1],
    commits: 2,
    failovers: 1,
    restarts: 0,
  },
  reserve: {
    names: ["a", "b"],
    teams: ["x"],
    limit: 3,
    later: 3,
    laterNames: ["a", "b"],
    tasks: [1, 2],
    sizes: [2, 1],
    reservedFor: "a",
    commits: 2,
    failovers: 1,
    restarts: 0,
  },
  lower: {
    names: ["a", "b"],
    teams: ["x"],
    limit: 4,
    later: 2,
    laterNames: ["a", "b"],
    tasks: [2, 1],
    commits: 1,
    failovers: 0,
    restarts: 1,
  },
  fewer: {
    names: ["a", "b"],
    teams: ["x"],
    limit: 2,
    later: 2,
    laterNames: ["a"],
    tasks: [2, 1],
    commits: 1,
    failovers: 0,
    restarts: 2,
  },
};

test("every reachable state of the protocol in small scopes respects the limits", async () => {
  for (const [name, scope] of Object.entries(SCOPES)) {
    const result = await explore(quotaModel(scope), 12_000);
    assert.equal(
      result.violation,
      null,
      `${name}: ${result.violation?.problem}\n${result.violation?.trace.join("\n")}`,
    );
    assert.ok(result.states > 500, `${name}: ${result.states} states`);
  }
});

/** The scope in which a violation is found when the guard is disabled. */
const SCOPE_BY_GUARD: Record<Guard, keyof typeof SCOPES> = {
  "keeps what it gives": "give",
  "record's revision": "give",
  "master's token": "take",
  "unanswered stays reserved": "give",
  "what is written holds": "lower",
  "overdrawn stops starts": "lower",
  "gone only after its leases": "fewer",
};

test("the exploration finds a violation for each disabled guard", async () => {
  for (const guard of GUARDS) {
    const result = await explore(
      quotaModel(SCOPES[SCOPE_BY_GUARD[guard]]!, new Set<Guard>([guard])),
      80_000,
    );
    assert.ok(result.violation !== null, `${guard}: ${result.states} states`);
  }
});

/** After each step, checks that leaders stay within their recorded shares; returns the largest sum of shares relative to the cap. */
function watchShares(world: World): { maxAllocation: number } {
  const result = { maxAllocation: 0 };
  world.afterStep = (core) => {
    if (world.production.size > 0) return;
    const limits = world.teamLimits ?? world.settings.teams;
    for (const leader of core.leaders.values())
      for (const settings of limits.values()) {
        if (settings.cpusMax === Infinity) continue;
        const record = entryOf(core.cache.quotaRecords, settings.name);
        if (record)
          result.maxAllocation = Math.max(
            result.maxAllocation,
            record.sum[0] / record.cap[0],
          );
        const share = leader.quota.share(settings.name)[0];
        const recordedShare = record?.shares[leader.partition]?.[0] ?? 0;
        const used = leader.state.usage().get(settings.name)?.cpus ?? 0;
        assert.ok(
          share <= Math.max(recordedShare, used) + 1e-6,
          `${leader.partition}: ${share} of ${settings.name}, recorded ${recordedShare}, used ${used}`,
        );
      }
  };
  return result;
}

/** Runs two teams at their limits with all faults; `maxAllocation`: the largest sum of shares relative to the cap. */
function runTeamsAtLimit(seed: number): {
  world: World;
  maxAllocation: number;
} {
  const world = new World(seed, undefined, [], [1, 2, 3, 5, 7][seed % 5]);
  world.capacity = 6;
  world.settings.teams
    .set("red", team("red", 30, { cpus: 20, gpusMax: 3 }))
    .set("blue", team("blue", 40, { cpus: 20 }));
  world.bootAll();
  for (const zone of world.zones)
    for (let i = 0; i < 4; i++)
      world.cloud.add(world.types[0]!, zone, false, 0);
  const watched = watchShares(world);
  submitWorkload(world, 110_000, (x, n) => ({
    ...randomJob(x, n),
    team: x.rng.chance(0.8) ? "red" : "blue",
  }));
  injectFaults(world, 110_000);
  injectLargeFaults(world, 110_000);
  world.run(150_000);
  assert.deepEqual(
    world.checker.brokenRules,
    [],
    `seed ${seed}: ${world.checker.brokenRules.join()}\n${world.logs.slice(-20).join("\n")}`,
  );
  return { world, maxAllocation: watched.maxAllocation };
}

test("teams at their limits with 1, 2, 3, 5 and 7 controllers, pauses, network cuts and failovers: the limits hold and no share is lost", () => {
  let starts = 0;
  for (let seed = 800; seed < 815; seed++) {
    const { world, maxAllocation } = runTeamsAtLimit(seed);
    assert.ok(maxAllocation <= 1 + 1e-6, `${maxAllocation}`);
    for (const teamName of ["red", "blue"]) {
      const sum = entryIn(
        QUOTA_KEY,
        world.state.data.get(QUOTA_KEY)!.value as QuotaShares,
        teamName,
      )!.sum[0];
      assert.ok(
        sum > world.settings.teams.get(teamName)!.cpusMax - 1,
        `${teamName}: only ${sum} assigned`,
      );
    }
    starts += world.starts;
  }
  assert.ok(starts > 1_000, `${starts}`);
});

// A new leader assumed that the tasks in such a heartbeat were certainly running and raised its share to their use: the shares exceeded
// the limit, and no task of the team started until the machine's lease had expired.
test("a late heartbeat from before a leader's time adds nothing to its part of a limit", () => {
  for (const seed of [804, 926, 1081]) {
    const { maxAllocation } = runTeamsAtLimit(seed);
    assert.ok(maxAllocation <= 1 + 1e-6, `seed ${seed}: ${maxAllocation}`);
  }
});

test("limits and controllers change at run time: a lowered limit holds once all controllers have read it, and a raised one is used in full", () => {
  for (let seed = 830; seed < 838; seed++) {
    const world = new World(seed);
    world.capacity = 8;
    const teams = (red: number): Map<string, Team> =>
      new Map([
        ["red", team("red", red)],
        ["blue", team("blue", 90)],
      ]);
    world.settings.teams = teams(60);
    world.bootAll();
    for (const zone of world.zones)
      for (let i = 0; i < 6; i++)
        world.cloud.add(world.types[0]!, zone, false, 0);
    submitWorkload(world, 190_000, (x, n) => ({
      ...randomJob(x, n),
      team: "red",
      kind: "array",
      tasks: 12,
      cpus: 2,
      gpus: 0,
      machineTypes: null,
      zone: null,
      spread: false,
      samePlace: false,
      priority: "normal",
    }));
    const restart = (atMs: number, name: string): void => {
      world.at(atMs, () => world.crash(name));
      world.at(atMs + world.rng.real(500, 3_000), () => world.boot(name));
    };
    world.teamLimits = teams(60);
    // Lowered on one controller after the other; running tasks continue.
    world.at(30_000, () => world.reconfigure(world.names, teams(20)));
    world.names.forEach((n, i) => restart(31_000 + i * 6_000, n));
    world.at(75_000, () => (world.teamLimits = teams(20)));
    // A fourth controller is added, then the limit is raised.
    world.at(90_000, () =>
      world.reconfigure([...world.names, "node-d"], teams(20)),
    );
    world.at(90_500, () => world.boot("node-d"));
    ["node-a", "node-b", "node-c"].forEach((n, i) =>
      restart(91_000 + i * 5_000, n),
    );
    world.at(125_000, () => {
      world.teamLimits = teams(50);
      world.reconfigure(world.names, teams(50));
    });
    ["node-a", "node-b", "node-c", "node-d"].forEach((n, i) =>
      restart(126_000 + i * 5_000, n),
    );
    let maxUsed = 0;
    const sample = (): void => {
      const used = world.workers.reduce(
        (n, x) =>
          n +
          (x.gone
            ? 0
            : [...x.tasks.values()].filter((t) => x.occupiesMachine(t)).length *
              2),
        0,
      );
      maxUsed = Math.max(maxUsed, used);
      if (world.now < 199_000) world.at(200, sample);
    };
    world.at(165_000, sample);
    world.run(200_000);
    assert.deepEqual(
      world.checker.brokenRules,
      [],
      `seed ${seed}: ${world.checker.brokenRules.join()}\n${world.logs
        .filter((l) => /quota|partition/.test(l))
        .slice(-25)
        .join("\n")}`,
    );
    assert.ok(
      maxUsed > 45,
      `seed ${seed}: only ${maxUsed} of 50 CPUs used after the limit was raised\n${world.logs
        .filter((l) => /quota|partition/.test(l))
        .slice(-25)
        .join("\n")}`,
    );
  }
});

test("the share of a removed controller is reclaimed once none of its tasks can be running", () => {
  const world = new World(841);
  world.loss = 0;
  const teams = new Map([
    ["red", team("red", 30)],
    ["blue", team("blue", 90)],
  ]);
  world.settings.teams = teams;
  world.bootAll();
  world.run(10_000);
  const recordedShare = (partition: string): number =>
    (
      world.state.data.get(QUOTA_KEY)!.value as Record<
        string,
        Record<string, ResourceAmounts>
      >
    )["red"]![partition]?.[0] ?? -1;
  assert.equal(recordedShare("node-c"), 10);
  world.crash("node-c");
  world.reconfigure(["node-a", "node-b"], teams);
  let removedMs = 0;
  world.at(500, () => {
    for (const name of ["node-a", "node-b"]) {
      world.crash(name);
      world.boot(name);
    }
  });
  const check = (): void => {
    if (!world.state.data.has("lc/now/group/node-c")) removedMs ||= world.now;
    if (recordedShare("node-c") === 0) return;
    // Its partition record ends with its store lease, and the leases of its machines end after that.
    assert.ok(
      removedMs === 0 || world.now < removedMs + 20_000,
      "within a worker lease, clock drift and the interval between attempts",
    );
    world.at(200, check);
  };
  check();
  world.run(60_000);
  assert.equal(recordedShare("node-c"), 0);
  const logLine = world.logs.find((l) =>
    l.includes("reclaiming quota of removed partition"),
  )!;
  assert.ok(
    Number(logLine.split(" ")[0]) * 1000 >
      removedMs + world.settings.leaseS * 1000,
    `${logLine}, removed ${removedMs}`,
  );
});

// ---- guarantees --------------------------------------------------------------------------------------------

/** Submits a job on machines without accelerators, whose tasks have 4 CPUs and no checkpoints. */
function submitAt(
  world: World,
  atMs: number,
  jobNumber: number,
  overrides: Partial<JobSpec>,
  node = (): string => "node-a",
): void {
  world.at(atMs, () => {
    const spec: JobSpec = {
      ...randomJob(world, jobNumber),
      kind: "array",
      tasks: 1,
      priority: "normal",
      cpus: 4,
      gpus: 0,
      machineTypes: ["small"],
      zone: null,
      samePlace: false,
      spread: false,
      spot: false,
      checkpointS: 0,
      ...overrides,
    };
    world.specs.set(spec.id, spec);
    world.ask(
      node(),
      (reqId) => ({ type: "submit", reqId, spec }),
      () => {},
    );
  });
}

/** Blue uses all machines; red submits more than its guarantee of 20 CPUs, in all partitions at once or in one zone. */
function competeForGuarantee(seed: number, redZone: string | null): World {
  const world = new World(seed);
  world.loss = 0;
  world.capacity = 3;
  world.settings.teams
    .set("red", team("red", 60, { cpus: 20 }))
    .set("blue", team("blue", 200, { cpus: 30 }));
  world.bootAll();
  for (const zone of world.zones)
    for (let i = 0; i < 3; i++)
      world.cloud.add(world.types[0]!, zone, false, 0);
  const submit = (
    atMs: number,
    jobNumber: number,
    overrides: Partial<JobSpec>,
  ): void =>
    submitAt(world, atMs, jobNumber, overrides, () =>
      world.rng.pick(world.names),
    );
  submit(4_000, 1, { team: "blue", kind: "service", tasks: 24 });
  for (let k = 0; k < 12; k++)
    submit(25_000 + world.rng.int(0, 300), 10 + k, {
      team: "red",
      zone: redZone,
      kind: "service",
    });
  return world;
}
const preemptedCpus = (world: World): number =>
  world.logs
    .filter((l) => l.includes("preempting tasks"))
    .reduce((n, l) => n + 4 * Number(/"tasks":(\d+)/.exec(l)![1]), 0);
const runningCpus = (world: World, teamName: string): number =>
  world.workers.reduce(
    (n, x) =>
      n +
      (x.gone
        ? 0
        : [...x.tasks.values()].filter(
            (y) =>
              x.occupiesMachine(y) && world.specs.get(y.job)!.team === teamName,
          ).length * 4),
    0,
  );

test("a team gets its guarantee across the cluster, also in one zone, and all leaders together preempt no more than its deficit", () => {
  for (let seed = 860; seed < 868; seed++) {
    const world = competeForGuarantee(seed, seed % 2 === 0 ? null : "west");
    world.run(24_000);
    const blueCpusBefore = runningCpus(world, "blue");
    assert.ok(blueCpusBefore >= 80, "blue uses the whole cluster");
    world.run(75_000);
    assert.deepEqual(world.checker.brokenRules, []);
    assert.ok(runningCpus(world, "blue") >= blueCpusBefore - 24);
    assert.equal(
      runningCpus(world, "red"),
      20,
      `seed ${seed}\n${world.logs.slice(-20).join("\n")}`,
    );
    assert.ok(
      preemptedCpus(world) <= 24,
      `seed ${seed}: ${preemptedCpus(world)} CPUs preempted for 20`,
    );
  }
});

test("without recorded reclaims, leaders that decide at the same time preempt more than the deficit", () => {
  const { reclaim, mayReclaim } = GuaranteeReclaims.prototype;
  GuaranteeReclaims.prototype.reclaim = function (_t, _n, _f, _g, onCommitted) {
    onCommitted();
  };
  GuaranteeReclaims.prototype.mayReclaim = () => true;
  try {
    assert.ok(
      preemptedCpus(
        (() => {
          const world = competeForGuarantee(860, null);
          world.run(75_000);
          return world;
        })(),
      ) > 24,
    );
  } finally {
    Object.assign(GuaranteeReclaims.prototype, { reclaim, mayReclaim });
  }
});

test("a team within its guarantee is not preempted for one that exceeds its own, whatever it uses of one partition", () => {
  // Blue uses more than a third of its guarantee in one partition, but much less than all of it.
  for (let seed = 870; seed < 874; seed++) {
    const world = new World(seed);
    world.loss = 0;
    world.capacity = 3;
    world.settings.teams
      .set("red", team("red", 90, { cpus: 4 }))
      .set("blue", team("blue", 90, { cpus: 30 }));
    world.bootAll();
    for (let i = 0; i < 3; i++)
      world.cloud.add(world.types[0]!, "west", false, 0);
    const submit = (
      atMs: number,
      jobNumber: number,
      overrides: Partial<JobSpec>,
    ): void =>
      submitAt(world, atMs, jobNumber, {
        kind: "service",
        tasks: 6,
        zone: "west",
        ...overrides,
      });
    submit(4_000, 1, { team: "blue" });
    submit(20_000, 2, { team: "red", tasks: 3 });
    world.run(60_000);
    assert.deepEqual(world.checker.brokenRules, []);
    assert.equal(preemptedCpus(world), 0, world.logs.slice(-10).join("\n"));
    assert.equal(runningCpus(world, "blue"), 24);
  }
});

test("the share of a partition whose leader crashed is available to others after store lease, failover and one commit", () => {
  const world = new World(880);
  world.loss = 0;
  world.capacity = 6;
  world.settings.teams.set("red", team("red", 30));
  world.bootAll();
  for (let i = 0; i < 6; i++)
    world.cloud.add(world.types[0]!, "west", false, 0);
  world.at(10_000, () => world.crash("node-a"));
  submitAt(
    world,
    11_000,
    1,
    { team: "red", kind: "service", tasks: 7, zone: "west" },
    () => "node-b",
  );
  world.run(45_000);
  assert.deepEqual(world.checker.brokenRules, []);
  assert.equal(
    runningCpus(world, "red"),
    28,
    world.logs.filter((l) => /quota|partition/.test(l)).join("\n"),
  );
});

test("queue order by team: priority first, then teams within their guarantee, then the smaller share of the guarantee", () => {
  const queuedJob = (
    id: string,
    teamName: string,
    readyAt: number,
    overrides: Partial<JobSpec> = {},
  ) => {
    const spec = {
      ...randomJob(new World(1), 1),
      id,
      team: teamName,
      priority: "normal" as const,
      kind: "array" as const,
      estimateS: 10,
      ...overrides,
    };
    return {
      spec,
      effectivePriority: { priority: spec.priority, readyAt },
      remainingTasks: 1,
      late: false,
      precedence: "no" as const,
    };
  };
  const shares: Record<string, number> = {
    in: 0.5,
    alsoIn: 0.9,
    out: 1.5,
    far: 3,
  };
  const startOrder = (
    jobs: ReturnType<typeof queuedJob>[],
    ranked: boolean,
  ): string[] => {
    const round = new SchedulingRound(
      jobs,
      { ...DEFAULTS },
      { shortTasksSinceLong: 0 },
      ranked ? (t) => ({ within: shares[t]! < 1, share: shares[t]! }) : null,
    );
    const started: string[] = [];
    for (let head = round.head(); head; head = round.head()) {
      started.push(head.spec.id);
      round.served(1);
      round.skip();
    }
    return started;
  };
  const jobs = [
    queuedJob("1", "far", 0),
    queuedJob("2", "out", 1),
    queuedJob("3", "in", 3),
    queuedJob("4", "alsoIn", 2),
    queuedJob("5", "far", 9, { priority: "high" }),
    queuedJob("6", "far", -5),
  ];
  assert.deepEqual(startOrder(jobs, true), ["5", "4", "3", "2", "6", "1"]);
  assert.deepEqual(startOrder(jobs, false), ["5", "6", "1", "2", "4", "3"]);
  // The order follows what is started: a team that exceeds its guarantee loses precedence at once.
  let used = 0;
  const round = new SchedulingRound(
    [
      queuedJob("a", "in", 0),
      queuedJob("b", "in", 1),
      queuedJob("c", "alsoIn", 5),
    ],
    { ...DEFAULTS },
    { shortTasksSinceLong: 0 },
    (t) =>
      t === "in"
        ? { within: used < 1, share: used }
        : { within: true, share: 0.9 },
  );
  assert.equal(round.head()!.spec.id, "a");
  used = 1;
  round.served(1);
  round.skip();
  assert.equal(round.head()!.spec.id, "c");
});

test("the checker detects a partition that continues to use quota that it transfers", () => {
  const originalShare = QuotaAllocator.prototype.share;
  QuotaAllocator.prototype.share = function (t) {
    const pendingChange = (this as unknown as { pendingChange: unknown })
      .pendingChange;
    Object.assign(this, { pendingChange: null });
    const share = originalShare.call(this, t);
    Object.assign(this, { pendingChange });
    return [share[0] + 6, share[1]];
  };
  try {
    const broken: string[] = [];
    for (let seed = 200; seed < 230 && broken.length === 0; seed++) {
      const world = new World(seed);
      world.capacity = 6;
      for (const zone of world.zones)
        for (let i = 0; i < 4; i++)
          world.cloud.add(world.types[0]!, zone, false, 0);
      submitWorkload(world, 80_000, (x, n) => ({
        ...randomJob(x, n),
        team: "red",
      }));
      world.run(100_000);
      broken.push(...world.checker.brokenRules);
    }
    assert.match(broken.join(), /quota/);
  } finally {
    QuotaAllocator.prototype.share = originalShare;
  }
});

test("real controllers, killed and paused at random times: use never exceeds a limit, no task runs twice, all tasks complete", async () => {
  const result = await runProcessCluster(3, {
    controllers: 5,
    machines: 20,
    jobs: 40,
    tasks: 25,
    limit: 8,
    runMs: [400, 1_200],
    calmMs: 4_000,
    faultMs: 9_000,
    drainMs: 180_000,
  });
  assert.deepEqual(result.violations, []);
  assert.equal(
    result.completed,
    result.tasks,
    `${result.completed} of ${result.tasks} done, ${result.starts} starts`,
  );
  assert.deepEqual(result.logErrors, []);
});

/** Two controllers, machines with accelerators in both zones, and a team whose limit is scarce. */
function twoZoneWorld(
  cpusMax: number,
  gpusMax: number,
): {
  world: World;
  submit: (atMs: number, overrides: Partial<JobSpec>) => string;
} {
  const world = new World(5, undefined, [], 2);
  world.loss = 0;
  world.capacity = 4;
  world.runFactor = 20;
  world.settings.teams = new Map([["red", team("red", cpusMax, { gpusMax })]]);
  world.bootAll();
  for (const zone of ["east", "mid"])
    for (let i = 0; i < 3; i++)
      world.cloud.add(world.types[1]!, zone, false, 0);
  let jobNumber = 0;
  return {
    world,
    submit: (atMs, overrides) => {
      const spec: JobSpec = {
        ...randomJob(world, ++jobNumber),
        team: "red",
        kind: "array",
        priority: "normal",
        gpus: 0,
        machineTypes: ["big"],
        samePlace: false,
        spread: false,
        spot: false,
        estimateS: 60,
        checkpointS: 0,
        deadlineS: null,
        ...overrides,
      };
      world.specs.set(spec.id, spec);
      world.at(atMs, () =>
        world.ask(
          "node-a",
          (reqId) => ({ type: "submit", reqId, spec }),
          (a) => assert.equal(a?.kind, "job", JSON.stringify(a)),
        ),
      );
      return spec.id;
    },
  };
}

test("tasks that lack CPUs and tasks that lack accelerators are ordered separately: no quota moves back and forth", () => {
  const { world, submit } = twoZoneWorld(12, 3);
  submit(10_000, { zone: "mid", tasks: 2, cpus: 4 });
  submit(11_000, { zone: "east", tasks: 1, cpus: 3 });
  // East has lacked CPUs for longest, but started to lack accelerators after mid did.
  submit(13_000, { zone: "east", tasks: 1, cpus: 8 });
  submit(15_000, { zone: "mid", tasks: 3, cpus: 3, gpus: 1 });
  submit(17_000, { zone: "east", tasks: 4, cpus: 5, gpus: 1 });
  world.run(60_000);
  assert.deepEqual(world.checker.brokenRules, []);
  const transfers = world.logs.filter(
    (l) => l.includes("transferring quota") && Number(l.split(" ")[0]) > 25,
  );
  assert.ok(
    transfers.length < 8,
    `${transfers.length} in 35 s\n${transfers.slice(-6).join("\n")}`,
  );
});

test("a gang that was accepted under a larger limit withholds no quota of the current limit from others", () => {
  const { world, submit } = twoZoneWorld(20, 6);
  const impossibleGang = submit(10_000, {
    zone: "east",
    kind: "gang",
    tasks: 3,
    cpus: 5,
    estimateS: 5,
  });
  world.at(10_300, () => {
    // The gang is accepted, but its images are still being fetched. The limit is lowered on all controllers at once.
    world.reconfigure(
      world.names,
      new Map([["red", team("red", 10, { gpusMax: 6 })]]),
    );
    world.bootAll();
    for (const m of world.workers) m.restart(300);
  });
  const other = submit(30_000, {
    zone: "mid",
    tasks: 4,
    cpus: 2,
    estimateS: 90,
  });
  world.run(90_000);
  assert.deepEqual(world.checker.brokenRules, []);
  assert.ok(world.state.data.has(`lc/now/job/${impossibleGang}`));
  const startedTasks = new Set(
    world.logs
      .flatMap(
        (l) =>
          /task phase changed .*"task":"([^"]*)".*"to":"running"/.exec(
            l,
          )?.[1] ?? [],
      )
      .filter((t) => t.startsWith(`${other}/`)),
  );
  assert.equal(
    startedTasks.size,
    4,
    `the limit is enough for all of them\n${world.logs.slice(-12).join("\n")}`,
  );
});

test("an array in one zone that exceeds its team's limit runs in batches, even if another partition has all of the quota", () => {
  const { world, submit } = twoZoneWorld(20, 6);
  world.runFactor = 1;
  // All of the quota is transferred to mid and stays there.
  submit(9_000, { zone: "mid", tasks: 12, cpus: 5 });
  const array = submit(60_000, {
    zone: "east",
    tasks: 10,
    cpus: 5,
    samePlace: true,
  });
  world.run(59_000);
  assert.equal(
    (
      world.state.data.get("lc/now/quota")!.value as {
        red: Record<string, number[]>;
      }
    ).red["node-a"]![0],
    0,
  );
  world.run(140_000);
  assert.deepEqual(world.checker.brokenRules, []);
  assert.ok(
    world.logs.some(
      (l) => l.includes("task phase changed") && l.includes(`"${array}/`),
    ),
    "it begins",
  );
});
