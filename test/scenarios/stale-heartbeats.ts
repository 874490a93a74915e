import type { Heartbeat } from "../../src/coordination/model.js";
import { jobKey, readJob } from "../../src/storage/records.js";
import { cancel, submitWorkload } from "../simulation/workloads.js";
import type { World } from "../simulation/world.js";
import {
  cutOffLeader,
  partitionOfZone,
  Occurrences,
  plainJob,
  putOutOfReach,
  restart,
  runToEnd,
  type ScenarioRun,
  stage,
  type Takeover,
  watchPartitions,
} from "./stage.js";

const OVER_MS = 170_000;
/** Reports of so long ago are sent again. */
const KEPT_MS = 60_000;

const WHEN = [
  "at every controller as a new leader begins",
  "after the new leader has acted",
] as const;
const CONTENTS = [
  "same session",
  "earlier session",
  "earlier attempt",
  "task since done",
  "task since cancelled",
  "task since moved",
] as const;
type Content = (typeof CONTENTS)[number];

interface KeptReport {
  report: Heartbeat;
  madeMs: number;
}

/**
 * Old reports come once more: to every controller within half a second of a takeover, or to the new leader only after it has given
 * orders. They are of the same session or an earlier one, and show tasks that have another attempt by now, are done, cancelled or moved.
 */
export function oldReports(seed: number): ScenarioRun {
  const world = stage(seed, {
    controllers: 2 + (seed % 3),
    runFactor: 2,
    machinesPerZone: 2,
  });
  const occurred = new Occurrences(
    WHEN.flatMap((w) => CONTENTS.map((c) => `${c}, ${w}`)),
  );
  const kept: KeptReport[] = [];
  world.onHeartbeat.push((report) => {
    kept.push({ report: structuredClone(report), madeMs: world.now });
    while (kept.length > 0 && world.now - kept[0]!.madeMs > KEPT_MS)
      kept.shift();
  });
  sendAgain(world, kept, occurred);
  disturb(world);
  submitWorkload(world, OVER_MS - 20_000, plainJob);
  runToEnd(world, OVER_MS);
  return { world, occurred: occurred.counts };
}

function sendAgain(
  world: World,
  kept: readonly KeptReport[],
  occurred: Occurrences,
): void {
  const { rng } = world;
  /** By group: the leader that has not given orders yet, and what waits until it has. */
  const held = new Map<string, { owner: string; reports: Heartbeat[] }>();
  const send = (name: string, report: Heartbeat, when: string): void => {
    for (const content of contentsOf(world, report))
      occurred.note(`${content}, ${when}`);
    world.heartbeat(name, structuredClone(report), () => {});
  };
  watchPartitions(world, (takeover) => {
    if (world.now > OVER_MS) return;
    const old = oldReportsOf(world, kept, takeover);
    for (const report of old)
      for (const name of world.names)
        if (world.nodes.get(name))
          world.at(rng.real(0, 500), () => send(name, report, WHEN[0]));
    held.set(takeover.partition, { owner: takeover.owner, reports: old });
  });
  world.onCommands.push((name, machineId, commands) => {
    if (!commands.some((o) => o.op === "start")) return;
    const machine = world.workers.find((m) => m.id === machineId);
    const node = world.nodes.get(name);
    if (!machine || !node) return;
    const partition = node.core.partitions.partitionOf(machine.zone);
    const waiting = held.get(partition);
    if (waiting?.owner !== name) return;
    held.delete(partition);
    for (const report of waiting.reports)
      world.at(rng.real(0, 2_000), () => send(name, report, WHEN[1]));
  });
}

/** One old report for each content that there is, of machines of this group. */
function oldReportsOf(
  world: World,
  kept: readonly KeptReport[],
  { partition, owner }: Takeover,
): Heartbeat[] {
  const partitions = world.nodes.get(owner)?.core.partitions;
  if (!partitions) return [];
  const found = new Map<Content, Heartbeat>();
  // The newest first: what it shows differs least from what is there.
  for (const { report } of [...kept].reverse()) {
    if (partitions.partitionOf(report.zone) !== partition) continue;
    for (const content of contentsOf(world, report))
      if (!found.has(content) || world.rng.chance(0.05))
        found.set(content, report);
    if (found.size === CONTENTS.length && world.rng.chance(0.02)) break;
  }
  return [...new Set(found.values())];
}

/** What has changed since a report was made. */
function contentsOf(world: World, report: Heartbeat): Set<Content> {
  const contents = new Set<Content>();
  const machine = world.workers.find((m) => m.id === report.worker);
  if (!machine || machine.gone) return contents;
  contents.add(
    report.incarnation < machine.incarnation
      ? "earlier session"
      : "same session",
  );
  const partition = partitionOfZone(world, report.zone);
  for (const task of report.tasks) {
    if (task.state === "exited") continue;
    const { job, index, attempt } = task;
    const told = world.checker.told.get(job);
    if (told === "cancelled") contents.add("task since cancelled");
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

/** Groups change hands; machines fall silent beyond their leases, begin anew and lose tasks; jobs are cancelled. */
function disturb(world: World): void {
  const { rng } = world;
  world.every(17_000, () => {
    if (world.now > OVER_MS - 20_000) return;
    const name = rng.pick(world.names);
    if (rng.chance(0.5)) return restart(world, name, rng.real(50, 900));
    if (rng.chance(0.5)) return restart(world, name, rng.real(15_000, 18_000));
    cutOffLeader(world, name, 17_000);
  });
  world.every(6_000, () => {
    if (world.now > OVER_MS - 20_000) return;
    const up = world.workers.filter((m) => m.up && !m.gone && m.cut.size === 0);
    if (up.length === 0) return;
    const machine = rng.pick(up);
    if (rng.chance(0.8))
      putOutOfReach(world, machine, "cut off", rng.real(10_500, 14_000));
    else machine.restart(rng.real(50, 500));
    const running = [...machine.tasks.values()].map((t) => t.job);
    if (running.length > 0 && rng.chance(0.4)) cancel(world, rng.pick(running));
  });
}
