/**
 * Guards against a team exceeding its limit: users saw 14 accelerators in use instead of 13, half a second after one of the
 * team's jobs was cancelled. In the three seconds before, no task ran twice, no leader changed and no quota share moved.
 *
 * Order of events: a machine makes a heartbeat, which is delayed by a retransmission or waits in the socket of a busy controller.
 * Meanwhile the machine carries out and answers a start command, and the job is cancelled, so that the task is to be stopped.
 * Only then does the heartbeat reach the leader. It does not list the task, because it was made before the start.
 *
 * Cause: the leader concluded that the task was gone. It gave the task's resources to others while the task ran, and sent no stop.
 *
 * With this order of events forced, and without the fix, 46 of the first 60 seeds had a task on a machine that its leader did not
 * count, and three broke `quota` (six without the check that every task is counted). The other workloads of the simulation did
 * not detect the fault. A cancelled task is not started again elsewhere, which is why `quota` broke and `ran_twice` did not.
 */
import { cancel, submitWorkload } from "../simulation/workloads.js";
import type { SimWorker } from "../simulation/machine.js";
import { RETRANSMISSION_MS, type World } from "../simulation/world.js";
import { attemptKey } from "../../src/coordination/machines/worker-state.js";
import type { Heartbeat } from "../../src/coordination/model.js";
import {
  liveLeaderOf,
  LOW_LIMITS,
  Occurrences,
  partitionOf,
  plainJob,
  runToEnd,
  type ScenarioRun,
  setUp,
  tasksOnMachines,
} from "./stage.js";

const FAULTS_END_MS = 120_000;
/** Share of the heartbeats whose packet is lost and retransmitted. */
const DELAYED_SHARE = 0.3;
/** Share of the direct start commands after which the job is cancelled, and the delay until then. */
const CANCELLED_SHARE = 0.3;
const CANCELLATION_DELAY_MS = [20, 1_000] as const;

const OVERTAKEN = "after the answer to a start carried out later";
const OVERTAKEN_AFTER_CANCELLATION =
  "after the answer to a start carried out later and the cancellation of its job";

/** Heartbeats are overtaken by the answers to direct commands that their machines carried out after making them. */
export function overtakenHeartbeats(seed: number): ScenarioRun {
  const world = setUp(seed, {
    controllers: 2 + (seed % 3),
    runFactor: 3,
    teams: LOW_LIMITS,
  });
  const { rng } = world;
  const occurred = new Occurrences([OVERTAKEN, OVERTAKEN_AFTER_CANCELLATION]);
  world.heartbeatHold = (machine, heartbeat) => {
    if (world.now > FAULTS_END_MS || !rng.chance(DELAYED_SHARE))
      return undefined;
    return {
      forMs: rng.real(...RETRANSMISSION_MS),
      onArrival: () => noteOvertaken(world, machine, heartbeat, occurred),
    };
  };
  world.onCommands.push((_leader, _machine, commands, channel) => {
    const start = commands.find((command) => command.op === "start");
    if (!start || channel !== "command" || !rng.chance(CANCELLED_SHARE)) return;
    world.at(rng.real(...CANCELLATION_DELAY_MS), () =>
      cancel(world, start.job),
    );
  });
  submitWorkload(world, FAULTS_END_MS - 15_000, (w, n) => ({
    ...plainJob(w, n),
    tasks: w.rng.int(1, 3),
  }));
  runToEnd(world, FAULTS_END_MS);
  return { world, occurred: occurred.counts };
}

/** Counts each task on the machine that started after the heartbeat was made, if its leader already has the answer to the start. */
function noteOvertaken(
  world: World,
  machine: SimWorker,
  heartbeat: Heartbeat,
  occurred: Occurrences,
): void {
  const partition = partitionOf(world, machine);
  const leaderName = liveLeaderOf(world, partition);
  const worker =
    leaderName === null
      ? undefined
      : world.nodes
          .get(leaderName)
          ?.core.leaders.get(partition)
          ?.state.workers.get(machine.id);
  const shown = new Set(
    heartbeat.tasks.map(({ job, index, attempt }) =>
      attemptKey(job, index, attempt),
    ),
  );
  for (const onMachine of tasksOnMachines(world)) {
    if (onMachine.machine !== machine) continue;
    const { job, index, attempt } = onMachine.task;
    const key = attemptKey(job, index, attempt);
    const task = worker?.tasks.get(key);
    const isAnswered = (task?.startAnsweredSequence ?? -1) >= 0;
    if (shown.has(key) || task?.phase !== "ordered" || !isAnswered) continue;
    occurred.note(task.job.isOver ? OVERTAKEN_AFTER_CANCELLATION : OVERTAKEN);
  }
}
