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
  restartController,
  runToEnd,
  type ScenarioRun,
  setUp,
  type WorldOptions,
  tasksOnMachines,
} from "./stage.js";

/** Teams reach their limits, and machines can be rented. */
const ampleOptions = (seed: number): WorldOptions => ({
  controllers: seed % 3 === 0 ? 3 : 5,
  runFactor: 2,
  machinesPerZone: 2,
  capacity: 4,
  teams: new Map([
    ["red", { name: "red", cpus: 16, gpus: 2, cpusMax: 40, gpusMax: 6 }],
    ["blue", { name: "blue", cpus: 12, gpus: 2, cpusMax: 60, gpusMax: 8 }],
  ]),
});
/** One team takes all machines that there are, and the other has a guarantee to reclaim. */
const SCARCE_OPTIONS: WorldOptions = {
  controllers: 3,
  runFactor: 4,
  machinesPerZone: 1,
  capacity: 1,
  teams: new Map([
    ["red", { name: "red", cpus: 8, gpus: 1, cpusMax: 400, gpusMax: 40 }],
    ["blue", { name: "blue", cpus: 60, gpus: 4, cpusMax: 90, gpusMax: 8 }],
  ]),
};

const FAULTS_END_MS = 130_000;
/** Time after which a writer stops waiting for the reply to a commit. */
const COMMIT_TIMEOUT_MS = 1_500;
/** How long after a commit whose reply was lost the follow-up commits of others count. */
const FOLLOW_UP_MS = 20_000;

/** Share of the commits of each kind whose replies are lost: higher for kinds that are rare. */
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

/** A commit that was carried out and whose reply is lost. */
interface LostReply {
  writer: string;
  /** Number of the writer's process: it changes with each restart. */
  writerLife: number;
  kinds: ReadonlySet<CommitKind>;
  keys: ReadonlySet<string>;
  revision: number;
  appliedMs: number;
  /** Another controller's cache contained the commit before its writer's did. */
  isReadByPeer: boolean;
  /** Another controller committed on top of it. */
  hasFollowUp: boolean;
}

/**
 * Transactions of every kind are carried out and only their replies are lost. In most cases the writer's reads are delayed as well,
 * so that other controllers read the records, and commit on top of them, before the writer learns of its own commit.
 */
export function lostReplies(seed: number): ScenarioRun {
  const isScarce = seed % 3 === 2;
  const world = setUp(seed, isScarce ? SCARCE_OPTIONS : ampleOptions(seed));
  const occurred = new Occurrences(
    COMMIT_KINDS.map((k) => `${k}: read by a peer before its writer`),
  );
  for (const kind of SHARED_KINDS)
    occurred.counts.set(`${kind}: a peer committed on top`, 0);
  loseReplies(world, occurred);
  submitWorkload(world, FAULTS_END_MS - 20_000, (w, n) =>
    isScarce
      ? scarceJob(w, n)
      : n % 2 === 0
        ? jobWithinLimits(w, n)
        : randomJob(w, n),
  );
  pipelines(world, 4_000, FAULTS_END_MS - 30_000);
  // Restarts within and beyond the store lease: partitions change their leader.
  for (const atMs of [25_000, 65_000])
    world.at(atMs, () =>
      restartController(
        world,
        world.rng.pick(world.names),
        world.rng.pick([200, 18_000, 22_000]),
      ),
    );
  runToEnd(world, FAULTS_END_MS);
  return { world, occurred: occurred.counts };
}

/** Kinds whose records are written by several controllers. */
const SHARED_KINDS: readonly CommitKind[] = [
  "accept",
  "release",
  "move",
  "parts of limits",
  "ready",
  "attempt",
  "group taken",
  "claim of a group",
];

/** In the scarce setup, jobs of team red with a number up to this one are large. */
const LAST_LARGE_JOB = 10;

/** Two jobs of team red, at first larger than all machines together, for each job of team blue. */
function scarceJob(world: World, jobNumber: number): JobSpec {
  const isRedTeam = jobNumber % 3 !== 0;
  return {
    ...plainJob(world, jobNumber),
    team: isRedTeam ? "red" : "blue",
    kind: "array",
    priority: "normal",
    // Few enough tasks to be done by the end of the run: a team whose tasks come and go is never quite at its limit, so the checker
    // would report its waiting jobs.
    tasks: isRedTeam ? (jobNumber <= LAST_LARGE_JOB ? 60 : 4) : 12,
    cpus: 2,
    spot: true,
  };
}

/** An array for many machines or a gang, some of them spread over two zones, within every team's limit. */
function jobWithinLimits(world: World, jobNumber: number): JobSpec {
  if (jobNumber % 4 === 0)
    return {
      ...plainJob(world, jobNumber),
      kind: "gang",
      tasks: world.rng.int(2, 5),
      samePlace: false,
      spread: true,
    };
  const job = largeJob(world, jobNumber);
  const tasks = job.kind === "gang" ? Math.min(3, job.tasks) : job.tasks;
  return { ...job, tasks: Math.min(40, tasks) };
}

function loseReplies(world: World, occurred: Occurrences): void {
  const { rng } = world;
  const unappliedCommits = new Map<
    CommitCall,
    { kinds: ReadonlySet<CommitKind> }
  >();
  const pendingReplies: LostReply[] = [];
  world.commitFate = (name, commit) => {
    if (world.now > FAULTS_END_MS) return undefined;
    const kinds = kindsOf(world, commit);
    const share = Math.max(0, ...[...kinds].map((k) => LOST_SHARE[k]));
    if (!rng.chance(share)) return undefined;
    unappliedCommits.set(commit, { kinds });
    if (rng.chance(0.6)) delayReads(world, name, rng.real(1_600, 6_000));
    if (kinds.has("move")) addMachines(world, name);
    if (kinds.has("attempt")) failGangTask(world, commit);
    return { applyAfterMs: rng.real(1, 10), answered: false };
  };
  world.onCommitted.push((name, commit, revision) => {
    noteFollowUps(world, pendingReplies, name, commit, occurred);
    const commitInfo = unappliedCommits.get(commit);
    if (!commitInfo) return;
    unappliedCommits.delete(commit);
    pendingReplies.push({
      writer: name,
      writerLife: world.nodes.get(name)?.processNumber ?? 0,
      kinds: commitInfo.kinds,
      keys: new Set(commit.writes.map((w) => w.key)),
      revision,
      appliedMs: world.now,
      isReadByPeer: false,
      hasFollowUp: false,
    });
  });
  world.every(20, () => noteReadsByPeers(world, pendingReplies, occurred));
}

/** Counts commits that another controller's cache contains while their writer's does not yet. */
function noteReadsByPeers(
  world: World,
  pendingReplies: LostReply[],
  occurred: Occurrences,
): void {
  while (
    pendingReplies[0] &&
    world.now - pendingReplies[0].appliedMs > FOLLOW_UP_MS
  )
    pendingReplies.shift();
  for (const reply of pendingReplies) {
    if (reply.isReadByPeer || world.now - reply.appliedMs > COMMIT_TIMEOUT_MS)
      continue;
    const writer = world.nodes.get(reply.writer);
    if (!writer || writer.processNumber !== reply.writerLife) continue;
    if (writer.core.cache.revision >= reply.revision) continue;
    reply.isReadByPeer = [...world.nodes].some(
      ([name, node]) =>
        name !== reply.writer &&
        node !== null &&
        node.core.cache.revision >= reply.revision,
    );
    if (reply.isReadByPeer)
      for (const kind of reply.kinds)
        occurred.note(`${kind}: read by a peer before its writer`);
  }
}

/** The key under which follow-up writes are matched: a gang's ready records share the key of its attempt record. */
function conflictKeyOf(key: string): string {
  const parsed = parseKey(key);
  return parsed?.kind === "ready" || parsed?.kind === "gang"
    ? gangKey(parsed.id)
    : key;
}

/** Counts commits of other controllers that are conditional on a record whose reply was lost, or replace it. */
function noteFollowUps(
  world: World,
  pendingReplies: readonly LostReply[],
  name: string,
  commit: CommitCall,
  occurred: Occurrences,
): void {
  const touchedKeys = new Set(
    [...commit.conditions, ...commit.writes].map((x) => conflictKeyOf(x.key)),
  );
  for (const reply of pendingReplies) {
    if (reply.hasFollowUp || reply.writer === name) continue;
    if (world.now - reply.appliedMs > FOLLOW_UP_MS) continue;
    if (![...reply.keys].some((key) => touchedKeys.has(conflictKeyOf(key))))
      continue;
    reply.hasFollowUp = true;
    for (const kind of reply.kinds)
      if (SHARED_KINDS.includes(kind))
        occurred.note(`${kind}: a peer committed on top`);
  }
}

function delayReads(world: World, name: string, forMs: number): void {
  if (world.stateCut.has(name)) return;
  world.stateCut.set(name, "reads");
  world.at(forMs, () => world.stateCut.delete(name));
}

/** Restarts a machine of the gang soon after its attempt began, so that another attempt follows. */
function failGangTask(world: World, commit: CommitCall): void {
  const ids = commit.writes.map((w) => {
    const parsed = parseKey(w.key);
    return parsed?.kind === "gang" ? parsed.id : null;
  });
  world.at(world.rng.real(1_500, 4_000), () => {
    for (const { machine, task } of tasksOnMachines(world))
      if (ids.includes(task.job)) return machine.restart(300);
  });
}

/** Gives a controller that moved tasks to a peer machines for them before it knows the outcome of the move. */
function addMachines(world: World, name: string): void {
  const zone = world.zoneOf(name);
  for (let i = 0; i < 2; i++)
    world.cloud.add(world.types[0]!, zone, false, world.rng.real(100, 1_500));
}
