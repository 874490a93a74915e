import type { CloudCall, CloudReply } from "../../src/coordination/effects.js";
import type { MachineType } from "../../src/coordination/model.js";
import { type MachineWorld, SimWorker } from "./machine.js";

/** The part of the world that the cloud stand-in uses. */
export interface CloudWorld extends MachineWorld {
  readonly workers: SimWorker[];
  readonly types: MachineType[];
  readonly cloudDown: boolean;
  /** Most machines of one type, zone and kind (spot or not) that can be rented. */
  readonly capacity: number;
  /** Multiplies the boot time of machines. */
  readonly bootFactor: number;
}

/** A stand-in for the cloud: rents machines, takes them back and lists them with a lag. */
export class Cloud {
  private lastMachineNumber = 0;
  private readonly machinesByRequest = new Map<string, string[]>();
  readonly rented = new Map<string, SimWorker>();

  constructor(private readonly world: CloudWorld) {}

  add(
    type: MachineType,
    zone: string,
    spot: boolean,
    bootMs: number,
  ): SimWorker {
    const machine = new SimWorker(
      this.world,
      `n-${String(++this.lastMachineNumber).padStart(6, "0")}`,
      type,
      zone,
      spot,
    );
    this.rented.set(machine.id, machine);
    this.world.workers.push(machine);
    if (this.world.rng.chance(0.95))
      this.world.at(bootMs, () => machine.gone || machine.start());
    return machine;
  }
  handle(call: CloudCall): CloudReply {
    if (this.world.cloudDown) return { kind: "failed", why: "503" };
    switch (call.op) {
      case "catalog":
        return { kind: "catalog", types: structuredClone(this.world.types) };
      case "rent": {
        const alreadyRented = this.machinesByRequest.get(call.request);
        if (alreadyRented) return { kind: "rented", machines: alreadyRented };
        const rentedCount = [...this.rented.values()].filter(
          (machine) =>
            machine.zone === call.zone &&
            machine.type.name === call.type &&
            machine.spot === call.spot,
        ).length;
        const count = Math.min(call.count, this.world.capacity - rentedCount);
        if (count <= 0) return { kind: "noCapacity" };
        const type = this.world.types.find((t) => t.name === call.type)!;
        const machines = Array.from(
          { length: count },
          () =>
            this.add(
              type,
              call.zone,
              call.spot,
              this.world.bootFactor * this.world.rng.real(1_000, 6_000),
            ).id,
        );
        this.machinesByRequest.set(call.request, machines);
        return { kind: "rented", machines };
      }
      case "return":
        for (const id of call.machines) {
          this.rented.get(id)?.reclaim();
          this.rented.delete(id);
        }
        return { kind: "returned" };
      case "list": {
        // The list is up to twice `listLagS` old, and may be older than the one before it.
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
            .map((machine) => ({
              id: machine.id,
              address: "",
              type: machine.type.name,
              zone: machine.zone,
              spot: machine.spot,
              state: machine.gone
                ? "failed"
                : machine.up
                  ? "running"
                  : "starting",
              ageS: (this.world.now - machine.bornMs) / 1000,
            })),
        };
      }
    }
  }
}
