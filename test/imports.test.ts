import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { dirname, join, normalize } from "node:path";
import test from "node:test";

/** For each folder below src, the folders or single modules that its modules may import; "." is src itself. */
const MAY_IMPORT: Readonly<Record<string, readonly string[]>> = {
  ".": ["cli", "config", "daemon"],
  cli: ["config", "daemon", "protocol", "transport", "webhooks"],
  config: ["coordination/model"],
  coordination: [
    "config",
    "coordination/jobs",
    "coordination/leadership",
    "coordination/machines",
    "coordination/quota",
    "coordination/scheduling",
    "coordination/store",
    "logging",
    "protocol",
    "storage/records",
  ],
  "coordination/jobs": [
    "coordination/context",
    "coordination/effects",
    "coordination/leadership",
    "coordination/machines",
    "coordination/model",
    "coordination/scheduling",
    "coordination/store",
    "protocol",
    "storage/records",
  ],
  "coordination/leadership": [
    "config",
    "coordination/context",
    "coordination/effects",
    "coordination/jobs",
    "coordination/model",
    "coordination/scheduling",
    "coordination/store",
    "protocol",
    "storage/records",
  ],
  "coordination/machines": [
    "coordination/context",
    "coordination/effects",
    "coordination/jobs",
    "coordination/leadership",
    "coordination/model",
    "coordination/quota",
    "coordination/scheduling",
    "coordination/store",
    "logging",
    "protocol",
    "storage/records",
  ],
  "coordination/quota": [
    "config",
    "coordination/context",
    "coordination/effects",
    "coordination/leadership",
    "coordination/machines",
    "coordination/model",
    "coordination/scheduling",
    "storage/records",
  ],
  "coordination/scheduling": [
    "coordination/context",
    "coordination/effects",
    "coordination/jobs",
    "coordination/leadership",
    "coordination/machines",
    "coordination/model",
    "coordination/quota",
    "coordination/store",
    "logging",
    "protocol",
    "storage/records",
  ],
  "coordination/store": [
    "coordination/context",
    "coordination/effects",
    "coordination/jobs",
    "coordination/leadership",
    "coordination/model",
    "coordination/quota",
    "coordination/scheduling",
    "logging",
    "protocol",
    "storage/records",
  ],
  daemon: [
    "config",
    "coordination/controller",
    "coordination/effects",
    "coordination/model",
    "logging",
    "metrics",
    "protocol",
    "storage",
    "transport",
    "webhooks",
  ],
  metrics: ["coordination/statistics", "logging", "webhooks"],
  protocol: ["coordination/model"],
  storage: ["config", "protocol", "storage/records", "transport"],
  "storage/records": [
    "coordination/jobs",
    "coordination/model",
    "protocol",
    "storage",
  ],
  transport: [
    "config",
    "coordination/effects",
    "coordination/model",
    "protocol",
  ],
  verification: ["config", "coordination/quota", "storage"],
  webhooks: [
    "config",
    "coordination/effects",
    "logging",
    "protocol",
    "storage",
    "transport",
  ],
};

const RELATIVE_IMPORT = /(?:from |import\(|import )"(\.[^"]+)\.js"/g;

/** Modules that a module of src imports, as paths below src without file extension. */
function importsOf(module: string, source: string): string[] {
  return [...source.matchAll(RELATIVE_IMPORT)].map((match) =>
    normalize(join(dirname(module), match[1]!)),
  );
}

/** The entry of the table that allows this import; undefined: the import is not allowed. */
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

test("modules import only what the table allows for their folder", () => {
  const violations = modules.flatMap(({ name, imports }) =>
    imports
      .filter(
        (imported) =>
          dirname(imported) !== dirname(name) && !allowedBy(name, imported),
      )
      .map((imported) => `${name} imports ${imported}`),
  );
  assert.deepEqual(violations, []);
});

test("every entry of the table is used", () => {
  const usedEntries = new Set(
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
    entries.filter((entry) => !usedEntries.has(entry)),
    [],
  );
});

test("an import that the table does not allow is detected", () => {
  const source = 'import { StoreClient } from "../../storage/store-client.js";';
  const [imported] = importsOf(
    "coordination/scheduling/partition-leader.ts",
    source,
  );
  assert.equal(imported, "storage/store-client");
  assert.equal(
    allowedBy("coordination/scheduling/partition-leader.ts", imported),
    undefined,
  );
});
