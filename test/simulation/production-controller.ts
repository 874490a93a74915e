import type {
  Answer,
  CloudReply,
  Effect,
  Input,
} from "../../src/coordination/effects.js";
import type { Heartbeat, JobSpec } from "../../src/coordination/model.js";
import type { RegistryEntry } from "../../src/storage/records.js";
import type { Settings } from "../../src/config/settings.js";
import { Controller } from "../production/coordination/controller.js";
import type * as production from "../production/coordination/effects.js";
import type * as productionModel from "../production/coordination/model.js";
import type { RosterEntry } from "../production/storage/records.js";

/**
 * Lets the simulation drive a controller of the production version: translates inputs and effects between the names of the
 * present core and those of the production core. Only names differ.
 */
export class ProductionController {
  private readonly core: Controller;

  constructor(
    settings: Settings,
    tuning: productionModel.Tuning,
    nowMs: number,
    wallMs: number,
  ) {
    this.core = new Controller(settings, tuning, nowMs, wallMs);
  }

  step(input: Input, nowMs: number, wallMs: number): Effect[] {
    const translated = productionInput(input);
    return this.core.step(translated, nowMs, wallMs).map(presentEffect);
  }

  get ready(): boolean {
    return this.core.ready;
  }
  get partitions(): { partitionOf(zone: string): string } {
    return { partitionOf: (zone) => this.core.groups.of(zone) };
  }
  get leaders(): Controller["masters"] {
    return this.core.masters;
  }
  get cache(): Controller["mirror"] {
    return this.core.mirror;
  }
}

const PRODUCTION_KINDS = {
  array: "batch",
  gang: "ensemble",
  service: "daemon",
} as const;

/** A job spec under the field names of the production version. */
export function productionSpec(spec: JobSpec): productionModel.JobSpec {
  const { jobClass, kind, priority, machineTypes, ...same } = spec;
  return {
    ...same,
    class: jobClass,
    shape: PRODUCTION_KINDS[kind],
    urgency: priority,
    types: machineTypes,
  };
}

/** The machines of a registry record under the field names of the production version. */
export function productionRoster(
  machines: ReadonlyMap<string, RegistryEntry>,
): Map<string, RosterEntry> {
  return new Map(
    [...machines].map(([id, { isReturning, type }]) => [
      id,
      { going: isReturning, type },
    ]),
  );
}

function productionReport(heartbeat: Heartbeat): productionModel.Report {
  const { incarnation, sequence, tasks, ...same } = heartbeat;
  return {
    ...same,
    session: incarnation,
    tally: sequence,
    tasks: tasks.map(({ checkpointed, ...task }) => ({
      ...task,
      saved: checkpointed,
    })),
  };
}

function productionCloudReply(reply: CloudReply): production.CloudReply {
  const { kind, ...rest } = reply;
  return { is: kind, ...rest } as production.CloudReply;
}

function productionInput(input: Input): production.Input {
  switch (input.type) {
    case "submit":
      return {
        is: "submit",
        req: input.reqId,
        spec: productionSpec(input.spec),
        ...(input.dependsOn ? { awaits: input.dependsOn } : {}),
      };
    case "status":
      return { is: "status", req: input.reqId, id: input.id };
    case "cancel":
      return { is: "withdraw", req: input.reqId, id: input.id };
    case "heartbeat":
      return {
        is: "report",
        req: input.reqId,
        report: productionReport(input.heartbeat),
        relayed: input.relayed,
      };
    case "leaderUnreachable":
      return { is: "unserved", zone: input.zone };
    case "storeReply":
      return {
        is: "state",
        op: input.callId,
        reply: input.reply,
        sentMs: input.sentMs,
      };
    case "cloudReply":
      return {
        is: "cloud",
        op: input.callId,
        reply: productionCloudReply(input.reply),
      };
    case "commandReply": {
      const { kind, ...rest } = input.reply;
      return {
        is: "command",
        op: input.callId,
        reply: { is: kind, ...rest } as production.CommandReply,
      };
    }
    default: {
      const { type, ...rest } = input;
      return { is: type, ...rest } as production.Input;
    }
  }
}

function presentAnswer(answer: production.Answer): Answer {
  switch (answer.is) {
    case "never":
      return { kind: "cannotRun", error: answer.error };
    case "later":
      return { kind: "retryLater", afterS: answer.afterS, reason: answer.why };
    case "orders":
      return {
        kind: "commands",
        token: answer.token,
        commands: answer.orders,
      };
    case "elsewhere":
      return { kind: "redirect", leader: answer.master };
    case "relay":
      return { kind: "relay", leader: answer.master };
    case "unknownJob":
      return { kind: "unknownJob" };
    case "job": {
      const { is: kind, ...rest } = answer;
      return { kind, ...rest };
    }
  }
}

function presentEffect(effect: production.Effect): Effect {
  switch (effect.do) {
    case "answer":
      return {
        type: "answer",
        reqId: effect.req,
        answer: presentAnswer(effect.answer),
      };
    case "command":
      return {
        type: "workerCommand",
        callId: effect.op,
        address: effect.address,
        token: effect.token,
        incarnation: effect.session,
        commands: effect.orders,
      };
    case "state":
      return {
        type: "storeCall",
        callId: effect.op,
        call: effect.call,
        priority: effect.urgent as number,
      };
    case "cloud":
      return {
        type: "cloudCall",
        callId: effect.op,
        call: effect.call,
        priority: effect.urgent as number,
      };
    case "log": {
      // The log events of the production version have other texts and fields.
      const { level, msg, fields } = effect;
      return { type: "log", level, msg, fields } as unknown as Effect;
    }
  }
}
