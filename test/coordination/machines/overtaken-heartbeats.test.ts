import assert from "node:assert/strict";
import { test } from "node:test";
import type { PartitionLeader } from "../../../src/coordination/scheduling/partition-leader.js";
import type { TaskRun } from "../../../src/coordination/machines/worker-state.js";
import type { Heartbeat, JobSpec } from "../../../src/coordination/model.js";
import type { SimWorker } from "../../simulation/machine.js";
import { plainJob } from "../../scenarios/stage.js";
import { World } from "../../simulation/world.js";

/**
 * A machine makes a heartbeat, then carries out and answers a start sent directly to it, and only then the heartbeat arrives.
 * `test/scenarios/overtaken-heartbeats.ts` describes the incident.
 */

/** An answered start, and a heartbeat that the machine made before it carried out the start and that has not arrived yet. */
interface AnsweredStart {
  world: World;
  leader: PartitionLeader;
  machine: SimWorker;
  task: TaskRun;
  earlier: Heartbeat;
}

const ONE_TASK: Partial<JobSpec> = {
  kind: "array",
  tasks: 1,
  cpus: 2,
  samePlace: false,
};

/** Long enough for a start to be sent, carried out and answered, and too short for another heartbeat. */
const ANSWERED_WITHIN_MS = 100;

function answeredStart(): AnsweredStart {
  const world = new World(5, undefined, [], 1);
  world.loss = 0;
  world.capacity = 0;
  world.cloud.add(world.types[0]!, "east", false, 0);
  world.run(6_000);
  const machine = world.workers[0]!;
  // The machine sends no heartbeats; only the test delivers some.
  machine.isMute = true;
  world.run(11_000);
  const earlier = machine.snapshot();
  const leader = world.nodes.get("node-a")!.core.leaders.get("node-a")!;
  const worker = leader.state.workers.get(machine.id)!;
  worker.lastAnsweredMs = world.clockOf("node-a");
  const spec = { ...plainJob(world, 1), ...ONE_TASK };
  world.specs.set(spec.id, spec);
  world.ask(
    "node-a",
    (reqId) => ({ type: "submit", reqId, spec }),
    () => {},
  );
  const untilMs = world.now + 2_000;
  while (world.now < untilMs && worker.tasks.size === 0)
    world.run(world.now + 10);
  world.run(world.now + ANSWERED_WITHIN_MS);
  const [task] = worker.tasks.values();
  assert.ok(task, "the task was started");
  assert.equal(task.phase, "ordered", "no heartbeat has shown it");
  assert.ok(task.startAnsweredSequence >= 0, "its start was answered");
  assert.equal(machine.tasks.size, 1, "the machine has it");
  return { world, leader, machine, task, earlier };
}

/** Whether the leader still counts this attempt. If it considered the start lost, it may already have started another one. */
const isCounted = (task: TaskRun): boolean =>
  [...task.worker.tasks.values()].includes(task);

function deliver(world: World, heartbeat: Heartbeat): void {
  world.ask(
    "node-a",
    (reqId) => ({
      type: "heartbeat",
      reqId,
      heartbeat: structuredClone(heartbeat),
      relayed: false,
    }),
    () => {},
  );
}

test("a task to be stopped still counts when a heartbeat lacks it that was made before its start and delivered after the answer to it", () => {
  const { world, leader, task, earlier } = answeredStart();
  leader.state.stop(task, 0, "make room");
  deliver(world, earlier);
  assert.ok(isCounted(task), "it is still on its machine");
});

test("heartbeats made before an answered start do not make a machine count as unreachable, however many arrive", () => {
  const { world, task, earlier } = answeredStart();
  for (let copy = 0; copy < 5; copy++)
    deliver(world, {
      ...earlier,
      sequence: earlier.sequence - 4 + copy,
    });
  assert.equal(task.worker.delivery.unreachableSinceMs, null);
  assert.ok(isCounted(task));
});

test("a task that a machine lost after the answer to its start waits again once the machine refuses copies of the start", () => {
  const { world, leader, machine, task } = answeredStart();
  leader.state.stop(task, 0, "make room");
  deliver(world, { ...machine.snapshot(), tasks: [] });
  assert.ok(isCounted(task), "a copy of the start may still arrive");
  const { token } = task.worker.commandFence;
  assert.ok(token > leader.token, "the answer had a higher token");
  deliver(world, { ...machine.snapshot(), tasks: [], token });
  assert.ok(!isCounted(task));
});
