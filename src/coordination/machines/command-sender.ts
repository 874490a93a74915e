/**
 * Sends commands to workers without waiting for their next heartbeat. Owns no state of its own: whether a message is in
 * flight and which starts are unanswered is kept with each worker.
 */

import type { Context } from "../context.js";
import type { CommandReply } from "../effects.js";
import type { Command } from "../model.js";
import type { PartitionState } from "../scheduling/partition-state.js";
import type { DeliveryTracker } from "./delivery-tracker.js";
import { attemptKey, type Worker } from "./worker-state.js";

/** A message to a worker whose reply is awaited. */
interface SentMessage {
  /** Incarnation of the worker that it was sent to. */
  incarnation: number;
  /** Attempts that it starts. */
  startKeys: readonly string[];
}

/** Sends commands directly, at most one message to a worker at a time. */
export class CommandSender {
  constructor(
    private readonly ctx: Context,
    private readonly state: PartitionState,
    private readonly deliveries: DeliveryTracker,
    /** All commands that apply to a worker now. */
    private readonly commandsFor: (worker: Worker) => Command[],
  ) {}

  /** Sends commands that workers have not received yet, one message to each; the rest waits for their heartbeats. */
  sendUndelivered(): void {
    for (const worker of this.state.workersWithPendingCommands) {
      this.state.workersWithPendingCommands.delete(worker);
      if (!this.maySend(worker)) continue;
      const commands = this.commandsFor(worker).filter((command) =>
        mayBeSentDirectly(worker, command),
      );
      if (commands.length > 0) this.send(worker, commands);
    }
  }

  private maySend(worker: Worker): boolean {
    return (
      this.ctx.tuning.directOrders &&
      !worker.commandInFlight &&
      !worker.leaseExpired &&
      worker.delivery.unreachableSinceMs === null &&
      this.state.mayAct()
    );
  }

  private send(worker: Worker, commands: Command[]): void {
    const startKeys = commands
      .filter((command) => command.op === "start")
      .map((command) => commandKey(command));
    const message = { incarnation: worker.incarnation, startKeys };
    for (const key of startKeys) addUnansweredStart(worker, key);
    worker.commandInFlight = true;
    this.ctx.sendCommands(
      worker.address,
      this.state.token,
      message.incarnation,
      commands,
      (reply) => this.onReply(worker, message, reply),
    );
  }

  private onReply(
    worker: Worker,
    message: SentMessage,
    reply: CommandReply,
  ): void {
    worker.commandInFlight = false;
    if (message.startKeys.length > 0)
      worker.delivery.lastCommandMs = this.ctx.nowMs;
    if (reply.kind === "answered") this.deliveries.noteAnswered(worker);
    const isSettled =
      reply.kind !== "unknown" && worker.incarnation === message.incarnation;
    if (!isSettled) return;
    for (const key of message.startKeys) {
      removeUnansweredStart(worker, key);
      if (reply.kind === "answered" && reply.sequence !== null)
        noteStartAnswered(worker, key, reply.sequence);
    }
  }
}

/** Neither `forget` nor a start that is to be stopped at once: both belong in answers to heartbeats, which can't be late. */
function mayBeSentDirectly(worker: Worker, command: Command): boolean {
  if (command.op === "forget") return false;
  if (command.op !== "start") return true;
  return !worker.tasks.get(commandKey(command))?.stop;
}

const commandKey = (command: Command): string =>
  attemptKey(command.job, command.index, command.attempt);

function addUnansweredStart(worker: Worker, key: string): void {
  worker.unansweredStarts.set(key, (worker.unansweredStarts.get(key) ?? 0) + 1);
}

/** The machine has carried the start out: only statuses that it made after this answer tell what became of it. */
function noteStartAnswered(
  worker: Worker,
  key: string,
  sequence: number,
): void {
  const task = worker.tasks.get(key);
  if (!task) return;
  task.startAnsweredSequence = Math.max(task.startAnsweredSequence, sequence);
}

function removeUnansweredStart(worker: Worker, key: string): void {
  const remaining = (worker.unansweredStarts.get(key) ?? 0) - 1;
  if (remaining > 0) worker.unansweredStarts.set(key, remaining);
  else worker.unansweredStarts.delete(key);
}
