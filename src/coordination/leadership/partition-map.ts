import type { Settings } from "../../config/settings.js";

/**
 * Which group a zone belongs to: a pure function of settings and zone, the same on every controller, so that
 * one master alone rents, uses and returns machines there. A zone with a controller is that controller's (the
 * first by label, if several); the others are dealt out by sorted order.
 */
export class PartitionMap {
  /** A group bears the label of its home controller. */
  readonly names: string[];
  private readonly partitionByZone = new Map<string, string>();
  private readonly zonesWithoutController: string[];

  constructor(s: Pick<Settings, "label" | "area" | "peers" | "zones">) {
    const nodes = [{ label: s.label, area: s.area }, ...s.peers].sort((a, b) =>
      a.label < b.label ? -1 : 1,
    );
    this.names = nodes.map((n) => n.label);
    for (const n of nodes)
      if (!this.partitionByZone.has(n.area))
        this.partitionByZone.set(n.area, n.label);
    this.zonesWithoutController = s.zones
      .filter((z) => !this.partitionByZone.has(z))
      .sort();
    this.zonesWithoutController.forEach((z, i) =>
      this.partitionByZone.set(z, this.names[i % this.names.length]!),
    );
  }

  partitionOf(zone: string): string {
    const g = this.partitionByZone.get(zone);
    if (g !== undefined) return g;
    // A zone that the settings don't name (a machine may turn up anywhere): any fixed choice will do.
    let sum = 0;
    for (const ch of zone) sum = (sum * 31 + ch.charCodeAt(0)) % 1_000_003;
    return this.names[sum % this.names.length]!;
  }
}
