/**
 * The cached progress records of jobs: finished tasks by partition, and the attempts of gangs. A job's progress is kept until
 * the last of its progress records is deleted, whether or not the job is still alive.
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
  /** Number of finished tasks in all partitions, by job. */
  private readonly completionCounts = new Map<string, number>();
  /** Keys of the progress records by job. */
  private readonly keysByJob = new Map<string, Set<string>>();

  /** Finished tasks of a job by partition, as written to the store. */
  finishedByPartition(id: string): ReadonlyMap<string, RangeSet> {
    return this.completions.get(id) ?? new Map<string, RangeSet>();
  }

  /** Number of tasks of a job that are written as finished, in all partitions. */
  finishedCount(id: string): number {
    return this.completionCounts.get(id) ?? 0;
  }

  /** The attempts of a gang, as written to the store. */
  gang(id: string): GangView {
    return this.gangs.get(id) ?? NO_GANG;
  }

  /** Keys of the progress records of a job. */
  keysOf(id: string): string[] {
    return [...(this.keysByJob.get(id) ?? [])];
  }

  /** Ids of the jobs that have progress records. */
  jobIds(): IterableIterator<string> {
    return this.keysByJob.keys();
  }

  /** Adds a block of finished tasks. A task that was once written as finished stays finished. */
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
    const addedCount = finished.size - sizeBefore;
    this.completionCounts.set(id, this.finishedCount(id) + addedCount);
    byPartition.set(partition, finished);
    this.noteKey(id, key);
  }

  /** Sets the attempt under which a gang starts, and the store revision of its record. */
  setAttempt(key: string, id: string, attempt: number, revision: number): void {
    const gang = this.gangOrNew(id);
    gang.attempt = attempt;
    gang.revision = revision;
    this.noteKey(id, key);
  }

  /** Records that a partition is ready to start its part of a gang under the attempt that follows `afterAttempt`. */
  setReady(
    key: string,
    id: string,
    partition: string,
    afterAttempt: number,
  ): void {
    this.gangOrNew(id).readyAfterAttempt.set(partition, afterAttempt);
    this.noteKey(id, key);
  }

  /** Handles the deletion of a progress record. A job's progress is dropped with its last record. */
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
