import { parseKey, readRegistry } from "../../src/storage/records.js";
import { submitWorkload } from "../simulation/workloads.js";
import type { SimWorker } from "../simulation/machine.js";
import type { CommitCall, CommitFate, World } from "../simulation/world.js";
import {
  Occurrences,
  plainJob,
  makeUnreachable,
  restartController,
  runToEnd,
  type ScenarioRun,
  setUp,
} from "./stage.js";

const FAULTS_END_MS = 200_000;
/** Machines that boot within this time count as fast-booting. */
const FAST_BOOT_MS = 2_000;
/** Leaders crash no more often than this. */
const CRASH_INTERVAL_MS = 6_000;
/** How long after the registry commit was sent the first task is awaited. */
const TRACKED_MS = 16_000;

/** How the registry commit is delayed: applied seconds late and not answered, applied and answered slowly, or only not answered. */
const COMMIT_DELAYS = ["late", "slow", "answer lost"] as const;
type CommitDelay = (typeof COMMIT_DELAYS)[number];
/** When the leader crashes, relative to the registry commit of a fast-booting machine and its first start command. */
const CRASH_POINTS = [
  "before the registry commit is carried out",
  "before the commit is answered",
  "before the first start",
  "before the start is carried out",
  "before the start is answered",
] as const;
type CrashPoint = (typeof CRASH_POINTS)[number];

/** A fast-booting machine whose registry entry is being committed. */
interface FastBootingMachine {
  machine: SimWorker;
  leader: string;
  commitDelay: CommitDelay;
  sentMs: number;
  isListed: boolean;
  /** When its leader is to crash; null: it does not. */
  crashPoint: CrashPoint | null;
}

/**
 * Machines boot within two seconds of being rented and get tasks at once, while the commit of their registry entry is delayed.
 * Their leader crashes around that commit or the first start command.
 */
export function fastBootingMachines(seed: number): ScenarioRun {
  const world = setUp(seed, {
    controllers: 2 + (seed % 3),
    runFactor: 3,
    machinesPerZone: 1,
    capacity: 10,
  });
  world.bootFactor = 0.08;
  const occurred = new Occurrences(
    COMMIT_DELAYS.flatMap((delay) => CRASH_POINTS.map((m) => `${delay}, ${m}`)),
  );
  const tracker = new FastBootTracker(world, occurred);
  world.commitFate = (name, commit) => tracker.onCommit(name, commit);
  world.onCommitted.push((_name, commit) => tracker.onCommitted(commit));
  world.onCommands.push((_name, machine, commands) => {
    if (commands.some((o) => o.op === "start")) tracker.onStart(machine);
  });
  submitWorkload(world, FAULTS_END_MS - 20_000, plainJob);
  runToEnd(world, FAULTS_END_MS);
  return { world, occurred: occurred.counts };
}

/** Machines in the registry records that this commit writes. */
const listedBy = (commit: CommitCall): string[] =>
  commit.writes.flatMap((w) =>
    w.op === "put" && parseKey(w.key)?.kind === "roster"
      ? [...readRegistry(w.value)!.machines.keys()]
      : [],
  );

class FastBootTracker {
  private readonly machines = new Map<string, FastBootingMachine>();
  private readonly everListed = new Set<string>();
  private lastCrashMs = -Infinity;

  constructor(
    private readonly world: World,
    private readonly occurred: Occurrences,
  ) {}

  /** Delays a commit that registers fast-booting machines for the first time, and picks when its leader crashes. */
  onCommit(leader: string, commit: CommitCall): CommitFate | undefined {
    const { world } = this;
    if (world.now > FAULTS_END_MS) return undefined;
    const newlyListed = this.newlyListed(commit);
    if (newlyListed.length === 0) return undefined;
    const { commitDelay, crashPoint } = this.leastFrequentCase();
    const mayCrash = world.now - this.lastCrashMs > CRASH_INTERVAL_MS;
    const entries = newlyListed.map((machine): FastBootingMachine => {
      const plannedCrash = mayCrash ? crashPoint : null;
      return {
        machine,
        leader,
        commitDelay,
        sentMs: world.now,
        isListed: false,
        crashPoint: plannedCrash,
      };
    });
    for (const entry of entries) this.machines.set(entry.machine.id, entry);
    const fate = this.fateOf(commitDelay);
    for (const entry of entries)
      if (entry.crashPoint === "before the registry commit is carried out")
        this.crashLeader(
          entry,
          world.rng.real(0, Math.min(fate.applyAfterMs, 500)),
        );
    return fate;
  }
  /** A case that has occurred least often so far. */
  private leastFrequentCase(): {
    commitDelay: CommitDelay;
    crashPoint: CrashPoint;
  } {
    const cases = COMMIT_DELAYS.flatMap((commitDelay) =>
      CRASH_POINTS.map((crashPoint) => ({ commitDelay, crashPoint })),
    );
    const countOf = ({
      commitDelay,
      crashPoint,
    }: {
      commitDelay: CommitDelay;
      crashPoint: CrashPoint;
    }): number => this.occurred.counts.get(`${commitDelay}, ${crashPoint}`)!;
    const minCount = Math.min(...cases.map(countOf));
    return this.world.rng.pick(
      cases.filter((pair) => countOf(pair) === minCount),
    );
  }
  private fateOf(commitDelay: CommitDelay): CommitFate {
    const { rng } = this.world;
    switch (commitDelay) {
      case "late":
        return { applyAfterMs: rng.real(2_000, 12_000), answered: false };
      case "slow":
        return {
          applyAfterMs: rng.real(100, 700),
          answered: true,
          replyAfterMs: rng.real(100, 700),
        };
      case "answer lost":
        return { applyAfterMs: rng.real(1, 10), answered: false };
    }
  }
  /** Fast-booting machines that no earlier commit has registered. */
  private newlyListed(commit: CommitCall): SimWorker[] {
    const newIds = listedBy(commit).filter((id) => !this.everListed.has(id));
    for (const id of newIds) this.everListed.add(id);
    return this.world.workers.filter(
      (m) =>
        newIds.includes(m.id) &&
        m.bornMs > 0 &&
        m.up &&
        m.startedMs - m.bornMs <= FAST_BOOT_MS,
    );
  }

  /** Called when a commit is carried out that registers the machine: the delayed one, or a later one. */
  onCommitted(commit: CommitCall): void {
    const { rng } = this.world;
    for (const id of listedBy(commit)) {
      const entry = this.machines.get(id);
      if (!entry || entry.isListed) continue;
      entry.isListed = true;
      if (entry.crashPoint === "before the commit is answered")
        this.crashLeader(entry, rng.real(0, 5));
      // The leader sends the first start once it sees the commit, by its answer or by a read.
      if (entry.crashPoint === "before the first start")
        this.crashLeader(entry, rng.real(0, 700));
    }
  }

  /** Called when the leader sends a start command to a machine; only the first one for a tracked machine counts. */
  onStart(id: string): void {
    const { rng } = this.world;
    const entry = this.machines.get(id);
    if (!entry) return;
    if (entry.crashPoint === "before the start is carried out")
      this.crashLeader(entry, rng.real(0, 2));
    if (entry.crashPoint === "before the start is answered")
      this.whenTaskPresent(entry, () =>
        this.crashLeader(entry, rng.real(0, 40)),
      );
    this.machines.delete(id);
  }
  private whenTaskPresent(entry: FastBootingMachine, act: () => void): void {
    if (entry.machine.gone || this.world.now - entry.sentMs > TRACKED_MS)
      return;
    if (entry.machine.tasks.size > 0) return act();
    this.world.at(5, () => this.whenTaskPresent(entry, act));
  }

  private crashLeader(entry: FastBootingMachine, afterMs: number): void {
    const { world } = this;
    const crashPoint = entry.crashPoint!;
    entry.crashPoint = null;
    world.at(afterMs, () => {
      if (world.now - this.lastCrashMs <= CRASH_INTERVAL_MS) return;
      if (!world.nodes.get(entry.leader)) return;
      this.lastCrashMs = world.now;
      this.occurred.note(`${entry.commitDelay}, ${crashPoint}`);
      // With its heartbeats cut off the next leader knows the machine only from the registry.
      if (world.rng.chance(0.5))
        makeUnreachable(
          world,
          entry.machine,
          "cut off",
          world.rng.real(4_000, 9_000),
        );
      const awayMs = world.rng.chance(0.5)
        ? world.rng.real(50, 900)
        : world.rng.real(15_000, 19_000);
      restartController(world, entry.leader, awayMs);
    });
  }
}
