/**
 * The stored registry of a partition's machines, kept in one or more records of bounded size. Owns the wanted and the written
 * contents of these records and the commits that bring one to the other.
 */

import {
  bytesOf,
  type RegistryEntry,
  type RegistryRecord,
  registryKey,
  writeRegistry,
} from "../../storage/records.js";
import type { Condition, Write } from "../../protocol/state.js";
import type { TransactionOutcome, Context } from "../context.js";

/** Left free in each record, for what a return mark or another machine type adds. */
const RESERVED_BYTES = 100;
/** Delay before a commit that failed is sent again. */
const RETRY_MS = 300;
/** Bytes that an entry takes at least beyond the machine's name. */
const MIN_ENTRY_BYTES = 7;

/** What is to be written, by machine. */
type Entries = Map<string, RegistryEntry>;

/** A record that has space for one more machine. */
interface RecordWithSpace {
  chunk: number;
  /** Bytes that the record takes with it; absent: not computed. */
  size?: number;
}

/** Bytes that a record of these machines takes once it is marked as complete. */
const bytesOfMarked = (machines: Entries): number =>
  bytesOf(writeRegistry({ machines, complete: true }));

/**
 * The machines that a partition may have started tasks on. A machine is committed before its first start, so that after a
 * failover the new leader knows which to wait for; a machine to be returned is marked first, so that no later leader uses it.
 */
export class MachineRegistry {
  /** Contents that each record is to have, by its number. */
  private readonly wanted = new Map<number, Entries>();
  /** Machines that are known to be in a record of the store, with what it says of them. */
  private readonly written = new Map<string, RegistryEntry>();
  /** Bytes that a record takes, computed once for as long as nobody changes it. */
  private readonly sizes = new Map<number, number>();
  /** Records whose wanted contents differ from what was last sent. */
  private readonly dirty = new Set<number>();
  /** Records between which machines were moved: they are committed together or not at all. */
  private chunksToCommit: ReadonlySet<number> = new Set();
  /** Records that are not marked as complete: the earlier version that wrote them may have left out machines. */
  private readonly unconfirmed = new Set<number>();
  /** Whatever these records may lack has been heard of since, or is gone. */
  private isComplete = false;
  private isCommitting = false;
  private retryAtMs = 0;

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
   * Whether machines on which tasks run may be missing. An earlier version replaces a record whatever it holds by then, so an
   * indeterminate commit of it may have taken machines off the registry after these began tasks.
   */
  get mayLackMachines(): boolean {
    return this.unconfirmed.size > 0;
  }

  /**
   * Every machine that may run tasks of a former leader is listed or gone. The records are marked as complete once all that
   * was added to them is written.
   */
  confirmComplete(): void {
    this.isComplete = true;
    this.flush();
  }

  /** Machines that are in a record of the store. */
  machines(): ReadonlyMap<string, RegistryEntry> {
    return this.written;
  }

  /** Whether a machine is in a record of the store, so that tasks may be started on it. */
  has(id: string): boolean {
    return this.written.has(id);
  }

  /** Whether the store says that a machine is to be returned. */
  isReturnWritten(id: string): boolean {
    return this.written.get(id)?.isReturning === true;
  }

  private chunkOf(id: string): number | undefined {
    for (const [chunk, entries] of this.wanted)
      if (entries.has(id)) return chunk;
    return undefined;
  }

  /** What a record is to contain; a record that does not exist yet begins empty. */
  private wantedIn(chunk: number): Entries {
    let entries = this.wanted.get(chunk);
    if (!entries) this.wanted.set(chunk, (entries = new Map()));
    return entries;
  }

  private fits(machines: Entries): boolean {
    return bytesOfMarked(machines) <= this.ctx.settings.state.valueBytes;
  }

  private sizeOf(chunk: number, entries: Entries): number {
    let size = this.sizes.get(chunk);
    if (size === undefined)
      this.sizes.set(chunk, (size = bytesOfMarked(entries)));
    return size;
  }

  /** The first record, from `from` on, that has space for this machine. */
  private recordWithSpace(
    id: string,
    entry: RegistryEntry,
    from = 0,
  ): RecordWithSpace {
    const maxBytes = this.ctx.settings.state.valueBytes - RESERVED_BYTES;
    for (let chunk = from; ; chunk++) {
      const entries = this.wanted.get(chunk);
      if (!entries) {
        this.wanted.set(chunk, new Map());
        return { chunk };
      }
      // Most records are full, and known to be: these are passed over without computing their size anew.
      const minSize = this.sizeOf(chunk, entries) + id.length + MIN_ENTRY_BYTES;
      if (minSize > maxBytes) continue;
      const size = bytesOfMarked(new Map(entries).set(id, entry));
      if (size <= maxBytes) return { chunk, size };
    }
  }

  /** Adds a machine, or changes what the registry says of it. */
  set(id: string, entry: RegistryEntry): void {
    const known = this.chunkOf(id);
    const { chunk, size }: RecordWithSpace =
      known === undefined ? this.recordWithSpace(id, entry) : { chunk: known };
    const entries = this.wantedIn(chunk);
    if (isSameEntry(entries.get(id), entry)) return;
    entries.set(id, entry);
    if (size === undefined) this.sizes.delete(chunk);
    else this.sizes.set(chunk, size);
    this.dirty.add(chunk);
    this.flush();
  }

  /** Takes a machine off the registry. */
  remove(id: string): void {
    const chunk = this.chunkOf(id);
    if (chunk === undefined) return;
    this.wantedIn(chunk).delete(id);
    this.sizes.delete(chunk);
    // At once: a machine that comes back is not to be used before a commit that names it again, whatever becomes of
    // the one that leaves it out.
    this.written.delete(id);
    this.dirty.add(chunk);
    this.flush();
  }

  /**
   * Moves machines out of a record that exceeds the size limit of the store, as an earlier version may have written: whole,
   * it would be refused for ever, and its machines neither marked nor returned. Invariant (ran_twice): at every moment each
   * machine is in one record, so what moves goes in one transaction with the record that it leaves.
   */
  private splitRecord(chunk: number): ReadonlySet<number> {
    const parts = new Set([chunk]);
    const source = this.wantedIn(chunk);
    let lastTarget = 0;
    for (const [id, entry] of [...source].reverse()) {
      if (this.fits(source)) break;
      // Never the record itself: it has no space while it does not fit.
      const target = this.recordWithSpace(id, entry, lastTarget).chunk;
      if (!parts.has(target) && parts.size >= this.ctx.settings.state.txnOps)
        break;
      source.delete(id);
      this.wantedIn(target).set(id, entry);
      this.sizes.delete(chunk);
      this.sizes.delete(target);
      parts.add(target);
      lastTarget = target;
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
    if (changed !== undefined || !this.isComplete) return changed;
    return this.unconfirmed.values().next().value;
  }

  /** Records as they are to be written now, and whether they may be marked as complete. */
  private recordsToSend(): Map<number, RegistryRecord> {
    for (const chunk of this.chunksToCommit) this.dirty.delete(chunk);
    // Invariant (ran_twice): while a machine that was added is in no record yet, some record has to say that one may be missing.
    const allWritten = this.isComplete && this.dirty.size === 0;
    const records = new Map<number, RegistryRecord>();
    for (const chunk of this.chunksToCommit) {
      const complete = allWritten || !this.unconfirmed.has(chunk);
      records.set(chunk, {
        machines: new Map(this.wantedIn(chunk)),
        complete,
      });
    }
    return records;
  }

  /** Commits what changed, one transaction at a time; may be called at any time. */
  flush(): void {
    if (this.isCommitting || this.ctx.nowMs < this.retryAtMs) return;
    if (this.chunksToCommit.size === 0) {
      const chunk = this.nextChunk();
      if (chunk === undefined) return;
      this.chunksToCommit = this.fits(this.wantedIn(chunk))
        ? new Set([chunk])
        : this.splitRecord(chunk);
    }
    this.commitRecords(this.recordsToSend());
  }

  private commitRecords(records: ReadonlyMap<number, RegistryRecord>): void {
    this.isCommitting = true;
    // Conditional on what this leader last knew of them: a commit without an answer that is carried out after a later
    // one would take machines off the registry on which tasks run.
    const conditions = [...records.keys()].map((chunk) => {
      const key = registryKey(this.partition, chunk);
      return { key, version: this.ctx.cache.latestRevisionOf(key) };
    });
    const writes = [...records].map(([chunk, record]): Write => ({
      op: "put",
      key: registryKey(this.partition, chunk),
      value: writeRegistry(record),
    }));
    this.commit(conditions, writes, (outcome) => {
      this.isCommitting = false;
      if (outcome === "ok") this.onCommitted(records);
      else this.onCommitFailed(records);
      this.flush();
    });
  }

  private onCommitFailed(records: ReadonlyMap<number, RegistryRecord>): void {
    for (const chunk of records.keys()) this.dirty.add(chunk);
    this.retryAtMs = this.ctx.nowMs + RETRY_MS;
  }

  private onCommitted(records: ReadonlyMap<number, RegistryRecord>): void {
    this.chunksToCommit = new Set();
    for (const [chunk, { machines, complete }] of records) {
      if (complete) this.unconfirmed.delete(chunk);
      // Taken off since, or listed elsewhere by now: only a commit that names it there counts.
      for (const [id, entry] of machines)
        if (this.wantedIn(chunk).has(id)) this.written.set(id, entry);
    }
    this.onWritten();
  }
}

function isSameEntry(
  known: RegistryEntry | undefined,
  entry: RegistryEntry,
): boolean {
  return (
    known !== undefined &&
    known.isReturning === entry.isReturning &&
    known.type === entry.type
  );
}
