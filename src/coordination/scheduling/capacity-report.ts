/**
 * Reports the free capacity and the queues of a partition to the other partitions. Owns the last report that was written
 * and the one that is reused while jobs are assigned.
 */
import {
  bytesOf,
  type FreeKind,
  type PreemptibleKind,
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
import { addTask, EPSILON } from "./placement.js";
import type { ScaleOut } from "../machines/scale-out.js";
import type { QuotaAllocator } from "../quota/index.js";
import {
  type PendingAssignment,
  backlogKindOf,
} from "../jobs/partition-capacity.js";
import { freeOn, type Worker } from "../machines/worker-state.js";

/** Interval at which the priorities of all jobs are collected again. */
const PRIORITIES_REFRESH_MS = 2_000;
/** Minimum interval between writes of the report. */
const WRITE_INTERVAL_MS = 700;
/** Jobs are assigned by a report no older than this. Computing a new one for each job of a burst took most of the time. */
const REPORT_REUSE_MS = 200;

/** Size of a row's list of preemptible resources without its entries: `,"y":[]`. A row with an empty list omits the field. */
const PREEMPTIBLE_FIELD_BYTES = 7;

/** What is free on a machine once tasks of lower priority are preempted, for each range of priorities with the same result. */
function preemptibleOn(
  worker: Worker,
  ranks: readonly number[],
): PreemptibleKind[] {
  if (worker.tasks.size === 0) return [];
  const kinds: PreemptibleKind[] = [];
  const free = freeOn(worker);
  for (const rank of ranks) {
    const available = { ...free };
    let freesMore = false;
    for (const task of worker.tasks.values()) {
      const { spec, priority } = task.job.view;
      // Stopping one task of a gang would stop all of them, so gangs are not preempted.
      if (
        (spec.kind === "gang" && spec.tasks > 1) ||
        PRIORITIES.indexOf(priority) >= rank
      )
        continue;
      freesMore = true;
      addTask(available, spec);
    }
    if (!freesMore || available.taskSlots < 1) continue;
    const { cpus, gpus, memGb } = available;
    const kind: PreemptibleKind = [
      tenth(cpus),
      tenth(gpus),
      tenth(memGb),
      1,
      rank,
      rank,
    ];
    const previous = kinds.at(-1);
    if (previous && previous.slice(0, 3).join() === kind.slice(0, 3).join())
      previous[5] = rank;
    else kinds.push(kind);
  }
  return kinds;
}

/** The capacity report of a partition, by which jobs are assigned and rebalanced, and the writing of it. */
export class CapacityReport {
  private lastWrittenMs = -Infinity;
  private lastWritten = "";
  private isWriting = false;

  constructor(
    private readonly ctx: Context,
    private readonly state: PartitionState,
    private readonly quota: QuotaAllocator,
    private readonly scaleOut: ScaleOut,
  ) {}

  /** The report at this moment. */
  current(): CapacityRecord {
    const rows = new Map<string, CapacityRow>();
    const freeKinds = new Map<string, FreeKind>();
    const preemptibleKinds = new Map<string, PreemptibleKind>();
    const { usable, reserved } = this.state.usableWorkers();
    const ranks = this.priorityRanks();
    for (const worker of usable) {
      const key = worker.offerKey;
      let row = rows.get(key);
      if (!row)
        rows.set(
          key,
          (row = {
            type: worker.typeName,
            zone: worker.zone,
            spot: worker.spot,
            machines: 0,
            free: [],
            reserved: [],
          }),
        );
      row.machines++;
      const f = freeOn(worker);
      for (const entry of ranks.length > 1
        ? preemptibleOn(worker, ranks)
        : []) {
        const kindKey = `${key}/${entry.join("/")}`;
        const same = preemptibleKinds.get(kindKey);
        if (same) same[3]++;
        else {
          preemptibleKinds.set(kindKey, entry);
          (row.preemptible ??= []).push(entry);
        }
      }
      if (
        (f.cpus <= EPSILON && f.gpus <= EPSILON) ||
        f.taskSlots < 1 ||
        this.state.isReservedForOther(worker)
      )
        continue;
      const kind: FreeKind = [tenth(f.cpus), tenth(f.gpus), tenth(f.memGb), 1];
      const isReserved = reserved.has(worker.id);
      const name = `${key}/${kind[0]}/${kind[1]}/${kind[2]}/${isReserved}`;
      const same = freeKinds.get(name);
      if (same) same[3]++;
      else {
        freeKinds.set(name, kind);
        (isReserved ? row.reserved : row.free).push(kind);
      }
    }
    const queueByMinPriority = this.queueByMinPriority();
    const running = new Map<string, number>();
    for (const job of this.state.jobs.values()) {
      const tasks = this.state.runningTasksOf(job.id);
      if (tasks > 0) running.set(job.id, tasks);
    }
    const { scaleOut } = this;
    const soldOut = scaleOut.soldOutOffers();
    // Offers that are sold out have no machines left and need no entry here.
    const remainingByOffer = new Map(
      [...scaleOut.remainingByOffer()].filter(
        ([offer, machines]) => machines > 0 || !soldOut.includes(offer),
      ),
    );
    return {
      rows: [...rows.values()],
      queue: backlogOf(this.state.jobs.values(), this.quota.headroom()),
      queueByMinPriority,
      running,
      soldOut,
      left: remainingByOffer,
      ...this.quota.rows(),
      isTruncated: false,
    };
  }

  /** Ranks of the priorities seen on jobs so far, lowest first. Jobs of all but the highest may be preempted by priority. */
  private priorityRanks(): readonly number[] {
    if (this.ctx.nowMs - this.ranksUpdatedMs >= PRIORITIES_REFRESH_MS) {
      this.ranksUpdatedMs = this.ctx.nowMs;
      const ranks = new Set(this.seenRanks);
      for (const job of this.ctx.cache.jobs.values())
        ranks.add(PRIORITIES.indexOf(job.priority));
      this.seenRanks = [...ranks].sort((a, b) => a - b);
    }
    return this.seenRanks;
  }
  private ranksUpdatedMs = -Infinity;
  private seenRanks: readonly number[] = [];

  /** Waiting tasks of each priority and all higher ones, by rank: [plain, accelerated]. */
  private queueByMinPriority(): [number, number][] {
    const counts = PRIORITIES.map((): [number, number] => [0, 0]);
    for (const job of this.state.jobs.values()) {
      if (job.waiting.isEmpty) continue;
      const kind = backlogKindOf(job.view.spec) === "plain" ? 0 : 1;
      for (let rank = PRIORITIES.indexOf(job.view.priority); rank >= 0; rank--)
        counts[rank]![kind] += job.waiting.size;
    }
    return counts;
  }

  /** For assigning jobs: a recent report, and the tasks that have been assigned to the partition since. */
  recent(): {
    capacity: CapacityRecord;
    pendingAssignments: readonly PendingAssignment[];
  } {
    if (
      !this.recentReport ||
      this.ctx.nowMs - this.recentReport.atMs >= REPORT_REUSE_MS
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

  /**
   * The current report, shortened to what fits into one value of the store. The running counts are omitted first, then
   * preemptible resources, then the smallest amounts of free resources.
   */
  currentWithinSizeLimit(): CapacityRecord {
    const full = this.current();
    const rows = full.rows.sort(
      (first, second) => second.machines - first.machines,
    );
    const record: CapacityRecord & { rows: CapacityRow[] } = {
      ...full,
      rows: rows.map((row) => ({
        type: row.type,
        zone: row.zone,
        spot: row.spot,
        machines: row.machines,
        free: [],
        reserved: [],
      })),
      running: new Map(),
    };
    const { soldOut, left: remainingByOffer, wants } = record;
    const teams = (record.teams = new Map(full.teams));
    const maxBytes = this.ctx.settings.state.valueBytes;
    // With very many teams, types and zones even this is too large: hints are dropped first, then the rows with the fewest
    // machines. The store would reject a larger record every time, and other partitions would no longer learn the capacity.
    const reductions = [
      () => remainingByOffer.delete([...remainingByOffer.keys()].at(-1)!),
      () => soldOut.pop() !== undefined,
      () => wants.delete([...wants.keys()].at(-1)!),
      () =>
        teams.delete([...teams.keys()].at(-1)!) && (record.isTruncated = true),
      () => record.rows.pop() !== undefined,
    ];
    while (
      bytesOf(writeCapacity(record)) > maxBytes &&
      reductions.some((reduce) => reduce())
    );
    let remainingBytes = maxBytes - bytesOf(writeCapacity(record));
    const fits = (entry: readonly unknown[], extraBytes = 0): boolean => {
      const entryBytes = bytesOf(entry) + 1 + extraBytes;
      if (entryBytes > remainingBytes) return false;
      remainingBytes -= entryBytes;
      return true;
    };
    const weight = (kind: FreeKind): number =>
      kind[3] * (kind[0] + 100 * kind[1]);
    const kinds = rows.slice(0, record.rows.length).flatMap((row, index) => [
      ...row.free.map((kind) => ({ to: record.rows[index]!.free, kind })),
      ...row.reserved.map((kind) => ({
        to: record.rows[index]!.reserved,
        kind,
      })),
    ]);
    for (const { to: target, kind } of kinds.sort(
      (first, second) => weight(second.kind) - weight(first.kind),
    ))
      if (fits(kind)) target.push(kind);
    for (const [index, row] of rows.slice(0, record.rows.length).entries())
      for (const preemptible of row.preemptible ?? [])
        if (
          fits(
            preemptible,
            record.rows[index]!.preemptible ? 0 : PREEMPTIBLE_FIELD_BYTES,
          )
        )
          (record.rows[index]!.preemptible ??= []).push(preemptible);
    for (const entry of full.running)
      if (fits(entry)) record.running.set(...entry);
    return record;
  }

  /** Writes the report if it has changed, or if any change of the store is needed. */
  writeIfNeeded(): void {
    if (
      this.isWriting ||
      this.ctx.nowMs - this.lastWrittenMs < WRITE_INTERVAL_MS
    )
      return;
    const value = writeCapacity(this.currentWithinSizeLimit());
    const text = JSON.stringify(value);
    if (text === this.lastWritten && !this.state.fencingTokens.needsNewRevision)
      return;
    this.lastWrittenMs = this.ctx.nowMs;
    this.isWriting = true;
    const key = capacityKey(this.state.partition);
    this.state.commit(
      [{ key, version: this.ctx.cache.latestRevisionOf(key) }],
      [{ op: "put", key, value }],
      CallPriority.Background,
      (outcome) => {
        this.isWriting = false;
        if (outcome === "ok") this.lastWritten = text;
      },
    );
  }
}
