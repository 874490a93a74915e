/** The partition of each zone: a pure function of the settings, so that all controllers agree on it. */
import type { Settings } from "../../config/settings.js";

/** Keeps the hash of a zone's name well below the largest exact integer. */
const HASH_MODULUS = 1_000_003;
const HASH_MULTIPLIER = 31;

/**
 * The partitions and their zones. Only one leader rents, uses and returns machines in a zone, since all controllers agree on the zone's
 * partition. A zone with a controller belongs to that controller's partition (the first by label if there are several); the other
 * zones, sorted by name, are assigned to the partitions in turn.
 */
export class PartitionMap {
  /** Names of all partitions, sorted. A partition has the label of its home controller as its name. */
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
    // A machine may be in a zone that is not in the settings: any choice will do that is the same on every controller.
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
