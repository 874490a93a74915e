/**
 * Known failures: tests that fail because of a real fault that is not fixed yet. KNOWN-RED.txt at the root lists up to three, one
 * a line: `TEST | COMMAND | SEEN | ISSUE`. The failure of a listed test is printed but does not fail the run of all tests. An
 * error in the list itself fails the run.
 */
interface KnownRedEntry {
  test: string;
  /** Reproduces the failure, with the seed if there is one. */
  command: string;
  /** Description of the failure: the third field, `SEEN`. */
  observed: string;
  issue: string;
}
/** Most known failures; a longer list fails the run. */
const MAX_ENTRIES = 3;

/** The outcome of one test. */
export interface TestResult {
  name: string;
  passed: boolean;
}

/** The entries of the list, and the errors in it. */
function readKnownRed(text: string): {
  entries: KnownRedEntry[];
  errors: string[];
} {
  const entries: KnownRedEntry[] = [];
  const errors: string[] = [];
  const lines = text
    .split("\n")
    .map((l) => l.trim())
    .filter((l) => l !== "");
  for (const [i, line] of lines.entries()) {
    const [test, command, observed, issue, ...more] = line
      .split(" | ")
      .map((x) => x.trim());
    if (!test || !command || !observed || !issue || more.length > 0)
      errors.push(
        `KNOWN-RED.txt: line ${i + 1}: TEST | COMMAND | SEEN | ISSUE expected`,
      );
    else if (entries.some((l) => l.test === test))
      errors.push(`KNOWN-RED.txt: line ${i + 1}: ${test}: listed twice`);
    else entries.push({ test, command, observed, issue });
  }
  if (lines.length > MAX_ENTRIES)
    errors.push(
      `KNOWN-RED.txt: ${lines.length} lines, at most ${MAX_ENTRIES} allowed`,
    );
  return { entries, errors };
}

/** Whether a run of tests passes, given the text of KNOWN-RED.txt, and the lines to print about it. */
export function evaluateRun(
  text: string,
  results: readonly TestResult[],
): { ok: boolean; lines: string[] } {
  const { entries, errors } = readKnownRed(text);
  const lines = [...errors];
  if (results.length === 0) lines.push("no test was run");
  for (const entry of entries) {
    const matching = results.filter((e) => e.name === entry.test);
    if (matching.length === 0)
      lines.push(`KNOWN-RED.txt: ${entry.test}: there is no such test`);
    else if (matching.length > 1)
      lines.push(
        `KNOWN-RED.txt: ${entry.test}: ${matching.length} tests have this name`,
      );
    else if (matching[0]!.passed)
      lines.push(
        `KNOWN-RED.txt: ${entry.test}: passes now, remove it from the list`,
      );
  }
  const unlistedFailures = results.filter(
    (e) => !e.passed && !entries.some((l) => l.test === e.name),
  );
  for (const failure of unlistedFailures) lines.push(`failed: ${failure.name}`);
  const ok = lines.length === 0;
  for (const entry of entries)
    if (results.some((e) => e.name === entry.test && !e.passed))
      lines.push(
        `known red, passed over: ${entry.test}: ${entry.observed} (issue ${entry.issue}; ${entry.command})`,
      );
  return { ok, lines };
}
