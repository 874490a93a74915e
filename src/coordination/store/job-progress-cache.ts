/**
 * The cached records that a job has beside its own: finished tasks by partition, and the attempts of a gang. They are kept
 * until the last of a job's records is deleted, whether or not the job is still alive.
 */
import { RangeSet } from "../jobs/range-set.js";
import { type GangView, NO_GANG } from "../scheduling/spread-gangs.js";

interface CachedGang extends GangView {
  readyAfterAttempt: Map<string, number>;
}

export class JobProgressCache {
  private readonly gangs = new Map<string, CachedGang>();
  /** Finished tasks by job and partition. */
  private readonly completions = new Map<string, Map<string, RangeSet>>();
  /** Finished tasks by job, counted over all partitions. */
  private readonly completionCounts = new Map<string, number>();
  /** Keys of these records by job. */
  private readonly keysByJob = new Map<string, Set<string>>();

  /** Finished tasks of a job by partition, as far as they are written. */
  finished(id: string): ReadonlyMap<string, RangeSet> {
    return this.completions.get(id) ?? new Map<string, RangeSet>();
  }

  /** Tasks of a job that are written as finished, in all partitions. */
  finishedCount(id: string): number {
    return this.completionCounts.get(id) ?? 0;
  }

  /** The attempts of a gang, as far as they are written. */
  gang(id: string): GangView {
    return this.gangs.get(id) ?? NO_GANG;
  }

  /** Keys of the records of a job. */
  keysOf(id: string): string[] {
    return [...(this.keysByJob.get(id) ?? [])];
  }

  /** Jobs that have such records. */
  jobIds(): IterableIterator<string> {
    return this.keysByJob.keys();
  }

  /** Adds a block of finished tasks: a task that is written as finished once stays so. */
  addFinished(
    key: string,
    id: string,
    partition: string,
    tasks: RangeSet,
  ): void {
    let byPartition = this.completions.get(id);
    if (!byPartition) {
      byPartition = new Map<string, RangeSet>();
      this.completions.set(id, byPartition);
    }
    const finished = byPartition.get(partition) ?? RangeSet.empty();
    const sizeBefore = finished.size;
    finished.addAll(tasks);
    const added = finished.size - sizeBefore;
    this.completionCounts.set(id, this.finishedCount(id) + added);
    byPartition.set(partition, finished);
    this.noteKey(id, key);
  }

  /** The attempt under which a gang starts, and the store revision that says so. */
  setAttempt(key: string, id: string, attempt: number, revision: number): void {
    const gang = this.gangOrNew(id);
    gang.attempt = attempt;
    gang.revision = revision;
    this.noteKey(id, key);
  }

  /** A partition is ready to start its part of a gang under this attempt. */
  setReady(key: string, id: string, partition: string, attempt: number): void {
    this.gangOrNew(id).readyAfterAttempt.set(partition, attempt);
    this.noteKey(id, key);
  }

  /** A record was deleted: what the records of the job said is forgotten with the last of them. */
  remove(key: string, id: string): void {
    const keys = this.keysByJob.get(id);
    keys?.delete(key);
    if (keys?.size !== 0) return;
    this.keysByJob.delete(id);
    this.completions.delete(id);
    this.completionCounts.delete(id);
    this.gangs.delete(id);
  }

  private gangOrNew(id: string): CachedGang {
    let gang = this.gangs.get(id);
    if (!gang) {
      gang = { attempt: 0, revision: 0, readyAfterAttempt: new Map() };
      this.gangs.set(id, gang);
    }
    return gang;
  }

  private noteKey(id: string, key: string): void {
    let keys = this.keysByJob.get(id);
    if (!keys) {
      keys = new Set();
      this.keysByJob.set(id, keys);
    }
    keys.add(key);
  }
}
