import { readFileSync } from "node:fs";
import { Command, CommanderError, InvalidArgumentError } from "commander";
import { DEFAULTS, parseOperator } from "./config/operator.js";
import { parseSettings, SettingsError } from "./config/settings.js";
import { JOB_ID, parseJob } from "./protocol/jobs.js";
import { Client, json } from "./transport/client.js";

/** A refusal or an unreachable service: exit 1. */
class Refused extends Error {}

export const VERSION = "0.2.0";

function readText(file: string): string {
  try {
    return readFileSync(file === "-" ? 0 : file, "utf8");
  } catch (e) {
    throw new SettingsError(`${file}: ${(e as NodeJS.ErrnoException).code === "ENOENT" ? "no such file" : (e as Error).message}`);
  }
}

export async function loadSettings(config: string, operator: string | undefined): Promise<{ settings: ReturnType<typeof parseSettings>; tuning: Awaited<ReturnType<typeof parseOperator>> }> {
  const settings = parseSettings(readText(config), config);
  return { settings, tuning: operator ? await parseOperator(readText(operator), operator) : { ...DEFAULTS } };
}

function server(text: string): { host: string; port: number } {
  const m = /^(.+):(\d{1,5})$/.exec(text);
  if (!m) throw new InvalidArgumentError("HOST:PORT expected");
  return { host: m[1]!, port: Number(m[2]) };
}
function jobId(text: string): string {
  if (!JOB_ID.test(text)) throw new InvalidArgumentError("must look like req-000412");
  return text;
}

interface Common {
  server: { host: string; port: number };
  json?: boolean;
}

async function call(o: Common, method: "GET" | "POST", path: string, body?: string): Promise<Record<string, unknown>> {
  const client = new Client(1, 0);
  const f = await client.fetch(o.server.host, o.server.port, method, path, body, 6_000);
  client.close();
  if (f.is !== "answered") throw new Refused(`${o.server.host}:${o.server.port}: ${f.why}`);
  const raw = (json(f.body) ?? {}) as Record<string, unknown>;
  if (f.status !== 200 && f.status !== 201) throw new Refused(`${f.status}: ${typeof raw["error"] === "string" ? raw["error"] : "refused"}${f.status === 503 ? " (try again in a moment)" : ""}`);
  return raw;
}

function print(o: Common, raw: Record<string, unknown>): void {
  if (o.json) return void process.stdout.write(`${JSON.stringify(raw)}\n`);
  const counts = typeof raw["done"] === "number" ? `, ${raw["done"]} done, ${String(raw["running"])} running` : "";
  const awaits = Array.isArray(raw["awaits"]) && raw["awaits"].length > 0 ? `, waits for ${raw["awaits"].join(", ")}` : "";
  process.stdout.write(`${String(raw["id"])}: ${String(raw["status"])}${counts}${awaits}\n`);
}

export async function cli(argv: readonly string[]): Promise<number> {
  const program = new Command("linencove").description("a cluster scheduler").version(VERSION).exitOverride();
  program.configureOutput({ outputError: (text, write) => write(`linencove: ${text.replace(/^error: /, "")}`) });
  program
    .option("--config <file>", "run one controller with the platform's settings file (TOML)")
    .option("--operator <file>", "the operators' own settings (protobuf text format)", process.env["LINENCOVE_OPERATOR"])
    .action(async (o: { config?: string; operator?: string }) => {
      if (o.config === undefined) throw new CommanderError(2, "linencove.usage", "error: --config FILE or a command expected; see --help");
      const { settings, tuning } = await loadSettings(o.config, o.operator);
      const { Daemon } = await import("./daemon.js");
      await new Daemon(settings, tuning).run();
    });
  const client = (name: string, what: string): Command =>
    program.command(name).description(what).requiredOption("--server <host:port>", "any controller's address for clients", server).option("--json", "print the answer as JSON");
  client("submit", "submit a job described in JSON")
    .argument("<file>", "the job's file; - for standard input")
    .action(async (file: string, o: Common) => {
      const text = readText(file);
      const job = parseJob(text);
      if (!job.ok) throw new SettingsError(`${file}: ${job.error}`);
      print(o, await call(o, "POST", "/v1/jobs", text));
    });
  client("show", "show a job's state")
    .argument("<id>", "the job's id", jobId)
    .action(async (id: string, o: Common) => print(o, await call(o, "GET", `/v1/jobs/${id}`)));
  client("withdraw", "cancel a job")
    .argument("<id>", "the job's id", jobId)
    .action(async (id: string, o: Common) => print(o, await call(o, "POST", `/v1/jobs/${id}/withdraw`, "")));
  program
    .command("check")
    .description("check both settings files")
    .argument("<config>", "the platform's file (TOML)")
    .argument("[operator]", "the operators' file (protobuf text format)")
    .option("--json", "print the settings in force as JSON")
    .action(async (config: string, operator: string | undefined, o: { json?: boolean }) => {
      const { settings, tuning } = await loadSettings(config, operator);
      if (o.json) process.stdout.write(`${JSON.stringify({ label: settings.label, area: settings.area, zones: settings.zones, teams: [...settings.teams.keys()], tuning })}\n`);
      else process.stdout.write(`${config}: good: ${settings.label} in ${settings.area}, ${settings.peers.length} peers, ${settings.teams.size} teams\n${operator ? `${operator}: good\n` : ""}`);
    });
  try {
    await program.parseAsync([...argv], { from: "user" });
    return 0;
  } catch (e) {
    if (e instanceof CommanderError) {
      if (e.code === "linencove.usage") process.stderr.write(`linencove: ${e.message.replace(/^error: /, "")}\n`);
      return e.exitCode === 0 ? 0 : 2;
    }
    process.stderr.write(`linencove: ${e instanceof Error ? e.message.split("\n")[0] : String(e)}\n`);
    return 1;
  }
}
