/** Logs once when the cloud platform becomes unavailable, and once when it is available again. */
import type { EventLog } from "../../logging/events.js";
import { type CloudReply, OWN_RATE_LIMIT } from "../effects.js";

/** Derives the cloud platform's availability from its replies. */
export class CloudAvailabilityLog {
  private isUnavailable = false;

  constructor(private readonly log: EventLog) {}

  /** Notes a reply. A call that this controller's own rate limit rejected says nothing about the platform. */
  note(reply: CloudReply): void {
    if (reply.kind === "failed" && reply.why === OWN_RATE_LIMIT) return;
    const isUnavailable = reply.kind === "failed";
    if (isUnavailable === this.isUnavailable) return;
    this.isUnavailable = isUnavailable;
    if (reply.kind === "failed")
      this.log.log("cloud unavailable", { reason: reply.why });
    else this.log.log("cloud available again", {});
  }
}
