import type { JobSpec } from "../../src/coordination/model.js";
import {
  largeJob,
  pipelines,
  randomJob,
  submitWorkload,
} from "../simulation/workloads.js";
import { gangKey, parseKey } from "../../src/storage/records.js";
import type { CommitCall, World } from "../simulation/world.js";
import { COMMIT_KINDS, type CommitKind, kindsOf } from "./commit-kinds.js";
import {
  Occurrences,
  plainJob,
  restart,
  runToEnd,
  type ScenarioRun,
  stage,
  type StageOptions,
  tasksOnMachines,
} from "./stage.js";

/** Limits bind, and machines can be rented. */
const PLENTY = (seed: number): StageOptions => ({
  controllers: seed % 3 === 0 ? 3 : 5,
  runFactor: 2,
  machinesPerZone: 2,
  capacity: 4,
  teams: new Map([
    ["red", { name: "red", cpus: 16, gpus: 2, cpusMax: 40, gpusMax: 6 }],
    ["blue", { name: "blue", cpus: 12, gpus: 2, cpusMax: 60, gpusMax: 8 }],
  ]),
});
/** One team takes all machines that there are, and the other has a guarantee to claim. */
const SCARCE: StageOptions = {
  controllers: 3,
  runFactor: 4,
  machinesPerZone: 1,
  capacity: 1,
  teams: new Map([
    ["red", { name: "red", cpus: 8, gpus: 1, cpusMax: 400, gpusMax: 40 }],
    ["blue", { name: "blue", cpus: 60, gpus: 4, cpusMax: 90, gpusMax: 8 }],
  ]),
};

const OVER_MS = 130_000;
/** Until a writer takes a commit for unanswered. */
const TIMEOUT_MS = 1_500;
/** For so long after a commit whose answer was lost what others do about it counts. */
const BUILT_ON_MS = 20_000;

/** Parts of the commits of each kind that lose their answers: those of which there are few lose more. */
const LOST_SHARE: Record<CommitKind, number> = {
  accept: 0.1,
  "withdraw or end of a line": 0.2,
  "end of a job": 0.1,
  "finished ranges": 0.1,
  release: 0.3,
  move: 0.5,
  "parts of limits": 0.3,
  "claim for a guarantee": 0.5,
  roster: 0.3,
  room: 0.02,
  ready: 0.3,
  attempt: 0.3,
  belief: 0.5,
  "group taken": 0.5,
  "group given up": 0.5,
  "claim of a group": 0.5,
  sweep: 0.5,
};

/** A commit that was carried out and whose answer is lost. */
interface LostAnswer {
  writer: string;
  writerLife: number;
  kinds: ReadonlySet<CommitKind>;
  keys: ReadonlySet<string>;
  revision: number;
  carriedOutMs: number;
  readFirst: boolean;
  builtOn: boolean;
}

/**
 * Transactions of every kind are carried out and only their answers are lost, in half of the cases while their writer's reads are held
 * up, so that others read what was written, and commit on top of it, before the writer knows.
 */
export function lostAnswers(seed: number): ScenarioRun {
  const isScarce = seed % 3 === 2;
  const world = stage(seed, isScarce ? SCARCE : PLENTY(seed));
  const occurred = new Occurrences(
    COMMIT_KINDS.map((k) => `${k}: read by another before its writer knew`),
  );
  for (const kind of BUILT_ON_KINDS)
    occurred.counts.set(`${kind}: another committed on top`, 0);
  loseAnswers(world, occurred);
  submitWorkload(world, OVER_MS - 20_000, (w, n) =>
    isScarce ? scarceJob(w, n) : n % 2 === 0 ? fitting(w, n) : randomJob(w, n),
  );
  pipelines(world, 4_000, OVER_MS - 30_000);
  // Groups change hands, for good as well as for a while.
  for (const atMs of [25_000, 65_000])
    world.at(atMs, () =>
      restart(
        world,
        world.rng.pick(world.names),
        world.rng.pick([200, 18_000, 22_000]),
      ),
    );
  runToEnd(world, OVER_MS);
  return { world, occurred: occurred.counts };
}

/** Records of these kinds are written by several controllers. */
const BUILT_ON_KINDS: readonly CommitKind[] = [
  "accept",
  "release",
  "move",
  "parts of limits",
  "ready",
  "attempt",
  "group taken",
  "claim of a group",
];

/** So many of the first jobs of a scarce day are large. */
const GUEST_FLOOD = 10;

/** Arrays of one team, larger than all machines, and now and then some work of the other. */
function scarceJob(world: World, n: number): JobSpec {
  const isGuest = n % 3 !== 0;
  return {
    ...plainJob(world, n),
    team: isGuest ? "red" : "blue",
    kind: "array",
    priority: "normal",
    // What waits at the end has to be done by then: a team whose tasks come and go is never quite at its limit.
    tasks: isGuest ? (n <= GUEST_FLOOD ? 60 : 4) : 12,
    cpus: 2,
    spot: true,
  };
}

/** An array for many machines, or a gang, some with parts in two zones, that no team's limit refuses. */
function fitting(world: World, n: number): JobSpec {
  if (n % 4 === 0)
    return {
      ...plainJob(world, n),
      kind: "gang",
      tasks: world.rng.int(2, 5),
      samePlace: false,
      spread: true,
    };
  const job = largeJob(world, n);
  const tasks = job.kind === "gang" ? Math.min(3, job.tasks) : job.tasks;
  return { ...job, tasks: Math.min(40, tasks) };
}

function loseAnswers(world: World, occurred: Occurrences): void {
  const { rng } = world;
  const lost = new Map<CommitCall, { kinds: ReadonlySet<CommitKind> }>();
  const open: LostAnswer[] = [];
  world.commitFate = (name, commit) => {
    if (world.now > OVER_MS) return undefined;
    const kinds = kindsOf(world, commit);
    const share = Math.max(0, ...[...kinds].map((k) => LOST_SHARE[k]));
    if (!rng.chance(share)) return undefined;
    lost.set(commit, { kinds });
    if (rng.chance(0.6)) holdReads(world, name, rng.real(1_600, 6_000));
    if (kinds.has("move")) addMachines(world, name);
    if (kinds.has("attempt")) failGang(world, commit);
    return { beforeMs: rng.real(1, 10), answered: false };
  };
  world.onCommitted.push((name, commit, revision) => {
    noteBuiltOn(world, open, name, commit, occurred);
    const found = lost.get(commit);
    if (!found) return;
    lost.delete(commit);
    open.push({
      writer: name,
      writerLife: world.nodes.get(name)?.life ?? 0,
      kinds: found.kinds,
      keys: new Set(commit.writes.map((w) => w.key)),
      revision,
      carriedOutMs: world.now,
      readFirst: false,
      builtOn: false,
    });
  });
  world.every(20, () => noteReadFirst(world, open, occurred));
}

/** Another controller's copy shows what was written, and its writer's does not yet. */
function noteReadFirst(
  world: World,
  open: LostAnswer[],
  occurred: Occurrences,
): void {
  while (open[0] && world.now - open[0].carriedOutMs > BUILT_ON_MS)
    open.shift();
  for (const answer of open) {
    if (answer.readFirst || world.now - answer.carriedOutMs > TIMEOUT_MS)
      continue;
    const writer = world.nodes.get(answer.writer);
    if (!writer || writer.life !== answer.writerLife) continue;
    if (writer.core.cache.revision >= answer.revision) continue;
    answer.readFirst = [...world.nodes].some(
      ([name, node]) =>
        name !== answer.writer &&
        node !== null &&
        node.core.cache.revision >= answer.revision,
    );
    if (answer.readFirst)
      for (const kind of answer.kinds)
        occurred.note(`${kind}: read by another before its writer knew`);
  }
}

/** Which parts of a gang are ready, and the attempt that they start under, are one matter. */
function topicOf(key: string): string {
  const parsed = parseKey(key);
  return parsed?.kind === "ready" || parsed?.kind === "gang"
    ? gangKey(parsed.id)
    : key;
}

/** Another controller commits something that is conditional on what was written, or replaces it. */
function noteBuiltOn(
  world: World,
  open: readonly LostAnswer[],
  name: string,
  commit: CommitCall,
  occurred: Occurrences,
): void {
  const touched = new Set(
    [...commit.conditions, ...commit.writes].map((x) => topicOf(x.key)),
  );
  for (const answer of open) {
    if (answer.builtOn || answer.writer === name) continue;
    if (world.now - answer.carriedOutMs > BUILT_ON_MS) continue;
    if (![...answer.keys].some((key) => touched.has(topicOf(key)))) continue;
    answer.builtOn = true;
    for (const kind of answer.kinds)
      if (BUILT_ON_KINDS.includes(kind))
        occurred.note(`${kind}: another committed on top`);
  }
}

function holdReads(world: World, name: string, forMs: number): void {
  if (world.stateCut.has(name)) return;
  world.stateCut.set(name, "reads");
  world.at(forMs, () => world.stateCut.delete(name));
}

/** The gang loses a task soon after it was called, so that its parts come back and another attempt follows. */
function failGang(world: World, commit: CommitCall): void {
  const ids = commit.writes.map((w) => {
    const parsed = parseKey(w.key);
    return parsed?.kind === "gang" ? parsed.id : null;
  });
  world.at(world.rng.real(1_500, 4_000), () => {
    for (const { machine, task } of tasksOnMachines(world))
      if (ids.includes(task.job)) return machine.restart(300);
  });
}

/** Who gave tasks away gets room for them before it knows what became of that. */
function addMachines(world: World, name: string): void {
  const zone = world.zoneOf(name);
  for (let i = 0; i < 2; i++)
    world.cloud.add(world.types[0]!, zone, false, world.rng.real(100, 1_500));
}
