#!/usr/bin/env node
import { readFileSync } from "node:fs";
import { parseArgs } from "node:util";
import { DEFAULTS } from "./config/operator.js";
import { parseSettings, SettingsError } from "./config/settings.js";
import { Daemon } from "./daemon.js";

const { values } = parseArgs({ options: { config: { type: "string" } } });
try {
  const file = values.config ?? "";
  await new Daemon(parseSettings(readFileSync(file, "utf8"), file), DEFAULTS).run();
} catch (e) {
  process.stderr.write(`linencove: ${e instanceof SettingsError || e instanceof Error ? e.message : String(e)}\n`);
  process.exit(1);
}
