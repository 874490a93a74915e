import { cancel, submitWorkload } from "../simulation/workloads.js";
import type { World } from "../simulation/world.js";
import {
  cutOffLeader,
  partitionOf,
  Occurrences,
  ownerOf,
  plainJob,
  restart,
  runToEnd,
  type ScenarioRun,
  stage,
  tasksOnMachines,
} from "./stage.js";

const OVER_MS = 170_000;
const EPISODE_MS = 28_000;

/** Where a group stands while it changes hands. */
const PHASES = [
  "its leader is gone, its hold lasts",
  "between the hold's end and the new token",
  "given up on purpose, before the new token",
  "the new leader reads for the first time",
  "before the fence is over",
  "the leader is back within a second",
] as const;
type Phase = (typeof PHASES)[number];

/** Who owned a group last, and how that ended. */
interface Transfer {
  partition: string;
  leader: string;
  token: number;
  backWithinMs: number | null;
  isGivenUp: boolean;
  done: Set<Phase>;
}

/**
 * Jobs with tasks on a group's machines are cancelled in each phase in which that group changes hands: nothing of them starts any more,
 * and what runs is gone in time, although the leader that began it never hears of the cancellation.
 */
export function cancelledInTransfer(seed: number): ScenarioRun {
  const world = stage(seed, { controllers: 2 + (seed % 3), runFactor: 12 });
  const occurred = new Occurrences(PHASES);
  let current: Transfer | null = null;
  world.checker.onTold = (id, told) => {
    if (told !== "cancelled" || !current) return;
    const phase = phaseOf(world, current);
    if (phase && isOnPartition(world, id, current.partition))
      occurred.note(phase);
  };
  watchGivenUp(world, () => current);
  for (let atMs = 12_000; atMs < OVER_MS - EPISODE_MS; atMs += EPISODE_MS)
    world.at(atMs, () => (current = begin(world)));
  world.every(25, () => current && cancelInPhase(world, current));
  submitWorkload(world, OVER_MS - 10_000, plainJob);
  runToEnd(world, OVER_MS);
  return { world, occurred: occurred.counts };
}

/** The leader of a group with tasks ends, is cut off, stands still, or is back at once. */
function begin(world: World): Transfer | null {
  const { rng } = world;
  const busy = [...tasksOnMachines(world)].map((x) =>
    partitionOf(world, x.machine),
  );
  if (busy.length === 0) return null;
  const partition = rng.pick(busy);
  const record = ownerOf(world, partition);
  if (!record || !world.nodes.get(record.owner)) return null;
  const { owner: leader, token } = record;
  let backWithinMs: number | null = null;
  switch (rng.int(0, 4)) {
    case 0:
    case 1:
      // Away for long enough for a peer to take the group, and given it back on purpose later.
      restart(world, leader, rng.real(16_000, 19_000));
      break;
    case 2:
      cutOffLeader(world, leader, 18_000);
      break;
    case 3:
      world.freeze(leader, rng.real(15_000, 18_000));
      break;
    case 4:
      backWithinMs = rng.real(50, 900);
      restart(world, leader, backWithinMs);
  }
  return {
    partition,
    leader,
    token,
    backWithinMs,
    isGivenUp: false,
    done: new Set(),
  };
}

/** A record that its owner deletes was given up; one that goes away with its hold was not. */
function watchGivenUp(world: World, current: () => Transfer | null): void {
  world.onCommitted.push((_name, commit) => {
    const transfer = current();
    if (!transfer) return;
    for (const write of commit.writes) {
      if (write.key !== `lc/now/group/${transfer.partition}`) continue;
      transfer.isGivenUp = write.op === "delete";
      transfer.done.clear();
    }
  });
}

function phaseOf(world: World, transfer: Transfer): Phase | null {
  const record = ownerOf(world, transfer.partition);
  if (!record)
    return transfer.isGivenUp
      ? "given up on purpose, before the new token"
      : "between the hold's end and the new token";
  const node = world.nodes.get(record.owner) ?? null;
  if (record.token === transfer.token) {
    if (!isAway(world, record.owner))
      return transfer.backWithinMs === null
        ? null
        : "the leader is back within a second";
    return "its leader is gone, its hold lasts";
  }
  const leader = node?.core.leaders.get(transfer.partition);
  if (!leader) return "the new leader reads for the first time";
  return leader.state.isFenced ? "before the fence is over" : null;
}

/** It neither acts nor hears of anything. */
function isAway(world: World, name: string): boolean {
  const node = world.nodes.get(name) ?? null;
  return node === null || node.still !== null || world.stateCut.has(name);
}

function isOnPartition(world: World, job: string, partition: string): boolean {
  for (const { machine, task } of tasksOnMachines(world))
    if (task.job === job && partitionOf(world, machine) === partition)
      return true;
  return false;
}

/** Once in each phase, two jobs with tasks on the group's machines. */
function cancelInPhase(world: World, transfer: Transfer): void {
  const { rng } = world;
  const phase = phaseOf(world, transfer);
  if (phase === null || transfer.done.has(phase)) return;
  transfer.done.add(phase);
  const jobs = new Set<string>();
  for (const { machine, task } of tasksOnMachines(world))
    if (
      partitionOf(world, machine) === transfer.partition &&
      !world.checker.asked.has(task.job)
    )
      jobs.add(task.job);
  for (const job of [...jobs].slice(0, 3))
    world.at(rng.real(0, 120), () => cancel(world, job));
}
