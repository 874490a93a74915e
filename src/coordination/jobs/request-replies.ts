/**
 * How the handlers of users' requests reply. Owns no state: the controller provides the functions.
 */
import type { Answer } from "../effects.js";

export interface RequestReplies {
  /** Answers a request; each request is answered once. */
  answer(request: number, answer: Answer): void;
  /** Tells the user to repeat the request, after `afterS` seconds (one by default). */
  retryLater(request: number, why: string, afterS?: number): void;
}
