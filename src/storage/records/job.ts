/**
 * The live record of a job. The controller that accepts a job writes it, conditional on there being neither a live nor a final
 * record. Leaders rewrite it, conditional on its revision, to move tasks to another partition or to release a job that waited
 * for others. The transaction that writes the job's final record deletes it.
 */
import * as v from "valibot";
import {
  type JobKind,
  type JobSpec,
  PRIORITIES,
} from "../../coordination/model.js";
import { RangeSet } from "../../coordination/jobs/range-set.js";
import { parseRecord, StoredRanges } from "./codec.js";

/** Stored names of the job kinds. */
const STORED_KINDS = {
  array: "batch",
  gang: "ensemble",
  service: "daemon",
} as const satisfies Record<JobKind, string>;
const KINDS_BY_STORED_NAME = {
  batch: "array",
  ensemble: "gang",
  daemon: "service",
} as const satisfies Record<string, JobKind>;

const StoredSpec = v.object({
  id: v.string(),
  class: v.string(),
  team: v.string(),
  shape: v.picklist(["batch", "ensemble", "daemon"]),
  urgency: v.picklist(PRIORITIES),
  tasks: v.number(),
  cpus: v.number(),
  gpus: v.number(),
  memGb: v.number(),
  image: v.string(),
  imageGb: v.number(),
  types: v.nullable(v.array(v.string())),
  zone: v.nullable(v.string()),
  samePlace: v.boolean(),
  spread: v.boolean(),
  spot: v.boolean(),
  estimateS: v.number(),
  checkpointS: v.number(),
  saveS: v.number(),
  deadlineS: v.nullable(v.number()),
});

const StoredJob = v.object({
  spec: StoredSpec,
  at: v.number(),
  split: v.array(v.tuple([v.string(), StoredRanges])),
  needs: v.optional(v.array(v.string()), []),
  rel: v.optional(v.nullable(v.number()), null),
});

export interface JobRecord {
  spec: JobSpec;
  /** Time of day of acceptance, in ms since the epoch. */
  acceptedAt: number;
  /** The tasks of each partition. Empty while the job waits for others, so that no controller starts any of it. */
  assignment: Map<string, RangeSet>;
  /** Jobs that it depends on and that were not done when it was accepted; empty once it is released. */
  dependsOn: readonly string[];
  /** Time of day (ms) when the last of them was found done; null if it never waited, or an earlier version wrote the record. */
  releasedAt: number | null;
}

/** A job's description with the stored names of its fields. */
function storedSpec(spec: JobSpec): v.InferOutput<typeof StoredSpec> {
  const { id, jobClass, team, kind, priority, tasks, cpus, gpus, memGb } = spec;
  const { image, imageGb, machineTypes, ...rest } = spec;
  return {
    id,
    class: jobClass,
    team,
    shape: STORED_KINDS[kind],
    urgency: priority,
    tasks,
    cpus,
    gpus,
    memGb,
    image,
    imageGb,
    types: machineTypes,
    zone: rest.zone,
    samePlace: rest.samePlace,
    spread: rest.spread,
    spot: rest.spot,
    estimateS: rest.estimateS,
    checkpointS: rest.checkpointS,
    saveS: rest.saveS,
    deadlineS: rest.deadlineS,
  };
}

function readSpec(stored: v.InferOutput<typeof StoredSpec>): JobSpec {
  const { class: jobClass, shape, urgency, types, ...rest } = stored;
  return {
    ...rest,
    jobClass,
    kind: KINDS_BY_STORED_NAME[shape],
    priority: urgency,
    machineTypes: types,
  };
}

export function readJob(value: unknown): JobRecord | null {
  const stored = parseRecord(StoredJob, value);
  return (
    stored && {
      spec: readSpec(stored.spec),
      acceptedAt: stored.at,
      assignment: new Map(
        stored.split.map(([partition, ranges]) => [
          partition,
          RangeSet.of(ranges),
        ]),
      ),
      dependsOn: stored.needs,
      releasedAt: stored.rel,
    }
  );
}

/** Omits partitions without tasks, and optional fields without a value. */
export const writeJob = (job: JobRecord): object => ({
  spec: storedSpec(job.spec),
  at: job.acceptedAt,
  split: [...job.assignment]
    .filter(([, tasks]) => !tasks.isEmpty)
    .map(([partition, tasks]) => [partition, tasks.pairs()]),
  ...(job.dependsOn.length > 0 ? { needs: job.dependsOn } : {}),
  ...(job.releasedAt === null ? {} : { rel: job.releasedAt }),
});
