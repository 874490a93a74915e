/**
 * What the cloud may still have for this partition: offers (a machine type in a zone, spot or ordinary), which of them are
 * sold out, and how many machines a refused rental says there can be at most. Owns the memory of refusals.
 */
import type { Context } from "../context.js";
import type { PartitionState } from "../scheduling/partition-state.js";
import type { JobSpec, MachineType } from "../model.js";
import {
  canRunOn,
  isAllowedOn,
  isSuitable,
  offerKey,
  type Resources,
} from "../scheduling/placement.js";

/** Machines of a type in a zone, spot or ordinary. */
export interface CapacityOffer {
  type: string;
  zone: string;
  spot: boolean;
}

/** A machine that was rented and has not reported yet. */
export interface BootingMachine extends CapacityOffer {
  /** When it was rented, by the partition leader's clock. */
  rentedMs: number;
}

/** Free resources on a machine that is there or will be. Planning takes from `free` in place. */
export interface Place extends CapacityOffer {
  /** Only short jobs may use it. */
  isReserved: boolean;
  free: Resources;
}

/** Machines that a plan asks the cloud for. */
export interface PlannedRental extends CapacityOffer {
  count: number;
}

/** An offer that a job may use and that is not known to be sold out. */
export interface RentableOffer {
  machineType: MachineType;
  zone: string;
  spot: boolean;
  /** Infinity where nothing is known of the cloud's stock. */
  maxMachines: number;
}

/** The most machines of an offer that this partition can expect to have, learned from a refusal. */
interface OfferCeiling extends CapacityOffer {
  machines: number;
  untilMs: number;
}

/** The least time for which a sold-out offer is not asked for again. */
const MIN_SOLD_OUT_PAUSE_MS = 15_000;
/** A ceiling learned from a refusal is believed for this long: the cloud's stock changes. */
const CEILING_LIFETIME_MS = 300_000;
/** A sold-out offer is still reported to other partitions this long after its pause. */
const SOLD_OUT_REPORT_MS = 30_000;
/** Each type in a zone is offered as spot and as ordinary machines. */
const OFFERS_PER_TYPE_AND_ZONE = 2;

/** Whether both name the same type, zone and kind. */
export const isSameOffer = (a: CapacityOffer, b: CapacityOffer): boolean =>
  a.type === b.type && a.zone === b.zone && a.spot === b.spot;

/** The catalog's entry of this name; undefined before the catalog is known or when it lacks the type. */
export const machineTypeOf = (
  context: Context,
  name: string,
): MachineType | undefined =>
  context.catalog?.find((machineType) => machineType.name === name);

/** The offers of one partition's zones, as far as refusals tell what is left of them. */
export class CapacityOffers {
  private readonly soldOutUntilMs = new Map<string, number>();
  private readonly ceilings = new Map<string, OfferCeiling>();

  constructor(
    private readonly context: Context,
    private readonly state: PartitionState,
    private readonly booting: ReadonlyMap<string, BootingMachine>,
    private readonly zones: () => string[],
  ) {}

  /** The cloud granted machines of this offer: what an earlier refusal said of its size is out of date. */
  noteGranted({ type, zone, spot }: CapacityOffer): void {
    this.ceilings.delete(offerKey(type, zone, spot));
  }

  /**
   * The cloud had fewer machines than asked for. The offer then rests for no less than it takes this partition to ask for
   * all its offers within half its part of the cloud's rate limit: asking for what is not there must not delay what is.
   */
  noteSoldOut({ type, zone, spot }: CapacityOffer): void {
    const key = offerKey(type, zone, spot);
    const { nowMs, settings, partitions, catalog } = this.context;
    this.ceilings.set(key, {
      type,
      zone,
      spot,
      machines: this.machinesHeld({ type, zone, spot }),
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

  /** Machines of an offer that the partition has, or that are booting. */
  private machinesHeld(offer: CapacityOffer): number {
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

  /** How many more machines there may be, by offer key; only offers that a refusal told something of. */
  remaining(): Map<string, number> {
    const remaining = new Map<string, number>();
    for (const [key, ceiling] of this.ceilings) {
      if (ceiling.untilMs < this.context.nowMs) this.ceilings.delete(key);
      else
        remaining.set(
          key,
          Math.max(0, ceiling.machines - this.machinesHeld(ceiling)),
        );
    }
    return remaining;
  }

  /** Keys of the offers that the cloud refused of late. */
  recentlySoldOut(): string[] {
    const keys: string[] = [];
    for (const [key, untilMs] of this.soldOutUntilMs)
      if (untilMs + SOLD_OUT_REPORT_MS > this.context.nowMs) keys.push(key);
    return keys;
  }

  private isSoldOut(type: string, zone: string, spot: boolean): boolean {
    const untilMs = this.soldOutUntilMs.get(offerKey(type, zone, spot)) ?? 0;
    return untilMs > this.context.nowMs;
  }

  /** Whether the job may run on machines of this offer, and does not waste their accelerators. */
  serves(spec: JobSpec, { type, zone, spot }: CapacityOffer): boolean {
    const machineType = machineTypeOf(this.context, type) ?? null;
    return (
      isAllowedOn(spec, type, zone, spot) &&
      isSuitable(spec, machineType, spot, this.context.catalog)
    );
  }

  /**
   * Offers of these zones that the job may use and that may have machines left beyond those already planned, in the
   * order of the catalog, then of the zones, spot before ordinary.
   */
  *rentable(
    spec: JobSpec,
    zones: readonly string[],
    remaining: ReadonlyMap<string, number>,
    planned: readonly PlannedRental[],
  ): Generator<RentableOffer> {
    const { catalog } = this.context;
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
          // A remainder of 0 counts as unknown (`||`): the pause after the refusal is over, there may be any number by now.
          const maxMachines =
            (remaining.get(offerKey(type, zone, spot)) || Infinity) -
            plannedCount;
          if (maxMachines > 0) yield { machineType, zone, spot, maxMachines };
        }
      }
  }
}
