import assert from "node:assert/strict";
import { test } from "node:test";
import type { JobSpec } from "../../../src/coordination/model.js";
import { plainJob } from "../../scenarios/stage.js";
import {
  expectGuardNeeded,
  withoutRestartFence,
} from "../../simulation/guards.js";
import type { SimWorker } from "../../simulation/machine.js";
import type { CommandMessage } from "../../simulation/request-copies.js";
import { cancel } from "../../simulation/workloads.js";
import { World } from "../../simulation/world.js";

/** Copies of direct commands that were carried out and answered long ago (docs/incidents/copied-start.md). */

const LONGEST_WAIT_MS = 60_000;
const BACK_AFTER_MS = 500;
const NOTICE_MS = 300_000;
/** More changes of the store than a cancellation and what follows from it cause. */
const REVISIONS_AHEAD = 8;
/** Makes a task run for minutes. */
const LONG_RUN_FACTOR = 30;
/** Long enough for a started task to get its image, to be reported and to be stopped. */
const AFTERMATH_MS = 10_000;

const oneTaskJob = (world: World): JobSpec => ({
  ...plainJob(world, 1),
  kind: "array",
  tasks: 1,
  cpus: 2,
  samePlace: false,
  checkpointS: 0,
});

/** One controller, and two machines that are up from the start. */
function twoMachines(seed: number): World {
  const world = new World(seed, undefined, [], 1);
  world.loss = 0;
  world.capacity = 0;
  for (let n = 0; n < 2; n++)
    world.cloud.add(world.types[0]!, "east", false, 0);
  return world;
}

/** One controller, two machines that are up, and a job of one long task that was started by a direct command. */
class StartedTask {
  readonly world: World;
  readonly spec: JobSpec;
  private readonly sent: { machine: SimWorker; message: CommandMessage }[] = [];

  constructor(failsAtFirst: boolean, seed = 5) {
    this.world = twoMachines(seed);
    const { world } = this;
    world.runFactor = failsAtFirst ? 0.1 : LONG_RUN_FACTOR;
    world.onCommandsCarriedOut.push((machine, message) =>
      this.sent.push({ machine, message }),
    );
    world.run(6_000);
    if (failsAtFirst)
      for (const machine of world.workers) machine.faulty = true;
    this.spec = oneTaskJob(world);
    this.submit();
    this.runUntil("the task runs", () => this.machines().length === 1);
  }

  private submit(): void {
    this.world.specs.set(this.spec.id, this.spec);
    this.world.ask(
      "node-a",
      (reqId) => ({ type: "submit", reqId, spec: this.spec }),
      () => {},
    );
  }

  /** The first message that started the task, and the machine that carried it out. */
  get firstStart(): { machine: SimWorker; message: CommandMessage } {
    return this.sent.find(({ message }) =>
      message.commands.some(({ op }) => op === "start"),
    )!;
  }

  /** Machines on which the task is now. */
  machines(): SimWorker[] {
    return this.world.workers.filter((machine) =>
      [...machine.tasks.values()].some((task) => machine.occupiesMachine(task)),
    );
  }

  runUntil(description: string, condition: () => boolean): void {
    const untilMs = this.world.now + LONGEST_WAIT_MS;
    while (!condition()) {
      assert.ok(this.world.now < untilMs, `expected that ${description}`);
      this.world.run(this.world.now + 10);
    }
  }

  /** Delivers a copy of the first start to the machine that carried it out. */
  deliverCopy(): void {
    const { machine, message } = this.firstStart;
    machine.receiveCopy(message);
    assert.equal(this.world.copies.commandCounts.received, 1);
  }
}

test("a copy of a carried-out start does not run a task that failed, was removed from its machine and runs elsewhere", () => {
  const task = new StartedTask(true);
  const { machine: first } = task.firstStart;
  for (const machine of task.world.workers) machine.faulty = machine === first;
  task.runUntil("the task fails", () => task.machines().length === 0);
  task.world.runFactor = LONG_RUN_FACTOR;
  task.runUntil(
    "it is removed and runs elsewhere",
    () => first.tasks.size === 0 && task.machines().length === 1,
  );
  task.deliverCopy();
  task.world.run(task.world.now + AFTERMATH_MS);
  assert.deepEqual(task.world.checker.brokenRules, []);
  assert.equal(first.tasks.size, 0, "the machine refused the copy");
});

const taskKeyOn = (machine: SimWorker): string => [...machine.tasks.keys()][0]!;

const hasNoticedRestart = (world: World): boolean =>
  world.logs.some((line) => line.includes("machine restarted"));

/** A job of one task that was started, cancelled and removed from its machine. */
function cancelledTask(): StartedTask {
  const task = new StartedTask(false);
  cancel(task.world, task.spec.id);
  task.runUntil(
    "the task is removed",
    () => task.firstStart.machine.tasks.size === 0,
  );
  return task;
}

/** Delivers a copy of the task's start, and expects that the machine does not carry it out. */
function expectCopyRefused(task: StartedTask): void {
  task.deliverCopy();
  task.world.run(task.world.now + AFTERMATH_MS);
  assert.equal(task.world.checker.startsAfterCancelled, 0);
}

test("a copy of a carried-out start does not run a task of a cancelled job that was removed from its machine", () => {
  expectCopyRefused(cancelledTask());
});

test("a machine forgets an exited task although nothing else changes the store, whose revision its token has reached", () => {
  const task = new StartedTask(false);
  const { world, spec } = task;
  const { machine } = task.firstStart;
  const { state } = world.nodes.get("node-a")!.core.leaders.get("node-a")!;
  const worker = state.workers.get(machine.id)!;
  worker.commandFence.raiseToken(world.state.epoch + REVISIONS_AHEAD);
  worker.commandFence.noteSent(taskKeyOn(machine), world.clockOf("node-a"));
  cancel(world, spec.id);
  task.runUntil("the task is removed", () => machine.tasks.size === 0);
  assert.equal(machine.token, worker.commandFence.token);
  assert.deepEqual(world.checker.brokenRules, []);
});

test("a machine that shows a token above those of its leader gets a higher one, and takes commands again", () => {
  const task = new StartedTask(false);
  const { machine } = task.firstStart;
  const { world } = task;
  // The token of a leader whose partition the machine's zone belonged to before.
  machine.token = world.state.epoch;
  cancel(world, task.spec.id);
  task.runUntil("the task is removed", () => machine.tasks.size === 0);
  assert.equal(machine.incarnation, 1, "its lease was renewed");
  assert.deepEqual(world.checker.brokenRules, []);
});

test("a copy of a carried-out start does not run a task that its machine lost with a restart and that runs elsewhere", () => {
  const task = new StartedTask(false);
  const { machine } = task.firstStart;
  const { world } = task;
  const { state } = world.nodes.get("node-a")!.core.leaders.get("node-a")!;
  const { commandFence } = state.workers.get(machine.id)!;
  // It gets no further tasks.
  machine.noticeMs = world.now + NOTICE_MS;
  // The machine refuses copies before its restart, and has forgotten that after it.
  commandFence.raiseToken(world.state.epoch);
  task.runUntil(
    "the machine shows the raised token",
    () => !commandFence.mayArrive(taskKeyOn(machine)),
  );
  machine.restart(BACK_AFTER_MS);
  task.runUntil("its restart is noticed", () => hasNoticedRestart(world));
  machine.isMute = true;
  task.runUntil("the task runs elsewhere", () => task.machines().length === 1);
  machine.receiveCopy(task.firstStart.message);
  world.run(world.now + AFTERMATH_MS);
  assert.deepEqual(world.checker.brokenRules, []);
});

test("a copy of a carried-out start does not run a task of a cancelled job on a machine that is back within a second and remembers its token", () => {
  const task = cancelledTask();
  const { machine } = task.firstStart;
  machine.restart(BACK_AFTER_MS, true);
  task.runUntil("the machine is back", () => machine.up);
  expectCopyRefused(task);
});

test("a copy of a carried-out start does not run a task of a cancelled job on a machine that is back, has forgotten its token and was answered", () => {
  const task = cancelledTask();
  const { machine } = task.firstStart;
  machine.restart(BACK_AFTER_MS);
  task.runUntil(
    "the machine is back and was answered",
    () => machine.up && machine.token > 0,
  );
  expectCopyRefused(task);
});

test("a copy of a carried-out start does not run a task of a cancelled job on a machine that is back, has forgotten its token and was not answered yet", () => {
  const task = cancelledTask();
  const { machine } = task.firstStart;
  machine.restart(BACK_AFTER_MS);
  task.runUntil("the machine is back", () => machine.up);
  expectCopyRefused(task);
});

// The machine is asked only after its first heartbeat; without a fetch of the image, the task runs before it is stopped.
test("a copy of a carried-out start does not run a task of a cancelled job on a machine that is back, has forgotten its token, has the image and was not answered yet", () => {
  const task = cancelledTask();
  const { machine } = task.firstStart;
  machine.restart(BACK_AFTER_MS);
  task.runUntil("the machine is back", () => machine.up);
  machine.cacheImage(task.spec.image);
  expectCopyRefused(task);
});

const RESTARTED_MACHINE_SEEDS = [5, 6, 7, 8, 9];
/** Longer than a heartbeat and the answer to a command take. */
const FIRST_CONTACT_MS = 100;

/** A task that failed on a machine and runs on another, while the first machine is back and has sent its first heartbeat. */
function movedTask(seed: number): StartedTask {
  const task = new StartedTask(true, seed);
  const { world } = task;
  const { machine } = task.firstStart;
  for (const other of world.workers) other.faulty = other === machine;
  task.runUntil("the task fails", () => task.machines().length === 0);
  world.runFactor = LONG_RUN_FACTOR;
  task.runUntil(
    "it is removed and runs elsewhere",
    () => machine.tasks.size === 0 && task.machines().length === 1,
  );
  // Its former life is known by more than the first heartbeats.
  world.run(world.now + 10_000);
  machine.restart(BACK_AFTER_MS);
  machine.faulty = false;
  task.runUntil("the machine is back", () => machine.up);
  world.run(world.now + FIRST_CONTACT_MS);
  return task;
}

// Guards against `ran_twice`: the first heartbeat since a restart looked old, and the window stayed open until it was believed.
test("a copy of a carried-out start does not run a task that runs elsewhere on a machine that is back and has sent a heartbeat", () => {
  for (const seed of RESTARTED_MACHINE_SEEDS) {
    const task = movedTask(seed);
    const { machine } = task.firstStart;
    assert.ok(machine.token > task.firstStart.message.token, `seed ${seed}`);
    task.deliverCopy();
    task.world.run(task.world.now + AFTERMATH_MS);
    assert.deepEqual(task.world.checker.brokenRules, []);
    assert.equal(machine.tasks.size, 0, `seed ${seed}: the copy is refused`);
  }
});

test("guard: the fence of machines that may have restarted: otherwise a task runs on two machines", () => {
  expectGuardNeeded(
    (seed) => {
      const task = movedTask(seed);
      task.deliverCopy();
      task.world.run(task.world.now + AFTERMATH_MS);
      return task.world;
    },
    RESTARTED_MACHINE_SEEDS,
    "ran_twice",
    withoutRestartFence,
  );
});

test("a machine that is back is shown a token above those of its starts although nothing else changes the store", () => {
  const task = cancelledTask();
  const { world } = task;
  const { machine } = task.firstStart;
  const { state } = world.nodes.get("node-a")!.core.leaders.get("node-a")!;
  const { commandFence } = state.workers.get(machine.id)!;
  commandFence.raiseToken(world.state.epoch + REVISIONS_AHEAD);
  const startToken = commandFence.token;
  commandFence.noteSent("a later start", world.clockOf("node-a"));
  machine.restart(BACK_AFTER_MS);
  // It can't take an answer to a heartbeat.
  world.onHeartbeat.push(() => (machine.isMute = machine.sequence > 1));
  task.runUntil("it is shown a token", () => machine.token > startToken);
});

test("old heartbeats do no more to a machine that did not restart than show it a higher token", () => {
  const task = new StartedTask(false);
  const { world } = task;
  const { machine } = task.firstStart;
  world.run(world.now + 5_000);
  const first = { ...machine.snapshot(), sequence: 1, token: 0, tasks: [] };
  const before = machine.token;
  world.heartbeat("node-a", first, () => {});
  world.run(world.now + FIRST_CONTACT_MS);
  assert.ok(machine.token > before);
  world.run(world.now + AFTERMATH_MS);
  assert.equal(hasNoticedRestart(world), false);
  assert.deepEqual(task.machines(), [machine]);
  assert.equal(machine.incarnation, 1, "its lease was renewed");
});
