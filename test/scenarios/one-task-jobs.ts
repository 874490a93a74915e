import { parseKey } from "../../src/storage/records.js";
import { cancel, submit } from "../simulation/workloads.js";
import type { World } from "../simulation/world.js";
import {
  Occurrences,
  plainJob,
  refuse,
  restart,
  runToEnd,
  type ScenarioRun,
  stage,
} from "./stage.js";

const FROM_MS = 5_000;
const FOR_MS = 180_000;
const JOBS_PER_S = 4;
const CANCELLED_SHARE = 0.25;
/** Cancelled jobs are cancelled around one of these. */
const CANCELLED = [
  "before the submission is answered",
  "as the task starts",
  "as the task ends",
  "at any time",
] as const;
type CancelledWhen = (typeof CANCELLED)[number];

/** What the state service was asked for by such a day, of which the operators' limits are a rate. */
interface ChangeFigures {
  jobs: number;
  /** Puts and deletes. */
  changes: number;
  /** The most in any one second, and on average in any ten. */
  mostInOneS: number;
  mostInTenS: number;
  /** Records under `lc/now/` at the end of jobs that are over. */
  leftover: string[];
}

/**
 * One-task jobs, four a second for three minutes, a quarter of them cancelled before their submission is answered, as the task starts,
 * as it ends, or at any time. On every second day a controller is refused or ends meanwhile.
 */
export function oneTaskJobs(
  seed: number,
): ScenarioRun & { figures: ChangeFigures } {
  const world = stage(seed, { controllers: 3, runFactor: 0.5 });
  const occurred = new Occurrences(CANCELLED);
  const perSecond = countChanges(world);
  const around = new Map<string, CancelledWhen>();
  const count = (FOR_MS / 1000) * JOBS_PER_S;
  for (let n = 0; n < count; n++)
    world.at(FROM_MS + (n * 1000) / JOBS_PER_S, () =>
      submitOne(world, n, around, occurred),
    );
  world.jobEnded = (id) => {
    if (around.get(id) !== "as the task ends") return;
    occurred.note("as the task ends");
    // Around the end: the result is there, and its report on the way.
    world.at(world.rng.real(0, 400), () => cancel(world, id));
  };
  if (seed % 2 === 1) disturb(world);
  runToEnd(world, FROM_MS + FOR_MS + 10_000);
  return {
    world,
    occurred: occurred.counts,
    figures: figuresOf(world, count, perSecond),
  };
}

function submitOne(
  world: World,
  n: number,
  around: Map<string, CancelledWhen>,
  occurred: Occurrences,
): void {
  const { rng } = world;
  const spec = {
    ...plainJob(world, n + 1),
    kind: "array" as const,
    samePlace: false,
    tasks: 1,
    cpus: 1,
  };
  world.specs.set(spec.id, spec);
  submit(world, spec, world.now);
  if (!rng.chance(CANCELLED_SHARE)) return;
  const when = rng.pick(CANCELLED);
  around.set(spec.id, when);
  const cancelNow = (): void => {
    occurred.note(when);
    cancel(world, spec.id);
  };
  if (when === "before the submission is answered")
    world.at(
      rng.real(0, 15),
      () => !world.checker.told.has(spec.id) && cancelNow(),
    );
  if (when === "at any time") world.at(rng.real(20, 8_000), cancelNow);
  if (when === "as the task starts")
    whenOnMachine(world, spec.id, () => world.at(rng.real(0, 50), cancelNow));
}

/** A start was carried out, whether its image is there yet or not. */
function whenOnMachine(world: World, id: string, act: () => void): void {
  if (world.checker.isDone(id) || world.checker.asked.has(id)) return;
  const isThere = world.workers.some(
    (m) => !m.gone && [...m.tasks.values()].some((t) => t.job === id),
  );
  if (isThere) return act();
  world.at(20, () => whenOnMachine(world, id, act));
}

function disturb(world: World): void {
  const { rng } = world;
  for (const atMs of [30_000, 80_000, 130_000])
    world.at(atMs, () => {
      const name = rng.pick(world.names);
      if (rng.chance(0.5)) refuse(world, name, rng.real(2_000, 20_000));
      else restart(world, name, rng.real(100, 18_000));
    });
}

/** Puts and deletes that were carried out, by second. */
function countChanges(world: World): number[] {
  const perSecond: number[] = [];
  world.onCommitted.push((_name, commit) => {
    const second = Math.floor(world.now / 1000);
    perSecond[second] = (perSecond[second] ?? 0) + commit.writes.length;
  });
  return perSecond;
}

function figuresOf(
  world: World,
  jobs: number,
  perSecond: readonly number[],
): ChangeFigures {
  const counts = Array.from(perSecond, (n) => n ?? 0);
  const tens = counts.map((_, i) =>
    counts.slice(i, i + 10).reduce((a, b) => a + b, 0),
  );
  const leftover = [...world.state.data.keys()].filter((key) => {
    const parsed = parseKey(key);
    if (parsed === null || !("id" in parsed) || parsed.kind === "past")
      return false;
    return world.state.data.has(`lc/past/${parsed.id}`);
  });
  return {
    jobs,
    changes: counts.reduce((a, b) => a + b, 0),
    mostInOneS: Math.max(...counts),
    mostInTenS: Math.max(...tens) / 10,
    leftover,
  };
}
