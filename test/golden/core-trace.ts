import { createHash, type Hash } from "node:crypto";
import { pathToFileURL } from "node:url";
import { DEFAULTS } from "../../src/config/operator.js";
import type {
  Answer,
  CloudCall,
  CloudReply,
  CommandReply,
  Effect,
  Input,
} from "../../src/coordination/effects.js";
import type {
  JobSpec,
  Heartbeat,
  Tuning,
} from "../../src/coordination/model.js";
import { listPath, rentBody, returnBody } from "../../src/protocol/cloud.js";
import { jobBody } from "../../src/protocol/jobs.js";
import {
  type StateCall,
  type StateReply,
  stateRequest,
} from "../../src/protocol/state.js";
import {
  heartbeatAnswerBody,
  commandBody,
  redirectBody,
} from "../../src/protocol/workers.js";
import {
  largeJob,
  pipelines,
  randomJob,
  injectFaults,
  submitWorkload,
} from "../simulation/workloads.js";
import { World } from "../simulation/world.js";

/**
 * Recorded runs of the core: all inputs and effects of the controllers in a seeded run of the simulation, in the form that they have on
 * the wire, as one hash. The hash does not depend on internal names of fields, so it changes with the behaviour but not with a rename.
 * To print the current hashes: node target/test-build/test/golden/core-trace.js
 */
export const TRACE_RUNS: readonly TraceRun[] = [
  { name: "usual jobs", seed: 20, drawJob: randomJob, tuning: {}, capacity: 3 },
  { name: "large gangs", seed: 7, drawJob: largeJob, tuning: {}, capacity: 1 },
  {
    name: "divided limits, webhooks",
    seed: 92,
    drawJob: randomJob,
    tuning: { dividedLimits: true, tellEnds: true },
    capacity: 1,
  },
];

/** One of the recorded runs. */
export interface TraceRun {
  name: string;
  seed: number;
  /** Draws the job with this index. */
  drawJob: (world: World, index: number) => JobSpec;
  tuning: Partial<Tuning>;
  /** Number of machines that the cloud has of each offer. */
  capacity: number;
}

const RUN_MS = 55_000;
const FAULTS_END_MS = 50_000;
const SILENT_RETURN_S = 20;

/** Result of a recorded run. */
export interface CoreTrace {
  sha256: string;
  /** How often each of the operations that the run has to cover occurred. */
  coverage: string;
  /** Paths of the fields in the values that were written to the state service, by kind of key. */
  storedFields: Map<string, Set<string>>;
}

/** One recorded line: plain values in a fixed order. */
type Line = readonly unknown[];

/** Job kinds by their names on the wire. */
const WIRE_KINDS: Record<JobSpec["kind"], string> = {
  array: "batch",
  gang: "ensemble",
  service: "daemon",
};

const jobLine = (spec: JobSpec): Line => [
  spec.id,
  spec.jobClass,
  spec.team,
  WIRE_KINDS[spec.kind],
  spec.priority,
  spec.tasks,
  spec.cpus,
  spec.gpus,
  spec.memGb,
  spec.image,
  spec.imageGb,
  spec.machineTypes,
  spec.zone,
  spec.samePlace,
  spec.spread,
  spec.spot,
  spec.estimateS,
  spec.checkpointS,
  spec.saveS,
  spec.deadlineS,
];

const heartbeatLine = (heartbeat: Heartbeat): Line => [
  heartbeat.worker,
  heartbeat.address,
  heartbeat.type,
  heartbeat.zone,
  heartbeat.spot,
  heartbeat.incarnation,
  heartbeat.sequence,
  heartbeat.token,
  heartbeat.noticeS,
  heartbeat.tasks.map((task) => [
    task.job,
    task.index,
    task.attempt,
    task.state,
    task.cause,
    task.checkpointed,
  ]),
];

function stateReplyLine(reply: StateReply): Line {
  switch (reply.is) {
    case "item":
      return [
        "value",
        reply.item && [reply.item.key, reply.item.value, reply.item.version],
      ];
    case "items":
      return [
        "values",
        reply.epoch,
        reply.more,
        reply.items.map((item) => [item.key, item.value, item.version]),
      ];
    case "committed":
      return ["committed", reply.epoch];
    case "hold":
      return ["session", reply.hold];
    case "changes":
      return [
        "log",
        reply.epoch,
        reply.changes.map((change) => [
          change.op === "put" ? "put" : "delete",
          change.key,
          change.op === "put" ? change.value : null,
          change.version,
        ]),
      ];
    case "refused":
      return ["refused", reply.why];
    case "unknown":
      return ["unknown", reply.why];
    case "conflict":
      return ["conflict"];
    case "touched":
      return ["touched"];
    case "gone":
      return ["gone"];
  }
}

function cloudReplyLine(reply: CloudReply): Line {
  switch (reply.kind) {
    case "catalog":
      return [
        "catalog",
        reply.types.map((type) => [
          type.name,
          type.cpus,
          type.gpus,
          type.memGb,
          type.cacheGb,
          type.fetchGbPerS,
          type.price,
          type.spotPrice,
          type.bootS,
          type.zones,
        ]),
      ];
    case "rented":
      return ["rented", reply.machines];
    case "list":
      return [
        "list",
        reply.more,
        reply.machines.map((machine) => [
          machine.id,
          machine.address,
          machine.type,
          machine.zone,
          machine.spot,
          machine.state,
          machine.ageS,
        ]),
      ];
    case "failed":
      return ["failed", reply.why];
    case "noCapacity":
      return ["sold out"];
    case "returned":
      return ["returned"];
  }
}

function commandReplyLine(reply: CommandReply): Line {
  switch (reply.kind) {
    case "answered":
      return ["answered", reply.status];
    case "refused":
      return ["refused"];
    case "unknown":
      return ["unknown"];
  }
}

function inputLine(input: Input): Line {
  switch (input.type) {
    case "submit":
      return [
        "submit",
        input.reqId,
        jobLine(input.spec),
        input.dependsOn ?? [],
      ];
    case "status":
      return ["status", input.reqId, input.id];
    case "cancel":
      return ["withdraw", input.reqId, input.id];
    case "heartbeat":
      return [
        "report",
        input.reqId,
        input.relayed,
        heartbeatLine(input.heartbeat),
      ];
    case "leaderUnreachable":
      return ["not relayed", input.zone];
    case "peers":
      return ["peers", input.up];
    case "storeReply":
      return ["state", input.callId, input.sentMs, stateReplyLine(input.reply)];
    case "cloudReply":
      return ["cloud", input.callId, cloudReplyLine(input.reply)];
    case "commandReply":
      return ["command", input.callId, commandReplyLine(input.reply)];
    case "inspectReply":
      return [
        "inspected",
        input.callId,
        input.heartbeat && heartbeatLine(input.heartbeat),
      ];
    case "memory":
      return ["memory", input.short];
    case "tick":
      return ["tick"];
    case "wake":
      return ["wake"];
  }
}

function answerLine(answer: Answer): Line {
  switch (answer.kind) {
    case "job": {
      const counts =
        answer.done === undefined
          ? undefined
          : { done: answer.done, running: answer.running ?? 0 };
      const body = jobBody(answer.id, answer.state, counts, answer.dependsOn);
      return [answer.status, body];
    }
    case "cannotRun":
      return [422, answer.error];
    case "recordTooLarge":
      return [400, answer.error];
    case "unknownJob":
      return [404];
    case "retryLater":
      return [503, answer.afterS, answer.reason];
    case "commands":
      return [200, heartbeatAnswerBody(answer.token, answer.commands)];
    case "redirect":
      return [421, redirectBody(answer.leader)];
    case "relay":
      return ["relay", answer.leader];
  }
}

const stateCallLine = (call: StateCall): Line => {
  const request = stateRequest(call);
  return [request.method, request.path, request.body ?? null];
};

function cloudCallLine(call: CloudCall): Line {
  switch (call.op) {
    case "catalog":
      return ["/catalog"];
    case "rent":
      return [
        "/hosts",
        rentBody(call.request, call.type, call.zone, call.spot, call.count),
      ];
    case "return":
      return ["/hosts/return", returnBody(call.machines)];
    case "list":
      return [listPath(call.after)];
  }
}

/** null if effects of this type are not recorded. */
function effectLine(effect: Effect): Line | null {
  switch (effect.type) {
    case "answer":
      return ["answer", effect.reqId, answerLine(effect.answer)];
    case "storeCall":
      return [
        "state",
        effect.callId,
        effect.priority,
        stateCallLine(effect.call),
      ];
    case "cloudCall":
      return [
        "cloud",
        effect.callId,
        effect.priority,
        cloudCallLine(effect.call),
      ];
    case "workerCommand":
      return [
        "command",
        effect.callId,
        effect.address,
        commandBody(effect.token, effect.incarnation, effect.commands),
      ];
    case "inspect":
      return effect.fence
        ? ["inspect", effect.callId, effect.address, effect.fence]
        : ["inspect", effect.callId, effect.address];
    case "storeChanges":
      return ["seen", effect.from, effect.to, effect.changes.length];
    case "wake":
      return ["wake", effect.afterMs];
    case "log":
      return null;
  }
}

const DATA_ID = /^(req|n|node)-/;

/** Adds the paths of all fields of a value to `paths`; `*` replaces field names that are data. */
function fieldPaths(value: unknown, path: string, paths: Set<string>): void {
  if (Array.isArray(value)) {
    for (const member of value) fieldPaths(member, `${path}[]`, paths);
    return;
  }
  if (typeof value !== "object" || value === null) return;
  for (const [field, member] of Object.entries(value)) {
    const isData = DATA_ID.test(field) || DATA_NAMES.has(field);
    const memberPath = `${path}.${isData ? "*" : field}`;
    paths.add(memberPath);
    fieldPaths(member, memberPath, paths);
  }
}
/** Teams and partitions of the simulation, which are field names in some values. */
const DATA_NAMES = new Set(["red", "blue", "east", "mid", "west", "attic"]);

/** Counts the operations that a run has to cover, and collects the fields that it stored. */
class Coverage {
  private readonly counts = new Map<string, number>();
  readonly storedFields = new Map<string, Set<string>>();

  count(subject: string): void {
    this.counts.set(subject, (this.counts.get(subject) ?? 0) + 1);
  }
  input(input: Input): void {
    if (input.type === "cancel") this.count("cancellations");
    if (input.type === "submit" && (input.dependsOn ?? []).length > 0)
      this.count("submissions that name other jobs");
  }
  effect(effect: Effect): void {
    if (effect.type !== "storeCall" || effect.call.op !== "commit") return;
    this.count("commits");
    for (const write of effect.call.writes) {
      const kind = write.key.split("/").slice(0, 3).join("/");
      const keyKind = kind.startsWith("lc/past/") ? "lc/past" : kind;
      this.count(`${write.op === "put" ? "put" : "delete"} ${keyKind}`);
      if (write.op === "put") this.addStoredFields(keyKind, write.value);
    }
  }
  private addStoredFields(keyKind: string, value: unknown): void {
    const found = this.storedFields.get(keyKind) ?? new Set<string>();
    this.storedFields.set(keyKind, found);
    fieldPaths(value, "", found);
  }
  toString(): string {
    return [...this.counts]
      .sort(([left], [right]) => (left < right ? -1 : 1))
      .map(([what, count]) => `${what}: ${count}`)
      .join("\n");
  }
}

function record(hash: Hash, world: World, name: string, line: Line): void {
  hash.update(`${world.now} ${name} ${JSON.stringify(line)}\n`);
}

/** Records one seeded run. */
export function recordCoreTrace(run: TraceRun): CoreTrace {
  const world = new World(run.seed, {
    ...DEFAULTS,
    silentReturnS: SILENT_RETURN_S,
    ...run.tuning,
  });
  world.capacity = run.capacity;
  const hash = createHash("sha256");
  const coverage = new Coverage();
  world.onStep = (name, input, effects) => {
    coverage.input(input);
    record(hash, world, name, ["in", ...inputLine(input)]);
    for (const effect of effects) {
      coverage.effect(effect);
      const line = effectLine(effect);
      if (line) record(hash, world, name, ["out", ...line]);
    }
  };
  for (const zone of world.zones)
    world.cloud.add(world.types[0]!, zone, false, 0);
  submitWorkload(world, FAULTS_END_MS, run.drawJob);
  pipelines(world, 5_000, FAULTS_END_MS);
  injectFaults(world, FAULTS_END_MS);
  // In addition to the injected faults, one failover at a fixed time.
  world.at(30_000, () => world.crash("node-a"));
  world.at(42_000, () => world.nodes.get("node-a") ?? world.boot("node-a"));
  world.run(RUN_MS);
  for (const violation of world.checker.brokenRules)
    coverage.count(`broken rule ${JSON.stringify(violation)}`);
  return {
    sha256: hash.digest("hex"),
    coverage: coverage.toString(),
    storedFields: coverage.storedFields,
  };
}

/** The stored fields of several runs, with one line for each kind of key. */
export function describeStoredFields(traces: readonly CoreTrace[]): string {
  const all = new Map<string, Set<string>>();
  for (const { storedFields } of traces)
    for (const [keyKind, fields] of storedFields) {
      const collected = all.get(keyKind) ?? new Set<string>();
      for (const field of fields) collected.add(field);
      all.set(keyKind, collected);
    }
  return [...all]
    .map(([keyKind, fields]) => `${keyKind} ${[...fields].sort().join(" ")}`)
    .sort()
    .join("\n");
}

function main(): void {
  const traces = TRACE_RUNS.map(recordCoreTrace);
  for (const [index, trace] of traces.entries())
    console.log(
      `${TRACE_RUNS[index]!.name}: ${trace.sha256}\n${trace.coverage}`,
    );
  console.log(describeStoredFields(traces));
}

if (import.meta.url === pathToFileURL(process.argv[1] ?? "").href) main();
