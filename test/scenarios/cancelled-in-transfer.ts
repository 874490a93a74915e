import { cancel, submitWorkload } from "../simulation/workloads.js";
import type { World } from "../simulation/world.js";
import {
  cutOffLeader,
  partitionOf,
  Occurrences,
  ownershipOf,
  plainJob,
  restartController,
  runToEnd,
  type ScenarioRun,
  setUp,
  tasksOnMachines,
} from "./stage.js";

const FAULTS_END_MS = 170_000;
const TRANSFER_INTERVAL_MS = 28_000;

/** Phases of a leadership transfer. */
const PHASES = [
  "the leader is unresponsive, its store lease is valid",
  "between the end of the store lease and the new token",
  "released by its leader, before the new token",
  "the new leader does its first read",
  "before the failover is complete",
  "the leader has restarted within a second",
] as const;
type Phase = (typeof PHASES)[number];

/** The former leader of a partition, and how its leadership ended. */
interface Transfer {
  partition: string;
  leader: string;
  token: number;
  /** Downtime of a leader that restarts within a second; null: it is away for longer. */
  returnDelayMs: number | null;
  /** The leader deleted the partition's record. */
  isReleased: boolean;
  handledPhases: Set<Phase>;
}

/**
 * Cancels jobs with tasks on a partition's machines in each phase of a leadership transfer. None of their tasks may start any
 * more, and running ones must end in time, although the leader that started them never learns of the cancellation.
 */
export function cancelledInTransfer(seed: number): ScenarioRun {
  const world = setUp(seed, {
    controllers: 2 + (seed % 3),
    runFactor: 12,
  });
  const occurred = new Occurrences(PHASES);
  let current: Transfer | null = null;
  world.checker.onStateTold = (id, status) => {
    if (status !== "cancelled" || !current) return;
    const phase = phaseOf(world, current);
    if (phase && isOnPartition(world, id, current.partition))
      occurred.note(phase);
  };
  watchReleases(world, () => current);
  for (
    let atMs = 12_000;
    atMs < FAULTS_END_MS - TRANSFER_INTERVAL_MS;
    atMs += TRANSFER_INTERVAL_MS
  )
    world.at(atMs, () => (current = startTransfer(world)));
  world.every(25, () => current && cancelInPhase(world, current));
  submitWorkload(world, FAULTS_END_MS - 10_000, plainJob);
  runToEnd(world, FAULTS_END_MS);
  return { world, occurred: occurred.counts };
}

/** Crashes, cuts off, pauses or quickly restarts the leader of a partition with tasks; null: there is none now. */
function startTransfer(world: World): Transfer | null {
  const { rng } = world;
  const partitionsWithTasks = [...tasksOnMachines(world)].map((x) =>
    partitionOf(world, x.machine),
  );
  if (partitionsWithTasks.length === 0) return null;
  const partition = rng.pick(partitionsWithTasks);
  const record = ownershipOf(world, partition);
  if (!record || !world.nodes.get(record.owner)) return null;
  const { owner: leader, token } = record;
  let returnDelayMs: number | null = null;
  switch (rng.int(0, 4)) {
    case 0:
    case 1:
      // Long enough for a peer to take the partition; the peer releases it on purpose once the leader is back.
      restartController(world, leader, rng.real(16_000, 19_000));
      break;
    case 2:
      cutOffLeader(world, leader, 18_000);
      break;
    case 3:
      world.freeze(leader, rng.real(15_000, 18_000));
      break;
    case 4:
      returnDelayMs = rng.real(50, 900);
      restartController(world, leader, returnDelayMs);
  }
  return {
    partition,
    leader,
    token,
    returnDelayMs,
    isReleased: false,
    handledPhases: new Set(),
  };
}

/** Notes whether the partition was released: its owner deletes the record; a record that expires with the store lease was not released. */
function watchReleases(world: World, current: () => Transfer | null): void {
  world.onCommitted.push((_name, commit) => {
    const transfer = current();
    if (!transfer) return;
    for (const write of commit.writes) {
      if (write.key !== `lc/now/group/${transfer.partition}`) continue;
      transfer.isReleased = write.op === "delete";
      transfer.handledPhases.clear();
    }
  });
}

function phaseOf(world: World, transfer: Transfer): Phase | null {
  const record = ownershipOf(world, transfer.partition);
  if (!record)
    return transfer.isReleased
      ? "released by its leader, before the new token"
      : "between the end of the store lease and the new token";
  const node = world.nodes.get(record.owner) ?? null;
  if (record.token === transfer.token) {
    if (!isUnresponsive(world, record.owner))
      return transfer.returnDelayMs === null
        ? null
        : "the leader has restarted within a second";
    return "the leader is unresponsive, its store lease is valid";
  }
  const leader = node?.core.leaders.get(transfer.partition);
  if (!leader) return "the new leader does its first read";
  return leader.state.isFenced ? "before the failover is complete" : null;
}

/** The controller is down, paused or cut off from the state service. */
function isUnresponsive(world: World, name: string): boolean {
  const node = world.nodes.get(name) ?? null;
  return node === null || node.pausedWork !== null || world.stateCut.has(name);
}

function isOnPartition(world: World, job: string, partition: string): boolean {
  for (const { machine, task } of tasksOnMachines(world))
    if (task.job === job && partitionOf(world, machine) === partition)
      return true;
  return false;
}

/** Cancels up to three jobs with tasks on the partition's machines, once in each phase. */
function cancelInPhase(world: World, transfer: Transfer): void {
  const { rng } = world;
  const phase = phaseOf(world, transfer);
  if (phase === null || transfer.handledPhases.has(phase)) return;
  transfer.handledPhases.add(phase);
  const jobs = new Set<string>();
  for (const { machine, task } of tasksOnMachines(world))
    if (
      partitionOf(world, machine) === transfer.partition &&
      !world.checker.cancelRequests.has(task.job)
    )
      jobs.add(task.job);
  for (const job of [...jobs].slice(0, 3))
    world.at(rng.real(0, 120), () => cancel(world, job));
}
