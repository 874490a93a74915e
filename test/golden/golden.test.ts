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
    `9db906cffb370af9f9bc056d22abf66be7f1b969463c8d09e3df5df9c0af9973
0f5409125e44ab53b9521d42f983c5a228f9be01d0f571ea12fba8114ad3e510
de82e0c35538cfc2dad975cb8f632682a3f35d2842e374192df81d4470e99adb`,
  );
  expectText(
    traces.map((trace) => trace.coverage).join("\n\n"),
    `cancellations: 25
commits: 505
delete lc/now/fin: 40
delete lc/now/job: 70
put lc/now/belief: 4
put lc/now/claim: 4
put lc/now/fin: 68
put lc/now/gang: 1
put lc/now/group: 4
put lc/now/job: 119
put lc/now/quota: 42
put lc/now/ready: 2
put lc/now/room: 164
put lc/now/roster: 26
put lc/past: 70
submissions that name other jobs: 58

cancellations: 15
commits: 633
delete lc/now/fin: 16
delete lc/now/group: 1
delete lc/now/job: 39
put lc/now/belief: 5
put lc/now/claim: 5
put lc/now/fin: 168
put lc/now/group: 6
put lc/now/job: 140
put lc/now/quota: 61
put lc/now/reclaim: 5
put lc/now/room: 184
put lc/now/roster: 14
put lc/past: 43
submissions that name other jobs: 58

cancellations: 16
commits: 492
delete lc/now/fin: 25
delete lc/now/gang: 3
delete lc/now/job: 47
delete lc/now/ready: 2
put lc/now/belief: 4
put lc/now/claim: 4
put lc/now/fin: 77
put lc/now/gang: 1
put lc/now/group: 4
put lc/now/job: 115
put lc/now/quota: 57
put lc/now/ready: 2
put lc/now/reclaim: 1
put lc/now/room: 161
put lc/now/roster: 18
put lc/past: 47
submissions that name other jobs: 48`,
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
