import { existsSync, readdirSync, readFileSync, writeSync } from "node:fs";
import { dirname, join, sep } from "node:path";
import { run } from "node:test";
import { spec, tap } from "node:test/reporters";
import { fileURLToPath } from "node:url";
import { type Ended, judge } from "./known-red.js";

// Runs all tests, each file in a process of its own, and passes over what KNOWN-RED.txt lists. Beside the test runner's own command because
// that ends with a failure if any test fails: node target/test-build/test/run.js [MOST_S [FILE...]]
const here = dirname(fileURLToPath(import.meta.url));
const [mostS, ...named] = process.argv.slice(2);
const files =
  named.length > 0
    ? named
    : readdirSync(here, { recursive: true, encoding: "utf8" })
        .filter((path) => path.endsWith(".test.js"))
        .filter((path) => !path.startsWith(`production${sep}`))
        .map((path) => join(here, path));
const ended: Ended[] = [];
// A process that does not end would keep the run from ending, and so from saying what failed.
const stream = run({
  files,
  concurrency: true,
  timeout: 1000 * Number(mostS ?? 600),
});
// A file that can't be run at all, or whose process does not end in time, fails under its own name.
stream.on(
  "test:fail",
  (t) => t.nesting === 0 && ended.push({ name: t.name, passed: false }),
);
stream.on(
  "test:pass",
  (t) =>
    t.nesting === 0 &&
    ended.push({
      name: t.name,
      passed: t.skip === undefined && t.todo === undefined,
    }),
);
// Last of all, below what the reporter says.
process.on("exit", () => {
  const { ok, lines } = judge(
    existsSync("KNOWN-RED.txt") ? readFileSync("KNOWN-RED.txt", "utf8") : "",
    ended,
  );
  process.exitCode = ok ? 0 : 1;
  if (lines.length > 0) writeSync(1, `${lines.join("\n")}\n`);
});
// As the test runner itself chooses.
const reported = (
  process.stdout.isTTY ? stream.compose(new spec()) : stream.compose(tap)
) as NodeJS.ReadableStream;
reported.pipe(process.stdout);
