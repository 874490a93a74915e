// A small deployment: real controllers with the run line of deploy/service.toml, a state service, a cloud, workers and users.
import { spawn } from "node:child_process";
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import net from "node:net";
import { tmpdir } from "node:os";
import { dirname, join, resolve } from "node:path";
import { fileURLToPath } from "node:url";
import { Cloud } from "./cloud.mjs";
import { StateService } from "./store.mjs";
import { request, Truth, Worker } from "./workers.mjs";

export const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), "../..");
export const sleep = (ms) => new Promise((r) => setTimeout(r, ms));

const freePort = () =>
  new Promise((resolvePort) => {
    const attempt = () => {
      const port = 12_000 + Math.floor(Math.random() * 20_000);
      const server = net.createServer();
      server.once("error", attempt);
      server.listen(port, "127.0.0.1", () => server.close(() => resolvePort(port)));
    };
    attempt();
  });

/** A TCP proxy between two controllers: `mode` is "ok", "hold" (bytes wait) or "reset". */
function meshProxy(targetPort) {
  const proxy = { mode: "ok", pairs: new Set(), held: [] };
  const server = net.createServer((client) => {
    if (proxy.mode === "reset") return client.resetAndDestroy();
    const target = net.connect(targetPort, "127.0.0.1");
    const pair = [client, target];
    proxy.pairs.add(pair);
    const pass = (from, to) => {
      from.on("data", (data) => {
        if (proxy.mode === "ok") to.write(data);
        else if (proxy.mode === "hold") proxy.held.push(() => to.destroyed || to.write(data));
      });
      from.on("error", () => {});
      from.on("close", () => {
        proxy.pairs.delete(pair);
        if (proxy.mode === "hold") proxy.held.push(() => to.end());
        else to.destroy();
      });
    };
    pass(client, target);
    pass(target, client);
  });
  proxy.set = (mode) => {
    proxy.mode = mode;
    if (mode === "reset") for (const pair of proxy.pairs) for (const s of pair) s.resetAndDestroy();
    if (mode === "ok") for (const f of proxy.held.splice(0)) f();
  };
  proxy.close = () => {
    server.close();
    for (const pair of proxy.pairs) for (const s of pair) s.destroy();
  };
  return new Promise((r) =>
    server.listen(0, "127.0.0.1", () => {
      proxy.port = server.address().port;
      r(proxy);
    }),
  );
}

export class Deployment {
  /**
   * `s`: zones, teams, types, capacity and the platform's settings. `machines`: [hull, yard, spot] of machines up at the start.
   */
  /** `operator`: text of the operators' file, `env`: further variables of the controllers. */
  constructor(s, { recordFile = null, logLevel = "error", fetchS, verbose = false, operator = null, env = {} } = {}) {
    this.s = s;
    this.operator = operator;
    this.env = env;
    this.startMs = performance.now();
    this.recordFile = recordFile;
    if (recordFile) writeFileSync(recordFile, "");
    this.logLevel = logLevel;
    this.fetchS = fetchS;
    this.verbose = verbose;
    this.nodes = [];
    this.workers = new Map();
    this.truth = new Truth(s, (t, d) => this.note(t, d));
    this.clients = new Set();
    this.isOver = false;
    this.answers = 0;
    this.exits = [];
  }
  note(text, isDetail = false) {
    const line = `${((performance.now() - this.startMs) / 1000).toFixed(3)} ${text}`;
    if (this.recordFile && (!isDetail || this.verbose !== "quiet")) appendFileSync(this.recordFile, line + "\n");
    if (this.verbose === true) console.log(line);
  }
  async start(machines) {
    const { s } = this;
    this.dir = mkdtempSync(join(tmpdir(), "linencove-review-"));
    this.state = new StateService(s.state);
    this.cloud = new Cloud({ types: s.types, capacity: s.capacity, rps: s.cloud.rps, listLagS: s.cloud.listLagS, ...s.cloud.options });
    this.cloud.onUp = (m) => void this.addWorker(m);
    this.cloud.onGone = (m) => {
      this.workers.get(m.id)?.destroy();
      this.workers.delete(m.id);
    };
    const cloudPort = await this.cloud.listen();
    const n = s.nodeZones.length;
    this.labels = Array.from({ length: n }, (_, i) => `berth-${i}`);
    this.ports = [];
    const meshPorts = [];
    for (let i = 0; i < n; i++) {
      this.ports.push(await freePort());
      meshPorts.push(await freePort());
    }
    this.mesh = [];
    for (let i = 0; i < n; i++) {
      const gate = await this.state.listen(this.labels[i]);
      const proxies = [];
      for (let k = 0; k < n; k++) proxies.push(k === i ? null : await meshProxy(meshPorts[k]));
      this.mesh.push(proxies);
      const file = join(this.dir, `${this.labels[i]}.toml`);
      const peers = this.labels
        .map((label, k) => (k === i ? "" : `[[peers]]\nlabel = "${label}"\narea = "${s.nodeZones[k]}"\naddress = "127.0.0.1:${proxies[k].port}"\n`))
        .join("");
      const teams = s.teams
        .map((t) => `[[cluster.teams]]\nname = "${t.name}"\ncpus = ${t.cpus ?? 0}\ncpus_max = ${t.cpusMax ?? 0}\ngpus = ${t.gpus ?? 0}\ngpus_max = ${t.gpusMax ?? 0}\n`)
        .join("");
      writeFileSync(
        file,
        `label = "${this.labels[i]}"\narea = "${s.nodeZones[i]}"\nclient_listen = "127.0.0.1:${this.ports[i]}"\nmesh_addr = "127.0.0.1:${meshPorts[i]}"\n${peers}` +
          `[outside]\ncloud = "127.0.0.1:${cloudPort}"\nstate = "127.0.0.1:${gate.port}"\n[cluster]\nnodes = ${n}\nzones = ${JSON.stringify(s.zones)}\ntime_bound_ms = 250.0\n${teams}` +
          `[cluster.workers]\nreport_s = ${s.reportS}\nlease_s = ${s.leaseS}\ngang_wait_s = ${s.gangWaitS}\ngang_peer_s = ${s.gangPeerS}\ncancel_s = ${s.cancelS}\n` +
          `[cluster.state]\nrps = ${s.state.rps}\nwrite_rps = ${s.state.writeRps}\nvalue_kb = ${s.state.valueKb}\ntxn_ops = ${s.state.txnOps}\n` +
          `[cluster.cloud]\nrps = ${s.cloud.rps}\nlist_lag_s = ${s.cloud.listLagS}\n[cluster.resources]\ncore_share = 0.17\nmem_mb = ${s.memMb ?? 146}\nmax_sockets = 700\n`,
      );
      this.nodes.push({ i, file, gate, child: null, log: [] });
    }
    for (const [hull, yard, loaners] of machines) {
      const id = this.cloud.add(hull, yard, loaners ?? false);
      this.pendingMachines = [...(this.pendingMachines ?? []), id];
    }
    this.cloud.snapshot();
    for (const id of this.pendingMachines ?? []) await this.addWorker(this.cloud.machines.get(id));
    this.cloud.history = [];
    this.cloud.snapshot();
    for (const node of this.nodes) this.boot(node.i);
  }
  async addWorker(m) {
    if (this.isOver) return;
    const worker = new Worker({
      ...m, type: this.s.types.find((t) => t.name === m.hull), truth: this.truth, ports: this.ports, labels: this.labels, s: this.s,
      note: (t, d) => this.note(t, d), fetchS: this.fetchS,
    });
    this.workers.set(m.id, worker);
    await worker.start();
    m.address = worker.address;
    this.onWorker?.(worker);
  }
  boot(i) {
    const node = this.nodes[i];
    if (this.isOver || this.isUp(i)) return;
    const run = /^run = "(.*)"$/m.exec(readFileSync(join(ROOT, "deploy/service.toml"), "utf8"))[1].split(" ");
    const env = { ...process.env, ...this.env, LOG_LEVEL: this.logLevel };
    if (this.operator !== null) {
      const operatorFile = join(this.dir, "operator.textpb");
      writeFileSync(operatorFile, this.operator);
      env.LINENCOVE_OPERATOR = operatorFile;
    }
    const child = spawn(run[0] === "node" ? process.execPath : run[0], [...run.slice(1), node.file], {
      cwd: ROOT, stdio: ["ignore", "ignore", "pipe"], env,
    });
    node.child = child;
    child.isKilled = false;
    let rest = "";
    child.stderr.on("data", (d) => {
      const lines = (rest + d).split("\n");
      rest = lines.pop();
      for (const line of lines) {
        node.log.push(line);
        if (node.log.length > 400_000) node.log.shift();
        this.onLog?.(i, line);
      }
    });
    child.on("exit", (code, signal) => {
      if (child.isKilled || this.isOver) return;
      this.exits.push(`berth-${i} ended by itself: code ${code}, signal ${signal}`);
      this.note(`berth-${i} ENDED BY ITSELF: code ${code}, signal ${signal}: ${node.log.slice(-3).join(" / ").slice(0, 600)}`);
      this.onExit?.(i);
    });
    this.note(`berth-${i} started, pid ${child.pid}`);
  }
  isUp(i) {
    const { child } = this.nodes[i];
    return child !== null && child.exitCode === null && child.signalCode === null;
  }
  async kill(i) {
    const { child } = this.nodes[i];
    if (!this.isUp(i)) return;
    child.isKilled = true;
    const closed = new Promise((r) => child.once("exit", r));
    child.kill("SIGKILL");
    await closed;
    this.note(`berth-${i} killed`);
  }
  signal(i, signal) {
    if (this.isUp(i)) this.nodes[i].child.kill(signal);
    this.note(`berth-${i} ${signal}`);
  }
  /** One request to one controller, noted in the record. */
  async ask(i, method, path, body, timeoutMs = 5_000, isDetail = true) {
    const sentMs = performance.now();
    const reply = await request(this.ports[i], method, path, body, timeoutMs);
    this.answers += reply ? 1 : 0;
    this.note(
      `berth-${i} ${method} ${path} -> ${reply ? `${reply.status} ${JSON.stringify(reply.body)?.slice(0, 150)}` : "no answer"} (${Math.round(performance.now() - sentMs)} ms)`,
      isDetail,
    );
    return reply;
  }
  async ready(timeoutMs = 20_000) {
    for (const end = performance.now() + timeoutMs; performance.now() < end; await sleep(100)) {
      const all = await Promise.all(this.nodes.map((_, i) => request(this.ports[i], "GET", "/ready", undefined, 1_000)));
      if (all.every((r) => r?.status === 200)) return true;
    }
    return false;
  }
  /** The owner of each partition according to the state service. */
  owner(i) {
    return this.state.data.get(`lc/now/group/berth-${i}`)?.value?.owner ?? null;
  }
  async stop() {
    this.isOver = true;
    for (const node of this.nodes) {
      if (node.child && node.child.exitCode === null && node.child.signalCode === null) {
        const closed = new Promise((r) => node.child.once("exit", r));
        node.child.kill("SIGKILL");
        await closed;
      }
    }
    for (const w of this.workers.values()) {
      w.note = () => {};
      w.truth = { ...w.truth, gone() {}, placed() {} };
      w.destroy();
    }
    this.state.close();
    this.cloud.close();
    for (const proxies of this.mesh) for (const p of proxies) p?.close();
    rmSync(this.dir, { recursive: true, force: true });
  }
}

const hull = (name, cores, accelerators, memoryGb, price, marketPrice, startupS, pullGbPerS, localGb, yards) => ({
  name, cores, accelerators, memoryGb, localGb, pullGbPerS, price, marketPrice, startupS, yards,
});

/** The settings of claimdesk-pos (../given/kit/sites). */
export function claimdesk(overrides = {}) {
  return {
    nodeZones: ["piarco", "chaguaramas", "san-fernando"],
    zones: ["piarco", "chaguaramas", "san-fernando", "belmont"],
    teams: [
      { name: "intake-crew", cpus: 304.0, cpusMax: 616.0 },
      { name: "claims-team", cpus: 456.0, cpusMax: 1840.0 },
    ],
    types: [
      hull("counterbox", 32.0, 0.0, 64.0, 1.66, 0.39, 20.0, 0.5, 60.0, ["piarco", "chaguaramas", "san-fernando", "belmont"]),
      hull("lensbox", 16.0, 2.0, 64.0, 4.59, 1.21, 60.0, 0.5, 100.0, ["piarco", "chaguaramas", "belmont"]),
      hull("vaultbox", 96.0, 8.0, 576.0, 26.89, 6.52, 35.0, 0.2, 70.0, ["piarco", "belmont"]),
    ],
    capacity: {
      "counterbox/piarco/false": 2, "counterbox/chaguaramas/false": 3, "counterbox/san-fernando/false": 3, "counterbox/belmont/false": 2,
      "counterbox/piarco/true": 1, "counterbox/chaguaramas/true": 1, "counterbox/san-fernando/true": 1, "counterbox/belmont/true": 1,
      "lensbox/piarco/false": 4, "lensbox/chaguaramas/false": 6, "lensbox/belmont/false": 5, "lensbox/piarco/true": 2, "lensbox/chaguaramas/true": 3, "lensbox/belmont/true": 2,
      "vaultbox/piarco/false": 1, "vaultbox/belmont/false": 1, "vaultbox/piarco/true": 1, "vaultbox/belmont/true": 1,
    },
    reportS: 1.0, leaseS: 10.0, gangWaitS: 45.0, gangPeerS: 4.0, cancelS: 40.0,
    state: { rps: 250.0, writeRps: 50.0, valueKb: 8.0, txnOps: 24, latencyMs: 6 },
    cloud: { rps: 1.5, listLagS: 10.0, options: { latencyMs: 200 } },
    memMb: 146.0,
    ...overrides,
  };
}

/** A job as a user sends it; `runMs` is known to the workers alone. */
export function newJob(truth, n, fields) {
  const id = `req-${String(n).padStart(6, "0")}`;
  const { runMs, isFaulty, ...rest } = fields;
  const body = {
    id, jobclass: "demo", crew: "claims-team", shape: "batch", urgency: "normal", shards: 1, cores: 1.0, accelerators: 0.0, memoryGb: 0.5,
    bundle: "img-01", sizeGb: 0.5, hulls: null, yard: null, samePlace: false, spread: false, loaners: false, reckonS: 5.0,
    stashEveryS: 0.0, stashS: 0.0, dueS: null, ...rest,
  };
  truth.jobs.set(id, { ...body, runMs: runMs ?? 3_000, isFaulty });
  return body;
}
