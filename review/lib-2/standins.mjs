/**
 * What the scripts of this review share: the project's controllers as separate processes, started with the run line of the deploy
 * file, and stand-ins for the state service and the cloud, written from PROTOCOL. Everything listens on 127.0.0.1. Plain JavaScript
 * on Node's standard library, so nothing has to be compiled.
 */
import { spawn } from "node:child_process";
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import http from "node:http";
import net from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

export const ROOT = join(dirname(fileURLToPath(import.meta.url)), "..", "..");
export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Exit codes of a case. */
export const HELD = 0;
export const BROKEN = 1;
export const COULD_NOT_RUN = 2;

// ---- the record ------------------------------------------------------------------------------------------

/** Collects what was sent, answered and run, and writes it to `record.txt` in the folder of the case. */
export class Record {
  lines = [];
  constructor(folder) {
    this.file = join(folder, "record.txt");
    this.startMs = performance.now();
    this.note(`trouble: ${TROUBLE ? "on" : "off"}`);
  }
  note(text) {
    const s = ((performance.now() - this.startMs) / 1000).toFixed(2).padStart(7);
    this.lines.push(`${s} s  ${text}`);
  }
  write() {
    writeFileSync(this.file, this.lines.join("\n") + "\n");
  }
}

/** `TROUBLE=0` leaves the disruption out. */
export const TROUBLE = process.env.TROUBLE !== "0";

/**
 * Runs a case. `body` gets the record and a list of functions that end what it has started, and returns the ways in which the rule
 * was broken. An exception means that the case could not run. After `limitS` it is given up as one that could not run.
 */
export async function runCase(folder, limitS, body) {
  const record = new Record(folder);
  const cleanUps = [];
  const cleanUp = async () => {
    for (const end of cleanUps.reverse()) await Promise.resolve(end()).catch(() => {});
  };
  const finish = async (code, text) => {
    record.note(text);
    await cleanUp();
    record.write();
    console.log(text);
    process.exit(code);
  };
  for (const signal of ["SIGINT", "SIGTERM", "SIGHUP"])
    process.once(signal, () => void finish(COULD_NOT_RUN, `ended by ${signal}`));
  setTimeout(() => void finish(COULD_NOT_RUN, `could not run: not over after ${limitS} s`), limitS * 1000).unref();
  try {
    const errors = await body(record, cleanUps);
    for (const error of errors) record.note(`BROKEN: ${error}`);
    await finish(
      errors.length > 0 ? BROKEN : HELD,
      errors.length > 0 ? `broken: ${errors[0]}${errors.length > 1 ? ` (and ${errors.length - 1} more)` : ""}` : "held",
    );
  } catch (error) {
    await finish(COULD_NOT_RUN, `could not run: ${error?.stack ?? error}`);
  }
}

// ---- HTTP ------------------------------------------------------------------------------------------------

export const listen = (server, port = 0) =>
  new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, "127.0.0.1", () => resolve(server.address().port));
  });

export async function bodyOf(request) {
  let text = "";
  for await (const chunk of request) text += chunk;
  return text;
}

/** Serves JSON; `handle` returns [status, body], or null for no answer at all. */
export function jsonServer(handle) {
  return http.createServer((req, res) => {
    void (async () => {
      const text = await bodyOf(req);
      let body = {};
      try {
        if (text) body = JSON.parse(text);
      } catch {
        res.writeHead(400).end("{}");
        return;
      }
      const reply = await handle(req.method, new URL(req.url, "http://x"), body, req, res);
      if (!reply || res.writableEnded || res.destroyed) return;
      res.writeHead(reply[0], { "content-type": "application/json" }).end(JSON.stringify(reply[1]));
    })().catch(() => res.destroy());
  });
}

/** One request on a connection of its own; null if there is no answer in time. */
export function request(port, method, path, body, timeoutMs = 2000) {
  return new Promise((resolve) => {
    const text = body === undefined ? undefined : JSON.stringify(body);
    const req = http.request(
      {
        host: "127.0.0.1",
        port,
        method,
        path,
        agent: false,
        headers: text === undefined ? {} : { "content-type": "application/json", "content-length": Buffer.byteLength(text) },
      },
      (res) => {
        let answer = "";
        res.on("data", (d) => (answer += d));
        res.on("error", () => done(null));
        res.on("end", () => {
          let json = {};
          try {
            json = JSON.parse(answer);
          } catch {
            // Not JSON: the status counts.
          }
          done({ status: res.statusCode, headers: res.headers, body: json });
        });
      },
    );
    const timer = setTimeout(() => done(null), timeoutMs);
    const done = (reply) => {
      clearTimeout(timer);
      resolve(reply);
      if (reply === null) req.destroy();
    };
    req.on("error", () => done(null));
    req.end(text);
  });
}

/** A free port outside the range of ephemeral ports, so that it stays free while a controller is down. */
const given = new Set();
export async function freePort() {
  for (;;) {
    const port = 12_000 + Math.floor(Math.random() * 20_000);
    if (given.has(port)) continue;
    const server = net.createServer();
    const isFree = await new Promise((resolve) => {
      server.once("error", () => resolve(false));
      server.listen(port, "127.0.0.1", () => resolve(true));
    });
    if (!isFree) continue;
    await new Promise((resolve) => server.close(resolve));
    given.add(port);
    return port;
  }
}

// ---- the state service -----------------------------------------------------------------------------------

/** "Controller nodes -> state service" of PROTOCOL, with its limits. */
export class StateService {
  epoch = 0;
  data = new Map();
  log = [];
  logStart = 0;
  holds = new Map();
  lastHold = 0;
  watchers = new Set();
  out = false;
  requests = 0;

  constructor(limits) {
    this.limits = { ...limits };
    this.levels = { rps: limits.rps, write_rps: limits.write_rps };
    this.levelsAtMs = performance.now();
  }
  async start() {
    this.server = jsonServer((method, url, body, req, res) => this.handle(method, url, body, res));
    this.port = await listen(this.server);
    this.timer = setInterval(() => this.expire(), 20);
  }
  stop() {
    clearInterval(this.timer);
    this.server.closeAllConnections();
    this.server.close();
  }

  expire() {
    if (this.out) return;
    for (const [id, hold] of this.holds) {
      if (performance.now() < hold.endsMs) continue;
      this.holds.delete(id);
      this.endKeys(id);
    }
  }
  endKeys(hold) {
    const keys = [...this.data].filter(([, d]) => d.hold === hold).map(([k]) => k);
    if (keys.length === 0) return;
    this.epoch++;
    for (const key of keys) {
      this.data.delete(key);
      this.append({ delete: key, stamp: this.epoch });
    }
    this.notify();
  }
  append(change) {
    this.log.push(change);
    if (this.log.length <= 10_000) return;
    const dropped = this.log.splice(0, this.log.length - 10_000);
    this.logStart = dropped.at(-1).stamp;
  }
  notify() {
    for (const watcher of [...this.watchers]) watcher();
  }
  /** Buckets of one second's worth. */
  take(bucket, amount) {
    const nowMs = performance.now();
    const s = (nowMs - this.levelsAtMs) / 1000;
    this.levelsAtMs = nowMs;
    for (const name of ["rps", "write_rps"])
      this.levels[name] = Math.min(this.limits[name], this.levels[name] + s * this.limits[name]);
    if (this.levels[bucket] < amount) return false;
    this.levels[bucket] -= amount;
    return true;
  }

  handle(method, url, body, res) {
    this.requests++;
    if (this.out) return [503, { error: "trouble" }];
    this.expire();
    if (!this.take("rps", 1)) return [429, { error: "too many requests" }];
    const path = url.pathname;
    const query = url.searchParams;
    if (path === "/holds" && method === "POST") {
      const id = ++this.lastHold;
      this.holds.set(id, { ttlMs: body.ttlMs, endsMs: performance.now() + body.ttlMs });
      return [200, { tenancy: id }];
    }
    const hold = /^\/holds\/(\d+)(\/touch)?$/.exec(path);
    if (hold) {
      const held = this.holds.get(Number(hold[1]));
      if (!held) return [404, { error: "no such lease" }];
      if (hold[2]) {
        held.endsMs = performance.now() + held.ttlMs;
        return [200, {}];
      }
      this.holds.delete(Number(hold[1]));
      this.endKeys(Number(hold[1]));
      return [200, {}];
    }
    if (path === "/commit") return this.commit(body);
    if (path === "/changes") return this.changes(query, res);
    if (path === "/keys") return this.list(query);
    if (path.startsWith("/keys/")) {
      const key = path.slice("/keys/".length);
      const d = this.data.get(key);
      if (!d) return [404, { epoch: this.epoch }];
      return [200, { k: key, value: d.value, stamp: d.stamp, ...(d.hold === undefined ? {} : { tenancy: d.hold }) }];
    }
    return [400, { error: "malformed" }];
  }
  list(query) {
    const under = query.get("under") ?? "";
    const since = query.get("since") ?? "";
    const most = Math.min(1000, Number(query.get("most") ?? 1000));
    const keys = [...this.data.keys()].filter((k) => k.startsWith(under) && k > since).sort();
    const items = [];
    let bytes = 0;
    for (const k of keys) {
      const item = { k, value: this.data.get(k).value, stamp: this.data.get(k).stamp };
      bytes += Buffer.byteLength(JSON.stringify(item)) + 1;
      if (items.length >= most || bytes > 500 * 1024) break;
      items.push(item);
    }
    return [200, { items, truncated: items.length < keys.length, epoch: this.epoch }];
  }
  commit(body) {
    const conditions = body.if ?? [];
    const writes = body.writes ?? [];
    const size = Buffer.byteLength(JSON.stringify(body));
    if (writes.length > this.limits.txn_ops || conditions.length > 4 * this.limits.txn_ops || size > 64 * 1024)
      return [400, { error: "transaction too large" }];
    for (const w of writes)
      if (w.put !== undefined && Buffer.byteLength(JSON.stringify(w.value)) > this.limits.value_kb * 1024)
        return [400, { error: "value too large" }];
    if (!this.take("write_rps", writes.length)) return [429, { error: "too many changes" }];
    for (const w of writes)
      if (w.put !== undefined && w.tenancy !== undefined && !this.holds.has(w.tenancy))
        return [400, { error: "no such lease" }];
    const failed = conditions.filter((c) => (this.data.get(c.k)?.stamp ?? 0) !== c.stamp).map((c) => c.k);
    if (failed.length > 0) return [409, { failed, epoch: this.epoch }];
    if (writes.length > 0) {
      this.epoch++;
      for (const w of writes) {
        if (w.put !== undefined) {
          this.data.set(w.put, { value: w.value, stamp: this.epoch, hold: w.tenancy });
          this.append({ put: w.put, value: w.value, stamp: this.epoch });
        } else if (this.data.delete(w.delete)) this.append({ delete: w.delete, stamp: this.epoch });
      }
      this.notify();
    }
    return [200, { epoch: this.epoch }];
  }
  async changes(query, res) {
    const under = query.get("under") ?? "";
    const since = Number(query.get("since") ?? 0);
    const holdMs = Math.min(60_000, Number(query.get("holdMs") ?? 0));
    if (since < this.logStart) return [410, { epoch: this.epoch }];
    const found = () => this.log.filter((c) => c.stamp > since && (c.put ?? c.delete).startsWith(under));
    const endMs = performance.now() + holdMs;
    let log = found();
    // During an outage, open watches remain open.
    while ((log.length === 0 || this.out) && performance.now() < endMs && !res.destroyed) {
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          this.watchers.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, Math.max(1, endMs - performance.now()));
        this.watchers.add(wake);
      });
      log = found();
    }
    return [200, { epoch: this.epoch, log }];
  }
}

// ---- the cloud -------------------------------------------------------------------------------------------

/** A cloud with a catalog and, as long as the case needs no machines, nothing to rent. */
export class EmptyCloud {
  constructor(hulls) {
    this.hulls = hulls;
  }
  async start() {
    this.server = jsonServer((method, url) => {
      if (url.pathname === "/catalog") return [200, { hulls: this.hulls }];
      if (url.pathname === "/hosts" && method === "GET") return [200, { berths: [], truncated: false }];
      if (url.pathname === "/hosts") return [503, { error: "no capacity" }];
      return [200, {}];
    });
    this.port = await listen(this.server);
  }
  stop() {
    this.server.closeAllConnections();
    this.server.close();
  }
}

// ---- the controllers -------------------------------------------------------------------------------------

/** Values of the deployment at the claims desk (its page and site file). */
export const CLAIMDESK = {
  zones: ["piarco", "chaguaramas", "san-fernando"],
  report_s: 1,
  lease_s: 10,
  gang_wait_s: 45,
  gang_peer_s: 4,
  cancel_s: 40,
  state: { rps: 250, write_rps: 50, value_kb: 8, txn_ops: 24 },
  cloud: { rps: 1.5, list_lag_s: 10 },
  teams: [
    { name: "intake-crew", cpus: 2000, cpus_max: 4000 },
    { name: "claims-team", cpus: 3000, cpus_max: 15000 },
  ],
  hulls: [
    {
      name: "counterbox",
      cores: 32,
      accelerators: 0,
      memoryGb: 64,
      localGb: 60,
      pullGbPerS: 0.5,
      price: 1.66,
      marketPrice: 0.39,
      startupS: 20,
      yards: ["piarco", "chaguaramas", "san-fernando"],
    },
  ],
};

const float = (n) => (Number.isInteger(n) ? n.toFixed(1) : String(n));

/** The controllers of one deployment, as processes. */
export class Controllers {
  nodes = [];
  constructor(site, statePort, cloudPort, record, { operator = "", env = {} } = {}) {
    Object.assign(this, { site, statePort, cloudPort, record, operator, env });
    const line = /^run = "(.*)"$/m.exec(readFileSync(join(ROOT, "deploy/service.toml"), "utf8"))[1];
    this.runLine = line.split(" ");
  }
  async prepare() {
    this.folder = mkdtempSync(join(tmpdir(), "linencove-review-"));
    if (this.operator) writeFileSync(join(this.folder, "operator.textpb"), this.operator);
    for (const [i, zone] of this.site.zones.entries())
      this.nodes.push({ label: `berth-${i}`, zone, port: await freePort(), mesh: await freePort(), child: null, ends: [] });
    for (const node of this.nodes) this.writeSettings(node);
  }
  /** `next`: what `cluster.state.next` announces, if anything. */
  writeSettings(node, next = null) {
    const s = this.site;
    const text = [
      `label = "${node.label}"`,
      `area = "${node.zone}"`,
      `client_listen = "127.0.0.1:${node.port}"`,
      `mesh_addr = "127.0.0.1:${node.mesh}"`,
      ...this.nodes
        .filter((n) => n !== node)
        .flatMap((n) => ["[[peers]]", `label = "${n.label}"`, `area = "${n.zone}"`, `address = "127.0.0.1:${n.mesh}"`]),
      "[outside]",
      `cloud = "127.0.0.1:${this.cloudPort}"`,
      `state = "127.0.0.1:${this.statePort}"`,
      "[cluster]",
      `nodes = ${this.nodes.length}`,
      `zones = [${s.zones.map((z) => `"${z}"`).join(", ")}]`,
      "time_bound_ms = 250.0",
      ...s.teams.flatMap((t) => ["[[cluster.teams]]", `name = "${t.name}"`, `cpus = ${float(t.cpus)}`, `cpus_max = ${float(t.cpus_max)}`]),
      "[cluster.workers]",
      ...["report_s", "lease_s", "gang_wait_s", "gang_peer_s", "cancel_s"].map((k) => `${k} = ${float(s[k])}`),
      "[cluster.state]",
      `rps = ${float(s.state.rps)}`,
      `write_rps = ${float(s.state.write_rps)}`,
      `value_kb = ${float(s.state.value_kb)}`,
      `txn_ops = ${s.state.txn_ops}`,
      ...(next
        ? ["[cluster.state.next]", `write_rps = ${float(next.write_rps)}`, `value_kb = ${float(next.value_kb)}`, `txn_ops = ${next.txn_ops}`]
        : []),
      "[cluster.cloud]",
      `rps = ${float(s.cloud.rps)}`,
      `list_lag_s = ${float(s.cloud.list_lag_s)}`,
      "[cluster.resources]",
      "core_share = 0.17",
      "mem_mb = 146.0",
      "max_sockets = 700",
    ].join("\n");
    writeFileSync(join(this.folder, `${node.label}.toml`), text + "\n");
  }
  start(node) {
    if (node.child) return;
    const logFile = join(this.folder, `${node.label}.log`);
    const fd = openSync(logFile, "a");
    const child = spawn(this.runLine[0], [...this.runLine.slice(1), join(this.folder, `${node.label}.toml`)], {
      cwd: ROOT,
      stdio: ["ignore", "ignore", fd],
      env: {
        ...process.env,
        LOG_LEVEL: "info",
        ...(this.operator ? { LINENCOVE_OPERATOR: join(this.folder, "operator.textpb") } : {}),
        ...this.env,
      },
    });
    closeSync(fd);
    node.child = child;
    this.record.note(`${node.label}: started, process ${child.pid}`);
    child.once("exit", (code, signal) => {
      node.child = null;
      const isKilled = node.killing === true;
      node.killing = false;
      this.record.note(`${node.label}: process ${child.pid} ended, ${signal ?? `exit code ${code}`}${isKilled ? " (killed by the test)" : " BY ITSELF"}`);
      if (!isKilled) {
        node.ends.push({ code, signal });
        this.onEnd?.(node);
      }
    });
  }
  async kill(node) {
    const { child } = node;
    if (!child) return;
    const ended = new Promise((resolve) => child.once("exit", resolve));
    node.killing = true;
    child.kill("SIGKILL");
    await ended;
  }
  /** The last lines that a controller wrote that are no JSON: what Node says when a process ends by an error. */
  plainLog(node) {
    try {
      return readFileSync(join(this.folder, `${node.label}.log`), "utf8")
        .split("\n")
        .filter((l) => l && !l.startsWith("{"));
    } catch {
      return [];
    }
  }
  log(node) {
    return readFileSync(join(this.folder, `${node.label}.log`), "utf8")
      .split("\n")
      .filter((l) => l.startsWith("{"))
      .map((l) => JSON.parse(l));
  }
  async stop() {
    this.onEnd = null;
    for (const node of this.nodes) await this.kill(node);
    if (!process.env.KEEP) rmSync(this.folder, { recursive: true, force: true });
    else console.log(this.folder);
  }
  async ready(node, timeoutMs = 20_000) {
    for (const endMs = performance.now() + timeoutMs; performance.now() < endMs; await sleep(100)) {
      const reply = await request(node.port, "GET", "/ready", undefined, 1000);
      if (reply?.status === 200) return;
    }
    throw new Error(`${node.label} is not ready`);
  }
  /** Asks the controllers in turn until one answers with something other than 429, 503 or nothing, as users and operators do. */
  async ask(method, path, body, forMs = 30_000) {
    let last = null;
    for (const endMs = performance.now() + forMs; performance.now() < endMs; ) {
      const node = this.nodes[(this.turn = ((this.turn ?? 0) + 1) % this.nodes.length)];
      last = node.child ? await request(node.port, method, path, body, 5000) : null;
      if (last && last.status !== 503 && last.status !== 429 && last.status !== 504) {
        this.record.note(`${method} ${path} at ${node.label}: ${last.status} ${JSON.stringify(last.body).slice(0, 160)}`);
        return last;
      }
      await sleep(300);
    }
    throw new Error(`${method} ${path}: ${last?.status ?? "no answer"} for ${forMs / 1000} s`);
  }
  /** Submits a small job. */
  async submit(id, extra = {}) {
    const job = {
      id,
      jobclass: "claim-notify",
      crew: "claims-team",
      shape: "batch",
      urgency: "high",
      shards: 3,
      cores: 1,
      accelerators: 0,
      memoryGb: 1.6,
      bundle: "img-01",
      sizeGb: 0.5,
      reckonS: 8,
      ...extra,
    };
    const accepted = await this.ask("POST", "/v1/jobs", job);
    if (accepted.status !== 201 && accepted.status !== 200) throw new Error(`${id}: ${accepted.status}`);
  }
  async withdraw(id) {
    const over = await this.ask("POST", `/v1/jobs/${id}/withdraw`, {});
    if (over.body.status !== "cancelled") throw new Error(`${id}: ${JSON.stringify(over.body)}`);
  }  /** Submits a small job and cancels it. */
  async endJob(id) {
    await this.submit(id);
    await this.withdraw(id);
  }
}
