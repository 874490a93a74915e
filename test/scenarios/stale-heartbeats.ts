import type { Heartbeat } from "../../src/coordination/model.js";
import { jobKey, readJob } from "../../src/storage/records.js";
import { cancel, submitWorkload } from "../simulation/workloads.js";
import type { World } from "../simulation/world.js";
import {
  cutOffLeader,
  partitionOfZone,
  Occurrences,
  plainJob,
  makeUnreachable,
  restartController,
  runToEnd,
  type ScenarioRun,
  setUp,
  type Takeover,
  watchPartitions,
} from "./stage.js";

const FAULTS_END_MS = 170_000;
/** Heartbeats made within this time are sent again. */
const RESEND_WINDOW_MS = 60_000;

const SEND_TIMES = [
  "at every controller as a new leader begins",
  "after the first start command of the new leader",
] as const;
const CONTENTS = [
  "same incarnation",
  "earlier incarnation",
  "earlier attempt",
  "task since done",
  "task since cancelled",
  "task since moved",
] as const;
type Content = (typeof CONTENTS)[number];

interface RecordedHeartbeat {
  heartbeat: Heartbeat;
  madeMs: number;
}

/**
 * Stale heartbeats are sent again: to every controller within half a second of a takeover, and to the new leader after its first
 * start command. They are from the same incarnation or an earlier one, and list tasks that by now have another attempt, are done,
 * cancelled or moved.
 */
export function staleHeartbeats(seed: number): ScenarioRun {
  const world = setUp(seed, {
    controllers: 2 + (seed % 3),
    runFactor: 2,
    machinesPerZone: 2,
  });
  const occurred = new Occurrences(
    SEND_TIMES.flatMap((w) => CONTENTS.map((c) => `${c}, ${w}`)),
  );
  const recorded: RecordedHeartbeat[] = [];
  world.onHeartbeat.push((heartbeat) => {
    recorded.push({ heartbeat: structuredClone(heartbeat), madeMs: world.now });
    while (
      recorded.length > 0 &&
      world.now - recorded[0]!.madeMs > RESEND_WINDOW_MS
    )
      recorded.shift();
  });
  resendStale(world, recorded, occurred);
  injectFaults(world);
  submitWorkload(world, FAULTS_END_MS - 20_000, plainJob);
  runToEnd(world, FAULTS_END_MS);
  return { world, occurred: occurred.counts };
}

function resendStale(
  world: World,
  recorded: readonly RecordedHeartbeat[],
  occurred: Occurrences,
): void {
  const { rng } = world;
  /** By partition: the new leader that has not sent a start command yet, and the heartbeats to send once it has. */
  const delayed = new Map<string, { owner: string; heartbeats: Heartbeat[] }>();
  const send = (name: string, heartbeat: Heartbeat, when: string): void => {
    for (const content of contentsOf(world, heartbeat))
      occurred.note(`${content}, ${when}`);
    world.heartbeat(name, structuredClone(heartbeat), () => {});
  };
  watchPartitions(world, (takeover) => {
    if (world.now > FAULTS_END_MS) return;
    const stale = staleHeartbeatsOf(world, recorded, takeover);
    for (const heartbeat of stale)
      for (const name of world.names)
        if (world.nodes.get(name))
          world.at(rng.real(0, 500), () =>
            send(name, heartbeat, SEND_TIMES[0]),
          );
    delayed.set(takeover.partition, {
      owner: takeover.owner,
      heartbeats: stale,
    });
  });
  world.onCommands.push((name, machineId, commands) => {
    if (!commands.some((o) => o.op === "start")) return;
    const machine = world.workers.find((m) => m.id === machineId);
    const node = world.nodes.get(name);
    if (!machine || !node) return;
    const partition = node.core.partitions.partitionOf(machine.zone);
    const pending = delayed.get(partition);
    if (pending?.owner !== name) return;
    delayed.delete(partition);
    for (const heartbeat of pending.heartbeats)
      world.at(rng.real(0, 2_000), () => send(name, heartbeat, SEND_TIMES[1]));
  });
}

/** At least one stale heartbeat of the partition's machines for each content that is found. */
function staleHeartbeatsOf(
  world: World,
  recorded: readonly RecordedHeartbeat[],
  { partition, owner }: Takeover,
): Heartbeat[] {
  const partitions = world.nodes.get(owner)?.core.partitions;
  if (!partitions) return [];
  const found = new Map<Content, Heartbeat>();
  // Newest first: these differ least from the current state.
  for (const { heartbeat } of [...recorded].reverse()) {
    if (partitions.partitionOf(heartbeat.zone) !== partition) continue;
    for (const content of contentsOf(world, heartbeat))
      if (!found.has(content) || world.rng.chance(0.05))
        found.set(content, heartbeat);
    if (found.size === CONTENTS.length && world.rng.chance(0.02)) break;
  }
  return [...new Set(found.values())];
}

/** What has changed since a heartbeat was made. */
function contentsOf(world: World, heartbeat: Heartbeat): Set<Content> {
  const contents = new Set<Content>();
  const machine = world.workers.find((m) => m.id === heartbeat.worker);
  if (!machine || machine.gone) return contents;
  contents.add(
    heartbeat.incarnation < machine.incarnation
      ? "earlier incarnation"
      : "same incarnation",
  );
  const partition = partitionOfZone(world, heartbeat.zone);
  for (const task of heartbeat.tasks) {
    if (task.state === "exited") continue;
    const { job, index, attempt } = task;
    const status = world.checker.toldStates.get(job);
    if (status === "cancelled") contents.add("task since cancelled");
    if (world.results.has(`${job}/${index}`)) contents.add("task since done");
    if (hasOtherAttempt(world, job, index, attempt))
      contents.add("earlier attempt");
    const record = readJob(world.state.data.get(jobKey(job))?.value);
    if (record && partition && !record.assignment.get(partition)?.has(index))
      contents.add("task since moved");
  }
  return contents;
}

function hasOtherAttempt(
  world: World,
  job: string,
  index: number,
  attempt: number,
): boolean {
  return world.workers.some(
    (m) =>
      !m.gone &&
      [...m.tasks.values()].some(
        (t) => t.job === job && t.index === index && t.attempt > attempt,
      ),
  );
}

/** Partitions change leaders, machines are cut off for longer than their leases or restart and lose tasks, and jobs are cancelled. */
function injectFaults(world: World): void {
  const { rng } = world;
  world.every(17_000, () => {
    if (world.now > FAULTS_END_MS - 20_000) return;
    const name = rng.pick(world.names);
    if (rng.chance(0.5))
      return restartController(world, name, rng.real(50, 900));
    if (rng.chance(0.5))
      return restartController(world, name, rng.real(15_000, 18_000));
    cutOffLeader(world, name, 17_000);
  });
  world.every(6_000, () => {
    if (world.now > FAULTS_END_MS - 20_000) return;
    const up = world.workers.filter((m) => m.up && !m.gone && m.cut.size === 0);
    if (up.length === 0) return;
    const machine = rng.pick(up);
    if (rng.chance(0.8))
      makeUnreachable(world, machine, "cut off", rng.real(10_500, 14_000));
    else machine.restart(rng.real(50, 500));
    const running = [...machine.tasks.values()].map((t) => t.job);
    if (running.length > 0 && rng.chance(0.4)) cancel(world, rng.pick(running));
  });
}
