/** The function by which modules of the core send requests to the state service. */
import type { StateCall, StateReply } from "../../protocol/state.js";
import type { CallPriority } from "../effects.js";

/** Receives the reply to a request and the steady time (ms) at which the request was sent. */
export type OnStoreReply = (reply: StateReply, sentMs: number) => void;

/** Sends a request to the state service; `done` is called exactly once, in a later step. */
export type CallStore = (
  call: StateCall,
  priority: CallPriority,
  done: OnStoreReply,
) => void;
