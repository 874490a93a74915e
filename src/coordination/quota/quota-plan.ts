/**
 * Plans what a partition writes next of the teams' limits, as a pure function of what it knows: the verification model and the
 * partition leader run the same code. Owns no state.
 */
import type { Team } from "../../config/settings.js";
import { rewriteRecords } from "./quota-record-writer.js";
import { entryOf, limitOf, type NewQuotaEntry } from "./quota-records.js";
import type { QuotaPlan, QuotaSituation } from "./quota-situation.js";
import { QuotaTeamPlanner } from "./quota-team-planner.js";
import { perDimension, roundDownToHundredth } from "./resource-amounts.js";

/**
 * What this partition writes next of the teams' limits; null: all is as it should be. One plan carries all its changes:
 * several teams, several takers, limits that were raised or lowered, parts of partitions that are gone.
 */
export function planQuotas(situation: QuotaSituation): QuotaPlan | null {
  const plan: QuotaPlan = {
    writes: new Map(),
    released: new Map(),
    transfers: [],
    removedPartitions: [],
    caps: [],
  };
  const changed = new Map<string, NewQuotaEntry>();
  for (const team of situation.teams.values()) {
    const entry = planTeam(situation, team, plan);
    if (entry) changed.set(team.name, entry);
  }
  const { writes, done } = rewriteRecords(situation.records, changed, {
    maxValueBytes: situation.maxValueBytes,
    maxRecords: situation.maxRecords,
  });
  return done.size === 0 ? null : { ...onlyTeams(plan, done), writes };
}

function planTeam(
  situation: QuotaSituation,
  team: Team,
  plan: QuotaPlan,
): NewQuotaEntry | null {
  const written = entryOf(situation.records, team.name);
  if (written)
    return new QuotaTeamPlanner(situation, team, written, plan).planEntry();
  const first = firstEntry(team, situation.partitions);
  if (first) plan.caps.push(team.name);
  return first;
}

/** Equal parts, which is what the version before goes by where nothing is written; null for a team without a limit. */
function firstEntry(
  team: Team,
  partitions: readonly string[],
): NewQuotaEntry | null {
  const cap = limitOf(team);
  if (cap[0] === Infinity && cap[1] === Infinity) return null;
  const part = perDimension((dimension) =>
    cap[dimension] === Infinity
      ? 0
      : roundDownToHundredth(cap[dimension] / partitions.length),
  );
  const parts = Object.fromEntries(
    partitions.map((partition) => [partition, part]),
  );
  return { cap, shares: parts };
}

/** The plan without the teams whose change did not fit into one transaction: they wait for the next. */
const onlyTeams = (plan: QuotaPlan, done: ReadonlySet<string>): QuotaPlan => ({
  ...plan,
  released: new Map([...plan.released].filter(([team]) => done.has(team))),
  transfers: plan.transfers.filter(({ team }) => done.has(team)),
  caps: plan.caps.filter((team) => done.has(team)),
});
