/**
 * Tests that are known to fail for a real fault which could not be mended yet: KNOWN-RED.txt at the root, a line each,
 * `TEST | COMMAND | SEEN | ISSUE`, three at most: the command, with its seed, makes it fail again. Such a failure ends no run and is printed with what was seen; everything else that is wrong with the list does.
 */
interface KnownRed {
  test: string;
  /** Makes it fail again, with the seed if there is one. */
  command: string;
  /** What was seen when it failed. */
  seen: string;
  issue: string;
}
const MOST = 3;

/** One test as it ended. */
export interface Ended {
  name: string;
  passed: boolean;
}

/** What is listed, and what is wrong with the list itself. */
function readKnownRed(text: string): {
  listed: KnownRed[];
  wrong: string[];
} {
  const listed: KnownRed[] = [];
  const wrong: string[] = [];
  const lines = text
    .split("\n")
    .map((l) => l.trim())
    .filter((l) => l !== "");
  for (const [i, line] of lines.entries()) {
    const [test, command, seen, issue, ...more] = line
      .split(" | ")
      .map((x) => x.trim());
    if (!test || !command || !seen || !issue || more.length > 0)
      wrong.push(
        `KNOWN-RED.txt: line ${i + 1}: TEST | COMMAND | SEEN | ISSUE expected`,
      );
    else if (listed.some((l) => l.test === test))
      wrong.push(`KNOWN-RED.txt: line ${i + 1}: ${test}: listed twice`);
    else listed.push({ test, command, seen, issue });
  }
  if (lines.length > MOST)
    wrong.push(`KNOWN-RED.txt: ${lines.length} lines, at most ${MOST} allowed`);
  return { listed, wrong };
}

/** Whether a run of all tests passes; what is to be printed of it. */
export function judge(
  text: string,
  ended: readonly Ended[],
): { ok: boolean; lines: string[] } {
  const { listed, wrong } = readKnownRed(text);
  const lines = [...wrong];
  if (ended.length === 0) lines.push("no test was run");
  for (const l of listed) {
    const of = ended.filter((e) => e.name === l.test);
    if (of.length === 0)
      lines.push(`KNOWN-RED.txt: ${l.test}: there is no such test`);
    else if (of.length > 1)
      lines.push(`KNOWN-RED.txt: ${l.test}: ${of.length} tests have this name`);
    else if (of[0]!.passed)
      lines.push(
        `KNOWN-RED.txt: ${l.test}: passes, and is to be taken off the list`,
      );
  }
  const red = ended.filter(
    (e) => !e.passed && !listed.some((l) => l.test === e.name),
  );
  for (const e of red) lines.push(`failed: ${e.name}`);
  const ok = lines.length === 0;
  for (const l of listed)
    if (ended.some((e) => e.name === l.test && !e.passed))
      lines.push(
        `known red, passed over: ${l.test}: ${l.seen} (issue ${l.issue}; ${l.command})`,
      );
  return { ok, lines };
}
