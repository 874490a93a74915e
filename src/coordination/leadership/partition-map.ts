/** Which partition each zone belongs to. */
import type { Settings } from "../../config/settings.js";

/** Of the hash of a zone's name: a prime, and a factor as usual for strings. */
const HASH_MODULUS = 1_000_003;
const HASH_FACTOR = 31;

/**
 * A pure function of settings and zone, the same on every controller, so that one leader alone rents, uses and returns
 * machines in a zone. A zone with a controller belongs to that controller's partition (to that of the first by label, if
 * there are several); the others are dealt out in sorted order.
 */
export class PartitionMap {
  /** The partitions, sorted; each bears the label of its home controller. */
  readonly names: string[];
  private readonly partitionByZone = new Map<string, string>();

  constructor(settings: Pick<Settings, "label" | "area" | "peers" | "zones">) {
    const { label, area, peers, zones } = settings;
    const controllers = [{ label, area }, ...peers].sort((a, b) =>
      a.label < b.label ? -1 : 1,
    );
    this.names = controllers.map((controller) => controller.label);
    for (const controller of controllers)
      if (!this.partitionByZone.has(controller.area))
        this.partitionByZone.set(controller.area, controller.label);
    zones
      .filter((zone) => !this.partitionByZone.has(zone))
      .sort()
      .forEach((zone, index) =>
        this.partitionByZone.set(zone, this.nameAt(index)),
      );
  }

  /** The partition of a zone. One that the settings don't name (a machine may turn up anywhere) has a fixed one, too. */
  partitionOf(zone: string): string {
    return this.partitionByZone.get(zone) ?? this.nameAt(hashOf(zone));
  }

  private nameAt(index: number): string {
    return this.names[index % this.names.length]!;
  }
}

function hashOf(text: string): number {
  let hash = 0;
  for (const character of text)
    hash = (hash * HASH_FACTOR + character.charCodeAt(0)) % HASH_MODULUS;
  return hash;
}
