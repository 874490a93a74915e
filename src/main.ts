#!/usr/bin/env node
/**
 * Entry point. The platform starts a controller with `main.js --config FILE`. This form is handled here without the command line
 * interface, so that a restart after a crash loads no more than needed. The command line interface handles all others.
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
