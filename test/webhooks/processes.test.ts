import assert from "node:assert/strict";
import { test } from "node:test";
import { Deployment } from "./processes.js";

test("starting a controller that is running does not start a second process", async () => {
  const deployment = new Deployment(1);
  await deployment.start(1);
  try {
    const { nodes } = deployment as unknown as { nodes: { child: unknown }[] };
    const { child } = nodes[0]!;
    deployment.boot(0);
    assert.equal(nodes[0]!.child, child);
  } finally {
    await deployment.stop();
  }
});
