import { readFileSync } from "node:fs";
import { Command, CommanderError, InvalidArgumentError } from "commander";
import { DEFAULTS, type Operator, parseOperator } from "../config/operator.js";
import { parseSettings, SettingsError } from "../config/settings.js";
import { JOB_ID, parseJob } from "../protocol/jobs.js";
import {
  HttpClient,
  parseJson,
  type Method,
} from "../transport/http-client.js";

/** A refusal or an unreachable service: exit 1. */
class RequestRefusedError extends Error {}

const VERSION = "0.2.0";

function readText(file: string): string {
  try {
    return readFileSync(file === "-" ? 0 : file, "utf8");
  } catch (e) {
    throw new SettingsError(
      `${file}: ${(e as NodeJS.ErrnoException).code === "ENOENT" ? "no such file" : (e as Error).message}`,
    );
  }
}

async function loadSettings(
  config: string,
  operator: string | undefined,
): Promise<{ settings: ReturnType<typeof parseSettings>; operator: Operator }> {
  const settings = parseSettings(readText(config), config);
  return {
    settings,
    operator: operator
      ? await parseOperator(readText(operator), operator)
      : { tuning: { ...DEFAULTS }, hooks: null, metrics: false },
  };
}

function server(text: string): { host: string; port: number } {
  const m = /^(.+):(\d{1,5})$/.exec(text);
  if (!m) throw new InvalidArgumentError("HOST:PORT expected");
  return { host: m[1]!, port: Number(m[2]) };
}
function jobId(text: string): string {
  if (!JOB_ID.test(text))
    throw new InvalidArgumentError("must look like req-000412");
  return text;
}

interface Common {
  server: { host: string; port: number };
  json?: boolean;
}

async function call(
  o: Common,
  method: Method,
  path: string,
  body?: string,
): Promise<Record<string, unknown>> {
  const client = new HttpClient(1, 0);
  const f = await client.fetch(
    o.server.host,
    o.server.port,
    method,
    path,
    body,
    6_000,
  );
  client.close();
  if (f.kind !== "answered")
    throw new RequestRefusedError(
      `${o.server.host}:${o.server.port}: ${f.why}`,
    );
  const raw = (parseJson(f.body) ?? {}) as Record<string, unknown>;
  if (f.status !== 200 && f.status !== 201)
    throw new RequestRefusedError(
      `${f.status}: ${typeof raw["error"] === "string" ? raw["error"] : "refused"}${f.status === 503 ? " (try again in a moment)" : ""}`,
    );
  return raw;
}

function print(o: Common, raw: Record<string, unknown>): void {
  if (o.json) return void process.stdout.write(`${JSON.stringify(raw)}\n`);
  const counts =
    typeof raw["done"] === "number"
      ? `, ${raw["done"]} done, ${String(raw["running"])} running`
      : "";
  const awaits =
    Array.isArray(raw["awaits"]) && raw["awaits"].length > 0
      ? `, waits for ${raw["awaits"].join(", ")}`
      : "";
  process.stdout.write(
    `${String(raw["id"])}: ${String(raw["status"])}${counts}${awaits}\n`,
  );
}

type Make = (name: string, what: string, parent?: Command) => Command;
interface WebhookOptions extends Common {
  url?: string;
  team?: string[];
  class?: string[];
  outcome?: string[];
  key?: string[];
  ordered?: boolean;
  ask?: boolean;
}
function webhookCommands(program: Command, client: Make): void {
  const webhook = program
    .command("hook")
    .description("notifications of jobs' ends");
  const make = (name: string, what: string): Command =>
    client(name, what, webhook);
  const path = (name: string, rest = ""): string =>
    `/v1/hooks/${encodeURIComponent(name)}${rest}`;
  const fields = (o: WebhookOptions): object => ({
    ...(o.url === undefined ? {} : { url: o.url }),
    ...(o.team ? { crews: o.team } : {}),
    ...(o.class ? { jobclasses: o.class } : {}),
    ...(o.outcome ? { outcomes: o.outcome } : {}),
    ...(o.key ? { keys: o.key } : {}),
    ...(o.ordered === undefined ? {} : { ordered: o.ordered }),
    ...(o.ask === undefined ? {} : { ask: o.ask }),
  });
  const options = (c: Command): Command =>
    c
      .option("--team <name...>", "only jobs of these teams")
      .option("--class <name...>", "only jobs of these classes")
      .option("--outcome <outcome...>", "done, cancelled")
      .option(
        "--key <id...>",
        "sign with these keys of the operators' file, the newest first",
      )
      .option(
        "--ordered",
        "one after the other, in the order in which the jobs ended",
      )
      .option("--no-ordered")
      .option(
        "--ask",
        "ask the receiver before a repeat that it may have received",
      )
      .option("--no-ask");
  const line = (h: Record<string, unknown>): string => {
    const of = (x: unknown): string => (Array.isArray(x) ? x.join(",") : "all");
    const flags = `${h["ordered"] ? ", ordered" : ""}${h["ask"] ? ", asks" : ""}`;
    return `${String(h["name"])}: ${String(h["state"])}, ${String(h["url"])}, teams ${of(h["crews"])}, classes ${of(h["jobclasses"])}, ${of(h["outcomes"])}, keys ${of(h["keys"])}${flags}\n`;
  };
  const tell = (o: Common, raw: Record<string, unknown>, text: string): void =>
    void process.stdout.write(o.json ? `${JSON.stringify(raw)}\n` : text);
  options(
    make("add", "have the ends of jobs told to a URL")
      .argument("<name>")
      .argument("<url>"),
  ).action(async (name: string, url: string, o: WebhookOptions) => {
    const raw = await call(
      o,
      "POST",
      "/v1/hooks",
      JSON.stringify({ name, ...fields({ ...o, url }) }),
    );
    tell(o, raw, line(raw));
  });
  options(
    make("change", "change what is named, and nothing else")
      .argument("<name>")
      .option("--url <url>"),
  ).action(async (name: string, o: WebhookOptions) => {
    const raw = await call(o, "PATCH", path(name), JSON.stringify(fields(o)));
    tell(o, raw, line(raw));
  });
  make("list", "show all hooks").action(async (o: Common) => {
    const raw = await call(o, "GET", "/v1/hooks");
    tell(
      o,
      raw,
      (raw["hooks"] as Record<string, unknown>[]).map(line).join(""),
    );
  });
  make(
    "show",
    "show a hook and, at the controller that sends for it, how far it is",
  )
    .argument("<name>")
    .action(async (name: string, o: Common) => {
      const raw = await call(o, "GET", path(name));
      tell(
        o,
        raw,
        line(raw) +
          (raw["sending"] ? `  ${JSON.stringify(raw["sending"])}\n` : ""),
      );
    });
  for (const [act, what] of [
    ["pause", "send nothing for now; what ends is kept"],
    ["resume", "send again, also after the receiver answered 410"],
    ["test", "send a test notification"],
    ["redrive", "send all dead letters again"],
  ] as const)
    make(act, what)
      .argument("<name>")
      .action(async (name: string, o: Common) => {
        const raw = await call(o, "POST", path(name, `/${act}`), "");
        tell(o, raw, line(raw));
      });
  make("remove", "remove a hook and all that waits for it")
    .argument("<name>")
    .action(async (name: string, o: Common) => {
      const raw = await call(o, "DELETE", path(name));
      tell(o, raw, `${name}: removed\n`);
    });
  make("dead", "list notifications that were given up")
    .argument("<name>")
    .action(async (name: string, o: Common) => {
      for (let after = ""; ;) {
        const raw = await call(
          o,
          "GET",
          path(name, `/dead?after=${encodeURIComponent(after)}`),
        );
        const dead = raw["dead"] as Record<string, unknown>[];
        tell(
          o,
          raw,
          dead
            .map(
              (d) =>
                `${String(d["id"])}: ${String(d["status"])} at ${String(d["endedAt"])}, ${String(d["attempts"])} attempts\n`,
            )
            .join(""),
        );
        if (typeof raw["next"] !== "string") return;
        after = raw["next"];
      }
    });
}

export async function cli(argv: readonly string[]): Promise<number> {
  const program = new Command("linencove")
    .description("a cluster scheduler")
    .version(VERSION)
    .exitOverride();
  program.configureOutput({
    outputError: (text, write) =>
      write(`linencove: ${text.replace(/^error: /, "")}`),
  });
  program
    .option(
      "--config <file>",
      "run one controller with the platform's settings file (TOML)",
    )
    .option(
      "--operator <file>",
      "the operators' own settings (protobuf text format)",
      process.env["LINENCOVE_OPERATOR"],
    )
    .action(async (o: { config?: string; operator?: string }) => {
      if (o.config === undefined)
        throw new CommanderError(
          2,
          "linencove.usage",
          "error: --config FILE or a command expected; see --help",
        );
      const { settings, operator } = await loadSettings(o.config, o.operator);
      const { Daemon } = await import("../daemon/daemon.js");
      const daemon = new Daemon(settings, operator.tuning);
      if (operator.hooks || operator.metrics) {
        const { turnOn } = await import("../daemon/extensions.js");
        await turnOn(daemon, settings, operator, o.operator!, VERSION);
      }
      await daemon.run();
    });
  const client: Make = (name, what, parent = program) =>
    parent
      .command(name)
      .description(what)
      .requiredOption(
        "--server <host:port>",
        "any controller's address for clients",
        server,
      )
      .option("--json", "print the answer as JSON");
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
    .action(async (id: string, o: Common) =>
      print(o, await call(o, "GET", `/v1/jobs/${id}`)),
    );
  client("withdraw", "cancel a job")
    .argument("<id>", "the job's id", jobId)
    .action(async (id: string, o: Common) =>
      print(o, await call(o, "POST", `/v1/jobs/${id}/withdraw`, "")),
    );
  webhookCommands(program, client);
  program
    .command("check")
    .description("check both settings files")
    .argument("<config>", "the platform's file (TOML)")
    .argument("[operator]", "the operators' file (protobuf text format)")
    .option("--json", "print the settings in force as JSON")
    .action(
      async (
        config: string,
        operator: string | undefined,
        o: { json?: boolean },
      ) => {
        const {
          settings,
          operator: { tuning, hooks: webhooks, metrics },
        } = await loadSettings(config, operator);
        if (webhooks)
          (await import("../webhooks/index.js")).checkWebhookSettings(
            webhooks,
            operator!,
          );
        if (o.json)
          process.stdout.write(
            `${JSON.stringify({ label: settings.label, area: settings.area, zones: settings.zones, teams: [...settings.teams.keys()], tuning, hooks: webhooks, metrics })}\n`,
          );
        else
          process.stdout.write(
            `${config}: good: ${settings.label} in ${settings.area}, ${settings.peers.length} peers, ${settings.teams.size} teams\n${operator ? `${operator}: good\n` : ""}`,
          );
      },
    );
  try {
    await program.parseAsync([...argv], { from: "user" });
    return 0;
  } catch (e) {
    if (e instanceof CommanderError) {
      if (e.code === "linencove.usage")
        process.stderr.write(
          `linencove: ${e.message.replace(/^error: /, "")}\n`,
        );
      return e.exitCode === 0 ? 0 : 2;
    }
    process.stderr.write(
      `linencove: ${e instanceof Error ? e.message.split("\n")[0] : String(e)}\n`,
    );
    return 1;
  }
}
