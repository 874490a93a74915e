/**
 * The stored registry of a partition's machines, kept in one or more records of bounded size. Owns the desired and the stored
 * contents of these records, and the commits that bring the store to the desired contents.
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

/** Left free in each record for the bytes that a return mark or a new machine type adds. */
const RESERVED_BYTES = 100;
/** Delay before a failed commit is retried. */
const RETRY_MS = 300;
/** Minimum size of an entry beyond the machine's id. */
const MIN_ENTRY_BYTES = 7;

/** Entries of one record, by machine id. */
type Entries = Map<string, RegistryEntry>;

/** A record that has space for one more machine. `chunk` is the record's number. */
interface RecordWithSpace {
  chunk: number;
  /** Size of the record including that machine; absent if not computed. */
  bytes?: number;
}

/** Size of a record of these machines once it is marked as complete. */
const bytesOfMarked = (machines: Entries): number =>
  bytesOf(writeRegistry({ machines, complete: true }));

/**
 * The machines on which a partition's leaders may have started tasks. A machine is committed before its first task is started, so
 * that after a failover the new leader knows which machines to wait for. A machine to be returned is marked before the request
 * is sent, so that no later leader uses it.
 */
export class MachineRegistry {
  /** Desired contents of each record, by record number. */
  private readonly desired = new Map<number, Entries>();
  /** Entries that are known to be in a record of the store, by machine id. */
  private readonly stored = new Map<string, RegistryEntry>();
  /** Cached size of each record, by record number; dropped when the record changes. */
  private readonly recordBytes = new Map<number, number>();
  /** Records whose desired contents differ from what was last sent. */
  private readonly dirtyChunks = new Set<number>();
  /** Records to commit in one transaction. Several if machines were moved between them. */
  private chunksToCommit: ReadonlySet<number> = new Set();
  /** Records that are not marked as complete: an earlier version of the software wrote them and may have omitted machines. */
  private readonly incompleteChunks = new Set<number>();
  /** Whether every machine that these records may lack has been listed since, or is gone. */
  private isConfirmedComplete = false;
  private isCommitting = false;
  private retryAtMs = 0;

  constructor(
    private readonly ctx: Context,
    private readonly partition: string,
    private readonly commit: (
      conditions: Condition[],
      writes: Write[],
      done: (outcome: TransactionOutcome) => void,
    ) => void,
    private readonly onWritten: () => void,
  ) {
    for (const [chunk, record] of ctx.cache.registries.get(partition) ?? []) {
      const { machines, complete } = record;
      this.desired.set(chunk, new Map(machines));
      for (const [id, entry] of machines) this.stored.set(id, entry);
      if (!complete) this.incompleteChunks.add(chunk);
      if (!this.fits(machines)) this.dirtyChunks.add(chunk);
    }
  }

  /**
   * Whether machines on which tasks run may be missing from the registry. An earlier version of the software replaces a record
   * unconditionally, so an indeterminate commit of it may have removed machines after they began tasks.
   */
  get mayLackMachines(): boolean {
    return this.incompleteChunks.size > 0;
  }

  /**
   * Called once every machine that may run tasks of a former leader is listed or gone. The records are marked as complete once
   * all added machines are stored.
   */
  confirmComplete(): void {
    this.isConfirmedComplete = true;
    this.flush();
  }

  /** Entries that are in a record of the store, by machine id. */
  machines(): ReadonlyMap<string, RegistryEntry> {
    return this.stored;
  }

  /** Whether a machine is in a record of the store, so that tasks may be started on it. */
  has(id: string): boolean {
    return this.stored.has(id);
  }

  /** Whether a machine's return mark is in a record of the store. */
  isReturnWritten(id: string): boolean {
    return this.stored.get(id)?.isReturning === true;
  }

  private chunkOf(id: string): number | undefined {
    for (const [chunk, entries] of this.desired)
      if (entries.has(id)) return chunk;
    return undefined;
  }

  /** Desired contents of a record. A record that does not exist yet starts empty. */
  private desiredIn(chunk: number): Entries {
    let entries = this.desired.get(chunk);
    if (!entries) this.desired.set(chunk, (entries = new Map()));
    return entries;
  }

  private fits(machines: Entries): boolean {
    return bytesOfMarked(machines) <= this.ctx.settings.state.valueBytes;
  }

  private bytesOfRecord(chunk: number, entries: Entries): number {
    let bytes = this.recordBytes.get(chunk);
    if (bytes === undefined)
      this.recordBytes.set(chunk, (bytes = bytesOfMarked(entries)));
    return bytes;
  }

  /** The first record, from `firstChunk` on, that has space for this machine. */
  private recordWithSpace(
    id: string,
    entry: RegistryEntry,
    firstChunk = 0,
  ): RecordWithSpace {
    const maxBytes = this.ctx.settings.state.valueBytes - RESERVED_BYTES;
    for (let chunk = firstChunk; ; chunk++) {
      const entries = this.desired.get(chunk);
      if (!entries) {
        this.desired.set(chunk, new Map());
        return { chunk };
      }
      // Most records are full. The cached size is enough to skip them without serializing them again.
      const minBytes =
        this.bytesOfRecord(chunk, entries) + id.length + MIN_ENTRY_BYTES;
      if (minBytes > maxBytes) continue;
      const bytes = bytesOfMarked(new Map(entries).set(id, entry));
      if (bytes <= maxBytes) return { chunk, bytes };
    }
  }

  /** Adds a machine or replaces its entry. */
  set(id: string, entry: RegistryEntry): void {
    const knownChunk = this.chunkOf(id);
    const { chunk, bytes }: RecordWithSpace =
      knownChunk === undefined
        ? this.recordWithSpace(id, entry)
        : { chunk: knownChunk };
    const entries = this.desiredIn(chunk);
    if (isSameEntry(entries.get(id), entry)) return;
    entries.set(id, entry);
    if (bytes === undefined) this.recordBytes.delete(chunk);
    else this.recordBytes.set(chunk, bytes);
    this.dirtyChunks.add(chunk);
    this.flush();
  }

  /** Removes a machine from the registry. */
  remove(id: string): void {
    const chunk = this.chunkOf(id);
    if (chunk === undefined) return;
    this.desiredIn(chunk).delete(id);
    this.recordBytes.delete(chunk);
    // Dropped before the commit: a machine that comes back must not be used until a new commit includes it again, whatever the
    // outcome of the commit that removes it.
    this.stored.delete(id);
    this.dirtyChunks.add(chunk);
    this.flush();
  }

  /**
   * Moves machines out of a record that exceeds the store's size limit. An earlier version of the software may have written one;
   * undivided, the store would always refuse it, and its machines could be neither marked nor returned. Invariant (ran_twice):
   * each machine is in one record at every moment, so a machine is moved in the same transaction that changes the record that
   * it leaves. Returns the records that belong to this transaction.
   */
  private splitRecord(chunk: number): ReadonlySet<number> {
    const chunks = new Set([chunk]);
    const source = this.desiredIn(chunk);
    let lastTarget = 0;
    for (const [id, entry] of [...source].reverse()) {
      if (this.fits(source)) break;
      // Never the source itself, which has no space as long as it exceeds the limit.
      const target = this.recordWithSpace(id, entry, lastTarget).chunk;
      if (!chunks.has(target) && chunks.size >= this.ctx.settings.state.txnOps)
        break;
      source.delete(id);
      this.desiredIn(target).set(id, entry);
      this.recordBytes.delete(chunk);
      this.recordBytes.delete(target);
      chunks.add(target);
      lastTarget = target;
    }
    this.ctx.log("splitting oversized registry record", {
      partition: this.partition,
      chunk,
      parts: [...chunks],
    });
    return chunks;
  }

  /** The next record to write: a changed one, otherwise one to be marked as complete. */
  private nextChunk(): number | undefined {
    const dirtyChunk = this.dirtyChunks.values().next().value;
    if (dirtyChunk !== undefined || !this.isConfirmedComplete)
      return dirtyChunk;
    return this.incompleteChunks.values().next().value;
  }

  /** The records to send now, each with its contents and whether it is marked as complete. */
  private recordsToSend(): Map<number, RegistryRecord> {
    for (const chunk of this.chunksToCommit) this.dirtyChunks.delete(chunk);
    // Invariant (ran_twice): while an added machine is in no stored record yet, some record must be marked as incomplete.
    const mayMarkComplete =
      this.isConfirmedComplete && this.dirtyChunks.size === 0;
    const records = new Map<number, RegistryRecord>();
    for (const chunk of this.chunksToCommit) {
      const complete = mayMarkComplete || !this.incompleteChunks.has(chunk);
      records.set(chunk, {
        machines: new Map(this.desiredIn(chunk)),
        complete,
      });
    }
    return records;
  }

  /** Commits changed records, one transaction at a time. May be called at any time. */
  flush(): void {
    if (this.isCommitting || this.ctx.nowMs < this.retryAtMs) return;
    if (this.chunksToCommit.size === 0) {
      const chunk = this.nextChunk();
      if (chunk === undefined) return;
      this.chunksToCommit = this.fits(this.desiredIn(chunk))
        ? new Set([chunk])
        : this.splitRecord(chunk);
    }
    this.commitRecords(this.recordsToSend());
  }

  private commitRecords(records: ReadonlyMap<number, RegistryRecord>): void {
    this.isCommitting = true;
    // Conditional on the revisions that this leader last saw: an unanswered commit that the store carries out after a later one
    // would remove machines on which tasks run.
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
    for (const chunk of records.keys()) this.dirtyChunks.add(chunk);
    this.retryAtMs = this.ctx.nowMs + RETRY_MS;
  }

  private onCommitted(records: ReadonlyMap<number, RegistryRecord>): void {
    this.chunksToCommit = new Set();
    for (const [chunk, { machines, complete }] of records) {
      if (complete) this.incompleteChunks.delete(chunk);
      // Skips machines that were removed or moved since: only a commit of their present record confirms those.
      for (const [id, entry] of machines)
        if (this.desiredIn(chunk).has(id)) this.stored.set(id, entry);
    }
    this.onWritten();
  }
}

function isSameEntry(
  current: RegistryEntry | undefined,
  entry: RegistryEntry,
): boolean {
  return (
    current !== undefined &&
    current.isReturning === entry.isReturning &&
    current.type === entry.type
  );
}
