import { test } from "node:test";
import { Receipts } from "../src/coordination/receipt.js";
import { expectCaught, expectKept } from "./scenarios/expect.js";
import { oldReports } from "./scenarios/old-reports.js";

test("old reports at every controller as a new leader begins, and after it has acted: they establish nothing", () => {
  expectKept(oldReports, [0, 1, 2, 3, 4, 5], 3);
});

test("guard: a report that is no newer than what is known says nothing", () => {
  expectCaught(oldReports, [1], "ran_twice", () => {
    const before = Receipts.prototype.isLate;
    Receipts.prototype.isLate = () => false;
    return () => (Receipts.prototype.isLate = before);
  });
});
