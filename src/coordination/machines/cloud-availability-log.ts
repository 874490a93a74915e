/** Logs when the cloud platform becomes unavailable and when it is available again, once each. */
import type { EventLog } from "../../logging/events.js";
import { type CloudReply, OWN_RATE_LIMIT } from "../effects.js";

/** Watches replies of the cloud platform for its availability. */
export class CloudAvailabilityLog {
  private isUnavailable = false;

  constructor(private readonly log: EventLog) {}

  /** Notes a reply; one that this controller's own rate limit stands in for says nothing of the platform. */
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
