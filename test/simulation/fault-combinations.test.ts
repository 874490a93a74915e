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
  withoutTakeoverFence,
  withoutPinnedStarts,
  withoutReadBeforeAnswer,
} from "./guards.js";
import {
  draw,
  gap,
  type FaultCombinationCounts,
  NO_COUNTS,
  play,
} from "./fault-combinations.js";
import { World } from "./world.js";

/** Where two injected faults meet: docs/design.md has the table of fault combinations, tests and guards. */

const total = (a: FaultCombinationCounts, b: FaultCombinationCounts): void => {
  for (const k of Object.keys(a) as (keyof FaultCombinationCounts)[])
    a[k] += b[k];
};

// ---- the combination to test before all others -----------------------------------------------------------------------------

test("the leader is refused alone, others confirm cancellations, then all are refused for longer than cancel_s: their tasks are gone in time", () => {
  const met = { ...NO_COUNTS };
  let longestMs = 0;
  let carried = 0;
  for (let seed = 0; seed < 14; seed++) {
    const { world: w, occurred: m } = gap(seed);
    assert.deepEqual(
      w.checker.broken,
      [],
      `seed ${seed}: ${describeWorkload(w)}`,
    );
    total(met, m);
    longestMs = Math.max(longestMs, w.checker.longestAfterMs);
    carried += w.carried;
  }
  assert.ok(
    met.gapCancels > 150 && met.cutCancels > 50 && carried > 50,
    `${JSON.stringify(met)}, ${carried} calls carried by peers`,
  );
  // It is the permit and the lease that end them, not luck: some last for nearly as long as both, and none longer.
  const s = new World(0).settings;
  assert.ok(
    longestMs > 1000 * s.leaseS + 0.5 * storeLeaseTtlMs(s) &&
      longestMs <= 1000 * s.leaseS * 1.0005 + storeLeaseTtlMs(s) + 250,
    `${longestMs} ms`,
  );
});

const drawn = (seed: number): World => play(seed, draw(seed)).world;

test("whatever settings are accepted leave time for permit and lease within cancel_s", () => {
  for (let leaseS = 2; leaseS <= 60; leaseS += 0.25)
    for (const more of [4, 4.5, 6, 10, 20, 60]) {
      const s = {
        leaseS,
        cancelS: leaseS + more,
        reportS: Math.min(5, leaseS / 3),
      };
      const lastMs = storeLeaseTtlMs(s) * 1.0005 + leaseS * 1000 * 1.0005;
      assert.ok(
        lastMs <= s.cancelS * 1000 - 1_900,
        `${JSON.stringify(s)}: ${lastMs} ms`,
      );
    }
});

const gapDay = (seed: number): World => gap(seed).world;
interface Ages {
  storeLease: number | null;
  renewedMs: number;
  readMs: number;
  leaseTtlMs: number;
}
/** A permit worked out otherwise. */
function permitBy(ms: (o: Ages) => number): () => () => void {
  return () => {
    const before = Object.getOwnPropertyDescriptor(
      Leadership.prototype,
      "leadershipLeaseUntilMs",
    )!;
    Object.defineProperty(Leadership.prototype, "leadershipLeaseUntilMs", {
      configurable: true,
      get(this: Ages) {
        return this.storeLease === null
          ? -Infinity
          : ms(this) + this.leaseTtlMs * 0.998 - 100;
      },
    });
    return () =>
      Object.defineProperty(
        Leadership.prototype,
        "leadershipLeaseUntilMs",
        before,
      );
  };
}

test("guard: the permit counts from the sending of touch and read, not from their answers", () => {
  expectGuardNeeded(gapDay, [41, 261], "ran_cancelled", () => {
    const before = Controller.prototype.step;
    Controller.prototype.step = function (input: Input, nowMs, wallMs) {
      return before.call(
        this,
        input.type === "storeReply" ? { ...input, sentMs: nowMs } : input,
        nowMs,
        wallMs,
      );
    };
    return () => (Controller.prototype.step = before);
  });
});
test("guard: the permit counts from the last read of cancellations as well as from the last touch", () => {
  expectGuardNeeded(
    gapDay,
    [1, 11],
    "ran_cancelled",
    permitBy((o) => o.renewedMs),
  );
});
/** A controller whose touches are held for nearly as long as its hold lasts, while it reads on; then it hears nothing more. */
function touchesHeld(): World {
  const w = new World(7);
  w.loss = 0;
  const leaseTtlMs = storeLeaseTtlMs(w.settings);
  w.at(10_000, () => w.stateCut.set("node-a", "writes"));
  w.at(10_000 + leaseTtlMs - 2_000, () => {
    w.stateCut.set("node-a", "refused");
    w.meshCuts.add("node-a");
  });
  w.run(10_000 + 3 * leaseTtlMs);
  assert.ok(
    w.logs.some((l) =>
      /node-[bc] partition acquired .*"partition":"node-a"/.test(l),
    ) || w.checker.broken.length > 0,
    "a peer takes the group",
  );
  return w;
}
test("guard: the permit counts from the last touch as well as from the last read: no group has two masters", () => {
  const w = touchesHeld();
  assert.deepEqual(w.checker.broken, []);
  const ended = w.logs.filter((l) =>
    l.includes("node-a leadership lease expired"),
  );
  assert.equal(ended.length, 1, "said once, with the age of each term");
  const { renewalAgeMs, readAgeMs, ttlMs } = JSON.parse(
    ended[0]!.slice(ended[0]!.indexOf("{")),
  ) as Record<string, number>;
  assert.ok(renewalAgeMs! > ttlMs! - 500 && readAgeMs! < 6_000, ended[0]);
  const on = permitBy((o) => o.readMs)();
  try {
    assert.match(touchesHeld().checker.broken.join(), /two_masters/);
  } finally {
    on();
  }
});
test("guard: effects are looked at by the clock once more before they leave", () => {
  expectGuardNeeded(gapDay, [0], "no_permit", () => {
    const before = Controller.prototype.maySend;
    Controller.prototype.maySend = () => true;
    return () => (Controller.prototype.maySend = before);
  });
});

// ---- transactions that are carried out late --------------------------------------------------------------------

/** Holds back, without an answer, the next transaction that writes such a key; `release`: it is carried out now. */
function holdBack(
  w: World,
  key: (key: string) => boolean,
): { held: () => boolean; release: () => string } {
  const handle = w.state.handle.bind(w.state);
  let held: StateCall | null = null;
  w.state.handle = (call, done) => {
    if (
      held === null &&
      call.op === "commit" &&
      call.writes.some((x) => x.op === "put" && key(x.key))
    )
      held = structuredClone(call);
    else handle(call, done);
  };
  return {
    held: () => held !== null,
    release: () => {
      let end = "";
      handle(held!, (r) => (end = r.is));
      return end;
    },
  };
}
/** Runs until something holds. */
function until(
  w: World,
  what: string,
  holds: () => boolean,
  mostMs = 60_000,
): void {
  const end = w.now + mostMs;
  while (!holds()) {
    assert.ok(w.now < end, `never: ${what}\n${describeWorkload(w)}`);
    w.run(w.now + 50);
  }
}
const job = (w: World, over: Partial<JobSpec>): JobSpec => {
  const spec = {
    ...randomJob(w, 1),
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
    ...over,
  };
  w.specs.set(spec.id, spec);
  return spec;
};
const quiet = (seed: number, controllers = 1): World => {
  const w = new World(seed, undefined, [], controllers);
  w.loss = 0;
  w.capacity = 4;
  for (let i = 0; i < 4; i++) w.cloud.add(w.types[0]!, "east", false, 0);
  return w;
};

test("late transaction: finished ranges that are carried out after newer ones do not forget what is done", () => {
  const w = quiet(2);
  w.runFactor = 3;
  const spec = job(w, { tasks: 4 });
  w.at(4_000, () =>
    w.ask(
      "node-a",
      (reqId) => ({ type: "submit", reqId, spec }),
      (a) => assert.equal(a?.kind, "job"),
    ),
  );
  const late = holdBack(w, (k) => k.startsWith("lc/now/fin/"));
  const written = (): number => {
    const fin = [...w.state.data].filter(([k]) =>
      k.startsWith(`lc/now/fin/${spec.id}/`),
    );
    return fin.reduce(
      (n, [k, d]) =>
        n +
        tasksInBlock(
          readCompletion(d.value, Number(k.split("/").at(-1)))!,
          Number(k.split("/").at(-1)),
        ).size,
      0,
    );
  };
  until(w, "the first ranges are sent", () => late.held());
  until(w, "newer ranges are written", () => written() >= 2);
  const before = written();
  assert.equal(late.release(), "conflict");
  assert.equal(written(), before, "what was done stays done");
  w.crash("node-a");
  w.boot("node-a");
  w.run(w.now + 3_000);
  assert.ok(
    w.nodes.get("node-a")!.core.cache.allFinished(spec.id).size >= before,
  );
  until(w, "done", () =>
    [0, 1, 2, 3].every((i) => w.results.has(`${spec.id}/${i}`)),
  );
});

test("late transaction: what a controller's former life believed of limits does not come after what its present one does", () => {
  const w = quiet(3, 2);
  const late = holdBack(w, (k) => k === observedLimitsKey("node-a"));
  until(w, "the first life tells its limits", () => late.held());
  // Back at once with lower limits, while the hold of its former life is still there.
  w.reconfigure(
    w.names,
    new Map(
      [...w.settings.teams].map(([n, t]) => [
        n,
        { ...t, cpusMax: t.cpusMax / 2 },
      ]),
    ),
  );
  w.crash("node-a");
  w.boot("node-a");
  const belief = (): unknown =>
    (
      w.state.data.get(observedLimitsKey("node-a"))?.value as
        { limits: string } | undefined
    )?.limits;
  until(w, "the second life tells its own", () => belief() !== undefined);
  const present = belief();
  const end = late.release();
  assert.notEqual(end, "refused", "the former hold is still there");
  w.run(w.now + 3_000);
  assert.equal(belief(), present, "the present life's limits are told");
});

test("late transaction: a group's room as it was does not come after what it is", () => {
  const w = quiet(4);
  const late = holdBack(w, (k) => k === capacityKey("node-a"));
  const room = (): string =>
    JSON.stringify(w.state.data.get(capacityKey("node-a"))?.value ?? null);
  const spec = job(w, { tasks: 4 });
  w.at(4_000, () =>
    w.ask(
      "node-a",
      (reqId) => ({ type: "submit", reqId, spec }),
      (a) => assert.equal(a?.kind, "job"),
    ),
  );
  until(w, "the first room is sent", () => late.held());
  until(w, "a newer one is written", () => room() !== "null");
  const before = room();
  assert.equal(late.release(), "conflict");
  assert.equal(room(), before);
});

test("late transaction: that a part of a gang is ready is not said again after the next attempt was called", () => {
  const w = new World(6);
  w.loss = 0;
  w.capacity = 4;
  for (const z of ["east", "mid"])
    for (let i = 0; i < 3; i++) w.cloud.add(w.types[1]!, z, false, 0);
  // Such machines are in two zones, which two controllers have.
  const spec = job(w, {
    kind: "gang",
    tasks: 4,
    cpus: 6,
    gpus: 1,
    machineTypes: ["big"],
    spread: true,
    zone: null,
  });
  const late = holdBack(w, (k) => k.startsWith(`lc/now/ready/${spec.id}/`));
  w.at(9_000, () =>
    w.ask(
      "node-a",
      (reqId) => ({ type: "submit", reqId, spec }),
      (a) => assert.equal(a?.kind, "job", JSON.stringify(a)),
    ),
  );
  until(w, "a part says that it is ready", () => late.held());
  until(w, "an attempt is called", () => w.state.data.has(gangKey(spec.id)));
  const ready = (): string =>
    JSON.stringify(
      [...w.state.data]
        .filter(([k]) => k.startsWith(`lc/now/ready/${spec.id}/`))
        .map(([k, d]) => [k, d.value, d.version]),
    );
  const before = ready();
  assert.equal(late.release(), "conflict");
  assert.equal(ready(), before);
});

test("late transaction: tasks of a group that is gone don't go to another once somebody had that group again in between", () => {
  const w = new World(9);
  w.loss = 0;
  w.capacity = 0;
  const spec = job(w, { zone: "west", tasks: 3 });
  w.at(4_000, () =>
    w.ask(
      "node-a",
      (reqId) => ({ type: "submit", reqId, spec }),
      (a) => assert.equal(a?.kind, "job"),
    ),
  );
  until(w, "it is split to the group that will be gone", () =>
    JSON.stringify(
      w.state.data.get(`lc/now/job/${spec.id}`)?.value ?? null,
    ).includes("node-c"),
  );
  w.crash("node-c");
  w.reconfigure(["node-a", "node-b"], w.settings.teams);
  w.crash("node-b");
  w.crash("node-a");
  w.boot("node-a");
  const late = holdBack(w, (k) => k === `lc/now/job/${spec.id}`);
  until(w, "its tasks are to go to another group", () => late.held());
  // A controller that goes by the former settings takes the group, starts something, and loses it again.
  const write = (x: StateCall): void =>
    w.state.handle(x, (r) => assert.equal(r.is, "committed"));
  const key = "lc/now/group/node-c";
  if (w.state.data.has(key))
    write({ op: "commit", conditions: [], writes: [{ op: "delete", key }] });
  write({
    op: "commit",
    conditions: [{ key, version: 0 }],
    writes: [{ op: "put", key, value: { owner: "node-c", hold: 99 } }],
  });
  write({ op: "commit", conditions: [], writes: [{ op: "delete", key }] });
  assert.equal(late.release(), "conflict");
  // Then it is as nobody's as before, and the tasks go where there is a master, once leases have ended.
  const from = w.now;
  until(
    w,
    "its tasks go to another group",
    () =>
      !JSON.stringify(
        w.state.data.get(`lc/now/job/${spec.id}`)!.value,
      ).includes("node-c"),
  );
  assert.ok(w.now - from > 1000 * w.settings.leaseS, "a lease counts anew");
  until(w, "the group is nobody's again", () => !w.state.data.has(key));
});

test("a transaction without an answer that is carried out all the same is told of in the log, once", () => {
  const w = quiet(5);
  const spec = job(w, {});
  const late = holdBack(w, (k) => k.startsWith("lc/now/fin/"));
  w.at(4_000, () =>
    w.ask(
      "node-a",
      (reqId) => ({ type: "submit", reqId, spec }),
      (a) => assert.equal(a?.kind, "job"),
    ),
  );
  until(w, "ranges are sent", () => late.held());
  // Its answer is given up after 1.5 s, and what is sent again is not there yet.
  w.run(w.now + 1_400);
  const handle = w.state.handle.bind(w.state);
  w.state.handle = (call, done) =>
    call.op === "commit"
      ? done({ is: "refused", why: "503" })
      : handle(call, done);
  w.run(w.now + 1_000);
  assert.equal(late.release(), "committed");
  w.run(w.now + 2_000);
  const lines = w.logs.filter((l) =>
    l.includes("indeterminate transaction was applied"),
  );
  assert.equal(lines.length, 1, lines.join("\n"));
  assert.match(lines[0]!, /lc\/now\/fin\/.*"afterMs":\d+/);
});

// ---- all of them, drawn ------------------------------------------------------------------------------------------

test("two to four injected faults at once, with 1 to 7 controllers: the rules hold, and each combination occurs", () => {
  const met = { ...NO_COUNTS };
  for (let seed = 0; seed < 14; seed++) {
    const { world: w, occurred: m } = play(seed, draw(seed));
    assert.deepEqual(
      w.checker.broken,
      [],
      `seed ${seed}, ${JSON.stringify(draw(seed))}: ${describeWorkload(w)}`,
    );
    total(met, m);
  }
  for (const [k, n] of Object.entries(met))
    assert.ok(n > 0, `${k} never occurred: ${JSON.stringify(met)}`);
});

test("guard: what a former master may have started counts until its machines have spoken or their leases are over", () => {
  expectGuardNeeded(drawn, [11, 15], "ran_twice", withoutTakeoverFence);
});
test("guard: a start without an answer pins its task, for the command may still go on", () => {
  expectGuardNeeded(drawn, [2, 4], "quota", withoutPinnedStarts);
});
test("guard: an answer that is not final rests on a read that was sent after the question", () => {
  expectGuardNeeded(drawn, [8, 17], "went_back", withoutReadBeforeAnswer);
});

test("guard: nothing is done for a group from before it is given up, whatever becomes of the commit", () => {
  const day = (seed: number): World => leaderChanges(seed).world;
  expectGuardNeeded(day, [7, 13], "two_masters", () => {
    const before = Leadership.prototype.tokenOf;
    Leadership.prototype.tokenOf = function (partition) {
      const { ctx } = this as unknown as { ctx: Context };
      const r = ctx.cache.partitions.get(partition);
      return r?.owner === ctx.settings.label && r.hold === this.storeLeaseId
        ? r.version
        : null;
    };
    return () => (Leadership.prototype.tokenOf = before);
  });
});
