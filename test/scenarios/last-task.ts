import {
  cancel,
  askAllControllers,
  submit,
  submitWorkload,
} from "../simulation/workloads.js";
import type { World } from "../simulation/world.js";
import {
  Occurrences,
  plainJob,
  runToEnd,
  type ScenarioRun,
  setUp,
  tasksOnMachines,
} from "./stage.js";

const FAULTS_END_MS = 120_000;
/** Longest time between a request and the end of the job's last task, before or after it. */
const WINDOW_MS = 400;
/** The same for cancellations. */
const CANCEL_WINDOW_MS = 30;

const REQUESTS = [
  "cancellation",
  "status query",
  "repeated submission",
] as const;
type Request = (typeof REQUESTS)[number];
const SIDES = ["before", "after"] as const;
const SHAPES = ["array", "gang"] as const;

/** A cancellation, a status query at all controllers or a repeated submission races with the end of a job's last task, with no other injected fault. */
export function lastTask(seed: number): ScenarioRun {
  const world = setUp(seed, { controllers: 1 + (seed % 4), runFactor: 0.8 });
  const { rng } = world;
  world.loss = 0;
  const occurred = new Occurrences(
    SHAPES.flatMap((shape) =>
      REQUESTS.flatMap((r) => SIDES.map((s) => `${r} ${s} the end, ${shape}`)),
    ),
  );
  const scheduled = new Set<string>();
  const sent = new Map<string, { request: Request; sentMs: number }[]>();
  world.every(50, () => {
    if (world.now > FAULTS_END_MS) return;
    for (const [id, endsMs] of jobsEndingSoon(world)) {
      if (scheduled.has(id)) continue;
      scheduled.add(id);
      const request = rng.pick(REQUESTS);
      // A cancellation ends the job within milliseconds, so only one that is sent just before the end races with it.
      const windowMs =
        request === "cancellation" ? CANCEL_WINDOW_MS : WINDOW_MS;
      const atMs = endsMs + rng.real(-windowMs, windowMs);
      world.at(Math.max(0, atMs - world.now), () => {
        sent.set(id, [...(sent.get(id) ?? []), { request, sentMs: world.now }]);
        send(world, id, request);
        if (world.checker.isDone(id)) noteAfter(id);
      });
    }
  });
  const shapeOf = (id: string): string =>
    world.specs.get(id)!.kind === "gang" ? "gang" : "array";
  const noteAfter = (id: string): void => {
    const request = sent.get(id)?.at(-1)?.request;
    if (request) occurred.note(`${request} after the end, ${shapeOf(id)}`);
    sent.delete(id);
  };
  world.onJobEnded = (id) => {
    for (const { request, sentMs } of sent.get(id) ?? [])
      if (world.now - sentMs <= WINDOW_MS)
        occurred.note(`${request} before the end, ${shapeOf(id)}`);
    sent.delete(id);
  };
  submitWorkload(world, FAULTS_END_MS - 15_000, (w, n) => {
    const job = plainJob(w, n);
    return job.kind === "service" ? { ...job, kind: "array" } : job;
  });
  runToEnd(world, FAULTS_END_MS);
  return { world, occurred: occurred.counts };
}

/** Jobs whose remaining tasks all run and end soon, and when the last of these tasks ends. */
function jobsEndingSoon(world: World): Map<string, number> {
  const lastEndMs = new Map<string, number>();
  const running = new Map<string, number>();
  for (const { task } of tasksOnMachines(world)) {
    if (task.state !== "running" || task.endsMs === null) continue;
    running.set(task.job, (running.get(task.job) ?? 0) + 1);
    lastEndMs.set(
      task.job,
      Math.max(lastEndMs.get(task.job) ?? 0, task.endsMs),
    );
  }
  for (const [id, endsMs] of lastEndMs) {
    const { tasks } = world.specs.get(id)!;
    let done = 0;
    for (let i = 0; i < tasks; i++) if (world.results.has(`${id}/${i}`)) done++;
    const isSoon = endsMs - world.now < 2 * WINDOW_MS;
    if (done + running.get(id)! < tasks || !isSoon) lastEndMs.delete(id);
  }
  return lastEndMs;
}

function send(world: World, id: string, request: Request): void {
  switch (request) {
    case "cancellation":
      return cancel(world, id);
    case "status query":
      return askAllControllers(world, id);
    case "repeated submission":
      return submit(world, world.specs.get(id)!, -1e9);
  }
}
