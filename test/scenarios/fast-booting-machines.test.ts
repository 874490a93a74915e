import { test } from "node:test";
import { MachineRegistry } from "../../src/coordination/machines/machine-registry.js";
import { expectDetected, expectRulesKept } from "./expect.js";
import { fastBootingMachines } from "./fast-booting-machines.js";

test("machines that boot within two seconds get tasks at once while the commit of their registry entry is delayed, and their leader crashes around it", () => {
  expectRulesKept(fastBootingMachines, [0, 1, 2, 3, 4, 5, 6, 7, 8, 9], 1);
});

test("guard: a machine is used only after its registry entry is committed", () => {
  expectDetected(fastBootingMachines, [0, 1], "ran_twice", () => {
    const before = MachineRegistry.prototype.has;
    MachineRegistry.prototype.has = () => true;
    return () => (MachineRegistry.prototype.has = before);
  });
});
