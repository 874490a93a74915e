import { cancelledInTransfer } from "./cancelled-in-handover.js";
import { closeQuestions } from "./close-questions.js";
import { heldCommands } from "./held-commands.js";
import { largeFleetAtFullSize } from "./large-fleet.js";
import { lastTask } from "./last-task.js";
import { lateTransactions } from "./late-transactions.js";
import { leaderChanges } from "./leader-changes.js";
import { limitsOutOfReach } from "./limits-out-of-reach.js";
import { lostAnswers } from "./lost-answers.js";
import { oldReports } from "./old-reports.js";
import { oneTaskJobs } from "./one-task-jobs.js";
import { quickMachines } from "./quick-machines.js";
import type { Scenario } from "./stage.js";
import { unreachedTasks } from "./unreached-tasks.js";
import { zones } from "./zones.js";

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
  "quick-machines": quickMachines,
  "unreached-tasks": unreachedTasks,
  zones,
};
