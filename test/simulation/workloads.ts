import type { Answer, Input } from "../../src/coordination/effects.js";
import type { JobSpec, Priority } from "../../src/coordination/model.js";
import { World } from "./world.js";

/** Simulated users and injected faults, drawn from the world's seeded generator. */

export function randomJob(world: World, jobNumber: number): JobSpec {
  const rng = world.rng;
  const kind = rng.pick(["array", "array", "gang", "gang", "service"] as const);
  const needsGpu = rng.chance(0.25);
  const tasks = kind === "array" ? rng.int(1, 14) : rng.int(1, 3);
  const samePlace = rng.chance(0.3);
  return {
    id: `req-${String(jobNumber).padStart(6, "0")}`,
    jobClass: kind === "gang" ? "gangs" : "arrays",
    team: rng.pick(["red", "blue"]),
    kind,
    priority: rng.pick<Priority>(["prod", "high", "normal", "best_effort"]),
    tasks,
    cpus: rng.pick([1, 2, 4, 5]),
    gpus: needsGpu ? 1 : 0,
    memGb: 4,
    image: `img-${rng.int(1, 4)}`,
    imageGb: 3,
    machineTypes: rng.chance(0.2)
      ? [needsGpu ? "big" : rng.pick(["small", "big"])]
      : null,
    zone: rng.chance(0.1) ? rng.pick(["east", "mid"]) : null,
    samePlace,
    spread: !samePlace && rng.chance(0.25),
    spot: rng.chance(0.5),
    estimateS: kind === "service" ? 0 : rng.real(2, 90),
    checkpointS: rng.chance(0.5) ? 2 : 0,
    saveS: 1,
    deadlineS: null,
  };
}

/** A job as large deployments run it: a gang of up to 16 tasks that each fill a small machine, or an array of up to 100 tasks. */
export function largeJob(world: World, jobNumber: number): JobSpec {
  const rng = world.rng;
  const isGang = rng.chance(0.6);
  return {
    ...randomJob(world, jobNumber),
    kind: isGang ? "gang" : "array",
    jobClass: isGang ? "gangs" : "arrays",
    tasks: isGang ? rng.pick([1, 3, 8, 16]) : rng.int(5, 100),
    cpus: isGang ? 8 : 2,
    gpus: 0,
    machineTypes: null,
    zone: null,
    samePlace: isGang,
    spread: false,
    estimateS: rng.real(2, 60),
  };
}

export function submitWorkload(
  world: World,
  untilMs: number,
  makeJob = randomJob,
): void {
  let lastJobNumber = 0;
  const submitOne = (): void => {
    if (world.now > untilMs) return;
    const spec = makeJob(world, ++lastJobNumber);
    // A job with several tasks can't be spread within a single named zone; users don't submit such jobs.
    if (spec.zone !== null && spec.tasks > 1) spec.spread = false;
    world.specs.set(spec.id, spec);
    submit(world, spec, world.now);
    world.at(world.rng.real(300, 2_500), submitOne);
  };
  world.at(500, submitOne);
  const askUnknown = (): void => {
    world.ask(
      world.rng.pick(world.names),
      (reqId) => ({ type: "status", reqId, id: "req-999999" }),
      (a) =>
        a?.kind === "job" &&
        world.checker.answered("req-999999", a.state, world.now),
    );
    world.at(5_000, askUnknown);
  };
  askUnknown();
}

/** Sends a user's request to a random controller; `done` gets null if no answer arrives within `waitMs`. */
function request(
  world: World,
  waitMs: number,
  input: (reqId: number) => Input,
  done: (a: Answer | null) => void,
): void {
  const name = world.rng.pick(world.names);
  let finished = false;
  const finish = (answer: Answer | null): void => {
    if (finished) return;
    finished = true;
    done(answer);
  };
  world.at(waitMs, () => finish(null));
  if (world.isCutApart(world.zoneOf(name), null)) return;
  world.ask(name, input, finish);
}

const checkAnswer = (
  world: World,
  id: string,
  answer: Answer,
  askedMs: number,
): void => {
  if (answer.kind === "job") world.checker.answered(id, answer.state, askedMs);
  else if (answer.kind === "unknownJob")
    world.checker.refused(id, 404, askedMs);
  else if (answer.kind === "cannotRun") world.checker.refused(id, 422, askedMs);
};

/**
 * Submits pipelines of four stages. A stage is submitted as soon as its dependencies are accepted; 15% of the last stages are
 * 10 to 60 s late. In 30% of the pipelines one job is cancelled, and 30% depend on a job of an earlier pipeline.
 */
export function pipelines(world: World, fromMs: number, untilMs: number): void {
  const rng = world.rng;
  let lastJobNumber = 500_000;
  const earlierJobs: string[] = [];
  const submitStage = (
    dependencies: string[],
    overrides: Partial<JobSpec>,
    delayMs = 0,
  ): JobSpec => {
    const spec = {
      ...randomJob(world, ++lastJobNumber),
      team: "blue",
      kind: "array" as const,
      tasks: rng.int(1, 4),
      cpus: 1,
      gpus: 0,
      machineTypes: null,
      zone: null,
      samePlace: false,
      spread: false,
      priority: "best_effort" as const,
      ...overrides,
    };
    world.specs.set(spec.id, spec);
    world.dependsOn.set(spec.id, dependencies);
    const submitWhenAccepted = (): void => {
      if (dependencies.some((x) => !world.checker.toldStates.has(x)))
        return world.at(300, submitWhenAccepted);
      submit(world, spec, world.now);
    };
    world.at(delayMs, submitWhenAccepted);
    return spec;
  };
  const submitPipeline = (): void => {
    if (world.now > untilMs) return;
    const first = submitStage(
      earlierJobs.length > 0 && rng.chance(0.3) ? [rng.pick(earlierJobs)] : [],
      {},
    );
    const middle = Array.from(
      { length: rng.int(1, 4) },
      () => submitStage([first.id], {}).id,
    );
    const third = submitStage(middle, {
      kind: "gang",
      tasks: rng.int(2, 4),
      samePlace: true,
      priority: "normal",
    });
    const last = submitStage(
      [first.id, third.id],
      { priority: "high", deadlineS: 60 },
      rng.chance(0.15) ? rng.real(10_000, 60_000) : 0,
    );
    const jobIds = [first.id, ...middle, third.id, last.id];
    earlierJobs.push(...jobIds);
    if (rng.chance(0.3))
      world.at(rng.real(100, 40_000), () =>
        cancel(
          world,
          rng.pick(
            jobIds
              .filter((x) => world.checker.toldStates.has(x))
              .concat(first.id),
          ),
        ),
      );
    world.at(rng.real(1_000, 8_000), submitPipeline);
  };
  world.at(fromMs, submitPipeline);
}

export function submit(
  world: World,
  spec: JobSpec,
  retrySinceMs: number,
): void {
  const askedMs = world.now;
  request(
    world,
    5_000,
    (reqId) => ({
      type: "submit",
      reqId,
      spec,
      dependsOn: world.dependsOn.get(spec.id),
    }),
    (answer) => {
      if (answer) checkAnswer(world, spec.id, answer, askedMs);
      if (answer?.kind === "job") {
        if (!world.polled.has(spec.id)) {
          world.polled.add(spec.id);
          poll(world, spec.id);
          if (spec.kind === "service" || world.rng.chance(0.2))
            world.at(world.rng.real(500, 25_000), () => cancel(world, spec.id));
        }
        // A repeated submission, up to a minute later.
        if (world.rng.chance(0.15))
          world.at(world.rng.real(100, 60_000), () =>
            submit(world, spec, -1e9),
          );
        return;
      }
      if (world.now - retrySinceMs < 60_000)
        world.at(1_000, () => submit(world, spec, retrySinceMs));
    },
  );
}
/** Queries a job's state at all controllers within 20 ms, and submits the job to each of them again. */
export function askAllControllers(world: World, id: string): void {
  const spec = world.specs.get(id)!;
  for (const name of world.names)
    for (const isSubmission of [false, true])
      world.at(world.rng.real(0, 20), () => {
        const askedMs = world.now;
        if (world.isCutApart(world.zoneOf(name), null)) return;
        world.ask(
          name,
          (reqId) =>
            isSubmission
              ? {
                  type: "submit",
                  reqId,
                  spec,
                  dependsOn: world.dependsOn.get(id),
                }
              : { type: "status", reqId, id },
          (a) =>
            a &&
            world.now - askedMs < 2_000 &&
            checkAnswer(world, id, a, askedMs),
        );
      });
}
/** Cancels a job that is done, submits an accepted job again, and submits a job that must be rejected. */
export function malformedRequest(world: World, requestNumber: number): void {
  const rng = world.rng;
  const doneJobs = [...world.checker.toldStates].filter(
    ([, s]) => s === "done",
  );
  if (doneJobs.length > 0 && rng.chance(0.5))
    cancel(world, rng.pick(doneJobs)[0]);
  const acceptedJobs = [...world.checker.toldStates].filter(
    ([, s]) => s === "accepted",
  );
  if (acceptedJobs.length > 0)
    submit(world, world.specs.get(rng.pick(acceptedJobs)[0])!, -1e9);
  const spec = {
    ...randomJob(world, 900_000 + requestNumber),
    ...rng.pick<Partial<JobSpec>>([
      { cpus: 500 },
      { team: "nobody" },
      { kind: "gang", tasks: 90, cpus: 8 },
      { machineTypes: ["none"] },
      { zone: "mars" },
    ]),
  };
  request(
    world,
    5_000,
    (reqId) => ({ type: "submit", reqId, spec }),
    (a) => a?.kind === "job" && world.checker.fail("accepted_unfit", spec.id),
  );
}
export function cancel(world: World, id: string): void {
  world.checker.cancelRequests.add(id);
  const askedMs = world.now;
  request(
    world,
    5_000,
    (reqId) => ({ type: "cancel", reqId, id }),
    (answer) => {
      if (answer) checkAnswer(world, id, answer, askedMs);
      if (answer?.kind !== "job") world.at(1_000, () => cancel(world, id));
    },
  );
}
function poll(world: World, id: string): void {
  world.at(world.rng.real(1_000, 5_000) / world.queryRate, () => {
    const askedMs = world.now;
    request(
      world,
      2_000,
      (reqId) => ({ type: "status", reqId, id }),
      (answer) => {
        if (answer) checkAnswer(world, id, answer, askedMs);
        if (answer?.kind === "job")
          world.checker.lastAnsweredMs.set(id, world.now);
        if (
          answer?.kind !== "job" ||
          (answer.state !== "done" && answer.state !== "cancelled") ||
          world.rng.chance(0.3)
        )
          poll(world, id);
      },
    );
  });
}

/**
 * Injects faults seen in large deployments: controllers that pause, one after the other or during a failover, zones cut off while
 * their packets are delayed, 15% of the machines failing at once. Runs beside `injectFaults`, so that two or three faults coincide.
 */
export function injectLargeFaults(world: World, untilMs: number): void {
  const rng = world.rng;
  const injectOne = (): void => {
    if (world.now > untilMs - 30_000) return;
    const node = rng.pick(world.names);
    switch (rng.int(0, 4)) {
      case 0:
        world.freeze(node, rng.real(1_000, 30_000));
        break;
      case 1:
        // Pauses a controller, possibly the one that takes over.
        world.crash(node);
        world.at(
          rng.real(1_000, 8_000),
          () => world.nodes.get(node) ?? world.boot(node),
        );
        world.at(rng.real(0, 16_000), () =>
          world.freeze(rng.pick(world.names), rng.real(1_000, 20_000)),
        );
        break;
      case 2:
        world.cutZone(rng.pick(world.zones), rng.real(2_000, 25_000));
        break;
      case 3:
        // Half of these machines fail and half are reclaimed without notice; in half of the cases a controller crashes right after.
        for (const machine of world.workers)
          if (machine.up && !machine.gone && rng.chance(0.15)) {
            if (rng.chance(0.5)) machine.reclaim();
            else machine.vanish();
          }
        if (rng.chance(0.5)) {
          world.crash(node);
          world.at(
            rng.real(1_000, 8_000),
            () => world.nodes.get(node) ?? world.boot(node),
          );
        }
        break;
      case 4:
        for (const n of world.names)
          world.at(rng.real(0, 6_000), () =>
            world.freeze(n, rng.real(1_000, 12_000)),
          );
        break;
    }
    world.at(rng.real(2_000, 15_000), injectOne);
  };
  world.at(10_000, injectOne);
}

/** Injects one fault after another, some of them overlapping; all are over by `untilMs`. */
export function injectFaults(world: World, untilMs: number): void {
  const rng = world.rng;
  const injectOne = (): void => {
    if (world.now > untilMs - 30_000) return;
    const forMs = rng.real(2_000, 25_000);
    const node = rng.pick(world.names);
    switch (rng.int(0, 13)) {
      case 0:
        world.crash(node);
        world.at(
          rng.real(1_000, 8_000),
          () => world.nodes.get(node) ?? world.boot(node),
        );
        break;
      case 1:
        for (const n of world.names) world.crash(n);
        for (const n of world.names)
          world.at(
            rng.real(1_000, 6_000),
            () => world.nodes.get(n) ?? world.boot(n),
          );
        break;
      case 2:
        if (world.stateDown) break;
        world.stateDown = true;
        world.at(forMs, () => {
          world.stateDown = false;
          world.state.restart();
        });
        break;
      case 3:
        world.stateCut.set(node, rng.pick(["refused", "held"] as const));
        world.at(forMs, () => world.stateCut.delete(node));
        break;
      case 4: {
        const zone = rng.pick(world.zones);
        for (const m of world.workers) if (m.zone === zone) m.cut.add(node);
        world.at(forMs, () => world.workers.forEach((m) => m.cut.delete(node)));
        break;
      }
      case 5:
      case 6: {
        const machine =
          world.workers.length > 0 ? rng.pick(world.workers) : null;
        for (const n of world.names) machine?.cut.add(n);
        world.at(forMs, () => machine?.cut.clear());
        break;
      }
      case 7: {
        const machine =
          world.workers.length > 0 ? rng.pick(world.workers) : null;
        if (machine) machine.hung = true;
        world.at(forMs, () => {
          if (machine) {
            machine.hung = false;
            machine.expire();
          }
        });
        break;
      }
      case 8:
        world.cloudDown = true;
        world.at(forMs, () => (world.cloudDown = false));
        break;
      case 9:
        for (const machine of world.workers)
          if (machine.spot && rng.chance(0.5)) {
            machine.noticeMs = world.now + 4_000;
            world.at(4_000, () =>
              rng.chance(0.5) ? machine.reclaim() : machine.vanish(),
            );
          }
        break;
      case 10: {
        const machine =
          world.workers.length > 0 ? rng.pick(world.workers) : null;
        if (machine) machine.faulty = true;
        world.at(forMs, () => machine && (machine.faulty = false));
        break;
      }
      case 12:
        // A controller that reaches the state service, but neither workers nor peers.
        for (const m of world.workers) m.cut.add(node);
        world.meshCuts.add(node);
        world.at(forMs, () => {
          world.workers.forEach((m) => m.cut.delete(node));
          world.meshCuts.delete(node);
        });
        break;
      case 13:
        world.meshCuts.add(node);
        world.at(forMs, () => world.meshCuts.delete(node));
        break;
      case 11:
        world.loss = 0.15;
        world.at(forMs, () => (world.loss = 0.01));
        break;
    }
    world.at(rng.real(1_000, 12_000), injectOne);
  };
  world.at(8_000, injectOne);
}

/**
 * Injects the faults of the failure scenarios: controllers that are down or paused for long, or that restart at once; machines that
 * receive nothing; duplicated heartbeats that arrive late; a controller that reaches its workers, but neither the state service nor
 * its peers; 8 or 20 times as many queries; restarted machines; machines that boot fast or slowly. All are over by `untilMs`.
 */
function injectScenarioFaults(world: World, untilMs: number): void {
  const rng = world.rng;
  world.duplicatedHeartbeatRate = rng.pick([0, 0.05, 0.3]);
  world.at(untilMs, () => (world.duplicatedHeartbeatRate = 0));
  const injectOne = (): void => {
    const remainingMs = untilMs - world.now;
    if (remainingMs < 20_000) return;
    const forMs = Math.min(remainingMs - 5_000, rng.real(2_000, 45_000));
    const node = rng.pick(world.names);
    switch (rng.int(0, 8)) {
      case 0:
        // Down for up to 45 s.
        world.crash(node);
        world.at(forMs, () => world.nodes.get(node) ?? world.boot(node));
        break;
      case 1:
        world.freeze(node, Math.min(forMs, rng.pick([14_000, 40_000])));
        break;
      case 2: {
        // Restarts at once, and up to three more times within 15 s, possibly during the failover that a crash has caused.
        const restartController = (): void => {
          world.crash(node);
          world.at(
            rng.real(50, 500),
            () => world.nodes.get(node) ?? world.boot(node),
          );
        };
        restartController();
        for (let n = rng.int(0, 3); n > 0; n--)
          world.at(rng.real(500, 15_000), restartController);
        break;
      }
      case 3:
      case 4: {
        const fraction = rng.pick([0.1, 0.5]);
        const zone = rng.chance(0.3) ? rng.pick(world.zones) : null;
        const affected = world.workers.filter(
          (m) =>
            !m.gone && (zone === null ? rng.chance(fraction) : m.zone === zone),
        );
        for (const m of affected) m.oneWay = true;
        world.at(forMs, () => affected.forEach((m) => (m.oneWay = false)));
        break;
      }
      case 5:
        world.stateCut.set(node, rng.pick(["refused", "held"] as const));
        world.meshCuts.add(node);
        world.at(forMs, () => {
          world.stateCut.delete(node);
          world.meshCuts.delete(node);
        });
        break;
      case 6:
        world.queryRate = rng.pick([8, 20]);
        world.at(forMs, () => (world.queryRate = 1));
        break;
      case 7:
        for (const m of world.workers)
          if (m.up && !m.gone && rng.chance(0.2)) m.restart(rng.real(50, 800));
        break;
      case 8:
        world.bootFactor = rng.pick([0.05, 4]);
        world.at(forMs, () => (world.bootFactor = 1));
        break;
    }
    world.at(rng.real(1_000, 12_000), injectOne);
  };
  world.at(8_000, injectOne);
}

/** A failure scenario with 1 to 7 controllers. Faults end within 190 s; 75 s after 200 s, a job with no answered query since then is forgotten. */
export function playFailureScenario(seed: number): World {
  const world = new World(seed, undefined, [], (seed % 7) + 1);
  for (const z of world.zones) world.cloud.add(world.types[0]!, z, false, 0);
  submitWorkload(world, 150_000);
  injectScenarioFaults(world, 190_000);
  if (seed % 2 === 0) injectFaults(world, 190_000);
  world.at(275_000, () => world.checker.checkNoneForgotten(200_000));
  world.run(330_000);
  return world;
}
