/**
 * Guards against machines whose heartbeats are too large: users saw that none of the tasks of two accepted jobs ended, on machines
 * that worked all the time.
 *
 * Order of events: an array of thousands of small tasks is accepted. Its leaders start as many on a machine as its CPUs and memory
 * hold. The machine's heartbeats, which list all its tasks, then exceed the size of a request.
 *
 * Cause: nothing counted the tasks of a machine. Without an accepted heartbeat its lease expired, with it all its tasks ended, those
 * of other jobs too, and the leader filled it again.
 */
import type { JobSpec } from "../../src/coordination/model.js";
import { MAX_TASKS_PER_MACHINE } from "../../src/protocol/message-size.js";
import type { SimWorker } from "../simulation/machine.js";
import { submit } from "../simulation/workloads.js";
import type { World } from "../simulation/world.js";
import {
  liveLeaderOf,
  Occurrences,
  partitionOf,
  plainJob,
  restartController,
  runToEnd,
  type ScenarioRun,
  setUp,
  whenever,
} from "./stage.js";

const FAULTS_END_MS = 90_000;
const REST_MS = 15_000;
/** A machine of the simulation's small type has CPUs for 1,600 of these tasks. */
const SMALL_TASK_CPUS = 0.005;
const SMALL_TASKS = 6_000;

const FULL = "a machine holds as many tasks as its heartbeats can list";
const FAILOVER = "the leader of a full machine ends";
const RESTART = "a full machine restarts";
const OUTAGE =
  "the state service is down, so that ended tasks are not forgotten";

/** How many heartbeats were refused for their size, and the most tasks that a machine held, exited ones included. */
interface HeartbeatStatistics {
  oversized: number;
  mostTasks: number;
}

/**
 * Arrays and a service of small tasks fill machines that also run ordinary tasks of another team. With odd seeds leaders of full
 * machines end, such machines restart, and the state service is down meanwhile.
 */
export function smallTasks(
  seed: number,
): ScenarioRun & { statistics: HeartbeatStatistics } {
  const hasFaults = seed % 2 === 1;
  const world = setUp(seed, { runFactor: 3, machinesPerZone: 2, capacity: 5 });
  const occurred = new Occurrences(
    hasFaults ? [FULL, FAILOVER, RESTART, OUTAGE] : [FULL],
  );
  submitJobs(world);
  let mostTasks = 0;
  world.onHeartbeat.push((heartbeat) => {
    mostTasks = Math.max(mostTasks, heartbeat.tasks.length);
    if (heartbeat.tasks.length >= MAX_TASKS_PER_MACHINE) occurred.note(FULL);
  });
  if (hasFaults) injectFaults(world, occurred);
  runToEnd(world, FAULTS_END_MS);
  const oversized = world.workers.reduce(
    (sum, machine) => sum + machine.oversizedHeartbeats,
    0,
  );
  return {
    world,
    occurred: occurred.counts,
    statistics: { oversized, mostTasks },
  };
}

function submitJobs(world: World): void {
  const submitOne = (jobNumber: number, fields: Partial<JobSpec>): void => {
    const spec: JobSpec = {
      ...plainJob(world, jobNumber),
      samePlace: false,
      priority: "normal",
      ...fields,
    };
    world.specs.set(spec.id, spec);
    world.at(3_000 + jobNumber * 1_500, () => submit(world, spec, world.now));
  };
  submitOne(1, { kind: "array", team: "red", tasks: 6, cpus: 2 });
  submitOne(2, {
    kind: "array",
    team: "blue",
    tasks: SMALL_TASKS,
    cpus: SMALL_TASK_CPUS,
    memGb: 0,
  });
  submitOne(3, {
    kind: "service",
    team: "blue",
    tasks: 500,
    cpus: SMALL_TASK_CPUS,
    memGb: 0.01,
  });
  submitOne(4, { kind: "gang", team: "red", tasks: 3, cpus: 2 });
}

const isFull = (machine: SimWorker): boolean =>
  machine.up && !machine.gone && machine.tasks.size >= MAX_TASKS_PER_MACHINE;

function injectFaults(world: World, occurred: Occurrences): void {
  const fullMachine = (): SimWorker | null =>
    world.workers.find(isFull) ?? null;
  const options = { restMs: REST_MS, untilMs: FAULTS_END_MS - REST_MS };
  whenever(
    world,
    fullMachine,
    (machine) => {
      const leader = liveLeaderOf(world, partitionOf(world, machine));
      if (leader === null) return;
      restartController(world, leader, world.rng.real(100, 12_000));
      occurred.note(FAILOVER);
    },
    options,
  );
  whenever(
    world,
    fullMachine,
    (machine) => {
      machine.restart(world.rng.real(100, 3_000));
      occurred.note(RESTART);
    },
    { ...options, everyMs: 7_000 },
  );
  whenever(
    world,
    fullMachine,
    () => {
      world.stateDown = true;
      world.at(world.rng.real(2_000, 15_000), () => (world.stateDown = false));
      occurred.note(OUTAGE);
    },
    { ...options, restMs: 2 * REST_MS, everyMs: 11_000 },
  );
}
