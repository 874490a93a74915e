import { bytesOf, type FreeKind, roomKey, type RoomRecord, type RoomRow, tenth, writeRoom } from "../storage/records.js";
import type { Context } from "./context.js";
import { Urgent } from "./effects.js";
import type { Holdings } from "./holdings.js";
import type { JobSpec } from "./model.js";
import { EPS } from "./placement.js";
import type { Renting } from "./renting.js";
import type { Sharing } from "./limits/index.js";
import type { Handed } from "./splitter.js";
import { freeOn } from "./tasks.js";

/** The room is written at most this often. */
const WRITE_MS = 700;
/** Splits go by room that is no older than this: counting it anew for each of a flood of submissions took most of the time. */
const SPLIT_MS = 200;

/** The room and the queues of a group, which splits and moves go by, and the writing of them. */
export class Room {
  private writtenMs = -Infinity;
  private written = "";
  private busy = false;

  constructor(
    private readonly ctx: Context,
    private readonly own: Holdings,
    private readonly sharing: Sharing,
    private readonly renting: Renting,
  ) {}

  /** The room as it is. */
  now(): RoomRecord {
    const rows = new Map<string, RoomRow>();
    const kinds = new Map<string, FreeKind>();
    const { usable, reserved } = this.own.usableWorkers();
    for (const w of usable) {
      const key = w.kind;
      let row = rows.get(key);
      if (!row) rows.set(key, (row = { type: w.typeName, zone: w.zone, spot: w.spot, machines: 0, free: [], reserved: [] }));
      row.machines++;
      const f = freeOn(w);
      if ((f.cpus <= EPS && f.gpus <= EPS) || this.own.isHeld(w)) continue;
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
    const queue = this.own.queue();
    const running = new Map<string, number>();
    for (const j of this.own.jobs.values()) {
      const n = this.own.runningOf(j.id);
      if (n > 0) running.set(j.id, n);
    }
    const { renting } = this;
    const soldOut = renting.soldOut();
    // Nothing left of what is sold out goes without saying.
    const left = new Map([...renting.left()].filter(([what, n]) => n > 0 || !soldOut.includes(what)));
    return { rows: [...rows.values()], queue, running, soldOut, left, ...this.sharing.rows(), cut: false };
  }

  /** For splits: the room as it was a moment ago, and what splits have handed to the group since. */
  lately(): { room: RoomRecord; handed: readonly Handed[] } {
    if (!this.recent || this.ctx.nowMs - this.recent.atMs >= SPLIT_MS) this.recent = { atMs: this.ctx.nowMs, room: this.now(), handed: [] };
    return this.recent;
  }
  noteHanded(spec: JobSpec, tasks: number): void {
    this.recent?.handed.push({ spec, tasks });
  }
  private recent: { atMs: number; room: RoomRecord; handed: Handed[] } | null = null;

  /** What is written of it: what fits a value. Running counts give way first, then the smallest kinds of free room. */
  fitted(): RoomRecord {
    const all = this.now();
    const rows = all.rows.sort((x, y) => y.machines - x.machines);
    const record: RoomRecord = { ...all, rows: rows.map((r) => ({ ...r, free: [], reserved: [] })), running: new Map() };
    const { soldOut, left, wants } = record;
    const teams = (record.teams = new Map(all.teams));
    const most = this.ctx.settings.state.valueBytes;
    // With very many teams, types and zones these give way: hints first, then the rows of the fewest machines. A record
    // that does not fit would be refused for ever, and the group's room never known again.
    const cut = [() => left.delete([...left.keys()].at(-1)!), () => soldOut.pop() !== undefined, () => wants.delete([...wants.keys()].at(-1)!), () => teams.delete([...teams.keys()].at(-1)!) && (record.cut = true), () => record.rows.pop() !== undefined];
    while (bytesOf(writeRoom(record)) > most && cut.some((one) => one()));
    let bytes = most - bytesOf(writeRoom(record));
    const fits = (entry: readonly unknown[]): boolean => {
      const takes = bytesOf(entry) + 1;
      if (takes > bytes) return false;
      bytes -= takes;
      return true;
    };
    const size = (k: FreeKind): number => k[3] * (k[0] + 100 * k[1]);
    const kinds = rows.slice(0, record.rows.length).flatMap((r, i) => [...r.free.map((kind) => ({ to: record.rows[i]!.free, kind })), ...r.reserved.map((kind) => ({ to: record.rows[i]!.reserved, kind }))]);
    for (const { to, kind } of kinds.sort((x, y) => size(y.kind) - size(x.kind))) if (fits(kind)) to.push(kind);
    for (const entry of all.running) if (fits(entry)) record.running.set(...entry);
    return record;
  }

  writeIfChanged(): void {
    if (this.busy || this.ctx.nowMs - this.writtenMs < WRITE_MS) return;
    const value = writeRoom(this.fitted());
    const text = JSON.stringify(value);
    if (text === this.written) return;
    this.writtenMs = this.ctx.nowMs;
    this.busy = true;
    this.own.commit([], [{ op: "put", key: roomKey(this.own.group), value }], Urgent.Spare, (end) => {
      this.busy = false;
      if (end === "ok") this.written = text;
    });
  }
}
