/**
 * Free capacity, queues and quota demand of a partition. Its leader writes the record, conditional on its leadership and on the
 * revision of the record that it last read or wrote. The other controllers assign jobs and divide quotas on the basis of it.
 */
import * as v from "valibot";
import { PRIORITIES } from "../../coordination/model.js";
import { parseRecord } from "./codec.js";

/** For each priority, the numbers of waiting tasks without and with accelerators. */
const StoredQueueCounts = v.array(v.tuple([v.number(), v.number()]));
const numberSchemas = (count: number): v.NumberSchema<undefined>[] =>
  Array.from({ length: count }, () => v.number());
const StoredFreeKinds = v.array(
  v.union([
    v.tuple([v.number(), v.number(), v.number(), v.number()]),
    v.tuple([v.number(), v.number(), v.number()]),
  ]),
);
const StoredCapacityRow = v.object({
  t: v.string(),
  z: v.string(),
  s: v.boolean(),
  n: v.number(),
  // Earlier versions write no `r`, and no machine counts in `f`.
  f: StoredFreeKinds,
  r: v.optional(StoredFreeKinds, []),
  y: v.optional(
    v.array(
      v.tuple([
        v.number(),
        v.number(),
        v.number(),
        v.number(),
        v.number(),
        v.number(),
      ]),
    ),
  ),
});
const StoredCapacity = v.object({
  rows: v.array(StoredCapacityRow),
  q: v.tuple([v.number(), v.number()]),
  // Ignored by the previous version.
  qu: v.optional(v.pipe(StoredQueueCounts, v.length(PRIORITIES.length))),
  run: v.array(v.tuple([v.string(), v.number()])),
  out: v.array(v.string()),
  left: v.optional(v.array(v.tuple([v.string(), v.number()]))),
  want: v.array(v.tuple([v.string(), v.number(), v.number(), v.number()])),
  // See `teamValues`. The previous version neither writes nor reads it.
  team: v.optional(
    v.array(v.tupleWithRest([v.string(), ...numberSchemas(14)], v.number())),
  ),
  cut: v.optional(v.boolean(), false),
});

/** Free resources, and the number of machines that have exactly these free. */
export type FreeKind = [
  cpus: number,
  gpus: number,
  memGb: number,
  machines: number,
];
/** Resources available to jobs within a range of priorities (indexes into `PRIORITIES`) if lower ones are preempted. */
export type PreemptibleKind = [
  cpus: number,
  gpus: number,
  memGb: number,
  machines: number,
  minPriority: number,
  maxPriority: number,
];

/** Free resources on a partition's machines of one type in one zone, either spot or not. */
export interface CapacityRow {
  /** Machine type. */
  type: string;
  zone: string;
  spot: boolean;
  machines: number;
  /** Machines with free resources, grouped by the resources that are free. */
  free: FreeKind[];
  /** The same for machines that are reserved for short tasks. */
  reserved: FreeKind[];
  /** Resources that are free or would be after preemption, only of machines where preemption would free some. */
  preemptible?: PreemptibleKind[];
}

/** Additional quota of a team that a partition could use, as earlier versions read it. */
export interface QuotaWant {
  cpus: number;
  gpus: number;
  /** Time of day (ms) since which the oldest job that would use it has waited. */
  since: number;
}

/** Use and demand of one team in a partition. Pairs are CPUs and accelerators. */
export interface TeamRow {
  /** Resources of tasks that are known to be on machines. */
  use: [number, number];
  /** Upper bound of the use; during a failover it may exceed `use`. */
  possibleUse: [number, number];
  /** Demand beyond the partition's share of the quota, of tasks that could start at once or have waited for long. */
  startable: [number, number];
  /**
   * Position in the queue order (time of day, ms) of the first task that lacks CPUs, and of the first that lacks accelerators;
   * Infinity if none does.
   */
  startableSinceMs: [number, number];
  /** The same demand of tasks whose machine has yet to be rented. */
  awaitingMachines: [number, number];
  awaitingMachinesSinceMs: [number, number];
  /** The partition's share on which the demand is based. */
  baseShare: [number, number];
  /** Needs of the waiting tasks that have a slot, or can get one on a machine to be rented. */
  waiting: [number, number];
  /** Part of the share that is unused and too small for any waiting task. Earlier versions' rows lack this and all below. */
  idle?: [number, number] | undefined;
  /** Quota that waiting tasks lack and that the idle shares of other partitions would cover. */
  backfill?: [number, number] | undefined;
  /** For a large job whose first start is overdue: the quota it lacks, since when (ms) it is ready, its index in `PRIORITIES`. */
  reservation?:
    | { missing: [number, number]; readyAt: number; priority: number }
    | undefined;
}

export interface CapacityRecord {
  rows: CapacityRow[];
  /** Numbers of waiting tasks without and with accelerators, which compete for different machines. */
  queue: { plain: number; accelerated: number };
  /**
   * The same for tasks of each priority or higher, as [plain, accelerated]; absent if none wait or an earlier version wrote the
   * record.
   */
  queueByMinPriority?: readonly (readonly [number, number])[];
  /** Number of running tasks by job. Entries that do not fit into the record are omitted. */
  running: Map<string, number>;
  /** Offers of which the cloud has recently had no machine left. */
  soldOut: string[];
  /** By offer, if known: how many more machines the cloud probably has for the partition. */
  left: Map<string, number>;
  /** Demand by team, in the format that earlier versions read. */
  wants: Map<string, QuotaWant>;
  /** Use and demand by team; null if an earlier version wrote the record. */
  teams: Map<string, TeamRow> | null;
  /** Some teams are omitted, because the record would have been too large. */
  isTruncated: boolean;
}

export function readCapacity(value: unknown): CapacityRecord | null {
  const stored = parseRecord(StoredCapacity, value);
  return (
    stored && {
      rows: stored.rows.map(readRow),
      queue: { plain: stored.q[0], accelerated: stored.q[1] },
      ...(stored.qu ? { queueByMinPriority: stored.qu } : {}),
      running: new Map(stored.run),
      soldOut: stored.out,
      left: new Map(stored.left),
      wants: new Map(
        stored.want.map(([team, cpus, gpus, since]) => [
          team,
          { cpus, gpus, since },
        ]),
      ),
      teams: stored.team
        ? new Map(
            stored.team.map(([team, ...values]) => [team, readTeamRow(values)]),
          )
        : null,
      isTruncated: stored.cut,
    }
  );
}

export const writeCapacity = (record: CapacityRecord): object => ({
  rows: record.rows.map(writeRow),
  q: [record.queue.plain, record.queue.accelerated],
  ...(record.queueByMinPriority?.some(
    ([plain, accelerated]) => plain + accelerated > 0,
  )
    ? { qu: record.queueByMinPriority }
    : {}),
  run: [...record.running],
  out: record.soldOut,
  left: [...record.left],
  want: [...record.wants].map(([team, want]) => [
    team,
    want.cpus,
    want.gpus,
    want.since,
  ]),
  ...(record.teams
    ? {
        team: [...record.teams].map(([team, row]) => [
          team,
          ...teamValues(row),
        ]),
      }
    : {}),
  ...(record.isTruncated ? { cut: true } : {}),
});

/** Rounds down to a tenth, the precision of stored capacities. */
export const tenth = (amount: number): number =>
  Math.floor(amount * 10 + 1e-6) / 10;

const readRow = (
  row: v.InferOutput<typeof StoredCapacityRow>,
): CapacityRow => ({
  type: row.t,
  zone: row.z,
  spot: row.s,
  machines: row.n,
  free: readFreeKinds(row.f),
  reserved: readFreeKinds(row.r),
  ...(row.y ? { preemptible: row.y } : {}),
});

const writeRow = (row: CapacityRow): object => ({
  t: row.type,
  z: row.zone,
  s: row.spot,
  n: row.machines,
  f: row.free,
  r: row.reserved,
  ...(row.preemptible?.length ? { y: row.preemptible } : {}),
});

const readFreeKinds = (
  stored: v.InferOutput<typeof StoredFreeKinds>,
): FreeKind[] =>
  stored.map(([cpus, gpus, memGb, machines]) => [
    cpus,
    gpus,
    memGb,
    machines ?? 1,
  ]);

const readTeamRow = (values: number[]): TeamRow => ({
  use: [values[0]!, values[1]!],
  possibleUse: [values[2]!, values[3]!],
  startable: [values[4]!, values[5]!],
  startableSinceMs: readSinceMs(values.slice(4, 6), values[6]!, values[14]),
  awaitingMachines: [values[7]!, values[8]!],
  awaitingMachinesSinceMs: readSinceMs(
    values.slice(7, 9),
    values[9]!,
    values[15],
  ),
  baseShare: [values[10]!, values[11]!],
  waiting: [values[12]!, values[13]!],
  ...readOptionalValues(values.slice(REQUIRED_VALUES)),
});

/** Number of values before the optional ones, in rows with separate times for CPUs and accelerators. */
const REQUIRED_VALUES = 16;

/** Reads the optional values: idle, backfill, reservation. */
function readOptionalValues(
  values: readonly number[],
): Pick<TeamRow, "idle" | "backfill" | "reservation"> {
  const [idleCpus, idleGpus, cpus, gpus, ...reservation] = values;
  const [missingCpus, missingGpus, readyAt, priority] = reservation;
  return {
    ...pairUnlessZero("idle", idleCpus, idleGpus),
    ...pairUnlessZero("backfill", cpus, gpus),
    ...(readyAt
      ? {
          reservation: {
            missing: [missingCpus ?? 0, missingGpus ?? 0],
            readyAt,
            priority: priority ?? 0,
          },
        }
      : {}),
  };
}

const pairUnlessZero = (
  name: "idle" | "backfill",
  cpus = 0,
  gpus = 0,
): Pick<TeamRow, "idle" | "backfill"> =>
  cpus > 0 || gpus > 0 ? { [name]: [cpus, gpus] } : {};

/** The values that `readOptionalValues` reads; empty if none is present. */
function optionalValues({ idle, backfill, reservation }: TeamRow): number[] {
  const isAnyPresent = [idle, backfill, reservation].some(Boolean);
  if (!isAnyPresent) return [];
  return [
    ...[idle, backfill].flatMap((amounts) => amounts ?? NO_AMOUNTS),
    ...(reservation ? reservationValues(reservation) : []),
  ];
}

const reservationValues = ({
  missing,
  readyAt,
  priority,
}: NonNullable<TeamRow["reservation"]>): number[] => [
  ...missing,
  readyAt,
  priority,
];

const NO_AMOUNTS: readonly [number, number] = [0, 0];

/** Records of an earlier version lack `gpusSinceMs`: `firstSinceMs` then applies to both. */
const readSinceMs = (
  amounts: readonly number[],
  firstSinceMs: number,
  gpusSinceMs: number | undefined,
): [number, number] => [
  amounts[0]! > 0 ? firstSinceMs || Infinity : Infinity,
  amounts[1]! > 0 ? (gpusSinceMs ?? firstSinceMs) || Infinity : Infinity,
];

/**
 * A team's row as stored after the team's name: use, possible use, startable demand and its time, demand that awaits machines
 * and its time, base share, waiting. Then the times of the demand for accelerators, which earlier versions do not read: they take
 * the first time for both. Last the optional values, which earlier versions ignore. JSON has no Infinity, so 0 stands for no time.
 */
const teamValues = (row: TeamRow): number[] =>
  [
    ...row.use,
    ...row.possibleUse,
    ...row.startable,
    firstSinceMsOf(row.startable, row.startableSinceMs),
    ...row.awaitingMachines,
    firstSinceMsOf(row.awaitingMachines, row.awaitingMachinesSinceMs),
    ...row.baseShare,
    ...row.waiting,
    row.startableSinceMs[1],
    row.awaitingMachinesSinceMs[1],
    ...optionalValues(row),
  ].map((amount) =>
    Number.isFinite(amount) ? Math.round(amount * 100) / 100 : 0,
  );

const firstSinceMsOf = (
  amounts: readonly [number, number],
  sinceMs: readonly [number, number],
): number => (amounts[0] > 0 ? sinceMs[0] : sinceMs[1]);
