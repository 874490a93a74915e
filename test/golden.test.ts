import assert from "node:assert/strict";
import { test } from "node:test";
import {
  describeStoredFields,
  recordCoreTrace,
  TRACE_DAYS,
} from "./golden/core-trace.js";
import { expectText } from "./golden/expect.js";
import { recordHooksTrace } from "./golden/hooks-trace.js";
import "./golden/metrics.js";
import "./golden/protocol.js";
import "./golden/records.js";
import "./golden/settings.js";
import "./golden/transport.js";

// What other programs, and other versions of this one, read and write. A change of names inside the program leaves all of it as it is.

test("golden: recorded days of the core", () => {
  const traces = TRACE_DAYS.map(recordCoreTrace);
  expectText(
    traces.map((trace) => trace.sha256).join("\n"),
    `d678e984b9b0b40ed82b0d420602938b712f27ecad2e46ebe120459a37f61cea
e430230113f8ed0a18c511a8d90f1a34923d8b793ffc0eecc8b4c120baaed59d
6901db1b7770f92723c3b46c908d19a808d3174d3d8b153bba3886cc0a8d4c1c`,
  );
  expectText(
    traces.map((trace) => trace.coverage).join("\n\n"),
    `cancellations: 16
commits: 578
delete lc/now/fin: 38
delete lc/now/job: 70
put lc/now/belief: 8
put lc/now/claim: 4
put lc/now/fin: 89
put lc/now/group: 7
put lc/now/job: 137
put lc/now/quota: 80
put lc/now/room: 159
put lc/now/roster: 24
put lc/past: 70
submissions that name other jobs: 41

cancellations: 22
commits: 683
delete lc/now/fin: 24
delete lc/now/group: 1
delete lc/now/job: 56
put lc/now/belief: 5
put lc/now/claim: 5
put lc/now/fin: 203
put lc/now/group: 6
put lc/now/job: 150
put lc/now/quota: 59
put lc/now/room: 172
put lc/now/roster: 26
put lc/past: 57
submissions that name other jobs: 63

cancellations: 17
commits: 547
delete lc/now/fin: 43
delete lc/now/job: 67
put lc/now/belief: 4
put lc/now/claim: 4
put lc/now/fin: 93
put lc/now/group: 4
put lc/now/job: 137
put lc/now/quota: 44
put lc/now/room: 169
put lc/now/roster: 21
put lc/past: 67
submissions that name other jobs: 49`,
  );
  expectText(
    describeStoredFields(traces),
    `lc/now/belief .limits
lc/now/claim .by .token
lc/now/fin .r
lc/now/group .hold .owner
lc/now/job .at .needs .rel .spec .spec.checkpointS .spec.class .spec.cpus .spec.deadlineS .spec.estimateS .spec.gpus .spec.id .spec.image .spec.imageGb .spec.memGb .spec.samePlace .spec.saveS .spec.shape .spec.spot .spec.spread .spec.tasks .spec.team .spec.types .spec.urgency .spec.zone .split
lc/now/quota .* .*.* ./cap ./cap.*
lc/now/room .left .out .q .qu .rows .rows[].f .rows[].n .rows[].r .rows[].s .rows[].t .rows[].y .rows[].z .run .team .want
lc/now/roster .c .m .t
lc/past .d .h .n .s`,
  );
});

test("golden: a recorded day of hooks", () => {
  const hash = recordHooksTrace(21);
  assert.equal(recordHooksTrace(21), hash);
  expectText(
    hash,
    "ee91693abe6c606806f61156f8d1f1722befbc2b3767fbf3af09d4efb1bb967f",
  );
});
