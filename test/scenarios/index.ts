import { cancelledInHandover } from "./cancelled-in-handover.js";
import { closeQuestions } from "./close-questions.js";
import { limitsOutOfReach } from "./limits-out-of-reach.js";
import { lostAnswers } from "./lost-answers.js";
import { oldReports } from "./old-reports.js";
import { oneTaskJobs } from "./one-task-jobs.js";
import { quickMachines } from "./quick-machines.js";
import type { Scenario } from "./stage.js";

/** Scenarios by name, for long searches. */
export const SCENARIOS: Readonly<Record<string, Scenario>> = {
  "cancelled-in-handover": cancelledInHandover,
  "close-questions": closeQuestions,
  "limits-out-of-reach": limitsOutOfReach,
  "lost-answers": lostAnswers,
  "old-reports": oldReports,
  "one-task-jobs": oneTaskJobs,
  "quick-machines": quickMachines,
};
