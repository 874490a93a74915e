import type { Answer, Input } from "../../src/coordination/effects.js";
import type { JobSpec, Priority } from "../../src/coordination/model.js";
import { World } from "./world.js";

/** Users and injected faults of a seeded day. */

export function randomJob(w: World, n: number): JobSpec {
  const r = w.rng;
  const shape = r.pick(["array", "array", "gang", "gang", "service"] as const);
  const gpu = r.chance(0.25);
  const tasks = shape === "array" ? r.int(1, 14) : r.int(1, 3);
  const samePlace = r.chance(0.3);
  return {
    id: `req-${String(n).padStart(6, "0")}`,
    jobClass: shape === "gang" ? "gangs" : "arrays",
    team: r.pick(["red", "blue"]),
    kind: shape,
    priority: r.pick<Priority>(["prod", "high", "normal", "best_effort"]),
    tasks,
    cpus: r.pick([1, 2, 4, 5]),
    gpus: gpu ? 1 : 0,
    memGb: 4,
    image: `img-${r.int(1, 4)}`,
    imageGb: 3,
    machineTypes: r.chance(0.2)
      ? [gpu ? "big" : r.pick(["small", "big"])]
      : null,
    zone: r.chance(0.1) ? r.pick(["east", "mid"]) : null,
    samePlace,
    spread: !samePlace && r.chance(0.25),
    spot: r.chance(0.5),
    estimateS: shape === "service" ? 0 : r.real(2, 90),
    checkpointS: r.chance(0.5) ? 2 : 0,
    saveS: 1,
    deadlineS: null,
  };
}

/** A gang of up to 16 tasks that each fill a machine, or an array of up to 100: what large deployments run. */
export function largeJob(w: World, n: number): JobSpec {
  const r = w.rng;
  const gang = r.chance(0.6);
  return {
    ...randomJob(w, n),
    kind: gang ? "gang" : "array",
    jobClass: gang ? "gangs" : "arrays",
    tasks: gang ? r.pick([1, 3, 8, 16]) : r.int(5, 100),
    cpus: gang ? 8 : 2,
    gpus: 0,
    machineTypes: null,
    zone: null,
    samePlace: gang,
    spread: false,
    estimateS: r.real(2, 60),
  };
}

export function submitWorkload(
  w: World,
  untilMs: number,
  draw = randomJob,
): void {
  let n = 0;
  const submitOne = (): void => {
    if (w.now > untilMs) return;
    const spec = draw(w, ++n);
    // A spread job that names its zone can't be placed as it asks; users don't submit it.
    if (spec.zone !== null && spec.tasks > 1) spec.spread = false;
    w.specs.set(spec.id, spec);
    submit(w, spec, w.now);
    w.at(w.rng.real(300, 2_500), submitOne);
  };
  w.at(500, submitOne);
  const askUnknown = (): void => {
    w.ask(
      w.rng.pick(w.names),
      (reqId) => ({ type: "status", reqId, id: "req-999999" }),
      (a) =>
        a?.kind === "job" && w.checker.answered("req-999999", a.state, w.now),
    );
    w.at(5_000, askUnknown);
  };
  askUnknown();
}

/** A user's request at some controller; what comes later than it waits for is not heard. */
function request(
  w: World,
  waitMs: number,
  input: (req: number) => Input,
  done: (a: Answer | null) => void,
): void {
  const name = w.rng.pick(w.names);
  let over = false;
  const end = (a: Answer | null): void => {
    if (over) return;
    over = true;
    done(a);
  };
  w.at(waitMs, () => end(null));
  if (w.apart(w.zoneOf(name), null)) return;
  w.ask(name, input, end);
}

const hear = (w: World, id: string, a: Answer, askedMs: number): void => {
  if (a.kind === "job") w.checker.answered(id, a.state, askedMs);
  else if (a.kind === "unknownJob") w.checker.refused(id, 404, askedMs);
  else if (a.kind === "cannotRun") w.checker.refused(id, 422, askedMs);
};

/**
 * Lines of four stages, each submitted as soon as what it needs is accepted, some of the last ones late; some are
 * cancelled, at any stage and any time. Jobs that ended long ago are needed again.
 */
export function pipelines(w: World, fromMs: number, untilMs: number): void {
  const r = w.rng;
  let n = 500_000;
  const ended: string[] = [];
  const stage = (
    awaits: string[],
    over: Partial<JobSpec>,
    delayMs = 0,
  ): JobSpec => {
    const spec = {
      ...randomJob(w, ++n),
      team: "blue",
      kind: "array" as const,
      tasks: r.int(1, 4),
      cpus: 1,
      gpus: 0,
      machineTypes: null,
      zone: null,
      samePlace: false,
      spread: false,
      priority: "best_effort" as const,
      ...over,
    };
    w.specs.set(spec.id, spec);
    w.dependsOn.set(spec.id, awaits);
    const whenAccepted = (): void => {
      if (awaits.some((x) => !w.checker.told.has(x)))
        return w.at(300, whenAccepted);
      submit(w, spec, w.now);
    };
    w.at(delayMs, whenAccepted);
    return spec;
  };
  const one = (): void => {
    if (w.now > untilMs) return;
    const first = stage(
      ended.length > 0 && r.chance(0.3) ? [r.pick(ended)] : [],
      {},
    );
    const middle = Array.from(
      { length: r.int(1, 4) },
      () => stage([first.id], {}).id,
    );
    const third = stage(middle, {
      kind: "gang",
      tasks: r.int(2, 4),
      samePlace: true,
      priority: "normal",
    });
    const last = stage(
      [first.id, third.id],
      { priority: "high", deadlineS: 60 },
      r.chance(0.15) ? r.real(10_000, 60_000) : 0,
    );
    const all = [first.id, ...middle, third.id, last.id];
    ended.push(...all);
    if (r.chance(0.3))
      w.at(r.real(100, 40_000), () =>
        cancel(
          w,
          r.pick(all.filter((x) => w.checker.told.has(x)).concat(first.id)),
        ),
      );
    w.at(r.real(1_000, 8_000), one);
  };
  w.at(fromMs, one);
}

export function submit(w: World, spec: JobSpec, sinceMs: number): void {
  const askedMs = w.now;
  request(
    w,
    5_000,
    (reqId) => ({
      type: "submit",
      reqId,
      spec,
      dependsOn: w.dependsOn.get(spec.id),
    }),
    (a) => {
      if (a) hear(w, spec.id, a, askedMs);
      if (a?.kind === "job") {
        if (!w.polled.has(spec.id)) {
          w.polled.add(spec.id);
          poll(w, spec.id);
          if (spec.kind === "service" || w.rng.chance(0.2))
            w.at(w.rng.real(500, 25_000), () => cancel(w, spec.id));
        }
        // A repeated submission, at any later time.
        if (w.rng.chance(0.15))
          w.at(w.rng.real(100, 60_000), () => submit(w, spec, -1e9));
        return;
      }
      if (w.now - sinceMs < 60_000) w.at(1_000, () => submit(w, spec, sinceMs));
    },
  );
}
/** Questions at all controllers within milliseconds, and the submission once more. */
export function askAllControllers(w: World, id: string): void {
  const spec = w.specs.get(id)!;
  for (const name of w.names)
    for (const again of [false, true])
      w.at(w.rng.real(0, 20), () => {
        const askedMs = w.now;
        if (w.apart(w.zoneOf(name), null)) return;
        w.ask(
          name,
          (reqId) =>
            again
              ? { type: "submit", reqId, spec, dependsOn: w.dependsOn.get(id) }
              : { type: "status", reqId, id },
          (a) => a && w.now - askedMs < 2_000 && hear(w, id, a, askedMs),
        );
      });
}
/** Submissions that are never accepted, and cancellations of what is done. */
export function malformedRequest(w: World, n: number): void {
  const r = w.rng;
  const done = [...w.checker.told].filter(([, s]) => s === "done");
  if (done.length > 0 && r.chance(0.5)) cancel(w, r.pick(done)[0]);
  const accepted = [...w.checker.told].filter(([, s]) => s === "accepted");
  if (accepted.length > 0) submit(w, w.specs.get(r.pick(accepted)[0])!, -1e9);
  const spec = {
    ...randomJob(w, 900_000 + n),
    ...r.pick<Partial<JobSpec>>([
      { cpus: 500 },
      { team: "nobody" },
      { kind: "gang", tasks: 90, cpus: 8 },
      { machineTypes: ["none"] },
      { zone: "mars" },
    ]),
  };
  request(
    w,
    5_000,
    (reqId) => ({ type: "submit", reqId, spec }),
    (a) => a?.kind === "job" && w.checker.fail("accepted_unfit", spec.id),
  );
}
export function cancel(w: World, id: string): void {
  w.checker.asked.add(id);
  const askedMs = w.now;
  request(
    w,
    5_000,
    (reqId) => ({ type: "cancel", reqId, id }),
    (a) => {
      if (a) hear(w, id, a, askedMs);
      if (a?.kind !== "job") w.at(1_000, () => cancel(w, id));
    },
  );
}
function poll(w: World, id: string): void {
  w.at(w.rng.real(1_000, 5_000) / w.queryRate, () => {
    const askedMs = w.now;
    request(
      w,
      2_000,
      (reqId) => ({ type: "status", reqId, id }),
      (a) => {
        if (a) hear(w, id, a, askedMs);
        if (a?.kind === "job") w.checker.heardOf.set(id, w.now);
        if (
          a?.kind !== "job" ||
          (a.state !== "done" && a.state !== "cancelled") ||
          w.rng.chance(0.3)
        )
          poll(w, id);
      },
    );
  });
}

/**
 * What large deployments met: controllers that stand still, one after the other or during a takeover, zones cut off with
 * packets held, a part of the machines dying at once. Beside the other injected faults, so that two and three meet.
 */
export function injectLargeFaults(w: World, untilMs: number): void {
  const r = w.rng;
  const one = (): void => {
    if (w.now > untilMs - 30_000) return;
    const node = r.pick(w.names);
    switch (r.int(0, 4)) {
      case 0:
        w.freeze(node, r.real(1_000, 30_000));
        break;
      case 1:
        // The one that is to take over stands still when it does.
        w.crash(node);
        w.at(r.real(1_000, 8_000), () => w.nodes.get(node) ?? w.boot(node));
        w.at(r.real(0, 16_000), () =>
          w.freeze(r.pick(w.names), r.real(1_000, 20_000)),
        );
        break;
      case 2:
        w.cutZone(r.pick(w.zones), r.real(2_000, 25_000));
        break;
      case 3:
        // Some die, some are taken without notice, and now and then just before their master ends.
        for (const m of w.workers)
          if (m.up && !m.gone && r.chance(0.15)) {
            if (r.chance(0.5)) m.taken();
            else m.vanish();
          }
        if (r.chance(0.5)) {
          w.crash(node);
          w.at(r.real(1_000, 8_000), () => w.nodes.get(node) ?? w.boot(node));
        }
        break;
      case 4:
        for (const n of w.names)
          w.at(r.real(0, 6_000), () => w.freeze(n, r.real(1_000, 12_000)));
        break;
    }
    w.at(r.real(2_000, 15_000), one);
  };
  w.at(10_000, one);
}

/** One injected fault after another, some at once; all are over by `untilMs`. */
export function injectFaults(w: World, untilMs: number): void {
  const r = w.rng;
  const one = (): void => {
    if (w.now > untilMs - 30_000) return;
    const forMs = r.real(2_000, 25_000);
    const node = r.pick(w.names);
    switch (r.int(0, 13)) {
      case 0:
        w.crash(node);
        w.at(r.real(1_000, 8_000), () => w.nodes.get(node) ?? w.boot(node));
        break;
      case 1:
        for (const n of w.names) w.crash(n);
        for (const n of w.names)
          w.at(r.real(1_000, 6_000), () => w.nodes.get(n) ?? w.boot(n));
        break;
      case 2:
        if (w.stateDown) break;
        w.stateDown = true;
        w.at(forMs, () => {
          w.stateDown = false;
          w.state.restart();
        });
        break;
      case 3:
        w.stateCut.set(node, r.pick(["refused", "held"] as const));
        w.at(forMs, () => w.stateCut.delete(node));
        break;
      case 4: {
        const zone = r.pick(w.zones);
        for (const m of w.workers) if (m.zone === zone) m.cut.add(node);
        w.at(forMs, () => w.workers.forEach((m) => m.cut.delete(node)));
        break;
      }
      case 5:
      case 6: {
        const m = w.workers.length > 0 ? r.pick(w.workers) : null;
        for (const n of w.names) m?.cut.add(n);
        w.at(forMs, () => m?.cut.clear());
        break;
      }
      case 7: {
        const m = w.workers.length > 0 ? r.pick(w.workers) : null;
        if (m) m.hung = true;
        w.at(forMs, () => {
          if (m) {
            m.hung = false;
            m.expire();
          }
        });
        break;
      }
      case 8:
        w.cloudDown = true;
        w.at(forMs, () => (w.cloudDown = false));
        break;
      case 9:
        for (const m of w.workers)
          if (m.spot && r.chance(0.5)) {
            m.noticeMs = w.now + 4_000;
            w.at(4_000, () => (r.chance(0.5) ? m.taken() : m.vanish()));
          }
        break;
      case 10: {
        const m = w.workers.length > 0 ? r.pick(w.workers) : null;
        if (m) m.faulty = true;
        w.at(forMs, () => m && (m.faulty = false));
        break;
      }
      case 12:
        // A node cut from workers and peers, but not from the state service.
        for (const m of w.workers) m.cut.add(node);
        w.meshCuts.add(node);
        w.at(forMs, () => {
          w.workers.forEach((m) => m.cut.delete(node));
          w.meshCuts.delete(node);
        });
        break;
      case 13:
        w.meshCuts.add(node);
        w.at(forMs, () => w.meshCuts.delete(node));
        break;
      case 11:
        w.loss = 0.15;
        w.at(forMs, () => (w.loss = 0.01));
        break;
    }
    w.at(r.real(1_000, 12_000), one);
  };
  w.at(8_000, one);
}

/**
 * Failure scenarios: controllers that are silent or stand still for long, or are back at once; machines that hear nothing; copies of reports that
 * come late; a controller cut from the state service and its peers, but not from its workers; questions many times as often; jobs
 * submitted with a mistake. All are over by `untilMs`.
 */
function largeFaults(w: World, untilMs: number): void {
  const r = w.rng;
  w.duplicatedHeartbeats = r.pick([0, 0.05, 0.3]);
  w.at(untilMs, () => (w.duplicatedHeartbeats = 0));
  const one = (): void => {
    const most = untilMs - w.now;
    if (most < 20_000) return;
    const forMs = Math.min(most - 5_000, r.real(2_000, 45_000));
    const node = r.pick(w.names);
    switch (r.int(0, 8)) {
      case 0:
        // Silent for long.
        w.crash(node);
        w.at(forMs, () => w.nodes.get(node) ?? w.boot(node));
        break;
      case 1:
        w.freeze(node, Math.min(forMs, r.pick([14_000, 40_000])));
        break;
      case 2: {
        // Back at once, and now and then in the middle of the takeover that its end began.
        const again = (): void => {
          w.crash(node);
          w.at(r.real(50, 500), () => w.nodes.get(node) ?? w.boot(node));
        };
        again();
        for (let n = r.int(0, 3); n > 0; n--) w.at(r.real(500, 15_000), again);
        break;
      }
      case 3:
      case 4: {
        const part = r.pick([0.1, 0.5]);
        const zone = r.chance(0.3) ? r.pick(w.zones) : null;
        const some = w.workers.filter(
          (m) => !m.gone && (zone === null ? r.chance(part) : m.zone === zone),
        );
        for (const m of some) m.oneWay = true;
        w.at(forMs, () => some.forEach((m) => (m.oneWay = false)));
        break;
      }
      case 5:
        w.stateCut.set(node, r.pick(["refused", "held"] as const));
        w.meshCuts.add(node);
        w.at(forMs, () => {
          w.stateCut.delete(node);
          w.meshCuts.delete(node);
        });
        break;
      case 6:
        w.queryRate = r.pick([8, 20]);
        w.at(forMs, () => (w.queryRate = 1));
        break;
      case 7:
        for (const m of w.workers)
          if (m.up && !m.gone && r.chance(0.2)) m.restart(r.real(50, 800));
        break;
      case 8:
        w.bootFactor = r.pick([0.05, 4]);
        w.at(forMs, () => (w.bootFactor = 1));
        break;
    }
    w.at(r.real(1_000, 12_000), one);
  };
  w.at(8_000, one);
}

/** A failure scenario of 1 to 7 controllers, over after 190 s; what is not remembered 75 s after 200 s counts as forgotten. */
export function failureScenario(seed: number): World {
  const w = new World(seed, undefined, [], (seed % 7) + 1);
  for (const z of w.zones) w.cloud.add(w.types[0]!, z, false, 0);
  submitWorkload(w, 150_000);
  largeFaults(w, 190_000);
  if (seed % 2 === 0) injectFaults(w, 190_000);
  w.at(275_000, () => w.checker.remembers(200_000));
  w.run(330_000);
  return w;
}
