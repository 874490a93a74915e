import { ROSTER_CHUNK, type RosterEntry, rosterKey, writeRoster } from "../storage/records.js";
import type { CommitEnd, Context } from "./context.js";

/**
 * The written list of the machines that a group may have started tasks on. A machine is committed before its
 * first start, so that after a takeover the new master knows whom to wait for; a machine to be returned is
 * marked first, so that no later master uses it.
 */
export class Roster {
  private readonly want = new Map<number, Map<string, RosterEntry>>();
  private readonly written = new Map<string, RosterEntry>();
  private readonly dirty = new Set<number>();
  private busy = false;
  private retryMs = 0;

  constructor(
    private readonly ctx: Context,
    private readonly group: string,
    private readonly commit: (key: string, value: object, done: (end: CommitEnd) => void) => void,
    private readonly changed: () => void,
  ) {
    for (const [chunk, m] of ctx.mirror.rosters.get(group) ?? []) {
      this.want.set(chunk, new Map(m));
      for (const [id, e] of m) this.written.set(id, e);
    }
  }

  machines(): ReadonlyMap<string, RosterEntry> {
    return this.written;
  }
  has(id: string): boolean {
    return this.written.has(id);
  }
  goingWritten(id: string): boolean {
    return this.written.get(id)?.going === true;
  }

  private chunkOf(id: string): number | undefined {
    for (const [chunk, m] of this.want) if (m.has(id)) return chunk;
    return undefined;
  }
  set(id: string, entry: RosterEntry): void {
    let chunk = this.chunkOf(id);
    if (chunk === undefined) {
      chunk = 0;
      while ((this.want.get(chunk)?.size ?? 0) >= ROSTER_CHUNK) chunk++;
    }
    let m = this.want.get(chunk);
    if (!m) this.want.set(chunk, (m = new Map()));
    const old = m.get(id);
    if (old && old.going === entry.going && old.type === entry.type) return;
    m.set(id, entry);
    this.dirty.add(chunk);
    this.flush();
  }
  remove(id: string): void {
    const chunk = this.chunkOf(id);
    if (chunk === undefined) return;
    this.want.get(chunk)!.delete(id);
    // At once: a machine that comes back is not to be used before a commit that names it again, whatever becomes of
    // the one that leaves it out.
    this.written.delete(id);
    this.dirty.add(chunk);
    this.flush();
  }

  flush(): void {
    if (this.busy || this.ctx.nowMs < this.retryMs) return;
    const chunk = this.dirty.values().next().value;
    if (chunk === undefined) return;
    const sent = new Map(this.want.get(chunk));
    this.dirty.delete(chunk);
    this.busy = true;
    this.commit(rosterKey(this.group, chunk), writeRoster(sent), (end) => {
      this.busy = false;
      if (end === "ok") {
        for (const [id, e] of sent) this.written.set(id, e);
        for (const id of [...this.written.keys()]) if (this.chunkOf(id) === undefined) this.written.delete(id);
        this.changed();
      } else {
        this.dirty.add(chunk);
        this.retryMs = this.ctx.nowMs + 300;
      }
      this.flush();
    });
  }
}
