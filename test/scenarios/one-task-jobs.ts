import { parseKey } from "../../src/storage/records.js";
import { cancel, submit } from "../simulation/workloads.js";
import type { World } from "../simulation/world.js";
import {
  Occurrences,
  plainJob,
  refuseStoreCalls,
  restartController,
  runToEnd,
  type ScenarioRun,
  setUp,
} from "./stage.js";

const SUBMIT_FROM_MS = 5_000;
const SUBMIT_DURATION_MS = 180_000;
const JOBS_PER_S = 4;
const CANCELLED_SHARE = 0.25;
/** When a job is cancelled. */
const CANCELLATION_TIMES = [
  "before the submission is answered",
  "as the task starts",
  "as the task ends",
  "at any time",
] as const;
type CancellationTime = (typeof CANCELLATION_TIMES)[number];

/** Load on the state service, for comparison with the operators' rate limits. */
interface WriteStatistics {
  jobs: number;
  /** Puts and deletes. */
  writes: number;
  /** Most writes in any one second, and highest average per second over any ten. */
  peakPerS: number;
  peakPerSOverTenS: number;
  /** Keys under `lc/now/` that still exist at the end for jobs that have ended. */
  leftoverKeys: string[];
}

/**
 * One-task jobs, four a second for three minutes, a quarter of them cancelled before their submission is answered, as the task
 * starts, as it ends, or at any time. With odd seeds controllers are refused by the state service or crash meanwhile.
 */
export function oneTaskJobs(
  seed: number,
): ScenarioRun & { statistics: WriteStatistics } {
  const world = setUp(seed, { controllers: 3, runFactor: 0.5 });
  const occurred = new Occurrences(CANCELLATION_TIMES);
  const perSecond = countWrites(world);
  const cancellationTimes = new Map<string, CancellationTime>();
  const count = (SUBMIT_DURATION_MS / 1000) * JOBS_PER_S;
  for (let n = 0; n < count; n++)
    world.at(SUBMIT_FROM_MS + (n * 1000) / JOBS_PER_S, () =>
      submitOne(world, n, cancellationTimes, occurred),
    );
  world.onJobEnded = (id) => {
    if (cancellationTimes.get(id) !== "as the task ends") return;
    occurred.note("as the task ends");
    // The result exists already, and the heartbeat that shows it may still be on its way.
    world.at(world.rng.real(0, 400), () => cancel(world, id));
  };
  if (seed % 2 === 1) injectFaults(world);
  runToEnd(world, SUBMIT_FROM_MS + SUBMIT_DURATION_MS + 10_000);
  return {
    world,
    occurred: occurred.counts,
    statistics: statisticsOf(world, count, perSecond),
  };
}

function submitOne(
  world: World,
  index: number,
  cancellationTimes: Map<string, CancellationTime>,
  occurred: Occurrences,
): void {
  const { rng } = world;
  const spec = {
    ...plainJob(world, index + 1),
    kind: "array" as const,
    samePlace: false,
    tasks: 1,
    cpus: 1,
  };
  world.specs.set(spec.id, spec);
  submit(world, spec, world.now);
  if (!rng.chance(CANCELLED_SHARE)) return;
  const time = rng.pick(CANCELLATION_TIMES);
  cancellationTimes.set(spec.id, time);
  const cancelNow = (): void => {
    occurred.note(time);
    cancel(world, spec.id);
  };
  if (time === "before the submission is answered")
    world.at(
      rng.real(0, 15),
      () => !world.checker.toldStates.has(spec.id) && cancelNow(),
    );
  if (time === "at any time") world.at(rng.real(20, 8_000), cancelNow);
  if (time === "as the task starts")
    afterStart(world, spec.id, () => world.at(rng.real(0, 50), cancelNow));
}

/** Calls `act` once a start command for the job was carried out, whether or not its image has been pulled yet. */
function afterStart(world: World, id: string, act: () => void): void {
  if (world.checker.isDone(id) || world.checker.cancelRequests.has(id)) return;
  const isStarted = world.workers.some(
    (m) => !m.gone && [...m.tasks.values()].some((t) => t.job === id),
  );
  if (isStarted) return act();
  world.at(20, () => afterStart(world, id, act));
}

function injectFaults(world: World): void {
  const { rng } = world;
  for (const atMs of [30_000, 80_000, 130_000])
    world.at(atMs, () => {
      const name = rng.pick(world.names);
      if (rng.chance(0.5))
        refuseStoreCalls(world, name, rng.real(2_000, 20_000));
      else restartController(world, name, rng.real(100, 18_000));
    });
}

/** Counts the puts and deletes that are carried out, by second. */
function countWrites(world: World): number[] {
  const perSecond: number[] = [];
  world.onCommitted.push((_name, commit) => {
    const second = Math.floor(world.now / 1000);
    perSecond[second] = (perSecond[second] ?? 0) + commit.writes.length;
  });
  return perSecond;
}

function statisticsOf(
  world: World,
  jobs: number,
  perSecond: readonly number[],
): WriteStatistics {
  const counts = Array.from(perSecond, (n) => n ?? 0);
  const tenSecondSums = counts.map((_, i) =>
    counts.slice(i, i + 10).reduce((a, b) => a + b, 0),
  );
  const leftoverKeys = [...world.state.data.keys()].filter((key) => {
    const parsed = parseKey(key);
    if (parsed === null || !("id" in parsed) || parsed.kind === "past")
      return false;
    return world.state.data.has(`lc/past/${parsed.id}`);
  });
  return {
    jobs,
    writes: counts.reduce((a, b) => a + b, 0),
    peakPerS: Math.max(...counts),
    peakPerSOverTenS: Math.max(...tenSecondSums) / 10,
    leftoverKeys: leftoverKeys,
  };
}
