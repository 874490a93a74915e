import type { JobSpec, Tuning } from "../../src/coordination/model.js";
import type { Settings } from "../../src/config/settings.js";
import { partitionKey } from "../../src/storage/records.js";
import { randomJob } from "../simulation/workloads.js";
import type { SimTask, SimWorker } from "../simulation/machine.js";
import { World } from "../simulation/world.js";

/**
 * What the scenarios share. A scenario brings one conjunction of injected faults about: it waits for a state, acts on it at a drawn moment,
 * and counts only what came together whole.
 */

/** A day of a scenario, and how often each conjunction occurred on it. */
export interface ScenarioRun {
  world: World;
  occurred: Map<string, number>;
}
export type Scenario = (seed: number) => ScenarioRun;

/** Counts conjunctions by name; those named at the start are listed even if they never occur. */
export class Occurrences {
  readonly counts = new Map<string, number>();

  constructor(names: readonly string[]) {
    for (const name of names) this.counts.set(name, 0);
  }
  note(name: string): void {
    this.counts.set(name, (this.counts.get(name) ?? 0) + 1);
  }
}

export interface StageOptions {
  controllers?: number;
  /** Tasks run so many times as long as the simulation's usual 1 to 12 s. */
  runFactor?: number;
  /** Machines of the small type in each zone from the start. */
  machinesPerZone?: number;
  /** Most machines of a type and kind that a zone has. */
  capacity?: number;
  teams?: Settings["teams"];
  /** The operators' tuning, where it is not the simulation's usual one. */
  tuning?: Tuning;
}

/** Limits that the teams are at as soon as a few jobs run. */
export const LOW_LIMITS: Settings["teams"] = new Map([
  ["red", { name: "red", cpus: 10, gpus: 0, cpusMax: 12, gpusMax: 4 }],
  ["blue", { name: "blue", cpus: 10, gpus: 0, cpusMax: 15, gpusMax: 4 }],
]);

/** A deployment whose machines are up from the start. */
export function stage(seed: number, options: StageOptions = {}): World {
  const world = new World(seed, options.tuning, [], options.controllers ?? 3);
  world.capacity = options.capacity ?? 6;
  world.runFactor = options.runFactor ?? 2;
  world.carries = true;
  if (options.teams) {
    world.settings.teams = options.teams;
    world.bootAll();
  }
  for (const zone of world.zones)
    for (let i = 0; i < (options.machinesPerZone ?? 3); i++)
      world.cloud.add(world.types[0]!, zone, false, 0);
  return world;
}

/** Calls `act` whenever the condition holds, looking every `everyMs` and resting for `restMs` after each time. */
export function whenever<T>(
  world: World,
  condition: () => T | null,
  act: (found: T) => void,
  { everyMs = 20, restMs = 0, untilMs = Infinity } = {},
): void {
  const look = (): void => {
    if (world.now > untilMs) return;
    const found = condition();
    if (found !== null) act(found);
    world.at(found === null ? everyMs : Math.max(everyMs, restMs), look);
  };
  world.at(everyMs, look);
}

/** A group's record as the state service has it. */
export function ownerOf(
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

/** A group that one controller had and another, or the same under a new token, has taken. */
export interface Takeover {
  partition: string;
  owner: string;
  token: number;
  formerOwner: string;
  formerToken: number;
}

/** Tells of each takeover at the moment of the commit, and of each group whose record went away. */
export function watchPartitions(
  world: World,
  onTakeover: (takeover: Takeover) => void,
  onReleased: (partition: string, owner: string) => void = () => {},
): void {
  const last = new Map<string, { owner: string; token: number }>();
  const present = new Set<string>();
  world.onCommitted.push((_name, commit) => {
    for (const write of commit.writes) {
      const partition = /^lc\/now\/group\/(.*)$/.exec(
        write.op === "put" ? write.key : "",
      )?.[1];
      if (partition === undefined) continue;
      const now = ownerOf(world, partition)!;
      const former = last.get(partition);
      last.set(partition, now);
      present.add(partition);
      if (former)
        onTakeover({
          partition,
          ...now,
          formerOwner: former.owner,
          formerToken: former.token,
        });
    }
  });
  world.every(10, () => {
    for (const partition of present)
      if (!ownerOf(world, partition)) {
        present.delete(partition);
        onReleased(partition, last.get(partition)!.owner);
      }
  });
}

/** The group that a zone belongs to, as any controller that is up has it. */
export function partitionOfZone(
  world: World,
  zone: string,
): string | undefined {
  const node = [...world.nodes.values()].find((n) => n !== null);
  return node?.core.partitions.partitionOf(zone);
}
/** The group that a machine's zone belongs to; some controller is up. */
export const partitionOf = (world: World, machine: SimWorker): string =>
  partitionOfZone(world, machine.zone)!;

/** The controller that leads a group, if it is up. */
export function liveLeaderOf(world: World, partition: string): string | null {
  const owner = ownerOf(world, partition)?.owner;
  return owner !== undefined && world.nodes.get(owner) ? owner : null;
}

/** Who leads a group after a takeover. */
export const NEW_LEADERS = [
  "the same controller again",
  "another controller",
] as const;
export const newLeader = (takeover: Takeover): (typeof NEW_LEADERS)[number] =>
  NEW_LEADERS[takeover.owner === takeover.formerOwner ? 0 : 1];

/** Tasks that are on machines at this moment, in the sense of PROTOCOL's rules. */
export function* tasksOnMachines(
  world: World,
): Generator<{ machine: SimWorker; task: SimTask; spec: JobSpec }> {
  for (const machine of world.workers) {
    if (machine.gone) continue;
    for (const task of machine.tasks.values())
      if (machine.onMachine(task))
        yield { machine, task, spec: world.specs.get(task.job)! };
  }
}

/** Orders to it, its reports or their answers don't arrive. */
export const isUnreachable = (machine: SimWorker): boolean =>
  machine.cut.size > 0 || machine.hung || machine.oneWay || machine.isMute;

/** Ways in which a machine gets out of reach. */
export const UNREACHABLE = ["cut off", "deaf", "mute", "hung"] as const;
export type Unreachable = (typeof UNREACHABLE)[number];

/** Puts a machine out of reach for a while. */
export function putOutOfReach(
  world: World,
  machine: SimWorker,
  how: Unreachable,
  forMs: number,
): void {
  switch (how) {
    case "cut off":
      for (const name of world.names) machine.cut.add(name);
      return world.at(forMs, () => machine.cut.clear());
    case "deaf":
      machine.oneWay = true;
      return world.at(forMs, () => (machine.oneWay = false));
    case "mute":
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

/** Kills a controller and starts it again after a while. */
export function restart(world: World, name: string, afterMs: number): void {
  world.crash(name);
  world.at(afterMs, () => world.nodes.get(name) ?? world.boot(name));
}

/** The state service refuses a controller, alone, for a while. */
export function refuse(world: World, name: string, forMs: number): void {
  world.stateCut.set(name, "refused");
  world.at(forMs, () => world.stateCut.delete(name));
}

/** A controller and its peers don't reach each other for a while. */
export function cutFromPeers(world: World, name: string, forMs: number): void {
  world.meshCuts.add(name);
  world.at(forMs, () => world.meshCuts.delete(name));
}

/** A controller loses the state service and its peers for a while, not its workers: it answers them until its permit ends. */
export function cutOffLeader(world: World, name: string, forMs: number): void {
  refuse(world, name, forMs);
  cutFromPeers(world, name, forMs);
}

/** A job that most groups can run: no limits of place, few CPUs. */
export const plainJob = (world: World, n: number): JobSpec => ({
  ...randomJob(world, n),
  cpus: world.rng.pick([1, 2]),
  gpus: 0,
  machineTypes: null,
  zone: null,
  spread: false,
  deadlineS: null,
});

/** After the last injected fault at `overMs` the day goes on until forgotten and waiting jobs would have been noticed. */
export function runToEnd(world: World, overMs: number): void {
  world.at(overMs, () => world.every(1_000, () => world.checker.nobodyLeft()));
  world.at(overMs + 80_000, () => world.checker.remembers(overMs + 5_000));
  world.run(overMs + 110_000);
}
