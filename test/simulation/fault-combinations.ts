import { storeLeaseTtlMs } from "../../src/coordination/leadership/store-lease-ttl.js";
import {
  cancel,
  askAllControllers,
  malformedRequest,
  pipelines,
  randomJob,
  submit,
  submitWorkload,
} from "./workloads.js";
import type { SimWorker } from "./machine.js";
import type { Rng } from "./rng.js";
import { World } from "./world.js";

/**
 * Workloads with combinations of injected faults. A workload is a seed and a list of faults, so that a failure can be replayed with
 * fewer faults. A combination is counted when it is observed during the run, not when it is drawn.
 */

const BASIC_KINDS = [
  "refuse", // the state service refuses one controller
  "cutOff", // one controller loses state service and peers
  "outage",
  "slow", // the state service answers slowly
  "lateWrites", // transactions without a reply, applied late
  "writesHeld", // delays the writes of one controller
  "readsHeld",
  "copies", // duplicated heartbeats
  "crash",
  "crashAll",
  "atOnce", // a crash with an immediate restart
  "fromWorkers", // cuts one controller off from all workers
  "freeze", // pauses one controller
  "lost", // cuts machines off from all controllers
  "deaf", // machines that send, but receive nothing
  "hang",
  "machines", // restarts machines
  "zone", // cuts a zone off
  "storm", // eight times as many queries
  "cancel",
] as const;
/** The remaining fault kinds of the operators' list. */
const EXTENDED_KINDS = [
  "mute", // machines that can't connect to a controller
  "lostAnswers", // lost replies to applied transactions
  "forNext", // replays heartbeats to the next leader
  "atEnd", // requests right after a job's last task
  "concurrentQueries",
  "malformedRequests",
  "roll", // crashes the busiest controller ten times
  "quickBoots",
  "burst", // one-task jobs, four per second
  "settings", // fewer controllers or lower limits
] as const;
export type FaultKind =
  (typeof BASIC_KINDS)[number] | (typeof EXTENDED_KINDS)[number];

export interface InjectedFault {
  kind: FaultKind;
  atMs: number;
  forMs: number;
  /** Index of the controller in `World.names`; -1: the controller that leads most machines with tasks. */
  node: number;
  /** The fraction of machines, transactions, heartbeats or jobs that is affected. */
  share: number;
}

/** How often each combination of the operators' first list occurred. */
export interface FaultCombinationCounts {
  /** Failovers of a partition while a machine with tasks was out of reach. */
  failoversWithUnreachableMachines: number;
  /** Commands that were applied more than a second after they were sent. */
  lateCommands: number;
  /** Transactions without a reply that were applied late. */
  lateCommits: number;
  /** Duplicated heartbeats that arrived late at a controller. */
  lateHeartbeats: number;
  /** Failovers to a controller that had led the partition before. */
  returnsToFormerLeader: number;
  /** Failovers while one of the first two tasks of an array was done and the other was not. */
  failoversWithPartlyDoneJobs: number;
  /** Tasks on machines when their cancellation was confirmed, while a controller was cut off from state service and peers. */
  cancellationsDuringCut: number;
  /** The same, while the state service was cut off from a controller or had been within the last 0.5 s. */
  cancellationsDuringRefusal: number;
}
export const NO_COUNTS: FaultCombinationCounts = {
  failoversWithUnreachableMachines: 0,
  lateCommands: 0,
  lateCommits: 0,
  lateHeartbeats: 0,
  returnsToFormerLeader: 0,
  failoversWithPartlyDoneJobs: 0,
  cancellationsDuringCut: 0,
  cancellationsDuringRefusal: 0,
};

/** The same, with the combinations of the extended fault kinds. */
export interface AllFaultCombinationCounts extends FaultCombinationCounts {
  /** Direct commands applied by machines that could not connect to any controller. */
  commandsToMuteMachines: number;
  /** Transactions that were applied at once but whose reply was lost. */
  lostCommitReplies: number;
  /** Kept heartbeats delivered to all controllers within 0.5 s after a failover of their partition. */
  replayedHeartbeats: number;
  /** Times that a job was cancelled, queried or submitted again within 0.3 s after its last task completed. */
  requestsAtJobEnd: number;
  /** Times that users queried all controllers right after they were told a new job state. */
  concurrentQueries: number;
  /** Rounds of requests that must be rejected or repeat an earlier request. */
  malformedRequests: number;
  /** Failovers that were at least the tenth of their partition within two minutes. */
  tenthFailovers: number;
  /** Machines added during the run that got their first task within 5 s after they were rented. */
  quickBoots: number;
  /** One-task jobs submitted at four per second. */
  burstJobs: number;
  /** Cancellations confirmed while their team was within 5 CPUs of its limit and a machine with its tasks was out of reach. */
  cancellationsAtLimit: number;
  /** Controllers restarted one after the other with changed settings. */
  settingsChanges: number;
  /** Controllers removed for good. */
  removedControllers: number;
  /** Times that every controller was down or paused for longer than a worker lease. */
  allControllersDown: number;
}
const NO_EXTENDED_COUNTS: AllFaultCombinationCounts = {
  ...NO_COUNTS,
  commandsToMuteMachines: 0,
  lostCommitReplies: 0,
  replayedHeartbeats: 0,
  requestsAtJobEnd: 0,
  concurrentQueries: 0,
  malformedRequests: 0,
  tenthFailovers: 0,
  quickBoots: 0,
  burstJobs: 0,
  cancellationsAtLimit: 0,
  settingsChanges: 0,
  removedControllers: 0,
  allControllersDown: 0,
};
export const zeroCounts = (): AllFaultCombinationCounts => ({
  ...NO_EXTENDED_COUNTS,
});

const controllerCount = (seed: number): number => (seed % 7) + 1;

/** The controller whose partitions have most machines with tasks. */
function busiestNode(world: World): string {
  const busyMachines = (name: string): number =>
    [...(world.nodes.get(name)?.core.leaders.values() ?? [])].reduce(
      (sum, m) =>
        sum +
        [...m.state.workers.values()].filter((x) => x.tasks.size > 0).length,
      0,
    );
  return world.names.reduce(
    (best, name) => (busyMachines(name) > busyMachines(best) ? name : best),
    world.names[0]!,
  );
}

const hasTasks = (m: SimWorker): boolean =>
  !m.gone && [...m.tasks.values()].some((t) => m.occupiesMachine(t));

function inject(
  w: World,
  f: InjectedFault,
  counts: AllFaultCombinationCounts = zeroCounts(),
): void {
  const r = w.rng;
  const node = f.node < 0 ? busiestNode(w) : w.names[f.node % w.names.length]!;
  const whenOver = (fn: () => void): void => w.at(f.forMs, fn);
  const drawMachines = (): SimWorker[] =>
    w.workers.filter((m) => !m.gone && r.chance(f.share));
  w.note(`injected fault ${f.kind}`, { node, forMs: f.forMs, share: f.share });
  switch (f.kind) {
    case "refuse":
      w.stateCut.set(node, "refused");
      return whenOver(() => w.stateCut.delete(node));
    case "writesHeld":
    case "readsHeld":
      w.stateCut.set(node, f.kind === "writesHeld" ? "writes" : "reads");
      return whenOver(() => w.stateCut.delete(node));
    case "cutOff":
      w.stateCut.set(node, r.pick(["refused", "held"] as const));
      w.meshCuts.add(node);
      return whenOver(() => {
        w.stateCut.delete(node);
        w.meshCuts.delete(node);
      });
    case "outage":
      w.stateDown = true;
      return whenOver(() => {
        w.stateDown = false;
        w.state.restart();
      });
    case "slow":
      w.stateLatencyMs = 3_000 * f.share;
      return whenOver(() => (w.stateLatencyMs = 0));
    case "lateWrites":
      w.lateCommitRate = f.share;
      return whenOver(() => (w.lateCommitRate = 0));
    case "copies":
      w.duplicatedHeartbeatRate = f.share;
      return whenOver(() => (w.duplicatedHeartbeatRate = 0));
    case "crash":
      w.crash(node);
      return whenOver(() => {
        if (!w.nodes.get(node)) w.boot(node);
      });
    case "crashAll":
      for (const n of w.names) w.crash(n);
      for (const n of w.names)
        w.at(f.forMs * r.real(0.2, 1), () => w.nodes.get(n) ?? w.boot(n));
      return;
    case "atOnce":
      w.crash(node);
      return w.at(r.real(50, 500), () => w.nodes.get(node) ?? w.boot(node));
    case "fromWorkers":
      for (const m of w.workers) m.cut.add(node);
      return whenOver(() => w.workers.forEach((m) => m.cut.delete(node)));
    case "freeze":
      return w.freeze(node, f.forMs);
    case "lost": {
      const machines = drawMachines();
      for (const m of machines) for (const n of w.names) m.cut.add(n);
      return whenOver(() => machines.forEach((m) => m.cut.clear()));
    }
    case "deaf": {
      const machines = drawMachines();
      for (const m of machines) m.oneWay = true;
      return whenOver(() => machines.forEach((m) => (m.oneWay = false)));
    }
    case "hang": {
      const machines = drawMachines();
      for (const m of machines) m.hung = true;
      return whenOver(() => {
        for (const m of machines) {
          m.hung = false;
          m.expire();
        }
      });
    }
    case "machines":
      for (const m of drawMachines()) if (m.up) m.restart(r.real(50, 800));
      return;
    case "zone":
      return w.cutZone(r.pick(w.zones), f.forMs);
    case "mute": {
      const machines = drawMachines();
      for (const m of machines) m.isMute = true;
      return whenOver(() => machines.forEach((m) => (m.isMute = false)));
    }
    case "lostAnswers":
      w.lostCommitReplyRate = f.share;
      return whenOver(() => (w.lostCommitReplyRate = 0));
    case "forNext":
      w.keptHeartbeatRate = f.share;
      return whenOver(() => (w.keptHeartbeatRate = 0));
    case "atEnd":
      w.onJobEnded = (id) => {
        if (!r.chance(f.share)) return;
        counts.requestsAtJobEnd++;
        const action = r.int(0, 2);
        w.at(r.real(0, 300), () =>
          action === 0
            ? cancel(w, id)
            : action === 1
              ? askAllControllers(w, id)
              : submit(w, w.specs.get(id)!, -1e9),
        );
      };
      return whenOver(() => (w.onJobEnded = null));
    case "concurrentQueries":
      w.checker.onStateTold = (id, status) => {
        counts.concurrentQueries++;
        askAllControllers(w, id);
        if (status === "accepted" && r.chance(0.2))
          w.at(r.real(0, 100), () => cancel(w, id));
      };
      return whenOver(() => (w.checker.onStateTold = null));
    case "malformedRequests":
      for (let n = 0; n * 400 < f.forMs; n++)
        w.at(n * 400, () => {
          counts.malformedRequests++;
          malformedRequest(w, counts.malformedRequests);
        });
      return;
    case "roll":
      for (let n = 0; n < 10; n++)
        w.at((n * f.forMs) / 10, () => {
          const leader = busiestNode(w);
          w.crash(leader);
          w.at(r.real(100, 3_000), () => w.nodes.get(leader) ?? w.boot(leader));
        });
      return;
    case "quickBoots":
      w.bootFactor = 0.05;
      return whenOver(() => (w.bootFactor = 1));
    case "burst":
      for (let n = 0; n * 250 < Math.min(f.forMs, 30_000); n++)
        w.at(n * 250, () => {
          const spec = {
            ...randomJob(w, 600_000 + ++counts.burstJobs),
            kind: "array" as const,
            tasks: 1,
            cpus: 1,
            gpus: 0,
            machineTypes: null,
            zone: null,
            samePlace: false,
            spread: false,
          };
          w.specs.set(spec.id, spec);
          submit(w, spec, w.now);
          if (r.chance(0.25))
            w.at(
              r.real(0, 8_000),
              () => w.checker.toldStates.has(spec.id) && cancel(w, spec.id),
            );
        });
      return;
    case "settings": {
      if (w.teamLimits !== null) return;
      w.teamLimits = w.settings.teams;
      if (f.share > 0.5 && w.names.length > 2) {
        // Removes one controller for good; the others keep the former settings until their restart.
        counts.removedControllers++;
        w.crash(w.names.at(-1)!);
        w.reconfigure(w.names.slice(0, -1), w.settings.teams);
      }
      // Lowers the limits. Running tasks continue, so the former limits are checked until 40 s after the last restart.
      else
        w.reconfigure(
          w.names,
          new Map(
            [...w.settings.teams].map(([name, team]) => [
              name,
              {
                ...team,
                cpus: Math.min(team.cpus, team.cpusMax * 0.6),
                cpusMax: team.cpusMax * 0.6,
              },
            ]),
          ),
        );
      w.names.forEach((n, i) =>
        w.at((f.forMs / w.names.length) * i, () => {
          counts.settingsChanges++;
          w.crash(n);
          w.at(r.real(100, 2_000), () => w.nodes.get(n) ?? w.boot(n));
        }),
      );
      return w.at(f.forMs + 40_000, () => (w.teamLimits = null));
    }
    case "storm":
      w.queryRate = 8;
      return whenOver(() => (w.queryRate = 1));
    case "cancel":
      for (const [id, told] of [...w.checker.toldStates])
        if (told === "accepted" && r.chance(f.share))
          w.at(r.real(0, f.forMs), () => cancel(w, id));
  }
}

/** Counts the combinations that occur, from the records of the state service, the machines and the answers to users. */
function countCombinations(
  world: World,
  counts: AllFaultCombinationCounts,
): void {
  const owners = new Map<
    string,
    {
      owner: string;
      version: number;
      formerOwners: Set<string>;
      changedMs: number[];
    }
  >();
  const machinesWithTasks = new Set<SimWorker>();
  let allDownSinceMs = 0;
  let isAllDownCounted = false;
  let countedCancellations = 0;
  let gapUntilMs = -Infinity;
  world.every(50, () => {
    for (const [key, record] of world.state.data) {
      const partition = /^lc\/now\/group\/(.*)$/.exec(key)?.[1];
      if (partition === undefined) continue;
      const { owner } = record.value as { owner: string };
      const previous = owners.get(partition);
      if (previous?.version === record.version) continue;
      if (previous) {
        const keptOfPartition = world.keptHeartbeats.filter(
          (r) =>
            world.nodes.get(owner)?.core.partitions.partitionOf(r.zone) ===
            partition,
        );
        if (keptOfPartition.length > 0) {
          world.keptHeartbeats = world.keptHeartbeats.filter(
            (r) => !keptOfPartition.includes(r),
          );
          for (const heartbeat of keptOfPartition.slice(-20))
            for (const name of world.names)
              world.at(world.rng.real(0, 500), () => {
                counts.replayedHeartbeats++;
                world.heartbeat(name, structuredClone(heartbeat), () => {});
              });
        }
        previous.changedMs.push(world.now);
        if (
          previous.changedMs.filter((ms) => ms > world.now - 120_000).length >=
          10
        )
          counts.tenthFailovers++;
        if (
          world.workers.some(
            (m) =>
              hasTasks(m) && (m.cut.size > 0 || m.oneWay || m.hung || m.isMute),
          )
        )
          counts.failoversWithUnreachableMachines++;
        if (previous.formerOwners.has(owner)) counts.returnsToFormerLeader++;
        if (
          [...world.specs.values()].some(
            (spec) =>
              spec.kind === "array" &&
              spec.tasks > 1 &&
              world.checker.toldStates.get(spec.id) === "accepted" &&
              world.results.has(`${spec.id}/0`) !==
                world.results.has(`${spec.id}/1`),
          )
        )
          counts.failoversWithPartlyDoneJobs++;
      }
      owners.set(partition, {
        owner,
        version: record.version,
        formerOwners: (previous?.formerOwners ?? new Set<string>()).add(owner),
        changedMs: previous?.changedMs ?? [],
      });
    }
    if (world.stateCut.size > 0) gapUntilMs = world.now + 500;
    const cancellations = world.checker.tasksRunningAtCancellation;
    if (cancellations > countedCancellations) {
      if (world.now < gapUntilMs)
        counts.cancellationsDuringRefusal +=
          cancellations - countedCancellations;
      if ([...world.stateCut.keys()].some((n) => world.meshCuts.has(n)))
        counts.cancellationsDuringCut += cancellations - countedCancellations;
    }
    countedCancellations = cancellations;
    const isAllDown = world.names.every(
      (n) => !world.nodes.get(n) || world.nodes.get(n)!.pausedWork,
    );
    if (!isAllDown) allDownSinceMs = world.now;
    if (
      isAllDown &&
      !isAllDownCounted &&
      world.now - allDownSinceMs > 1000 * world.settings.leaseS
    )
      counts.allControllersDown++;
    isAllDownCounted =
      isAllDown && world.now - allDownSinceMs > 1000 * world.settings.leaseS;
    for (const machine of world.workers)
      if (!machinesWithTasks.has(machine) && machine.tasks.size > 0) {
        machinesWithTasks.add(machine);
        if (machine.bornMs > 1_000 && world.now - machine.bornMs < 5_000)
          counts.quickBoots++;
      }
    counts.commandsToMuteMachines = world.commandsToMuteMachines;
    counts.lostCommitReplies = world.lostCommitReplies;
    counts.lateCommits = world.lateCommits;
    counts.lateHeartbeats = world.lateHeartbeats;
    counts.lateCommands = world.lateCommands;
  });
}

export interface PlayedWorkload {
  world: World;
  occurred: AllFaultCombinationCounts;
}

/** How unreliable the network is throughout a workload, beside its drawn faults. */
export interface Network {
  /** Fraction of the messages between controllers and machines that are lost and retransmitted. */
  retransmissionRate?: number;
  /** Fraction of the requests of each kind that are delivered once more after they were carried out. */
  copyRate?: number;
}

/** A world with 1 to 7 controllers and machines that are up from the start. */
function startWorkload(
  seed: number,
  runFactor: number,
  { retransmissionRate = 0, copyRate = 0 }: Network = {},
): PlayedWorkload {
  const world = new World(seed, undefined, [], controllerCount(seed));
  world.retransmissionRate = retransmissionRate;
  world.copies.setRate(copyRate);
  const counts = zeroCounts();
  world.capacity = 6;
  world.runFactor = runFactor;
  world.relaysStoreCalls = true;
  for (const z of world.zones)
    for (let i = 0; i < 3; i++) world.cloud.add(world.types[0]!, z, false, 0);
  countCombinations(world, counts);
  return { world, occurred: counts };
}

/** When the last injected fault has ended. */
const FAULTS_END_MS = 120_000;

/** Plays a workload with these faults, which end within 120 s. A job with no answered query for the 75 s up to 200 s is forgotten. */
export function playBasic(
  seed: number,
  faults: readonly InjectedFault[],
  network: Network = {},
): PlayedWorkload {
  const { world, occurred: counts } = startWorkload(
    seed,
    seed % 2 === 0 ? 4 : 1,
    network,
  );
  submitWorkload(world, 95_000);
  if (seed % 3 === 0) pipelines(world, 5_000, 90_000);
  for (const fault of faults)
    world.at(fault.atMs, () => inject(world, fault, counts));
  world.at(FAULTS_END_MS + 80_000, () =>
    world.checker.checkNoneForgotten(FAULTS_END_MS + 5_000),
  );
  world.run(FAULTS_END_MS + 85_000);
  return { world, occurred: counts };
}

/**
 * The same for all fault kinds, in every third workload with limits that the teams reach. It runs long enough after the last fault to
 * detect jobs that are left waiting.
 */
export function playExtended(
  seed: number,
  faults: readonly InjectedFault[],
  network: Network = {},
): PlayedWorkload {
  const { world, occurred: counts } = startWorkload(
    seed,
    seed % 2 === 0 ? 4 : 1,
    network,
  );
  if (seed % 3 === 1) {
    world.settings.teams = new Map(
      [...world.settings.teams].map(([name, team]) => [
        name,
        { ...team, cpus: 10, cpusMax: name === "red" ? 18 : 26 },
      ]),
    );
    world.bootAll();
  }
  const seenCancellations = new Set<string>();
  world.every(250, () => {
    for (const [id, told] of world.checker.toldStates) {
      if (told !== "cancelled" || seenCancellations.has(id)) continue;
      seenCancellations.add(id);
      const { team } = world.specs.get(id)!;
      let usedCpus = 0;
      let isAnyUnreachable = false;
      for (const machine of world.workers)
        if (!machine.gone)
          for (const task of machine.tasks.values())
            if (
              task.state !== "exited" &&
              world.specs.get(task.job)!.team === team
            ) {
              usedCpus += world.specs.get(task.job)!.cpus;
              isAnyUnreachable ||=
                machine.cut.size > 0 ||
                machine.hung ||
                machine.oneWay ||
                machine.isMute;
            }
      if (
        isAnyUnreachable &&
        usedCpus >
          (world.teamLimits ?? world.settings.teams).get(team)!.cpusMax - 5
      )
        counts.cancellationsAtLimit++;
    }
  });
  submitWorkload(world, 95_000, (target, jobNumber) => {
    // Keeps jobs within 60% of the team's limit, since a larger gang would rightly be rejected.
    const spec = randomJob(target, jobNumber);
    return spec.kind === "array"
      ? spec
      : {
          ...spec,
          tasks: Math.min(
            spec.tasks,
            Math.max(
              1,
              Math.floor(
                (0.6 * world.settings.teams.get(spec.team)!.cpusMax) /
                  spec.cpus,
              ),
            ),
          ),
        };
  });
  if (seed % 4 === 0) pipelines(world, 5_000, 90_000);
  for (const fault of faults)
    world.at(fault.atMs, () => inject(world, fault, counts));
  world.at(FAULTS_END_MS, () =>
    world.every(1_000, () => world.checker.checkNoneLeftWaiting()),
  );
  world.at(FAULTS_END_MS + 80_000, () =>
    world.checker.checkNoneForgotten(FAULTS_END_MS + 5_000),
  );
  world.run(FAULTS_END_MS + 110_000);
  return { world, occurred: counts };
}

/** Draws one or two clusters of two to four faults; four kinds around state service and cancellations are drawn more often. */
export function drawBasicFaults(seed: number): InjectedFault[] {
  return drawFaultList(seed, 4, (rng) =>
    rng.chance(0.3)
      ? rng.pick(["refuse", "outage", "lateWrites", "cancel"] as const)
      : rng.pick(BASIC_KINDS),
  );
}
/** Draws one or two clusters of two to five faults, about half of them of the extended kinds. */
export function drawExtendedFaults(seed: number): InjectedFault[] {
  return drawFaultList(seed, 5, (rng) =>
    rng.chance(0.45)
      ? rng.pick(EXTENDED_KINDS)
      : rng.chance(0.3)
        ? rng.pick([
            "refuse",
            "outage",
            "lateWrites",
            "cancel",
            "crash",
            "atOnce",
          ] as const)
        : rng.pick(BASIC_KINDS),
  );
}
/** Kinds that last 15 to 60 s; the others last 0.5 to 40 s. */
const LONG_KINDS: readonly FaultKind[] = [
  "lateWrites",
  "copies",
  "lostAnswers",
  "forNext",
  "atEnd",
  "concurrentQueries",
  "roll",
];
function drawFaultList(
  seed: number,
  maxFaults: number,
  drawKind: (r: Rng) => FaultKind,
): InjectedFault[] {
  const rng = new World(seed ^ 0x5eed, undefined, [], 1).rng;
  const faults: InjectedFault[] = [];
  for (let n = rng.int(1, 2); n > 0; n--) {
    const clusterMs = rng.real(12_000, 75_000);
    for (let k = rng.int(2, maxFaults); k > 0; k--) {
      const kind = drawKind(rng);
      const atMs = clusterMs + rng.real(0, 4_000);
      faults.push({
        kind,
        atMs,
        forMs: Math.min(
          FAULTS_END_MS - atMs,
          LONG_KINDS.includes(kind)
            ? rng.real(15_000, 60_000)
            : rng.real(500, 40_000),
        ),
        node: rng.chance(0.6) ? -1 : rng.int(0, 6),
        share: rng.pick([0.1, 0.3, 0.6]),
      });
    }
  }
  return faults.sort((a, b) => a.atMs - b.atMs);
}

/** Leaves out one fault after the other as long as a rule still breaks, and returns the remaining faults. */
export function shrink(
  seed: number,
  faults: readonly InjectedFault[],
  runFaults: typeof playBasic = playBasic,
): InjectedFault[] {
  let remaining = [...faults];
  for (let i = 0; i < remaining.length;) {
    const fewer = remaining.filter((_, k) => k !== i);
    if (runFaults(seed, fewer).world.checker.brokenRules.length > 0)
      remaining = fewer;
    else i++;
  }
  return remaining;
}

/** How long before the refusal the earliest faults around its start begin. */
const EDGE_MS = 13_500;

/**
 * The combination with the highest test priority. The state service refuses only the busiest leader, whose calls a peer may relay;
 * other controllers confirm cancellations; within 2.5 s the service is down for all, for longer than `cancel_s`, while workers go on
 * sending heartbeats to the old leader. Around the start of the refusal the leader pauses with replies under way to it, its lease
 * renewals are delayed, or the service is slow. Every second workload has this twice in a row.
 */
export function playCancellationGap(seed: number): PlayedWorkload {
  const { world, occurred: counts } = startWorkload(seed, 8);
  const rng = world.rng;
  submitWorkload(world, 60_000, (target, jobNumber) => ({
    ...randomJob(target, jobNumber),
    cpus: target.rng.pick([1, 2]),
    gpus: 0,
    machineTypes: null,
    zone: null,
    deadlineS: null,
  }));
  let refusalMs = rng.real(18_000, 26_000);
  for (let n = (seed % 2) + 1; n > 0; n--) {
    const defaults = { node: -1, share: 0.7 };
    const untilOutageMs = rng.real(300, 2_500);
    const downMs = 1000 * world.settings.cancelS + rng.real(1_000, 12_000);
    world.at(refusalMs - EDGE_MS, () => {
      // All faults hit the same controller: the busiest leader shortly before the refusal.
      const node = world.names.indexOf(busiestNode(world));
      const injectAt = (
        kind: FaultKind,
        delayMs: number,
        forMs: number,
        share = defaults.share,
      ): void =>
        world.at(EDGE_MS + delayMs, () =>
          inject(world, { kind, atMs: world.now, forMs, node, share }),
        );
      // Delays only its writes, such as store lease renewals, for nearly as long as a store lease lasts, or only its reads.
      const edge = rng.pick([
        "none",
        "none",
        "writesHeld",
        "readsHeld",
      ] as const);
      if (edge === "writesHeld")
        injectAt(edge, -rng.real(9_000, EDGE_MS), EDGE_MS);
      if (edge === "readsHeld") injectAt(edge, 0, untilOutageMs + downMs);
      else
        injectAt(
          rng.pick(["cutOff", "refuse"] as const),
          0,
          rng.real(untilOutageMs, 14_000),
        );
      // Pauses it while replies to lease renewals and reads are under way to it.
      if (rng.chance(0.5))
        injectAt("slow", -3_000, 3_000 + untilOutageMs, 0.45);
      if (rng.chance(0.5))
        injectAt(
          "freeze",
          rng.real(-2_000, untilOutageMs),
          rng.real(3_000, 9_000),
        );
      // Pauses it between a decision and the sending, so that its leadership lease ends meanwhile.
      if (rng.chance(0.6))
        injectAt(
          "freeze",
          rng.real(0.7, 0.95) * storeLeaseTtlMs(world.settings),
          rng.real(4_000, 9_000),
        );
      if (rng.chance(0.3))
        injectAt(
          "freeze",
          untilOutageMs + downMs + rng.real(-1_000, 500),
          rng.real(500, 5_000),
        );
      injectAt("cancel", 0, untilOutageMs);
      injectAt("outage", untilOutageMs, downMs);
    });
    refusalMs += untilOutageMs + downMs + rng.real(6_000, 14_000);
  }
  world.at(refusalMs + 80_000, () =>
    world.checker.checkNoneForgotten(refusalMs + 5_000),
  );
  world.run(refusalMs + 85_000);
  return { world, occurred: counts };
}
