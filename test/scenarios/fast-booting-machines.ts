import { parseKey, readRegistry } from "../../src/storage/records.js";
import { submitWorkload } from "../simulation/workloads.js";
import type { SimWorker } from "../simulation/machine.js";
import type { CommitCall, CommitFate, World } from "../simulation/world.js";
import {
  Occurrences,
  plainJob,
  putOutOfReach,
  restart,
  runToEnd,
  type ScenarioRun,
  stage,
} from "./stage.js";

const OVER_MS = 200_000;
/** Machines that boot faster than this are quick. */
const QUICK_MS = 2_000;
/** A leader ends no more often than this. */
const EPISODE_MS = 6_000;
/** A machine that is up, listed and at work counts for so long. */
const FRESH_MS = 16_000;

const LAGS = ["late", "slow", "answer lost"] as const;
type Lag = (typeof LAGS)[number];
/** When the leader ends: around the commit that lists a quick machine, and around its first start. */
const MOMENTS = [
  "before the roster's commit is carried out",
  "before the commit is answered",
  "before the first start",
  "before the start is carried out",
  "before the start is answered",
] as const;
type Moment = (typeof MOMENTS)[number];

/** A quick machine whose place in the roster is being written. */
interface QuickMachine {
  machine: SimWorker;
  leader: string;
  lag: Lag;
  sentMs: number;
  isListed: boolean;
  /** When its leader is to end; null: it goes on. */
  end: Moment | null;
}

/**
 * Machines are up within two seconds of being rented and get work at once, while the commit that lists them lags; their leader ends at a
 * moment around that commit or the first start.
 */
export function quickMachines(seed: number): ScenarioRun {
  const world = stage(seed, {
    controllers: 2 + (seed % 3),
    runFactor: 3,
    machinesPerZone: 1,
    capacity: 10,
  });
  world.bootFactor = 0.08;
  const occurred = new Occurrences(
    LAGS.flatMap((lag) => MOMENTS.map((m) => `${lag}, ${m}`)),
  );
  const day = new QuickMachineDay(world, occurred);
  world.commitFate = (name, commit) => day.onCommit(name, commit);
  world.onCommitted.push((_name, commit) => day.onCommitted(commit));
  world.onCommands.push((_name, machine, commands) => {
    if (commands.some((o) => o.op === "start")) day.onStart(machine);
  });
  submitWorkload(world, OVER_MS - 20_000, plainJob);
  runToEnd(world, OVER_MS);
  return { world, occurred: occurred.counts };
}

/** Machines that the roster's records in this commit name. */
const listedBy = (commit: CommitCall): string[] =>
  commit.writes.flatMap((w) =>
    w.op === "put" && parseKey(w.key)?.kind === "roster"
      ? [...readRegistry(w.value)!.machines.keys()]
      : [],
  );

class QuickMachineDay {
  private readonly machines = new Map<string, QuickMachine>();
  private readonly named = new Set<string>();
  private endedMs = -Infinity;

  constructor(
    private readonly world: World,
    private readonly occurred: Occurrences,
  ) {}

  /** A commit that lists quick machines for the first time lags, and may be what its leader's end goes by. */
  onCommit(leader: string, commit: CommitCall): CommitFate | undefined {
    const { world } = this;
    if (world.now > OVER_MS) return undefined;
    const fresh = this.newlyListed(commit);
    if (fresh.length === 0) return undefined;
    const { lag, moment } = this.leastSeen();
    const mayEnd = world.now - this.endedMs > EPISODE_MS;
    const entries = fresh.map((machine): QuickMachine => {
      const end = mayEnd ? moment : null;
      return { machine, leader, lag, sentMs: world.now, isListed: false, end };
    });
    for (const entry of entries) this.machines.set(entry.machine.id, entry);
    const fate = this.fateOf(lag);
    for (const entry of entries)
      if (entry.end === "before the roster's commit is carried out")
        this.end(entry, world.rng.real(0, Math.min(fate.beforeMs, 500)));
    return fate;
  }
  /** What occurred least on this day so far. */
  private leastSeen(): { lag: Lag; moment: Moment } {
    const pairs = LAGS.flatMap((lag) =>
      MOMENTS.map((moment) => ({ lag, moment })),
    );
    const seen = ({ lag, moment }: { lag: Lag; moment: Moment }): number =>
      this.occurred.counts.get(`${lag}, ${moment}`)!;
    const least = Math.min(...pairs.map(seen));
    return this.world.rng.pick(pairs.filter((pair) => seen(pair) === least));
  }
  private fateOf(lag: Lag): CommitFate {
    const { rng } = this.world;
    switch (lag) {
      case "late":
        return { beforeMs: rng.real(2_000, 12_000), answered: false };
      case "slow":
        return {
          beforeMs: rng.real(100, 700),
          answered: true,
          afterMs: rng.real(100, 700),
        };
      case "answer lost":
        return { beforeMs: rng.real(1, 10), answered: false };
    }
  }
  /** Quick machines that this commit is the first to name. */
  private newlyListed(commit: CommitCall): SimWorker[] {
    const fresh = listedBy(commit).filter((id) => !this.named.has(id));
    for (const id of fresh) this.named.add(id);
    return this.world.workers.filter(
      (m) =>
        fresh.includes(m.id) &&
        m.bornMs > 0 &&
        m.up &&
        m.startedMs - m.bornMs <= QUICK_MS,
    );
  }

  /** A commit that lists the machine is carried out: the one that lagged, or one that was sent after it. */
  onCommitted(commit: CommitCall): void {
    const { rng } = this.world;
    for (const id of listedBy(commit)) {
      const entry = this.machines.get(id);
      if (!entry || entry.isListed) continue;
      entry.isListed = true;
      if (entry.end === "before the commit is answered")
        this.end(entry, rng.real(0, 5));
      // Its answer, or a read, lets the first start follow.
      if (entry.end === "before the first start")
        this.end(entry, rng.real(0, 700));
    }
  }

  /** The first start for a machine leaves its leader. */
  onStart(id: string): void {
    const { rng } = this.world;
    const entry = this.machines.get(id);
    if (!entry) return;
    if (entry.end === "before the start is carried out")
      this.end(entry, rng.real(0, 2));
    if (entry.end === "before the start is answered")
      this.whenAtWork(entry, () => this.end(entry, rng.real(0, 40)));
    this.machines.delete(id);
  }
  private whenAtWork(entry: QuickMachine, act: () => void): void {
    if (entry.machine.gone || this.world.now - entry.sentMs > FRESH_MS) return;
    if (entry.machine.tasks.size > 0) return act();
    this.world.at(5, () => this.whenAtWork(entry, act));
  }

  private end(entry: QuickMachine, afterMs: number): void {
    const { world } = this;
    const moment = entry.end!;
    entry.end = null;
    world.at(afterMs, () => {
      if (world.now - this.endedMs <= EPISODE_MS) return;
      if (!world.nodes.get(entry.leader)) return;
      this.endedMs = world.now;
      this.occurred.note(`${entry.lag}, ${moment}`);
      // Heard of late, it is one that the next leader has to know from the roster.
      if (world.rng.chance(0.5))
        putOutOfReach(
          world,
          entry.machine,
          "cut off",
          world.rng.real(4_000, 9_000),
        );
      const awayMs = world.rng.chance(0.5)
        ? world.rng.real(50, 900)
        : world.rng.real(15_000, 19_000);
      restart(world, entry.leader, awayMs);
    });
  }
}
