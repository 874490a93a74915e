import type { Shares } from "../storage/records.js";
import type { Team } from "../../../src/config/settings.js";
import { EPS } from "./placement.js";

/**
 * A team's limit, cut over the groups: equal shares unless the state service holds others. Rule `quota`: each
 * group starts a team's tasks only within its own share, and all shares together never exceed the limit, so no
 * group needs to know what the others run. A share moves by one commit of the group that gives; it keeps below
 * what it will have left from before that commit is sent, whatever becomes of it.
 */
export function shareOf(team: Team, group: string, groups: readonly string[], shares: Shares): [cpus: number, gpus: number] {
  const written = shares[team.name]?.[group];
  const n = groups.length;
  return [
    team.cpusMax === Infinity ? Infinity : (written?.[0] ?? team.cpusMax / n),
    team.gpusMax === Infinity ? Infinity : (written?.[1] ?? team.gpusMax / n),
  ];
}

/** All shares of a team after `give` moved from one group to another. */
export function moveShare(
  team: Team,
  groups: readonly string[],
  shares: Shares,
  from: string,
  to: string,
  give: [cpus: number, gpus: number],
): Shares {
  const all: Record<string, [number, number]> = {};
  for (const g of groups) {
    const [c, p] = shareOf(team, g, groups, shares);
    const sign = g === from ? -1 : g === to ? 1 : 0;
    // JSON knows no Infinity: 0 stands for it, and is never read where there is no limit.
    all[g] = [Number.isFinite(c) ? c + sign * give[0] : 0, Number.isFinite(p) ? p + sign * give[1] : 0];
  }
  return { ...shares, [team.name]: all };
}

export const withinShare = (
  used: { cpus: number; gpus: number },
  need: { cpus: number; gpus: number },
  share: [cpus: number, gpus: number],
): boolean => used.cpus + need.cpus <= share[0] + EPS && used.gpus + need.gpus <= share[1] + EPS;
