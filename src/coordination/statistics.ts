/** How the partitions stand that this controller leads, for metrics. Computed when asked for; owns no state. */
import type { Clock, Configuration, StoreView } from "./context.js";
import { NO_USE, type ResourceUse } from "./machines/resource-ledger.js";
import type { ResourceAmounts } from "./quota/index.js";
import type { PartitionState } from "./scheduling/partition-state.js";
import type { PartitionLeader } from "./scheduling/partition-leader.js";

/** How things stand in the partitions that this controller leads. */
export interface Statistics {
  unfinishedJobs: number;
  ledPartitions: number;
  machines: number;
  idleMachines: number;
  queuedTasksWithoutAccelerator: number;
  queuedTasksWithAccelerator: number;
  runningTasks: number;
  /** Machines whose heartbeats arrive and which get no commands. */
  unreachableMachines: number;
  /** Heartbeats that were no newer than what was known, since these partitions were acquired. */
  staleHeartbeats: number;
  /** Times that a heartbeat said nothing of a task because the answer to its start had overtaken it. */
  overtakenHeartbeats: number;
  /** Jobs that fail wherever they run. */
  quarantinedJobs: number;
  /** The longest that a gang which has not begun has waited, in seconds. */
  longestGangWaitS: number;
  /** Queries refused so far. */
  refusedQueries: number;
  /** For how long the job has been refused that was refused longest, in seconds. */
  longestRefusalS: number;
}

/** One team in one partition; amounts in CPUs and accelerators. */
export interface TeamStatistics {
  team: string;
  partition: string;
  /** Infinity: none. */
  limit: ResourceAmounts;
  guarantee: ResourceAmounts;
  /** Part of the limit that the partition may use. */
  limitShare: ResourceAmounts;
  used: ResourceAmounts;
  /** All that may run, with what a former leader may have left. */
  possibleUse: ResourceAmounts;
  /** What the last heartbeats of the machines show. */
  reportedUse: ResourceAmounts;
  /** Waiting work that has a place, now or to be rented. */
  waiting: ResourceAmounts;
  /** Of that, what the team is promised and does not have. */
  guaranteeDeficit: ResourceAmounts;
  /** Part of the limit on its way to other partitions. */
  limitInTransfer: ResourceAmounts;
  /** Preempted of other teams for this team since this controller acquired the partition. */
  reclaimed: ResourceAmounts;
}

/** Queries that a queue has refused. */
interface Refusals {
  /** How many so far. */
  refusedCount: number;
  /** Since when the job has been refused that was refused longest, in steady time; null: none is. */
  longestRefusedSinceMs: number | null;
}

type StatisticsContext = Clock & Configuration & StoreView;

/** Sums up the partitions that this controller leads; `refusals`: of each queue of queries. */
export function collectStatistics(
  ctx: StatisticsContext,
  leaders: ReadonlyMap<string, PartitionLeader>,
  refusals: readonly Refusals[],
): Statistics {
  const oldestMs = Math.min(
    ...refusals.map((queue) => queue.longestRefusedSinceMs ?? Infinity),
  );
  const statistics: Statistics = {
    unfinishedJobs: ctx.cache.jobs.size,
    ledPartitions: leaders.size,
    machines: 0,
    idleMachines: 0,
    queuedTasksWithoutAccelerator: 0,
    queuedTasksWithAccelerator: 0,
    runningTasks: 0,
    unreachableMachines: 0,
    staleHeartbeats: 0,
    overtakenHeartbeats: 0,
    quarantinedJobs: 0,
    longestGangWaitS: 0,
    refusedQueries: refusals.reduce(
      (sum, { refusedCount: refused }) => sum + refused,
      0,
    ),
    longestRefusalS: oldestMs === Infinity ? 0 : (ctx.nowMs - oldestMs) / 1000,
  };
  for (const leader of leaders.values()) {
    addMachines(statistics, leader);
    addJobs(statistics, leader, ctx.wallMs);
  }
  return statistics;
}

function addMachines(statistics: Statistics, leader: PartitionLeader): void {
  const { state } = leader;
  statistics.unreachableMachines += state.unreachableMachines().length;
  statistics.staleHeartbeats += leader.staleHeartbeats;
  statistics.overtakenHeartbeats += leader.overtakenHeartbeats;
  statistics.machines += state.workers.size;
  for (const { tasks } of state.workers.values()) {
    statistics.runningTasks += tasks.size;
    if (tasks.size === 0) statistics.idleMachines++;
  }
}

function addJobs(
  statistics: Statistics,
  { state }: PartitionLeader,
  wallMs: number,
): void {
  const backlog = state.backlog();
  statistics.queuedTasksWithoutAccelerator += backlog.plain;
  statistics.queuedTasksWithAccelerator += backlog.accelerated;
  for (const job of state.jobs.values()) {
    const isWaitingGang =
      job.view.spec.kind === "gang" &&
      !job.waiting.isEmpty &&
      job.active.size === 0;
    if (job.quarantinedSinceMs !== null) statistics.quarantinedJobs++;
    else if (isWaitingGang)
      statistics.longestGangWaitS = Math.max(
        statistics.longestGangWaitS,
        (wallMs - job.view.readyAt) / 1000,
      );
  }
}

/** How each team stands in each partition that this controller leads. */
export function collectTeamStatistics(
  { settings }: Configuration,
  leaders: ReadonlyMap<string, PartitionLeader>,
): TeamStatistics[] {
  return [...leaders.values()].flatMap((leader) => {
    const usage = leader.state.usage();
    return [...settings.teams.values()].map((team): TeamStatistics => ({
      team: team.name,
      partition: leader.partition,
      limit: [team.cpusMax, team.gpusMax],
      guarantee: [team.cpus, team.gpus],
      ...quotaOf(leader, team.name, usage.get(team.name) ?? NO_USE),
    }));
  });
}

/** What a team has on machines by their last heartbeats: started tasks that these show, and unconfirmed ones. */
function reportedUse(state: PartitionState, team: string): ResourceAmounts {
  const { cpus, gpus } = state.ledger.unconfirmedUseOfTeam(team);
  const sum: ResourceAmounts = [cpus, gpus];
  const tasks = [...state.workers.values()].flatMap((worker) => [
    ...worker.tasks.values(),
  ]);
  for (const { phase, job } of tasks) {
    const { spec } = job.view;
    if (phase === "ordered" || spec.team !== team) continue;
    sum[0] += spec.cpus;
    sum[1] += spec.gpus;
  }
  return sum;
}

/** A team's quota in one partition. */
function quotaOf(
  { quota, guarantees, reclaims, state }: PartitionLeader,
  team: string,
  usage: Readonly<ResourceUse>,
): Omit<TeamStatistics, "team" | "partition" | "limit" | "guarantee"> {
  const known = state.ledger.useOfTeam(team);
  const waiting = quota.waiting(team);
  const lacking = guarantees.headroom(team, usage) ?? [0, 0];
  return {
    limitShare: quota.share(team),
    used: [known.cpus, known.gpus],
    possibleUse: [usage.cpus, usage.gpus],
    reportedUse: reportedUse(state, team),
    waiting,
    guaranteeDeficit: [
      Math.max(0, Math.min(waiting[0], lacking[0])),
      Math.max(0, Math.min(waiting[1], lacking[1])),
    ],
    limitInTransfer: quota.inFlight(team),
    reclaimed: reclaims.reclaimed.get(team) ?? [0, 0],
  };
}
