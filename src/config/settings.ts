import * as v from "valibot";
import { parse, TomlError } from "smol-toml";

/** A mistake in a settings file: one line that names the file, the key and what is wrong. */
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

/** How the state service counts the bytes of a value is its own matter (spaces, escapes): some are left free. */
const VALUE_USED = 0.95;
/** A machine's mark for return, or the end of a job, is one transaction of a few changes. */
const ops = v.pipe(v.number(), v.integer(), v.minValue(4));
/** A job's record, with names of usual length, takes half of it. */
const least = v.pipe(v.number(), v.finite(), v.minValue(1));

/** The file that the platform hands over. Unknown fields are ignored. */
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
      value_kb: least,
      txn_ops: ops,
      /** What the limits will be from some moment on, without notice. */
      next: v.optional(
        v.object({
          rps: v.optional(positive),
          write_rps: v.optional(positive),
          value_kb: v.optional(least),
          txn_ops: v.optional(ops),
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
  /** Guaranteed. 0: no guarantee. */
  cpus: number;
  gpus: number;
  /** Limits; Infinity where the file says 0, "none". */
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
  /** The smaller of the limits now and `state.next`. */
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
  /** Most that the process may keep on its heap, in MB, where that is less than its memory; the file does not say. */
  heapMb?: number;
}

function endpoint(text: string): { host: string; port: number } {
  const at = text.lastIndexOf(":");
  return { host: text.slice(0, at), port: Number(text.slice(at + 1)) };
}

export function parseSettings(text: string, file: string): Settings {
  let raw: unknown;
  try {
    raw = parse(text);
  } catch (e) {
    const why =
      e instanceof TomlError
        ? `line ${e.line}: ${e.message.split("\n")[0]}`
        : String(e);
    throw new SettingsError(`${file}: not TOML: ${why}`);
  }
  const got = v.safeParse(PlatformFile, raw);
  if (!got.success) {
    const issue = got.issues[0];
    throw new SettingsError(
      `${file}: ${v.getDotPath(issue) ?? "(top level)"}: ${issue.message}`,
    );
  }
  const f = got.output;
  const c = f.cluster;
  // Limits that will come without notice are kept from the start: nothing is written that would have to be divided,
  // or repeated smaller, at a moment that nobody knows.
  const lower = (field: "rps" | "write_rps" | "value_kb" | "txn_ops"): number =>
    Math.min(c.state[field], c.state.next[field] ?? Infinity);
  const labels = new Set([f.label, ...f.peers.map((p) => p.label)]);
  if (labels.size !== f.peers.length + 1)
    throw new SettingsError(`${file}: peers: a label is used twice`);
  if (c.workers.cancel_s - c.workers.lease_s < 4)
    throw new SettingsError(
      `${file}: cluster.workers.cancel_s: must exceed lease_s by at least 4 s`,
    );
  return {
    label: f.label,
    area: f.area,
    clientListen: endpoint(f.client_listen),
    mesh: endpoint(f.mesh_addr),
    peers: f.peers.map((p) => ({
      label: p.label,
      area: p.area,
      ...endpoint(p.address),
    })),
    cloud: {
      ...endpoint(f.outside.cloud),
      rps: c.cloud.rps,
      listLagS: c.cloud.list_lag_s,
    },
    state: {
      ...endpoint(f.outside.state),
      rps: lower("rps"),
      writeRps: lower("write_rps"),
      valueBytes: Math.floor(lower("value_kb") * 1024 * VALUE_USED),
      txnOps: lower("txn_ops"),
    },
    zones: [...c.zones],
    teams: new Map(
      c.teams.map((t) => [
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
    objectives: c.objectives.map((o) => ({
      kind: o.kind,
      ...(o.class !== undefined && { class: o.class }),
      ...(o.within_s !== undefined && { withinS: o.within_s }),
    })),
    reportS: c.workers.report_s,
    leaseS: c.workers.lease_s,
    gangWaitS: c.workers.gang_wait_s,
    gangPeerS: c.workers.gang_peer_s,
    cancelS: c.workers.cancel_s,
    maxSockets: c.resources.max_sockets,
    memMb: c.resources.mem_mb,
  };
}
