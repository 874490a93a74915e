/**
 * The controller's replica of the live records in the state service, and of recent final records. It is kept up to date by
 * one watch and by reads (see `StoreWatcher`), and reports each change that it applies as a `StoreEvent`.
 */
import type { Change, Item } from "../../protocol/state.js";
import {
  type CapacityRecord,
  type FinalRecord,
  type LeadershipBidRecord,
  type PartitionRecord,
  type Reclaim,
  type RegistryRecord,
  type StoreKey,
  type StoreKeyKind,
  parseKey,
  readGangAttempt,
  readCapacity,
  readCompletion,
  readFinal,
  readJob,
  readLeadershipBid,
  readObservedLimits,
  readPartition,
  readQuota,
  readReclaims,
  readRegistry,
} from "../../storage/records.js";
import { RangeSet } from "../jobs/range-set.js";
import type { QuotaRecord } from "../quota/quota-records.js";
import type { GangView } from "../scheduling/spread-gangs.js";
import { JobProgressCache } from "./job-progress-cache.js";
import { type JobView, newJobView, updateJobView } from "./job-view.js";
import type { StoreEvent } from "./store-events.js";

/** Maximum number of cached final records, of about 150 bytes each. Queries about these jobs need no read. */
const MAX_FINAL_RECORDS = 20_000;

/** Kinds of live records. Final records never change, so they are neither dropped nor compared by revision. */
type LiveKeyKind = Exclude<StoreKeyKind, "past">;

interface RecordChange<Kind extends LiveKeyKind> {
  /** The key as it is stored. */
  key: string;
  /** The same key, parsed. */
  parsed: StoreKey<Kind>;
  revision: number;
}

/** Applies changes of records of one kind to the cache. */
interface RecordHandler<Kind extends LiveKeyKind> {
  /** Applies a record that was written. Returns null, and changes nothing, if its value can't be parsed. */
  put(change: RecordChange<Kind>, value: unknown): StoreEvent[] | null;
  /** Applies the deletion of a record. */
  drop(change: RecordChange<Kind>): StoreEvent[];
}
type RecordHandlers = {
  readonly [Kind in LiveKeyKind]: RecordHandler<Kind>;
};

/**
 * Live records as of `revision`. Invariant: the cache never shows a record older than one it has shown before; a reply that
 * arrives after newer ones changes nothing.
 */
export class StoreCache {
  /** Store revision up to which all changes are applied. */
  revision = 0;
  /** Whether all live records have been read once. */
  ready = false;
  /** The leader of each partition; `version` is the record's store revision. */
  readonly partitions = new Map<
    string,
    PartitionRecord & { version: number }
  >();
  /** Bids for the leadership of partitions; `version` is the record's store revision. */
  readonly leadershipBids = new Map<
    string,
    LeadershipBidRecord & { version: number }
  >();
  readonly jobs = new Map<string, JobView>();
  /** Capacity records by partition. */
  readonly capacities = new Map<string, CapacityRecord>();
  /** Machine registries by partition and chunk. */
  readonly registries = new Map<string, Map<number, RegistryRecord>>();
  /** Incremented with each change of `quotaRecords`. */
  quotaRecordsSequence = 0;
  /** The partitions' shares of the teams' quotas, by key. */
  readonly quotaRecords = new Map<string, QuotaRecord>();
  /** Hash of the limits that each live controller applies, by controller label. */
  readonly observedLimits = new Map<string, string>();
  /** What partition leaders preempt for teams below their guarantee, by partition. */
  reclaims: ReadonlyMap<string, readonly Reclaim[]> = new Map();
  /** Revision of the last change of each partition's leader, including the deletion of its record. */
  readonly leaderChangedRevision = new Map<string, number>();
  /** The most recently read final records by job id. They never change, so they can't become stale. */
  readonly finalRecords = new Map<string, FinalRecord>();
  private readonly progress = new JobProgressCache();
  /** Revision of the last change of each live key. */
  private readonly revisions = new Map<string, number>();
  /** By key: the revision of this controller's own last commit, until the cache reaches it. */
  private readonly ownCommits = new Map<string, number>();

  /** Finished tasks of a job by partition, as written to the store. */
  finishedByPartition(id: string): ReadonlyMap<string, RangeSet> {
    return this.progress.finishedByPartition(id);
  }

  /** Number of tasks of a job that are written as finished, in all partitions. */
  finishedCount(id: string): number {
    return this.progress.finishedCount(id);
  }

  /** The finished tasks of a job in all partitions, as a new set. */
  allFinished(id: string): RangeSet {
    const all = RangeSet.empty();
    for (const tasks of this.finishedByPartition(id).values())
      all.addAll(tasks);
    return all;
  }

  /** The attempts of a gang, as written to the store. */
  gang(id: string): GangView {
    return this.progress.gang(id);
  }

  /** Keys of a job's progress records, which are deleted when it has ended. */
  progressKeys(id: string): string[] {
    return this.progress.keysOf(id);
  }

  /** Ids of jobs that have ended but still have progress records. */
  endedJobsWithProgress(): string[] {
    return [...this.progress.jobIds()].filter((id) => !this.jobs.has(id));
  }

  /** Revision of a key's last change that the cache has applied; 0 if the key does not exist. */
  observedRevisionOf(key: string): number {
    return this.revisions.get(key) ?? 0;
  }

  /** Notes that a transaction of this controller wrote the key at this revision. */
  noteCommitted(key: string, revision: number): void {
    if (revision > this.revision) this.ownCommits.set(key, revision);
  }

  /**
   * The revision of a key on which to condition a transaction that builds on all this controller knows: that of its own last
   * commit if the cache has not reached it yet, otherwise that of the last change applied. An indeterminate transaction that is
   * carried out after newer ones of the same controller then fails its condition and changes nothing.
   */
  latestRevisionOf(key: string): number {
    return this.ownCommits.get(key) ?? this.observedRevisionOf(key);
  }

  /** Caches a final record, and drops the one that was cached longest ago if there are too many. */
  cacheFinalRecord(id: string, record: FinalRecord): void {
    this.finalRecords.delete(id);
    this.finalRecords.set(id, record);
    if (this.finalRecords.size > MAX_FINAL_RECORDS)
      this.finalRecords.delete(this.finalRecords.keys().next().value!);
  }

  /** Applies a list of all live records; a record that is missing from it was deleted. */
  reload(items: readonly Item[], revision: number): StoreEvent[] {
    const events: StoreEvent[] = [];
    const present = new Set(items.map((item) => item.key));
    for (const [key, keyRevision] of this.revisions)
      if (!present.has(key) && keyRevision <= revision)
        events.push(...this.drop(key, revision));
    // A list contains partition records before job records. Events are handled only after all of it is in the cache, so a
    // leader that starts on its partition's record finds all its jobs there.
    for (const item of items)
      events.push(...this.put(item.key, item.value, item.version));
    this.advanceTo(revision);
    this.ready = true;
    return events;
  }

  /** Applies the changes up to a revision. */
  apply(changes: readonly Change[], revision: number): StoreEvent[] {
    const events: StoreEvent[] = [];
    for (const change of changes) {
      if (change.op === "put")
        events.push(...this.put(change.key, change.value, change.version));
      else events.push(...this.drop(change.key, change.version));
    }
    this.advanceTo(revision);
    return events;
  }

  private advanceTo(revision: number): void {
    this.revision = Math.max(this.revision, revision);
    for (const [key, committedRevision] of this.ownCommits)
      if (committedRevision <= this.revision) this.ownCommits.delete(key);
  }

  private put(key: string, value: unknown, revision: number): StoreEvent[] {
    const parsed = parseKey(key);
    if (!parsed) return [];
    if (parsed.kind === "past") return this.putFinal(key, parsed.id, value);
    if (this.isAlreadyApplied(key, revision)) return [];
    this.revisions.set(key, revision);
    const events = this.handle(parsed, (handler, narrowed) =>
      handler.put({ key, parsed: narrowed, revision }, value),
    );
    return events ?? [{ kind: "unreadable", key }];
  }

  private putFinal(key: string, id: string, value: unknown): StoreEvent[] {
    const record = readFinal(value);
    if (!record) return [{ kind: "unreadable", key }];
    this.cacheFinalRecord(id, record);
    return [{ kind: "final", id, record }];
  }

  /** Whether the cache already shows a change or a later one; the results of two reads may overlap. */
  private isAlreadyApplied(key: string, revision: number): boolean {
    return (
      revision <= this.observedRevisionOf(key) ||
      (revision <= this.revision && this.ready)
    );
  }

  private drop(key: string, revision: number): StoreEvent[] {
    const parsed = parseKey(key);
    if (!parsed || parsed.kind === "past") return [];
    if (revision < this.observedRevisionOf(key)) return [];
    this.revisions.delete(key);
    return this.handle(parsed, (handler, narrowed) =>
      handler.drop({ key, parsed: narrowed, revision }),
    );
  }

  /** Calls the handler of the key's kind; the type parameter ties the handler to the key. */
  private handle<Kind extends LiveKeyKind, Result>(
    parsed: StoreKey<Kind>,
    call: (handler: RecordHandler<Kind>, parsed: StoreKey<Kind>) => Result,
  ): Result {
    return call(this.handlers[parsed.kind], parsed);
  }

  private readonly handlers: RecordHandlers = {
    group: {
      put: ({ parsed: { partition }, revision }, value) => {
        const record = readPartition(value);
        if (!record) return null;
        this.partitions.set(partition, { ...record, version: revision });
        this.leaderChangedRevision.set(partition, revision);
        return [{ kind: "partition", partition }];
      },
      drop: ({ parsed: { partition }, revision }) => {
        this.partitions.delete(partition);
        this.leaderChangedRevision.set(partition, revision);
        return [{ kind: "partition", partition }];
      },
    },
    claim: {
      put: ({ parsed: { partition }, revision }, value) => {
        const record = readLeadershipBid(value);
        if (!record) return null;
        this.leadershipBids.set(partition, { ...record, version: revision });
        return [{ kind: "leadershipBid", partition }];
      },
      drop: ({ parsed: { partition } }) => {
        this.leadershipBids.delete(partition);
        return [{ kind: "leadershipBid", partition }];
      },
    },
    room: {
      put: ({ parsed: { partition } }, value) => {
        const record = readCapacity(value);
        if (!record) return null;
        this.capacities.set(partition, record);
        return [{ kind: "capacity", partition }];
      },
      drop: ({ parsed: { partition } }) => {
        this.capacities.delete(partition);
        return [{ kind: "capacity", partition }];
      },
    },
    roster: {
      put: ({ parsed: { partition, chunk } }, value) => {
        const record = readRegistry(value);
        if (!record) return null;
        this.registryOrNew(partition).set(chunk, record);
        return [];
      },
      drop: ({ parsed: { partition, chunk } }) => {
        this.registries.get(partition)?.delete(chunk);
        return [];
      },
    },
    limits: {
      put: ({ key, revision }, value) => {
        this.quotaRecordsSequence++;
        const shares = readQuota(value) ?? {};
        this.quotaRecords.set(key, { shares, revision });
        return [{ kind: "quota" }];
      },
      drop: ({ key }) => {
        this.quotaRecordsSequence++;
        this.quotaRecords.delete(key);
        return [{ kind: "quota" }];
      },
    },
    belief: {
      put: ({ parsed: { label } }, value) => {
        const limits = readObservedLimits(value);
        if (limits === null) return null;
        this.observedLimits.set(label, limits);
        return [{ kind: "observedLimits" }];
      },
      drop: ({ parsed: { label } }) => {
        this.observedLimits.delete(label);
        return [{ kind: "observedLimits" }];
      },
    },
    reclaim: {
      put: (_change, value) => {
        this.reclaims = readReclaims(value) ?? new Map();
        return [];
      },
      drop: () => {
        this.reclaims = new Map();
        return [];
      },
    },
    fin: {
      put: ({ key, parsed: { id, partition, chunk } }, value) => {
        const tasks = readCompletion(value, chunk);
        if (!tasks) return null;
        this.progress.addFinished(key, id, partition, tasks);
        return [{ kind: "completion", id }];
      },
      drop: ({ key, parsed: { id } }) => this.dropProgress(key, id),
    },
    gang: {
      put: ({ key, parsed: { id }, revision }, value) => {
        const attempt = readGangAttempt(value);
        if (attempt === null) return null;
        this.progress.setAttempt(key, id, attempt, revision);
        return [{ kind: "completion", id }];
      },
      drop: ({ key, parsed: { id } }) => this.dropProgress(key, id),
    },
    ready: {
      put: ({ key, parsed: { id, partition } }, value) => {
        const attempt = readGangAttempt(value);
        if (attempt === null) return null;
        this.progress.setReady(key, id, partition, attempt);
        return [{ kind: "completion", id }];
      },
      drop: ({ key, parsed: { id } }) => this.dropProgress(key, id),
    },
    job: {
      put: ({ parsed: { id }, revision }, value) =>
        this.putJob(id, value, revision),
      drop: ({ parsed: { id } }) =>
        this.jobs.delete(id) ? [{ kind: "jobRemoved", id }] : [],
    },
  };

  private putJob(
    id: string,
    value: unknown,
    revision: number,
  ): StoreEvent[] | null {
    const record = readJob(value);
    if (!record) return null;
    const existing = this.jobs.get(id);
    if (existing) updateJobView(existing, record, revision);
    const job = existing ?? newJobView(id, record, revision);
    if (!existing) this.jobs.set(id, job);
    return [{ kind: "job", job }];
  }

  private dropProgress(key: string, id: string): StoreEvent[] {
    this.progress.remove(key, id);
    return [];
  }

  private registryOrNew(partition: string): Map<number, RegistryRecord> {
    let chunks = this.registries.get(partition);
    if (!chunks) {
      chunks = new Map<number, RegistryRecord>();
      this.registries.set(partition, chunks);
    }
    return chunks;
  }
}
