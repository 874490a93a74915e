/**
 * Sends commands to workers without waiting for their next heartbeat. Keeps no state of its own: each `Worker` records whether
 * a message is in flight and which starts were sent directly.
 */

import type { Context } from "../context.js";
import type { CommandReply } from "../effects.js";
import type { Command } from "../model.js";
import type { PartitionState } from "../scheduling/partition-state.js";
import type { DeliveryTracker } from "./delivery-tracker.js";
import { attemptKey, type Worker } from "./worker-state.js";

/** A message to a worker that has not been answered yet. */
interface SentMessage {
  /** The worker's incarnation when the message was sent. */
  incarnation: number;
  /** The attempts that the message starts. */
  starts: readonly SentStart[];
}

interface SentStart {
  /** The attempt's `attemptKey`. */
  key: string;
  /** Takes the note of this message back, since it did not leave. */
  undo: () => void;
}

/** Sends commands directly to workers, with at most one message in flight per worker. */
export class CommandSender {
  constructor(
    private readonly ctx: Context,
    private readonly state: PartitionState,
    private readonly deliveries: DeliveryTracker,
    /** Returns the commands for the next message to a worker, as far as `maySend` allows them. */
    private readonly commandsFor: (
      worker: Worker,
      maySend: (command: Command) => boolean,
    ) => Command[],
  ) {}

  /** Sends each worker its pending commands in one message. What may not be sent directly waits for the next heartbeat. */
  sendUndelivered(): void {
    for (const worker of this.state.workersWithPendingCommands) {
      this.state.workersWithPendingCommands.delete(worker);
      if (!this.maySend(worker)) continue;
      const commands = this.commandsFor(worker, (command) =>
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
    const starts = commands
      .filter((command) => command.op === "start")
      .map((command) => this.noteStart(worker, command));
    const message = { incarnation: worker.incarnation, starts };
    worker.commandInFlight = true;
    this.ctx.sendCommands(
      worker.address,
      worker.commandFence.token,
      message.incarnation,
      commands,
      (reply) => this.onReply(worker, message, reply),
    );
  }

  private noteStart(worker: Worker, command: Command): SentStart {
    const key = attemptKeyOf(command);
    return { key, undo: worker.commandFence.noteSent(key, this.ctx.nowMs) };
  }

  private onReply(
    worker: Worker,
    message: SentMessage,
    reply: CommandReply,
  ): void {
    worker.commandInFlight = false;
    if (message.starts.length > 0)
      worker.delivery.lastCommandMs = this.ctx.nowMs;
    if (reply.kind === "answered") this.deliveries.noteAnswered(worker);
    if (worker.incarnation !== message.incarnation) return;
    for (const start of message.starts) noteStartReply(worker, start, reply);
  }
}

/**
 * Excludes `forget`, and starts of tasks that are to be stopped: both are sent only in answers to heartbeats, because a direct
 * message may arrive late and such an answer can't.
 */
function mayBeSentDirectly(worker: Worker, command: Command): boolean {
  if (command.op === "forget") return false;
  if (command.op !== "start") return true;
  return !worker.tasks.get(attemptKeyOf(command))?.stop;
}

const attemptKeyOf = (command: Command): string =>
  attemptKey(command.job, command.index, command.attempt);

function noteStartReply(
  worker: Worker,
  { key, undo }: SentStart,
  reply: CommandReply,
): void {
  if (reply.kind === "refused") undo();
  if (reply.kind !== "answered") return;
  if (reply.sequence === null) worker.commandFence.noteRefused(key);
  else noteStartAnswered(worker, key, reply.sequence);
}

/** The machine has carried out the start, so only statuses made after this answer show what became of the task. */
function noteStartAnswered(
  worker: Worker,
  key: string,
  sequence: number,
): void {
  worker.commandFence.noteCarriedOut(key);
  const task = worker.tasks.get(key);
  if (!task) return;
  task.startAnsweredSequence = Math.max(task.startAnsweredSequence, sequence);
}
