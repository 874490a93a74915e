/** Metrics of the controller and its webhooks: GET /metrics in the Prometheus text format. Loaded only if enabled. */
import { type LogEvent, metricLabel } from "../logging/events.js";
import { Hono } from "hono";
import { Counter, Gauge, Histogram, Registry } from "prom-client";
import type { Statistics, TeamStatistics } from "../coordination/statistics.js";
import type { WebhookCore } from "../webhooks/webhook-core.js";

const CALL_BUCKETS_S = [
  0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5,
];
const DELAY_BUCKETS_S = [
  0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60, 300, 1_800, 7_200, 86_400,
];

/** Names begin with `linencove_`. docs/operations.md describes each metric and when to alert. Times are in seconds. */
export class Metrics {
  private readonly registry = new Registry();
  private readonly events = new Counter({
    name: "linencove_events_total",
    help: "Lines of the log by their text, debug lines included",
    labelNames: ["event"],
    registers: [this.registry],
  });
  private readonly calls = new Counter({
    name: "linencove_calls_total",
    help: "Calls to the state service and the cloud by how they ended",
    labelNames: ["service", "op", "outcome"],
    registers: [this.registry],
  });
  private readonly callTimes = new Histogram({
    name: "linencove_call_seconds",
    help: "From sending a call to its end",
    labelNames: ["service"],
    buckets: CALL_BUCKETS_S,
    registers: [this.registry],
  });
  private readonly rateLimitWaits = new Histogram({
    name: "linencove_rate_limit_wait_seconds",
    help: "How long calls to the state service waited for this controller's part of its limits",
    buckets: CALL_BUCKETS_S,
    registers: [this.registry],
  });
  private readonly deliveryAttempts = new Counter({
    name: "linencove_hook_attempts_total",
    help: "Attempts to deliver by how they ended: 2xx, 5xx, timeout, ...",
    labelNames: ["outcome"],
    registers: [this.registry],
  });
  private readonly deliveryAttemptTimes = new Histogram({
    name: "linencove_hook_attempt_seconds",
    help: "How long attempts took",
    buckets: CALL_BUCKETS_S.concat([5, 10]),
    registers: [this.registry],
  });
  private readonly notifications = new Counter({
    name: "linencove_hook_notifications_total",
    help: "Notifications that were delivered, or given up",
    labelNames: ["outcome"],
    registers: [this.registry],
  });
  private readonly deliveryDelays = new Histogram({
    name: "linencove_hook_delay_seconds",
    help: "From the end of a job to its delivery",
    buckets: DELAY_BUCKETS_S,
    registers: [this.registry],
  });

  constructor(
    statistics: () => Statistics,
    /** Remaining time of the leadership lease. */
    leadershipLeaseRemainingMs: () => number,
  ) {
    const gauge = this.gauge.bind(this);
    gauge(
      "jobs_unfinished",
      "Jobs that are not over, on all controllers",
      () => statistics().unfinishedJobs,
    );
    gauge(
      "groups",
      "Groups whose master this controller is",
      () => statistics().ledPartitions,
    );
    gauge("machines", "Machines of these groups", () => statistics().machines);
    gauge(
      "machines_idle",
      "Those without a task",
      () => statistics().idleMachines,
    );
    gauge(
      "tasks_running",
      "Tasks on these machines",
      () => statistics().runningTasks,
    );
    gauge(
      "tasks_queued_plain",
      "Waiting tasks of these groups that need no accelerator",
      () => statistics().queuedTasksWithoutAccelerator,
    );
    gauge(
      "tasks_queued_accelerated",
      "Those that need one",
      () => statistics().queuedTasksWithAccelerator,
    );
    this.watchWorkers(statistics);
    gauge(
      "jobs_suspect",
      "Jobs that fail wherever they run",
      () => statistics().quarantinedJobs,
    );
    gauge(
      "gang_wait_longest_seconds",
      "Age of the oldest gang that has not begun",
      () => statistics().longestGangWaitS,
    );
    gauge(
      "questions_refused",
      "Users' questions refused since the start",
      () => statistics().refusedQueries,
    );
    gauge(
      "question_refused_longest_seconds",
      "How long the job that was refused longest has been",
      () => statistics().longestRefusalS,
    );
    gauge(
      "permit_seconds",
      "How long this controller may go on without the state service",
      () => Math.max(0, leadershipLeaseRemainingMs() / 1000),
    );
    this.watchProcess();
  }

  /** Registers figures on the messages of workers. */
  private watchWorkers(statistics: () => Statistics): void {
    const gauge = this.gauge.bind(this);
    gauge(
      "machines_deaf",
      "Machines whose reports arrive, and which get neither answers nor commands",
      () => statistics().unreachableMachines,
    );
    gauge(
      "reports_late",
      "Reports that were no newer than what was known, since the groups were taken",
      () => statistics().staleHeartbeats,
    );
    gauge(
      "reports_overtaken",
      "Times that a report said nothing of a task, for it was made before the answer to its start",
      () => statistics().overtakenHeartbeats,
    );
    gauge(
      "starts_unexpected",
      "Attempts that machines started although they had ended or were never given, since the groups were taken",
      () => statistics().unexpectedStarts,
    );
  }

  private watchProcess(): void {
    const gauge = this.gauge.bind(this);
    gauge(
      "memory_heap_bytes",
      "Heap in use",
      () => process.memoryUsage().heapUsed,
    );
    gauge("memory_resident_bytes", "Resident memory", () =>
      process.memoryUsage.rss(),
    );
    gauge("cpu_seconds", "Processor time since the start", () => {
      const usage = process.cpuUsage();
      return (usage.user + usage.system) / 1e6;
    });
  }

  /** Registers a gauge whose value is computed at each scrape. */
  private gauge(name: string, help: string, value: () => number): void {
    new Gauge({
      name: `linencove_${name}`,
      help,
      registers: [this.registry],
      collect() {
        this.set(value());
      },
    });
  }

  /** Registers gauges by team, partition and kind of resource. Their values are computed at each scrape. */
  watchTeams(statistics: () => TeamStatistics[]): void {
    const labelNames = ["team", "group", "resource"];
    const gauges: [
      keyof TeamStatistics &
        (
          | "limit"
          | "guarantee"
          | "limitShare"
          | "used"
          | "possibleUse"
          | "reportedUse"
          | "waiting"
          | "guaranteeDeficit"
          | "limitInTransfer"
          | "reclaimed"
        ),
      string,
      string,
    ][] = [
      ["limit", "limit", "The team's limit over all groups; absent: none"],
      ["guarantee", "guarantee", "What the team is guaranteed over all groups"],
      ["limitShare", "share", "Part of the limit that the group may use"],
      ["used", "used", "What its tasks have on machines of the group"],
      [
        "possibleUse",
        "used_possible",
        "What may run of it there, with what a former master may have left",
      ],
      [
        "reportedUse",
        "used_reported",
        "What the last reports of the machines show of it",
      ],
      [
        "waiting",
        "waiting",
        "What its waiting tasks ask for that have a place, now or to be rented",
      ],
      [
        "guaranteeDeficit",
        "deficit",
        "Of that, what it is guaranteed and does not have",
      ],
      [
        "limitInTransfer",
        "share_in_flight",
        "Part of the limit on its way to other groups",
      ],
      [
        "reclaimed",
        "reclaimed",
        "Stopped of other teams for its guarantee since this controller took the group",
      ],
    ];
    for (const [field, name, help] of gauges)
      new Gauge({
        name: `linencove_team_${name}`,
        help: `${help}, in CPUs or accelerators`,
        labelNames,
        registers: [this.registry],
        collect() {
          this.reset();
          for (const team of statistics())
            for (const [dimension, resource] of (
              ["cpus", "accelerators"] as const
            ).entries())
              if (Number.isFinite(team[field][dimension]!))
                this.set(
                  { team: team.team, group: team.partition, resource },
                  team[field][dimension]!,
                );
        },
      });
  }

  watchWebhooks(statistics: () => WebhookCore["figures"]): void {
    const gauge = (
      name: string,
      help: string,
      value: (statistics: WebhookCore["figures"]) => number,
    ): void => this.gauge(`hook_${name}`, help, () => value(statistics()));
    gauge("owned", "Hooks that this controller sends for", (f) => f.owned);
    gauge("in_flight", "Attempts in flight", (f) => f.inFlight);
    gauge(
      "window",
      "Notifications that may have been sent and are not known to have arrived",
      (f) => f.window,
    );
    gauge(
      "batches",
      "Batches of notifications that wait in the state service",
      (f) => f.batches,
    );
    gauge("dead_batches", "Batches of dead letters", (f) => f.deadBatches);
    gauge(
      "oldest_seconds",
      "Age of the oldest notification that is not delivered",
      (f) =>
        f.oldestAt === null ? 0 : Math.max(0, (Date.now() - f.oldestAt) / 1000),
    );
    const breakers = new Gauge({
      name: "linencove_hook_receivers",
      help: "Receivers by the state of their breaker",
      labelNames: ["state"],
      registers: [this.registry],
      collect() {
        for (const [state, count] of Object.entries(statistics().receivers))
          breakers.set({ state }, count);
      },
    });
  }

  logged(event: LogEvent): void {
    this.events.inc({ event: metricLabel(event) });
  }
  called(
    service: "state" | "cloud",
    operation: string,
    outcome: string,
    waitedMs: number,
    tookMs: number,
  ): void {
    this.calls.inc({ service, op: operation, outcome });
    // `changes` is a long poll, so its duration says nothing about latency.
    if (operation !== "changes")
      this.callTimes.observe({ service }, tookMs / 1000);
    if (service === "state") this.rateLimitWaits.observe(waitedMs / 1000);
  }
  webhookSettled(outcome: "delivered" | "dead", tookMs: number): void {
    this.notifications.inc({ outcome });
    if (outcome === "delivered") this.deliveryDelays.observe(tookMs / 1000);
  }
  webhookAttempted(outcome: string, tookMs: number): void {
    this.deliveryAttempts.inc({ outcome });
    this.deliveryAttemptTimes.observe(tookMs / 1000);
  }

  routes(): Hono {
    const app = new Hono();
    app.get(
      "/metrics",
      async () =>
        new Response(await this.registry.metrics(), {
          headers: { "content-type": this.registry.contentType },
        }),
    );
    return app;
  }
}
