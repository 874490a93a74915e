import * as v from "valibot";
import type {
  Command,
  Heartbeat,
  ReportedTask,
} from "../coordination/model.js";
import { firstIssue, MAX_TASKS, type Parsed, parseObject } from "./jobs.js";

/** Workers' interface: reports, answers to them, and orders sent straight to a worker. */

const count = v.pipe(v.number(), v.integer(), v.minValue(0));
const text = v.pipe(v.string(), v.minLength(1), v.maxLength(200));
const MAX_REPORTED_TASKS = 5_000;

const Task = v.object({
  shard: v.pipe(
    v.string(),
    v.regex(/^req-[0-9]{1,40}\/[0-9]{1,6}$/, "must look like req-000412/3"),
  ),
  try: count,
  status: v.picklist(["fetching", "waiting", "running", "saving", "exited"]),
  cause: v.optional(
    v.nullable(
      v.picklist([
        "done",
        "stopped",
        "peers",
        "incomplete",
        "error",
        "no_room",
        "busy",
        "no_such",
      ]),
    ),
    null,
  ),
  kept: v.optional(v.nullable(v.boolean()), false),
});

const Hello = v.object({
  berth: text,
  address: v.pipe(
    v.string(),
    v.regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, "IP:PORT expected"),
  ),
  hull: text,
  yard: text,
  loaners: v.optional(v.nullable(v.boolean()), false),
  watch: count,
  tally: count,
  baton: v.optional(v.nullable(count), 0),
  recallS: v.optional(v.nullable(v.pipe(v.number(), v.finite())), null),
  shards: v.optional(
    v.nullable(v.pipe(v.array(Task), v.maxLength(MAX_REPORTED_TASKS))),
    [],
  ),
});

const SequenceOnly = v.object({ tally: count });

/** Of a name that the schema has found well formed. */
function splitTask(key: string): { job: string; index: number } | null {
  const at = key.lastIndexOf("/");
  const index = Number(key.slice(at + 1));
  return index < MAX_TASKS ? { job: key.slice(0, at), index } : null;
}

/** The longest that a worker in touch is silent: a report comes every `report_s`, give or take a quarter, and is given up after 4 s. */
export const maxHeartbeatGapMs = (reportS: number): number =>
  (reportS * 1.25 + 4) * 1000;

export function parseHeartbeat(body: string): Parsed<Heartbeat> {
  const raw = parseObject(body);
  if (!raw.ok) return raw;
  const got = v.safeParse(Hello, raw.value);
  if (!got.success) return { ok: false, error: firstIssue(got.issues) };
  const r = got.output;
  const tasks: ReportedTask[] = [];
  const states = new Map<string, string>();
  for (const t of r.shards ?? []) {
    const id = splitTask(t.shard);
    if (!id)
      return { ok: false, error: `shards: ${t.shard}: no such task number` };
    const state = `${t.status}/${t.cause ?? ""}`;
    const before = states.get(`${t.shard}#${t.try}`);
    if (before !== undefined && before !== state)
      return {
        ok: false,
        error: `shards: ${t.shard}: attempt ${t.try} is ${before.split("/")[0]} and ${t.status}`,
      };
    states.set(`${t.shard}#${t.try}`, state);
    tasks.push({
      ...id,
      attempt: t.try,
      state: t.status,
      cause: t.cause,
      checkpointed: t.kept ?? false,
    });
  }
  return {
    ok: true,
    value: {
      worker: r.berth,
      address: r.address,
      type: r.hull,
      zone: r.yard,
      spot: r.loaners ?? false,
      incarnation: r.watch,
      sequence: r.tally,
      token: r.baton ?? 0,
      noticeS: r.recallS,
      tasks,
    },
  };
}

/** The sequence of a machine's status, all that is needed of the answer to a command; null: it can't be read. */
export function readSequence(body: string): number | null {
  const raw = parseObject(body);
  if (!raw.ok) return null;
  const status = v.safeParse(SequenceOnly, raw.value);
  return status.success ? status.output.tally : null;
}

function wireCommand(o: Command): object {
  const shard = `${o.job}/${o.index}`;
  switch (o.op) {
    case "start":
      return { verb: "start", shard, try: o.attempt };
    case "stop":
      return { verb: "kill", shard, try: o.attempt, leewayS: o.graceS };
    case "forget":
      return { verb: "clear", shard, try: o.attempt };
  }
}

/** At most this many orders in one message: keeps every line far below 64 KiB; the rest follows with the next. */
const MAX_COMMANDS = 200;

export const heartbeatAnswerBody = (
  token: number,
  commands: readonly Command[],
): object => ({
  baton: token,
  orders: commands.slice(0, MAX_COMMANDS).map(wireCommand),
});

export const commandBody = (
  token: number,
  incarnation: number,
  commands: readonly Command[],
): object => ({
  baton: token,
  watch: incarnation,
  orders: commands.slice(0, MAX_COMMANDS).map(wireCommand),
});

export const redirectBody = (leader: string | null): object =>
  leader === null ? {} : { harbormaster: leader };
