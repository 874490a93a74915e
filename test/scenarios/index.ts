import { cancelledInTransfer } from "./cancelled-in-transfer.js";
import { commandCopies } from "./command-copies.js";
import { forgottenTokens } from "./forgotten-tokens.js";
import { concurrentQueries } from "./concurrent-queries.js";
import { delayedCommands } from "./delayed-commands.js";
import { largeFleetAtFullSize } from "./large-fleet.js";
import { lastTask } from "./last-task.js";
import { lateTransactions } from "./late-transactions.js";
import { leaderChanges } from "./leader-changes.js";
import { limitsOutOfReach } from "./limits-out-of-reach.js";
import { lostReplies } from "./lost-replies.js";
import { staleHeartbeats } from "./stale-heartbeats.js";
import { smallTasks } from "./small-tasks.js";
import { oneTaskJobs } from "./one-task-jobs.js";
import { fastBootingMachines } from "./fast-booting-machines.js";
import { overtakenHeartbeats } from "./overtaken-heartbeats.js";
import type { Scenario } from "./stage.js";
import { unreachableTasks } from "./unreachable-tasks.js";
import { zoneFailures } from "./zone-failures.js";

/** Scenarios by the names that `test/simulation/hunt.ts` takes on its command line. */
export const SCENARIOS: Readonly<Record<string, Scenario>> = {
  "cancelled-in-handover": cancelledInTransfer,
  "close-questions": concurrentQueries,
  "command-copies": commandCopies,
  "forgotten-tokens": forgottenTokens,
  "held-commands": delayedCommands,
  "large-fleet": largeFleetAtFullSize,
  "last-task": lastTask,
  "late-transactions": lateTransactions,
  "leader-changes": leaderChanges,
  "limits-out-of-reach": limitsOutOfReach,
  "lost-answers": lostReplies,
  "old-reports": staleHeartbeats,
  "one-task-jobs": oneTaskJobs,
  "overtaken-heartbeats": overtakenHeartbeats,
  "quick-machines": fastBootingMachines,
  "small-tasks": smallTasks,
  "unreached-tasks": unreachableTasks,
  zones: zoneFailures,
};
