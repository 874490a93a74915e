/**
 * The controller's replica of the live records in the state service, and of recent final records. It is kept up to date by
 * one watch and by reads (see `StoreWatcher`), and reports each change that it takes in as a `StoreEvent`.
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

/** About 150 bytes each: a question about any of these costs no read. */
const MAX_FINAL_RECORDS = 20_000;

/** Final records never change, and are neither dropped nor compared by revision. */
type LiveKeyKind = Exclude<StoreKeyKind, "past">;

interface RecordChange<Kind extends LiveKeyKind> {
  /** The key as it is stored. */
  key: string;
  /** The same key, parsed. */
  parsed: StoreKey<Kind>;
  revision: number;
}

/** How the cache takes in the records of one kind. */
interface RecordHandler<Kind extends LiveKeyKind> {
  /** The record was written; null: its value can't be read, and nothing was changed. */
  put(change: RecordChange<Kind>, value: unknown): StoreEvent[] | null;
  /** The record was deleted. */
  drop(change: RecordChange<Kind>): StoreEvent[];
}
type RecordHandlers = {
  readonly [Kind in LiveKeyKind]: RecordHandler<Kind>;
};

/**
 * Live records as of `revision`. Invariant: the cache never shows a record older than one it has shown before; an answer
 * that arrives late changes nothing.
 */
export class StoreCache {
  /** Store revision up to which all changes are taken in. */
  revision = 0;
  /** Whether all live records have been read once. */
  ready = false;
  /** Who leads each partition; `version` is the record's store revision. */
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
  /** Counts changes of `quotaRecords`. */
  quotaRecordsSequence = 0;
  /** The partitions' shares of the teams' quotas, by key. */
  readonly quotaRecords = new Map<string, QuotaRecord>();
  /** Which limits the live controllers go by, as their hash; by controller label. */
  readonly observedLimits = new Map<string, string>();
  /** What partition leaders stop for teams below their guarantee, by partition. */
  reclaims: ReadonlyMap<string, readonly Reclaim[]> = new Map();
  /** By partition: the revision of the last change of its leader, the end of a leadership included. */
  readonly leaderChangedRevision = new Map<string, number>();
  /** Final records never change, so they may be kept; only the most recent ones are. */
  readonly finalRecords = new Map<string, FinalRecord>();
  private readonly progress = new JobProgressCache();
  /** Revision of the last change of each live key. */
  private readonly revisions = new Map<string, number>();
  /** By key: the revision of this controller's own last commit, as long as the cache has not reached it. */
  private readonly ownCommits = new Map<string, number>();

  /** Finished tasks of a job by partition, as far as they are written. */
  finishedByPartition(id: string): ReadonlyMap<string, RangeSet> {
    return this.progress.finished(id);
  }

  /** Tasks of a job that are written as finished, in all partitions. */
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

  /** The attempts of a gang, as far as they are written. */
  gang(id: string): GangView {
    return this.progress.gang(id);
  }

  /** Keys of the records that a job has beside its own: they are deleted when it is over. */
  progressKeys(id: string): string[] {
    return this.progress.keysOf(id);
  }

  /** Jobs that are over but left such records behind. */
  endedJobsWithProgress(): string[] {
    return [...this.progress.jobIds()].filter((id) => !this.jobs.has(id));
  }

  /** Revision of a key's last change, as far as seen; 0: it does not exist. */
  observedRevisionOf(key: string): number {
    return this.revisions.get(key) ?? 0;
  }

  /** Notes that a transaction of this controller wrote the key at this revision. */
  noteCommitted(key: string, revision: number): void {
    if (revision > this.revision) this.ownCommits.set(key, revision);
  }

  /**
   * The revision that a transaction is to be conditional on if it follows from what this controller knows: that of its own
   * last commit, if the cache has not reached that yet. So an indeterminate transaction that is carried out late, after
   * newer ones of the same controller, changes nothing.
   */
  latestRevisionOf(key: string): number {
    return this.ownCommits.get(key) ?? this.observedRevisionOf(key);
  }

  /** Keeps a final record, and forgets the one that was kept longest ago if there are too many. */
  cacheFinalRecord(id: string, record: FinalRecord): void {
    this.finalRecords.delete(id);
    this.finalRecords.set(id, record);
    if (this.finalRecords.size > MAX_FINAL_RECORDS)
      this.finalRecords.delete(this.finalRecords.keys().next().value!);
  }

  /** Takes in a list of all live records: a record that is absent from it was deleted. */
  reload(items: readonly Item[], revision: number): StoreEvent[] {
    const events: StoreEvent[] = [];
    const present = new Set(items.map((item) => item.key));
    for (const [key, keyRevision] of this.revisions)
      if (!present.has(key) && keyRevision <= revision)
        events.push(...this.drop(key, revision));
    // Partitions first, jobs last: a leader that starts on its partition's record then finds all its jobs as known ones.
    for (const item of items)
      events.push(...this.put(item.key, item.value, item.version));
    this.advanceTo(revision);
    this.ready = true;
    return events;
  }

  /** Takes in the changes up to a revision. */
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
    if (this.isKnown(key, revision)) return [];
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

  /** Whether the cache has passed a change already: two reads may overlap. */
  private isKnown(key: string, revision: number): boolean {
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
    const known = this.jobs.get(id);
    if (known) updateJobView(known, record, revision);
    const job = known ?? newJobView(id, record, revision);
    if (!known) this.jobs.set(id, job);
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
