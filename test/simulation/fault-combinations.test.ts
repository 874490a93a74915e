import assert from "node:assert/strict";
import { test } from "node:test";
import type { Context } from "../../src/coordination/context.js";
import { Controller } from "../../src/coordination/controller.js";
import type { Input } from "../../src/coordination/effects.js";
import type { JobSpec } from "../../src/coordination/model.js";
import { Leadership } from "../../src/coordination/leadership/leadership.js";
import { storeLeaseTtlMs } from "../../src/coordination/leadership/store-lease-ttl.js";
import type { StateCall } from "../../src/protocol/state.js";
import {
  observedLimitsKey,
  gangKey,
  tasksInBlock,
  readCompletion,
  capacityKey,
} from "../../src/storage/records.js";
import { leaderChanges } from "../scenarios/leader-changes.js";
import { randomJob } from "./workloads.js";
import {
  expectGuardNeeded,
  describeWorkload,
  withoutFailoverFence,
  withoutPinnedStarts,
  withoutReadBeforeAnswer,
} from "./guards.js";
import {
  drawBasicFaults,
  playCancellationGap,
  type FaultCombinationCounts,
  NO_COUNTS,
  playBasic,
} from "./fault-combinations.js";
import { World } from "./world.js";

/** Combinations of two and more injected faults. The table of fault combinations, tests and guards is in docs/design.md. */

const addCounts = (
  sum: FaultCombinationCounts,
  added: FaultCombinationCounts,
): void => {
  for (const k of Object.keys(sum) as (keyof FaultCombinationCounts)[])
    sum[k] += added[k];
};

// ---- cancellations while the leader is cut off from the state service -----------------------------------------------------------

test("only the leader is refused, others confirm cancellations, then all are refused for longer than cancel_s: the cancelled tasks end in time", () => {
  const totals = { ...NO_COUNTS };
  let longestMs = 0;
  let relayedCalls = 0;
  for (let seed = 0; seed < 14; seed++) {
    const { world, occurred: counts } = playCancellationGap(seed);
    assert.deepEqual(
      world.checker.brokenRules,
      [],
      `seed ${seed}: ${describeWorkload(world)}`,
    );
    addCounts(totals, counts);
    longestMs = Math.max(
      longestMs,
      world.checker.longestRunAfterCancellationMs,
    );
    relayedCalls += world.relayedCalls;
  }
  assert.ok(
    totals.cancellationsDuringRefusal > 150 &&
      totals.cancellationsDuringCut > 50 &&
      relayedCalls > 50,
    `${JSON.stringify(totals)}, ${relayedCalls} calls relayed by peers`,
  );
  // Leadership lease and worker lease bound the run time after a cancellation: some tasks come close to their sum, none exceeds it.
  const settings = new World(0).settings;
  assert.ok(
    longestMs > 1000 * settings.leaseS + 0.5 * storeLeaseTtlMs(settings) &&
      longestMs <=
        1000 * settings.leaseS * 1.0005 + storeLeaseTtlMs(settings) + 250,
    `${longestMs} ms`,
  );
});

const drawnWorkload = (seed: number): World =>
  playBasic(seed, drawBasicFaults(seed)).world;

test("all accepted settings leave time for leadership lease and worker lease within cancel_s", () => {
  for (let leaseS = 2; leaseS <= 60; leaseS += 0.25)
    for (const extraS of [4, 4.5, 6, 10, 20, 60]) {
      const settings = {
        leaseS,
        cancelS: leaseS + extraS,
        reportS: Math.min(5, leaseS / 3),
      };
      const lastMs =
        storeLeaseTtlMs(settings) * 1.0005 + leaseS * 1000 * 1.0005;
      assert.ok(
        lastMs <= settings.cancelS * 1000 - 1_900,
        `${JSON.stringify(settings)}: ${lastMs} ms`,
      );
    }
});

const gapWorkload = (seed: number): World => playCancellationGap(seed).world;
interface LeaseTimes {
  storeLease: number | null;
  renewedMs: number;
  readMs: number;
  leaseTtlMs: number;
}
/** Replaces the end of the leadership lease by one that counts from another moment. */
function withLeaseCountedFrom(
  startMs: (o: LeaseTimes) => number,
): () => () => void {
  return () => {
    const original = Object.getOwnPropertyDescriptor(
      Leadership.prototype,
      "leadershipLeaseUntilMs",
    )!;
    Object.defineProperty(Leadership.prototype, "leadershipLeaseUntilMs", {
      configurable: true,
      get(this: LeaseTimes) {
        return this.storeLease === null
          ? -Infinity
          : startMs(this) + this.leaseTtlMs * 0.998 - 100;
      },
    });
    return () =>
      Object.defineProperty(
        Leadership.prototype,
        "leadershipLeaseUntilMs",
        original,
      );
  };
}

test("guard: the leadership lease counts from the sending of renewal and read, not from their replies", () => {
  expectGuardNeeded(gapWorkload, [149], "ran_cancelled", () => {
    const original = Controller.prototype.step;
    Controller.prototype.step = function (input: Input, nowMs, wallMs) {
      return original.call(
        this,
        input.type === "storeReply" ? { ...input, sentMs: nowMs } : input,
        nowMs,
        wallMs,
      );
    };
    return () => (Controller.prototype.step = original);
  });
});
test("guard: the leadership lease counts from the last read of cancellations as well as from the last renewal", () => {
  expectGuardNeeded(
    gapWorkload,
    [5, 17],
    "ran_cancelled",
    withLeaseCountedFrom((o) => o.renewedMs),
  );
});
/** A controller whose store lease renewals are delayed for nearly the lease's TTL while it still reads; then it is cut off. */
function withDelayedRenewals(): World {
  const world = new World(7);
  world.loss = 0;
  const leaseTtlMs = storeLeaseTtlMs(world.settings);
  world.at(10_000, () => world.stateCut.set("node-a", "writes"));
  world.at(10_000 + leaseTtlMs - 2_000, () => {
    world.stateCut.set("node-a", "refused");
    world.meshCuts.add("node-a");
  });
  world.run(10_000 + 3 * leaseTtlMs);
  assert.ok(
    world.logs.some((l) =>
      /node-[bc] partition acquired .*"partition":"node-a"/.test(l),
    ) || world.checker.brokenRules.length > 0,
    "a peer takes the partition over",
  );
  return world;
}
test("guard: the leadership lease counts from the last renewal as well as from the last read: no partition has two leaders", () => {
  const world = withDelayedRenewals();
  assert.deepEqual(world.checker.brokenRules, []);
  const expiryLines = world.logs.filter((l) =>
    l.includes("node-a leadership lease expired"),
  );
  assert.equal(
    expiryLines.length,
    1,
    "logged once, with the age of renewal and read",
  );
  const { renewalAgeMs, readAgeMs, ttlMs } = JSON.parse(
    expiryLines[0]!.slice(expiryLines[0]!.indexOf("{")),
  ) as Record<string, number>;
  assert.ok(renewalAgeMs! > ttlMs! - 500 && readAgeMs! < 6_000, expiryLines[0]);
  const restore = withLeaseCountedFrom((o) => o.readMs)();
  try {
    assert.match(
      withDelayedRenewals().checker.brokenRules.join(),
      /two_masters/,
    );
  } finally {
    restore();
  }
});
test("guard: the leadership lease is checked again before effects are sent", () => {
  expectGuardNeeded(gapWorkload, [0], "no_permit", () => {
    const original = Controller.prototype.maySend;
    Controller.prototype.maySend = () => true;
    return () => (Controller.prototype.maySend = original);
  });
});

// ---- transactions that are applied late ------------------------------------------------------------------------

/** Holds back, without a reply, the next transaction that writes a matching key; `release` applies it and returns the outcome. */
function holdBack(
  world: World,
  isMatch: (key: string) => boolean,
): { held: () => boolean; release: () => string } {
  const handle = world.state.handle.bind(world.state);
  let held: StateCall | null = null;
  world.state.handle = (call, done) => {
    if (
      held === null &&
      call.op === "commit" &&
      call.writes.some((x) => x.op === "put" && isMatch(x.key))
    )
      held = structuredClone(call);
    else handle(call, done);
  };
  return {
    held: () => held !== null,
    release: () => {
      let outcome = "";
      handle(held!, (r) => (outcome = r.is));
      return outcome;
    },
  };
}
/** Runs until the condition holds; fails after `maxMs`. */
function runUntil(
  world: World,
  description: string,
  condition: () => boolean,
  maxMs = 60_000,
): void {
  const endMs = world.now + maxMs;
  while (!condition()) {
    assert.ok(
      world.now < endMs,
      `did not happen: ${description}\n${describeWorkload(world)}`,
    );
    world.run(world.now + 50);
  }
}
const addJob = (world: World, overrides: Partial<JobSpec>): JobSpec => {
  const spec = {
    ...randomJob(world, 1),
    team: "blue",
    kind: "array" as const,
    tasks: 3,
    cpus: 2,
    gpus: 0,
    machineTypes: ["small"],
    zone: "east",
    samePlace: false,
    spread: false,
    spot: false,
    priority: "normal" as const,
    estimateS: 6,
    checkpointS: 0,
    deadlineS: null,
    ...overrides,
  };
  world.specs.set(spec.id, spec);
  return spec;
};
const quietWorld = (seed: number, controllers = 1): World => {
  const world = new World(seed, undefined, [], controllers);
  world.loss = 0;
  world.capacity = 4;
  for (let i = 0; i < 4; i++)
    world.cloud.add(world.types[0]!, "east", false, 0);
  return world;
};

test("late transaction: completion records applied after newer ones do not undo completions", () => {
  const world = quietWorld(2);
  world.runFactor = 3;
  const spec = addJob(world, { tasks: 4 });
  world.at(4_000, () =>
    world.ask(
      "node-a",
      (reqId) => ({ type: "submit", reqId, spec }),
      (a) => assert.equal(a?.kind, "job"),
    ),
  );
  const heldCommit = holdBack(world, (k) => k.startsWith("lc/now/fin/"));
  const countWritten = (): number => {
    const completions = [...world.state.data].filter(([k]) =>
      k.startsWith(`lc/now/fin/${spec.id}/`),
    );
    return completions.reduce(
      (sum, [key, record]) =>
        sum +
        tasksInBlock(
          readCompletion(record.value, Number(key.split("/").at(-1)))!,
          Number(key.split("/").at(-1)),
        ).size,
      0,
    );
  };
  runUntil(world, "the first completion record is sent", () =>
    heldCommit.held(),
  );
  runUntil(
    world,
    "newer completion records are written",
    () => countWritten() >= 2,
  );
  const before = countWritten();
  assert.equal(heldCommit.release(), "conflict");
  assert.equal(countWritten(), before, "completed tasks stay completed");
  world.crash("node-a");
  world.boot("node-a");
  world.run(world.now + 3_000);
  assert.ok(
    world.nodes.get("node-a")!.core.cache.allFinished(spec.id).size >= before,
  );
  runUntil(world, "done", () =>
    [0, 1, 2, 3].every((i) => world.results.has(`${spec.id}/${i}`)),
  );
});

test("late transaction: team limits observed by a controller's former process do not overwrite those of its present one", () => {
  const world = quietWorld(3, 2);
  const heldCommit = holdBack(world, (k) => k === observedLimitsKey("node-a"));
  runUntil(world, "the first process writes its limits", () =>
    heldCommit.held(),
  );
  // Restarts at once with lower limits, while the store lease of its former process has not expired.
  world.reconfigure(
    world.names,
    new Map(
      [...world.settings.teams].map(([name, team]) => [
        name,
        { ...team, cpusMax: team.cpusMax / 2 },
      ]),
    ),
  );
  world.crash("node-a");
  world.boot("node-a");
  const observedLimits = (): unknown =>
    (
      world.state.data.get(observedLimitsKey("node-a"))?.value as
        { limits: string } | undefined
    )?.limits;
  runUntil(
    world,
    "the second process writes its limits",
    () => observedLimits() !== undefined,
  );
  const presentLimits = observedLimits();
  const outcome = heldCommit.release();
  assert.notEqual(outcome, "refused", "the former store lease has not expired");
  world.run(world.now + 3_000);
  assert.equal(
    observedLimits(),
    presentLimits,
    "the limits of the present process are stored",
  );
});

test("late transaction: an old capacity report of a partition does not overwrite a newer one", () => {
  const world = quietWorld(4);
  const heldCommit = holdBack(world, (k) => k === capacityKey("node-a"));
  const capacityRecord = (): string =>
    JSON.stringify(world.state.data.get(capacityKey("node-a"))?.value ?? null);
  const spec = addJob(world, { tasks: 4 });
  world.at(4_000, () =>
    world.ask(
      "node-a",
      (reqId) => ({ type: "submit", reqId, spec }),
      (a) => assert.equal(a?.kind, "job"),
    ),
  );
  runUntil(world, "the first capacity report is sent", () => heldCommit.held());
  runUntil(world, "a newer one is written", () => capacityRecord() !== "null");
  const before = capacityRecord();
  assert.equal(heldCommit.release(), "conflict");
  assert.equal(capacityRecord(), before);
});

test("late transaction: a part of a gang is not reported ready again after the next attempt was started", () => {
  const world = new World(6);
  world.loss = 0;
  world.capacity = 4;
  for (const z of ["east", "mid"])
    for (let i = 0; i < 3; i++) world.cloud.add(world.types[1]!, z, false, 0);
  // Big machines exist in two zones, which belong to two controllers.
  const spec = addJob(world, {
    kind: "gang",
    tasks: 4,
    cpus: 6,
    gpus: 1,
    machineTypes: ["big"],
    spread: true,
    zone: null,
  });
  const heldCommit = holdBack(world, (k) =>
    k.startsWith(`lc/now/ready/${spec.id}/`),
  );
  world.at(9_000, () =>
    world.ask(
      "node-a",
      (reqId) => ({ type: "submit", reqId, spec }),
      (a) => assert.equal(a?.kind, "job", JSON.stringify(a)),
    ),
  );
  runUntil(world, "a part reports that it is ready", () => heldCommit.held());
  runUntil(world, "an attempt is started", () =>
    world.state.data.has(gangKey(spec.id)),
  );
  const readyRecords = (): string =>
    JSON.stringify(
      [...world.state.data]
        .filter(([k]) => k.startsWith(`lc/now/ready/${spec.id}/`))
        .map(([k, d]) => [k, d.value, d.version]),
    );
  const before = readyRecords();
  assert.equal(heldCommit.release(), "conflict");
  assert.equal(readyRecords(), before);
});

test("late transaction: tasks of a removed partition don't move to another one if the partition had a leader again in between", () => {
  const world = new World(9);
  world.loss = 0;
  world.capacity = 0;
  const spec = addJob(world, { zone: "west", tasks: 3 });
  world.at(4_000, () =>
    world.ask(
      "node-a",
      (reqId) => ({ type: "submit", reqId, spec }),
      (a) => assert.equal(a?.kind, "job"),
    ),
  );
  runUntil(world, "it is assigned to the partition that will be removed", () =>
    JSON.stringify(
      world.state.data.get(`lc/now/job/${spec.id}`)?.value ?? null,
    ).includes("node-c"),
  );
  world.crash("node-c");
  world.reconfigure(["node-a", "node-b"], world.settings.teams);
  world.crash("node-b");
  world.crash("node-a");
  world.boot("node-a");
  const heldCommit = holdBack(world, (k) => k === `lc/now/job/${spec.id}`);
  runUntil(world, "the move of its tasks to another partition is sent", () =>
    heldCommit.held(),
  );
  // A controller with the former settings acquires the partition, may start tasks there, and loses it again.
  const commit = (call: StateCall): void =>
    world.state.handle(call, (r) => assert.equal(r.is, "committed"));
  const key = "lc/now/group/node-c";
  if (world.state.data.has(key))
    commit({ op: "commit", conditions: [], writes: [{ op: "delete", key }] });
  commit({
    op: "commit",
    conditions: [{ key, version: 0 }],
    writes: [{ op: "put", key, value: { owner: "node-c", hold: 99 } }],
  });
  commit({ op: "commit", conditions: [], writes: [{ op: "delete", key }] });
  assert.equal(heldCommit.release(), "conflict");
  // The partition has no leader again; once leases have expired, the tasks move to a partition that has one.
  const fromMs = world.now;
  runUntil(
    world,
    "its tasks move to another partition",
    () =>
      !JSON.stringify(
        world.state.data.get(`lc/now/job/${spec.id}`)!.value,
      ).includes("node-c"),
  );
  assert.ok(
    world.now - fromMs > 1000 * world.settings.leaseS,
    "a full lease passes before the move",
  );
  runUntil(
    world,
    "the partition has no leader again",
    () => !world.state.data.has(key),
  );
});

test("a transaction without a reply that was applied nevertheless is logged once", () => {
  const world = quietWorld(5);
  const spec = addJob(world, {});
  const heldCommit = holdBack(world, (k) => k.startsWith("lc/now/fin/"));
  world.at(4_000, () =>
    world.ask(
      "node-a",
      (reqId) => ({ type: "submit", reqId, spec }),
      (a) => assert.equal(a?.kind, "job"),
    ),
  );
  runUntil(world, "a completion record is sent", () => heldCommit.held());
  // Its call times out after 1.5 s; the repeated transaction has not been applied by then.
  world.run(world.now + 1_400);
  const handle = world.state.handle.bind(world.state);
  world.state.handle = (call, done) =>
    call.op === "commit"
      ? done({ is: "refused", why: "503" })
      : handle(call, done);
  world.run(world.now + 1_000);
  assert.equal(heldCommit.release(), "committed");
  world.run(world.now + 2_000);
  const lines = world.logs.filter((l) =>
    l.includes("indeterminate transaction was applied"),
  );
  assert.equal(lines.length, 1, lines.join("\n"));
  assert.match(lines[0]!, /lc\/now\/fin\/.*"afterMs":\d+/);
});

// ---- drawn combinations ------------------------------------------------------------------------------------------

test("two to four injected faults at once, with 1 to 7 controllers: the rules hold, and each combination occurs", () => {
  const totals = { ...NO_COUNTS };
  for (let seed = 0; seed < 17; seed++) {
    const { world, occurred: counts } = playBasic(seed, drawBasicFaults(seed));
    assert.deepEqual(
      world.checker.brokenRules,
      [],
      `seed ${seed}, ${JSON.stringify(drawBasicFaults(seed))}: ${describeWorkload(world)}`,
    );
    addCounts(totals, counts);
  }
  for (const [k, n] of Object.entries(totals))
    assert.ok(n > 0, `${k} never occurred: ${JSON.stringify(totals)}`);
});

test("guard: tasks that a former leader may have started are counted until their machines send a heartbeat or their leases expire", () => {
  expectGuardNeeded(drawnWorkload, [4, 37], "ran_twice", withoutFailoverFence);
});
test("guard: a start command without a reply pins its task, since the command may still be applied", () => {
  expectGuardNeeded(drawnWorkload, [2, 4], "quota", withoutPinnedStarts);
});
test("guard: an answer with a state that is not final is based on a read sent after the query", () => {
  expectGuardNeeded(
    drawnWorkload,
    [8, 17],
    "went_back",
    withoutReadBeforeAnswer,
  );
});

test("guard: a leader does nothing for a partition once it starts to release it, whether the commit succeeds or not", () => {
  const workload = (seed: number): World => leaderChanges(seed).world;
  expectGuardNeeded(workload, [17, 19], "two_masters", () => {
    const original = Leadership.prototype.tokenOf;
    Leadership.prototype.tokenOf = function (partition) {
      const { ctx } = this as unknown as { ctx: Context };
      const record = ctx.cache.partitions.get(partition);
      return record?.owner === ctx.settings.label &&
        record.hold === this.storeLeaseId
        ? record.version
        : null;
    };
    return () => (Leadership.prototype.tokenOf = original);
  });
});
