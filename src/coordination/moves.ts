import {
  bytesOf,
  jobKey,
  type RoomRecord,
  writeJob,
} from "../storage/records.js";
import { type Backlog, backlogOf } from "./backlog.js";
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
 * Tasks of an array that have waited for so long go to any group with room beside all that waits there, whoever has the longest
 * queue: a gang that does not fit, or a longer queue of work for one zone, kept them from idle machines for as long as it waited.
 * Sooner it cost deadlines: what waits there is mostly about to start.
 */
const LONG_WAIT_MS = 20_000;

/** A job goes where others would be stopped for it only after it has waited here for longer than that takes. */
const YIELD_AFTER_MS = 6_000;

/** Where tasks of a job go, and how many at most. */
interface Target {
  group: string;
  tasks: number;
}

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
    const headroom = this.sharing.headroom();
    const backlog = backlogOf(this.own.jobs.values(), headroom);
    for (const job of waiting) {
      if (!this.mayMove(job, backlog)) continue;
      const left = headroom.get(job.view.spec.team);
      const target =
        this.groupWithRoom(job, left) ?? this.groupToRent(job, left);
      if (target) this.give(job, target, left);
    }
  }

  private waitedMs(job: JobRun): number {
    return this.ctx.nowMs - job.waitingSinceMs;
  }

  private mayMove(job: JobRun, backlog: Backlog): boolean {
    const { spec } = job.view;
    if (job.moving || job.finalizing || job.suspectMs !== null) return false;
    if (spec.spread || !this.own.mayStart(job)) return false;
    if (this.waitedMs(job) < MOVE_AFTER_MS) return false;
    // A gang that can't start here goes to whoever holds it whole; a part of an array comes from the longest queue, but one that
    // has waited for long does not go on waiting for what a longer queue has that can't be served elsewhere.
    if (goesWhole(spec)) return this.own.waitsWhole(job);
    return (
      this.waitedMs(job) >= LONG_WAIT_MS ||
      this.isLongestQueue(queueOf(spec), backlog)
    );
  }

  private isLongestQueue(kind: keyof Backlog, backlog: Backlog): boolean {
    for (const [group, room] of this.ctx.mirror.rooms)
      if (group !== this.own.group && room.queue[kind] > backlog[kind])
        return false;
    return true;
  }

  /** The group that has places for most of the job's tasks, or for all of them if it goes whole. */
  private groupWithRoom(job: JobRun, left: Use | undefined): Target | null {
    const { spec } = job.view;
    const whole = goesWhole(spec);
    const short = isShort(spec, this.ctx.tuning);
    const least = whole ? spec.tasks : 1;
    let best: Target | null = null;
    for (const [group, room] of this.ctx.mirror.rooms) {
      if (group === this.own.group || !this.ctx.mirror.groups.has(group))
        continue;
      const handed = this.ctx.handed.get(group);
      // What waits there does not fit, or the room would not be free, and what it holds is not written as free.
      const fit = whole
        ? this.wholeAt(job, group, room, short, handed)
        : this.placesAt(job, room, short, handed);
      const tasks = Math.min(fit, this.allowed(spec, group, left));
      if (tasks >= least && (!best || tasks > best.tasks))
        best = { group, tasks };
    }
    return best;
  }

  /** Nothing free anywhere and nothing more to be had here: a group with an empty queue that may still rent. */
  private groupToRent(job: JobRun, left: Use | undefined): Target | null {
    const { spec } = job.view;
    const { catalog } = this.ctx;
    if (!catalog || this.waitedMs(job) <= 2 * MOVE_AFTER_MS) return null;
    if (!this.renting.exhausted(spec)) return null;
    const whole = goesWhole(spec);
    const short = isShort(spec, this.ctx.tuning);
    for (const { group, zones } of capableGroups(
      spec,
      catalog,
      this.ctx.groups,
    )) {
      const room = this.ctx.mirror.rooms.get(group);
      if (group === this.own.group || !room || this.ctx.handed.has(group))
        continue;
      if (room.queue[queueOf(spec)] > 0) continue;
      if (!canRent(spec, zones, room, catalog)) continue;
      const { soon } = wholeRoom(spec, zones, room, catalog, short);
      if (whole && soon < spec.tasks) continue;
      const wanted = whole ? spec.tasks : Math.ceil(job.waiting.size / 2);
      const tasks = Math.min(this.allowed(spec, group, left), wanted);
      if (tasks >= (whole ? spec.tasks : 1)) return { group, tasks };
    }
    return null;
  }

  /** Gives as many of the job's waiting tasks as the target takes and no machine is on its way for. */
  private give(job: JobRun, target: Target, left: Use | undefined): void {
    const { spec } = job.view;
    const whole = goesWhole(spec);
    // Machines that are on their way for tasks of an array would come for nothing.
    const movable = whole
      ? spec.tasks
      : job.waiting.size - this.renting.comingFor(spec);
    if (movable <= 0) return;
    const most = Math.min(target.tasks, movable);
    const tasks = Math.min(most, job.waiting.size);
    if (left) {
      left.cpus -= spec.cpus * tasks;
      left.gpus -= spec.gpus * tasks;
    }
    this.ctx.noteHanded(target.group, spec, tasks);
    this.move(job, job.waiting.take(whole ? spec.tasks : most), target.group);
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
    if (queued > 0 && this.waitedMs(job) < LONG_WAIT_MS) return 0;
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
    this.ctx.log("rebalancing waiting tasks", {
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
