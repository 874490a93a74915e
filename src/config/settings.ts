import * as v from "valibot";
import { parse, TomlError } from "smol-toml";

/** An error in a settings file. The message is one line with the file, the key and the problem. */
export class SettingsError extends Error {}

const amount = v.pipe(v.number(), v.finite(), v.minValue(0));
const positive = v.pipe(v.number(), v.finite(), v.gtValue(0));
const name = v.pipe(
  v.string(),
  v.regex(
    /^[^\s/]{1,64}$/,
    "1 to 64 characters without spaces or slashes expected",
  ),
);
const address = v.pipe(
  v.string(),
  v.regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, "IP:PORT expected"),
);

/** Share of the value size limit that is used. The state service may count the bytes of a value differently (spaces, escapes). */
const VALUE_SHARE = 0.95;
/** Maximum number of writes of a transaction. Marking a machine for return and recording the end of a job take a few writes each. */
const txnOps = v.pipe(v.number(), v.integer(), v.minValue(4));
/** Size limit of values. A job's record with names of usual length takes half of the minimum. */
const valueKb = v.pipe(v.number(), v.finite(), v.minValue(1));

/** The settings file provided by the platform. Unknown fields are ignored. */
const PlatformFile = v.object({
  label: name,
  area: name,
  client_listen: address,
  mesh_addr: address,
  peers: v.optional(
    v.array(v.object({ label: name, area: name, address })),
    [],
  ),
  outside: v.object({ cloud: address, state: address }),
  cluster: v.object({
    zones: v.array(name),
    teams: v.optional(
      v.array(
        v.object({
          name,
          cpus: v.optional(amount, 0),
          cpus_max: v.optional(amount, 0),
          gpus: v.optional(amount, 0),
          gpus_max: v.optional(amount, 0),
        }),
      ),
      [],
    ),
    objectives: v.optional(
      v.array(
        v.object({
          kind: v.string(),
          class: v.optional(v.string()),
          within_s: v.optional(amount),
          share: v.optional(amount),
        }),
      ),
      [],
    ),
    workers: v.object({
      report_s: positive,
      lease_s: positive,
      gang_wait_s: positive,
      gang_peer_s: positive,
      cancel_s: positive,
    }),
    state: v.object({
      rps: positive,
      write_rps: positive,
      value_kb: valueKb,
      txn_ops: txnOps,
      /** Limits that will apply from an unannounced time on. */
      next: v.optional(
        v.object({
          rps: v.optional(positive),
          write_rps: v.optional(positive),
          value_kb: v.optional(valueKb),
          txn_ops: v.optional(txnOps),
        }),
        {},
      ),
    }),
    cloud: v.object({ rps: positive, list_lag_s: amount }),
    resources: v.optional(
      v.object({
        max_sockets: v.optional(
          v.pipe(v.number(), v.integer(), v.minValue(16)),
          256,
        ),
        mem_mb: v.optional(positive, 146),
      }),
      { max_sockets: 256, mem_mb: 146 },
    ),
  }),
});

export interface Team {
  name: string;
  /** Guaranteed CPUs and GPUs; 0 for no guarantee. */
  cpus: number;
  gpus: number;
  /** Limits of CPUs and GPUs; Infinity for no limit, which is 0 in the file. */
  cpusMax: number;
  gpusMax: number;
}

export interface Settings {
  label: string;
  area: string;
  clientListen: { host: string; port: number };
  mesh: { host: string; port: number };
  peers: { label: string; area: string; host: string; port: number }[];
  cloud: { host: string; port: number; rps: number; listLagS: number };
  /** The state service. Each limit is the lower of the present one and the one in `cluster.state.next`. */
  state: {
    host: string;
    port: number;
    rps: number;
    writeRps: number;
    valueBytes: number;
    txnOps: number;
  };
  zones: string[];
  teams: Map<string, Team>;
  objectives: { kind: string; class?: string; withinS?: number }[];
  reportS: number;
  leaseS: number;
  gangWaitS: number;
  gangPeerS: number;
  cancelS: number;
  maxSockets: number;
  memMb: number;
  /** Maximum size of the heap in MB. Set by the process, not by the file; absent if only `memMb` applies. */
  heapMb?: number;
}

function endpoint(text: string): { host: string; port: number } {
  const colon = text.lastIndexOf(":");
  return { host: text.slice(0, colon), port: Number(text.slice(colon + 1)) };
}

export function parseSettings(text: string, file: string): Settings {
  let raw: unknown;
  try {
    raw = parse(text);
  } catch (e) {
    const reason =
      e instanceof TomlError
        ? `line ${e.line}: ${e.message.split("\n")[0]}`
        : String(e);
    throw new SettingsError(`${file}: not TOML: ${reason}`);
  }
  const result = v.safeParse(PlatformFile, raw);
  if (!result.success) {
    const issue = result.issues[0];
    throw new SettingsError(
      `${file}: ${v.getDotPath(issue) ?? "(top level)"}: ${issue.message}`,
    );
  }
  const doc = result.output;
  const cluster = doc.cluster;
  // Limits that will apply later are respected from the start. Otherwise stored records would have to be split, and transactions
  // repeated in smaller ones, at an unannounced time.
  const lower = (field: "rps" | "write_rps" | "value_kb" | "txn_ops"): number =>
    Math.min(cluster.state[field], cluster.state.next[field] ?? Infinity);
  const labels = new Set([doc.label, ...doc.peers.map((p) => p.label)]);
  if (labels.size !== doc.peers.length + 1)
    throw new SettingsError(`${file}: peers: a label is used twice`);
  if (cluster.workers.cancel_s - cluster.workers.lease_s < 4)
    throw new SettingsError(
      `${file}: cluster.workers.cancel_s: must exceed lease_s by at least 4 s`,
    );
  return {
    label: doc.label,
    area: doc.area,
    clientListen: endpoint(doc.client_listen),
    mesh: endpoint(doc.mesh_addr),
    peers: doc.peers.map((p) => ({
      label: p.label,
      area: p.area,
      ...endpoint(p.address),
    })),
    cloud: {
      ...endpoint(doc.outside.cloud),
      rps: cluster.cloud.rps,
      listLagS: cluster.cloud.list_lag_s,
    },
    state: {
      ...endpoint(doc.outside.state),
      rps: lower("rps"),
      writeRps: lower("write_rps"),
      valueBytes: Math.floor(lower("value_kb") * 1024 * VALUE_SHARE),
      txnOps: lower("txn_ops"),
    },
    zones: [...cluster.zones],
    teams: new Map(
      cluster.teams.map((t) => [
        t.name,
        {
          name: t.name,
          cpus: t.cpus,
          gpus: t.gpus,
          cpusMax: t.cpus_max || Infinity,
          gpusMax: t.gpus_max || Infinity,
        },
      ]),
    ),
    objectives: cluster.objectives.map((o) => ({
      kind: o.kind,
      ...(o.class !== undefined && { class: o.class }),
      ...(o.within_s !== undefined && { withinS: o.within_s }),
    })),
    reportS: cluster.workers.report_s,
    leaseS: cluster.workers.lease_s,
    gangWaitS: cluster.workers.gang_wait_s,
    gangPeerS: cluster.workers.gang_peer_s,
    cancelS: cluster.workers.cancel_s,
    maxSockets: cluster.resources.max_sockets,
    memMb: cluster.resources.mem_mb,
  };
}
