import type { Team } from "../../config/settings.js";
import type { Shares } from "../../storage/records.js";
import { EPS } from "../placement.js";
import {
  DIMS,
  type Entry,
  entryOf,
  hundredth,
  hundredthUp,
  limitOf,
  type LimitRecords,
  type NewEntry,
  overdrawn,
  type Pair,
  SLACK,
  withEntries,
} from "./shares.js";

/** What a group's waiting tasks of a team want beyond its part of the limit. */
export interface Demand {
  /** For tasks that have a place at once, or have waited for long. */
  now: Pair;
  /** When the oldest of these became ready that lacks CPUs, and that lacks accelerators, ms since the epoch; Infinity: there is none. */
  nowSince: Pair;
  /** For tasks whose place is yet to be rented. */
  soon: Pair;
  soonSince: Pair;
  /** The part of the limit that this is beyond: what has come since is not wanted any more. */
  beyond: Pair;
}

/** What a group knows when it considers the records of the limits; none of it is changed. */
export interface Situation {
  group: string;
  /** All groups that the settings name. */
  groups: readonly string[];
  teams: ReadonlyMap<string, Team>;
  records: LimitRecords;
  valueBytes: number;
  /** Records that one commit may write. */
  writes: number;
  /** What this group uses of a team, counting all that may be running. */
  use(team: string): Pair;
  /** The same, counting only what surely runs; null: not known yet (the fence). */
  known(team: string): Pair | null;
  mine: ReadonlyMap<string, Demand>;
  others: ReadonlyMap<string, ReadonlyMap<string, Demand>>;
  /** What the own waiting tasks that come before such a demand are going to use. */
  keep(team: string, since: number, group: string, now: boolean): Pair;
  /** Every live controller goes by the same limits as this one. */
  agreed: boolean;
  /** Groups that no settings name any more and of which nothing can run. */
  gone: ReadonlySet<string>;
  /** Parts of teams in that record may go from group to group. */
  movable(key: string): boolean;
}

export interface Plan {
  writes: Map<string, Shares>;
  /** By team: what this group gives away, and does not use from before the commit is sent. */
  reserved: Map<string, Pair>;
  given: { team: string; to: string; give: Pair }[];
  /** Groups whose absence it rests on. */
  gone: string[];
  /** Teams whose limit was written anew. */
  caps: string[];
}

/** What is left of a want after what has come since it was told. */
const remaining = (
  want: Pair,
  beyond: Pair,
  part: Readonly<Pair> | undefined,
): Pair =>
  DIMS.map((d) =>
    Math.max(0, Math.min(want[d], want[d] + beyond[d] - (part?.[d] ?? 0))),
  ) as Pair;

/**
 * What this group writes next of the teams' limits; null: all is as it should be. One plan carries all its changes:
 * several teams, several takers, limits that were raised or lowered, parts of groups that are gone.
 */
export function planShares(s: Situation): Plan | null {
  const plan: Plan = {
    writes: new Map(),
    reserved: new Map(),
    given: [],
    gone: [],
    caps: [],
  };
  const changed = new Map<string, NewEntry>();
  for (const team of s.teams.values()) {
    const limit = limitOf(team);
    const entry = entryOf(s.records, team.name);
    if (!entry) {
      if (limit[0] === Infinity && limit[1] === Infinity) continue;
      // The first to see it: equal parts, which is what the version before goes by where nothing is written.
      const part = limit.map((x) =>
        x === Infinity ? 0 : hundredth(x / s.groups.length),
      ) as Pair;
      changed.set(team.name, {
        cap: limit,
        parts: Object.fromEntries(s.groups.map((g) => [g, part])),
      });
      plan.caps.push(team.name);
      continue;
    }
    const next = planTeam(s, team, entry, plan);
    if (next) changed.set(team.name, next);
  }
  // What does not fit into one transaction waits for the next.
  const { writes, done } = withEntries(
    s.records,
    changed,
    s.valueBytes,
    s.writes,
  );
  if (done.size === 0) return null;
  for (const team of plan.reserved.keys())
    if (!done.has(team)) plan.reserved.delete(team);
  return {
    ...plan,
    writes,
    given: plan.given.filter((g) => done.has(g.team)),
    caps: plan.caps.filter((t) => done.has(t)),
  };
}

function planTeam(
  s: Situation,
  team: Team,
  had: Entry,
  plan: Plan,
): NewEntry | null {
  const limit = limitOf(team);
  const parts: Record<string, Pair> = Object.fromEntries(
    Object.entries(had.parts).map(([g, p]) => [g, [...p]]),
  );
  const cap: Pair = [...had.cap];
  const part = (g: string): Pair => (parts[g] ??= [0, 0]);
  const use = s.use(team.name);
  const known = s.known(team.name);
  const reserved: Pair = [0, 0];
  let dirty = false;
  for (const d of DIMS) {
    if (cap[d] > limit[d] + SLACK) {
      // Lowered, and all are to go by it from now on. Where there was no limit, nobody's part says what it uses: with
      // the whole limit for each nothing starts until each has said so.
      if (cap[d] === Infinity)
        for (const g of new Set([...s.groups, ...Object.keys(parts)]))
          part(g)[d] = hundredth(limit[d]);
      cap[d] = limit[d];
      dirty = true;
      plan.caps.push(team.name);
    } else if (cap[d] < limit[d] - SLACK && s.agreed) {
      if (limit[d] === Infinity) for (const p of Object.values(parts)) p[d] = 0;
      cap[d] = limit[d];
      dirty = true;
      plan.caps.push(team.name);
    }
    if (cap[d] === Infinity) continue;
    for (const g of s.gone) {
      if (!(part(g)[d] > EPS)) continue;
      // Nothing of it can run any more, and it stays written as nothing: the version before takes what is not
      // written for an equal part.
      part(g)[d] = 0;
      dirty = true;
      if (!plan.gone.includes(g)) plan.gone.push(g);
    }
    // What runs here is more than the part: said openly, so that nobody starts anything on what is used already.
    if (known && known[d] > part(s.group)[d] + SLACK) {
      part(s.group)[d] = hundredthUp(known[d]);
      dirty = true;
    }
    const sum = total(parts, d);
    const back = hundredth(Math.min(sum - cap[d], part(s.group)[d] - use[d]));
    if (sum > cap[d] + EPS && back > EPS) {
      part(s.group)[d] = hundredth(part(s.group)[d] - back);
      reserved[d] += back;
      dirty = true;
    }
  }
  // While more is handed out than there is, nothing moves: what is given back is not for anyone.
  const open = DIMS.every(
    (d) =>
      cap[d] === Infinity ||
      (!overdrawn(had, d) && total(parts, d) <= cap[d] + EPS),
  );
  if (
    open &&
    s.movable(had.key) &&
    move(s, team.name, parts, cap, use, reserved, plan)
  )
    dirty = true;
  if (reserved[0] > 0 || reserved[1] > 0)
    plan.reserved.set(team.name, reserved);
  return dirty ? { parts, cap } : null;
}

/** Gives of the own part to groups that want more, and takes of what nobody has. Whether anything was moved. */
function move(
  s: Situation,
  team: string,
  parts: Record<string, Pair>,
  cap: Pair,
  use: Pair,
  reserved: Pair,
  plan: Plan,
): boolean {
  const part = (g: string): Pair => (parts[g] ??= [0, 0]);
  let moved = false;
  for (const d of DIMS) {
    if (cap[d] === Infinity) continue;
    let pool = hundredth(Math.max(0, cap[d] - total(parts, d)));
    for (const t of takersOf(s, team, parts, d)) {
      const there = hundredth(Math.min(t.want, pool));
      pool -= there;
      if (t.group === s.group) {
        // What nobody has is there for whoever comes first, who takes it by this commit and uses it once it is written.
        if (there <= EPS) continue;
        part(s.group)[d] = hundredth(part(s.group)[d] + there);
        moved = true;
        continue;
      }
      const keep = s.keep(team, t.since, t.group, t.now);
      const give = hundredth(
        Math.max(
          0,
          Math.min(t.want - there, part(s.group)[d] - use[d] - keep[d]),
        ),
      );
      if (give <= EPS) continue;
      part(s.group)[d] = hundredth(part(s.group)[d] - give);
      part(t.group)[d] = hundredth(part(t.group)[d] + give);
      reserved[d] += give;
      const given = plan.given.find((g) => g.team === team && g.to === t.group);
      if (given) given.give[d] += give;
      else
        plan.given.push({
          team,
          to: t.group,
          give: d === 0 ? [give, 0] : [0, give],
        });
      moved = true;
    }
  }
  return moved;
}

const total = (parts: Record<string, Pair>, d: 0 | 1): number =>
  Object.values(parts).reduce((n, p) => n + p[d], 0);

interface Taker {
  group: string;
  since: number;
  now: boolean;
  want: number;
}

/**
 * Who wants more of a team's CPUs, or of its accelerators: who can use it at once comes first, then who has waited for longest for just
 * that. With one time for both, a group whose oldest work lacked CPUs also came first for accelerators that only its youngest work
 * wanted, and was asked for them again at once: they went to and fro for as long as both waited.
 */
function takersOf(
  s: Situation,
  team: string,
  parts: Readonly<Record<string, Pair>>,
  d: 0 | 1,
): Taker[] {
  const takers: Taker[] = [];
  const ask = (group: string, w: Demand): void => {
    const now = remaining(w.now, w.beyond, parts[group])[d];
    const soon =
      remaining(
        [w.now[0] + w.soon[0], w.now[1] + w.soon[1]],
        w.beyond,
        parts[group],
      )[d] - now;
    if (now > EPS)
      takers.push({ group, since: w.nowSince[d], now: true, want: now });
    if (soon > EPS)
      takers.push({ group, since: w.soonSince[d], now: false, want: soon });
  };
  for (const [group, wants] of s.others) {
    const w = wants.get(team);
    if (w && group !== s.group && s.groups.includes(group)) ask(group, w);
  }
  const mine = s.mine.get(team);
  if (mine) ask(s.group, mine);
  return takers.sort(
    (a, b) =>
      Number(b.now) - Number(a.now) ||
      a.since - b.since ||
      (a.group < b.group ? -1 : 1),
  );
}
