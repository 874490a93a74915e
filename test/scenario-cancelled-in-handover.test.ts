import { test } from "node:test";
import { Master } from "../src/coordination/master.js";
import { cancelledInHandover } from "./scenarios/cancelled-in-handover.js";
import { expectCaught, expectKept } from "./scenarios/expect.js";

test("jobs cancelled in each phase in which a group changes hands: nothing of them starts, and what runs is gone in time", () => {
  expectKept(cancelledInHandover, [0, 1, 2, 3, 4, 5, 6, 7], 3);
});

test("guard: a new leader stops tasks of jobs that it does not know", () => {
  expectCaught(cancelledInHandover, [0], "ran_cancelled", () => {
    type WithOrders = {
      ordersFor(w: { strays: Map<string, unknown> }): unknown;
    };
    const master = Master.prototype as unknown as WithOrders;
    const before = master.ordersFor;
    master.ordersFor = function (worker) {
      const { strays } = worker;
      worker.strays = new Map();
      const orders = before.call(this, worker);
      worker.strays = strays;
      return orders;
    };
    return () => (master.ordersFor = before);
  });
});
