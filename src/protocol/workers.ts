import * as v from "valibot";
import type {
  Command,
  Heartbeat,
  ReportedTask,
} from "../coordination/model.js";
import { firstIssue, MAX_TASKS, type Parsed, parseObject } from "./jobs.js";

/** Heartbeats of workers, the replies to them, and commands sent directly to a worker. */

const count = v.pipe(v.number(), v.integer(), v.minValue(0));
const text = v.pipe(v.string(), v.minLength(1), v.maxLength(200));
const MAX_REPORTED_TASKS = 5_000;

/** States of a task, as workers report them. */
export const TASK_STATES = [
  "fetching",
  "waiting",
  "running",
  "saving",
  "exited",
] as const;
/** Causes of the end of a task, as workers report them. */
export const EXIT_CAUSES = [
  "done",
  "stopped",
  "peers",
  "incomplete",
  "error",
  "no_room",
  "busy",
  "no_such",
] as const;

const TaskBody = v.object({
  shard: v.pipe(
    v.string(),
    v.regex(/^req-[0-9]{1,40}\/[0-9]{1,6}$/, "must look like req-000412/3"),
  ),
  try: count,
  status: v.picklist(TASK_STATES),
  cause: v.optional(v.nullable(v.picklist(EXIT_CAUSES)), null),
  kept: v.optional(v.nullable(v.boolean()), false),
});

const MAX_PORT = 65_535;

const portOf = (address: string): number =>
  Number(address.slice(address.lastIndexOf(":") + 1));

const HeartbeatBody = v.object({
  berth: text,
  address: v.pipe(
    v.string(),
    v.regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, "IP:PORT expected"),
    v.check((address) => portOf(address) <= MAX_PORT, "IP:PORT expected"),
  ),
  hull: text,
  yard: text,
  loaners: v.optional(v.nullable(v.boolean()), false),
  watch: count,
  tally: count,
  baton: v.optional(v.nullable(count), 0),
  recallS: v.optional(v.nullable(v.pipe(v.number(), v.finite())), null),
  shards: v.optional(
    v.nullable(v.pipe(v.array(TaskBody), v.maxLength(MAX_REPORTED_TASKS))),
    [],
  ),
});

const SequenceOnly = v.object({ tally: count });

/** Splits a task key that the schema has validated; null if the index is out of range. */
function splitTaskKey(key: string): { job: string; index: number } | null {
  const slash = key.lastIndexOf("/");
  const index = Number(key.slice(slash + 1));
  return index < MAX_TASKS ? { job: key.slice(0, slash), index } : null;
}

/** Longest time between two heartbeats of a reachable worker: one starts every `report_s`, ±25%, and times out after 4 s. */
export const maxHeartbeatGapMs = (reportS: number): number =>
  (reportS * 1.25 + 4) * 1000;

export function parseHeartbeat(body: string): Parsed<Heartbeat> {
  const raw = parseObject(body);
  if (!raw.ok) return raw;
  const parsed = v.safeParse(HeartbeatBody, raw.value);
  if (!parsed.success) return { ok: false, error: firstIssue(parsed.issues) };
  const heartbeat = parsed.output;
  const tasks: ReportedTask[] = [];
  const stateByAttempt = new Map<string, string>();
  for (const task of heartbeat.shards ?? []) {
    const id = splitTaskKey(task.shard);
    if (!id)
      return { ok: false, error: `shards: ${task.shard}: no such task number` };
    const state = `${task.status}/${task.cause ?? ""}`;
    const previous = stateByAttempt.get(`${task.shard}#${task.try}`);
    if (previous !== undefined && previous !== state)
      return {
        ok: false,
        error: `shards: ${task.shard}: attempt ${task.try} is ${previous.split("/")[0]} and ${task.status}`,
      };
    stateByAttempt.set(`${task.shard}#${task.try}`, state);
    tasks.push({
      ...id,
      attempt: task.try,
      state: task.status,
      cause: task.cause,
      checkpointed: task.kept ?? false,
    });
  }
  return {
    ok: true,
    value: {
      worker: heartbeat.berth,
      address: heartbeat.address,
      type: heartbeat.hull,
      zone: heartbeat.yard,
      spot: heartbeat.loaners ?? false,
      incarnation: heartbeat.watch,
      sequence: heartbeat.tally,
      token: heartbeat.baton ?? 0,
      noticeS: heartbeat.recallS,
      tasks,
    },
  };
}

/** The sequence of a worker's status, the only field used of its reply to commands; null if it cannot be parsed. */
export function readSequence(body: string): number | null {
  const raw = parseObject(body);
  if (!raw.ok) return null;
  const status = v.safeParse(SequenceOnly, raw.value);
  return status.success ? status.output.tally : null;
}

function wireCommand(command: Command): object {
  const shard = `${command.job}/${command.index}`;
  switch (command.op) {
    case "start":
      return { verb: "start", shard, try: command.attempt };
    case "stop":
      return {
        verb: "kill",
        shard,
        try: command.attempt,
        leewayS: command.graceS,
      };
    case "forget":
      return { verb: "clear", shard, try: command.attempt };
  }
}

export const heartbeatAnswerBody = (
  token: number,
  commands: readonly Command[],
): object => ({
  baton: token,
  orders: commands.map(wireCommand),
});

export const commandBody = (
  token: number,
  incarnation: number,
  commands: readonly Command[],
): object => ({
  baton: token,
  watch: incarnation,
  orders: commands.map(wireCommand),
});

export const redirectBody = (leader: string | null): object =>
  leader === null ? {} : { harbormaster: leader };
