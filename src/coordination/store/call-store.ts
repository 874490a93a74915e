/** How the modules of the core send requests to the state service. */
import type { StateCall, StateReply } from "../../protocol/state.js";
import type { CallPriority } from "../effects.js";

/** Takes the answer to a request, and when that was sent (steady time, ms). */
export type OnStoreReply = (reply: StateReply, sentMs: number) => void;

/** Sends a request to the state service; `done` is called once, in a later step. */
export type CallStore = (
  call: StateCall,
  priority: CallPriority,
  done: OnStoreReply,
) => void;
