import assert from "node:assert/strict";
import { existsSync, readFileSync } from "node:fs";
import test from "node:test";

/** A file or function that the page names. */
interface Reference {
  /** The last file named before the function in its paragraph or list item; null: there is none. */
  path: string | null;
  /** null: the reference is to the file itself. */
  functionName: string | null;
}

const IN_BACKTICKS = /`([^`\n]+)`/g;
const PATH = /^(?:src|test|docs|deploy)(?:\/[\w.-]+)+$/;
const FUNCTION = /^(\w+)\(\)$/;

/** References of a page, in its order: paths in backticks, and functions written as `name()`, each of which belongs to the last path before it. */
function referencesOf(page: string): Reference[] {
  const references: Reference[] = [];
  for (const block of page.split(/\n\s*\n|\n(?=- |\d+\. |\| )/)) {
    let path: string | null = null;
    for (const [, text] of block.matchAll(IN_BACKTICKS)) {
      const functionName = FUNCTION.exec(text!)?.[1] ?? null;
      if (functionName === null && !PATH.test(text!)) continue;
      if (functionName === null) path = text!;
      references.push({ path, functionName });
    }
  }
  return references;
}

/** Whether a file contains a name as a whole word. */
function occursIn(path: string, name: string): boolean {
  return new RegExp(`\\b${name}\\b`).test(readFileSync(path, "utf8"));
}

/** Why a reference is wrong; null: it is right. */
function errorIn({ path, functionName }: Reference): string | null {
  if (path === null) return `${functionName}(): no file is named before it`;
  if (!existsSync(path)) return `${path}: no such file`;
  if (functionName === null || occursIn(path, functionName)) return null;
  return `${path}: no ${functionName}`;
}

test("the architecture page names files and functions that exist", () => {
  const references = referencesOf(readFileSync("docs/architecture.md", "utf8"));
  assert.ok(references.length > 0);
  assert.deepEqual(
    references.map(errorIn).filter((error) => error !== null),
    [],
  );
});

test("a missing file, a missing function and a function without a file are detected", () => {
  const page = [
    "- `src/no-such.ts` `step()`",
    "- `src/coordination/controller.ts` `noSuchFunction()`, `step()`",
    "- `step()`",
  ].join("\n");
  assert.deepEqual(referencesOf(page).map(errorIn), [
    "src/no-such.ts: no such file",
    "src/no-such.ts: no such file",
    null,
    "src/coordination/controller.ts: no noSuchFunction",
    null,
    "step(): no file is named before it",
  ]);
});
