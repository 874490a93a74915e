import assert from "node:assert/strict";
import { test } from "node:test";
import { parseOperator } from "../../src/config/operator.js";
import { parseSettings, type Settings } from "../../src/config/settings.js";
import type { Operator } from "../../src/config/operator.js";
import { expectText } from "./expect.js";

const PLATFORM_FILE = `
label = "node-a"
area = "east"
client_listen = "10.0.0.1:7001"
mesh_addr = "10.0.0.1:7002"
[[peers]]
label = "node-b"
area = "mid"
address = "10.0.0.2:7003"
[outside]
cloud = "10.0.0.3:7004"
state = "10.0.0.4:7005"
[cluster]
zones = ["east", "mid"]
[[cluster.teams]]
name = "red"
cpus = 20
cpus_max = 48
gpus = 2
gpus_max = 6
[[cluster.teams]]
name = "blue"
[[cluster.objectives]]
kind = "wait"
class = "gangs"
within_s = 2.5
share = 0.9
[cluster.workers]
report_s = 1.5
lease_s = 10
gang_wait_s = 12
gang_peer_s = 3
cancel_s = 26
[cluster.state]
rps = 100
write_rps = 20
value_kb = 8
txn_ops = 12
[cluster.state.next]
rps = 90
write_rps = 15
value_kb = 4
txn_ops = 6
[cluster.cloud]
rps = 5
list_lag_s = 2
[cluster.resources]
max_sockets = 700
mem_mb = 150
`;

const SETTINGS: Settings = {
  label: "node-a",
  area: "east",
  clientListen: { host: "10.0.0.1", port: 7001 },
  mesh: { host: "10.0.0.1", port: 7002 },
  peers: [{ label: "node-b", area: "mid", host: "10.0.0.2", port: 7003 }],
  cloud: { host: "10.0.0.3", port: 7004, rps: 5, listLagS: 2 },
  state: {
    host: "10.0.0.4",
    port: 7005,
    rps: 90,
    writeRps: 15,
    valueBytes: 3891,
    txnOps: 6,
  },
  zones: ["east", "mid"],
  teams: new Map([
    ["red", { name: "red", cpus: 20, gpus: 2, cpusMax: 48, gpusMax: 6 }],
    [
      "blue",
      { name: "blue", cpus: 0, gpus: 0, cpusMax: Infinity, gpusMax: Infinity },
    ],
  ]),
  objectives: [{ kind: "wait", class: "gangs", withinS: 2.5 }],
  reportS: 1.5,
  leaseS: 10,
  gangWaitS: 12,
  gangPeerS: 3,
  cancelS: 26,
  maxSockets: 700,
  memMb: 150,
};

const OPERATOR_FILE = `
long_every: 5
reserved_share: 0.2
short_cutoff_s: 241
short_gang_s: 1501
hold_after_s: 601
begin_within_s: 242
idle_return_s: 16
idle_boots: 2
warm_window_s: 301
spare_share: 0.25
cheap_patience: 0.75
silent_return_s: 91
boot_patience: 4.5
direct_orders: false
guarantee_order: false
fleet_order: false
divided_limits: true
metrics: true
hooks {
  key { id: "k1" file: "/etc/k1" }
  key { id: "k2" variable: "K2" }
  allow: "10.0.0.0/8"
  only_listed: true
  allow_http: true
  ca_file: "/etc/ca.pem"
  in_flight: 33
  parallel: 5
  deadline_s: 11
  answer_bytes: 16385
  horizon_s: 259201
  retry_base_s: 3
  retry_most_s: 3601
  breaker_after: 6
  breaker_base_s: 7
  breaker_most_s: 601
  changes_share: 0.5
  spool_batches: 2001
  subscriptions: 201
}
`;

const OPERATOR: Operator = {
  tuning: {
    longEvery: 5,
    reservedShare: 0.2,
    shortCutoffS: 241,
    shortGangS: 1501,
    holdAfterS: 601,
    beginWithinS: 242,
    idleReturnS: 16,
    idleBoots: 2,
    warmWindowS: 301,
    spareShare: 0.25,
    cheapPatience: 0.75,
    silentReturnS: 91,
    bootPatience: 4.5,
    directOrders: false,
    guaranteeOrder: false,
    fleetOrder: false,
    dividedLimits: true,
    tellEnds: true,
  },
  metrics: true,
  hooks: {
    key: [
      { id: "k1", file: "/etc/k1", variable: "" },
      { id: "k2", file: "", variable: "K2" },
    ],
    allow: ["10.0.0.0/8"],
    onlyListed: true,
    allowHttp: true,
    caFile: "/etc/ca.pem",
    inFlight: 33,
    parallel: 5,
    deadlineS: 11,
    answerBytes: 16385,
    horizonS: 259201,
    retryBaseS: 3,
    retryMostS: 3601,
    breakerAfter: 6,
    breakerBaseS: 7,
    breakerMostS: 601,
    changesShare: 0.5,
    spoolBatches: 2001,
    subscriptions: 201,
  },
};

test("golden: the platform's settings file", () => {
  assert.deepEqual(parseSettings(PLATFORM_FILE, "platform.toml"), SETTINGS);
});

test("golden: the operators' settings file", async () => {
  assert.deepEqual(await parseOperator(OPERATOR_FILE, "op.txt"), OPERATOR);
  assert.deepEqual(await parseOperator("", "op.txt"), {
    hooks: null,
    metrics: false,
    tuning: {
      longEvery: 4,
      reservedShare: 0.1,
      shortCutoffS: 240,
      shortGangS: 1500,
      holdAfterS: 600,
      beginWithinS: 240,
      idleReturnS: 15,
      idleBoots: 1,
      warmWindowS: 300,
      spareShare: 0.15,
      cheapPatience: 0.5,
      silentReturnS: 90,
      bootPatience: 3.5,
      directOrders: true,
      guaranteeOrder: true,
      fleetOrder: true,
      dividedLimits: false,
      tellEnds: false,
    },
  } satisfies Operator);
});

test("golden: errors name the settings as they are in the files", async () => {
  const refusal = async (read: () => unknown): Promise<string> => {
    try {
      await read();
    } catch (error) {
      return (error as Error).message;
    }
    return "accepted";
  };
  const zeroLeaseFile = PLATFORM_FILE.replace("lease_s = 10", "lease_s = 0");
  const shortCancelFile = PLATFORM_FILE.replace(
    "cancel_s = 26",
    "cancel_s = 13",
  );
  expectText(
    await refusal(() => parseSettings(zeroLeaseFile, "a.toml")),
    "a.toml: cluster.workers.lease_s: Invalid value: Expected >0 but received 0",
  );
  expectText(
    await refusal(() => parseSettings(shortCancelFile, "a.toml")),
    "a.toml: cluster.workers.cancel_s: must exceed lease_s by at least 4 s",
  );
  const parse = (text: string) => (): unknown => parseOperator(text, "op");
  for (const [text, literal] of OPERATOR_MISTAKES)
    expectText(await refusal(parse(text)), literal);
});

const OPERATOR_MISTAKES: readonly [string, string][] = [
  ["long_every: 0", "op: long_every: must lie within 1 and 1000000"],
  [
    "short_cutoff_s: -1",
    "op: short_cutoff_s: must lie within 0 and 1000000000",
  ],
  [
    "hooks { retry_most_s: 0 }",
    "op: hooks.retry_most_s: must lie within 0.01 and 86400",
  ],
];
