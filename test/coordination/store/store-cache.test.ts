import assert from "node:assert/strict";
import { test } from "node:test";
import { StoreCache } from "../../../src/coordination/store/store-cache.js";
import { partitionKey } from "../../../src/storage/records.js";

const EAST = partitionKey("east");
const WEST = partitionKey("west");
const leaderRecord = (name: string): object => ({ owner: name, hold: 1 });

test("a list of all records removes the records that it lacks, at the list's revision", () => {
  const cache = new StoreCache();
  cache.reload([{ key: EAST, value: leaderRecord("node-a"), version: 5 }], 5);
  cache.reload([], 9);
  assert.equal(cache.partitions.has("east"), false);
  assert.equal(cache.leaderChangedRevision.get("east"), 9);
});

test("a list of all records does not remove a record that is newer than the list", () => {
  const cache = new StoreCache();
  cache.reload([], 3);
  cache.apply(
    [{ op: "put", key: WEST, value: leaderRecord("node-b"), version: 8 }],
    8,
  );
  cache.reload([], 6);
  assert.equal(cache.partitions.get("west")?.owner, "node-b");
});
