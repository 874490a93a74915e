import type { Team } from "../config/settings.js";
import type { PartitionDemand } from "../coordination/quota/partition-demand.js";
import { planQuotas } from "../coordination/quota/quota-plan.js";
import type { PartitionReservation } from "../coordination/quota/quota-reservations.js";
import type { QuotaPlan } from "../coordination/quota/quota-situation.js";
import {
  CAPS_NAME,
  entryOf,
  type QuotaRecords,
  maxUsage,
} from "../coordination/quota/quota-records.js";
import type { ResourceAmounts } from "../coordination/quota/resource-amounts.js";
import { QUOTA_KEY, type QuotaShares } from "../storage/records.js";
import type { Model, Step } from "./explore.js";

/**
 * Size of a model of the quota protocol. The model runs the same functions as partition leaders: partitions plan from copies of
 * the quota record that may be stale, commits are lost, delayed, duplicated or not answered, partitions get new leaders, and
 * controllers restart with other settings. A task takes one CPU, or the number given for its partition.
 */
export interface QuotaScope {
  /** Names of the partitions. */
  names: string[];
  teams: string[];
  /** Limit of each team in CPUs, and the later limit, in the settings of a restarted controller. */
  limit: number;
  later: number;
  /** Names of the partitions in the settings of a restarted controller. */
  laterNames: string[];
  /** Number of tasks of each team, by partition. */
  tasks: number[];
  /** CPUs per task, by partition; 1 if absent. A partition lends free quota that is too small for any of its waiting tasks. */
  sizes?: number[];
  /** Partition of a large job for which quota is always reserved. */
  reservedFor?: string;
  /** Maximum number of commits in flight. */
  commits: number;
  /** Maximum number of failovers, and of controllers that restart with the later settings. */
  failovers: number;
  restarts: number;
}

/** Rules of the protocol that can be disabled, to test that the exploration then finds an invalid state. */
export type Guard =
  /** A partition does not use quota that its pending change gives away. */
  | "keeps what it gives"
  /** A commit applies only to the revision of the record that it is based on. */
  | "record's revision"
  /** A commit applies only with the current fencing token of its partition. */
  | "master's token"
  /** Quota of an unanswered change stays reserved until the record shows the outcome. */
  | "unanswered stays reserved"
  /** The record determines a partition's share, not its own settings. */
  | "what is written holds"
  /** No task starts while the shares exceed the limit. */
  | "overdrawn stops starts"
  /** Shares of a removed partition are reclaimed only when none of its tasks can still run. */
  | "gone only after its leases";
export const GUARDS: readonly Guard[] = [
  "keeps what it gives",
  "record's revision",
  "master's token",
  "unanswered stays reserved",
  "what is written holds",
  "overdrawn stops starts",
  "gone only after its leases",
];

/** A partition's demand for a team: missing CPUs, the share beyond which they are missing, and what a single task lacks. */
type Demand = [missing: number, share: number, backfill: number];

interface PendingChange {
  /** Version of the record that it is based on. */
  base: number;
  shares: QuotaShares;
  /** Quota that it gives away, by team. */
  reserved: Record<string, ResourceAmounts>;
  /** Its commit was not answered and may have been applied, or may still be. */
  unanswered: boolean;
}
interface PartitionState {
  token: number;
  /** Whether its controller has restarted with the later settings. */
  later: boolean;
  /** Its copy of the quota record, which may be stale. */
  copy: { version: number; shares: QuotaShares };
  change: PendingChange | null;
  /** CPUs in use and CPUs that waiting tasks need, by team. */
  used: number[];
  queued: number[];
  /** The demand that it last published, by team. */
  published: (Demand | null)[];
  /** It is no longer configured and has no leader any more. */
  removed: boolean;
}
interface CommitInFlight {
  /** Index of the partition that sent it. */
  from: number;
  token: number;
  /** Version of the record that it is based on. */
  base: number;
  shares: QuotaShares;
  /** It was delivered once and may be delivered again. */
  delivered: boolean;
}
interface QuotaModelState {
  record: { version: number; shares: QuotaShares };
  partitions: PartitionState[];
  commits: CommitInFlight[];
  lastToken: number;
  failovers: number;
  restarts: number;
  /** Description of a task start beyond the largest limit that applied; null if there was none. */
  violation: string | null;
}

const teamOf = (name: string, cpusMax: number): Team => ({
  name,
  cpus: 0,
  gpus: 0,
  cpusMax,
  gpusMax: Infinity,
});

const toDemand = ([missing, share, backfill]: Demand): PartitionDemand => ({
  startable: [missing, 0],
  startableSinceMs: [1, Infinity],
  awaitingMachines: [0, 0],
  awaitingMachinesSinceMs: [Infinity, Infinity],
  baseShare: [share, 0],
  backfill: [backfill, 0],
});

const toReservation = (
  partition: string,
  [missing]: Demand,
): PartitionReservation => ({
  partition,
  missing: [missing, 0],
  readyAt: 1,
  priority: 0,
});

// Records and copies of them are never modified, only replaced, and need not be cloned.
const clone = (s: QuotaModelState): QuotaModelState => ({
  ...s,
  partitions: s.partitions.map((g) => ({
    ...g,
    change: g.change && { ...g.change },
    used: [...g.used],
    queued: [...g.queued],
    published: [...g.published],
  })),
  commits: s.commits.map((f) => ({ ...f })),
});

/**
 * Builds the model with the rules in `off` disabled. Short names: `s` state, `to` following state, `g` or `p` partition, `i` its
 * index, `t` index of a team, `c` pending change or commit in flight, `k` index of another partition or of a commit.
 */
export function quotaModel(
  scope: QuotaScope,
  off: ReadonlySet<Guard> = new Set(),
): Model<QuotaModelState> {
  const teamsOf = (later: boolean): Map<string, Team> =>
    new Map(
      scope.teams.map((t) => [t, teamOf(t, later ? scope.later : scope.limit)]),
    );
  const teams = { false: teamsOf(false), true: teamsOf(true) };
  const configured = (g: PartitionState): string[] =>
    g.later ? scope.laterNames : scope.names;
  const records = (g: PartitionState): QuotaRecords =>
    g.copy.version === 0
      ? new Map()
      : new Map([
          [QUOTA_KEY, { shares: g.copy.shares, revision: g.copy.version }],
        ]);

  /** CPUs that the partition may use according to its copy of the record. */
  const share = (g: PartitionState, i: number, t: number): number => {
    const team = scope.teams[t]!;
    const own = teams[g.later ? "true" : "false"].get(team)!;
    let entry = entryOf(records(g), team);
    if (off.has("what is written holds") && !entry?.shares[scope.names[i]!])
      return own.cpusMax / configured(g).length;
    if (entry && off.has("overdrawn stops starts"))
      entry = { ...entry, sum: [0, 0] };
    const [max] = maxUsage(own, entry, scope.names[i]!, () => [g.used[t]!, 0]);
    const c = g.change;
    if (!c || c.base !== g.copy.version || off.has("keeps what it gives"))
      return max;
    return max - (c.reserved[team]?.[0] ?? 0);
  };

  const size = (i: number): number => scope.sizes?.[i] ?? 1;

  /** The partition's present demand for a team; null if there is none. */
  const demandOf = (g: PartitionState, i: number, t: number): Demand | null => {
    const part = share(g, i, t);
    const missing = g.used[t]! + g.queued[t]! - part;
    const free = part - g.used[t]!;
    const backfill = g.queued[t]! > 0 ? Math.max(0, size(i) - free) : 0;
    return missing > 0 ? [missing, part, backfill] : null;
  };

  const plan = (s: QuotaModelState, i: number): QuotaPlan | null => {
    const g = s.partitions[i]!;
    const otherDemands = new Map<string, Map<string, PartitionDemand>>();
    s.partitions.forEach((other, k) => {
      if (k !== i)
        otherDemands.set(
          scope.names[k]!,
          new Map(
            other.published.flatMap((demand, t) =>
              demand ? [[scope.teams[t]!, toDemand(demand)] as const] : [],
            ),
          ),
        );
    });
    const ownDemands = new Map<string, PartitionDemand>();
    scope.teams.forEach((team, t) => {
      const demand = demandOf(g, i, t);
      if (demand) ownDemands.set(team, toDemand(demand));
    });
    const removedPartitions = new Set(
      scope.names.filter(
        (_, k) =>
          !configured(g).includes(scope.names[k]!) &&
          s.partitions[k]!.removed &&
          (off.has("gone only after its leases") ||
            s.partitions[k]!.used.every((n) => n === 0)),
      ),
    );
    return planQuotas({
      partition: scope.names[i]!,
      partitions: configured(g),
      teams: teams[g.later ? "true" : "false"],
      records: records(g),
      maxValueBytes: 8_000,
      maxRecords: 1,
      use: (team) => [g.used[scope.teams.indexOf(team)]!, 0],
      confirmedUse: (team) => [g.used[scope.teams.indexOf(team)]!, 0],
      ownDemands,
      otherDemands,
      needAheadOf: (team, _since, otherPartition) => {
        const t = scope.teams.indexOf(team);
        return [scope.names[i]! < otherPartition ? g.queued[t]! : 0, 0];
      },
      lendable: (team) => {
        const t = scope.teams.indexOf(team);
        const free = share(g, i, t) - g.used[t]!;
        return [g.queued[t]! > 0 && free < size(i) ? Math.max(0, free) : 0, 0];
      },
      keptForBackfill: () => [0, 0],
      reservation: (team) => {
        const at = scope.names.findIndex((name) => name === scope.reservedFor);
        const holder = s.partitions[at];
        const t = scope.teams.indexOf(team);
        const demand = at === i ? demandOf(g, i, t) : holder?.published[t];
        if (!demand || holder?.removed) return null;
        return toReservation(scope.names[at]!, demand);
      },
      keptForOverdueJob: (team, { partition }) => {
        const t = scope.teams.indexOf(team);
        return [partition === scope.names[i]! ? g.queued[t]! : 0, 0];
      },
      limitsAgreed: s.partitions.every((p) => p.removed || p.later === g.later),
      removedPartitions,
      mayMoveShares: () => true,
    });
  };

  const inUse = (s: QuotaModelState, t: number): number =>
    s.partitions.reduce((n, g) => n + g.used[t]!, 0);
  /** The largest limit that any live partition may still apply. One that reads the record later applies a lower limit from then on. */
  const maxLimit = (s: QuotaModelState, t: number): number =>
    Math.max(
      ...s.partitions
        .filter((g) => !g.removed)
        .map((g) =>
          g.copy.version === 0
            ? scope.limit
            : Math.max(
                scope.later,
                entryOf(records(g), scope.teams[t]!)?.cap[0] ?? 0,
              ),
        ),
    );
  const initial: QuotaModelState = {
    record: { version: 0, shares: {} },
    partitions: scope.names.map((_, i) => ({
      token: i + 1,
      later: false,
      copy: { version: 0, shares: {} },
      change: null,
      used: scope.teams.map(() => 0),
      queued: scope.teams.map(() => (scope.tasks[i] ?? 0) * size(i)),
      published: scope.teams.map(() => null),
      removed: false,
    })),
    commits: [],
    lastToken: scope.names.length,
    failovers: 0,
    restarts: 0,
    violation: null,
  };

  function* next(s: QuotaModelState): Generator<Step<QuotaModelState>> {
    const step = (
      label: string,
      change: (to: QuotaModelState) => void,
    ): Step<QuotaModelState> => {
      const to = clone(s);
      change(to);
      return { label, state: to };
    };
    for (const [i, g] of s.partitions.entries()) {
      const name = scope.names[i]!;
      for (const [t, team] of scope.teams.entries()) {
        if (g.used[t]! > 0)
          yield step(`${name}: a task of ${team} ends`, (to) => {
            to.partitions[i]!.used[t]! -= size(i);
          });
        if (g.removed) continue;
        if (g.queued[t]! > 0 && g.used[t]! + size(i) <= share(g, i, t) + 1e-6)
          yield step(`${name} starts a task of ${team}`, (to) => {
            if (inUse(to, t) + size(i) > maxLimit(to, t) + 1e-6)
              to.violation = `${team}: a task starts while ${inUse(to, t)} of ${maxLimit(to, t)} CPUs are in use`;
            to.partitions[i]!.used[t]! += size(i);
            to.partitions[i]!.queued[t]! -= size(i);
          });
        const demand = demandOf(g, i, t);
        if (JSON.stringify(demand) !== JSON.stringify(g.published[t]))
          yield step(
            `${name} publishes its demand for ${team}`,
            (to) => void (to.partitions[i]!.published[t] = demand),
          );
      }
      if (g.removed) continue;
      if (g.copy.version !== s.record.version)
        yield step(`${name} reads the record`, (to) => {
          const p = to.partitions[i]!;
          p.copy = to.record;
          // Another revision of the record shows the outcome of the change.
          if (p.change && p.change.base !== to.record.version) p.change = null;
        });
      if (!g.change && s.commits.length < scope.commits) {
        const planned = plan(s, i);
        if (planned)
          yield step(
            `${name} sends ${planned.transfers.map((x) => `${x.amounts[0]} of ${x.team} to ${x.to}`).join(", ") || "a change"}`,
            (to) => {
              const value = planned.writes.get(QUOTA_KEY)!;
              to.partitions[i]!.change = {
                base: g.copy.version,
                shares: value,
                reserved: Object.fromEntries(planned.released),
                unanswered: false,
              };
              to.commits.push({
                from: i,
                token: g.token,
                base: g.copy.version,
                shares: value,
                delivered: false,
              });
            },
          );
      }
      if (g.change && !g.change.unanswered)
        yield step(`${name} gets no reply`, (to) => {
          if (off.has("unanswered stays reserved"))
            to.partitions[i]!.change = null;
          else to.partitions[i]!.change!.unanswered = true;
        });
      if (s.failovers < scope.failovers)
        yield step(`${name} gets a new leader`, (to) => {
          to.failovers++;
          Object.assign(to.partitions[i]!, {
            token: ++to.lastToken,
            copy: to.record,
            change: null,
          });
        });
      if (s.restarts < scope.restarts && !g.later)
        yield step(`${name} restarts with the later settings`, (to) => {
          to.restarts++;
          Object.assign(to.partitions[i]!, {
            token: ++to.lastToken,
            copy: to.record,
            change: null,
            later: true,
            removed: !scope.laterNames.includes(name),
          });
        });
    }
    for (const [k, c] of s.commits.entries()) {
      yield step(
        `a commit of ${scope.names[c.from]!} is lost`,
        (to) => void to.commits.splice(k, 1),
      );
      const applies =
        (off.has("record's revision") || c.base === s.record.version) &&
        (off.has("master's token") || c.token === s.partitions[c.from]!.token);
      const deliver =
        (again: boolean) =>
        (to: QuotaModelState): void => {
          if (again) to.commits[k]!.delivered = true;
          else to.commits.splice(k, 1);
          if (applies)
            to.record = { version: to.record.version + 1, shares: c.shares };
        };
      if (applies)
        yield step(
          `a commit of ${scope.names[c.from]!} is applied`,
          deliver(false),
        );
      if (applies && !c.delivered)
        yield step(
          `a commit of ${scope.names[c.from]!} is applied and may be delivered again`,
          deliver(true),
        );
    }
  }

  const check = (s: QuotaModelState): string | null => {
    if (s.violation !== null) return s.violation;
    for (const [t, team] of scope.teams.entries()) {
      // A lowered limit stops no running tasks, but no task may start while more than the limit is in use.
      const bound = Math.max(maxLimit(s, t), inUse(s, t));
      const sum = s.partitions.reduce(
        (n, g, i) =>
          n + (g.removed ? g.used[t]! : Math.max(g.used[t]!, share(g, i, t))),
        0,
      );
      if (sum > bound + 1e-6) return `${team}: ${sum} of ${bound} may be used`;
    }
    return null;
  };

  const key = (s: QuotaModelState): string => {
    // Only the order and equality of revisions and tokens matter, not their values.
    const versions = [
      ...new Set([
        s.record.version,
        ...s.partitions.flatMap((g) => [
          g.copy.version,
          g.change?.base ?? s.record.version,
        ]),
        ...s.commits.map((f) => f.base),
      ]),
    ].sort((a, b) => a - b);
    const rank = (n: number): number => (n === 0 ? -1 : versions.indexOf(n));
    const shares = (x: QuotaShares): unknown =>
      scope.teams.map((t) => [
        x[CAPS_NAME]?.[t]?.[0],
        scope.names.map((g) => x[t]?.[g]?.[0]),
      ]);
    return JSON.stringify([
      rank(s.record.version),
      shares(s.record.shares),
      s.failovers,
      s.restarts,
      s.violation,
      s.partitions.map((g) => [
        g.later,
        g.removed,
        rank(g.copy.version),
        shares(g.copy.shares),
        g.change && [
          rank(g.change.base),
          g.change.unanswered,
          shares(g.change.shares),
          scope.teams.map((t) => g.change!.reserved[t]?.[0]),
        ],
        g.used,
        g.queued,
        g.published,
      ]),
      s.commits.map((f) => [
        f.from,
        f.token === s.partitions[f.from]!.token,
        rank(f.base),
        shares(f.shares),
        f.delivered,
      ]),
    ]);
  };
  return { initial, next, check, key };
}
