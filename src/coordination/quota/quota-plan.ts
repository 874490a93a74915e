/**
 * Plans the next change to the quota records as a pure function, which the partition leader and the verification model both
 * call. Owns no state.
 */
import type { Team } from "../../config/settings.js";
import { rewriteRecords } from "./quota-record-writer.js";
import { entryOf, limitOf, type NewQuotaEntry } from "./quota-records.js";
import type { QuotaPlan, QuotaSituation } from "./quota-situation.js";
import { QuotaTeamPlanner } from "./quota-team-planner.js";
import { perDimension, roundDownToHundredth } from "./resource-amounts.js";

/**
 * The next change to the quota records; null if none is needed. One plan combines all changes: transfers of several teams' quota
 * to several partitions, raised and lowered limits, and the shares of removed partitions.
 */
export function planQuotas(situation: QuotaSituation): QuotaPlan | null {
  const plan: QuotaPlan = {
    writes: new Map(),
    released: new Map(),
    transfers: [],
    removedPartitions: [],
    teamsWithNewCap: [],
  };
  const changed = new Map<string, NewQuotaEntry>();
  for (const team of situation.teams.values()) {
    const entry = planTeam(situation, team, plan);
    if (entry) changed.set(team.name, entry);
  }
  const { writes, writtenTeams } = rewriteRecords(situation.records, changed, {
    maxValueBytes: situation.maxValueBytes,
    maxRecords: situation.maxRecords,
  });
  return writtenTeams.size === 0
    ? null
    : { ...onlyTeams(plan, writtenTeams), writes };
}

function planTeam(
  situation: QuotaSituation,
  team: Team,
  plan: QuotaPlan,
): NewQuotaEntry | null {
  const currentEntry = entryOf(situation.records, team.name);
  if (currentEntry)
    return new QuotaTeamPlanner(
      situation,
      team,
      currentEntry,
      plan,
    ).planEntry();
  const initial = initialEntry(team, situation.partitions);
  if (initial) plan.teamsWithNewCap.push(team.name);
  return initial;
}

/** Equal shares, as the previous version assumes where no entry exists; null for a team without a limit. */
function initialEntry(
  team: Team,
  partitions: readonly string[],
): NewQuotaEntry | null {
  const cap = limitOf(team);
  if (cap[0] === Infinity && cap[1] === Infinity) return null;
  const share = perDimension((dimension) =>
    cap[dimension] === Infinity
      ? 0
      : roundDownToHundredth(cap[dimension] / partitions.length),
  );
  const shares = Object.fromEntries(
    partitions.map((partition) => [partition, share]),
  );
  return { cap, shares };
}

/** The plan without the teams whose changes did not fit into the transaction; the next plan retries them. */
const onlyTeams = (
  plan: QuotaPlan,
  writtenTeams: ReadonlySet<string>,
): QuotaPlan => ({
  ...plan,
  released: new Map(
    [...plan.released].filter(([team]) => writtenTeams.has(team)),
  ),
  transfers: plan.transfers.filter(({ team }) => writtenTeams.has(team)),
  teamsWithNewCap: plan.teamsWithNewCap.filter((team) =>
    writtenTeams.has(team),
  ),
});
