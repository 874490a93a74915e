/**
 * Calls to the store, the cloud and workers that wait for their replies. Owns the call ids: each call is emitted as an effect with its
 * id, and its reply is the input with the same id.
 */
import type { StateReply } from "../protocol/state.js";
import type {
  CallPriority,
  CloudCall,
  CloudReply,
  CommandReply,
  Effect,
  TokenMessage,
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

/** Removes and returns the callback of a call, so that only its first reply counts. */
function take<Callback>(
  callbacks: Map<number, Callback>,
  callId: number,
): Callback | undefined {
  const callback = callbacks.get(callId);
  callbacks.delete(callId);
  return callback;
}

/** Emits calls as effects, and passes each reply to the callback of its call. */
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

  /** Number of calls to the store that wait for their replies. */
  get storeCallCount(): number {
    return this.storeCalls.size;
  }

  /** Calls the store. An arrow function, since it is passed to other parts as a port. */
  readonly callStore: CallStore = (call, priority, done) => {
    const callId = ++this.lastCallId;
    this.storeCalls.set(callId, done);
    this.emit({ type: "storeCall", callId, call, priority });
  };

  /** Calls the cloud platform. */
  callCloud(
    call: CloudCall,
    priority: CallPriority,
    done: (reply: CloudReply) => void,
  ): void {
    const callId = ++this.lastCallId;
    this.cloudCalls.set(callId, done);
    this.emit({ type: "cloudCall", callId, call, priority });
  }

  /** Sends commands to a worker. */
  sendCommands(batch: CommandBatch, done: (reply: CommandReply) => void): void {
    const callId = ++this.lastCallId;
    this.commandCalls.set(callId, done);
    this.emit({ type: "workerCommand", callId, ...batch });
  }

  /** Requests a heartbeat from a machine, with `fence` after it has seen that token; null if there was no reply. */
  inspect(
    address: string,
    done: (heartbeat: Heartbeat | null) => void,
    fence?: TokenMessage,
  ): void {
    const callId = ++this.lastCallId;
    this.inspections.set(callId, done);
    this.emit({
      type: "inspect",
      callId,
      address,
      ...(fence ? { fence } : {}),
    });
  }

  /** This and the methods below ignore replies without a pending call. */
  onStoreReply(callId: number, reply: StateReply, sentMs: number): void {
    take(this.storeCalls, callId)?.(reply, sentMs);
  }

  onCloudReply(callId: number, reply: CloudReply): void {
    take(this.cloudCalls, callId)?.(reply);
  }

  onCommandReply(callId: number, reply: CommandReply): void {
    take(this.commandCalls, callId)?.(reply);
  }

  onInspectReply(callId: number, heartbeat: Heartbeat | null): void {
    take(this.inspections, callId)?.(heartbeat);
  }
}
