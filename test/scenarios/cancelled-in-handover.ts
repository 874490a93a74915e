import { cancel, users } from "../sim/days.js";
import type { World } from "../sim/world.js";
import {
  cutOffLeader,
  groupOf,
  Occurrences,
  ownerOf,
  plainJob,
  restart,
  runToEnd,
  type ScenarioDay,
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
interface Handover {
  group: string;
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
export function cancelledInHandover(seed: number): ScenarioDay {
  const world = stage(seed, { controllers: 2 + (seed % 3), runFactor: 12 });
  const occurred = new Occurrences(PHASES);
  let current: Handover | null = null;
  world.checker.onTold = (id, told) => {
    if (told !== "cancelled" || !current) return;
    const phase = phaseOf(world, current);
    if (phase && isOnGroup(world, id, current.group)) occurred.note(phase);
  };
  watchGivenUp(world, () => current);
  for (let atMs = 12_000; atMs < OVER_MS - EPISODE_MS; atMs += EPISODE_MS)
    world.at(atMs, () => (current = begin(world)));
  world.every(25, () => current && cancelInPhase(world, current));
  users(world, OVER_MS - 10_000, plainJob);
  runToEnd(world, OVER_MS);
  return { world, occurred: occurred.counts };
}

/** The leader of a group with tasks ends, is cut off, stands still, or is back at once. */
function begin(world: World): Handover | null {
  const { rng } = world;
  const busy = [...tasksOnMachines(world)].map((x) =>
    groupOf(world, x.machine),
  );
  if (busy.length === 0) return null;
  const group = rng.pick(busy);
  const record = ownerOf(world, group);
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
    group,
    leader,
    token,
    backWithinMs,
    isGivenUp: false,
    done: new Set(),
  };
}

/** A record that its owner deletes was given up; one that goes away with its hold was not. */
function watchGivenUp(world: World, current: () => Handover | null): void {
  world.onCommitted.push((_name, commit) => {
    const handover = current();
    if (!handover) return;
    for (const write of commit.writes) {
      if (write.key !== `lc/now/group/${handover.group}`) continue;
      handover.isGivenUp = write.op === "delete";
      handover.done.clear();
    }
  });
}

function phaseOf(world: World, handover: Handover): Phase | null {
  const record = ownerOf(world, handover.group);
  if (!record)
    return handover.isGivenUp
      ? "given up on purpose, before the new token"
      : "between the hold's end and the new token";
  const node = world.nodes.get(record.owner) ?? null;
  if (record.token === handover.token) {
    if (!isAway(world, record.owner))
      return handover.backWithinMs === null
        ? null
        : "the leader is back within a second";
    return "its leader is gone, its hold lasts";
  }
  const master = node?.core.masters.get(handover.group);
  if (!master) return "the new leader reads for the first time";
  return master.own.fenced ? "before the fence is over" : null;
}

/** It neither acts nor hears of anything. */
function isAway(world: World, name: string): boolean {
  const node = world.nodes.get(name) ?? null;
  return node === null || node.still !== null || world.stateCut.has(name);
}

function isOnGroup(world: World, job: string, group: string): boolean {
  for (const { machine, task } of tasksOnMachines(world))
    if (task.job === job && groupOf(world, machine) === group) return true;
  return false;
}

/** Once in each phase, two jobs with tasks on the group's machines. */
function cancelInPhase(world: World, handover: Handover): void {
  const { rng } = world;
  const phase = phaseOf(world, handover);
  if (phase === null || handover.done.has(phase)) return;
  handover.done.add(phase);
  const jobs = new Set<string>();
  for (const { machine, task } of tasksOnMachines(world))
    if (
      groupOf(world, machine) === handover.group &&
      !world.checker.asked.has(task.job)
    )
      jobs.add(task.job);
  for (const job of [...jobs].slice(0, 3))
    world.at(rng.real(0, 120), () => cancel(world, job));
}
