/**
 * Stand-ins for the cloud and its machines, written from PROTOCOL: "Workers -> controller nodes", "Controller nodes -> workers",
 * "Gangs" and "Controller nodes -> cloud". Machines count on their own what runs, and note what breaks a rule.
 */
import http from "node:http";
import { bodyOf, jsonServer, listen, request } from "./standins.mjs";

/** What runs anywhere, as the platform sees it: tasks that have their image and have not exited. */
export class Ledger {
  running = new Map(); // shard -> Set of "machine#try"
  completed = new Set(); // shards
  used = new Map(); // team -> cores
  starts = [];
  broken = [];
  jobs = new Map(); // id -> description
  toldCancelledMs = new Map();
  gangs = new Map(); // "job#try" -> Map(index -> task)

  constructor(site, record) {
    this.site = site;
    this.record = record;
  }
  breaks(text) {
    this.broken.push(text);
    this.record.note(`RULE: ${text}`);
  }
  begin(machine, task) {
    const { job } = task;
    const here = this.running.get(task.shard) ?? new Set();
    this.running.set(task.shard, here);
    if ([...here].some((at) => !at.startsWith(`${machine.id}#`)))
      this.breaks(`ran_twice: ${task.shard} starts on ${machine.id} while it is on ${[...here].join(", ")}`);
    here.add(`${machine.id}#${task.try}`);
    const cores = (this.used.get(job.crew) ?? 0) + job.cores;
    this.used.set(job.crew, cores);
    const max = this.site.teams.find((t) => t.name === job.crew)?.cpus_max;
    if (max && cores > max + 1e-6) this.breaks(`quota: ${job.crew} uses ${cores} cores of ${max}`);
    if ((job.hulls && !job.hulls.includes(machine.hull)) || (job.yard && job.yard !== machine.yard) || (!job.loaners && machine.loaners))
      this.breaks(`wrong_place: ${task.shard} on ${machine.id}`);
    const places = [...this.running].filter(([s, at]) => s.startsWith(`${job.id}/`) && at.size > 0).flatMap(([, at]) => [...at].map((a) => this.yardOf(a)));
    if (job.samePlace && new Set(places).size > 1) this.breaks(`wrong_place: ${job.id} in several zones: ${places.join()}`);
    const inYard = places.filter((y) => y === machine.yard).length;
    if (job.spread && inYard > Math.ceil(job.shards / 2)) this.breaks(`wrong_place: ${inYard} of ${job.shards} of ${job.id} in ${machine.yard}`);
    const told = this.toldCancelledMs.get(job.id);
    if (told !== undefined) {
      this.record.note(`${task.shard} starts on ${machine.id} ${((performance.now() - told) / 1000).toFixed(1)} s after its user was told cancelled`);
      if (performance.now() - told > this.site.cancel_s * 1000) this.breaks(`ran_cancelled: ${task.shard} starts`);
    }
    for (const id of job.awaits ?? []) {
      const before = this.jobs.get(id);
      if (before && ![...Array(before.shards).keys()].every((i) => this.completed.has(`${id}/${i}`))) this.breaks(`too_early: ${task.shard} before ${id} is done`);
    }
    this.starts.push({ shard: task.shard, machine: machine.id, try: task.try, atMs: performance.now() });
    this.record.note(`${machine.id}: ${task.shard} try ${task.try} is on the machine`);
  }
  yardOf(at) {
    return this.machines.get(at.split("#")[0])?.yard;
  }
  end(machine, task, why) {
    const here = this.running.get(task.shard);
    if (!here?.delete(`${machine.id}#${task.try}`)) return;
    this.used.set(task.job.crew, (this.used.get(task.job.crew) ?? 0) - task.job.cores);
    this.record.note(`${machine.id}: ${task.shard} try ${task.try} leaves: ${why}`);
  }
  /** Cancelled tasks that are still on a machine after `cancel_s`. */
  check() {
    for (const [shard, at] of this.running) {
      const told = this.toldCancelledMs.get(shard.split("/")[0]);
      if (at.size > 0 && told !== undefined && performance.now() - told > this.site.cancel_s * 1000 && !this.seen?.has(shard)) {
        (this.seen ??= new Set()).add(shard);
        this.breaks(`ran_cancelled: ${shard} is still on ${[...at].join()}`);
      }
    }
  }
}

export class Machine {
  watch = 1;
  tally = 0;
  baton = 0;
  tasks = new Map();
  node = 0;
  recallAtMs = null;
  state = "starting";
  frozen = false;
  /** Reports reach no controller / answers are lost / direct commands are lost. */
  mute = false;
  deaf = false;
  deafToCommands = false;
  /** Fails every task that it starts. */
  faulty = false;
  /** Without power, until it is back with nothing of what was on it. */
  down = false;
  /** Bodies of the direct commands that it carried out and that start a task. */
  carriedOut = [];

  constructor(cloud, id, hull, yard, loaners) {
    Object.assign(this, { cloud, id, hull, yard, loaners, ledger: cloud.ledger, site: cloud.site });
    this.type = cloud.hulls.find((h) => h.name === hull);
    this.rentedMs = performance.now();
  }
  async up() {
    this.server = http.createServer((req, res) => {
      void (async () => {
        const text = await bodyOf(req);
        await this.thaw();
        if (this.gone || this.down || this.deafToCommands) return res.destroy();
        this.expire();
        const answer = (status) => res.writeHead(status, { "content-type": "application/json" }).end(JSON.stringify(this.report()));
        if (req.method === "GET") return answer(200);
        const body = JSON.parse(text);
        if (typeof body.baton !== "number" || typeof body.watch !== "number") return answer(400);
        const hold = this.cloud.holdCommands?.(this, body);
        if (hold) {
          res.destroy();
          await new Promise((resolve) => setTimeout(resolve, hold));
          await this.thaw();
          if (this.gone) return;
          this.expire();
        }
        const ok = body.baton >= this.baton && body.watch === this.watch;
        this.ledger.record.note(`${this.id}: /commands baton ${body.baton} watch ${body.watch}: ${ok ? "" : "refused "}${JSON.stringify(body.orders)}`);
        if (ok) this.execute(body);
        if (ok && body.orders.some((o) => o.verb === "start")) this.carriedOut.push(body);
        if (!hold) answer(ok ? 200 : 409);
      })().catch(() => res.destroy());
    });
    this.port = await listen(this.server);
    if (this.gone) return this.server.close();
    this.leaseMs = performance.now();
    this.state = "running";
    this.loop();
  }
  /** A late copy of a direct command. Its sender has long had its answer, so there is none. */
  receiveCopy(body) {
    this.expire();
    const ok = body.baton >= this.baton && body.watch === this.watch;
    this.ledger.record.note(
      `${this.id}: late copy of /commands baton ${body.baton} watch ${body.watch} (highest seen ${this.baton}, session ${this.watch}): ${ok ? "executed" : "refused"} ${JSON.stringify(body.orders)}`,
    );
    if (ok) this.execute(body);
  }
  /** Stops with all that is on it, and is back after `downMs`: first session, no token seen, no task, no image. */
  async restart(downMs) {
    this.down = true;
    for (const t of this.tasks.values()) this.leave(t, "machine stopped");
    this.tasks.clear();
    this.ledger.record.note(`${this.id}: stops with all that is on it`);
    await new Promise((resolve) => setTimeout(resolve, downMs));
    Object.assign(this, { watch: 1, tally: 0, baton: 0, images: new Set(), leaseMs: performance.now(), down: false, node: 0 });
    this.changed = true;
    this.ledger.record.note(`${this.id}: back`);
  }
  async thaw() {
    while ((this.frozen || this.down) && !this.gone) await new Promise((resolve) => setTimeout(resolve, 50));
  }
  report() {
    return {
      berth: this.id,
      address: `127.0.0.1:${this.port}`,
      hull: this.hull,
      yard: this.yard,
      loaners: this.loaners,
      watch: this.watch,
      tally: ++this.tally,
      baton: this.baton,
      recallS: this.recallAtMs === null ? null : Math.max(0, (this.recallAtMs - performance.now()) / 1000),
      shards: [...this.tasks.values()].map((t) => ({
        shard: t.shard,
        try: t.try,
        status: t.status,
        ...(t.cause ? { cause: t.cause } : {}),
        ...(t.kept ? { kept: true } : {}),
      })),
    };
  }
  /** The lease also ends on a machine that hangs: its tasks don't run, and can't go on later. */
  expire() {
    if (performance.now() - this.leaseMs <= this.site.lease_s * 1000) return;
    for (const t of this.tasks.values()) this.leave(t, "lease over");
    this.tasks.clear();
    this.watch++;
    this.leaseMs = performance.now();
    this.ledger.record.note(`${this.id}: lease over, session ${this.watch}`);
  }
  async loop() {
    while (!this.gone) {
      await this.thaw();
      if (this.gone) return;
      this.expire();
      this.changed = false;
      await this.send();
      const untilMs = performance.now() + this.site.report_s * 1000 * (0.75 + Math.random() * 0.5);
      const soonestMs = performance.now() + 500;
      while (!this.gone && performance.now() < untilMs && !(this.changed && performance.now() >= soonestMs))
        await new Promise((resolve) => setTimeout(resolve, 20));
    }
  }
  async send(hops = 0) {
    const ports = this.cloud.clientPorts;
    const sentMs = performance.now();
    const watch = this.watch;
    const body = this.report();
    const reply = this.mute ? null : await request(ports[this.node].port, "POST", "/hello", body, 4000);
    await this.thaw();
    if (this.gone || this.tally < body.tally) return;
    this.expire();
    if (this.deaf || !reply) {
      this.node = (this.node + 1) % ports.length;
      return new Promise((resolve) => setTimeout(resolve, 1000));
    }
    if (this.traced) this.ledger.record.note(`${this.id}: report ${body.tally} of session ${watch} with baton ${body.baton}: ${reply.status}`);
    if (reply.status === 200) {
      if (watch !== this.watch || !(reply.body.baton >= this.baton) || performance.now() - sentMs > 4000) return;
      this.leaseMs = Math.max(this.leaseMs, sentMs);
      this.execute(reply.body);
      return;
    }
    const named = ports.findIndex((p) => p.label === reply.body.harbormaster);
    if (reply.status === 421 && named >= 0 && named !== this.node && hops < 5) {
      this.node = named;
      return this.send(hops + 1);
    }
    this.node = (this.node + 1) % ports.length;
    return new Promise((resolve) => setTimeout(resolve, 1000));
  }
  execute({ baton, orders }) {
    if (baton > this.baton) {
      this.baton = baton;
      this.changed = true;
    }
    for (const { verb, shard, try: attempt, leewayS } of orders ?? []) {
      const key = `${shard}#${attempt}`;
      const task = this.tasks.get(key);
      if (verb === "start" && !task) this.startTask(key, shard, attempt);
      else if (verb === "kill" && task) this.kill(task, leewayS ?? 0);
      else if (verb === "clear" && task?.status === "exited") this.tasks.delete(key);
    }
  }
  startTask(key, shard, attempt) {
    const job = this.ledger.jobs.get(shard.split("/")[0]);
    const index = Number(shard.split("/")[1]);
    const task = { shard, try: attempt, status: "fetching", cause: null, job, index };
    this.tasks.set(key, task);
    this.changed = true;
    if (!job || index >= job.shards) return this.exit(task, "no_such");
    const live = [...this.tasks.values()].filter((t) => t !== task && t.status !== "exited");
    if (live.some((t) => t.shard === shard)) return this.exit(task, "busy");
    const sum = (f) => live.reduce((n, t) => n + t.job[f], 0);
    if (
      sum("cores") + job.cores > this.type.cores + 1e-6 ||
      sum("accelerators") + job.accelerators > this.type.accelerators + 1e-6 ||
      sum("memoryGb") + job.memoryGb > this.type.memoryGb + 1e-6
    )
      return this.exit(task, "no_room");
    const fetchMs = (this.images ??= new Set()).has(job.bundle) ? 5 : (job.sizeGb / this.type.pullGbPerS) * 1000 + 5;
    setTimeout(async () => {
      await this.thaw();
      this.expire();
      if (this.gone || this.tasks.get(key) !== task || task.status !== "fetching") return;
      this.images.add(job.bundle);
      this.ledger.begin(this, task);
      if (this.ledger.completed.has(shard)) return this.exit(task, "done");
      if (job.shape === "ensemble" && job.shards > 1) this.joinGang(task);
      else this.run(task);
    }, fetchMs);
  }
  run(task) {
    task.status = "running";
    this.changed = true;
    if (task.job.shape === "daemon") return;
    const tick = async (leftMs) => {
      await this.thaw();
      if (this.gone || task.status !== "running") return;
      if (leftMs > 0) return void setTimeout(() => void tick(leftMs - 100), 100);
      this.expire();
      if (task.status !== "running" || !this.tasks.has(`${task.shard}#${task.try}`)) return;
      if (task.job.fails || this.faulty) return this.exit(task, "error");
      this.ledger.completed.add(task.shard);
      this.exit(task, "done");
    };
    void tick(this.faulty ? 1000 : task.job.runS * 1000);
  }
  joinGang(task) {
    task.status = "waiting";
    this.changed = true;
    const key = `${task.job.id}#${task.try}`;
    const members = this.ledger.gangs.get(key) ?? new Map();
    this.ledger.gangs.set(key, members);
    members.set(task.index, { machine: this, task });
    setTimeout(() => task.status === "waiting" && this.exit(task, "incomplete"), this.site.gang_wait_s * 1000);
    if (members.size < task.job.shards || ![...members.values()].every((m) => m.task.status === "waiting")) return;
    for (const m of members.values()) {
      m.task.status = "running";
      m.machine.changed = true;
    }
    const startMs = performance.now();
    const watchGang = () => {
      const all = [...members.values()];
      if (all.some((m) => m.task.status !== "running" || m.machine.gone || m.machine.tasks.get(`${m.task.shard}#${m.task.try}`) !== m.task)) {
        setTimeout(() => {
          for (const m of all) if (m.task.status === "running") m.machine.exit(m.task, "peers");
        }, this.site.gang_peer_s * 500);
        return;
      }
      if (performance.now() - startMs >= task.job.runS * 1000 && all.every((m) => !m.machine.frozen)) {
        for (const m of all) {
          this.ledger.completed.add(m.task.shard);
          m.machine.exit(m.task, "done");
        }
        return;
      }
      setTimeout(watchGang, 100);
    };
    setTimeout(watchGang, 100);
  }
  kill(task, leewayS) {
    if (task.status === "exited") return;
    if (task.status === "running" && task.job.stashEveryS > 0 && leewayS >= task.job.stashS) {
      task.status = "saving";
      this.changed = true;
      setTimeout(async () => {
        await this.thaw();
        if (task.status !== "saving") return;
        task.kept = true;
        this.exit(task, "stopped");
      }, task.job.stashS * 1000);
      return;
    }
    if (task.status === "saving" && leewayS > 0) return;
    this.exit(task, "stopped");
  }
  exit(task, cause) {
    if (task.status === "exited") return;
    this.leave(task, cause);
    task.status = "exited";
    task.cause = cause;
    this.changed = true;
  }
  leave(task, why) {
    if (task.job) this.ledger.end(this, task, why);
    if (task.status !== "exited") task.status = "exited";
  }
  /** The machine is gone with everything on it. */
  die() {
    this.gone = true;
    for (const t of this.tasks.values()) this.leave(t, "machine gone");
    this.tasks.clear();
    this.server?.closeAllConnections();
    this.server?.close();
  }
}

/** Rents machines. `bootS`: how long a machine takes to be up; `stock`: how many there are of each `hull/yard/kind`. */
export class Cloud {
  machines = new Map();
  charters = new Map();
  last = 0;
  rented = [];
  out = false;
  constructor(site, record, { bootS = () => 2, stock = () => Infinity } = {}) {
    this.site = site;
    this.hulls = site.hulls;
    this.record = record;
    this.ledger = new Ledger(site, record);
    this.ledger.machines = this.machines;
    Object.assign(this, { bootS, stock });
    this.history = [];
  }
  async start() {
    this.server = jsonServer((method, url, body) => {
      if (this.out) return [503, { error: "trouble" }];
      if (url.pathname === "/catalog") return [200, { hulls: this.hulls }];
      if (url.pathname === "/hosts" && method === "GET") return [200, this.list(url.searchParams)];
      if (url.pathname === "/hosts") return this.rent(body);
      if (url.pathname === "/hosts/return") {
        this.record.note(`cloud: returned ${body.berths.join(", ")}`);
        for (const id of body.berths) this.remove(id);
        return [200, {}];
      }
      return [400, {}];
    });
    this.port = await listen(this.server);
    this.timer = setInterval(() => {
      for (const m of this.machines.values()) if (m.frozen && !m.gone && m.leaseMs) m.expire();
      this.ledger.check();
    }, 50);
  }
  rent({ charter, hull, yard, loaners, number }) {
    if (this.charters.has(charter)) return [200, { berths: this.charters.get(charter) }];
    const kind = `${hull}/${yard}/${loaners ? "spot" : "ordinary"}`;
    const held = [...this.machines.values()].filter((m) => !m.gone && `${m.hull}/${m.yard}/${m.loaners ? "spot" : "ordinary"}` === kind).length;
    const count = Math.min(number, this.stock(kind) - held);
    if (count <= 0) return [503, { error: "no capacity" }];
    const ids = Array.from({ length: count }, () => this.add(hull, yard, loaners).id);
    this.charters.set(charter, ids);
    this.record.note(`cloud: ${charter} rents ${ids.join(", ")} (${kind})`);
    return [200, { berths: ids }];
  }
  add(hull, yard, loaners, bootS = this.bootS()) {
    const id = `n-${String(++this.last).padStart(6, "0")}`;
    const machine = new Machine(this, id, hull, yard, loaners);
    this.machines.set(id, machine);
    this.snapshot();
    setTimeout(() => machine.gone || void machine.up().then(() => this.snapshot()), bootS * 1000);
    return machine;
  }
  remove(id) {
    const machine = this.machines.get(id);
    if (!machine || machine.gone) return;
    machine.die();
    machine.removed = true;
    this.snapshot();
  }
  snapshot() {
    this.history.push({
      atMs: performance.now(),
      berths: [...this.machines.values()]
        .filter((m) => !m.removed)
        .map((m) => ({ id: m.id, address: `127.0.0.1:${m.port ?? 1}`, hull: m.hull, yard: m.yard, loaners: m.loaners, status: m.state, rentedMs: m.rentedMs })),
    });
  }
  list(query) {
    const asOfMs = performance.now() - this.site.cloud.list_lag_s * 1000;
    const shown = this.history.filter((h) => h.atMs <= asOfMs).at(-1) ?? { berths: [] };
    const since = query.get("since") ?? "";
    const berths = shown.berths.filter((b) => b.id > since).slice(0, 500);
    return { berths: berths.map(({ rentedMs, ...b }) => ({ ...b, ageS: (asOfMs - rentedMs) / 1000 })), truncated: false };
  }
  stop() {
    clearInterval(this.timer);
    for (const m of this.machines.values()) if (!m.gone) m.die();
    this.server.closeAllConnections();
    this.server.close();
  }
}
