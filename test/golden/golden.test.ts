import assert from "node:assert/strict";
import { test } from "node:test";
import {
  describeStoredFields,
  recordCoreTrace,
  TRACE_DAYS,
} from "./core-trace.js";
import { expectText } from "./expect.js";
import { recordWebhooksTrace } from "./webhooks-trace.js";
import "./metrics.js";
import "./protocol.js";
import "./records.js";
import "./settings.js";
import "./transport.js";

// What other programs, and other versions of this one, read and write. A change of names inside the program leaves all of it as it is.

test("golden: recorded days of the core", () => {
  const traces = TRACE_DAYS.map(recordCoreTrace);
  expectText(
    traces.map((trace) => trace.sha256).join("\n"),
    `19758e8698492d707101603aee3c3050f965f0f6df8305487b31dcd68537fb6d
699efd98339b693be271013be248f7d96468bf325293eefe2db1445214147e35
9938d8408204c826ef1cf145d31fcd18dd933e54de81bdd4dbbd443e6bb1f0fd`,
  );
  expectText(
    traces.map((trace) => trace.coverage).join("\n\n"),
    `cancellations: 27
commits: 512
delete lc/now/fin: 42
delete lc/now/gang: 1
delete lc/now/job: 88
delete lc/now/ready: 4
put lc/now/belief: 4
put lc/now/claim: 4
put lc/now/fin: 55
put lc/now/gang: 2
put lc/now/group: 4
put lc/now/job: 123
put lc/now/quota: 21
put lc/now/ready: 4
put lc/now/room: 177
put lc/now/roster: 29
put lc/past: 91
submissions that name other jobs: 58

cancellations: 18
commits: 518
delete lc/now/fin: 23
delete lc/now/job: 53
put lc/now/belief: 4
put lc/now/claim: 4
put lc/now/fin: 81
put lc/now/group: 4
put lc/now/job: 99
put lc/now/quota: 77
put lc/now/reclaim: 5
put lc/now/room: 166
put lc/now/roster: 15
put lc/past: 63
submissions that name other jobs: 54

cancellations: 20
commits: 542
delete lc/now/fin: 33
delete lc/now/gang: 3
delete lc/now/group: 2
delete lc/now/job: 57
delete lc/now/ready: 4
put lc/now/belief: 4
put lc/now/claim: 6
put lc/now/fin: 89
put lc/now/gang: 1
put lc/now/group: 6
put lc/now/job: 130
put lc/now/quota: 51
put lc/now/ready: 2
put lc/now/reclaim: 1
put lc/now/room: 169
put lc/now/roster: 12
put lc/past: 65
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

test("golden: a recorded day of hooks", () => {
  const hash = recordWebhooksTrace(21);
  assert.equal(recordWebhooksTrace(21), hash);
  expectText(
    hash,
    "ee91693abe6c606806f61156f8d1f1722befbc2b3767fbf3af09d4efb1bb967f",
  );
});
