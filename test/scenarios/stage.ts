import type { JobSpec, Tuning } from "../../src/coordination/model.js";
import type { Settings } from "../../src/config/settings.js";
import { partitionKey } from "../../src/storage/records.js";
import { randomJob } from "../simulation/workloads.js";
import type { SimTask, SimWorker } from "../simulation/machine.js";
import { World } from "../simulation/world.js";

/**
 * Setup, faults and queries that the scenarios share. A scenario brings about a combination of injected faults: it waits for a
 * state of the cluster, injects a fault at a random moment, and counts the combination only if all parts of it occurred.
 */

/** The cluster after one run of a scenario, and how often each combination of faults occurred. */
export interface ScenarioRun {
  world: World;
  occurred: Map<string, number>;
}
export type Scenario = (seed: number) => ScenarioRun;

/** Counts combinations of faults by name; those given to the constructor are listed even if they never occur. */
export class Occurrences {
  readonly counts = new Map<string, number>();

  constructor(names: readonly string[]) {
    for (const name of names) this.counts.set(name, 0);
  }
  note(name: string): void {
    this.counts.set(name, (this.counts.get(name) ?? 0) + 1);
  }
}

export interface WorldOptions {
  controllers?: number;
  /** Factor by which tasks run longer than the simulation's usual 1 to 12 s. */
  runFactor?: number;
  /** Machines of the small type in each zone from the start. */
  machinesPerZone?: number;
  /** Most machines of each type that the cloud offers in a zone, spot and ordinary ones counted separately. */
  capacity?: number;
  teams?: Settings["teams"];
  /** Operator tuning; absent: the simulation's default. */
  tuning?: Tuning;
}

/** Team limits that are reached as soon as a few jobs run. */
export const LOW_LIMITS: Settings["teams"] = new Map([
  ["red", { name: "red", cpus: 10, gpus: 0, cpusMax: 12, gpusMax: 4 }],
  ["blue", { name: "blue", cpus: 10, gpus: 0, cpusMax: 15, gpusMax: 4 }],
]);

/** Creates a cluster whose machines are up from the start. */
export function setUp(seed: number, options: WorldOptions = {}): World {
  const world = new World(seed, options.tuning, [], options.controllers ?? 3);
  world.capacity = options.capacity ?? 6;
  world.runFactor = options.runFactor ?? 2;
  world.relaysStoreCalls = true;
  if (options.teams) {
    world.settings.teams = options.teams;
    world.bootAll();
  }
  for (const zone of world.zones)
    for (let i = 0; i < (options.machinesPerZone ?? 3); i++)
      world.cloud.add(world.types[0]!, zone, false, 0);
  return world;
}

/** Polls `condition` every `everyMs` and calls `act` when it holds; polls again no sooner than `restMs` after that. */
export function whenever<T>(
  world: World,
  condition: () => T | null,
  act: (found: T) => void,
  { everyMs = 20, restMs = 0, untilMs = Infinity } = {},
): void {
  const poll = (): void => {
    if (world.now > untilMs) return;
    const found = condition();
    if (found !== null) act(found);
    world.at(found === null ? everyMs : Math.max(everyMs, restMs), poll);
  };
  world.at(everyMs, poll);
}

/** Owner and fencing token of a partition according to the state service; null: the partition has no record. */
export function ownershipOf(
  world: World,
  partition: string,
): { owner: string; token: number } | null {
  const record = world.state.data.get(partitionKey(partition));
  if (!record) return null;
  return {
    owner: (record.value as { owner: string }).owner,
    token: record.version,
  };
}

/** A partition that had an owner and was acquired by another controller, or by the same one under a new token. */
export interface Takeover {
  partition: string;
  owner: string;
  token: number;
  formerOwner: string;
  formerToken: number;
}

/** Calls `onTakeover` at the commit of each takeover, and `onReleased` within 10 ms after a partition's record disappears. */
export function watchPartitions(
  world: World,
  onTakeover: (takeover: Takeover) => void,
  onReleased: (partition: string, owner: string) => void = () => {},
): void {
  const lastOwnership = new Map<string, { owner: string; token: number }>();
  const ownedPartitions = new Set<string>();
  world.onCommitted.push((_name, commit) => {
    for (const write of commit.writes) {
      const partition = /^lc\/now\/group\/(.*)$/.exec(
        write.op === "put" ? write.key : "",
      )?.[1];
      if (partition === undefined) continue;
      const ownership = ownershipOf(world, partition)!;
      const former = lastOwnership.get(partition);
      lastOwnership.set(partition, ownership);
      ownedPartitions.add(partition);
      if (former)
        onTakeover({
          partition,
          ...ownership,
          formerOwner: former.owner,
          formerToken: former.token,
        });
    }
  });
  world.every(10, () => {
    for (const partition of ownedPartitions)
      if (!ownershipOf(world, partition)) {
        ownedPartitions.delete(partition);
        onReleased(partition, lastOwnership.get(partition)!.owner);
      }
  });
}

/** The partition of a zone according to any running controller; undefined: no controller runs. */
export function partitionOfZone(
  world: World,
  zone: string,
): string | undefined {
  const node = [...world.nodes.values()].find((n) => n !== null);
  return node?.core.partitions.partitionOf(zone);
}
/** The partition of a machine's zone. At least one controller must be running. */
export const partitionOf = (world: World, machine: SimWorker): string =>
  partitionOfZone(world, machine.zone)!;

/** The controller that owns a partition; null: there is none, or it is down. */
export function liveLeaderOf(world: World, partition: string): string | null {
  const owner = ownershipOf(world, partition)?.owner;
  return owner !== undefined && world.nodes.get(owner) ? owner : null;
}

/** Which controller leads a partition after a takeover. */
export const NEW_LEADER_KINDS = [
  "the same controller again",
  "another controller",
] as const;
export const newLeaderKind = (
  takeover: Takeover,
): (typeof NEW_LEADER_KINDS)[number] =>
  NEW_LEADER_KINDS[takeover.owner === takeover.formerOwner ? 0 : 1];

/** Tasks that are on machines now, in the sense of PROTOCOL's rules. */
export function* tasksOnMachines(
  world: World,
): Generator<{ machine: SimWorker; task: SimTask; spec: JobSpec }> {
  for (const machine of world.workers) {
    if (machine.gone) continue;
    for (const task of machine.tasks.values())
      if (machine.occupiesMachine(task))
        yield { machine, task, spec: world.specs.get(task.job)! };
  }
}

/** Whether commands to the machine, its heartbeats or the answers to them don't arrive. */
export const isUnreachable = (machine: SimWorker): boolean =>
  machine.cut.size > 0 || machine.hung || machine.oneWay || machine.isMute;

/** Ways in which a machine becomes unreachable. */
export const UNREACHABLE_MODES = [
  "cut off",
  "receives nothing",
  "can't connect",
  "hung",
] as const;
export type UnreachableMode = (typeof UNREACHABLE_MODES)[number];

/** Makes a machine unreachable for a while. */
export function makeUnreachable(
  world: World,
  machine: SimWorker,
  mode: UnreachableMode,
  forMs: number,
): void {
  switch (mode) {
    case "cut off":
      for (const name of world.names) machine.cut.add(name);
      return world.at(forMs, () => machine.cut.clear());
    case "receives nothing":
      machine.oneWay = true;
      return world.at(forMs, () => (machine.oneWay = false));
    case "can't connect":
      machine.isMute = true;
      return world.at(forMs, () => (machine.isMute = false));
    case "hung":
      machine.hung = true;
      return world.at(forMs, () => {
        machine.hung = false;
        machine.expire();
      });
  }
}

/** Crashes a controller and starts it again after `afterMs`. */
export function restartController(
  world: World,
  name: string,
  afterMs: number,
): void {
  world.crash(name);
  world.at(afterMs, () => world.nodes.get(name) ?? world.boot(name));
}

/** Makes the state service refuse the calls of one controller for a while. */
export function refuseStoreCalls(
  world: World,
  name: string,
  forMs: number,
): void {
  world.stateCut.set(name, "refused");
  world.at(forMs, () => world.stateCut.delete(name));
}

/** Cuts the connections between a controller and its peers for a while. */
export function cutFromPeers(world: World, name: string, forMs: number): void {
  world.meshCuts.add(name);
  world.at(forMs, () => world.meshCuts.delete(name));
}

/** Cuts a controller off from the state service and its peers, not from its workers: it answers them until its leadership lease expires. */
export function cutOffLeader(world: World, name: string, forMs: number): void {
  refuseStoreCalls(world, name, forMs);
  cutFromPeers(world, name, forMs);
}

/** A job that most partitions can run: no required zone or machine type, few CPUs. */
export const plainJob = (world: World, jobNumber: number): JobSpec => ({
  ...randomJob(world, jobNumber),
  cpus: world.rng.pick([1, 2]),
  gpus: 0,
  machineTypes: null,
  zone: null,
  spread: false,
  deadlineS: null,
});

/** Runs on after the last injected fault at `faultsEndMs`, long enough to detect forgotten jobs and jobs that wait beside free machines. */
export function runToEnd(world: World, faultsEndMs: number): void {
  world.at(faultsEndMs, () =>
    world.every(1_000, () => world.checker.checkNoneLeftWaiting()),
  );
  world.at(faultsEndMs + 80_000, () =>
    world.checker.checkNoneForgotten(faultsEndMs + 5_000),
  );
  world.run(faultsEndMs + 110_000);
}
