import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import {
  LOG_EVENTS,
  logEntry,
  type LogEvent,
  metricLabel,
} from "../../src/logging/events.js";

interface Row {
  event: string;
  level: string;
  formerMessage: string;
}

const unquoted = (cell: string): string => cell.replace(/^`(.*)`$/, "$1");

/** The rows of the table in the section "What each line means". */
function rowsOfPage(): Row[] {
  const page = readFileSync("docs/operations.md", "utf8");
  const section = /\n## What each line means\n(.*?)\n## /s.exec(page)![1]!;
  return section
    .split("\n")
    .filter((line) => line.startsWith("| `"))
    .map((line) => {
      const cells = line.slice(2, -2).split(" | ");
      assert.equal(cells.length, 5, line);
      const [event, level, meaning, action, former] = cells;
      assert.ok(meaning!.length > 0 && action!.length > 0, line);
      return {
        event: unquoted(event!),
        level: level!,
        formerMessage: unquoted(former!),
      };
    });
}

test("each log event has one row on the operators' page, with its level and former message, and each row is an event", () => {
  const catalogue = Object.entries(LOG_EVENTS).map(([event, info]) => ({
    event,
    level: info.level as string,
    formerMessage: info.formerMessage ?? "",
  }));
  const byName = (a: Row, b: Row): number => (a.event < b.event ? -1 : 1);
  assert.deepEqual(rowsOfPage().sort(byName), catalogue.sort(byName));
});

test("no two log events have the same former message", () => {
  const former = Object.values(LOG_EVENTS).flatMap((info) =>
    info.formerMessage === null ? [] : [info.formerMessage],
  );
  assert.equal(new Set(former).size, former.length);
});

test("the line of an event has its level and name, and the metrics count it under its former message", () => {
  const entry = logEntry("partition acquired", {
    partition: "node-a",
    token: 7,
  });
  assert.deepEqual(entry, {
    level: "info",
    msg: "partition acquired",
    fields: { partition: "node-a", token: 7 },
  });
  assert.equal(metricLabel("partition acquired"), "group taken");
  for (const event of Object.keys(LOG_EVENTS) as LogEvent[])
    assert.equal(
      metricLabel(event),
      LOG_EVENTS[event].formerMessage ?? event,
      event,
    );
});
