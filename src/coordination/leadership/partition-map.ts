/** Which partition a zone belongs to: a pure function of the settings, the same on every controller. */
import type { Settings } from "../../config/settings.js";

/** Keeps the hash of a zone's name well within exact integers. */
const HASH_MODULUS = 1_000_003;
const HASH_MULTIPLIER = 31;

/**
 * The partitions and their zones. One leader alone rents, uses and returns machines in a zone, since all controllers agree on its
 * partition. A zone with a controller is that controller's (the first by label, if several); the others are dealt out by sorted
 * order.
 */
export class PartitionMap {
  /** A partition bears the label of its home controller; sorted. */
  readonly names: string[];
  private readonly partitionByZone = new Map<string, string>();

  constructor(settings: Pick<Settings, "label" | "area" | "peers" | "zones">) {
    const { label, area, peers, zones } = settings;
    const controllers = [{ label, area }, ...peers].sort((first, second) =>
      first.label < second.label ? -1 : 1,
    );
    this.names = controllers.map((controller) => controller.label);
    for (const controller of controllers)
      if (!this.partitionByZone.has(controller.area))
        this.partitionByZone.set(controller.area, controller.label);
    const zonesWithoutController = zones
      .filter((zone) => !this.partitionByZone.has(zone))
      .sort();
    for (const [index, zone] of zonesWithoutController.entries())
      this.partitionByZone.set(zone, this.nameAt(index));
  }

  partitionOf(zone: string): string {
    // A zone that the settings don't name (a machine may turn up anywhere): any fixed choice will do.
    return this.partitionByZone.get(zone) ?? this.nameAt(hashOf(zone));
  }

  private nameAt(index: number): string {
    return this.names[index % this.names.length]!;
  }
}

function hashOf(zone: string): number {
  let hash = 0;
  for (const character of zone)
    hash = (hash * HASH_MULTIPLIER + character.charCodeAt(0)) % HASH_MODULUS;
  return hash;
}
