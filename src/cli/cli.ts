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

/** A request was refused or the service cannot be reached. The exit code is 1. */
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

function parseServer(text: string): { host: string; port: number } {
  const match = /^(.+):(\d{1,5})$/.exec(text);
  if (!match) throw new InvalidArgumentError("HOST:PORT expected");
  return { host: match[1]!, port: Number(match[2]) };
}
function parseJobId(text: string): string {
  if (!JOB_ID.test(text))
    throw new InvalidArgumentError("must look like req-000412");
  return text;
}

interface Options {
  server: { host: string; port: number };
  json?: boolean;
}

async function send(
  options: Options,
  method: Method,
  path: string,
  body?: string,
): Promise<Record<string, unknown>> {
  const client = new HttpClient(1, 0);
  const outcome = await client.fetch(
    options.server.host,
    options.server.port,
    method,
    path,
    body,
    6_000,
  );
  client.close();
  if (outcome.kind !== "answered")
    throw new RequestRefusedError(
      `${options.server.host}:${options.server.port}: ${outcome.reason}`,
    );
  const reply = (parseJson(outcome.body) ?? {}) as Record<string, unknown>;
  if (outcome.status !== 200 && outcome.status !== 201)
    throw new RequestRefusedError(
      `${outcome.status}: ${typeof reply["error"] === "string" ? reply["error"] : "refused"}${outcome.status === 503 ? " (try again in a moment)" : ""}`,
    );
  return reply;
}

function printJob(opts: Options, reply: Record<string, unknown>): void {
  if (opts.json) return void process.stdout.write(`${JSON.stringify(reply)}\n`);
  const counts =
    typeof reply["done"] === "number"
      ? `, ${reply["done"]} done, ${String(reply["running"])} running`
      : "";
  const awaits =
    Array.isArray(reply["awaits"]) && reply["awaits"].length > 0
      ? `, waits for ${reply["awaits"].join(", ")}`
      : "";
  process.stdout.write(
    `${String(reply["id"])}: ${String(reply["status"])}${counts}${awaits}\n`,
  );
}

type CreateCommand = (
  name: string,
  description: string,
  parent?: Command,
) => Command;
interface WebhookOptions extends Options {
  url?: string;
  team?: string[];
  class?: string[];
  outcome?: string[];
  key?: string[];
  ordered?: boolean;
  ask?: boolean;
}
function addWebhookCommands(program: Command, client: CreateCommand): void {
  const hook = program
    .command("hook")
    .description("notifications of jobs' ends");
  const command = (name: string, description: string): Command =>
    client(name, description, hook);
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
  const withOptions = (c: Command): Command =>
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
  const format = (subscription: Record<string, unknown>): string => {
    const listOrAll = (x: unknown): string =>
      Array.isArray(x) ? x.join(",") : "all";
    const flags = `${subscription["ordered"] ? ", ordered" : ""}${subscription["ask"] ? ", asks" : ""}`;
    return `${String(subscription["name"])}: ${String(subscription["state"])}, ${String(subscription["url"])}, teams ${listOrAll(subscription["crews"])}, classes ${listOrAll(subscription["jobclasses"])}, ${listOrAll(subscription["outcomes"])}, keys ${listOrAll(subscription["keys"])}${flags}\n`;
  };
  const print = (o: Options, r: Record<string, unknown>, text: string): void =>
    void process.stdout.write(o.json ? `${JSON.stringify(r)}\n` : text);
  withOptions(
    command("add", "have the ends of jobs told to a URL")
      .argument("<name>")
      .argument("<url>"),
  ).action(async (name: string, url: string, o: WebhookOptions) => {
    const reply = await send(
      o,
      "POST",
      "/v1/hooks",
      JSON.stringify({ name, ...fields({ ...o, url }) }),
    );
    print(o, reply, format(reply));
  });
  withOptions(
    command("change", "change what is named, and nothing else")
      .argument("<name>")
      .option("--url <url>"),
  ).action(async (name: string, o: WebhookOptions) => {
    const reply = await send(o, "PATCH", path(name), JSON.stringify(fields(o)));
    print(o, reply, format(reply));
  });
  command("list", "show all hooks").action(async (o: Options) => {
    const reply = await send(o, "GET", "/v1/hooks");
    print(
      o,
      reply,
      (reply["hooks"] as Record<string, unknown>[]).map(format).join(""),
    );
  });
  command(
    "show",
    "show a hook and, at the controller that sends for it, how far it is",
  )
    .argument("<name>")
    .action(async (name: string, o: Options) => {
      const reply = await send(o, "GET", path(name));
      print(
        o,
        reply,
        format(reply) +
          (reply["sending"] ? `  ${JSON.stringify(reply["sending"])}\n` : ""),
      );
    });
  for (const [action, description] of [
    ["pause", "send nothing for now; what ends is kept"],
    ["resume", "send again, also after the receiver answered 410"],
    ["test", "send a test notification"],
    ["redrive", "send all dead letters again"],
  ] as const)
    command(action, description)
      .argument("<name>")
      .action(async (name: string, o: Options) => {
        const reply = await send(o, "POST", path(name, `/${action}`), "");
        print(o, reply, format(reply));
      });
  command("remove", "remove a hook and all that waits for it")
    .argument("<name>")
    .action(async (name: string, o: Options) => {
      const reply = await send(o, "DELETE", path(name));
      print(o, reply, `${name}: removed\n`);
    });
  command("dead", "list notifications that were given up")
    .argument("<name>")
    .action(async (name: string, o: Options) => {
      for (let after = ""; ;) {
        const reply = await send(
          o,
          "GET",
          path(name, `/dead?after=${encodeURIComponent(after)}`),
        );
        const dead = reply["dead"] as Record<string, unknown>[];
        print(
          o,
          reply,
          dead
            .map(
              (notification) =>
                `${String(notification["id"])}: ${String(notification["status"])} at ${String(notification["endedAt"])}, ${String(notification["attempts"])} attempts\n`,
            )
            .join(""),
        );
        if (typeof reply["next"] !== "string") return;
        after = reply["next"];
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
    .action(async (options: { config?: string; operator?: string }) => {
      if (options.config === undefined)
        throw new CommanderError(
          2,
          "linencove.usage",
          "error: --config FILE or a command expected; see --help",
        );
      const { settings, operator } = await loadSettings(
        options.config,
        options.operator,
      );
      const { Daemon } = await import("../daemon/daemon.js");
      const daemon = new Daemon(settings, operator.tuning);
      if (operator.hooks || operator.metrics) {
        const { addExtensions } = await import("../daemon/extensions.js");
        await addExtensions(
          daemon,
          settings,
          operator,
          options.operator!,
          VERSION,
        );
      }
      await daemon.run();
    });
  const client: CreateCommand = (name, description, parent = program) =>
    parent
      .command(name)
      .description(description)
      .requiredOption(
        "--server <host:port>",
        "any controller's address for clients",
        parseServer,
      )
      .option("--json", "print the answer as JSON");
  client("submit", "submit a job described in JSON")
    .argument("<file>", "the job's file; - for standard input")
    .action(async (file: string, opts: Options) => {
      const text = readText(file);
      const job = parseJob(text);
      if (!job.ok) throw new SettingsError(`${file}: ${job.error}`);
      printJob(opts, await send(opts, "POST", "/v1/jobs", text));
    });
  client("show", "show a job's state")
    .argument("<id>", "the job's id", parseJobId)
    .action(async (id: string, opts: Options) =>
      printJob(opts, await send(opts, "GET", `/v1/jobs/${id}`)),
    );
  client("withdraw", "cancel a job")
    .argument("<id>", "the job's id", parseJobId)
    .action(async (id: string, opts: Options) =>
      printJob(opts, await send(opts, "POST", `/v1/jobs/${id}/withdraw`, "")),
    );
  addWebhookCommands(program, client);
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
        opts: { json?: boolean },
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
        if (opts.json)
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
