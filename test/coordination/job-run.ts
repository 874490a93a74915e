import {
  type JobRun,
  newJobRun,
} from "../../src/coordination/machines/worker-state.js";
import type { JobSpec } from "../../src/coordination/model.js";
import { ownDueAt } from "../../src/coordination/store/job-view.js";

/** An array of one task without special requirements. */
export const PLAIN_SPEC: JobSpec = {
  id: "req-000001",
  jobClass: "c",
  team: "t",
  kind: "array",
  priority: "normal",
  tasks: 1,
  cpus: 1,
  gpus: 0,
  memGb: 0,
  image: "",
  imageGb: 0,
  machineTypes: null,
  zone: null,
  samePlace: false,
  spread: false,
  spot: false,
  estimateS: 100,
  checkpointS: 0,
  saveS: 0,
  deadlineS: null,
};

/** A job that was accepted at time 0 and of which nothing is assigned yet. */
export const jobRunOf = (spec: JobSpec): JobRun =>
  newJobRun(
    {
      id: spec.id,
      spec,
      acceptedAt: 0,
      readyAt: 0,
      releasedAt: null,
      dependsOn: [],
      priority: spec.priority,
      dueAt: ownDueAt(spec, 0),
      assignment: new Map(),
      revision: 1,
    },
    false,
    0,
  );
