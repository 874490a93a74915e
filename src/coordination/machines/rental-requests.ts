/**
 * Sends rental requests to the cloud, one at a time, and takes in the answers. Owns the request that is under way; machines
 * that it granted go to the map of booting machines.
 */
import type { Context } from "../context.js";
import { CallPriority, type CloudReply } from "../effects.js";
import type { PartitionState } from "../scheduling/partition-state.js";
import type {
  BootingMachine,
  CapacityOffers,
  PlannedRental,
} from "./capacity-offers.js";

/** A request that was sent at least once: its id stands for this offer and count from then on. */
export interface RentalRequest extends PlannedRental {
  readonly id: string;
  sent: boolean;
  retryMs: number;
}

/** PROTOCOL: most machines of one request. */
const MAX_MACHINES_PER_REQUEST = 50;
/** A request without a clear answer is sent again after this time. */
const RENTAL_RETRY_MS = 1_500;

/** The rental requests of one partition leader. */
export class RentalRequests {
  private pending: RentalRequest | null = null;
  private requestCount = 0;

  constructor(
    private readonly context: Context,
    private readonly state: PartitionState,
    private readonly offers: CapacityOffers,
    private readonly booting: Map<string, BootingMachine>,
    private readonly onAnswered: () => void,
  ) {}

  /** The request whose answer is not known yet. */
  get underWay(): Readonly<RentalRequest> | null {
    return this.pending;
  }

  /**
   * Sends what is due, taking from `planned` when no request is under way. What is not sent yet is planned anew once the
   * answer is known: with a small rate limit, requests that wait in line ask for what is not needed any more.
   */
  send(planned: PlannedRental[]): void {
    this.pending ??= this.nextRequest(planned);
    const request = this.pending;
    if (!request || request.sent || this.context.nowMs < request.retryMs)
      return;
    request.sent = true;
    const { id, type, zone, spot, count } = request;
    this.context.callCloud(
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
    // Invariant: a request id is never used again by anyone. The token belongs to one leader of one partition.
    const id = `${this.context.settings.label}-${this.state.token}-${++this.requestCount}`;
    this.context.log("scaling out", { rentalRequestId: id, ...capped });
    return { ...capped, id, sent: false, retryMs: 0 };
  }

  private onReply(request: RentalRequest, reply: CloudReply): void {
    if (reply.kind !== "rented" && reply.kind !== "noCapacity") {
      // Sent again under the same id: whatever became of the request, the cloud rents once.
      request.sent = false;
      request.retryMs = this.context.nowMs + RENTAL_RETRY_MS;
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
    const rentedMs = this.context.nowMs;
    for (const id of granted)
      // A machine may report before the cloud's answer arrives.
      if (!this.state.workers.has(id))
        this.booting.set(id, { type, zone, spot, rentedMs });
  }

  private noteSoldOut(request: RentalRequest, granted: number): void {
    const { type, zone, spot, count } = request;
    this.offers.noteSoldOut(request);
    this.context.log("cloud capacity exhausted", {
      type,
      zone,
      spot,
      requested: count,
      granted,
    });
  }
}
