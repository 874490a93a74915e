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
 * Workloads with combinations of injected faults. A workload is a seed and a list of faults, so that what broke a rule can be played
 * again with fewer of them. Each combination is counted by what really happened: a workload in which it did not occur counts for nothing.
 */

const KINDS = [
  "refuse",
  "cutOff",
  "outage",
  "slow",
  "lateWrites",
  "writesHeld",
  "readsHeld",
  "copies",
  "crash",
  "crashAll",
  "atOnce",
  "fromWorkers",
  "freeze",
  "lost",
  "deaf",
  "hang",
  "machines",
  "zone",
  "storm",
  "cancel",
] as const;
/** The rest of what the operators name. */
const REST = [
  "mute",
  "lostAnswers",
  "forNext",
  "atEnd",
  "concurrentQueries",
  "malformedRequests",
  "roll",
  "quickBoots",
  "burst",
  "settings",
] as const;
export type FaultKind = (typeof KINDS)[number] | (typeof REST)[number];

export interface InjectedFault {
  kind: FaultKind;
  atMs: number;
  forMs: number;
  /** Which controller, by its place among the names; -1: the one that leads, that is has most machines with tasks. */
  node: number;
  /** Of machines, transactions or jobs. */
  share: number;
}

/** How often each combination that the operators' letter names really occurred. */
export interface FaultCombinationCounts {
  /** A group changed hands while machines with tasks could not be reached or heard nothing. */
  unreached: number;
  /** Commands that were carried out more than a second after they were sent. */
  lateCommands: number;
  /** Transactions without an answer that were carried out late. */
  lateWrites: number;
  /** Copies of reports that came late to a controller. */
  lateReports: number;
  /** A group went back to a controller that had it before. */
  back: number;
  /** A group changed hands while a job had tasks that were done and others that were not. */
  apart: number;
  /** Cancellations confirmed with tasks on machines while a controller was cut from state service and peers. */
  cutCancels: number;
  /** The same while the state service refused a controller or was down shortly after. */
  gapCancels: number;
}
export const NO_COUNTS: FaultCombinationCounts = {
  unreached: 0,
  lateCommands: 0,
  lateWrites: 0,
  lateReports: 0,
  back: 0,
  apart: 0,
  cutCancels: 0,
  gapCancels: 0,
};

/** The same of the rest. */
export interface AllFaultCombinationCounts extends FaultCombinationCounts {
  /** Commands with orders that reached a machine which could not report. */
  mute: number;
  /** Transactions that were carried out at once and of which only the answer was lost. */
  lostAnswers: number;
  /** Copies of reports that came to all controllers within half a second after their group changed hands. */
  forNext: number;
  /** Cancellations and questions asked within 0.3 s of the completion of a job's last task. */
  atEnd: number;
  /** Times that users asked at all controllers right after they were told something. */
  concurrentQueries: number;
  /** Requests that could only be refused, or repeated what was known. */
  malformedRequests: number;
  /** Changes of the leader's groups by which a group had changed hands ten times within two minutes. */
  tenTimes: number;
  /** Machines that were up within 2 s and began a task within 3 s more. */
  quick: number;
  /** One-task jobs submitted four a second. */
  burst: number;
  /** Cancellations confirmed while their team was at its limit and one of its machines was out of reach. */
  atLimit: number;
  /** Controllers that came up with other limits while another went by the former ones. */
  settings: number;
  /** Controllers that were taken away for good. */
  removed: number;
  /** Times that no controller was up, or none stood, for longer than a lease. */
  allAway: number;
}
const NO_EXTENDED_COUNTS: AllFaultCombinationCounts = {
  ...NO_COUNTS,
  mute: 0,
  lostAnswers: 0,
  forNext: 0,
  atEnd: 0,
  concurrentQueries: 0,
  malformedRequests: 0,
  tenTimes: 0,
  quick: 0,
  burst: 0,
  atLimit: 0,
  settings: 0,
  removed: 0,
  allAway: 0,
};
export const noFaultCombinations = (): AllFaultCombinationCounts => ({
  ...NO_EXTENDED_COUNTS,
});

const controllersOf = (seed: number): number => (seed % 7) + 1;

/** The controller on whose groups most machines with tasks are. */
function leader(w: World): string {
  const n = (name: string): number =>
    [...(w.nodes.get(name)?.core.leaders.values() ?? [])].reduce(
      (sum, m) =>
        sum +
        [...m.state.workers.values()].filter((x) => x.tasks.size > 0).length,
      0,
    );
  return w.names.reduce(
    (best, name) => (n(name) > n(best) ? name : best),
    w.names[0]!,
  );
}

const busy = (m: SimWorker): boolean =>
  !m.gone && [...m.tasks.values()].some((t) => m.onMachine(t));

function begin(
  w: World,
  t: InjectedFault,
  met: AllFaultCombinationCounts = noFaultCombinations(),
): void {
  const r = w.rng;
  const node = t.node < 0 ? leader(w) : w.names[t.node % w.names.length]!;
  const over = (fn: () => void): void => w.at(t.forMs, fn);
  const some = (): SimWorker[] =>
    w.workers.filter((m) => !m.gone && r.chance(t.share));
  w.note(`injected fault ${t.kind}`, { node, forMs: t.forMs, share: t.share });
  switch (t.kind) {
    case "refuse":
      w.stateCut.set(node, "refused");
      return over(() => w.stateCut.delete(node));
    case "writesHeld":
    case "readsHeld":
      w.stateCut.set(node, t.kind === "writesHeld" ? "writes" : "reads");
      return over(() => w.stateCut.delete(node));
    case "cutOff":
      w.stateCut.set(node, r.pick(["refused", "held"] as const));
      w.meshCuts.add(node);
      return over(() => {
        w.stateCut.delete(node);
        w.meshCuts.delete(node);
      });
    case "outage":
      w.stateDown = true;
      return over(() => {
        w.stateDown = false;
        w.state.restart();
      });
    case "slow":
      w.stateSlow = 3_000 * t.share;
      return over(() => (w.stateSlow = 0));
    case "lateWrites":
      w.lateWrites = t.share;
      return over(() => (w.lateWrites = 0));
    case "copies":
      w.duplicatedHeartbeats = t.share;
      return over(() => (w.duplicatedHeartbeats = 0));
    case "crash":
      w.crash(node);
      return over(() => {
        if (!w.nodes.get(node)) w.boot(node);
      });
    case "crashAll":
      for (const n of w.names) w.crash(n);
      for (const n of w.names)
        w.at(t.forMs * r.real(0.2, 1), () => w.nodes.get(n) ?? w.boot(n));
      return;
    case "atOnce":
      w.crash(node);
      return w.at(r.real(50, 500), () => w.nodes.get(node) ?? w.boot(node));
    case "fromWorkers":
      for (const m of w.workers) m.cut.add(node);
      return over(() => w.workers.forEach((m) => m.cut.delete(node)));
    case "freeze":
      return w.freeze(node, t.forMs);
    case "lost": {
      const all = some();
      for (const m of all) for (const n of w.names) m.cut.add(n);
      return over(() => all.forEach((m) => m.cut.clear()));
    }
    case "deaf": {
      const all = some();
      for (const m of all) m.oneWay = true;
      return over(() => all.forEach((m) => (m.oneWay = false)));
    }
    case "hang": {
      const all = some();
      for (const m of all) m.hung = true;
      return over(() => {
        for (const m of all) {
          m.hung = false;
          m.expire();
        }
      });
    }
    case "machines":
      for (const m of some()) if (m.up) m.restart(r.real(50, 800));
      return;
    case "zone":
      return w.cutZone(r.pick(w.zones), t.forMs);
    case "mute": {
      const all = some();
      for (const m of all) m.isMute = true;
      return over(() => all.forEach((m) => (m.isMute = false)));
    }
    case "lostAnswers":
      w.lostAnswers = t.share;
      return over(() => (w.lostAnswers = 0));
    case "forNext":
      w.forNext = t.share;
      return over(() => (w.forNext = 0));
    case "atEnd":
      w.jobEnded = (id) => {
        if (!r.chance(t.share)) return;
        met.atEnd++;
        const what = r.int(0, 2);
        w.at(r.real(0, 300), () =>
          what === 0
            ? cancel(w, id)
            : what === 1
              ? askAllControllers(w, id)
              : submit(w, w.specs.get(id)!, -1e9),
        );
      };
      return over(() => (w.jobEnded = null));
    case "concurrentQueries":
      w.checker.onTold = (id, now) => {
        met.concurrentQueries++;
        askAllControllers(w, id);
        if (now === "accepted" && r.chance(0.2))
          w.at(r.real(0, 100), () => cancel(w, id));
      };
      return over(() => (w.checker.onTold = null));
    case "malformedRequests":
      for (let n = 0; n * 400 < t.forMs; n++)
        w.at(n * 400, () => {
          met.malformedRequests++;
          malformedRequest(w, met.malformedRequests);
        });
      return;
    case "roll":
      for (let n = 0; n < 10; n++)
        w.at((n * t.forMs) / 10, () => {
          const now = leader(w);
          w.crash(now);
          w.at(r.real(100, 3_000), () => w.nodes.get(now) ?? w.boot(now));
        });
      return;
    case "quickBoots":
      w.bootFactor = 0.05;
      return over(() => (w.bootFactor = 1));
    case "burst":
      for (let n = 0; n * 250 < Math.min(t.forMs, 30_000); n++)
        w.at(n * 250, () => {
          const spec = {
            ...randomJob(w, 600_000 + ++met.burst),
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
              () => w.checker.told.has(spec.id) && cancel(w, spec.id),
            );
        });
      return;
    case "settings": {
      if (w.teamLimits !== null) return;
      w.teamLimits = w.settings.teams;
      if (t.share > 0.5 && w.names.length > 2) {
        // One controller fewer, for good, while those that were not started again yet go by the former settings.
        met.removed++;
        w.crash(w.names.at(-1)!);
        w.reconfigure(w.names.slice(0, -1), w.settings.teams);
      }
      // Lowered; what runs goes on, and until all go by it and have had time to end something the former limits are the rule.
      else
        w.reconfigure(
          w.names,
          new Map(
            [...w.settings.teams].map(([n, x]) => [
              n,
              {
                ...x,
                cpus: Math.min(x.cpus, x.cpusMax * 0.6),
                cpusMax: x.cpusMax * 0.6,
              },
            ]),
          ),
        );
      w.names.forEach((n, i) =>
        w.at((t.forMs / w.names.length) * i, () => {
          met.settings++;
          w.crash(n);
          w.at(r.real(100, 2_000), () => w.nodes.get(n) ?? w.boot(n));
        }),
      );
      return w.at(t.forMs + 40_000, () => (w.teamLimits = null));
    }
    case "storm":
      w.queryRate = 8;
      return over(() => (w.queryRate = 1));
    case "cancel":
      for (const [id, told] of [...w.checker.told])
        if (told === "accepted" && r.chance(t.share))
          w.at(r.real(0, t.forMs), () => cancel(w, id));
  }
}

/** Counts what meets, by looking at what the state service, the machines and the users have. */
function watch(w: World, met: AllFaultCombinationCounts): void {
  const owners = new Map<
    string,
    { owner: string; version: number; had: Set<string>; changedMs: number[] }
  >();
  const begun = new Set<SimWorker>();
  let awaySinceMs = 0;
  let toldAway = false;
  let confirmed = 0;
  let gapUntilMs = -Infinity;
  w.every(50, () => {
    for (const [key, d] of w.state.data) {
      const partition = /^lc\/now\/group\/(.*)$/.exec(key)?.[1];
      if (partition === undefined) continue;
      const { owner } = d.value as { owner: string };
      const o = owners.get(partition);
      if (o?.version === d.version) continue;
      if (o) {
        const mine = w.kept.filter(
          (r) =>
            w.nodes.get(owner)?.core.partitions.partitionOf(r.zone) ===
            partition,
        );
        if (mine.length > 0) {
          w.kept = w.kept.filter((r) => !mine.includes(r));
          for (const r of mine.slice(-20))
            for (const n of w.names)
              w.at(w.rng.real(0, 500), () => {
                met.forNext++;
                w.heartbeat(n, structuredClone(r), () => {});
              });
        }
        o.changedMs.push(w.now);
        if (o.changedMs.filter((ms) => ms > w.now - 120_000).length >= 10)
          met.tenTimes++;
        if (
          w.workers.some(
            (m) =>
              busy(m) && (m.cut.size > 0 || m.oneWay || m.hung || m.isMute),
          )
        )
          met.unreached++;
        if (o.had.has(owner)) met.back++;
        if (
          [...w.specs.values()].some(
            (s) =>
              s.kind === "array" &&
              s.tasks > 1 &&
              w.checker.told.get(s.id) === "accepted" &&
              w.results.has(`${s.id}/0`) !== w.results.has(`${s.id}/1`),
          )
        )
          met.apart++;
      }
      owners.set(partition, {
        owner,
        version: d.version,
        had: (o?.had ?? new Set<string>()).add(owner),
        changedMs: o?.changedMs ?? [],
      });
    }
    if (w.stateCut.size > 0) gapUntilMs = w.now + 500;
    const now = w.checker.cancelledOn;
    if (now > confirmed) {
      if (w.now < gapUntilMs) met.gapCancels += now - confirmed;
      if ([...w.stateCut.keys()].some((n) => w.meshCuts.has(n)))
        met.cutCancels += now - confirmed;
    }
    confirmed = now;
    const away = w.names.every((n) => !w.nodes.get(n) || w.nodes.get(n)!.still);
    if (!away) awaySinceMs = w.now;
    if (away && !toldAway && w.now - awaySinceMs > 1000 * w.settings.leaseS)
      met.allAway++;
    toldAway = away && w.now - awaySinceMs > 1000 * w.settings.leaseS;
    for (const m of w.workers)
      if (!begun.has(m) && m.tasks.size > 0) {
        begun.add(m);
        if (m.bornMs > 1_000 && w.now - m.bornMs < 5_000) met.quick++;
      }
    met.mute = w.muteCommands;
    met.lostAnswers = w.answersLost;
    met.lateWrites = w.lateWritten;
    met.lateReports = w.lateHeartbeats;
    met.lateCommands = w.lateCommands;
  });
}

export interface PlayedWorkload {
  world: World;
  occurred: AllFaultCombinationCounts;
}

/** Jobs that run for a while, on machines that are there from the start. */
function stage(
  seed: number,
  runFactor: number,
  retransmitted = 0,
): PlayedWorkload {
  const world = new World(seed, undefined, [], controllersOf(seed));
  world.retransmitted = retransmitted;
  const met = noFaultCombinations();
  world.capacity = 6;
  world.runFactor = runFactor;
  world.carries = true;
  for (const z of world.zones)
    for (let i = 0; i < 3; i++) world.cloud.add(world.types[0]!, z, false, 0);
  watch(world, met);
  return { world, occurred: met };
}

const OVER_MS = 120_000;

/** Plays a workload with two to four injected faults; all are over after 120 s, and what no question is answered about 75 s later is forgotten. */
export function play(
  seed: number,
  faults: readonly InjectedFault[],
  retransmitted = 0,
): PlayedWorkload {
  const { world: w, occurred: met } = stage(
    seed,
    seed % 2 === 0 ? 4 : 1,
    retransmitted,
  );
  submitWorkload(w, 95_000);
  if (seed % 3 === 0) pipelines(w, 5_000, 90_000);
  for (const t of faults) w.at(t.atMs, () => begin(w, t, met));
  w.at(OVER_MS + 80_000, () => w.checker.remembers(OVER_MS + 5_000));
  w.run(OVER_MS + 85_000);
  return { world: w, occurred: met };
}

/**
 * The same with all that the operators name, on every third day with limits that the teams are at, and for so long after the end that a
 * job which nobody starts is noticed.
 */
export function playMore(
  seed: number,
  faults: readonly InjectedFault[],
  retransmitted = 0,
): PlayedWorkload {
  const { world: w, occurred: met } = stage(
    seed,
    seed % 2 === 0 ? 4 : 1,
    retransmitted,
  );
  if (seed % 3 === 1) {
    w.settings.teams = new Map(
      [...w.settings.teams].map(([n, t]) => [
        n,
        { ...t, cpus: 10, cpusMax: n === "red" ? 18 : 26 },
      ]),
    );
    w.bootAll();
  }
  const confirmed = new Set<string>();
  w.every(250, () => {
    for (const [id, told] of w.checker.told) {
      if (told !== "cancelled" || confirmed.has(id)) continue;
      confirmed.add(id);
      const { team } = w.specs.get(id)!;
      let used = 0;
      let lost = false;
      for (const m of w.workers)
        if (!m.gone)
          for (const t of m.tasks.values())
            if (t.state !== "exited" && w.specs.get(t.job)!.team === team) {
              used += w.specs.get(t.job)!.cpus;
              lost ||= m.cut.size > 0 || m.hung || m.oneWay || m.isMute;
            }
      if (
        lost &&
        used > (w.teamLimits ?? w.settings.teams).get(team)!.cpusMax - 5
      )
        met.atLimit++;
    }
  });
  submitWorkload(w, 95_000, (x, n) => {
    // No gang may need more than its team may ever use: it would be refused, which is right.
    const spec = randomJob(x, n);
    return spec.kind === "array"
      ? spec
      : {
          ...spec,
          tasks: Math.min(
            spec.tasks,
            Math.max(
              1,
              Math.floor(
                (0.6 * w.settings.teams.get(spec.team)!.cpusMax) / spec.cpus,
              ),
            ),
          ),
        };
  });
  if (seed % 4 === 0) pipelines(w, 5_000, 90_000);
  for (const t of faults) w.at(t.atMs, () => begin(w, t, met));
  w.at(OVER_MS, () => w.every(1_000, () => w.checker.nobodyLeft()));
  w.at(OVER_MS + 80_000, () => w.checker.remembers(OVER_MS + 5_000));
  w.run(OVER_MS + 110_000);
  return { world: w, occurred: met };
}

/** Two to four faults close together, once or twice a workload; in half of them the state service is one. */
export function draw(seed: number): InjectedFault[] {
  return drawn(seed, 4, (r) =>
    r.chance(0.3)
      ? r.pick(["refuse", "outage", "lateWrites", "cancel"] as const)
      : r.pick(KINDS),
  );
}
/** Two to five, about half of them of the rest. */
export function drawMore(seed: number): InjectedFault[] {
  return drawn(seed, 5, (r) =>
    r.chance(0.45)
      ? r.pick(REST)
      : r.chance(0.3)
        ? r.pick([
            "refuse",
            "outage",
            "lateWrites",
            "cancel",
            "crash",
            "atOnce",
          ] as const)
        : r.pick(KINDS),
  );
}
/** These last longer than what hinders machines and controllers. */
const LONG: readonly FaultKind[] = [
  "lateWrites",
  "copies",
  "lostAnswers",
  "forNext",
  "atEnd",
  "concurrentQueries",
  "roll",
];
function drawn(
  seed: number,
  most: number,
  kindOf: (r: Rng) => FaultKind,
): InjectedFault[] {
  const r = new World(seed ^ 0x5eed, undefined, [], 1).rng;
  const out: InjectedFault[] = [];
  for (let n = r.int(1, 2); n > 0; n--) {
    const at = r.real(12_000, 75_000);
    for (let k = r.int(2, most); k > 0; k--) {
      const kind = kindOf(r);
      const atMs = at + r.real(0, 4_000);
      out.push({
        kind,
        atMs,
        forMs: Math.min(
          OVER_MS - atMs,
          LONG.includes(kind) ? r.real(15_000, 60_000) : r.real(500, 40_000),
        ),
        node: r.chance(0.6) ? -1 : r.int(0, 6),
        share: r.pick([0.1, 0.3, 0.6]),
      });
    }
  }
  return out.sort((a, b) => a.atMs - b.atMs);
}

/** The fewest of these faults that still break a rule: one after the other is left out for as long as that goes. */
export function shrink(
  seed: number,
  faults: readonly InjectedFault[],
  day: typeof play = play,
): InjectedFault[] {
  let left = [...faults];
  for (let i = 0; i < left.length;) {
    const fewer = left.filter((_, k) => k !== i);
    if (day(seed, fewer).world.checker.broken.length > 0) left = fewer;
    else i++;
  }
  return left;
}

/** So long before a refusal what lies around its edge begins. */
const EDGE_MS = 13_500;

/**
 * The combination to test before all others. The state service refuses the leading controller alone, which a peer's carrying may bridge;
 * others confirm cancellations; within seconds the service is down for all, for longer than `cancel_s`, while workers go on
 * reporting to the old leader. Around the edges: the leader stands still with answers on their way to it, its touches are
 * held, a slow service. Twice in a row on every second day.
 */
export function gap(seed: number): PlayedWorkload {
  const { world: w, occurred: met } = stage(seed, 8);
  const r = w.rng;
  submitWorkload(w, 60_000, (world, n) => ({
    ...randomJob(world, n),
    cpus: world.rng.pick([1, 2]),
    gpus: 0,
    machineTypes: null,
    zone: null,
    deadlineS: null,
  }));
  let at = r.real(18_000, 26_000);
  for (let n = (seed % 2) + 1; n > 0; n--) {
    const t = { node: -1, share: 0.7 };
    const before = r.real(300, 2_500);
    const downMs = 1000 * w.settings.cancelS + r.real(1_000, 12_000);
    w.at(at - EDGE_MS, () => {
      // The same controller throughout: whoever leads shortly before it is refused.
      const node = w.names.indexOf(leader(w));
      const one = (
        kind: FaultKind,
        delayMs: number,
        forMs: number,
        share = t.share,
      ): void =>
        w.at(EDGE_MS + delayMs, () =>
          begin(w, { kind, atMs: w.now, forMs, node, share }),
        );
      // Its touches alone are held for nearly as long as a hold lasts, or its reads.
      const edge = r.pick(["none", "none", "writesHeld", "readsHeld"] as const);
      if (edge === "writesHeld") one(edge, -r.real(9_000, EDGE_MS), EDGE_MS);
      if (edge === "readsHeld") one(edge, 0, before + downMs);
      else
        one(r.pick(["cutOff", "refuse"] as const), 0, r.real(before, 14_000));
      // It stands still with answers to touch and read on their way to it.
      if (r.chance(0.5)) one("slow", -3_000, 3_000 + before, 0.45);
      if (r.chance(0.5))
        one("freeze", r.real(-2_000, before), r.real(3_000, 9_000));
      // Its permit ends while it stands still, between a decision and the sending.
      if (r.chance(0.6))
        one(
          "freeze",
          r.real(0.7, 0.95) * storeLeaseTtlMs(w.settings),
          r.real(4_000, 9_000),
        );
      if (r.chance(0.3))
        one(
          "freeze",
          before + downMs + r.real(-1_000, 500),
          r.real(500, 5_000),
        );
      one("cancel", 0, before);
      one("outage", before, downMs);
    });
    at += before + downMs + r.real(6_000, 14_000);
  }
  w.at(at + 80_000, () => w.checker.remembers(at + 5_000));
  w.run(at + 85_000);
  return { world: w, occurred: met };
}
