/**
 * A fleet of the size that the software is designed for: under one controller that restarts, and under three of which one fails
 * while the machines of its partition can't reach the new leader, and the zone of another is cut off later. Beyond the simulation's
 * rules it checks that a worker is redirected once under a fencing token and relayed from then on, and that the log stays bounded.
 *
 * At full size (4,000 machines, `FULL_FLEET`, run by `test/simulation/hunt.ts`) the controllers have the bounds that they derive
 * from their settings. Smaller fleets (CI) have bounds in the same proportion to the number of machines: twice as many redirects
 * and four times as many subjects of warnings.
 */
import { DEFAULTS } from "../../src/config/operator.js";
import type { Heartbeat, JobSpec } from "../../src/coordination/model.js";
import { largeJob, submitWorkload } from "../simulation/workloads.js";
import type { SimWorker } from "../simulation/machine.js";
import type { World } from "../simulation/world.js";
import { LogCheck, RedirectCheck } from "./large-fleet-checks.js";
import { lowerBounds, type LoweredBounds } from "./lowered-bounds.js";
import {
  Occurrences,
  partitionOf,
  restartController,
  type ScenarioRun,
  setUp,
  type Takeover,
  watchPartitions,
} from "./stage.js";

export interface LargeFleetOptions {
  machines: number;
  controllers: 1 | 3;
  lowered?: LoweredBounds;
}

/** The number of machines in one partition or under one controller that the software is designed for. */
const FULL_FLEET = 4_000;

const FAILOVER_AT_MS = 10_000;
/** Long enough for a store lease to end and another controller to take the partition. */
const LEADER_DOWN_MS = 60_000;
const ONLY_CONTROLLER_DOWN_MS = 300;
/** Long enough for a worker to try all three controllers in turn: it gives up on a silent one after 4 s. */
const WORKERS_CUT_MS = 25_000;
const ZONE_CUT_AT_MS = 50_000;
const ZONE_CUT_MS = 14_000;
const CONTRADICTIONS_EVERY_MS = 10_000;
const SUBMIT_UNTIL_MS = 60_000;
const RUN_END_MS = 80_000;

const ONE_CONTROLLER_COMBINATIONS = [
  "the only controller restarted under the whole fleet",
  "warning about a machine logged",
] as const;
const THREE_CONTROLLER_COMBINATIONS = [
  "failover",
  "worker redirected to a leader that it can't reach",
  "worker relayed by a peer to a leader that it can't reach",
  "zone cut off",
  "warning about a machine logged",
] as const;

/** The scenario at full size, for `test/simulation/hunt.ts`: odd seeds have one controller, even ones three. */
export const largeFleetAtFullSize = (seed: number): ScenarioRun =>
  largeFleet(seed, {
    machines: FULL_FLEET,
    controllers: seed % 2 === 1 ? 1 : 3,
  });

export function largeFleet(
  seed: number,
  options: LargeFleetOptions,
): ScenarioRun {
  const world = stageFleet(seed, options);
  const hasOneController = options.controllers === 1;
  const occurred = new Occurrences(
    hasOneController
      ? ONE_CONTROLLER_COMBINATIONS
      : THREE_CONTROLLER_COMBINATIONS,
  );
  const redirects = new RedirectCheck(world, occurred);
  const log = new LogCheck(world, options.machines, occurred);
  world.onStep = (name, input, effects) => {
    redirects.observe(name, input, effects);
    log.observe(name, effects);
  };
  if (options.lowered) lowerBounds(world, options.lowered);
  contradictMachines(world);
  if (hasOneController) restartOnlyController(world, occurred);
  else {
    failOver(world, redirects, occurred);
    cutZone(world, occurred);
  }
  submitWorkload(world, SUBMIT_UNTIL_MS, fleetJob);
  world.run(RUN_END_MS);
  log.checkTotal();
  return { world, occurred: occurred.counts };
}

/** Idle machines are not returned, and messages are lost only where the scenario cuts a connection. */
function stageFleet(seed: number, options: LargeFleetOptions): World {
  const perZone = Math.ceil(options.machines / 4);
  const cpusMax = 8 * options.machines;
  const world = setUp(seed, {
    controllers: options.controllers,
    machinesPerZone: perZone,
    capacity: perZone,
    tuning: { ...DEFAULTS, idleReturnS: 3_600 },
    teams: new Map(
      ["red", "blue"].map((name) => [
        name,
        { name, cpus: cpusMax / 4, gpus: 0, cpusMax, gpusMax: Infinity },
      ]),
    ),
  });
  world.loss = 0;
  return world;
}

const fleetJob = (world: World, jobNumber: number): JobSpec => ({
  ...largeJob(world, jobNumber),
  kind: "array",
  samePlace: false,
});

// ---- faults ----------------------------------------------------------------------------------------------

/**
 * Sends the leader, again and again, a heartbeat with a wrong machine type for each machine that it knows. A leader that does not
 * know the machine yet would accept the type of the first heartbeat that it receives.
 */
function contradictMachines(world: World): void {
  world.every(CONTRADICTIONS_EVERY_MS, () => {
    for (const machine of world.workers) {
      if (!machine.up || machine.gone) continue;
      const leader = leaderWithMachine(world, machine);
      if (leader !== undefined)
        world.heartbeat(leader, contradictingHeartbeat(machine), () => {});
    }
  });
}

const leaderWithMachine = (
  world: World,
  machine: SimWorker,
): string | undefined =>
  world.names.find((name) => {
    const leaders = world.nodes.get(name)?.core.leaders.values() ?? [];
    return [...leaders].some(
      ({ state }) =>
        state.workers.get(machine.id)?.typeName === machine.type.name,
    );
  });

const contradictingHeartbeat = (machine: SimWorker): Heartbeat => ({
  worker: machine.id,
  address: "10.0.0.2:1",
  type: machine.type.name === "big" ? "small" : "big",
  zone: machine.zone,
  spot: machine.spot,
  incarnation: machine.incarnation,
  sequence: machine.sequence,
  token: machine.token,
  noticeS: null,
  tasks: [],
});

function restartOnlyController(world: World, occurred: Occurrences): void {
  const name = world.names[0]!;
  world.at(FAILOVER_AT_MS, () =>
    restartController(world, name, ONLY_CONTROLLER_DOWN_MS),
  );
  world.at(RUN_END_MS - 1, () => {
    const leaders = world.nodes.get(name)?.core.leaders;
    if (leaders && leaders.size > 0)
      occurred.note("the only controller restarted under the whole fleet");
  });
}

/** Stops a controller for longer than its store lease; for a while the machines of its partition can't reach the new leader. */
function failOver(
  world: World,
  redirects: RedirectCheck,
  occurred: Occurrences,
): void {
  const failing = world.names[0]!;
  world.at(FAILOVER_AT_MS, () =>
    restartController(world, failing, LEADER_DOWN_MS),
  );
  let isCut = false;
  watchPartitions(world, (takeover) => {
    if (takeover.formerOwner !== failing || takeover.owner === failing) return;
    occurred.note("failover");
    if (isCut) return;
    isCut = true;
    cutFromLeader(world, takeover, redirects);
  });
}

function cutFromLeader(
  world: World,
  takeover: Takeover,
  redirects: RedirectCheck,
): void {
  const machines = world.workers.filter(
    (machine) =>
      machine.up &&
      !machine.gone &&
      partitionOf(world, machine) === takeover.partition,
  );
  for (const machine of machines) machine.cut.add(takeover.owner);
  redirects.begin(takeover, machines);
  world.at(WORKERS_CUT_MS, () => {
    for (const machine of machines) machine.cut.clear();
    redirects.end();
  });
}

/** Cuts off the zone of the last controller, with the controller in it, for longer than a lease. */
function cutZone(world: World, occurred: Occurrences): void {
  const zone = world.zoneOf(world.names.at(-1)!);
  world.at(ZONE_CUT_AT_MS, () => {
    world.cutZone(zone, ZONE_CUT_MS);
    occurred.note("zone cut off");
  });
}
