import type { Team } from "../../config/settings.js";
import type { Shares } from "../../storage/records.js";
import { EPSILON } from "../scheduling/placement.js";
import {
  DIMENSIONS,
  type QuotaEntry,
  entryOf,
  roundDownToHundredth,
  roundUpToHundredth,
  limitOf,
  type QuotaRecords,
  type NewQuotaEntry,
  overdrawn,
  type ResourceAmounts,
  SLACK,
  withEntries,
} from "./quota-records.js";

/** What a group's waiting tasks of a team want beyond its part of the limit. */
export interface PartitionDemand {
  /** For tasks that have a place at once, or have waited for long. */
  now: ResourceAmounts;
  /** When the oldest of these became ready that lacks CPUs, and that lacks accelerators, ms since the epoch; Infinity: there is none. */
  nowSince: ResourceAmounts;
  /** For tasks whose place is yet to be rented. */
  soon: ResourceAmounts;
  soonSince: ResourceAmounts;
  /** The part of the limit that this is beyond: what has come since is not wanted any more. */
  beyond: ResourceAmounts;
}

/** What a group knows when it considers the records of the limits; none of it is changed. */
export interface QuotaSituation {
  partition: string;
  /** All groups that the settings name. */
  partitions: readonly string[];
  teams: ReadonlyMap<string, Team>;
  records: QuotaRecords;
  valueBytes: number;
  /** Records that one commit may write. */
  writes: number;
  /** What this group uses of a team, counting all that may be running. */
  use(team: string): ResourceAmounts;
  /** The same, counting only what surely runs; null: not known yet (the fence). */
  known(team: string): ResourceAmounts | null;
  mine: ReadonlyMap<string, PartitionDemand>;
  others: ReadonlyMap<string, ReadonlyMap<string, PartitionDemand>>;
  /** What the own waiting tasks that come before such a demand are going to use. */
  keep(
    team: string,
    since: number,
    partition: string,
    now: boolean,
  ): ResourceAmounts;
  /** Every live controller goes by the same limits as this one. */
  agreed: boolean;
  /** Groups that no settings name any more and of which nothing can run. */
  gone: ReadonlySet<string>;
  /** Parts of teams in that record may go from group to group. */
  movable(key: string): boolean;
}

export interface QuotaPlan {
  writes: Map<string, Shares>;
  /** By team: what this group gives away, and does not use from before the commit is sent. */
  reserved: Map<string, ResourceAmounts>;
  given: { team: string; to: string; give: ResourceAmounts }[];
  /** Groups whose absence it rests on. */
  gone: string[];
  /** Teams whose limit was written anew. */
  caps: string[];
}

/** What is left of a want after what has come since it was told. */
const remaining = (
  want: ResourceAmounts,
  beyond: ResourceAmounts,
  part: Readonly<ResourceAmounts> | undefined,
): ResourceAmounts =>
  DIMENSIONS.map((d) =>
    Math.max(0, Math.min(want[d], want[d] + beyond[d] - (part?.[d] ?? 0))),
  ) as ResourceAmounts;

/**
 * What this group writes next of the teams' limits; null: all is as it should be. One plan carries all its changes:
 * several teams, several takers, limits that were raised or lowered, parts of groups that are gone.
 */
export function planQuotas(s: QuotaSituation): QuotaPlan | null {
  const plan: QuotaPlan = {
    writes: new Map(),
    reserved: new Map(),
    given: [],
    gone: [],
    caps: [],
  };
  const changed = new Map<string, NewQuotaEntry>();
  for (const team of s.teams.values()) {
    const limit = limitOf(team);
    const entry = entryOf(s.records, team.name);
    if (!entry) {
      if (limit[0] === Infinity && limit[1] === Infinity) continue;
      // The first to see it: equal parts, which is what the version before goes by where nothing is written.
      const part = limit.map((x) =>
        x === Infinity ? 0 : roundDownToHundredth(x / s.partitions.length),
      ) as ResourceAmounts;
      changed.set(team.name, {
        cap: limit,
        parts: Object.fromEntries(s.partitions.map((g) => [g, part])),
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
  s: QuotaSituation,
  team: Team,
  had: QuotaEntry,
  plan: QuotaPlan,
): NewQuotaEntry | null {
  const limit = limitOf(team);
  const parts: Record<string, ResourceAmounts> = Object.fromEntries(
    Object.entries(had.parts).map(([g, p]) => [g, [...p]]),
  );
  const cap: ResourceAmounts = [...had.cap];
  const part = (g: string): ResourceAmounts => (parts[g] ??= [0, 0]);
  const use = s.use(team.name);
  const known = s.known(team.name);
  const reserved: ResourceAmounts = [0, 0];
  let dirty = false;
  for (const d of DIMENSIONS) {
    if (cap[d] > limit[d] + SLACK) {
      // Lowered, and all are to go by it from now on. Where there was no limit, nobody's part says what it uses: with
      // the whole limit for each nothing starts until each has said so.
      if (cap[d] === Infinity)
        for (const g of new Set([...s.partitions, ...Object.keys(parts)]))
          part(g)[d] = roundDownToHundredth(limit[d]);
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
      if (!(part(g)[d] > EPSILON)) continue;
      // Nothing of it can run any more, and it stays written as nothing: the version before takes what is not
      // written for an equal part.
      part(g)[d] = 0;
      dirty = true;
      if (!plan.gone.includes(g)) plan.gone.push(g);
    }
    // What runs here is more than the part: said openly, so that nobody starts anything on what is used already.
    if (known && known[d] > part(s.partition)[d] + SLACK) {
      part(s.partition)[d] = roundUpToHundredth(known[d]);
      dirty = true;
    }
    const sum = total(parts, d);
    const back = roundDownToHundredth(
      Math.min(sum - cap[d], part(s.partition)[d] - use[d]),
    );
    if (sum > cap[d] + EPSILON && back > EPSILON) {
      part(s.partition)[d] = roundDownToHundredth(part(s.partition)[d] - back);
      reserved[d] += back;
      dirty = true;
    }
  }
  // While more is handed out than there is, nothing moves: what is given back is not for anyone.
  const open = DIMENSIONS.every(
    (d) =>
      cap[d] === Infinity ||
      (!overdrawn(had, d) && total(parts, d) <= cap[d] + EPSILON),
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
  s: QuotaSituation,
  team: string,
  parts: Record<string, ResourceAmounts>,
  cap: ResourceAmounts,
  use: ResourceAmounts,
  reserved: ResourceAmounts,
  plan: QuotaPlan,
): boolean {
  const part = (g: string): ResourceAmounts => (parts[g] ??= [0, 0]);
  let moved = false;
  for (const d of DIMENSIONS) {
    if (cap[d] === Infinity) continue;
    let pool = roundDownToHundredth(Math.max(0, cap[d] - total(parts, d)));
    for (const t of takersOf(s, team, parts, d)) {
      const there = roundDownToHundredth(Math.min(t.want, pool));
      pool -= there;
      if (t.partition === s.partition) {
        // What nobody has is there for whoever comes first, who takes it by this commit and uses it once it is written.
        if (there <= EPSILON) continue;
        part(s.partition)[d] = roundDownToHundredth(
          part(s.partition)[d] + there,
        );
        moved = true;
        continue;
      }
      const keep = s.keep(team, t.since, t.partition, t.now);
      const give = roundDownToHundredth(
        Math.max(
          0,
          Math.min(t.want - there, part(s.partition)[d] - use[d] - keep[d]),
        ),
      );
      if (give <= EPSILON) continue;
      part(s.partition)[d] = roundDownToHundredth(part(s.partition)[d] - give);
      part(t.partition)[d] = roundDownToHundredth(part(t.partition)[d] + give);
      reserved[d] += give;
      const given = plan.given.find(
        (g) => g.team === team && g.to === t.partition,
      );
      if (given) given.give[d] += give;
      else
        plan.given.push({
          team,
          to: t.partition,
          give: d === 0 ? [give, 0] : [0, give],
        });
      moved = true;
    }
  }
  return moved;
}

const total = (parts: Record<string, ResourceAmounts>, d: 0 | 1): number =>
  Object.values(parts).reduce((n, p) => n + p[d], 0);

interface Taker {
  partition: string;
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
  s: QuotaSituation,
  team: string,
  parts: Readonly<Record<string, ResourceAmounts>>,
  d: 0 | 1,
): Taker[] {
  const takers: Taker[] = [];
  const ask = (partition: string, w: PartitionDemand): void => {
    const now = remaining(w.now, w.beyond, parts[partition])[d];
    const soon =
      remaining(
        [w.now[0] + w.soon[0], w.now[1] + w.soon[1]],
        w.beyond,
        parts[partition],
      )[d] - now;
    if (now > EPSILON)
      takers.push({ partition, since: w.nowSince[d], now: true, want: now });
    if (soon > EPSILON)
      takers.push({ partition, since: w.soonSince[d], now: false, want: soon });
  };
  for (const [partition, wants] of s.others) {
    const w = wants.get(team);
    if (w && partition !== s.partition && s.partitions.includes(partition))
      ask(partition, w);
  }
  const mine = s.mine.get(team);
  if (mine) ask(s.partition, mine);
  return takers.sort(
    (a, b) =>
      Number(b.now) - Number(a.now) ||
      a.since - b.since ||
      (a.partition < b.partition ? -1 : 1),
  );
}
