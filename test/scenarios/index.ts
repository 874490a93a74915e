import { cancelledInTransfer } from "./cancelled-in-transfer.js";
import { closeQuestions } from "./concurrent-queries.js";
import { heldCommands } from "./delayed-commands.js";
import { largeFleetAtFullSize } from "./large-fleet.js";
import { lastTask } from "./last-task.js";
import { lateTransactions } from "./late-transactions.js";
import { leaderChanges } from "./leader-changes.js";
import { limitsOutOfReach } from "./limits-out-of-reach.js";
import { lostAnswers } from "./lost-replies.js";
import { oldReports } from "./stale-heartbeats.js";
import { oneTaskJobs } from "./one-task-jobs.js";
import { quickMachines } from "./fast-booting-machines.js";
import { overtakenHeartbeats } from "./overtaken-heartbeats.js";
import type { Scenario } from "./stage.js";
import { unreachedTasks } from "./unreachable-tasks.js";
import { zones } from "./zone-failures.js";

/** Scenarios by name, for long searches. */
export const SCENARIOS: Readonly<Record<string, Scenario>> = {
  "cancelled-in-handover": cancelledInTransfer,
  "close-questions": closeQuestions,
  "held-commands": heldCommands,
  "large-fleet": largeFleetAtFullSize,
  "last-task": lastTask,
  "late-transactions": lateTransactions,
  "leader-changes": leaderChanges,
  "limits-out-of-reach": limitsOutOfReach,
  "lost-answers": lostAnswers,
  "old-reports": oldReports,
  "one-task-jobs": oneTaskJobs,
  "overtaken-heartbeats": overtakenHeartbeats,
  "quick-machines": quickMachines,
  "unreached-tasks": unreachedTasks,
  zones,
};
