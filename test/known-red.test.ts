import assert from "node:assert/strict";
import { spawnSync } from "node:child_process";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { fileURLToPath } from "node:url";
import { judge } from "./known-red.js";

const pass = (name: string) => ({ name, passed: true });
const fail = (name: string) => ({ name, passed: false });

test("with no list every test must pass; what is listed is passed over and printed, and nothing else", () => {
  assert.deepEqual(judge("", [pass("a"), pass("b")]), { ok: true, lines: [] });
  assert.deepEqual(judge("\n", [pass("a"), fail("b")]), {
    ok: false,
    lines: ["failed: b"],
  });
  const list = "b: c, d | run b 3 | a late write wins | 28\n";
  assert.deepEqual(judge(list, [pass("a"), fail("b: c, d")]), {
    ok: true,
    lines: [
      "known red, passed over: b: c, d: a late write wins (issue 28; run b 3)",
    ],
  });
  assert.equal(judge(list, [fail("a"), fail("b: c, d")]).ok, false);
});

test("a listed test that passes, one that does not exist, a fourth line and a malformed one fail the run", () => {
  const red = (n: number): string =>
    Array.from({ length: n }, (_, i) => `t${i} | run ${i} | seen | 1`).join(
      "\n",
    );
  const tests = (n: number) =>
    Array.from({ length: n }, (_, i) => fail(`t${i}`));
  assert.equal(judge(red(3), tests(3)).ok, true);
  assert.deepEqual(
    judge(red(4), tests(4)).lines[0],
    "KNOWN-RED.txt: 4 lines, at most 3 allowed",
  );
  assert.equal(judge(red(4), tests(4)).ok, false);
  assert.deepEqual(judge(red(1), [pass("t0")]), {
    ok: false,
    lines: ["KNOWN-RED.txt: t0: passes, and is to be taken off the list"],
  });
  assert.deepEqual(judge(red(1), [pass("other")]), {
    ok: false,
    lines: ["KNOWN-RED.txt: t0: there is no such test"],
  });
  assert.equal(
    judge(red(1), [fail("t0"), fail("t0")]).ok,
    false,
    "one line is not for two tests",
  );
  for (const line of [
    "t0",
    "t0 | run",
    "t0 | seen | 1",
    "t0 | | seen | 1",
    "t0 | run | | 1",
    "t0 | run | seen | 1 | more",
  ])
    assert.equal(judge(line, [fail("t0")]).ok, false, line);
  assert.equal(
    judge("t0 | run | a | 1\nt0 | run | b | 1", [fail("t0")]).ok,
    false,
    "listed twice",
  );
  assert.equal(judge("", []).ok, false, "a run of no test");
});

test("a file whose process does not end fails the run under its name, which ends all the same", () => {
  const dir = mkdtempSync(join(tmpdir(), "linencove-run-"));
  const file = join(dir, "open.test.mjs");
  // As a test that failed before it closed its server.
  writeFileSync(
    file,
    `import { test } from "node:test";\nimport net from "node:net";\ntest("passes", () => void net.createServer().listen(0, "127.0.0.1"));\n`,
  );
  const { NODE_TEST_CONTEXT: _, ...env } = process.env;
  const r = spawnSync(
    process.execPath,
    [fileURLToPath(new URL("./run.js", import.meta.url)), "5", file],
    { cwd: dir, env, encoding: "utf8", timeout: 120_000 },
  );
  assert.equal(r.status, 1, r.stdout + r.stderr);
  assert.equal(r.stdout.trimEnd().split("\n").at(-1), `failed: ${file}`);
});
