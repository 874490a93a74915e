import { test } from "node:test";
import type {
  Statistics,
  TeamStatistics,
} from "../../src/coordination/statistics.js";
import type { WebhookCore } from "../../src/webhooks/webhook-core.js";
import { Metrics } from "../../src/metrics/index.js";
import { expectText } from "./expect.js";

const STATISTICS: Statistics = {
  unfinishedJobs: 1,
  ledPartitions: 2,
  machines: 3,
  idleMachines: 4,
  queuedTasksWithoutAccelerator: 5,
  queuedTasksWithAccelerator: 6,
  runningTasks: 7,
  unreachableMachines: 8,
  staleHeartbeats: 9,
  overtakenHeartbeats: 14,
  unexpectedStarts: 15,
  quarantinedJobs: 10,
  longestGangWaitS: 11,
  refusedQueries: 12,
  longestRefusalS: 13,
};
const TEAM: TeamStatistics = {
  team: "red",
  partition: "east",
  limit: [1, Infinity],
  guarantee: [2, 3],
  limitShare: [4, 5],
  used: [6, 7],
  possibleUse: [16, 17],
  reportedUse: [18, 19],
  waiting: [8, 9],
  guaranteeDeficit: [10, 11],
  limitInTransfer: [12, 13],
  reclaimed: [14, 15],
};
const WEBHOOK_STATISTICS: WebhookCore["figures"] = {
  owned: 1,
  inFlight: 2,
  window: 3,
  batches: 4,
  deadBatches: 5,
  oldestAt: null,
  receivers: { closed: 6, open: 7, "half-open": 8 },
};
/** Metrics whose values depend on the process. */
const PROCESS_METRICS =
  /^(linencove_(?:memory_heap_bytes|memory_resident_bytes|cpu_seconds)) .*$/gm;

/** The whole page of metrics. */
const METRICS_PAGE = `# HELP linencove_events_total Lines of the log by their text, debug lines included
# TYPE linencove_events_total counter
linencove_events_total{event="controller started"} 1

# HELP linencove_calls_total Calls to the state service and the cloud by how they ended
# TYPE linencove_calls_total counter
linencove_calls_total{service="state",op="commit",outcome="committed"} 1
linencove_calls_total{service="cloud",op="rent",outcome="noCapacity"} 1

# HELP linencove_call_seconds From sending a call to its end
# TYPE linencove_call_seconds histogram
linencove_call_seconds_bucket{le="0.002",service="state"} 0
linencove_call_seconds_bucket{le="0.005",service="state"} 0
linencove_call_seconds_bucket{le="0.01",service="state"} 0
linencove_call_seconds_bucket{le="0.025",service="state"} 0
linencove_call_seconds_bucket{le="0.05",service="state"} 1
linencove_call_seconds_bucket{le="0.1",service="state"} 1
linencove_call_seconds_bucket{le="0.25",service="state"} 1
linencove_call_seconds_bucket{le="0.5",service="state"} 1
linencove_call_seconds_bucket{le="1",service="state"} 1
linencove_call_seconds_bucket{le="2.5",service="state"} 1
linencove_call_seconds_bucket{le="+Inf",service="state"} 1
linencove_call_seconds_sum{service="state"} 0.03
linencove_call_seconds_count{service="state"} 1
linencove_call_seconds_bucket{le="0.002",service="cloud"} 0
linencove_call_seconds_bucket{le="0.005",service="cloud"} 0
linencove_call_seconds_bucket{le="0.01",service="cloud"} 0
linencove_call_seconds_bucket{le="0.025",service="cloud"} 0
linencove_call_seconds_bucket{le="0.05",service="cloud"} 0
linencove_call_seconds_bucket{le="0.1",service="cloud"} 0
linencove_call_seconds_bucket{le="0.25",service="cloud"} 0
linencove_call_seconds_bucket{le="0.5",service="cloud"} 1
linencove_call_seconds_bucket{le="1",service="cloud"} 1
linencove_call_seconds_bucket{le="2.5",service="cloud"} 1
linencove_call_seconds_bucket{le="+Inf",service="cloud"} 1
linencove_call_seconds_sum{service="cloud"} 0.3
linencove_call_seconds_count{service="cloud"} 1

# HELP linencove_rate_limit_wait_seconds How long calls to the state service waited for this controller's part of its limits
# TYPE linencove_rate_limit_wait_seconds histogram
linencove_rate_limit_wait_seconds_bucket{le="0.002"} 0
linencove_rate_limit_wait_seconds_bucket{le="0.005"} 0
linencove_rate_limit_wait_seconds_bucket{le="0.01"} 0
linencove_rate_limit_wait_seconds_bucket{le="0.025"} 1
linencove_rate_limit_wait_seconds_bucket{le="0.05"} 1
linencove_rate_limit_wait_seconds_bucket{le="0.1"} 1
linencove_rate_limit_wait_seconds_bucket{le="0.25"} 1
linencove_rate_limit_wait_seconds_bucket{le="0.5"} 1
linencove_rate_limit_wait_seconds_bucket{le="1"} 1
linencove_rate_limit_wait_seconds_bucket{le="2.5"} 1
linencove_rate_limit_wait_seconds_bucket{le="+Inf"} 1
linencove_rate_limit_wait_seconds_sum 0.02
linencove_rate_limit_wait_seconds_count 1

# HELP linencove_hook_attempts_total Attempts to deliver by how they ended: 2xx, 5xx, timeout, ...
# TYPE linencove_hook_attempts_total counter
linencove_hook_attempts_total{outcome="2xx"} 1

# HELP linencove_hook_attempt_seconds How long attempts took
# TYPE linencove_hook_attempt_seconds histogram
linencove_hook_attempt_seconds_bucket{le="0.002"} 0
linencove_hook_attempt_seconds_bucket{le="0.005"} 0
linencove_hook_attempt_seconds_bucket{le="0.01"} 0
linencove_hook_attempt_seconds_bucket{le="0.025"} 0
linencove_hook_attempt_seconds_bucket{le="0.05"} 1
linencove_hook_attempt_seconds_bucket{le="0.1"} 1
linencove_hook_attempt_seconds_bucket{le="0.25"} 1
linencove_hook_attempt_seconds_bucket{le="0.5"} 1
linencove_hook_attempt_seconds_bucket{le="1"} 1
linencove_hook_attempt_seconds_bucket{le="2.5"} 1
linencove_hook_attempt_seconds_bucket{le="5"} 1
linencove_hook_attempt_seconds_bucket{le="10"} 1
linencove_hook_attempt_seconds_bucket{le="+Inf"} 1
linencove_hook_attempt_seconds_sum 0.04
linencove_hook_attempt_seconds_count 1

# HELP linencove_hook_notifications_total Notifications that were delivered, or given up
# TYPE linencove_hook_notifications_total counter
linencove_hook_notifications_total{outcome="delivered"} 1
linencove_hook_notifications_total{outcome="dead"} 1

# HELP linencove_hook_delay_seconds From the end of a job to its delivery
# TYPE linencove_hook_delay_seconds histogram
linencove_hook_delay_seconds_bucket{le="0.05"} 0
linencove_hook_delay_seconds_bucket{le="0.1"} 0
linencove_hook_delay_seconds_bucket{le="0.25"} 0
linencove_hook_delay_seconds_bucket{le="0.5"} 0
linencove_hook_delay_seconds_bucket{le="1"} 1
linencove_hook_delay_seconds_bucket{le="2.5"} 1
linencove_hook_delay_seconds_bucket{le="5"} 1
linencove_hook_delay_seconds_bucket{le="10"} 1
linencove_hook_delay_seconds_bucket{le="30"} 1
linencove_hook_delay_seconds_bucket{le="60"} 1
linencove_hook_delay_seconds_bucket{le="300"} 1
linencove_hook_delay_seconds_bucket{le="1800"} 1
linencove_hook_delay_seconds_bucket{le="7200"} 1
linencove_hook_delay_seconds_bucket{le="86400"} 1
linencove_hook_delay_seconds_bucket{le="+Inf"} 1
linencove_hook_delay_seconds_sum 0.7
linencove_hook_delay_seconds_count 1

# HELP linencove_jobs_unfinished Jobs that are not over, on all controllers
# TYPE linencove_jobs_unfinished gauge
linencove_jobs_unfinished 1

# HELP linencove_groups Groups whose master this controller is
# TYPE linencove_groups gauge
linencove_groups 2

# HELP linencove_machines Machines of these groups
# TYPE linencove_machines gauge
linencove_machines 3

# HELP linencove_machines_idle Those without a task
# TYPE linencove_machines_idle gauge
linencove_machines_idle 4

# HELP linencove_tasks_running Tasks on these machines
# TYPE linencove_tasks_running gauge
linencove_tasks_running 7

# HELP linencove_tasks_queued_plain Waiting tasks of these groups that need no accelerator
# TYPE linencove_tasks_queued_plain gauge
linencove_tasks_queued_plain 5

# HELP linencove_tasks_queued_accelerated Those that need one
# TYPE linencove_tasks_queued_accelerated gauge
linencove_tasks_queued_accelerated 6

# HELP linencove_machines_deaf Machines whose reports arrive, and which get neither answers nor commands
# TYPE linencove_machines_deaf gauge
linencove_machines_deaf 8

# HELP linencove_reports_late Reports that were no newer than what was known, since the groups were taken
# TYPE linencove_reports_late gauge
linencove_reports_late 9

# HELP linencove_reports_overtaken Times that a report said nothing of a task, for it was made before the answer to its start
# TYPE linencove_reports_overtaken gauge
linencove_reports_overtaken 14

# HELP linencove_starts_unexpected Attempts that machines started although they had ended or were never given, since the groups were taken
# TYPE linencove_starts_unexpected gauge
linencove_starts_unexpected 15

# HELP linencove_jobs_suspect Jobs that fail wherever they run
# TYPE linencove_jobs_suspect gauge
linencove_jobs_suspect 10

# HELP linencove_gang_wait_longest_seconds Age of the oldest gang that has not begun
# TYPE linencove_gang_wait_longest_seconds gauge
linencove_gang_wait_longest_seconds 11

# HELP linencove_questions_refused Users' questions refused since the start
# TYPE linencove_questions_refused gauge
linencove_questions_refused 12

# HELP linencove_question_refused_longest_seconds How long the job that was refused longest has been
# TYPE linencove_question_refused_longest_seconds gauge
linencove_question_refused_longest_seconds 13

# HELP linencove_permit_seconds How long this controller may go on without the state service
# TYPE linencove_permit_seconds gauge
linencove_permit_seconds 4.5

# HELP linencove_memory_heap_bytes Heap in use
# TYPE linencove_memory_heap_bytes gauge
linencove_memory_heap_bytes *

# HELP linencove_memory_resident_bytes Resident memory
# TYPE linencove_memory_resident_bytes gauge
linencove_memory_resident_bytes *

# HELP linencove_cpu_seconds Processor time since the start
# TYPE linencove_cpu_seconds gauge
linencove_cpu_seconds *

# HELP linencove_team_limit The team's limit over all groups; absent: none, in CPUs or accelerators
# TYPE linencove_team_limit gauge
linencove_team_limit{team="red",group="east",resource="cpus"} 1

# HELP linencove_team_guarantee What the team is guaranteed over all groups, in CPUs or accelerators
# TYPE linencove_team_guarantee gauge
linencove_team_guarantee{team="red",group="east",resource="cpus"} 2
linencove_team_guarantee{team="red",group="east",resource="accelerators"} 3

# HELP linencove_team_share Part of the limit that the group may use, in CPUs or accelerators
# TYPE linencove_team_share gauge
linencove_team_share{team="red",group="east",resource="cpus"} 4
linencove_team_share{team="red",group="east",resource="accelerators"} 5

# HELP linencove_team_used What its tasks have on machines of the group, in CPUs or accelerators
# TYPE linencove_team_used gauge
linencove_team_used{team="red",group="east",resource="cpus"} 6
linencove_team_used{team="red",group="east",resource="accelerators"} 7

# HELP linencove_team_used_possible What may run of it there, with what a former master may have left, in CPUs or accelerators
# TYPE linencove_team_used_possible gauge
linencove_team_used_possible{team="red",group="east",resource="cpus"} 16
linencove_team_used_possible{team="red",group="east",resource="accelerators"} 17

# HELP linencove_team_used_reported What the last reports of the machines show of it, in CPUs or accelerators
# TYPE linencove_team_used_reported gauge
linencove_team_used_reported{team="red",group="east",resource="cpus"} 18
linencove_team_used_reported{team="red",group="east",resource="accelerators"} 19

# HELP linencove_team_waiting What its waiting tasks ask for that have a place, now or to be rented, in CPUs or accelerators
# TYPE linencove_team_waiting gauge
linencove_team_waiting{team="red",group="east",resource="cpus"} 8
linencove_team_waiting{team="red",group="east",resource="accelerators"} 9

# HELP linencove_team_deficit Of that, what it is guaranteed and does not have, in CPUs or accelerators
# TYPE linencove_team_deficit gauge
linencove_team_deficit{team="red",group="east",resource="cpus"} 10
linencove_team_deficit{team="red",group="east",resource="accelerators"} 11

# HELP linencove_team_share_in_flight Part of the limit on its way to other groups, in CPUs or accelerators
# TYPE linencove_team_share_in_flight gauge
linencove_team_share_in_flight{team="red",group="east",resource="cpus"} 12
linencove_team_share_in_flight{team="red",group="east",resource="accelerators"} 13

# HELP linencove_team_reclaimed Stopped of other teams for its guarantee since this controller took the group, in CPUs or accelerators
# TYPE linencove_team_reclaimed gauge
linencove_team_reclaimed{team="red",group="east",resource="cpus"} 14
linencove_team_reclaimed{team="red",group="east",resource="accelerators"} 15

# HELP linencove_hook_owned Hooks that this controller sends for
# TYPE linencove_hook_owned gauge
linencove_hook_owned 1

# HELP linencove_hook_in_flight Attempts in flight
# TYPE linencove_hook_in_flight gauge
linencove_hook_in_flight 2

# HELP linencove_hook_window Notifications that may have been sent and are not known to have arrived
# TYPE linencove_hook_window gauge
linencove_hook_window 3

# HELP linencove_hook_batches Batches of notifications that wait in the state service
# TYPE linencove_hook_batches gauge
linencove_hook_batches 4

# HELP linencove_hook_dead_batches Batches of dead letters
# TYPE linencove_hook_dead_batches gauge
linencove_hook_dead_batches 5

# HELP linencove_hook_oldest_seconds Age of the oldest notification that is not delivered
# TYPE linencove_hook_oldest_seconds gauge
linencove_hook_oldest_seconds 0

# HELP linencove_hook_receivers Receivers by the state of their breaker
# TYPE linencove_hook_receivers gauge
linencove_hook_receivers{state="closed"} 6
linencove_hook_receivers{state="open"} 7
linencove_hook_receivers{state="half-open"} 8
`;

test("golden: metrics", async () => {
  const metrics = new Metrics(
    () => STATISTICS,
    () => 4_500,
  );
  metrics.watchTeams(() => [TEAM]);
  metrics.watchWebhooks(() => WEBHOOK_STATISTICS);
  metrics.logged("controller started");
  metrics.called("state", "commit", "committed", 20, 30);
  metrics.called("cloud", "rent", "noCapacity", 0, 300);
  metrics.webhookSettled("delivered", 700);
  metrics.webhookSettled("dead", 800);
  metrics.webhookAttempted("2xx", 40);
  const response = await metrics.routes().request("/metrics");
  expectText(
    String(response.headers.get("content-type")),
    "text/plain; version=0.0.4; charset=utf-8",
  );
  const text = await response.text();
  expectText(text.replaceAll(PROCESS_METRICS, "$1 *"), METRICS_PAGE);
});
