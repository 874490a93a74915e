import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { dirname, join, normalize } from "node:path";
import test from "node:test";

/** Folders of src that the modules of a folder may import from, or single modules of such a folder; "." is src itself. */
const MAY_IMPORT: Readonly<Record<string, readonly string[]>> = {
  ".": [
    "config",
    "coordination",
    "hooks",
    "metrics",
    "protocol",
    "storage",
    "transport",
  ],
  config: ["coordination"],
  coordination: [
    "config",
    "coordination/limits",
    "protocol",
    "storage/records",
  ],
  "coordination/limits": ["config", "coordination", "storage/records"],
  hooks: ["config", "coordination", "protocol", "storage", "transport"],
  lab: ["config", "coordination/limits", "storage/records"],
  metrics: ["coordination", "hooks"],
  protocol: ["coordination"],
  storage: ["config", "coordination", "protocol", "transport"],
  transport: ["config", "coordination", "protocol"],
};

const RELATIVE_IMPORT = /(?:from |import\(|import )"(\.[^"]+)\.js"/g;

/** Modules of src that a module imports, as paths below src without their ending. */
function importsOf(module: string, source: string): string[] {
  return [...source.matchAll(RELATIVE_IMPORT)].map((found) =>
    normalize(join(dirname(module), found[1]!)),
  );
}

/** The entry of the table that allows this import; undefined: none does. */
function allowedBy(module: string, imported: string): string | undefined {
  return MAY_IMPORT[dirname(module)]?.find(
    (entry) => entry === dirname(imported) || entry === imported,
  );
}

const modules = readdirSync("src", { recursive: true, encoding: "utf8" })
  .filter((name) => name.endsWith(".ts"))
  .map((name) => ({
    name,
    imports: importsOf(name, readFileSync(join("src", name), "utf8")),
  }));

test("modules import only from the folders that the table names for theirs", () => {
  const wrong = modules.flatMap(({ name, imports }) =>
    imports
      .filter(
        (imported) =>
          dirname(imported) !== dirname(name) && !allowedBy(name, imported),
      )
      .map((imported) => `${name} imports ${imported}`),
  );
  assert.deepEqual(wrong, []);
});

test("every entry of the table is used", () => {
  const used = new Set(
    modules.flatMap(({ name, imports }) =>
      imports.map(
        (imported) => `${dirname(name)}: ${allowedBy(name, imported)}`,
      ),
    ),
  );
  const entries = Object.entries(MAY_IMPORT).flatMap(([folder, allowed]) =>
    allowed.map((entry) => `${folder}: ${entry}`),
  );
  assert.deepEqual(
    entries.filter((entry) => !used.has(entry)),
    [],
  );
});

test("an import from a folder that the table does not name is seen", () => {
  const source = 'import { Client } from "../storage/client.js";';
  const [imported] = importsOf("coordination/master.ts", source);
  assert.equal(imported, "storage/client");
  assert.equal(allowedBy("coordination/master.ts", imported), undefined);
});
