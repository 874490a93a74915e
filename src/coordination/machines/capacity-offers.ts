/**
 * Tracks what the cloud can still provide to this partition. An offer is a machine type in a zone, spot or on-demand ("ordinary"
 * in its key). Owns what was learned from refused rentals: which offers are sold out, and how many machines of an offer there can
 * be at most.
 */
import type { Context } from "../context.js";
import type { PartitionState } from "../scheduling/partition-state.js";
import type { JobSpec, MachineType } from "../model.js";
import {
  canRunOn,
  isAllowedOn,
  isSuitable,
  offerKey,
  type FreeCapacity,
} from "../scheduling/placement.js";

/** Machines of one type in one zone, either spot or on-demand. */
export interface CapacityOffer {
  type: string;
  zone: string;
  spot: boolean;
}

/** A rented machine that has not sent a heartbeat yet. */
export interface BootingMachine extends CapacityOffer {
  /** When it was rented, on the partition leader's steady clock. */
  rentedMs: number;
}

/** Free capacity of one machine, either running, booting or planned. Planning subtracts from `free` in place. */
export interface MachineCapacity extends CapacityOffer {
  /** Whether the machine is reserved for short jobs. */
  isReserved: boolean;
  free: FreeCapacity;
}

/** Machines of one offer that a plan requests from the cloud. */
export interface PlannedRental extends CapacityOffer {
  count: number;
}

/** An offer that a job may use and that is not known to be sold out. */
export interface RentableOffer {
  machineType: MachineType;
  zone: string;
  spot: boolean;
  /** Machines that can still be rented; Infinity if the cloud's stock is unknown. */
  maxMachines: number;
}

/** The maximum number of machines of an offer that this partition can have, learned from a refused rental. */
interface OfferCeiling extends CapacityOffer {
  maxMachines: number;
  untilMs: number;
}

/** A sold-out offer is not requested again for at least this long. */
const MIN_SOLD_OUT_PAUSE_MS = 15_000;
/** A ceiling learned from a refusal expires after this time, because the cloud's stock changes. */
const CEILING_LIFETIME_MS = 300_000;
/** A sold-out offer is reported to other partitions until this long after its pause has ended. */
const SOLD_OUT_REPORT_MS = 30_000;
/** Each machine type is offered in each zone as spot and as on-demand machines. */
const OFFERS_PER_TYPE_AND_ZONE = 2;

/** Whether both are the same type in the same zone, and both spot or both on-demand. */
export const isSameOffer = (a: CapacityOffer, b: CapacityOffer): boolean =>
  a.type === b.type && a.zone === b.zone && a.spot === b.spot;

/** The catalog's entry for this type name; undefined before the catalog was read or if it lacks the type. */
export const machineTypeOf = (
  ctx: Context,
  name: string,
): MachineType | undefined =>
  ctx.catalog?.find((machineType) => machineType.name === name);

/** The offers in one partition's zones, and what refused rentals show about their remaining stock. */
export class CapacityOffers {
  private readonly soldOutUntilMs = new Map<string, number>();
  private readonly ceilings = new Map<string, OfferCeiling>();

  constructor(
    private readonly ctx: Context,
    private readonly state: PartitionState,
    private readonly booting: ReadonlyMap<string, BootingMachine>,
    private readonly zones: () => string[],
  ) {}

  /** The cloud granted machines of this offer, so a ceiling learned from an earlier refusal is out of date. */
  noteGranted({ type, zone, spot }: CapacityOffer): void {
    this.ceilings.delete(offerKey(type, zone, spot));
  }

  /**
   * The cloud had fewer machines than requested. The offer is then paused for at least the time that this partition needs to
   * request all its offers with half of its share of the cloud's rate limit, so that requests for sold-out offers do not
   * delay requests for available ones.
   */
  noteSoldOut({ type, zone, spot }: CapacityOffer): void {
    const key = offerKey(type, zone, spot);
    const { nowMs, settings, partitions, catalog } = this.ctx;
    this.ceilings.set(key, {
      type,
      zone,
      spot,
      maxMachines: this.countMachinesHeld({ type, zone, spot }),
      untilMs: nowMs + CEILING_LIFETIME_MS,
    });
    const requestsPerS = settings.cloud.rps / partitions.names.length;
    const offerCount =
      this.zones().length * (catalog?.length ?? 1) * OFFERS_PER_TYPE_AND_ZONE;
    const pauseMs = Math.max(
      MIN_SOLD_OUT_PAUSE_MS,
      (offerCount / (requestsPerS / 2)) * 1000,
    );
    this.soldOutUntilMs.set(key, nowMs + pauseMs);
  }

  /** The number of the partition's machines of an offer: those running with a valid lease and those booting. */
  private countMachinesHeld(offer: CapacityOffer): number {
    let count = 0;
    for (const worker of this.state.workers.values())
      if (
        worker.typeName === offer.type &&
        worker.zone === offer.zone &&
        worker.spot === offer.spot &&
        !worker.leaseExpired
      )
        count++;
    for (const machine of this.booting.values())
      if (isSameOffer(machine, offer)) count++;
    return count;
  }

  /** How many more machines can be rented, by offer key. Contains only offers with a ceiling. */
  remainingByOffer(): Map<string, number> {
    const remainingByKey = new Map<string, number>();
    for (const [key, ceiling] of this.ceilings) {
      if (ceiling.untilMs < this.ctx.nowMs) this.ceilings.delete(key);
      else
        remainingByKey.set(
          key,
          Math.max(0, ceiling.maxMachines - this.countMachinesHeld(ceiling)),
        );
    }
    return remainingByKey;
  }

  /** Keys of the offers that are sold out or were until `SOLD_OUT_REPORT_MS` ago. */
  recentlySoldOut(): string[] {
    const keys: string[] = [];
    for (const [key, untilMs] of this.soldOutUntilMs)
      if (untilMs + SOLD_OUT_REPORT_MS > this.ctx.nowMs) keys.push(key);
    return keys;
  }

  private isSoldOut(type: string, zone: string, spot: boolean): boolean {
    const untilMs = this.soldOutUntilMs.get(offerKey(type, zone, spot)) ?? 0;
    return untilMs > this.ctx.nowMs;
  }

  /** Whether the job may run on machines of this offer and would not waste their accelerators. */
  serves(spec: JobSpec, { type, zone, spot }: CapacityOffer): boolean {
    const machineType = machineTypeOf(this.ctx, type) ?? null;
    return (
      isAllowedOn(spec, type, zone, spot) &&
      isSuitable(spec, machineType, spot, this.ctx.catalog)
    );
  }

  /**
   * Offers in these zones that the job may use and that may have more machines than already planned. Ordered by the catalog,
   * then by zone, spot before on-demand.
   */
  *rentableOffers(
    spec: JobSpec,
    zones: readonly string[],
    remainingByKey: ReadonlyMap<string, number>,
    planned: readonly PlannedRental[],
  ): Generator<RentableOffer> {
    const { catalog } = this.ctx;
    for (const machineType of catalog ?? [])
      for (const zone of zones) {
        if (!canRunOn(spec, machineType, zone)) continue;
        for (const spot of spec.spot ? [true, false] : [false]) {
          const type = machineType.name;
          if (
            this.isSoldOut(type, zone, spot) ||
            !isSuitable(spec, machineType, spot, catalog)
          )
            continue;
          const plannedCount =
            planned.find((rental) => isSameOffer(rental, { type, zone, spot }))
              ?.count ?? 0;
          // A remainder of 0 counts as unknown (`||`): the pause after the refusal is over, so the stock may have changed.
          const maxMachines =
            (remainingByKey.get(offerKey(type, zone, spot)) || Infinity) -
            plannedCount;
          if (maxMachines > 0) yield { machineType, zone, spot, maxMachines };
        }
      }
  }
}
