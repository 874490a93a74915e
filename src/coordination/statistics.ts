/** Figures on the partitions that this controller leads, for metrics. Computed on request; owns no state. */
import type { Clock, Configuration, StoreView } from "./context.js";
import { NO_USE, type ResourceUse } from "./machines/resource-ledger.js";
import type { ResourceAmounts } from "./quota/index.js";
import type { PartitionState } from "./scheduling/partition-state.js";
import type { PartitionLeader } from "./scheduling/partition-leader.js";

/** Totals over the partitions that this controller leads. */
export interface Statistics {
  unfinishedJobs: number;
  ledPartitions: number;
  machines: number;
  idleMachines: number;
  queuedTasksWithoutAccelerator: number;
  queuedTasksWithAccelerator: number;
  runningTasks: number;
  /** Machines whose heartbeats arrive but which commands do not reach. */
  unreachableMachines: number;
  /** Heartbeats no newer than the last known status of their machine, since the partitions were acquired. */
  staleHeartbeats: number;
  /**
   * Times that a heartbeat lacked a task because it was made before the task's start command was answered, but arrived after that
   * answer.
   */
  overtakenHeartbeats: number;
  /** Attempts that machines reported as started although they had ended or were never given, since the partitions were acquired. */
  unexpectedStarts: number;
  /** Jobs that fail on every machine. */
  quarantinedJobs: number;
  /** Longest current wait of a gang that has not started, in seconds. */
  longestGangWaitS: number;
  /** Queries refused since the start. */
  refusedQueries: number;
  /** Longest time for which all queries about one job have been refused, in seconds. */
  longestRefusalS: number;
}

/** Figures on one team in one partition; amounts in CPUs and accelerators. */
export interface TeamStatistics {
  team: string;
  partition: string;
  /** Infinity if there is none. */
  limit: ResourceAmounts;
  guarantee: ResourceAmounts;
  /** Share of the limit that the partition may use. */
  limitShare: ResourceAmounts;
  used: ResourceAmounts;
  /** Upper bound of the use, including tasks that a former leader may have started. */
  possibleUse: ResourceAmounts;
  /** Use according to the last heartbeats of the machines. */
  reportedUse: ResourceAmounts;
  /** Needs of waiting tasks that have a slot, or can get one on a machine to be rented. */
  waiting: ResourceAmounts;
  /** How much of `waiting` is guaranteed to the team but not available to it. */
  guaranteeDeficit: ResourceAmounts;
  /** Quota that is being transferred to other partitions. */
  limitInTransfer: ResourceAmounts;
  /** Resources of other teams preempted for this team since this controller acquired the partition. */
  reclaimed: ResourceAmounts;
}

/** Refusals of a queue of queries. */
interface Refusals {
  /** Queries refused since the start. */
  refusedCount: number;
  /** Start of the longest current refusal of a job's queries, in steady time; null if there is none. */
  longestRefusedSinceMs: number | null;
}

type StatisticsContext = Clock & Configuration & StoreView;

/** Sums up the partitions that this controller leads. `refusals`: those of each queue of queries. */
export function collectStatistics(
  ctx: StatisticsContext,
  leaders: ReadonlyMap<string, PartitionLeader>,
  refusals: readonly Refusals[],
): Statistics {
  const longestRefusedSinceMs = Math.min(
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
    unexpectedStarts: 0,
    quarantinedJobs: 0,
    longestGangWaitS: 0,
    refusedQueries: refusals.reduce(
      (sum, { refusedCount }) => sum + refusedCount,
      0,
    ),
    longestRefusalS:
      longestRefusedSinceMs === Infinity
        ? 0
        : (ctx.nowMs - longestRefusedSinceMs) / 1000,
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
  statistics.unexpectedStarts += leader.unexpectedStarts;
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

/** Figures on each team in each partition that this controller leads. */
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

/** A team's use according to the last heartbeats of the machines: tasks reported as started, and unconfirmed tasks. */
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

/** Quota and use of a team in one partition. */
function quotaOf(
  { quota, guarantees, reclaims, state }: PartitionLeader,
  team: string,
  usage: Readonly<ResourceUse>,
): Omit<TeamStatistics, "team" | "partition" | "limit" | "guarantee"> {
  const confirmedUse = state.ledger.useOfTeam(team);
  const waiting = quota.waiting(team);
  const guaranteeHeadroom = guarantees.headroom(team, usage) ?? [0, 0];
  return {
    limitShare: quota.share(team),
    used: [confirmedUse.cpus, confirmedUse.gpus],
    possibleUse: [usage.cpus, usage.gpus],
    reportedUse: reportedUse(state, team),
    waiting,
    guaranteeDeficit: [
      Math.max(0, Math.min(waiting[0], guaranteeHeadroom[0])),
      Math.max(0, Math.min(waiting[1], guaranteeHeadroom[1])),
    ],
    limitInTransfer: quota.inFlight(team),
    reclaimed: reclaims.reclaimed.get(team) ?? [0, 0],
  };
}
