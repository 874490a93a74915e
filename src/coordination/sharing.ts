import { bytesOf, QUOTA_KEY, type Want } from "../storage/records.js";
import type { Context } from "./context.js";
import { Urgent } from "./effects.js";
import { Handover } from "./handover.js";
import type { Holdings } from "./holdings.js";
import type { Use } from "./ledger.js";
import type { JobSpec } from "./model.js";
import { EPS, placeAsked } from "./placement.js";
import { moveShare, shareOf, withinShare } from "./quota.js";

/** A group's part of the teams' limits, and giving of it to groups that want more. */
export class Sharing {
  /** Part of a team's limit on its way to another group. */
  private giving: { team: string; give: [number, number]; change: Handover } | null = null;

  constructor(
    private readonly ctx: Context,
    private readonly own: Holdings,
    /** Whether this group has, or may get, a machine with room for a task of such a job. */
    private readonly hasPlace: (spec: JobSpec) => boolean,
  ) {}

  share(team: string): [number, number] {
    const t = this.ctx.settings.teams.get(team);
    if (!t) return [0, 0];
    const [cpus, gpus] = shareOf(t, this.own.group, this.ctx.groups.names, this.ctx.mirror.shares);
    const g = this.giving;
    return g && g.team === team && g.change.base === this.ctx.mirror.sharesVersion ? [cpus - g.give[0], gpus - g.give[1]] : [cpus, gpus];
  }

  /** By team: what it may still use in this group. */
  headroom(): Map<string, Use> {
    const used = this.own.usage();
    const out = new Map<string, Use>();
    for (const team of this.ctx.settings.teams.keys()) {
      const share = this.share(team);
      const u = used.get(team) ?? { cpus: 0, gpus: 0 };
      out.set(team, { cpus: share[0] - u.cpus, gpus: share[1] - u.gpus });
    }
    return out;
  }

  /** By team: how much more of its limit this group could use at once, and since when the oldest job waits. */
  wants(hasPlace = this.places()): Map<string, Want> {
    const out = new Map<string, Want>();
    const used = this.own.usage();
    for (const j of this.own.jobs.values()) {
      const spec = j.view.spec;
      if (j.waiting.isEmpty || out.size >= 20) continue;
      const n = spec.shape === "batch" ? 1 : j.waiting.size;
      const share = this.share(spec.team);
      const u = used.get(spec.team) ?? { cpus: 0, gpus: 0 };
      if (withinShare(u, { cpus: spec.cpus * n, gpus: spec.gpus * n }, share) || !hasPlace(spec)) continue;
      const all = spec.shape === "batch" ? Math.min(j.waiting.size, 20) : n;
      const want = {
        cpus: Math.max(0, u.cpus + spec.cpus * all - share[0]),
        gpus: Math.max(0, u.gpus + spec.gpus * all - share[1]),
        since: j.view.readyAt,
      };
      const had = out.get(spec.team);
      if (!had || want.since < had.since) out.set(spec.team, want);
    }
    return out;
  }

  /** The same for all jobs that ask for the same kind of place. */
  private places(): (spec: JobSpec) => boolean {
    const known = new Map<string, boolean>();
    return (s) => {
      const key = placeAsked(s);
      let has = known.get(key);
      if (has === undefined) known.set(key, (has = this.hasPlace(s)));
      return has;
    };
  }

  /**
   * What this group's waiting jobs of a team are going to use before whoever has waited since then. Without it two groups
   * whose jobs found no machine handed the same part to and fro, several times a second, and neither had it when one
   * came (docs/incidents/claimdesk-fleet-late-jobs.md). Who has waited for longer keeps it, so it goes one way only.
   */
  private kept(team: string, want: Want, to: string, hasPlace: (spec: JobSpec) => boolean): Use {
    const sum = { cpus: 0, gpus: 0 };
    for (const j of this.own.jobs.values()) {
      const { spec, readyAt } = j.view;
      if (spec.team !== team || j.waiting.isEmpty || readyAt > want.since || (readyAt === want.since && this.own.group > to) || !hasPlace(spec)) continue;
      sum.cpus += spec.cpus * j.waiting.size;
      sum.gpus += spec.gpus * j.waiting.size;
    }
    return sum;
  }

  /**
   * Gives what this group does not use of a team's limit to one that wants it, if that has waited longer than
   * anything here. Invariant (quota): from before the commit is sent this group keeps within what it will have
   * left, and it does so until the record shows how the commit ended.
   */
  tick(): void {
    const g = this.giving;
    if (g) {
      if (this.ctx.mirror.sharesVersion !== g.change.base) this.giving = null;
      else return this.send();
    }
    if (this.own.fenced) return;
    const hasPlace = this.places();
    const mine = this.wants(hasPlace);
    const usage = this.own.usage();
    for (const [group, room] of this.ctx.mirror.rooms) {
      if (group === this.own.group) continue;
      for (const [name, want] of room.wants) {
        const team = this.ctx.settings.teams.get(name);
        const own = mine.get(name);
        if (!team || (own && (own.since < want.since || (own.since === want.since && this.own.group < group)))) continue;
        const share = this.share(name);
        const used = { ...(usage.get(name) ?? { cpus: 0, gpus: 0 }) };
        const kept = this.kept(name, want, group, hasPlace);
        used.cpus += kept.cpus;
        used.gpus += kept.gpus;
        const spare = (limit: number, use: number, ask: number): number => (Number.isFinite(limit) ? Math.max(0, Math.min(ask, Math.floor((limit - use) * 100) / 100)) : 0);
        const give: [number, number] = [spare(share[0], used.cpus, want.cpus), spare(share[1], used.gpus, want.gpus)];
        if (give[0] <= EPS && give[1] <= EPS) continue;
        const shares = moveShare(team, this.ctx.groups.names, this.ctx.mirror.shares, this.own.group, group, give);
        // With very many teams the record would not fit a value: the shares stay as they are.
        if (bytesOf(shares) > this.ctx.settings.state.valueBytes) continue;
        this.giving = { team: name, give, change: new Handover(this.ctx.mirror.sharesVersion, shares) };
        this.ctx.log("info", "giving part of a team's limit to another group", { team: name, to: group, cpus: give[0], gpus: give[1] });
        return this.send();
      }
    }
  }

  private send(): void {
    const g = this.giving;
    g?.change.send(
      (version, value, done) => this.own.commit([{ key: QUOTA_KEY, version }], [{ op: "put", key: QUOTA_KEY, value }], Urgent.Spare, done),
      () => {
        if (this.giving === g) this.giving = null;
      },
    );
  }
}
