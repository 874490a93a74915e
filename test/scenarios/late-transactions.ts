import { pipelines, submitWorkload } from "../simulation/workloads.js";
import type { CommitCall, World } from "../simulation/world.js";
import { type CommitKind, kindsOf } from "./commit-kinds.js";
import {
  Occurrences,
  plainJob,
  restartController,
  runToEnd,
  type ScenarioRun,
  setUp,
} from "./stage.js";

const FAULTS_END_MS = 130_000;
const DELAY_MS = [2_000, 12_000] as const;

/** Share of the commits of a kind that are delayed: lower for records that are written often. */
const DELAYED_SHARE: Partial<Record<CommitKind, number>> = {
  room: 0.05,
  roster: 0.5,
  "finished ranges": 0.2,
  "parts of limits": 0.3,
  belief: 0.5,
};
const DEFAULT_DELAYED_SHARE = 0.1;
/** Kinds whose records one controller writes again and again, so that a newer commit can overtake a delayed one. */
const REWRITTEN_KINDS: readonly CommitKind[] = [
  "finished ranges",
  "parts of limits",
  "roster",
  "room",
  "belief",
];

/**
 * Transactions without an answer reach the state service 2 to 12 s late, after newer ones of the same controller on the same
 * records, or after a change of leader.
 */
export function lateTransactions(seed: number): ScenarioRun {
  const world = setUp(seed, {
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
    REWRITTEN_KINDS.map(
      (k) => `${k}: applied after a newer one of its controller`,
    ),
  );
  const lastWrites = new Map<string, { name: string; timeMs: number }>();
  world.onCommitted.push((name, commit) => {
    for (const { key } of commit.writes)
      lastWrites.set(key, { name, timeMs: world.now });
  });
  world.commitFate = (name, commit) => {
    if (world.now > FAULTS_END_MS) return undefined;
    const kinds = kindsOf(world, commit);
    const share = Math.max(
      0,
      ...[...kinds].map((k) => DELAYED_SHARE[k] ?? DEFAULT_DELAYED_SHARE),
    );
    if (!world.rng.chance(share)) return undefined;
    const sentMs = world.now;
    const delayMs = world.rng.real(...DELAY_MS);
    world.at(delayMs - 1, () => {
      if (!isOvertaken(commit, name, sentMs, lastWrites)) return;
      for (const kind of kinds)
        if (REWRITTEN_KINDS.includes(kind))
          occurred.note(`${kind}: applied after a newer one of its controller`);
    });
    return { applyAfterMs: delayMs, answered: false };
  };
  injectFaults(world);
  submitWorkload(world, FAULTS_END_MS - 20_000, plainJob);
  pipelines(world, 4_000, FAULTS_END_MS - 30_000);
  runToEnd(world, FAULTS_END_MS);
  return { world, occurred: occurred.counts };
}

function isOvertaken(
  commit: CommitCall,
  name: string,
  sentMs: number,
  lastWrites: ReadonlyMap<string, { name: string; timeMs: number }>,
): boolean {
  return commit.writes.some(({ key }) => {
    const last = lastWrites.get(key);
    return last !== undefined && last.name === name && last.timeMs > sentMs;
  });
}

/** Crashes leaders and makes machines unreachable for a while, so that a new leader depends on the records. */
function injectFaults(world: World): void {
  const { rng } = world;
  world.every(13_000, () => {
    if (world.now > FAULTS_END_MS - 20_000) return;
    for (const machine of world.workers)
      if (machine.up && !machine.gone && rng.chance(0.25)) {
        for (const name of world.names) machine.cut.add(name);
        world.at(rng.real(3_000, 7_000), () => machine.cut.clear());
      }
    restartController(
      world,
      rng.pick(world.names),
      rng.chance(0.7) ? rng.real(50, 900) : rng.real(15_000, 18_000),
    );
  });
}
