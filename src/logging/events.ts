/**
 * The catalogue of log events. Every line that a controller logs is one of these: its name is the text of the line (`msg`), and its
 * fields have one type. docs/operations.md explains each to operators.
 */

export type LogLevel = "error" | "warn" | "info" | "debug";

/** Fields of events that are logged at most once a minute for each subject. */
export type RateLimitedFields = {
  /** What the line is about: the key of a record, the name of a machine, or what is wrong. */
  subject: string;
  /** How often the event occurred since the last line about this subject. */
  occurrences: number;
};

/** No fields. */
type None = Record<never, never>;

/** The number of tasks for each partition. */
type TaskCounts = [partition: string, tasks: number][];

/** The fields of each event. */
export interface LogEventFields {
  // ---- the process

  /** The process listens; it is not ready until it has read the records. */
  "controller started": { area: string; partitions: readonly string[] };
  /** The set of controllers that answer over the mesh changed. */
  "reachable peers changed": { reachable: readonly string[] };
  /** A defect of the program: the request got 503. */
  "internal error while serving a request": {
    err: Error;
    stack: string | undefined;
    /** Such errors since the start of the process. */
    faults: number;
  };
  /** The leadership lease expired between the decision and the sending of a message, which was not sent. */
  "message withheld after leadership lease expiry": {
    /** The kind of effect. */
    what: string;
    /** Messages withheld since the start of the process. */
    withheld: number;
    leadershipLeaseExpiredMs: number;
  };
  /** A worker sent a heartbeat that can't be parsed; it got 400. */
  "malformed heartbeat": RateLimitedFields;
  /** Most of the heap is in use after a full collection: new jobs are rejected. */
  "memory low, new jobs rejected": { jobs: number };
  /** The heap has room again: new jobs are accepted. */
  "memory recovered, new jobs accepted": { jobs: number };

  // ---- leadership

  /** This controller became the leader of a partition. */
  "partition acquired": { partition: string; token: number };
  /** This controller is no longer the leader of a partition. */
  "partition lost": { partition: string; token: number; owner: string | null };
  /** Workers can't reach the leader of their partition through any controller: this one asks for the partition. */
  "leadership bid placed": { partition: string; token: number };
  /** The leader gives its partition to a controller that hears its workers, or to its home controller. */
  "transferring leadership": { partition: string; token: number; to: string };
  /** The store says that this controller's lease has expired, and its partitions with it. */
  "store lease expired": { storeLease: number };
  /** The last renewal or read of the store is too old for this controller to act as a leader. */
  "leadership lease expired": {
    renewalAgeMs: number;
    readAgeMs: number;
    ttlMs: number;
    storeLease: number;
  };
  /** Renewals and reads of the store are recent enough to act as a leader. */
  "leadership lease acquired": { storeLease: number };
  /** All that the former leader may have started is accounted for. */
  "failover complete": {
    partition: string;
    token: number;
    reason: string;
    /** Some of the machines that have sent no heartbeat. */
    silent: string[];
    afterMs: number;
  };
  /** The cloud lists machines that the registry lacks: the failover waits for them, too. */
  "failover waits for machines missing from the registry": {
    partition: string;
    machines: number;
  };
  /** The cloud no longer lists a machine of the former leader: the failover does not wait for it. */
  "machine of former leader is gone": { worker: string };

  // ---- the store

  /** No read or renewal has succeeded for seconds. */
  "store unavailable": { leadershipLeaseRemainingMs: number };
  /** The store answers again. */
  "store available again": None;
  /** The store's change log no longer reaches back to the last read. */
  "store watch fell behind, reading all records": None;
  /** The store rejected a transaction as invalid or too large. */
  "transaction rejected by the store": {
    /** Operation, key and size in bytes of each write. */
    writes: [operation: string, key: string, bytes: number][];
  };
  /** The outcome of a transaction was unknown, and now its write shows. */
  "indeterminate transaction was applied": { key: string; afterMs: number };
  /** A response is older than the one before, or holds changes later than itself; it is ignored. */
  "inconsistent store response": RateLimitedFields & {
    itemRevision: number | undefined;
    storeRevision: number;
    sinceRevision?: number;
  };
  /** A record can't be parsed and counts as absent. */
  "unreadable record": RateLimitedFields;
  /** More subjects than a rate-limited log remembers: how many lines were left out since the last such line. */
  "too many warning subjects": { occurrences: number };
  /** A record of the registry is too large and is divided. */
  "splitting oversized registry record": {
    partition: string;
    chunk: number;
    parts: number[];
  };

  // ---- machines

  /** A heartbeat gives a known machine another type, zone or kind; it is ignored. */
  "heartbeat contradicts known machine": RateLimitedFields & {
    known: string;
    received: string;
  };
  /** A heartbeat is no newer than what is known; it is ignored. */
  "stale heartbeat ignored": {
    worker: string;
    incarnation: number;
    sequence: number;
    known: "gone" | [incarnation: number, sequence: number, token: number];
    lost: boolean | undefined;
  };
  /** A worker follows a newer leader of this partition. */
  "worker has seen a higher fencing token": {
    worker: string;
    token: number;
    ownToken: number;
    sequence: number;
    incarnation: number;
  };
  /** A worker sent no heartbeat for longer than its lease: its tasks are started elsewhere. */
  "worker lease expired": { worker: string; tasks: number };
  /** A worker whose lease had expired sends heartbeats again. */
  "worker returned after lease expiry": { worker: string; incarnation: number };
  /** The worker process or its machine restarted within its lease. */
  "machine restarted": {
    worker: string;
    known: [incarnation: number, sequence: number];
    now: [incarnation: number, sequence: number];
    tasks: number;
  };
  /** Tasks ended with the incarnation of the worker that ran them; they are queued again. */
  "tasks lost with worker incarnation": {
    worker: string;
    tasks: number;
    reason: string;
  };
  /** Heartbeats of a machine arrive, but neither responses nor commands reach it. */
  "machine unreachable": {
    worker: string;
    reason: string;
    occurrences: number;
    tasks: number;
  };
  /** An unreachable machine receives again. */
  "machine reachable again": {
    worker: string;
    reason: string;
    afterMs: number;
  };

  // ---- scaling

  /** Machines are rented. */
  "scaling out": {
    rentalRequestId: string;
    type: string;
    zone: string;
    spot: boolean;
    count: number;
  };
  /** A machine is returned. */
  "scaling in": { worker: string; type: string; reason: string };
  /** The cloud granted fewer machines than requested. */
  "cloud capacity exhausted": {
    type: string;
    zone: string;
    spot: boolean;
    requested: number;
    granted: number;
  };
  /** A call to the cloud failed. */
  "cloud unavailable": { reason: string };
  /** A call to the cloud succeeded after a failure. */
  "cloud available again": None;

  // ---- jobs and tasks

  /** A job was stored. */
  "job accepted": {
    job: string;
    class: string;
    tasks: number;
    dependsOn: readonly string[];
    assignment: TaskCounts;
  };
  /** The jobs that a job depends on are done: it may start. */
  "job dependencies satisfied": {
    job: string;
    class: string;
    assignment: TaskCounts;
  };
  /** Jobs were cancelled because one that they depend on was. */
  "dependent jobs cancelled": { jobs: string[] };
  /** A task is assigned to a worker. */
  "starting task": { task: string; attempt: number; worker: string };
  /** A task is to be stopped. */
  "stopping task": { task: string; worker: string; reason: string };
  /** A heartbeat shows a task in another phase. */
  "task phase changed": {
    task: string;
    worker: string;
    from: string;
    to: string;
    afterMs: number;
  };
  /** A task ended on its worker. */
  "task ended": {
    task: string;
    worker: string;
    cause: string | null;
    checkpointed: boolean;
  };
  /** A task no longer counts as being on its worker: its resources are free for others. */
  "task released": {
    task: string;
    attempt: number;
    worker: string;
    team: string;
    /** Fencing token of the leader that counted it. */
    token: number;
    reason: string;
    /** Incarnation and sequence of the last status of the worker that was taken. */
    incarnation: number;
    sequence: number;
  };
  /** A heartbeat that lacks a task was made before the worker answered the command that started it. */
  "heartbeat older than answered start": {
    task: string;
    worker: string;
    incarnation: number;
    sequence: number;
    /** Sequence of the answer. */
    answeredSequence: number;
  };
  /** A worker no longer reports a task that it ran. */
  "task missing from its worker": { task: string; worker: string };
  /** A task ended with an error that counts against its machine. */
  "task failed": { task: string; worker: string; jobsFailedHere: number };
  /** A job failed on several machines and nothing of it ever completed: it is retried with backoff. */
  "job fails on every machine, retrying with backoff": {
    job: string;
    class: string;
    team: string;
    machines: string[];
    failures: number;
  };
  /** A task of a job that seemed to fail everywhere completed. */
  "job recovered after failures": { job: string };
  /** Tasks are preempted for a job of higher precedence. */
  "preempting tasks": {
    job: string;
    team: string;
    workers: string[];
    tasks: number;
  };
  /** Waiting tasks are assigned to a partition with idle machines. */
  "rebalancing waiting tasks": { job: string; tasks: number; to: string };
  /** Tasks of a partition that is no longer configured are assigned to another. */
  "reassigning tasks of removed partition": {
    job: string;
    tasks: number;
    from: string;
    to: string;
  };

  // ---- quotas

  /** Part of a team's limit is given to another partition. */
  "transferring quota to another partition": {
    team: string;
    to: string;
    cpus: number;
    gpus: number;
    reason: "turn" | "reservation" | "backfill";
  };
  /** The records show how a change of the quotas ended that this partition had sent. */
  "quota change settled": {
    partition: string;
    /** How the transaction was answered; null: not yet. */
    answer: "ok" | "conflict" | "refused" | "unknown" | null;
    records: { key: string; before: number; after: number }[];
    /** All parts together and the limit that they are parts of, in CPUs and accelerators; an absent limit is null in the line. */
    teams: { team: string; parts: number[]; limit: number[] }[];
  };
  /** The leader of a partition goes by these revisions of the quota records from now on. */
  "quota records read": {
    partition: string;
    records: { key: string; revision: number }[];
  };
  /** A team's limit is written to the store. */
  "writing team quota": {
    team: string;
    /** Whether all controllers have the same limits. */
    agreed: boolean;
  };
  /** The quota of a partition that is no longer configured is taken back. */
  "reclaiming quota of removed partition": { partition: string };
  /** Work within a team's guarantee has waited for long. */
  "guarantee not met": {
    team: string;
    partition: string;
    job: string;
    waitingS: number;
    missingCpus: number | null;
    reason: string;
  };

  // ---- webhooks

  /** A notification is sent, or sent again. */
  "webhook delivery attempt": {
    webhook: string;
    job: string;
    attempt: number;
    /** Why it is repeated; null: the first attempt. */
    reason: string | null;
  };
  /** A notification was not delivered within its time and is a dead letter now. */
  "webhook notification given up": {
    webhook: string;
    job: string;
    attempts: number;
  };
  /** A receiver answered 410: the subscription is ended. */
  "webhook receiver is gone": { webhook: string };
  /** Jobs ended on a controller without webhooks: nobody is notified. */
  "jobs ended without webhook notification": { jobs: number };
  /** The change log no longer reaches back to where the webhook is: all final records are read. */
  "webhook fell behind, reading all final records": {
    webhook: string;
    sinceRevision: number;
  };
  /** A batch of the outbox is missing or can't be parsed. */
  "unreadable webhook outbox batch": { webhook: string; batch: number };
  /** Another controller wrote a webhook's record: this one stops delivering for it. */
  "webhook record belongs to another controller": {
    webhook: string;
    key: string;
  };
}

/** The name of an event: the text of its line. */
export type LogEvent = keyof LogEventFields;

/** Events that `RateLimitedLog` takes. */
export type RateLimitedEvent = {
  [E in LogEvent]: LogEventFields[E] extends RateLimitedFields ? E : never;
}[LogEvent];

/** What the catalogue says of an event beside its name and fields. */
export interface LogEventInfo {
  readonly level: LogLevel;
  /**
   * The text of the line before the events were named in standard terms; null: there was none. It is the value of the metrics' label
   * `event`, which does not change.
   */
  readonly formerMessage: string | null;
}

const info = (formerMessage: string): LogEventInfo => ({
  level: "info",
  formerMessage,
});
const warn = (formerMessage: string): LogEventInfo => ({
  level: "warn",
  formerMessage,
});
const error = (formerMessage: string): LogEventInfo => ({
  level: "error",
  formerMessage,
});
const debug = (formerMessage: string): LogEventInfo => ({
  level: "debug",
  formerMessage,
});

/** An event that had no line before the events were named in standard terms. */
const newDebug: LogEventInfo = { level: "debug", formerMessage: null };

/** Level and former text of each event. */
export const LOG_EVENTS: { readonly [E in LogEvent]: LogEventInfo } = {
  "controller started": info("controller started"),
  "reachable peers changed": info("peers in touch changed"),
  "internal error while serving a request": error(
    "fault while serving a request",
  ),
  "message withheld after leadership lease expiry": warn(
    "not sent, for its permit ended before it could leave",
  ),
  "malformed heartbeat": warn("malformed report"),
  "memory low, new jobs rejected": warn(
    "memory is short: new jobs are refused",
  ),
  "memory recovered, new jobs accepted": info(
    "memory is there again: new jobs are accepted",
  ),

  "partition acquired": info("group taken"),
  "partition lost": info("group lost"),
  "leadership bid placed": info("asking for a group"),
  "transferring leadership": info("handing group over"),
  "store lease expired": warn("hold ended; groups are lost until taken again"),
  "leadership lease expired": warn(
    "permit ended: workers are not answered until the state service is",
  ),
  "leadership lease acquired": info("permit is there"),
  "failover complete": info("takeover complete"),
  "failover waits for machines missing from the registry": info(
    "takeover waits for machines that the roster lacks",
  ),
  "machine of former leader is gone": info(
    "machine of the former master is gone",
  ),

  "store unavailable": warn("state service does not answer"),
  "store available again": info("state service answers again"),
  "store watch fell behind, reading all records": warn(
    "watch fell too far behind; reading everything again",
  ),
  "transaction rejected by the store": error(
    "state service refuses a transaction",
  ),
  "indeterminate transaction was applied": info(
    "transaction without an answer was carried out",
  ),
  "inconsistent store response": warn("state service contradicts itself"),
  "unreadable record": warn("record can't be read"),
  "too many warning subjects": warn("too many warning subjects"),
  "splitting oversized registry record": info(
    "dividing a roster record that became too large",
  ),

  "heartbeat contradicts known machine": warn(
    "report contradicts what is known of its machine",
  ),
  "stale heartbeat ignored": debug("late report"),
  "worker has seen a higher fencing token": warn(
    "worker has seen a higher token",
  ),
  "worker lease expired": info("worker is silent past its lease"),
  "worker returned after lease expiry": info("worker is back"),
  "machine restarted": info("machine has begun anew"),
  "tasks lost with worker incarnation": info(
    "tasks lost with their machine's session",
  ),
  "machine unreachable": warn("machine does not receive"),
  "machine reachable again": info("machine receives again"),

  "scaling out": info("renting machines"),
  "scaling in": info("giving machine back"),
  "cloud capacity exhausted": info("cloud has no more machines"),
  "cloud unavailable": warn("cloud does not answer"),
  "cloud available again": info("cloud answers again"),

  "job accepted": debug("job accepted"),
  "job dependencies satisfied": debug("job released"),
  "dependent jobs cancelled": info("jobs cancelled with one that they need"),
  "starting task": debug("starting task"),
  "stopping task": debug("stopping task"),
  "task phase changed": debug("task phase"),
  "task ended": debug("task ended"),
  "task released": newDebug,
  "heartbeat older than answered start": newDebug,
  "task missing from its worker": info("task vanished from its machine"),
  "task failed": info("task failed"),
  "job fails on every machine, retrying with backoff": warn(
    "job fails wherever it runs; tried again ever more slowly",
  ),
  "job recovered after failures": info("job runs after all"),
  "preempting tasks": info("stopping tasks for a job that comes first"),
  "rebalancing waiting tasks": info("moving waiting tasks to an idle group"),
  "reassigning tasks of removed partition": info(
    "tasks of a group that is gone go to another",
  ),

  "transferring quota to another partition": info(
    "giving part of a team's limit to another group",
  ),
  "quota records read": newDebug,
  "quota change settled": { level: "info", formerMessage: null },
  "writing team quota": info("writing a team's limit"),
  "reclaiming quota of removed partition": info(
    "parts of a group that is gone come back",
  ),
  "guarantee not met": info("a guarantee is not met"),

  "webhook delivery attempt": debug("hook's attempt"),
  "webhook notification given up": warn("hook's notification given up"),
  "webhook receiver is gone": warn("hook's receiver is gone for good"),
  "jobs ended without webhook notification": warn(
    "jobs ended on a controller without hooks; nobody is told of them",
  ),
  "webhook fell behind, reading all final records": warn(
    "hook is too far behind the log; reading all final records",
  ),
  "unreadable webhook outbox batch": error("hook's batch can't be read"),
  "webhook record belongs to another controller": info(
    "hook's record is another's",
  ),
};

/** One line of the log, before time and node are added. */
export interface LogEntry {
  level: LogLevel;
  msg: LogEvent;
  fields: Record<string, unknown>;
}

/** What the cores log through. */
export interface EventLog {
  log<E extends LogEvent>(event: E, fields: LogEventFields[E]): void;
}

/** The line of an event. */
export function logEntry<E extends LogEvent>(
  event: E,
  fields: LogEventFields[E],
): LogEntry {
  return { level: LOG_EVENTS[event].level, msg: event, fields };
}

/** The value of the metrics' label `event` for an event. */
export function metricLabel(event: LogEvent): string {
  return LOG_EVENTS[event].formerMessage ?? event;
}
