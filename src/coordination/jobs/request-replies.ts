/**
 * Replies to users' requests, implemented by the controller. Owns no state.
 */
import type { Answer } from "../effects.js";

export interface RequestReplies {
  /** Answers a request; each request is answered once. */
  answer(reqId: number, answer: Answer): void;
  /** Tells the user to repeat the request, after `afterS` seconds (one by default). */
  retryLater(reqId: number, reason: string, afterS?: number): void;
}
