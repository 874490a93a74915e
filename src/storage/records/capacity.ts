/**
 * What a partition has free and what it wants. Its leader writes the record, conditional on its leadership and on the record
 * as it last knew it; the other controllers assign jobs and divide quotas by it.
 */
import * as v from "valibot";
import { PRIORITIES } from "../../coordination/model.js";
import { read } from "./codec.js";

/** Two numbers, for plain and accelerated tasks. */
const StoredPairs = v.array(v.tuple([v.number(), v.number()]));
const numbers = (count: number): v.NumberSchema<undefined>[] =>
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
  // Without counts and reserved machines: written by an earlier version.
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
  // Not known to the version before, which does not mind it.
  qu: v.optional(v.pipe(StoredPairs, v.length(PRIORITIES.length))),
  run: v.array(v.tuple([v.string(), v.number()])),
  out: v.array(v.string()),
  left: v.optional(v.array(v.tuple([v.string(), v.number()]))),
  want: v.array(v.tuple([v.string(), v.number(), v.number(), v.number()])),
  // See `teamValues`; the version before leaves it out and does not mind it.
  team: v.optional(
    v.array(v.tupleWithRest([v.string(), ...numbers(14)], v.number())),
  ),
  cut: v.optional(v.boolean(), false),
});

/** Free resources, and how many machines have exactly these. */
export type FreeKind = [
  cpus: number,
  gpus: number,
  memGb: number,
  machines: number,
];
/** `from`, `to`: the least and the highest priority that it is meant for, as their places in `PRIORITIES`. */
export type ReclaimableKind = [
  cpus: number,
  gpus: number,
  memGb: number,
  machines: number,
  from: number,
  to: number,
];

/** What is free on a partition's machines of one type, zone and kind. */
export interface CapacityRow {
  /** Machine type. */
  type: string;
  zone: string;
  spot: boolean;
  machines: number;
  /** Free resources of the machines that have any left; equal ones are counted together. */
  free: FreeKind[];
  /** The same of the machines that serve short tasks only. */
  reserved: FreeKind[];
  /** What is free, or would be once tasks were preempted for such priority; only of machines where that is more. */
  reclaimable?: ReclaimableKind[];
}

/** What a partition could use of a team's quota. */
export interface QuotaWant {
  cpus: number;
  gpus: number;
  /** Time of day (ms) since which the oldest such job waits. */
  since: number;
}

/** What a partition uses and wants of one team; the pairs are CPUs and accelerators. */
export interface TeamRow {
  /** On machines, known to be there. */
  use: [number, number];
  /** The most that may be: after a failover more than what is known. */
  possibleUse: [number, number];
  /** Beyond the partition's share of the quota: for tasks that have a place at once, or waited for long. */
  startable: [number, number];
  /** Time of day (ms) since which the oldest waits of those that lack CPUs, and of those that lack accelerators; Infinity: there is none. */
  startableSinceMs: [number, number];
  /** For tasks whose machine is yet to be rented. */
  awaitingMachines: [number, number];
  awaitingMachinesSinceMs: [number, number];
  /** The share that this is beyond. */
  baseShare: [number, number];
  /** Waiting tasks within the partition's share that have a place once others make it, in all. */
  waiting: [number, number];
  /** What of the share is neither used nor enough for anything that waits. This and what follows is absent from earlier versions' rows. */
  idle?: [number, number] | undefined;
  /** What tasks lack that idle shares of other partitions are enough for. */
  backfill?: [number, number] | undefined;
  /** For a large job whose first start is overdue: what it lacks, since when (ms) it is ready, its place in `PRIORITIES`. */
  reservation?:
    | { missing: [number, number]; readyAt: number; priority: number }
    | undefined;
}

export interface CapacityRecord {
  rows: CapacityRow[];
  /** Tasks waiting, by whether they need accelerators: these compete for different machines. */
  queue: { plain: number; accelerated: number };
  /** The same for each priority, with all above it: [plain, accelerated]; absent: an earlier version wrote it. */
  queueByMinPriority?: readonly (readonly [number, number])[];
  /** Tasks on machines, by job: for display. */
  running: Map<string, number>;
  /** Offers that the cloud had nothing left of, lately. */
  soldOut: string[];
  /** By offer, where it is known: how many more machines the cloud seems to have for the partition. */
  left: Map<string, number>;
  /** By team: more of its quota that the partition could use. */
  wants: Map<string, QuotaWant>;
  /** By team; null: an earlier version wrote it. */
  teams: Map<string, TeamRow> | null;
  /** Not all teams found room in the record. */
  isTruncated: boolean;
}

export function readCapacity(value: unknown): CapacityRecord | null {
  const stored = read(StoredCapacity, value);
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

/** Capacities are written in tenths, rounded down. */
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
  ...(row.y ? { reclaimable: row.y } : {}),
});

const writeRow = (row: CapacityRow): object => ({
  t: row.type,
  z: row.zone,
  s: row.spot,
  n: row.machines,
  f: row.free,
  r: row.reserved,
  ...(row.reclaimable?.length ? { y: row.reclaimable } : {}),
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
  startableSinceMs: readSince(values.slice(4, 6), values[6]!, values[14]),
  awaitingMachines: [values[7]!, values[8]!],
  awaitingMachinesSinceMs: readSince(
    values.slice(7, 9),
    values[9]!,
    values[15],
  ),
  baseShare: [values[10]!, values[11]!],
  waiting: [values[12]!, values[13]!],
  ...readBackfill(values.slice(BASIC_VALUES)),
});

/** Values of a row that all versions write since it has two times for each want. */
const BASIC_VALUES = 16;

/** What follows them, where there is any of it: idle, backfill, reservation. */
function readBackfill(
  values: readonly number[],
): Pick<TeamRow, "idle" | "backfill" | "reservation"> {
  const [idleCpus, idleGpus, cpus, gpus, ...reservation] = values;
  const [lackingCpus, lackingGpus, readyAt, priority] = reservation;
  return {
    ...pairUnlessZero("idle", idleCpus, idleGpus),
    ...pairUnlessZero("backfill", cpus, gpus),
    ...(readyAt
      ? {
          reservation: {
            missing: [lackingCpus ?? 0, lackingGpus ?? 0],
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

/** As `readBackfill` reads it; nothing where there is nothing to say. */
function backfillValues({ idle, backfill, reservation }: TeamRow): number[] {
  const isSaid = [idle, backfill, reservation].some(Boolean);
  if (!isSaid) return [];
  return [
    ...[idle, backfill].flatMap((amounts) => amounts ?? NO_AMOUNTS),
    ...(reservation ? reservationValues(reservation) : []),
  ];
}

const reservationValues = ({
  missing: lacks,
  readyAt,
  priority,
}: NonNullable<TeamRow["reservation"]>): number[] => [
  ...lacks,
  readyAt,
  priority,
];

const NO_AMOUNTS: readonly [number, number] = [0, 0];

/** `gpusSince` is absent from records of an earlier version: `firstSince` then stands for both. */
const readSince = (
  want: readonly number[],
  firstSince: number,
  gpusSince: number | undefined,
): [number, number] => [
  want[0]! > 0 ? firstSince || Infinity : Infinity,
  want[1]! > 0 ? (gpusSince ?? firstSince) || Infinity : Infinity,
];

/**
 * A team's row as it is written, after the team's name: use, may, now, its time, soon, its time, beyond, waits. JSON knows
 * no Infinity; 0 stands for no time. The times of what lacks accelerators come then: a reader from before takes the first
 * for both. What `backfillValues` says comes last, and a reader from before ignores it.
 */
const teamValues = (row: TeamRow): number[] =>
  [
    ...row.use,
    ...row.possibleUse,
    ...row.startable,
    firstSinceOf(row.startable, row.startableSinceMs),
    ...row.awaitingMachines,
    firstSinceOf(row.awaitingMachines, row.awaitingMachinesSinceMs),
    ...row.baseShare,
    ...row.waiting,
    row.startableSinceMs[1],
    row.awaitingMachinesSinceMs[1],
    ...backfillValues(row),
  ].map((amount) =>
    Number.isFinite(amount) ? Math.round(amount * 100) / 100 : 0,
  );

const firstSinceOf = (
  want: readonly [number, number],
  since: readonly [number, number],
): number => (want[0] > 0 ? since[0] : since[1]);
