import {
  bytesOf,
  type FreeKind,
  type ReclaimableKind,
  capacityKey,
  type CapacityRecord,
  type CapacityRow,
  tenth,
  writeCapacity,
} from "../../storage/records.js";
import { backlogOf } from "./backlog.js";
import type { Context } from "../context.js";
import { CallPriority } from "../effects.js";
import type { PartitionState } from "./partition-state.js";
import { type JobSpec, PRIORITIES } from "../model.js";
import { EPSILON } from "./placement.js";
import type { ScaleOut } from "../machines/scale-out.js";
import type { QuotaAllocator } from "../quota/index.js";
import {
  type PendingAssignment,
  backlogKindOf,
} from "../jobs/partition-capacity.js";
import { freeOn, type Worker } from "../machines/worker-state.js";

/** Which urgencies there are is looked at this often. */
const LEVELS_REFRESH_MS = 2_000;
/** The room is written at most this often. */
const WRITE_INTERVAL_MS = 700;
/** Splits go by room that is no older than this: counting it anew for each of a flood of submissions took most of the time. */
const REUSE_MS = 200;

/** What a row's list of what gives way takes beside its entries: `,"y":[]`. A row that has none leaves the field out. */
const FIELD_BYTES = 7;

/** For each range of urgencies that would find the same: what this machine has once tasks that give way to them are stopped. */
function reclaimableOn(
  w: Worker,
  levels: readonly number[],
): ReclaimableKind[] {
  if (w.tasks.size === 0) return [];
  const out: ReclaimableKind[] = [];
  const f = freeOn(w);
  for (const level of levels) {
    let { cpus, gpus, memGb } = f;
    let more = false;
    for (const t of w.tasks.values()) {
      const { spec, priority } = t.job.view;
      // A gang loses all its tasks with one: it does not give way.
      if (
        (spec.kind === "gang" && spec.tasks > 1) ||
        PRIORITIES.indexOf(priority) >= level
      )
        continue;
      more = true;
      cpus += spec.cpus;
      gpus += spec.gpus;
      memGb += spec.memGb;
    }
    if (!more) continue;
    const kind: ReclaimableKind = [
      tenth(cpus),
      tenth(gpus),
      tenth(memGb),
      1,
      level,
      level,
    ];
    const last = out.at(-1);
    if (last && last.slice(0, 3).join() === kind.slice(0, 3).join())
      last[5] = level;
    else out.push(kind);
  }
  return out;
}

/** The room and the queues of a group, which splits and moves go by, and the writing of them. */
export class CapacityReport {
  private writtenMs = -Infinity;
  private written = "";
  private busy = false;

  constructor(
    private readonly ctx: Context,
    private readonly own: PartitionState,
    private readonly sharing: QuotaAllocator,
    private readonly scaleOut: ScaleOut,
  ) {}

  /** The room as it is. */
  current(): CapacityRecord {
    const rows = new Map<string, CapacityRow>();
    const kinds = new Map<string, FreeKind>();
    const yields = new Map<string, ReclaimableKind>();
    const { usable, reserved } = this.own.usableWorkers();
    const levels = this.levels();
    for (const w of usable) {
      const key = w.offerKey;
      let row = rows.get(key);
      if (!row)
        rows.set(
          key,
          (row = {
            type: w.typeName,
            zone: w.zone,
            spot: w.spot,
            machines: 0,
            free: [],
            reserved: [],
          }),
        );
      row.machines++;
      const f = freeOn(w);
      for (const y of levels.length > 1 ? reclaimableOn(w, levels) : []) {
        const name = `${key}/${y.join("/")}`;
        const same = yields.get(name);
        if (same) same[3]++;
        else {
          yields.set(name, y);
          (row.reclaimable ??= []).push(y);
        }
      }
      if (
        (f.cpus <= EPSILON && f.gpus <= EPSILON) ||
        this.own.isReservedForOther(w)
      )
        continue;
      const kind: FreeKind = [tenth(f.cpus), tenth(f.gpus), tenth(f.memGb), 1];
      const isReserved = reserved.has(w.id);
      const name = `${key}/${kind[0]}/${kind[1]}/${kind[2]}/${isReserved}`;
      const same = kinds.get(name);
      if (same) same[3]++;
      else {
        kinds.set(name, kind);
        (isReserved ? row.reserved : row.free).push(kind);
      }
    }
    const queueFrom = this.queueFrom();
    const running = new Map<string, number>();
    for (const j of this.own.jobs.values()) {
      const n = this.own.runningTasksOf(j.id);
      if (n > 0) running.set(j.id, n);
    }
    const { scaleOut } = this;
    const soldOut = scaleOut.soldOutOffers();
    // Nothing left of what is sold out goes without saying.
    const left = new Map(
      [...scaleOut.remainingByOffer()].filter(
        ([what, n]) => n > 0 || !soldOut.includes(what),
      ),
    );
    return {
      rows: [...rows.values()],
      queue: backlogOf(this.own.jobs.values(), this.sharing.headroom()),
      queueByMinPriority: queueFrom,
      running,
      soldOut,
      left,
      ...this.sharing.rows(),
      isTruncated: false,
    };
  }

  /** Urgencies that jobs were seen to have, lowest first: who asks for less than the highest may be asked to give way. */
  private levels(): readonly number[] {
    if (this.ctx.nowMs - this.levelsMs >= LEVELS_REFRESH_MS) {
      this.levelsMs = this.ctx.nowMs;
      const seen = new Set(this.seen);
      for (const j of this.ctx.cache.jobs.values())
        seen.add(PRIORITIES.indexOf(j.priority));
      this.seen = [...seen].sort((a, b) => a - b);
    }
    return this.seen;
  }
  private levelsMs = -Infinity;
  private seen: readonly number[] = [];

  /** Tasks that wait, from each urgency upwards. */
  private queueFrom(): [number, number][] {
    const out = PRIORITIES.map((): [number, number] => [0, 0]);
    for (const j of this.own.jobs.values()) {
      if (j.waiting.isEmpty) continue;
      const kind = backlogKindOf(j.view.spec) === "plain" ? 0 : 1;
      for (let u = PRIORITIES.indexOf(j.view.priority); u >= 0; u--)
        out[u]![kind] += j.waiting.size;
    }
    return out;
  }

  /** For splits: the room as it was a moment ago, and what splits have handed to the group since. */
  recent(): {
    capacity: CapacityRecord;
    pendingAssignments: readonly PendingAssignment[];
  } {
    if (
      !this.recentReport ||
      this.ctx.nowMs - this.recentReport.atMs >= REUSE_MS
    )
      this.recentReport = {
        atMs: this.ctx.nowMs,
        capacity: this.current(),
        pendingAssignments: [],
      };
    return this.recentReport;
  }
  notePendingAssignment(spec: JobSpec, tasks: number): void {
    this.recentReport?.pendingAssignments.push({ spec, tasks });
  }
  private recentReport: {
    atMs: number;
    capacity: CapacityRecord;
    pendingAssignments: PendingAssignment[];
  } | null = null;

  /** What is written of it: what fits a value. Running counts give way first, then the smallest kinds of free room. */
  currentWithinSizeLimit(): CapacityRecord {
    const all = this.current();
    const rows = all.rows.sort((x, y) => y.machines - x.machines);
    const record: CapacityRecord & { rows: CapacityRow[] } = {
      ...all,
      rows: rows.map((r) => ({
        type: r.type,
        zone: r.zone,
        spot: r.spot,
        machines: r.machines,
        free: [],
        reserved: [],
      })),
      running: new Map(),
    };
    const { soldOut, left, wants } = record;
    const teams = (record.teams = new Map(all.teams));
    const most = this.ctx.settings.state.valueBytes;
    // With very many teams, types and zones these give way: hints first, then the rows of the fewest machines. A record
    // that does not fit would be refused for ever, and the group's room never known again.
    const cut = [
      () => left.delete([...left.keys()].at(-1)!),
      () => soldOut.pop() !== undefined,
      () => wants.delete([...wants.keys()].at(-1)!),
      () =>
        teams.delete([...teams.keys()].at(-1)!) && (record.isTruncated = true),
      () => record.rows.pop() !== undefined,
    ];
    while (bytesOf(writeCapacity(record)) > most && cut.some((one) => one()));
    let bytes = most - bytesOf(writeCapacity(record));
    const fits = (entry: readonly unknown[], around = 0): boolean => {
      const takes = bytesOf(entry) + 1 + around;
      if (takes > bytes) return false;
      bytes -= takes;
      return true;
    };
    const size = (k: FreeKind): number => k[3] * (k[0] + 100 * k[1]);
    const kinds = rows
      .slice(0, record.rows.length)
      .flatMap((r, i) => [
        ...r.free.map((kind) => ({ to: record.rows[i]!.free, kind })),
        ...r.reserved.map((kind) => ({ to: record.rows[i]!.reserved, kind })),
      ]);
    for (const { to, kind } of kinds.sort(
      (x, y) => size(y.kind) - size(x.kind),
    ))
      if (fits(kind)) to.push(kind);
    for (const [i, r] of rows.slice(0, record.rows.length).entries())
      for (const y of r.reclaimable ?? [])
        if (fits(y, record.rows[i]!.reclaimable ? 0 : FIELD_BYTES))
          (record.rows[i]!.reclaimable ??= []).push(y);
    for (const entry of all.running)
      if (fits(entry)) record.running.set(...entry);
    return record;
  }

  writeIfChanged(): void {
    if (this.busy || this.ctx.nowMs - this.writtenMs < WRITE_INTERVAL_MS)
      return;
    const value = writeCapacity(this.currentWithinSizeLimit());
    const text = JSON.stringify(value);
    if (text === this.written) return;
    this.writtenMs = this.ctx.nowMs;
    this.busy = true;
    const key = capacityKey(this.own.partition);
    this.own.commit(
      [{ key, version: this.ctx.cache.latestRevisionOf(key) }],
      [{ op: "put", key, value }],
      CallPriority.Background,
      (end) => {
        this.busy = false;
        if (end === "ok") this.written = text;
      },
    );
  }
}
