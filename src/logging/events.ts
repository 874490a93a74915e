/**
 * The catalogue of log events. Each line that a controller logs is one of these events. The name of the event is the text of the
 * line (`msg`) and determines the type of its fields. docs/operations.md explains the events to operators.
 */

export type LogLevel = "error" | "warn" | "info" | "debug";

/** Fields of events that are logged at most once a minute for each subject. */
export type RateLimitedFields = {
  /** What the line is about: the key of a record, the name of a machine or an error message. */
  subject: string;
  /** Number of occurrences of the event since the last line about this subject. */
  occurrences: number;
};

/** No fields. */
type NoFields = Record<never, never>;

/** The number of tasks for each partition. */
type TaskCounts = [partition: string, tasks: number][];

/** The fields of each event. */
export interface LogEventFields {
  // ---- the process

  /** The process listens; it is not ready until it has read the records. */
  "controller started": { area: string; partitions: readonly string[] };
  /** The set of controllers that answer over the mesh changed. */
  "reachable peers changed": { reachable: readonly string[] };
  /** Handling a request threw an unexpected error. The request was answered with 503. */
  "internal error while serving a request": {
    err: Error;
    stack: string | undefined;
    /** Number of such errors since the start of the process. */
    faults: number;
  };
  /** What a webhook's record holds does not fit into records of the present limits. Nothing is sent that would have to be written with it. */
  "webhook record does not fit the store's limits": {
    webhook: string;
    record: "window" | "dead letters";
  };
  /** A call to another process failed with an unexpected error. It counts as one without an answer. */
  "internal error in a call": {
    err: Error;
    stack: string | undefined;
    /** Number of such errors and of those while serving requests since the start of the process. */
    faults: number;
  };
  /** A message was not sent because the leadership lease expired after the decision to send it. */
  "message withheld after leadership lease expiry": {
    /** The kind of effect. */
    what: string;
    /** Number of messages withheld since the start of the process. */
    withheld: number;
    leadershipLeaseExpiredMs: number;
  };
  /** A heartbeat was too large or could not be parsed and was answered with 400. */
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
  /** Workers cannot reach the leader of their partition through any controller. This controller bids for the partition. */
  "leadership bid placed": { partition: string; token: number };
  /** The leader gives its partition to a controller that receives its workers' heartbeats, or to its home controller. */
  "transferring leadership": { partition: string; token: number; to: string };
  /** According to the store, this controller's lease has expired. Its partitions are lost with it. */
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
  /** All tasks that the former leader may have started are accounted for. */
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
  "store available again": NoFields;
  /** The store's change log no longer reaches back to the last read. */
  "store watch fell behind, reading all records": NoFields;
  /** The store rejected a transaction as invalid or too large. */
  "transaction rejected by the store": {
    /** Operation, key and size in bytes of each write. */
    writes: [operation: string, key: string, bytes: number][];
  };
  /** A transaction of unknown outcome was applied, since its write is visible now. */
  "indeterminate transaction was applied": { key: string; afterMs: number };
  /** A response is older than the previous one, or contains changes newer than its own revision; it is ignored. */
  "inconsistent store response": RateLimitedFields & {
    itemRevision: number | undefined;
    storeRevision: number;
    sinceRevision?: number;
  };
  /** A record cannot be parsed and counts as absent. */
  "unreadable record": RateLimitedFields;
  /** A rate-limited log had more subjects than it can track. `occurrences`: number of lines omitted since the last such line. */
  "too many warning subjects": { occurrences: number };
  /** A record of the registry is too large and is split. */
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
  /** A heartbeat is not newer than the last known status of its machine; it is ignored. */
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
  /** A heartbeat is old, or from a machine that restarted without its tokens, which is therefore shown this one. */
  "fencing a machine that may have restarted": {
    worker: string;
    incarnation: number;
    token: number;
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
  /** An unreachable machine receives responses or commands again. */
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
  "cloud available again": NoFields;

  // ---- jobs and tasks

  /** A job was stored. */
  "job accepted": {
    job: string;
    class: string;
    tasks: number;
    dependsOn: readonly string[];
    assignment: TaskCounts;
  };
  /** The jobs that a job depends on are done, so it may start. */
  "job dependencies satisfied": {
    job: string;
    class: string;
    assignment: TaskCounts;
  };
  /** Jobs were cancelled because a job that they depend on was cancelled. */
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
    /** Fencing token of the leader that counted the task. */
    token: number;
    reason: string;
    /** Incarnation and sequence of the last accepted status of the worker. */
    incarnation: number;
    sequence: number;
  };
  /** The answer to a heartbeat removes an exited task from its worker. */
  "removing exited task from its worker": {
    task: string;
    attempt: number;
    worker: string;
    incarnation: number;
    /** Fencing token of the answer. */
    token: number;
    /** Fencing token of the last direct message that started the attempt; null if the worker has shown a higher one since. */
    startToken: number | null;
  };
  /**
   * A machine reports an attempt of this leader that had ended or was never given, as after a late copy of its start. It is stopped
   * at once, and counts against limits and places until it is gone.
   */
  "stopping a task that was not to start": {
    task: string;
    attempt: number;
    state: string;
    worker: string;
    incarnation: number;
    /** Highest fencing token that the machine has shown. */
    shownToken: number;
    /** Fencing token of the last direct message that started the attempt; null if the machine has shown a higher one since. */
    startToken: number | null;
    /** How long ago that message was sent; null as for `startToken`. */
    startSentMsAgo: number | null;
  };
  /** A heartbeat without the task was created before the worker answered the task's start command. */
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
  /** A job failed on several machines and none of its tasks ever completed. It is retried with backoff. */
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

  /** Part of a partition's share of a team's limit is transferred to another partition. */
  "transferring quota to another partition": {
    team: string;
    to: string;
    cpus: number;
    gpus: number;
    reason: "turn" | "reservation" | "backfill";
  };
  /** The records show the outcome of a quota change that this partition had sent. */
  "quota change settled": {
    partition: string;
    /** Outcome of the transaction according to its reply; null if there is none yet. */
    answer: "ok" | "conflict" | "refused" | "unknown" | null;
    records: { key: string; before: number; after: number }[];
    /** Sum of the quota shares of all partitions, and the team's limit, in CPUs and accelerators. No limit is logged as null. */
    teams: { team: string; parts: number[]; limit: number[] }[];
  };
  /** The leader of a partition uses these revisions of the quota records from now on. */
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
  /** The quota shares of a partition that is no longer configured are reclaimed. */
  "reclaiming quota of removed partition": { partition: string };
  /** Work within a team's guarantee has waited for a long time. */
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
    /** Reason of the repetition; null for the first attempt. */
    reason: string | null;
  };
  /** A notification was not delivered within its time limit and is a dead letter now. */
  "webhook notification given up": {
    webhook: string;
    job: string;
    attempts: number;
  };
  /** A receiver answered 410: the subscription is ended. */
  "webhook receiver is gone": { webhook: string };
  /** Jobs ended on a controller without webhooks, so no notification is sent for them. */
  "jobs ended without webhook notification": { jobs: number };
  /** The change log no longer reaches back to the revision that the webhook has processed, so all final records are read. */
  "webhook fell behind, reading all final records": {
    webhook: string;
    sinceRevision: number;
  };
  /** A batch of the outbox is missing or cannot be parsed. */
  "unreadable webhook outbox batch": { webhook: string; batch: number };
  /** Another controller wrote a record of a webhook, so this one stops delivering for it. */
  "webhook record belongs to another controller": {
    webhook: string;
    key: string;
  };
}

/** The name of an event, which is the text of its line. */
export type LogEvent = keyof LogEventFields;

/** Events that `RateLimitedLog` takes. */
export type RateLimitedEvent = {
  [E in LogEvent]: LogEventFields[E] extends RateLimitedFields ? E : never;
}[LogEvent];

/** Properties of an event besides its name and fields. */
export interface LogEventInfo {
  readonly level: LogLevel;
  /**
   * Text of the line before the event got its present name; null if there was no such line. It remains the value of the metrics'
   * label `event`, which must not change.
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

/** A debug event without a former message. */
const debugWithoutFormerMessage: LogEventInfo = {
  level: "debug",
  formerMessage: null,
};

/** Level and former message of each event. */
export const LOG_EVENTS: { readonly [E in LogEvent]: LogEventInfo } = {
  "controller started": info("controller started"),
  "reachable peers changed": info("peers in touch changed"),
  "internal error while serving a request": error(
    "fault while serving a request",
  ),
  "webhook record does not fit the store's limits": {
    level: "error",
    formerMessage: null,
  },
  "internal error in a call": { level: "error", formerMessage: null },
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
  "fencing a machine that may have restarted": debugWithoutFormerMessage,
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
  "task released": debugWithoutFormerMessage,
  "removing exited task from its worker": debugWithoutFormerMessage,
  "stopping a task that was not to start": {
    level: "warn",
    formerMessage: null,
  },
  "heartbeat older than answered start": debugWithoutFormerMessage,
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
  "quota records read": debugWithoutFormerMessage,
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

/** A log line without its time and node. */
export interface LogEntry {
  level: LogLevel;
  msg: LogEvent;
  fields: Record<string, unknown>;
}

/** The log, as the cores of the controller and of the webhooks use it. */
export interface EventLog {
  log<E extends LogEvent>(event: E, fields: LogEventFields[E]): void;
}

/** Builds the log line of an event. */
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
