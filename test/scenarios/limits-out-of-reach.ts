import { cancel, submitWorkload } from "../simulation/workloads.js";
import type { SimWorker } from "../simulation/machine.js";
import type { World } from "../simulation/world.js";
import {
  cutOffLeader,
  partitionOf,
  isUnreachable,
  liveLeaderOf,
  NEW_LEADER_KINDS,
  newLeaderKind,
  Occurrences,
  plainJob,
  makeUnreachable,
  restartController,
  runToEnd,
  type ScenarioRun,
  setUp,
  tasksOnMachines,
  UNREACHABLE_MODES,
  type UnreachableMode,
  watchPartitions,
  whenever,
} from "./stage.js";

const FAULTS_END_MS = 200_000;
/** Least time between two failovers that the scenario causes, and after the last one. */
const FAILOVER_INTERVAL_MS = 22_000;
/** A team counts as at its limit if a task of this size, the largest of these jobs, does not fit any more. */
const LARGEST_TASK_CPUS = 2;

/** A job cancelled while every team is at its limit, and an unreachable machine with a task of it. */
interface CancelledTask {
  job: string;
  machine: SimWorker;
  mode: UnreachableMode;
  /** When the cancellation was confirmed while every team was at its limit; null: not yet. */
  confirmedMs: number | null;
}

/**
 * While every team is at its limit, jobs are cancelled that have a task on an unreachable machine. Within the lease the machine's
 * partition gets a new leader while the task is still there: it must count towards the limit, and must end in time.
 */
export function limitsOutOfReach(seed: number): ScenarioRun {
  const world = setUp(seed, {
    controllers: 3 + (seed % 3),
    runFactor: 5,
    teams: new Map([
      ["red", { name: "red", cpus: 8, gpus: 0, cpusMax: 22, gpusMax: 4 }],
      ["blue", { name: "blue", cpus: 8, gpus: 0, cpusMax: 31, gpusMax: 4 }],
    ]),
  });
  const occurred = new Occurrences(
    UNREACHABLE_MODES.flatMap((mode) =>
      NEW_LEADER_KINDS.map((l) => `${mode}, ${l}`),
    ),
  );
  const cancelled: CancelledTask[] = [];
  world.checker.onStateTold = (id, status) => {
    if (status !== "cancelled") return;
    for (const task of cancelled)
      if (task.job === id && everyTeamAtLimit(world))
        task.confirmedMs = world.now;
  };
  watchPartitions(world, (takeover) => {
    const { partition } = takeover;
    const leader = newLeaderKind(takeover);
    for (const task of cancelled)
      if (isStillOnMachine(world, task, partition))
        occurred.note(`${task.mode}, ${leader}`);
  });
  whenever(
    world,
    () => (everyTeamAtLimit(world) ? true : null),
    () => cancelAroundFailover(world, cancelled),
    {
      restMs: FAILOVER_INTERVAL_MS,
      untilMs: FAULTS_END_MS - FAILOVER_INTERVAL_MS,
    },
  );
  submitWorkload(world, FAULTS_END_MS - 10_000, (w, n) => ({
    ...plainJob(w, n),
    kind: "array",
    samePlace: false,
    tasks: w.rng.int(1, 6),
  }));
  runToEnd(world, FAULTS_END_MS);
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

/** Whether the task is still on its unreachable machine, no longer than a lease after the cancellation was confirmed. */
function isStillOnMachine(
  world: World,
  task: CancelledTask,
  partition: string,
): boolean {
  if (task.confirmedMs === null || task.machine.gone) return false;
  if (
    partitionOf(world, task.machine) !== partition ||
    !isUnreachable(task.machine)
  )
    return false;
  if (world.now - task.confirmedMs > 1_000 * world.settings.leaseS)
    return false;
  return [...task.machine.tasks.values()].some(
    (t) => t.job === task.job && task.machine.occupiesMachine(t),
  );
}

/** Crashes or cuts off the leader of a partition, and shortly before a takeover cancels jobs whose machines it makes unreachable. */
function cancelAroundFailover(world: World, cancelled: CancelledTask[]): void {
  const { rng } = world;
  const reachableTasks = [...tasksOnMachines(world)].filter(
    ({ machine, spec }) => !isUnreachable(machine) && spec.kind === "array",
  );
  if (reachableTasks.length === 0) return;
  const partition = partitionOf(world, rng.pick(reachableTasks).machine);
  const leader = liveLeaderOf(world, partition);
  if (leader === null) return;
  const cancelAll = (): void => cancelOnMachines(world, partition, cancelled);
  if (rng.chance(0.5)) {
    cancelAll();
    return world.at(rng.real(0, 5_000), () =>
      restartController(world, leader, rng.real(50, 900)),
    );
  }
  // The leader answers its workers until its leadership lease expires; then a peer takes the partition.
  const awayMs = 20_000;
  cutOffLeader(world, leader, awayMs);
  world.at(rng.real(9_500, 14_500), cancelAll);
}

function cancelOnMachines(
  world: World,
  partition: string,
  cancelled: CancelledTask[],
): void {
  const { rng } = world;
  const affectedMachines = new Set<SimWorker>();
  for (const { machine, task, spec } of [...tasksOnMachines(world)]) {
    if (affectedMachines.size >= 8 || affectedMachines.has(machine)) continue;
    if (partitionOf(world, machine) !== partition || spec.kind !== "array")
      continue;
    if (world.checker.cancelRequests.has(task.job) || isUnreachable(machine))
      continue;
    affectedMachines.add(machine);
    const mode = rng.pick(UNREACHABLE_MODES);
    cancelled.push({ job: task.job, machine, mode: mode, confirmedMs: null });
    makeUnreachable(world, machine, mode, rng.real(9_000, 25_000));
    world.at(rng.real(0, 800), () => cancel(world, task.job));
  }
}
