/**
 * Calls to the store, the cloud and workers whose replies have not come yet. Owns the numbering of calls: each goes out as an effect
 * with its number, and the input with the same number brings its reply.
 */
import type { StateReply } from "../protocol/state.js";
import type {
  CallPriority,
  CloudCall,
  CloudReply,
  CommandReply,
  Effect,
} from "./effects.js";
import type { Command, Heartbeat } from "./model.js";
import type { CallStore, OnStoreReply } from "./store/call-store.js";

/** Commands for one incarnation of a worker, under the fencing token of its leader. */
export interface CommandBatch {
  address: string;
  token: number;
  incarnation: number;
  commands: Command[];
}

/** Takes out the callback of a call: its reply counts once. */
function take<Callback>(
  callbacks: Map<number, Callback>,
  callId: number,
): Callback | undefined {
  const callback = callbacks.get(callId);
  callbacks.delete(callId);
  return callback;
}

/** Sends calls as effects, and passes each reply to whoever made the call. */
export class PendingCalls {
  private lastCallId = 0;
  private readonly storeCalls = new Map<number, OnStoreReply>();
  private readonly cloudCalls = new Map<number, (reply: CloudReply) => void>();
  private readonly commandCalls = new Map<
    number,
    (reply: CommandReply) => void
  >();
  private readonly inspections = new Map<
    number,
    (heartbeat: Heartbeat | null) => void
  >();

  constructor(private readonly emit: (effect: Effect) => void) {}

  /** Calls to the store that wait for their replies. */
  get storeCallCount(): number {
    return this.storeCalls.size;
  }

  /** Calls the store; bound, since it is passed on as a port. */
  readonly callStore: CallStore = (call, priority, done) => {
    const op = ++this.lastCallId;
    this.storeCalls.set(op, done);
    this.emit({ type: "storeCall", callId: op, call, priority });
  };

  /** Calls the cloud platform. */
  callCloud(
    call: CloudCall,
    priority: CallPriority,
    done: (reply: CloudReply) => void,
  ): void {
    const op = ++this.lastCallId;
    this.cloudCalls.set(op, done);
    this.emit({ type: "cloudCall", callId: op, call, priority });
  }

  /** Sends commands to a worker. */
  sendCommands(batch: CommandBatch, done: (reply: CommandReply) => void): void {
    const op = ++this.lastCallId;
    this.commandCalls.set(op, done);
    this.emit({ type: "workerCommand", callId: op, ...batch });
  }

  /** Asks a machine for its heartbeat; null: none came. */
  inspect(address: string, done: (heartbeat: Heartbeat | null) => void): void {
    const op = ++this.lastCallId;
    this.inspections.set(op, done);
    this.emit({ type: "inspect", callId: op, address });
  }

  /** A reply to a call that nobody waits for is ignored, here and below. */
  onStoreReply(op: number, reply: StateReply, sentMs: number): void {
    take(this.storeCalls, op)?.(reply, sentMs);
  }

  onCloudReply(op: number, reply: CloudReply): void {
    take(this.cloudCalls, op)?.(reply);
  }

  onCommandReply(op: number, reply: CommandReply): void {
    take(this.commandCalls, op)?.(reply);
  }

  onInspectReply(op: number, heartbeat: Heartbeat | null): void {
    take(this.inspections, op)?.(heartbeat);
  }
}
