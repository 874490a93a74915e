// Workers as PROTOCOL describes them, and what truly runs on them.
import http from "node:http";

const agent = new http.Agent({ keepAlive: true, maxSockets: 2000 });

/** One HTTP request; resolves to null without a complete response. */
export function request(port, method, path, body, timeoutMs, headers = {}) {
  return new Promise((resolve) => {
    const text = body === undefined ? undefined : typeof body === "string" ? body : JSON.stringify(body);
    const req = http.request(
      {
        host: "127.0.0.1", port, method, path, agent,
        headers: { ...(text === undefined ? {} : { "content-type": "application/json", "content-length": Buffer.byteLength(text) }), ...headers },
      },
      (res) => {
        const chunks = [];
        res.on("data", (c) => chunks.push(c));
        res.on("end", () => {
          clearTimeout(timer);
          let parsed = null;
          try {
            parsed = JSON.parse(Buffer.concat(chunks).toString());
          } catch {}
          resolve({ status: res.statusCode, body: parsed, headers: res.headers });
        });
        res.on("error", () => resolve(null));
      },
    );
    const timer = setTimeout(() => {
      resolve(null);
      req.destroy();
    }, timeoutMs);
    req.on("error", () => {
      clearTimeout(timer);
      resolve(null);
    });
    req.end(text);
  });
}

/** What is on which machine, and which of the rules were broken. `s`: the settings of the deployment. */
export class Truth {
  constructor(s, note) {
    this.s = s;
    this.note = note;
    this.jobs = new Map();
    this.on = new Map();
    this.use = new Map();
    this.completed = new Set();
    this.gangs = new Map();
    this.violations = [];
    this.starts = 0;
    this.tasksDone = 0;
  }
  violate(rule, text) {
    this.violations.push(`${rule}: ${text}`);
    this.note(`VIOLATION ${rule}: ${text}`);
  }
  placed(task) {
    const { job, worker, index } = task;
    const now = performance.now();
    this.starts++;
    const key = `${job.id}/${index}`;
    const others = [...(this.on.get(job.id)?.values() ?? [])];
    const twin = others.find((t) => t.index === index);
    if (twin) this.violate("ran_twice", `${key} try ${task.try} starts on ${worker.id}, try ${twin.try} is on ${twin.worker.id}`);
    if (job.hulls && !job.hulls.includes(worker.hull)) this.violate("wrong_place", `${key} on type ${worker.hull}`);
    if (job.yard && job.yard !== worker.yard) this.violate("wrong_place", `${key} in zone ${worker.yard}`);
    if (worker.loaners && !job.loaners) this.violate("wrong_place", `${key} on a spot machine`);
    if (job.samePlace && others.some((t) => t.worker.yard !== worker.yard)) this.violate("wrong_place", `${key} in zone ${worker.yard}, others elsewhere`);
    if (job.spread && others.filter((t) => t.worker.yard === worker.yard).length + 1 > Math.ceil(job.shards / 2))
      this.violate("wrong_place", `${key}: too many in ${worker.yard}`);
    if (job.cancelToldMs && now - job.cancelToldMs > this.s.cancelS * 1000) this.violate("ran_cancelled", `${key} starts ${Math.round(now - job.cancelToldMs)} ms after`);
    for (const need of job.awaits ?? [])
      if (!this.isComplete(need)) this.violate("too_early", `${key} before ${need}`);
    let tasks = this.on.get(job.id);
    if (!tasks) this.on.set(job.id, (tasks = new Set()));
    tasks.add(task);
    const u = this.use.get(job.crew) ?? { cpus: 0, gpus: 0 };
    u.cpus += job.cores;
    u.gpus += job.accelerators ?? 0;
    this.use.set(job.crew, u);
    const team = this.s.teams.find((t) => t.name === job.crew);
    if ((team.cpusMax && u.cpus > team.cpusMax + 1e-6) || (team.gpusMax && u.gpus > team.gpusMax + 1e-6))
      this.violate("quota", `${job.crew} uses ${u.cpus} CPUs, ${u.gpus} GPUs with ${key}`);
  }
  gone(task) {
    const tasks = this.on.get(task.job.id);
    if (!tasks?.delete(task)) return;
    const { job } = task;
    const u = this.use.get(job.crew);
    u.cpus -= job.cores;
    u.gpus -= job.accelerators ?? 0;
    if (job.cancelToldMs && performance.now() - job.cancelToldMs > this.s.cancelS * 1000)
      this.violate("ran_cancelled", `${job.id}/${task.index} was on ${task.worker.id} until ${Math.round(performance.now() - job.cancelToldMs)} ms after`);
  }
  isComplete(id) {
    const job = this.jobs.get(id);
    if (!job) return false;
    return (job.doneTasks ?? 0) >= job.shards;
  }
  complete(job, index) {
    const key = `${job.id}/${index}`;
    if (this.completed.has(key)) return;
    this.completed.add(key);
    job.doneTasks = (job.doneTasks ?? 0) + 1;
    if (job.doneTasks === job.shards) job.doneAtMs = performance.now();
    this.tasksDone++;
  }
}

export class Worker {
  constructor({ id, hull, yard, loaners, type, truth, ports, labels, s, note, fetchS }) {
    Object.assign(this, { id, hull, yard, loaners, type, truth, ports, labels, s, note, fetchS });
    this.watch = 1;
    this.tally = 0;
    this.token = 0;
    this.renewedMs = performance.now();
    this.node = Math.floor(Math.random() * ports.length);
    this.tasks = new Map();
    this.images = new Set();
    this.lastSentMs = -Infinity;
    this.isSending = false;
    this.isGone = false;
    this.isHung = false;
    /** Nodes that this machine can't reach, and whether answers and commands to it are lost. */
    this.cutFrom = new Set();
    this.isDeaf = false;
    this.lateReports = null;
    this.waitingRequests = [];
    this.badReports = 0;
    this.recallAtMs = null;
    this.seenState = "";
  }
  async start() {
    this.server = http.createServer({ keepAliveTimeout: 60_000 }, (req, res) => {
      const chunks = [];
      req.on("data", (c) => chunks.push(c));
      req.on("end", () => {
        const serve = () => this.serve(req, Buffer.concat(chunks).toString(), res);
        if (this.isHung) this.waitingRequests.push(serve);
        else serve();
      });
    });
    await new Promise((r) => this.server.listen(0, "127.0.0.1", r));
    this.address = `127.0.0.1:${this.server.address().port}`;
    this.leaseTimer = setInterval(() => this.checkLease(), 20);
    this.loop();
    return this;
  }
  /** The machine is gone, with everything on it. */
  destroy() {
    if (this.isGone) return;
    this.isGone = true;
    clearTimeout(this.timer);
    clearInterval(this.leaseTimer);
    this.dropAll();
    this.server?.close();
    this.server?.closeAllConnections();
  }
  /** The worker is back at once, without its tasks, counters and token. */
  restart() {
    this.dropAll();
    this.watch = 1;
    this.tally = 0;
    this.token = 0;
    this.renewedMs = performance.now();
    this.sendSoon();
  }
  hang(ms) {
    this.isHung = true;
    setTimeout(() => {
      this.isHung = false;
      if (this.isGone) return;
      this.checkLease();
      for (const f of this.waitingRequests.splice(0)) f();
      this.loop();
    }, ms);
  }
  dropAll() {
    for (const t of this.tasks.values()) {
      if (t.status !== "exited" && (t.job?.shards ?? 0) <= 100) this.note(`${this.id}: ${t.id} try ${t.try} is killed`);
      this.leave(t);
    }
    this.tasks.clear();
  }
  checkLease() {
    if (performance.now() - this.renewedMs <= this.s.leaseS * 1000) return;
    if (this.tasks.size > 0) this.note(`${this.id}: lease ends, ${this.tasks.size} tasks are killed`);
    this.dropAll();
    this.watch++;
    this.renewedMs = performance.now();
  }
  report() {
    return {
      berth: this.id, address: this.address, hull: this.hull, yard: this.yard, loaners: this.loaners,
      watch: this.watch, tally: ++this.tally, baton: this.token,
      recallS: this.recallAtMs === null ? null : Math.max(0, (this.recallAtMs - performance.now()) / 1000),
      shards: [...this.tasks.values()].map((t) => ({
        shard: `${t.id}`, try: t.try, status: t.status,
        ...(t.cause ? { cause: t.cause } : {}), ...(t.kept ? { kept: true } : {}),
      })),
    };
  }
  stateKey() {
    return `${this.watch} ${[...this.tasks.values()].map((t) => `${t.id}#${t.try}${t.status}`).join()}`;
  }
  loop() {
    if (this.isGone) return;
    clearTimeout(this.timer);
    if (!this.isHung) void this.send();
    this.timer = setTimeout(() => this.loop(), this.s.reportS * 1000 * (0.75 + 0.5 * Math.random()));
  }
  sendSoon() {
    if (this.isGone || this.isHung) return;
    clearTimeout(this.timer);
    this.timer = setTimeout(() => this.loop(), Math.max(1, this.lastSentMs + 500 - performance.now()));
  }
  async send() {
    if (this.isSending) return;
    this.checkLease();
    this.isSending = true;
    const sentMs = (this.lastSentMs = performance.now());
    const { watch, node } = this;
    const body = JSON.stringify(this.report());
    const bytes = Buffer.byteLength(body);
    this.largestReport = Math.max(this.largestReport ?? 0, bytes);
    let reply = null;
    if (bytes > 64 * 1024) {
      // "A request body may not exceed 64 KiB": this report can't be sent, so it is not answered.
      if (!this.tooLarge) this.note(`${this.id}: a report of ${this.tasks.size} tasks takes ${bytes} bytes, too many to be sent`);
      this.tooLarge = true;
      this.badReports++;
    } else if (this.cutFrom.has(node)) await new Promise((r) => setTimeout(r, 4_000));
    else {
      this.tooLarge = false;
      reply = await request(this.ports[node], "POST", "/hello", body, 4_000);
      this.onReport?.(node, body, reply);
      if (this.isDeaf) {
        await new Promise((r) => setTimeout(r, Math.max(0, sentMs + 4_000 - performance.now())));
        reply = null;
      }
    }
    if (this.lateReports) this.lateReports(this, body);
    this.isSending = false;
    if (this.isGone) return;
    if (this.isHung) {
      this.waitingRequests.push(() => {
        if (performance.now() - sentMs < 4_000) this.onReply(node, watch, sentMs, reply);
      });
      return;
    }
    this.onReply(node, watch, sentMs, reply);
  }
  onReply(node, watch, sentMs, reply) {
    this.checkLease();
    if (reply?.status === 200 && reply.body) {
      if (watch !== this.watch || !(reply.body.baton >= this.token)) return;
      this.renewedMs = Math.max(this.renewedMs, sentMs);
      this.execute(reply.body, "answer");
      return;
    }
    if (reply?.status === 400) {
      this.badReports++;
      this.note(`${this.id}: report answered 400 ${JSON.stringify(reply.body).slice(0, 120)}`);
    }
    const named = reply?.status === 421 ? this.labels.indexOf(reply.body?.harbormaster ?? "") : -1;
    if (named >= 0 && named !== this.node) {
      this.node = named;
      setTimeout(() => this.loop(), 200 * Math.random());
      return;
    }
    this.node = (this.node + 1) % this.ports.length;
    clearTimeout(this.timer);
    this.timer = setTimeout(() => this.loop(), 1_000);
  }
  serve(req, text, res) {
    this.checkLease();
    if (this.isGone) return;
    if (this.isDeaf) return;
    const reply = (status, body) => res.writeHead(status, { "content-type": "application/json" }).end(JSON.stringify(body));
    if (req.method === "GET" && req.url === "/inspect") return reply(200, this.report());
    if (req.method === "POST" && req.url === "/commands") {
      const body = JSON.parse(text);
      if (body.baton === undefined || body.watch === undefined) return reply(400, {});
      const run = () => {
        this.checkLease();
        if (this.isGone) return null;
        if (body.baton < this.token || body.watch !== this.watch) return 409;
        this.execute(body, "command");
        return 200;
      };
      const lateMs = this.lateCommand?.() ?? 0;
      if (lateMs > 0) return void setTimeout(run, lateMs);
      const status = run();
      if (status !== null) reply(status, this.report());
      return;
    }
    reply(404, {});
  }
  free() {
    const f = { cores: this.type.cores, accelerators: this.type.accelerators ?? 0, memoryGb: this.type.memoryGb };
    for (const t of this.tasks.values()) {
      if (t.status === "exited") continue;
      f.cores -= t.job.cores;
      f.accelerators -= t.job.accelerators ?? 0;
      f.memoryGb -= t.job.memoryGb;
    }
    return f;
  }
  execute(body, how) {
    if (body.baton > this.token) {
      this.token = body.baton;
      if (performance.now() - (this.tokenSentMs ?? -Infinity) > this.s.leaseS * 500) {
        this.tokenSentMs = performance.now();
        this.sendSoon();
      }
    }
    const before = this.stateKey();
    const counts = {};
    for (const o of body.orders ?? []) {
      const what = `${o.verb} of ${o.shard.split("/")[0]}`;
      counts[what] = (counts[what] ?? 0) + 1;
    }
    for (const [what, count] of Object.entries(counts))
      if (count > 1) this.note(`${this.id}: ${how} with ${count} times ${what}, token ${body.baton}`);
    for (const o of body.orders ?? []) {
      const key = `${o.shard}#${o.try}`;
      const task = this.tasks.get(key);
      if (o.verb === "start" && !task) this.startTask(key, o, how);
      else if (o.verb === "kill" && task && task.status !== "exited") this.kill(task, o.leewayS ?? 0);
      else if (o.verb === "clear" && task?.status === "exited") this.tasks.delete(key);
    }
    if (this.stateKey() !== before) this.sendSoon();
  }
  startTask(key, o, how) {
    const slash = o.shard.lastIndexOf("/");
    const job = this.truth.jobs.get(o.shard.slice(0, slash));
    const index = Number(o.shard.slice(slash + 1));
    const task = { id: o.shard, try: o.try, job, index, worker: this, status: "fetching", cause: null, kept: false };
    this.tasks.set(key, task);
    if (!job || !(index < job.shards)) return this.exit(task, "no_such");
    if ([...this.tasks.values()].some((t) => t !== task && t.id === o.shard && t.status !== "exited")) return this.exit(task, "busy");
    const f = this.free();
    if (f.cores < -1e-6 || f.accelerators < -1e-6 || f.memoryGb < -1e-6) return this.exit(task, "no_room");
    this.note(`${this.id}: start ${o.shard} try ${o.try} (${how}, token ${this.token})`, job.shards > 100);
    const fetchMs = this.images.has(job.bundle) ? 5 : 1000 * (this.fetchS ?? ((job.sizeGb ?? 0) / this.type.pullGbPerS) * (0.8 + 0.4 * Math.random()));
    this.after(task, fetchMs, () => this.hasImage(task));
  }
  /** Calls `f` after the time, not counting spells in which the machine hangs, if the task is still there. */
  after(task, ms, f) {
    setTimeout(() => {
      if (this.isGone || this.tasks.get(`${task.id}#${task.try}`) !== task || task.status === "exited") return;
      if (this.isHung) return this.after(task, 100, f);
      this.checkLease();
      if (this.tasks.get(`${task.id}#${task.try}`) !== task) return;
      f();
    }, ms);
  }
  hasImage(task) {
    const { job } = task;
    this.images.add(job.bundle);
    this.truth.placed(task);
    task.isPlaced = true;
    const key = `${job.id}/${task.index}`;
    if (job.shape === "ensemble") return this.joinGang(task);
    task.status = "running";
    this.sendSoon();
    if (this.failsAll || job.isFaulty) return this.after(task, 300, () => this.exit(task, "error"));
    if (job.shape === "daemon") return;
    const runMs = this.truth.completed.has(key) ? 5 : job.runMs * (this.slow ?? 1);
    this.after(task, runMs, () => {
      if (task.status !== "running") return;
      this.truth.complete(job, task.index);
      this.exit(task, "done");
    });
  }
  joinGang(task) {
    const { job } = task;
    const key = `${job.id}#${task.try}`;
    let gang = this.truth.gangs.get(key);
    if (!gang) this.truth.gangs.set(key, (gang = { members: new Map(), started: false }));
    gang.members.set(task.index, task);
    task.gang = gang;
    task.status = "waiting";
    this.sendSoon();
    this.after(task, this.s.gangWaitS * 1000, () => task.status === "waiting" && !gang.started && this.exit(task, "incomplete"));
    if (gang.members.size < job.shards || gang.started) return;
    gang.started = true;
    for (const t of gang.members.values()) {
      t.status = "running";
      t.worker.sendSoon();
    }
    const finish = () => {
      if (gang.broken) return;
      if ([...gang.members.values()].some((t) => t.worker.isHung)) return setTimeout(finish, 200);
      for (const t of gang.members.values()) t.worker.checkLease();
      if (gang.broken) return;
      for (const t of gang.members.values()) this.truth.complete(job, t.index);
      gang.broken = true;
      for (const t of gang.members.values()) t.worker.exit(t, "done");
    };
    const isOver = [...gang.members.keys()].every((i) => this.truth.completed.has(`${job.id}/${i}`));
    setTimeout(finish, isOver ? 5 : job.runMs);
  }
  kill(task, leewayS) {
    const { job } = task;
    if (task.status === "saving") {
      if (leewayS === 0) this.exit(task, "stopped");
      return;
    }
    if (task.status === "running" && job.stashEveryS > 0 && leewayS >= job.stashS) {
      task.status = "saving";
      if (task.gang) task.gang.broken = true;
      this.sendSoon();
      this.after(task, job.stashS * 1000, () => {
        task.kept = true;
        this.exit(task, "stopped");
      });
      return;
    }
    this.exit(task, "stopped");
  }
  exit(task, cause) {
    if (task.status === "exited") return;
    this.note(`${this.id}: ${task.id} try ${task.try} exits: ${cause}`, (task.job?.shards ?? 0) > 100);
    task.status = "exited";
    task.cause = cause;
    this.leave(task);
    this.sendSoon();
  }
  /** The task is no longer on the machine. */
  leave(task) {
    if (task.isPlaced) this.truth.gone(task);
    task.isPlaced = false;
    const { gang } = task;
    if (!gang || gang.members.get(task.index) !== task) return;
    gang.members.delete(task.index);
    if (!gang.started || task.cause === "done") return;
    gang.broken = true;
    for (const t of gang.members.values())
      if (t.status === "running")
        t.worker.after(t, this.s.gangPeerS * 1000 * (0.3 + 0.6 * Math.random()), () => t.status === "running" && t.worker.exit(t, "peers"));
  }
}
