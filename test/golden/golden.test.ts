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
    `6c28762622efc456f5385888aece222d4e42379b3a2c79520f3e3801e318eb54
9a01a8db7d93f86c1cff9357f9b414f8b997cd839a7ec52514306072980343af
4dad283a8904f9eaa7533416ba3c819eaf5c51bae8be54cf11de47b8502450bc`,
  );
  expectText(
    traces.map((trace) => trace.coverage).join("\n\n"),
    `cancellations: 16
commits: 670
delete lc/now/fin: 83
delete lc/now/job: 118
put lc/now/belief: 5
put lc/now/claim: 4
put lc/now/fin: 111
put lc/now/group: 4
put lc/now/job: 166
put lc/now/quota: 32
put lc/now/room: 174
put lc/now/roster: 53
put lc/past: 118
submissions that name other jobs: 46

cancellations: 21
commits: 515
delete lc/now/fin: 8
delete lc/now/job: 52
put lc/now/belief: 4
put lc/now/claim: 4
put lc/now/fin: 83
put lc/now/group: 4
put lc/now/job: 120
put lc/now/quota: 63
put lc/now/reclaim: 1
put lc/now/room: 174
put lc/now/roster: 14
put lc/past: 54
submissions that name other jobs: 56

cancellations: 19
commits: 479
delete lc/now/fin: 15
delete lc/now/gang: 1
delete lc/now/group: 2
delete lc/now/job: 48
delete lc/now/ready: 2
put lc/now/belief: 4
put lc/now/claim: 6
put lc/now/fin: 55
put lc/now/gang: 1
put lc/now/group: 6
put lc/now/job: 106
put lc/now/quota: 51
put lc/now/ready: 2
put lc/now/room: 162
put lc/now/roster: 16
put lc/past: 70
submissions that name other jobs: 53`,
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
