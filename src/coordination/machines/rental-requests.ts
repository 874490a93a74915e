/**
 * Sends rental requests to the cloud, one at a time, and processes the replies. Owns the pending request. Granted machines are
 * added to the shared map of booting machines.
 */
import type { Context } from "../context.js";
import { CallPriority, type CloudReply } from "../effects.js";
import type { PartitionState } from "../scheduling/partition-state.js";
import type {
  BootingMachine,
  CapacityOffers,
  PlannedRental,
} from "./capacity-offers.js";

/** A rental request. Its id identifies this offer and count for good, so that the request can be retried safely. */
export interface RentalRequest extends PlannedRental {
  readonly id: string;
  isSent: boolean;
  retryAtMs: number;
}

/** PROTOCOL: maximum number of machines per request. */
const MAX_MACHINES_PER_REQUEST = 50;
/** Delay before a request without a conclusive reply is sent again. */
const RENTAL_RETRY_MS = 1_500;

/** The rental requests of one partition leader. */
export class RentalRequests {
  private pending: RentalRequest | null = null;
  private requestCount = 0;

  constructor(
    private readonly ctx: Context,
    private readonly state: PartitionState,
    private readonly offers: CapacityOffers,
    private readonly booting: Map<string, BootingMachine>,
    private readonly onAnswered: () => void,
  ) {}

  /** The request whose outcome is not known yet; null if there is none. */
  get pendingRequest(): Readonly<RentalRequest> | null {
    return this.pending;
  }

  /**
   * Sends the pending request if it is due, or takes the next one from `planned` if there is none. Rentals that are not sent yet
   * are planned again after each reply: with a low rate limit, queued requests would rent machines that are no longer needed.
   */
  sendDue(planned: PlannedRental[]): void {
    this.pending ??= this.nextRequest(planned);
    const request = this.pending;
    if (!request || request.isSent || this.ctx.nowMs < request.retryAtMs)
      return;
    request.isSent = true;
    const { id, type, zone, spot, count } = request;
    this.ctx.callCloud(
      { op: "rent", request: id, type, zone, spot, count },
      CallPriority.Leader,
      (reply) => this.onReply(request, reply),
    );
  }

  private nextRequest(planned: PlannedRental[]): RentalRequest | null {
    const rental = planned.shift();
    if (!rental) return null;
    const capped = {
      ...rental,
      count: Math.min(rental.count, MAX_MACHINES_PER_REQUEST),
    };
    // Invariant: no request id is ever used twice. The token belongs to one leader of one partition.
    const id = `${this.ctx.settings.label}-${this.state.token}-${++this.requestCount}`;
    this.ctx.log("scaling out", { rentalRequestId: id, ...capped });
    return { ...capped, id, isSent: false, retryAtMs: 0 };
  }

  private onReply(request: RentalRequest, reply: CloudReply): void {
    if (reply.kind !== "rented" && reply.kind !== "noCapacity") {
      // Retried under the same id: whether or not the first request was carried out, the cloud rents only once.
      request.isSent = false;
      request.retryAtMs = this.ctx.nowMs + RENTAL_RETRY_MS;
      return;
    }
    this.pending = null;
    const granted = reply.kind === "rented" ? reply.machines : [];
    this.noteBooting(request, granted);
    if (granted.length > 0) this.offers.noteGranted(request);
    if (granted.length < request.count)
      this.noteSoldOut(request, granted.length);
    this.onAnswered();
  }

  private noteBooting(
    request: RentalRequest,
    granted: readonly string[],
  ): void {
    const { type, zone, spot } = request;
    const rentedMs = this.ctx.nowMs;
    for (const id of granted)
      // A machine may send a heartbeat before the cloud's reply arrives.
      if (!this.state.workers.has(id))
        this.booting.set(id, { type, zone, spot, rentedMs });
  }

  private noteSoldOut(request: RentalRequest, grantedCount: number): void {
    const { type, zone, spot, count } = request;
    this.offers.noteSoldOut(request);
    this.ctx.log("cloud capacity exhausted", {
      type,
      zone,
      spot,
      requested: count,
      granted: grantedCount,
    });
  }
}
