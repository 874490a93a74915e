/**
 * The story of the failure. Users saw a team run more than its limit: 14 accelerators instead of 13, half a second after one
 * of its jobs was cancelled. No task ran twice, no leader changed and no part of the limit moved in the three seconds before.
 *
 * Order of events: a machine makes a heartbeat, whose packet is lost and sent again, or which waits in the socket of a busy
 * controller; a start sent straight to the machine is carried out and answered meanwhile; the job is cancelled, so the task
 * is to be stopped; only then does the heartbeat reach the leader. It does not show the task, for it was made before it.
 *
 * Cause: the leader took that absence for news. It gave the task's resources to others while the task ran, and sent no stop.
 *
 * Evidence: with that order brought about, 46 of the first 60 seeds had a task on a machine that its leader did not count, and
 * three broke `quota` (six without the check that every task is counted); the other days of the simulation, without it, none.
 * A cancelled task is not started anew elsewhere, which is why `quota` broke and `ran_twice` did not.
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
  stage,
  tasksOnMachines,
} from "./stage.js";

const OVER_MS = 120_000;
/** Part of the heartbeats whose packet is lost and sent again. */
const DELAYED_SHARE = 0.3;
/** Part of the jobs that are cancelled right after a start of theirs was sent, and how long after. */
const CANCELLED_SHARE = 0.3;
const CANCELLED_AFTER_MS = [20, 1_000] as const;

const NOT_CANCELLED = "after the answer to a start that was carried out later";
const CANCELLED =
  "after the answer to a start that was carried out later, and the cancellation of its job";
/** Heartbeats are overtaken by the answers to direct commands that their machines carried out after they made them. */
export function overtakenHeartbeats(seed: number): ScenarioRun {
  const world = stage(seed, {
    controllers: 2 + (seed % 3),
    runFactor: 3,
    teams: LOW_LIMITS,
  });
  const { rng } = world;
  const occurred = new Occurrences([NOT_CANCELLED, CANCELLED]);
  world.heartbeatHold = (machine, heartbeat) => {
    if (world.now > OVER_MS || !rng.chance(DELAYED_SHARE)) return undefined;
    return {
      forMs: rng.real(...RETRANSMISSION_MS),
      onArrival: () => noteOvertaken(world, machine, heartbeat, occurred),
    };
  };
  world.onCommands.push((_leader, _machine, commands, channel) => {
    const start = commands.find((command) => command.op === "start");
    if (!start || channel !== "command" || !rng.chance(CANCELLED_SHARE)) return;
    world.at(rng.real(...CANCELLED_AFTER_MS), () => cancel(world, start.job));
  });
  submitWorkload(world, OVER_MS - 15_000, (w, n) => ({
    ...plainJob(w, n),
    tasks: w.rng.int(1, 3),
  }));
  runToEnd(world, OVER_MS);
  return { world, occurred: occurred.counts };
}

/** Notes each task on the machine that the heartbeat can't show, and whose start its leader knows to be answered. */
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
  for (const on of tasksOnMachines(world)) {
    if (on.machine !== machine) continue;
    const { job, index, attempt } = on.task;
    const key = attemptKey(job, index, attempt);
    const task = worker?.tasks.get(key);
    const isAnswered = !worker?.unansweredStarts.has(key);
    if (shown.has(key) || task?.phase !== "ordered" || !isAnswered) continue;
    occurred.note(task.job.isOver ? CANCELLED : NOT_CANCELLED);
  }
}
