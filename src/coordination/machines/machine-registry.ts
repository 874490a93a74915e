import {
  bytesOf,
  type RegistryEntry,
  type RegistryRecord,
  registryKey,
  writeRegistry,
} from "../../storage/records.js";
import type { Condition, Write } from "../../protocol/state.js";
import type { TransactionOutcome, Context } from "../context.js";

/** Left free in each record, for what a mark or another machine type adds. */
const SLACK_BYTES = 100;
/** Until a commit that failed is sent again. */
const RETRY_MS = 300;

/** Bytes that a record of these machines takes once it is marked as complete. */
const bytesOfMarked = (machines: Map<string, RegistryEntry>): number =>
  bytesOf(writeRegistry({ machines, complete: true }));

/**
 * The written list of the machines that a group may have started tasks on. A machine is committed before its
 * first start, so that after a takeover the new master knows whom to wait for; a machine to be returned is
 * marked first, so that no later master uses it.
 */
export class MachineRegistry {
  private readonly wanted = new Map<number, Map<string, RegistryEntry>>();
  private readonly written = new Map<string, RegistryEntry>();
  private readonly dirty = new Set<number>();
  /** Records between which machines were moved: they are committed together or not at all. */
  private together: ReadonlySet<number> = new Set();
  /** Records of which it is not known that they name all machines: the version in production wrote them. */
  private readonly unconfirmed = new Set<number>();
  /** Whatever these records may lack has been heard of since, or is gone. */
  private nothingLacking = false;
  private busy = false;
  private retryMs = 0;

  constructor(
    private readonly ctx: Context,
    private readonly partition: string,
    private readonly commit: (
      conditions: Condition[],
      writes: Write[],
      done: (end: TransactionOutcome) => void,
    ) => void,
    private readonly onWritten: () => void,
  ) {
    for (const [chunk, record] of ctx.cache.registries.get(partition) ?? []) {
      const { machines, complete } = record;
      this.wanted.set(chunk, new Map(machines));
      for (const [id, entry] of machines) this.written.set(id, entry);
      if (!complete) this.unconfirmed.add(chunk);
      if (!this.fits(machines)) this.dirty.add(chunk);
    }
  }

  /**
   * Machines on which tasks run may be missing. The version in production replaces a record whatever it holds by then, so a
   * commit of it without an answer may have taken machines off the list after these began tasks.
   */
  get mayLackMachines(): boolean {
    return this.unconfirmed.size > 0;
  }
  /**
   * Every machine that may run tasks of a former master is listed or gone. The records are marked as complete once all that
   * was added to them is written.
   */
  confirm(): void {
    this.nothingLacking = true;
    this.flush();
  }

  machines(): ReadonlyMap<string, RegistryEntry> {
    return this.written;
  }
  has(id: string): boolean {
    return this.written.has(id);
  }
  isReturnWritten(id: string): boolean {
    return this.written.get(id)?.isReturning === true;
  }

  private chunkOf(id: string): number | undefined {
    for (const [chunk, m] of this.wanted) if (m.has(id)) return chunk;
    return undefined;
  }
  private fits(machines: Map<string, RegistryEntry>): boolean {
    return bytesOfMarked(machines) <= this.ctx.settings.state.valueBytes;
  }
  /** Bytes that a record takes, worked out once for as long as nobody changes it. */
  private sizeOf(chunk: number, m: Map<string, RegistryEntry>): number {
    let size = this.sizes.get(chunk);
    if (size === undefined) this.sizes.set(chunk, (size = bytesOfMarked(m)));
    return size;
  }
  private readonly sizes = new Map<number, number>();

  /** The first record, from `from` on, that has room for this machine, and the bytes that it takes with it, if that was worked out. */
  private roomy(
    id: string,
    entry: RegistryEntry,
    from = 0,
  ): { chunk: number; size?: number } {
    const most = this.ctx.settings.state.valueBytes - SLACK_BYTES;
    for (let chunk = from; ; chunk++) {
      const m = this.wanted.get(chunk);
      if (!m) {
        this.wanted.set(chunk, new Map());
        return { chunk };
      }
      // It takes at least its name and seven signs: most records are full, and known to be.
      if (this.sizeOf(chunk, m) + id.length + 7 > most) continue;
      const size = bytesOfMarked(new Map(m).set(id, entry));
      if (size <= most) return { chunk, size };
    }
  }

  set(id: string, entry: RegistryEntry): void {
    const known = this.chunkOf(id);
    const { chunk, size } =
      known === undefined
        ? this.roomy(id, entry)
        : { chunk: known, size: undefined };
    const m = this.wanted.get(chunk)!;
    const old = m.get(id);
    if (old && old.isReturning === entry.isReturning && old.type === entry.type)
      return;
    m.set(id, entry);
    if (size === undefined) this.sizes.delete(chunk);
    else this.sizes.set(chunk, size);
    this.dirty.add(chunk);
    this.flush();
  }
  remove(id: string): void {
    const chunk = this.chunkOf(id);
    if (chunk === undefined) return;
    this.wanted.get(chunk)!.delete(id);
    this.sizes.delete(chunk);
    // At once: a machine that comes back is not to be used before a commit that names it again, whatever becomes of
    // the one that leaves it out.
    this.written.delete(id);
    this.dirty.add(chunk);
    this.flush();
  }

  /**
   * A record that an earlier version wrote may be larger than what the state service takes by now: repeated whole it
   * would be refused for ever, and its machines neither marked nor returned. Invariant (ran_twice): at every moment each
   * machine is in one record, so what moves goes in one transaction with the record that it leaves.
   */
  private divide(chunk: number): ReadonlySet<number> {
    const parts = new Set([chunk]);
    const from = this.wanted.get(chunk)!;
    let last = 0;
    for (const [id, entry] of [...from].reverse()) {
      if (this.fits(from)) break;
      // Never the record itself: it has no room while it does not fit.
      const to = this.roomy(id, entry, last).chunk;
      if (!parts.has(to) && parts.size >= this.ctx.settings.state.txnOps) break;
      from.delete(id);
      this.wanted.get(to)!.set(id, entry);
      this.sizes.delete(chunk);
      this.sizes.delete(to);
      parts.add(to);
      last = to;
    }
    this.ctx.log("splitting oversized registry record", {
      partition: this.partition,
      chunk,
      parts: [...parts],
    });
    return parts;
  }

  /** The record to write next: one that changed, or else one to be marked as complete. */
  private nextChunk(): number | undefined {
    const changed = this.dirty.values().next().value;
    if (changed !== undefined || !this.nothingLacking) return changed;
    return this.unconfirmed.values().next().value;
  }

  /** Records as they are to be written now, and whether they may be marked as complete. */
  private toSend(): Map<number, RegistryRecord> {
    for (const chunk of this.together) this.dirty.delete(chunk);
    // Invariant (ran_twice): while a machine that was added is in no record yet, some record has to say that one may be missing.
    const allWritten = this.nothingLacking && this.dirty.size === 0;
    const records = new Map<number, RegistryRecord>();
    for (const chunk of this.together) {
      const complete = allWritten || !this.unconfirmed.has(chunk);
      records.set(chunk, {
        machines: new Map(this.wanted.get(chunk)),
        complete,
      });
    }
    return records;
  }

  flush(): void {
    if (this.busy || this.ctx.nowMs < this.retryMs) return;
    if (this.together.size === 0) {
      const chunk = this.nextChunk();
      if (chunk === undefined) return;
      this.together = this.fits(this.wanted.get(chunk)!)
        ? new Set([chunk])
        : this.divide(chunk);
    }
    const records = this.toSend();
    this.busy = true;
    // Conditional on what this master last knew of them: a commit without an answer that is carried out after a later
    // one would take machines off the list on which tasks run.
    const conditions = [...records.keys()].map((chunk) => {
      const key = registryKey(this.partition, chunk);
      return { key, version: this.ctx.cache.latestRevisionOf(key) };
    });
    const writes = [...records].map(([chunk, record]): Write => ({
      op: "put",
      key: registryKey(this.partition, chunk),
      value: writeRegistry(record),
    }));
    this.commit(conditions, writes, (end) => {
      this.busy = false;
      if (end === "ok") this.committed(records);
      else {
        for (const chunk of records.keys()) this.dirty.add(chunk);
        this.retryMs = this.ctx.nowMs + RETRY_MS;
      }
      this.flush();
    });
  }

  private committed(records: ReadonlyMap<number, RegistryRecord>): void {
    this.together = new Set();
    for (const [chunk, { machines, complete }] of records) {
      if (complete) this.unconfirmed.delete(chunk);
      // Taken off since, or listed elsewhere by now: only a commit that names it there counts.
      for (const [id, entry] of machines)
        if (this.wanted.get(chunk)!.has(id)) this.written.set(id, entry);
    }
    this.onWritten();
  }
}
