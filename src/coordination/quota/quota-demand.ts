import type { Context } from "../context.js";
import type { PartitionState } from "../scheduling/partition-state.js";
import type { JobSpec } from "../model.js";
import {
  isAllowedOn,
  EPSILON,
  fitCount,
  startsWhole,
  isSuitable,
} from "../scheduling/placement.js";
import { isShort, turnAt } from "../scheduling/scheduling-round.js";
import { freeOn, type JobRun } from "../machines/worker-state.js";
import type { ResourceAmounts } from "./quota-records.js";

/** Tasks of one job that wait for a part of a limit. */
interface WaitingTasks {
  /** What they take together. */
  need: ResourceAmounts;
  /** Whose turn it is, as the queues have it: a time of day, in ms. */
  since: number;
  /** Time of day, in ms, since which they could run. */
  readyAt: number;
  /** They have a place at once, or have waited for so long that they count as if they had. */
  now: boolean;
}

/** Looked at anew no more often than this. */
const RECOMPUTE_INTERVAL_MS = 300;
/**
 * Who has waited for this long comes before younger work that has a place already, though its own place is yet to be
 * rented: a stream of small jobs would keep a part of the limit from it for ever.
 */
const AGED_MS = 20_000;
/** Tasks of an array whose places are yet to be rented ask for so much at once: the rest will ask as these start. */
const SOON_TASKS = 20;
/** The oldest waiting jobs of a team that are looked at. */
const MAX_JOBS_PER_TEAM = 100;

/**
 * What waits here of each team, whether it has a place, and since when. Work without any place, now or to be rented,
 * wants nothing: a part of a limit that it had would be kept from others for nothing.
 */
export class QuotaDemand {
  private computedMs = -Infinity;
  private byTeam = new Map<string, WaitingTasks[]>();

  constructor(
    private readonly ctx: Context,
    private readonly own: PartitionState,
    private readonly hasPlace: (spec: JobSpec) => boolean,
  ) {}

  /** In the order of their turns. */
  waitingOf(team: string): readonly WaitingTasks[] {
    if (this.ctx.nowMs - this.computedMs >= RECOMPUTE_INTERVAL_MS)
      this.recompute();
    return this.byTeam.get(team) ?? [];
  }

  private recompute(): void {
    this.computedMs = this.ctx.nowMs;
    this.byTeam = new Map();
    // Parts of a limit go where the queues go, in every group: the one that could start what comes first next.
    const turn = (j: JobRun): number =>
      this.ctx.tuning.fleetOrder
        ? turnAt(j.view.readyAt, j.view.spec, this.own.unfinishedTasks(j))
        : j.view.readyAt;
    const jobs = [...this.own.jobs.values()]
      .filter((j) => this.own.mayStart(j) && !j.pendingTransfer)
      .sort((a, b) => turn(a) - turn(b) || (a.id < b.id ? -1 : 1));
    const kinds = new Map<string, { has: boolean; places: number }>();
    const seen = new Map<string, number>();
    for (const j of jobs) {
      const { spec, readyAt } = j.view;
      const n = (seen.get(spec.team) ?? 0) + 1;
      seen.set(spec.team, n);
      // The limit of a team without one is never short.
      const team = this.ctx.settings.teams.get(spec.team);
      if (n > MAX_JOBS_PER_TEAM || !team) continue;
      const whole = startsWhole(spec) || spec.kind === "service";
      // Accepted under a larger limit: it can't begin under this one, and what it waited for would be kept from all others.
      const least = spec.kind === "array" ? 1 : spec.tasks;
      if (
        spec.cpus * least > team.cpusMax + EPSILON ||
        spec.gpus * least > team.gpusMax + EPSILON
      )
        continue;
      const short = isShort(spec, this.ctx.tuning);
      // Jobs whose amounts differ by little share one look.
      const key = JSON.stringify([
        Math.ceil(spec.cpus),
        spec.gpus,
        Math.ceil(spec.memGb / 8),
        spec.machineTypes,
        spec.zone,
        spec.spot,
        spec.samePlace,
        short,
      ]);
      let kind = kinds.get(key);
      if (!kind)
        kinds.set(
          key,
          (kind = {
            has: this.hasPlace(spec),
            places: this.placesNow(spec, short),
          }),
        );
      if (!kind.has && kind.places === 0) continue;
      const all = j.waiting.size;
      const list = this.byTeam.get(spec.team) ?? [];
      this.byTeam.set(spec.team, list);
      const add = (tasks: number, now: boolean): void => {
        // Whole milliseconds, as they are published: two groups that saw the same time differently each took the other to be
        // first, and neither took what nobody had.
        if (tasks > 0)
          list.push({
            need: [spec.cpus * tasks, spec.gpus * tasks],
            since: Math.round(turn(j)),
            readyAt,
            now,
          });
      };
      const fit = whole && kind.places < all ? 0 : Math.min(all, kind.places);
      kind.places -= fit;
      const aged = this.ctx.wallMs - readyAt > AGED_MS;
      if (whole) add(all, fit === all || aged);
      else {
        const later = Math.min(all - fit, SOON_TASKS);
        add(fit + (aged ? later : 0), true);
        if (!aged) add(later, false);
      }
    }
  }

  /** Tasks of such a job that would start at once if the limit let them; with `samePlace` in the best zone. */
  private placesNow(spec: JobSpec, short: boolean): number {
    const { usable, reserved } = this.own.usableWorkers();
    const zones = new Map<string, number>();
    for (const w of usable) {
      if ((!short && reserved.has(w.id)) || this.own.isReservedForOther(w))
        continue;
      if (
        !isAllowedOn(spec, w.typeName, w.zone, w.spot) ||
        !isSuitable(spec, w.type, w.spot, this.ctx.catalog)
      )
        continue;
      const key = spec.samePlace ? w.zone : "";
      zones.set(key, (zones.get(key) ?? 0) + fitCount(spec, freeOn(w)));
    }
    return Math.max(0, ...zones.values());
  }
}
