#!/usr/bin/env node
/**
 * `main.js --config FILE` is how the platform starts a controller: that one form goes straight to it, so that a
 * start after a crash loads no more than it needs. Everything else is the command line's.
 */
import { readFileSync } from "node:fs";
import { DEFAULTS } from "./config/operator.js";
import { parseSettings } from "./config/settings.js";

const args = process.argv.slice(2);
if (
  args.length === 2 &&
  args[0] === "--config" &&
  !process.env["LINENCOVE_OPERATOR"]
) {
  try {
    const file = args[1]!;
    const settings = parseSettings(readFileSync(file, "utf8"), file);
    const { Daemon } = await import("./daemon/daemon.js");
    await new Daemon(settings, { ...DEFAULTS }).run();
  } catch (e) {
    process.stderr.write(
      `linencove: ${e instanceof Error ? e.message.split("\n")[0] : String(e)}\n`,
    );
    process.exitCode = 1;
  }
} else {
  const { cli } = await import("./cli/cli.js");
  process.exitCode = await cli(args);
}
