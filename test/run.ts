import { existsSync, readdirSync, readFileSync, writeSync } from "node:fs";
import { dirname, join, sep } from "node:path";
import { run } from "node:test";
import { spec, tap } from "node:test/reporters";
import { fileURLToPath } from "node:url";
import { type TestResult, evaluateRun } from "./known-red.js";

// Runs all tests, or the given files, each file in its own process: node target/test-build/test/run.js [TIMEOUT_S [FILE...]]
// Used instead of `node --test`, which fails if any test fails: failures of tests in KNOWN-RED.txt don't fail this run.
const testRoot = dirname(fileURLToPath(import.meta.url));
const [timeoutS, ...namedFiles] = process.argv.slice(2);
const files =
  namedFiles.length > 0
    ? namedFiles
    : readdirSync(testRoot, { recursive: true, encoding: "utf8" })
        .filter((path) => path.endsWith(".test.js"))
        .filter((path) => !path.startsWith(`production${sep}`))
        .map((path) => join(testRoot, path));
const results: TestResult[] = [];
// Without the timeout a process that does not end would keep the run from ending and from reporting failures.
const stream = run({
  files,
  concurrency: true,
  timeout: 1000 * Number(timeoutS ?? 600),
});
// A file that can't be run, or whose process does not end in time, is reported as failed under its own name.
stream.on(
  "test:fail",
  (t) => t.nesting === 0 && results.push({ name: t.name, passed: false }),
);
stream.on(
  "test:pass",
  (t) =>
    t.nesting === 0 &&
    results.push({
      name: t.name,
      passed: t.skip === undefined && t.todo === undefined,
    }),
);
// Printed last, below the reporter's output.
process.on("exit", () => {
  const { ok, lines } = evaluateRun(
    existsSync("KNOWN-RED.txt") ? readFileSync("KNOWN-RED.txt", "utf8") : "",
    results,
  );
  process.exitCode = ok ? 0 : 1;
  if (lines.length > 0) writeSync(1, `${lines.join("\n")}\n`);
});
// The same choice of reporter as that of `node --test`.
const output = (
  process.stdout.isTTY ? stream.compose(new spec()) : stream.compose(tap)
) as NodeJS.ReadableStream;
output.pipe(process.stdout);
