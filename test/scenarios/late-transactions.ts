import { pipelines, submitWorkload } from "../simulation/workloads.js";
import type { CommitCall, World } from "../simulation/world.js";
import { type CommitKind, kindsOf } from "./commit-kinds.js";
import {
  Occurrences,
  plainJob,
  restart,
  runToEnd,
  type ScenarioRun,
  stage,
} from "./stage.js";

const OVER_MS = 130_000;
const LATE_MS = [2_000, 12_000] as const;

/** Of each kind, the part that is late: of records that are written often less. */
const LATE_SHARE: Partial<Record<CommitKind, number>> = {
  room: 0.05,
  roster: 0.5,
  "finished ranges": 0.2,
  "parts of limits": 0.3,
  belief: 0.5,
};
const OTHER_SHARE = 0.1;
/** Records of these kinds are written again and again by one controller, so that a newer one can overtake. */
const OVERTAKEN: readonly CommitKind[] = [
  "finished ranges",
  "parts of limits",
  "roster",
  "room",
  "belief",
];

/**
 * Transactions without an answer reach the state service 2 to 12 s late, after newer ones of the same controller on the same records,
 * and after the group has a new leader.
 */
export function lateTransactions(seed: number): ScenarioRun {
  const world = stage(seed, {
    controllers: 2 + (seed % 3),
    runFactor: 2,
    machinesPerZone: 1,
    capacity: 5,
    teams: new Map([
      ["red", { name: "red", cpus: 16, gpus: 2, cpusMax: 40, gpusMax: 6 }],
      ["blue", { name: "blue", cpus: 12, gpus: 2, cpusMax: 60, gpusMax: 8 }],
    ]),
  });
  const occurred = new Occurrences(
    OVERTAKEN.map((k) => `${k}: late after a newer one of its controller`),
  );
  const writtenBy = new Map<string, { name: string; ms: number }>();
  world.onCommitted.push((name, commit) => {
    for (const { key } of commit.writes)
      writtenBy.set(key, { name, ms: world.now });
  });
  world.commitFate = (name, commit) => {
    if (world.now > OVER_MS) return undefined;
    const kinds = kindsOf(world, commit);
    const share = Math.max(
      0,
      ...[...kinds].map((k) => LATE_SHARE[k] ?? OTHER_SHARE),
    );
    if (!world.rng.chance(share)) return undefined;
    const sentMs = world.now;
    const beforeMs = world.rng.real(...LATE_MS);
    world.at(beforeMs - 1, () => {
      if (!isOvertaken(commit, name, sentMs, writtenBy)) return;
      for (const kind of kinds)
        if (OVERTAKEN.includes(kind))
          occurred.note(`${kind}: late after a newer one of its controller`);
    });
    return { beforeMs, answered: false };
  };
  disturb(world);
  submitWorkload(world, OVER_MS - 20_000, plainJob);
  pipelines(world, 4_000, OVER_MS - 30_000);
  runToEnd(world, OVER_MS);
  return { world, occurred: occurred.counts };
}

function isOvertaken(
  commit: CommitCall,
  name: string,
  sentMs: number,
  writtenBy: ReadonlyMap<string, { name: string; ms: number }>,
): boolean {
  return commit.writes.some(({ key }) => {
    const last = writtenBy.get(key);
    return last !== undefined && last.name === name && last.ms > sentMs;
  });
}

/** Leaders end, and machines are out of reach for a while, so that what the records say is what a new leader goes by. */
function disturb(world: World): void {
  const { rng } = world;
  world.every(13_000, () => {
    if (world.now > OVER_MS - 20_000) return;
    for (const machine of world.workers)
      if (machine.up && !machine.gone && rng.chance(0.25)) {
        for (const name of world.names) machine.cut.add(name);
        world.at(rng.real(3_000, 7_000), () => machine.cut.clear());
      }
    restart(
      world,
      rng.pick(world.names),
      rng.chance(0.7) ? rng.real(50, 900) : rng.real(15_000, 18_000),
    );
  });
}
