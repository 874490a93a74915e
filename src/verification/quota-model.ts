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
 * The protocol of the teams' limits on a small scope, around the very functions that masters use: groups plan from copies
 * of the record that may be old, commits are lost, late, doubled or not answered, groups get new masters, a controller comes
 * back with other settings. Tasks take one CPU, or what the scope says of their group.
 */
export interface QuotaScope {
  groups: string[];
  teams: string[];
  /** The teams' limit, and what a controller that is restarted goes by. */
  limit: number;
  later: number;
  /** Which groups there are for a controller that is restarted. */
  laterGroups: string[];
  /** Tasks of each team that there are, by group. */
  tasks: number[];
  /** CPUs that each of them takes, by group; absent: one each. What is too little for any waiting task of a group is lent to others. */
  sizes?: number[];
  /** The group of a large job that quota is reserved for at all times. */
  reservedFor?: string;
  /** Commits that may be on their way at once. */
  flights: number;
  /** How often a group gets a new master, and how many controllers are restarted with the later settings. */
  takeovers: number;
  restarts: number;
}

/** Guards that can be switched off, to see that the exploration finds out. */
export type Guard =
  | "keeps what it gives"
  | "record's revision"
  | "master's token"
  | "unanswered stays reserved"
  | "what is written holds"
  | "overdrawn stops starts"
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

/** What a group says that it wants, beyond which part, and what one task lacks of it. */
type Want = [want: number, beyond: number, backfill: number];

interface Change {
  base: number;
  value: QuotaShares;
  reserved: Record<string, ResourceAmounts>;
  /** It was not answered: it may have been carried out, or may yet be. */
  open: boolean;
}
interface Group {
  token: number;
  /** Settings that its master goes by. */
  later: boolean;
  /** Its copy of the record. */
  copy: { version: number; shares: QuotaShares };
  change: Change | null;
  use: number[];
  wait: number[];
  /** What it last published that it wants, by team, of which part, and what one task lacks of it. */
  said: (Want | null)[];
  /** It has no master, and nobody takes it any more. */
  gone: boolean;
}
interface Flight {
  group: number;
  token: number;
  base: number;
  value: QuotaShares;
  /** It was delivered once already. */
  doubled: boolean;
}
interface QuotaModelState {
  record: { version: number; shares: QuotaShares };
  groups: Group[];
  flights: Flight[];
  tokens: number;
  takeovers: number;
  restarts: number;
  /** A task was started beyond the largest limit that anybody went by: what was wrong. */
  over: string | null;
}

const teamOf = (name: string, cpusMax: number): Team => ({
  name,
  cpus: 0,
  gpus: 0,
  cpusMax,
  gpusMax: Infinity,
});

const demandOf = ([want, beyond, backfill]: Want): PartitionDemand => ({
  startable: [want, 0],
  startableSinceMs: [1, Infinity],
  awaitingMachines: [0, 0],
  awaitingMachinesSinceMs: [Infinity, Infinity],
  baseShare: [beyond, 0],
  backfill: [backfill, 0],
});

const reservationOf = (
  partition: string,
  [lacks]: Want,
): PartitionReservation => ({
  partition,
  missing: [lacks, 0],
  readyAt: 1,
  priority: 0,
});

// What was written is never changed, only replaced.
const clone = (s: QuotaModelState): QuotaModelState => ({
  ...s,
  groups: s.groups.map((g) => ({
    ...g,
    change: g.change && { ...g.change },
    use: [...g.use],
    wait: [...g.wait],
    said: [...g.said],
  })),
  flights: s.flights.map((f) => ({ ...f })),
});

export function quotaModel(
  scope: QuotaScope,
  off: ReadonlySet<Guard> = new Set(),
): Model<QuotaModelState> {
  const settings = (later: boolean): Map<string, Team> =>
    new Map(
      scope.teams.map((t) => [t, teamOf(t, later ? scope.later : scope.limit)]),
    );
  const all = { false: settings(false), true: settings(true) };
  const names = (g: Group): string[] =>
    g.later ? scope.laterGroups : scope.groups;
  const records = (g: Group): QuotaRecords =>
    g.copy.version === 0
      ? new Map()
      : new Map([
          [QUOTA_KEY, { shares: g.copy.shares, revision: g.copy.version }],
        ]);

  /** Up to how many CPUs the group may use, by its copy. */
  const share = (g: Group, i: number, t: number): number => {
    const team = scope.teams[t]!;
    const own = all[g.later ? "true" : "false"].get(team)!;
    let entry = entryOf(records(g), team);
    if (off.has("what is written holds") && !entry?.shares[scope.groups[i]!])
      return own.cpusMax / names(g).length;
    if (entry && off.has("overdrawn stops starts"))
      entry = { ...entry, sum: [0, 0] };
    const [cpus] = maxUsage(own, entry, scope.groups[i]!, () => [g.use[t]!, 0]);
    const c = g.change;
    if (!c || c.base !== g.copy.version || off.has("keeps what it gives"))
      return cpus;
    return cpus - (c.reserved[team]?.[0] ?? 0);
  };

  const size = (i: number): number => scope.sizes?.[i] ?? 1;

  /** What the group says that it wants of a team now. */
  const wantOf = (g: Group, i: number, t: number): Want | null => {
    const part = share(g, i, t);
    const lack = g.use[t]! + g.wait[t]! - part;
    const free = part - g.use[t]!;
    const backfill = g.wait[t]! > 0 ? Math.max(0, size(i) - free) : 0;
    return lack > 0 ? [lack, part, backfill] : null;
  };

  const plan = (s: QuotaModelState, i: number): QuotaPlan | null => {
    const g = s.groups[i]!;
    const others = new Map<string, Map<string, PartitionDemand>>();
    s.groups.forEach((o, k) => {
      if (k !== i)
        others.set(
          scope.groups[k]!,
          new Map(
            o.said.flatMap((said, t) =>
              said ? [[scope.teams[t]!, demandOf(said)] as const] : [],
            ),
          ),
        );
    });
    const mine = new Map<string, PartitionDemand>();
    scope.teams.forEach((team, t) => {
      const want = wantOf(g, i, t);
      if (want) mine.set(team, demandOf(want));
    });
    const gone = new Set(
      scope.groups.filter(
        (_, k) =>
          !names(g).includes(scope.groups[k]!) &&
          s.groups[k]!.gone &&
          (off.has("gone only after its leases") ||
            s.groups[k]!.use.every((n) => n === 0)),
      ),
    );
    return planQuotas({
      partition: scope.groups[i]!,
      partitions: names(g),
      teams: all[g.later ? "true" : "false"],
      records: records(g),
      maxValueBytes: 8_000,
      maxRecords: 1,
      use: (team) => [g.use[scope.teams.indexOf(team)]!, 0],
      confirmedUse: (team) => [g.use[scope.teams.indexOf(team)]!, 0],
      ownDemands: mine,
      otherDemands: others,
      needAheadOf: (team, _since, group) => {
        const t = scope.teams.indexOf(team);
        return [scope.groups[i]! < group ? g.wait[t]! : 0, 0];
      },
      lendable: (team) => {
        const t = scope.teams.indexOf(team);
        const free = share(g, i, t) - g.use[t]!;
        return [g.wait[t]! > 0 && free < size(i) ? Math.max(0, free) : 0, 0];
      },
      keptForBackfill: () => [0, 0],
      reservation: (team) => {
        const at = scope.groups.findIndex((name) => name === scope.reservedFor);
        const holder = s.groups[at];
        const t = scope.teams.indexOf(team);
        const want = at === i ? wantOf(g, i, t) : holder?.said[t];
        if (!want || holder?.gone) return null;
        return reservationOf(scope.groups[at]!, want);
      },
      keptForOverdueJob: (team, { partition }) => {
        const t = scope.teams.indexOf(team);
        return [partition === scope.groups[i]! ? g.wait[t]! : 0, 0];
      },
      limitsAgreed: s.groups.every((o) => o.gone || o.later === g.later),
      removedPartitions: gone,
      mayMoveShares: () => true,
    });
  };

  const inUse = (s: QuotaModelState, t: number): number =>
    s.groups.reduce((n, g) => n + g.use[t]!, 0);
  /** The largest limit that anybody alive may still go by: who reads the record later goes by a smaller one then. */
  const most = (s: QuotaModelState, t: number): number =>
    Math.max(
      ...s.groups
        .filter((g) => !g.gone)
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
    groups: scope.groups.map((_, i) => ({
      token: i + 1,
      later: false,
      copy: { version: 0, shares: {} },
      change: null,
      use: scope.teams.map(() => 0),
      wait: scope.teams.map(() => (scope.tasks[i] ?? 0) * size(i)),
      said: scope.teams.map(() => null),
      gone: false,
    })),
    flights: [],
    tokens: scope.groups.length,
    takeovers: 0,
    restarts: 0,
    over: null,
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
    for (const [i, g] of s.groups.entries()) {
      const name = scope.groups[i]!;
      for (const [t, team] of scope.teams.entries()) {
        if (g.use[t]! > 0)
          yield step(`${name}: a task of ${team} ends`, (to) => {
            to.groups[i]!.use[t]! -= size(i);
          });
        if (g.gone) continue;
        if (g.wait[t]! > 0 && g.use[t]! + size(i) <= share(g, i, t) + 1e-6)
          yield step(`${name} starts a task of ${team}`, (to) => {
            if (inUse(to, t) + size(i) > most(to, t) + 1e-6)
              to.over = `${team}: a task starts where ${inUse(to, t)} of ${most(to, t)} are in use`;
            to.groups[i]!.use[t]! += size(i);
            to.groups[i]!.wait[t]! -= size(i);
          });
        const said = wantOf(g, i, t);
        if (JSON.stringify(said) !== JSON.stringify(g.said[t]))
          yield step(
            `${name} says what it wants of ${team}`,
            (to) => void (to.groups[i]!.said[t] = said),
          );
      }
      if (g.gone) continue;
      if (g.copy.version !== s.record.version)
        yield step(`${name} reads the record`, (to) => {
          const me = to.groups[i]!;
          me.copy = to.record;
          // The record at another revision says how the change ended.
          if (me.change && me.change.base !== to.record.version)
            me.change = null;
        });
      if (!g.change && s.flights.length < scope.flights) {
        const p = plan(s, i);
        if (p)
          yield step(
            `${name} sends ${p.transfers.map((x) => `${x.amounts[0]} of ${x.team} to ${x.to}`).join(", ") || "a change"}`,
            (to) => {
              const value = p.writes.get(QUOTA_KEY)!;
              to.groups[i]!.change = {
                base: g.copy.version,
                value,
                reserved: Object.fromEntries(p.released),
                open: false,
              };
              to.flights.push({
                group: i,
                token: g.token,
                base: g.copy.version,
                value,
                doubled: false,
              });
            },
          );
      }
      if (g.change && !g.change.open)
        yield step(`${name} gets no answer`, (to) => {
          if (off.has("unanswered stays reserved")) to.groups[i]!.change = null;
          else to.groups[i]!.change!.open = true;
        });
      if (s.takeovers < scope.takeovers)
        yield step(`${name} has a new master`, (to) => {
          to.takeovers++;
          Object.assign(to.groups[i]!, {
            token: ++to.tokens,
            copy: to.record,
            change: null,
          });
        });
      if (s.restarts < scope.restarts && !g.later)
        yield step(`${name} restarts with the later settings`, (to) => {
          to.restarts++;
          Object.assign(to.groups[i]!, {
            token: ++to.tokens,
            copy: to.record,
            change: null,
            later: true,
            gone: !scope.laterGroups.includes(name),
          });
        });
    }
    for (const [k, f] of s.flights.entries()) {
      yield step(
        `a commit of ${scope.groups[f.group]!} is lost`,
        (to) => void to.flights.splice(k, 1),
      );
      const holds =
        (off.has("record's revision") || f.base === s.record.version) &&
        (off.has("master's token") || f.token === s.groups[f.group]!.token);
      const arrive =
        (again: boolean) =>
        (to: QuotaModelState): void => {
          if (again) to.flights[k]!.doubled = true;
          else to.flights.splice(k, 1);
          if (holds)
            to.record = { version: to.record.version + 1, shares: f.value };
        };
      if (holds)
        yield step(
          `a commit of ${scope.groups[f.group]!} is carried out`,
          arrive(false),
        );
      if (holds && !f.doubled)
        yield step(
          `a commit of ${scope.groups[f.group]!} is carried out, and comes again`,
          arrive(true),
        );
    }
  }

  const check = (s: QuotaModelState): string | null => {
    if (s.over !== null) return s.over;
    for (const [t, team] of scope.teams.entries()) {
      // A lowered limit kills nothing: what runs beyond it may, and then nobody may start anything.
      const bound = Math.max(most(s, t), inUse(s, t));
      const may = s.groups.reduce(
        (n, g, i) =>
          n + (g.gone ? g.use[t]! : Math.max(g.use[t]!, share(g, i, t))),
        0,
      );
      if (may > bound + 1e-6) return `${team}: ${may} of ${bound} may be used`;
    }
    return null;
  };

  const key = (s: QuotaModelState): string => {
    // Revisions and tokens only tell what is older from what is newer, or the same.
    const versions = [
      ...new Set([
        s.record.version,
        ...s.groups.flatMap((g) => [
          g.copy.version,
          g.change?.base ?? s.record.version,
        ]),
        ...s.flights.map((f) => f.base),
      ]),
    ].sort((a, b) => a - b);
    const v = (n: number): number => (n === 0 ? -1 : versions.indexOf(n));
    const shares = (x: QuotaShares): unknown =>
      scope.teams.map((t) => [
        x[CAPS_NAME]?.[t]?.[0],
        scope.groups.map((g) => x[t]?.[g]?.[0]),
      ]);
    return JSON.stringify([
      v(s.record.version),
      shares(s.record.shares),
      s.takeovers,
      s.restarts,
      s.over,
      s.groups.map((g) => [
        g.later,
        g.gone,
        v(g.copy.version),
        shares(g.copy.shares),
        g.change && [
          v(g.change.base),
          g.change.open,
          shares(g.change.value),
          scope.teams.map((t) => g.change!.reserved[t]?.[0]),
        ],
        g.use,
        g.wait,
        g.said,
      ]),
      s.flights.map((f) => [
        f.group,
        f.token === s.groups[f.group]!.token,
        v(f.base),
        shares(f.value),
        f.doubled,
      ]),
    ]);
  };
  return { initial, next, check, key };
}
