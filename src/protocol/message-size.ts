/** Bounds on the size of messages, and what follows from them for the number of tasks on a machine. */
import { MAX_JOB_ID_DIGITS, MAX_TASKS } from "./jobs.js";

/** Largest body of a request, in bytes (PROTOCOL). */
export const MAX_REQUEST_BYTES = 64 * 1024;

/** Part of a heartbeat that is not its list of tasks, in bytes: three names of 200 characters, up to six bytes each, and numbers. */
const HEARTBEAT_HEADER_BYTES = 4 * 1024;

/** The longest entry that a worker can list in a heartbeat. Attempts are below 2^64. */
export const LONGEST_REPORTED_TASK = {
  shard: `req-${"9".repeat(MAX_JOB_ID_DIGITS)}/${MAX_TASKS - 1}`,
  try: 2 ** 64,
  status: "fetching",
  cause: "incomplete",
  kept: false,
};

/** Size of an entry, with the comma that follows it and a space after each comma and colon. */
const MAX_REPORTED_TASK_BYTES =
  JSON.stringify(LONGEST_REPORTED_TASK).length +
  ",".length +
  2 * Object.keys(LONGEST_REPORTED_TASK).length;

/**
 * Maximum number of tasks on a machine, exited ones included: its heartbeats must list all of them. A worker whose heartbeats are
 * too large to be accepted loses its lease, and all its tasks with it.
 */
export const MAX_TASKS_PER_MACHINE = Math.floor(
  (MAX_REQUEST_BYTES - HEARTBEAT_HEADER_BYTES) / MAX_REPORTED_TASK_BYTES,
);

/** Maximum number of commands in a message to a worker, which keeps it far below 64 KiB. The rest follows with the next one. */
export const MAX_COMMANDS = 200;
