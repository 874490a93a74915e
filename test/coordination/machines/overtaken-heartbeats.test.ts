import assert from "node:assert/strict";
import { test } from "node:test";
import type { PartitionLeader } from "../../../src/coordination/scheduling/partition-leader.js";
import type { TaskRun } from "../../../src/coordination/machines/worker-state.js";
import type { Heartbeat, JobSpec } from "../../../src/coordination/model.js";
import type { SimWorker } from "../../simulation/machine.js";
import { plainJob } from "../../scenarios/stage.js";
import { World } from "../../simulation/world.js";

/**
 * A machine makes a heartbeat; a start sent straight to it is carried out and answered; then the heartbeat arrives. The story
 * of the incident is told in `test/scenarios/overtaken-heartbeats.ts`.
 */

/** A start that was answered, and a heartbeat that its machine made before it carried it out and that is still on its way. */
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

/** Time in which a start is sent, carried out and answered, and no heartbeat is made after it. */
const ANSWERED_WITHIN_MS = 100;

function answeredStart(): AnsweredStart {
  const world = new World(5, undefined, [], 1);
  world.loss = 0;
  world.capacity = 0;
  world.cloud.add(world.types[0]!, "east", false, 0);
  world.run(6_000);
  const machine = world.workers[0]!;
  // Nothing is heard of the machine but what the test passes on.
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
  assert.equal(worker.unansweredStarts.size, 0, "its start was answered");
  assert.equal(machine.tasks.size, 1, "the machine has it");
  return { world, leader, machine, task, earlier };
}

/** Whether the leader counts this very start of the task; one that it took for lost it may start again at once. */
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

test("a task to be stopped counts although a heartbeat made before its start, and delivered after the answer to it, lacks it", () => {
  const { world, leader, task, earlier } = answeredStart();
  leader.state.stop(task, 0, "make room");
  deliver(world, earlier);
  assert.ok(isCounted(task), "it is still on its machine");
});

test("such heartbeats do not make a machine count as unreachable, however many come", () => {
  const { world, task, earlier } = answeredStart();
  for (let copy = 0; copy < 5; copy++)
    deliver(world, {
      ...earlier,
      sequence: earlier.sequence - 4 + copy,
    });
  assert.equal(task.worker.delivery.unreachableSinceMs, null);
  assert.ok(isCounted(task));
});

test("a heartbeat made after the answer to a start refutes it: the task waits again", () => {
  const { world, leader, machine, task } = answeredStart();
  leader.state.stop(task, 0, "make room");
  // As a machine would report that lost the task.
  const later = { ...machine.snapshot(), tasks: [] };
  deliver(world, later);
  assert.ok(!isCounted(task));
});
