import * as v from "valibot";
import type { JobKind, JobSpec } from "../coordination/model.js";

/** Requests and responses of users. Names on the wire are mapped to those of the core in this folder. */

export const MAX_JOB_ID_DIGITS = 40;
export const JOB_ID = new RegExp(`^req-[0-9]{1,${MAX_JOB_ID_DIGITS}}$`);
export const MAX_TASKS = 100_000;
/** Jobs that a job may depend on. Its record contains their ids, and each is looked up when the job is accepted. */
const MAX_DEPENDENCIES = 64;
/** Strings and lists in a job are bounded so that its record always fits a value of the state service. */
const text = v.pipe(v.string(), v.minLength(1), v.maxLength(200));
const amount = v.pipe(v.number(), v.finite(), v.minValue(0), v.maxValue(1e12));
/** Job kinds by their names on the wire. */
const JOB_KINDS = {
  batch: "array",
  ensemble: "gang",
  daemon: "service",
} as const satisfies Record<string, JobKind>;
const flag = v.optional(v.nullable(v.boolean()), false);

const JobBody = v.object({
  id: v.pipe(v.string(), v.regex(JOB_ID, "must look like req-000412")),
  jobclass: text,
  crew: text,
  shape: v.picklist(["batch", "ensemble", "daemon"]),
  urgency: v.picklist(["prod", "high", "normal", "best_effort"]),
  shards: v.pipe(v.number(), v.integer(), v.minValue(1), v.maxValue(MAX_TASKS)),
  cores: amount,
  accelerators: v.optional(v.nullable(amount), 0),
  memoryGb: amount,
  bundle: v.optional(v.nullable(v.pipe(v.string(), v.maxLength(200))), ""),
  sizeGb: v.optional(v.nullable(amount), 0),
  hulls: v.optional(
    v.nullable(v.pipe(v.array(text), v.minLength(1), v.maxLength(16))),
    null,
  ),
  yard: v.optional(v.nullable(text), null),
  samePlace: flag,
  spread: flag,
  loaners: flag,
  reckonS: v.optional(v.nullable(amount), 0),
  stashEveryS: v.optional(v.nullable(amount), 0),
  stashS: v.optional(v.nullable(amount), 0),
  dueS: v.optional(v.nullable(amount), null),
  awaits: v.optional(
    v.nullable(
      v.pipe(
        v.array(
          v.pipe(v.string(), v.regex(JOB_ID, "must look like req-000412")),
        ),
        v.transform((ids) => [...new Set(ids)]),
        v.maxLength(MAX_DEPENDENCIES, `at most ${MAX_DEPENDENCIES} jobs`),
      ),
    ),
    null,
  ),
});

export type Parsed<T> = { ok: true; value: T } | { ok: false; error: string };

export function firstIssue(issues: readonly v.BaseIssue<unknown>[]): string {
  const issue = issues[0]!;
  return `${v.getDotPath(issue) ?? "body"}: ${issue.message}`;
}

export function parseObject(body: string): Parsed<object> {
  let raw: unknown;
  try {
    raw = JSON.parse(body);
  } catch {
    return { ok: false, error: "body: not JSON" };
  }
  if (typeof raw !== "object" || raw === null || Array.isArray(raw))
    return { ok: false, error: "body: not a JSON object" };
  return { ok: true, value: raw };
}

/** Parses a submitted job. `dependsOn`: the jobs that must be done before this one starts. */
export function parseJob(
  body: string,
): Parsed<{ spec: JobSpec; dependsOn: string[] }> {
  const raw = parseObject(body);
  if (!raw.ok) return raw;
  const parsed = v.safeParse(JobBody, raw.value);
  if (!parsed.success) return { ok: false, error: firstIssue(parsed.issues) };
  const job = parsed.output;
  return {
    ok: true,
    value: {
      dependsOn: job.awaits ?? [],
      spec: {
        id: job.id,
        jobClass: job.jobclass,
        team: job.crew,
        kind: JOB_KINDS[job.shape],
        priority: job.urgency,
        tasks: job.shards,
        cpus: job.cores,
        gpus: job.accelerators ?? 0,
        memGb: job.memoryGb,
        image: job.bundle ?? "",
        imageGb: job.sizeGb ?? 0,
        machineTypes: job.hulls,
        zone: job.yard,
        samePlace: job.samePlace ?? false,
        spread: job.spread ?? false,
        spot: job.loaners ?? false,
        estimateS: job.reckonS ?? 0,
        checkpointS: job.stashEveryS ?? 0,
        saveS: job.stashS ?? 0,
        deadlineS: job.dueS,
      },
    },
  };
}

type JobStatus = "queued" | "running" | "done" | "cancelled";

export function jobBody(
  id: string,
  status: JobStatus,
  counts?: { done: number; running: number },
  dependsOn: readonly string[] = [],
): object {
  return {
    id,
    status,
    ...counts,
    ...(dependsOn.length > 0 ? { awaits: dependsOn } : {}),
  };
}
