import type { CloudCall, CloudReply } from "../../src/coordination/effects.js";
import type { MachineType } from "../../src/coordination/model.js";
import { type MachineWorld, SimWorker } from "./machine.js";

/** What the cloud's stand-in needs of the world around it. */
export interface CloudWorld extends MachineWorld {
  readonly workers: SimWorker[];
  readonly types: MachineType[];
  readonly cloudDown: boolean;
  /** Machines of one type, zone and kind that can be rented at most. */
  readonly capacity: number;
  /** Machines boot so many times as slowly. */
  readonly bootFactor: number;
}

/** A stand-in for the cloud: rents machines, takes them back and lists them with a lag. */
export class Cloud {
  private ids = 0;
  private readonly charters = new Map<string, string[]>();
  readonly rented = new Map<string, SimWorker>();

  constructor(private readonly world: CloudWorld) {}

  add(
    type: MachineType,
    zone: string,
    spot: boolean,
    bootMs: number,
  ): SimWorker {
    const w = new SimWorker(
      this.world,
      `n-${String(++this.ids).padStart(6, "0")}`,
      type,
      zone,
      spot,
    );
    this.rented.set(w.id, w);
    this.world.workers.push(w);
    if (this.world.rng.chance(0.95))
      this.world.at(bootMs, () => w.gone || w.start());
    return w;
  }
  handle(call: CloudCall): CloudReply {
    if (this.world.cloudDown) return { kind: "failed", why: "503" };
    switch (call.op) {
      case "catalog":
        return { kind: "catalog", types: structuredClone(this.world.types) };
      case "rent": {
        const known = this.charters.get(call.request);
        if (known) return { kind: "rented", machines: known };
        const there = [...this.rented.values()].filter(
          (w) =>
            w.zone === call.zone &&
            w.type.name === call.type &&
            w.spot === call.spot,
        ).length;
        const n = Math.min(call.count, this.world.capacity - there);
        if (n <= 0) return { kind: "noCapacity" };
        const type = this.world.types.find((t) => t.name === call.type)!;
        const machines = Array.from(
          { length: n },
          () =>
            this.add(
              type,
              call.zone,
              call.spot,
              this.world.bootFactor * this.world.rng.real(1_000, 6_000),
            ).id,
        );
        this.charters.set(call.request, machines);
        return { kind: "rented", machines };
      }
      case "return":
        for (const id of call.machines) {
          this.rented.get(id)?.taken();
          this.rented.delete(id);
        }
        return { kind: "returned" };
      case "list": {
        // As things were up to twice the usual lag ago; a list may be older than the one before it.
        const asOf =
          this.world.now -
          this.world.rng.real(0, 2_000 * this.world.settings.cloud.listLagS);
        return {
          kind: "list",
          more: false,
          machines: this.world.workers
            .filter(
              (w) =>
                w.id > call.after && w.bornMs <= asOf && w.removedMs > asOf,
            )
            .map((w) => ({
              id: w.id,
              address: "",
              type: w.type.name,
              zone: w.zone,
              spot: w.spot,
              state: w.gone ? "failed" : w.up ? "running" : "starting",
              ageS: (this.world.now - w.bornMs) / 1000,
            })),
        };
      }
    }
  }
}
