import assert from "node:assert/strict";
import { spawnSync } from "node:child_process";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { fileURLToPath } from "node:url";
import { evaluateRun } from "./known-red.js";

const pass = (name: string) => ({ name, passed: true });
const fail = (name: string) => ({ name, passed: false });

test("with no list every test must pass; failures of listed tests, and no others, are passed over and printed", () => {
  assert.deepEqual(evaluateRun("", [pass("a"), pass("b")]), {
    ok: true,
    lines: [],
  });
  assert.deepEqual(evaluateRun("\n", [pass("a"), fail("b")]), {
    ok: false,
    lines: ["failed: b"],
  });
  const list = "b: c, d | run b 3 | a late write wins | 28\n";
  assert.deepEqual(evaluateRun(list, [pass("a"), fail("b: c, d")]), {
    ok: true,
    lines: [
      "known red, passed over: b: c, d: a late write wins (issue 28; run b 3)",
    ],
  });
  assert.equal(evaluateRun(list, [fail("a"), fail("b: c, d")]).ok, false);
});

test("a listed test that passes, one that does not exist, a fourth line and a malformed one fail the run", () => {
  const listOf = (count: number): string =>
    Array.from({ length: count }, (_, i) => `t${i} | run ${i} | seen | 1`).join(
      "\n",
    );
  const failures = (count: number) =>
    Array.from({ length: count }, (_, i) => fail(`t${i}`));
  assert.equal(evaluateRun(listOf(3), failures(3)).ok, true);
  assert.deepEqual(
    evaluateRun(listOf(4), failures(4)).lines[0],
    "KNOWN-RED.txt: 4 lines, at most 3 allowed",
  );
  assert.equal(evaluateRun(listOf(4), failures(4)).ok, false);
  assert.deepEqual(evaluateRun(listOf(1), [pass("t0")]), {
    ok: false,
    lines: ["KNOWN-RED.txt: t0: passes now, remove it from the list"],
  });
  assert.deepEqual(evaluateRun(listOf(1), [pass("other")]), {
    ok: false,
    lines: ["KNOWN-RED.txt: t0: there is no such test"],
  });
  assert.equal(
    evaluateRun(listOf(1), [fail("t0"), fail("t0")]).ok,
    false,
    "one entry must not cover two tests",
  );
  for (const line of [
    "t0",
    "t0 | run",
    "t0 | seen | 1",
    "t0 | | seen | 1",
    "t0 | run | | 1",
    "t0 | run | seen | 1 | more",
  ])
    assert.equal(evaluateRun(line, [fail("t0")]).ok, false, line);
  assert.equal(
    evaluateRun("t0 | run | a | 1\nt0 | run | b | 1", [fail("t0")]).ok,
    false,
    "a test is listed twice",
  );
  assert.equal(evaluateRun("", []).ok, false, "a run without tests fails");
});

test("a test file whose process does not end is reported as failed under its name, and the run ends", () => {
  const dir = mkdtempSync(join(tmpdir(), "linencove-run-"));
  const file = join(dir, "open.test.mjs");
  // Like a test that fails before it closes its server: the open server keeps the process alive.
  writeFileSync(
    file,
    `import { test } from "node:test";\nimport net from "node:net";\ntest("passes", () => void net.createServer().listen(0, "127.0.0.1"));\n`,
  );
  const { NODE_TEST_CONTEXT: _, ...env } = process.env;
  const run = spawnSync(
    process.execPath,
    [fileURLToPath(new URL("./run.js", import.meta.url)), "5", file],
    { cwd: dir, env, encoding: "utf8", timeout: 120_000 },
  );
  assert.equal(run.status, 1, run.stdout + run.stderr);
  assert.equal(run.stdout.trimEnd().split("\n").at(-1), `failed: ${file}`);
});
