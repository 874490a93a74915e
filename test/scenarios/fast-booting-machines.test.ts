import { test } from "node:test";
import { MachineRegistry } from "../../src/coordination/machines/machine-registry.js";
import { expectDetected, expectRulesKept } from "./expect.js";
import { quickMachines } from "./fast-booting-machines.js";

test("machines up within two seconds that get work at once while the commit that lists them lags, and their leader ends around it", () => {
  expectRulesKept(quickMachines, [0, 1, 2, 3, 4, 5, 6, 7, 8, 9], 1);
});

test("guard: a machine is used only once the roster names it", () => {
  expectDetected(quickMachines, [3], "ran_twice", () => {
    const before = MachineRegistry.prototype.has;
    MachineRegistry.prototype.has = () => true;
    return () => (MachineRegistry.prototype.has = before);
  });
});
