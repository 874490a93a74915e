import assert from "node:assert/strict";
import { test } from "node:test";
import {
  describeStoredFields,
  recordCoreTrace,
  TRACE_RUNS,
} from "./core-trace.js";
import { expectText } from "./expect.js";
import { recordWebhooksTrace } from "./webhooks-trace.js";
import "./metrics.js";
import "./protocol.js";
import "./records.js";
import "./settings.js";
import "./transport.js";

// Data that other programs and other versions of this one read and write. Renames inside the program must not change any of it.

test("golden: recorded runs of the core", () => {
  const traces = TRACE_RUNS.map(recordCoreTrace);
  expectText(
    traces.map((trace) => trace.sha256).join("\n"),
    `c4a47391d91e822add751fc4f2dffc65b10504094ea858e1101043be25c64a18
faa53413ecbf5e24f6a825d20144aed760f558f27821fe1dd1cb636c09089c26
9492f321e61b00c34a51b7de57e0f5edb8689e31db0d488ba08212ab28c8bcbf`,
  );
  expectText(
    traces.map((trace) => trace.coverage).join("\n\n"),
    `cancellations: 20
commits: 484
delete lc/now/fin: 38
delete lc/now/job: 81
put lc/now/belief: 4
put lc/now/claim: 5
put lc/now/fin: 67
put lc/now/group: 4
put lc/now/job: 106
put lc/now/quota: 28
put lc/now/room: 158
put lc/now/roster: 21
put lc/past: 91
submissions that name other jobs: 51

cancellations: 16
commits: 514
delete lc/now/fin: 24
delete lc/now/job: 50
put lc/now/belief: 7
put lc/now/claim: 4
put lc/now/fin: 85
put lc/now/group: 7
put lc/now/job: 136
put lc/now/quota: 40
put lc/now/reclaim: 2
put lc/now/room: 163
put lc/now/roster: 10
put lc/past: 63
submissions that name other jobs: 61

cancellations: 33
commits: 978
delete lc/now/fin: 8
delete lc/now/gang: 1
delete lc/now/group: 2
delete lc/now/job: 257
delete lc/now/ready: 2
put lc/now/belief: 4
put lc/now/claim: 8
put lc/now/fin: 28
put lc/now/gang: 1
put lc/now/group: 6
put lc/now/job: 377
put lc/now/quota: 39
put lc/now/ready: 2
put lc/now/reclaim: 1
put lc/now/room: 153
put lc/now/roster: 96
put lc/past: 260
submissions that name other jobs: 55`,
  );
  expectText(
    describeStoredFields(traces),
    `lc/now/belief .limits
lc/now/claim .by .token
lc/now/fin .r
lc/now/gang .attempt
lc/now/group .hold .owner
lc/now/job .at .needs .rel .spec .spec.checkpointS .spec.class .spec.cpus .spec.deadlineS .spec.estimateS .spec.gpus .spec.id .spec.image .spec.imageGb .spec.memGb .spec.samePlace .spec.saveS .spec.shape .spec.spot .spec.spread .spec.tasks .spec.team .spec.types .spec.urgency .spec.zone .split
lc/now/quota .* .*.* ./cap ./cap.*
lc/now/ready .attempt
lc/now/reclaim .by .by.* .by.*[].from .by.*[].n .by.*[].t .by.*[].team .by.*[].u
lc/now/room .left .out .q .qu .rows .rows[].f .rows[].n .rows[].r .rows[].s .rows[].t .rows[].y .rows[].z .run .team .want
lc/now/roster .c .m .t
lc/past .d .h .n .s`,
  );
});

test("golden: a recorded run of webhooks", () => {
  const hash = recordWebhooksTrace(21);
  assert.equal(recordWebhooksTrace(21), hash);
  expectText(
    hash,
    "ee91693abe6c606806f61156f8d1f1722befbc2b3767fbf3af09d4efb1bb967f",
  );
});
