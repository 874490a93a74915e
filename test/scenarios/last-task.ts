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
  stage,
  tasksOnMachines,
} from "./stage.js";

const OVER_MS = 120_000;
/** Requests come within so long of the end of a job's last task, before it or after. */
const AROUND_MS = 400;
const JUST_MS = 30;

const REQUESTS = ["cancellation", "question", "repeated submission"] as const;
type Request = (typeof REQUESTS)[number];
const SIDES = ["before", "after"] as const;
const SHAPES = ["array", "gang"] as const;

/** A cancellation, a question at all controllers or a repeated submission meets the end of a job's last task, with no other injected fault. */
export function lastTask(seed: number): ScenarioRun {
  const world = stage(seed, { controllers: 1 + (seed % 4), runFactor: 0.8 });
  const { rng } = world;
  world.loss = 0;
  const occurred = new Occurrences(
    SHAPES.flatMap((shape) =>
      REQUESTS.flatMap((r) => SIDES.map((s) => `${r} ${s} the end, ${shape}`)),
    ),
  );
  const awaited = new Set<string>();
  const pending = new Map<string, { request: Request; sentMs: number }[]>();
  world.every(50, () => {
    if (world.now > OVER_MS) return;
    for (const [id, endsMs] of endingSoon(world)) {
      if (awaited.has(id)) continue;
      awaited.add(id);
      const request = rng.pick(REQUESTS);
      // A cancellation ends the job within milliseconds: only one that is sent just before the end meets it.
      const early = request === "cancellation" ? JUST_MS : AROUND_MS;
      const atMs = endsMs + rng.real(-early, early);
      world.at(Math.max(0, atMs - world.now), () => {
        pending.set(id, [
          ...(pending.get(id) ?? []),
          { request, sentMs: world.now },
        ]);
        send(world, id, request);
        if (world.checker.isDone(id)) noteAfter(id);
      });
    }
  });
  const shapeOf = (id: string): string =>
    world.specs.get(id)!.kind === "gang" ? "gang" : "array";
  const noteAfter = (id: string): void => {
    const request = pending.get(id)?.at(-1)?.request;
    if (request) occurred.note(`${request} after the end, ${shapeOf(id)}`);
    pending.delete(id);
  };
  world.jobEnded = (id) => {
    for (const { request, sentMs } of pending.get(id) ?? [])
      if (world.now - sentMs <= AROUND_MS)
        occurred.note(`${request} before the end, ${shapeOf(id)}`);
    pending.delete(id);
  };
  submitWorkload(world, OVER_MS - 15_000, (w, n) => {
    const job = plainJob(w, n);
    return job.kind === "service" ? { ...job, kind: "array" } : job;
  });
  runToEnd(world, OVER_MS);
  return { world, occurred: occurred.counts };
}

/** Jobs all of whose tasks are done but for those that are about to end, and when the last of them does. */
function endingSoon(world: World): Map<string, number> {
  const ends = new Map<string, number>();
  const running = new Map<string, number>();
  for (const { task } of tasksOnMachines(world)) {
    if (task.state !== "running" || task.endsMs === null) continue;
    running.set(task.job, (running.get(task.job) ?? 0) + 1);
    ends.set(task.job, Math.max(ends.get(task.job) ?? 0, task.endsMs));
  }
  for (const [id, endsMs] of ends) {
    const { tasks } = world.specs.get(id)!;
    let done = 0;
    for (let i = 0; i < tasks; i++) if (world.results.has(`${id}/${i}`)) done++;
    const isSoon = endsMs - world.now < 2 * AROUND_MS;
    if (done + running.get(id)! < tasks || !isSoon) ends.delete(id);
  }
  return ends;
}

function send(world: World, id: string, request: Request): void {
  switch (request) {
    case "cancellation":
      return cancel(world, id);
    case "question":
      return askAllControllers(world, id);
    case "repeated submission":
      return submit(world, world.specs.get(id)!, -1e9);
  }
}
