import { cancel, submitWorkload } from "../simulation/workloads.js";
import type { SimWorker } from "../simulation/machine.js";
import type { World } from "../simulation/world.js";
import {
  cutOffLeader,
  partitionOf,
  isUnreachable,
  liveLeaderOf,
  NEW_LEADERS,
  newLeader,
  Occurrences,
  plainJob,
  putOutOfReach,
  restart,
  runToEnd,
  type ScenarioRun,
  stage,
  tasksOnMachines,
  UNREACHABLE,
  type Unreachable,
  watchPartitions,
  whenever,
} from "./stage.js";

const OVER_MS = 200_000;
/** Each cancellation at the limits with a leader that ends, and a while after it. */
const EPISODE_MS = 22_000;
/** A team is at its limit if no task of these jobs fits below it any more. */
const LARGEST_TASK_CPUS = 2;

/** A job that was cancelled while every team was at its limit, with a task on a machine that can't be reached. */
interface Cancelled {
  job: string;
  machine: SimWorker;
  how: Unreachable;
  confirmedMs: number | null;
}

/**
 * Every team is at its limit; jobs are cancelled of which a task is on a machine that is cut off, deaf, mute or hangs; within the lease
 * the group of that machine gets a new leader, while the task is still there: it counts for the limit, and is gone in time.
 */
export function limitsOutOfReach(seed: number): ScenarioRun {
  const world = stage(seed, {
    controllers: 3 + (seed % 3),
    runFactor: 5,
    teams: new Map([
      ["red", { name: "red", cpus: 8, gpus: 0, cpusMax: 22, gpusMax: 4 }],
      ["blue", { name: "blue", cpus: 8, gpus: 0, cpusMax: 31, gpusMax: 4 }],
    ]),
  });
  const occurred = new Occurrences(
    UNREACHABLE.flatMap((how) => NEW_LEADERS.map((l) => `${how}, ${l}`)),
  );
  const cancelled: Cancelled[] = [];
  world.checker.onTold = (id, told) => {
    if (told !== "cancelled") return;
    for (const c of cancelled)
      if (c.job === id && everyTeamAtLimit(world)) c.confirmedMs = world.now;
  };
  watchPartitions(world, (takeover) => {
    const { partition } = takeover;
    const leader = newLeader(takeover);
    for (const c of cancelled)
      if (isMet(world, c, partition)) occurred.note(`${c.how}, ${leader}`);
  });
  whenever(
    world,
    () => (everyTeamAtLimit(world) ? true : null),
    () => episode(world, cancelled),
    { restMs: EPISODE_MS, untilMs: OVER_MS - EPISODE_MS },
  );
  submitWorkload(world, OVER_MS - 10_000, (w, n) => ({
    ...plainJob(w, n),
    kind: "array",
    samePlace: false,
    tasks: w.rng.int(1, 6),
  }));
  runToEnd(world, OVER_MS);
  return { world, occurred: occurred.counts };
}

function everyTeamAtLimit(world: World): boolean {
  const used = new Map<string, number>();
  for (const { spec } of tasksOnMachines(world))
    used.set(spec.team, (used.get(spec.team) ?? 0) + spec.cpus);
  return [...world.settings.teams.values()].every(
    (team) => (used.get(team.name) ?? 0) > team.cpusMax - LARGEST_TASK_CPUS,
  );
}

/** The task is still on its machine, out of reach, within a lease of the cancellation. */
function isMet(world: World, c: Cancelled, partition: string): boolean {
  if (c.confirmedMs === null || c.machine.gone) return false;
  if (partitionOf(world, c.machine) !== partition || !isUnreachable(c.machine))
    return false;
  if (world.now - c.confirmedMs > 1_000 * world.settings.leaseS) return false;
  return [...c.machine.tasks.values()].some(
    (t) => t.job === c.job && c.machine.onMachine(t),
  );
}

/** A group's leader ends; shortly before or after that jobs are cancelled whose machines get out of reach. */
function episode(world: World, cancelled: Cancelled[]): void {
  const { rng } = world;
  const busy = [...tasksOnMachines(world)].filter(
    ({ machine, spec }) => !isUnreachable(machine) && spec.kind === "array",
  );
  if (busy.length === 0) return;
  const partition = partitionOf(world, rng.pick(busy).machine);
  const leader = liveLeaderOf(world, partition);
  if (leader === null) return;
  const cancelAll = (): void => cancelOnMachines(world, partition, cancelled);
  if (rng.chance(0.5)) {
    cancelAll();
    return world.at(rng.real(0, 5_000), () =>
      restart(world, leader, rng.real(50, 900)),
    );
  }
  // It goes on answering its workers until its permit ends; then a peer takes the group.
  const awayMs = 20_000;
  cutOffLeader(world, leader, awayMs);
  world.at(rng.real(9_500, 14_500), cancelAll);
}

function cancelOnMachines(
  world: World,
  partition: string,
  cancelled: Cancelled[],
): void {
  const { rng } = world;
  const seen = new Set<SimWorker>();
  for (const { machine, task, spec } of [...tasksOnMachines(world)]) {
    if (seen.size >= 8 || seen.has(machine)) continue;
    if (partitionOf(world, machine) !== partition || spec.kind !== "array")
      continue;
    if (world.checker.asked.has(task.job) || isUnreachable(machine)) continue;
    seen.add(machine);
    const how = rng.pick(UNREACHABLE);
    cancelled.push({ job: task.job, machine, how, confirmedMs: null });
    putOutOfReach(world, machine, how, rng.real(9_000, 25_000));
    world.at(rng.real(0, 800), () => cancel(world, task.job));
  }
}
