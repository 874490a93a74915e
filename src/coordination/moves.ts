import {
  bytesOf,
  jobKey,
  type RoomRecord,
  writeJob,
} from "../storage/records.js";
import { backlogOf } from "./backlog.js";
import type { Context } from "./context.js";
import { Urgent } from "./effects.js";
import { Handover } from "./handover.js";
import type { GroupState } from "./group-state.js";
import type { Use } from "./ledger.js";
import type { Sharing } from "./limits/index.js";
import type { JobSpec } from "./model.js";
import { fitLimit, goesWhole } from "./placement.js";
import { isShort } from "./queues.js";
import type { RangeSet } from "./ranges.js";
import type { Renting } from "./renting.js";
import {
  canRent,
  capableGroups,
  type Handed,
  movedSplit,
  queueOf,
  roomLeft,
  waitingBefore,
  wholeRoom,
} from "./splitter.js";
import type { JobRun } from "./tasks.js";

/** A task waits this long for its own group before it may move. */
const MOVE_AFTER_MS = 400;

/**
 * Tasks of an array that have waited for so long also go to a group with a queue, if it has room beside all that waits there: a gang
 * that does not fit kept them from its idle machines for as long as it waited. Sooner it cost deadlines: what waits there is
 * mostly about to start.
 */
const BESIDE_AFTER_MS = 20_000;

/** A job goes where others would be stopped for it only after it has waited here for longer than that takes. */
const YIELD_AFTER_MS = 6_000;

/** Waiting tasks that go to other groups. */
export class Moves {
  private gaveMs = -Infinity;

  constructor(
    private readonly ctx: Context,
    private readonly own: GroupState,
    private readonly renting: Renting,
    private readonly sharing: Sharing,
  ) {}

  /**
   * Pigeon's groups keep their tasks; ours let an idle master with an empty queue take waiting ones from the
   * longest queue's master. The giver writes the move into the job's record before the taker may start them,
   * and starts none of them itself from before that commit is sent.
   */
  tick(): void {
    if (this.own.fenced || this.ctx.nowMs - this.gaveMs < MOVE_AFTER_MS) return;
    this.gaveMs = this.ctx.nowMs;
    const waiting = [...this.own.jobs.values()].filter(
      (j) => !j.waiting.isEmpty,
    );
    if (waiting.length === 0) return;
    const rooms = this.ctx.mirror.rooms;
    const headroom = this.sharing.headroom();
    const own = backlogOf(this.own.jobs.values(), headroom);
    for (const job of waiting) {
      const spec = job.view.spec;
      const kind = queueOf(spec);
      if (
        job.moving ||
        job.finalizing ||
        job.suspectMs !== null ||
        spec.spread ||
        !this.own.mayStart(job) ||
        this.ctx.nowMs - job.waitingSinceMs < MOVE_AFTER_MS
      )
        continue;
      const whole = goesWhole(spec);
      const short = isShort(spec, this.ctx.tuning);
      // A part of an array comes from the longest queue; a gang that can't start here goes to whoever holds it whole.
      if (
        !whole &&
        [...rooms].some(
          ([g, r]) => g !== this.own.group && r.queue[kind] > own[kind],
        )
      )
        continue;
      if (whole && !this.own.waitsWhole(job)) continue;
      let best: { g: string; fit: number } | null = null;
      for (const [g, r] of rooms) {
        if (g === this.own.group || !this.ctx.mirror.groups.has(g)) continue;
        const handed = this.ctx.handed.get(g);
        // What waits there does not fit, or the room would not be free, and what it holds is not written as free.
        const fit = whole
          ? this.wholeAt(job, g, r, short, handed)
          : this.placesAt(job, r, short, handed);
        const n = Math.min(fit, this.allowed(spec, g, headroom.get(spec.team)));
        if (n >= (whole ? spec.tasks : 1) && (!best || n > best.fit))
          best = { g, fit: n };
      }
      // Nothing free anywhere and nothing more to be had here: a group with an empty queue that may still rent.
      if (
        !best &&
        this.ctx.catalog &&
        this.ctx.nowMs - job.waitingSinceMs > 2 * MOVE_AFTER_MS &&
        this.renting.exhausted(spec)
      )
        for (const c of capableGroups(
          spec,
          this.ctx.catalog,
          this.ctx.groups,
        )) {
          const r = rooms.get(c.group);
          if (
            c.group === this.own.group ||
            !r ||
            r.queue[kind] > 0 ||
            this.ctx.handed.has(c.group) ||
            !canRent(spec, c.zones, r, this.ctx.catalog)
          )
            continue;
          if (
            whole &&
            wholeRoom(spec, c.zones, r, this.ctx.catalog, short).soon <
              spec.tasks
          )
            continue;
          const n = Math.min(
            this.allowed(spec, c.group, headroom.get(spec.team)),
            whole ? spec.tasks : Math.ceil(job.waiting.size / 2),
          );
          if (n < (whole ? spec.tasks : 1)) continue;
          best = { g: c.group, fit: n };
          break;
        }
      if (!best) continue;
      // Machines that are on their way for tasks of an array would come for nothing.
      const movable = whole
        ? spec.tasks
        : job.waiting.size - this.renting.comingFor(spec);
      if (movable <= 0) continue;
      best.fit = Math.min(best.fit, movable);
      const mine = headroom.get(spec.team);
      if (mine) {
        mine.cpus -= spec.cpus * Math.min(best.fit, job.waiting.size);
        mine.gpus -= spec.gpus * Math.min(best.fit, job.waiting.size);
      }
      this.ctx.noteHanded(best.g, spec, Math.min(best.fit, job.waiting.size));
      this.move(job, job.waiting.take(whole ? spec.tasks : best.fit), best.g);
    }
  }

  /** Tasks of an array that a group has places for: one with an empty queue, or after a while with room beside its queue. */
  private placesAt(
    job: JobRun,
    room: RoomRecord,
    short: boolean,
    handed: readonly Handed[] | undefined,
  ): number {
    const { spec } = job.view;
    const queued = room.queue[queueOf(spec)];
    const waitedMs = this.ctx.nowMs - job.waitingSinceMs;
    if (queued > 0 && waitedMs < BESIDE_AFTER_MS) return 0;
    const catalog = this.ctx.catalog ?? [];
    return roomLeft(spec, room, catalog, short, handed) - queued;
  }

  /**
   * Tasks of a job that goes whole that fit into a group now; or, once it has waited for longer than stopping takes, that fit
   * there once less urgent work has given way, if nothing as urgent waits there.
   */
  private wholeAt(
    job: JobRun,
    group: string,
    room: RoomRecord,
    short: boolean,
    handed: readonly Handed[] | undefined,
  ): number {
    const { spec } = job.view;
    const at = wholeRoom(
      spec,
      this.zonesFor(spec, group),
      room,
      this.ctx.catalog ?? [],
      short,
      handed,
    );
    return at.now < spec.tasks &&
      this.ctx.nowMs - job.waitingSinceMs > YIELD_AFTER_MS &&
      waitingBefore(spec, room) === 0
      ? at.yields
      : at.now;
  }

  /**
   * Tasks that the team's limit would let start there, with what this group does not use of it itself: that follows them.
   * Work that only its limit keeps from starting went from group to group, each having machines free and none a part of
   * the limit: 7,600 moves in 500 s on a day with limits of a quarter of what was asked.
   */
  private allowed(spec: JobSpec, group: string, here: Use | undefined): number {
    const there = this.sharing.spareAt(group, spec.team);
    let cpus = there[0] + Math.max(0, here?.cpus ?? 0);
    let gpus = there[1] + Math.max(0, here?.gpus ?? 0);
    for (const h of this.ctx.handed.get(group) ?? [])
      if (h.spec.team === spec.team) {
        cpus -= h.spec.cpus * h.tasks;
        gpus -= h.spec.gpus * h.tasks;
      }
    return cpus === Infinity && gpus === Infinity
      ? Infinity
      : fitLimit(spec, { cpus, gpus });
  }

  private zonesFor(spec: JobSpec, group: string): string[] {
    return (
      capableGroups(spec, this.ctx.catalog ?? [], this.ctx.groups).find(
        (c) => c.group === group,
      )?.zones ?? []
    );
  }

  private move(job: JobRun, tasks: RangeSet, to: string): void {
    for (const i of tasks) if (this.own.ledger.hasStrays(job.id, i)) return;
    const value = writeJob({
      ...job.view,
      split: movedSplit(job.view.split, this.own.group, tasks, to),
    });
    // A record in too many pieces would be refused for ever.
    if (bytesOf(value) > this.ctx.settings.state.valueBytes) return;
    job.moving = { tasks, change: new Handover(job.view.version, value) };
    job.waiting.removeAll(tasks);
    this.ctx.log("info", "moving waiting tasks to an idle group", {
      job: job.id,
      tasks: tasks.size,
      to,
    });
    this.send(job);
  }

  send(job: JobRun): void {
    const m = job.moving;
    const key = jobKey(job.id);
    m?.change.send(
      (version, value, done) =>
        this.own.commit(
          [{ key, version }],
          [{ op: "put", key, value }],
          Urgent.Spare,
          done,
        ),
      () => {
        if (job.moving !== m) return;
        job.moving = null;
        if (!job.gone) this.own.refresh(job);
      },
    );
  }
}
