// A state service as PROTOCOL describes it. One listener for each controller, so that faults can hit one of them alone.
import http from "node:http";

const KEPT_CHANGES = 10_000;
const PAGE_ITEMS = 1_000;
const PAGE_BYTES = 512 * 1024;
const TRANSACTION_BYTES = 64 * 1024;

export class StateService {
  constructor({ rps, writeRps, valueKb, txnOps, latencyMs = 4, firstEpoch = 0 }) {
    Object.assign(this, { rps, writeRps, valueKb, txnOps, latencyMs });
    this.epoch = firstEpoch;
    this.data = new Map();
    this.log = [];
    this.logStart = firstEpoch;
    this.leases = new Map();
    this.lastLease = 0;
    this.watches = new Set();
    this.tokens = rps;
    this.writeTokens = writeRps;
    this.refilledMs = performance.now();
    /** An outage for everybody. */
    this.isOut = false;
    this.servers = [];
    this.stats = { requests: 0, limited: 0, rejected: [] };
    /** Called for each commit request: returns null, "lose" (carried out, no answer), or a delay in ms (no answer, carried out late). */
    this.onCommit = () => null;
    this.onApplied = () => {};
    this.timer = setInterval(() => this.expireLeases(), 50);
  }

  /** Opens a listener; the returned object controls what its clients get: `mode` is "ok", "refuse" (503) or "silent". */
  async listen(name) {
    const gate = { name, mode: "ok", delayMs: 0 };
    const server = http.createServer({ keepAliveTimeout: 120_000 }, (req, res) => {
      const chunks = [];
      req.on("data", (c) => chunks.push(c));
      req.on("end", () => {
        setTimeout(
          () => this.serve(gate, req, Buffer.concat(chunks).toString(), res),
          this.latencyMs * (0.6 + 0.8 * Math.random()) + gate.delayMs,
        );
      });
    });
    await new Promise((r) => server.listen(0, "127.0.0.1", r));
    gate.port = server.address().port;
    gate.reset = () => server.closeAllConnections();
    this.servers.push(server);
    return gate;
  }
  close() {
    clearInterval(this.timer);
    for (const s of this.servers) {
      s.close();
      s.closeAllConnections();
    }
  }

  setOutage(isOut) {
    if (this.isOut && !isOut) {
      const now = performance.now();
      for (const lease of this.leases.values()) lease.endsMs = now + lease.ttlMs;
    }
    this.isOut = isOut;
    if (!isOut) this.wakeWatches();
  }
  expireLeases() {
    if (this.isOut) return;
    const now = performance.now();
    for (const [id, lease] of this.leases) {
      if (now < lease.endsMs) continue;
      this.endLease(id);
    }
  }
  endLease(id) {
    this.leases.delete(id);
    const keys = [...this.data].filter(([, d]) => d.lease === id).map(([k]) => k);
    if (keys.length === 0) return;
    this.epoch++;
    for (const k of keys) {
      this.data.delete(k);
      this.note({ delete: k, stamp: this.epoch });
    }
    this.wakeWatches();
  }
  note(change) {
    this.log.push(change);
    if (this.log.length > KEPT_CHANGES * 1.1) {
      const dropped = this.log.splice(0, this.log.length - KEPT_CHANGES);
      this.logStart = dropped.at(-1).stamp;
    }
  }
  changesSince(under, since) {
    const found = [];
    for (let i = this.log.length - 1; i >= 0 && this.log[i].stamp > since; i--) {
      const c = this.log[i];
      if ((c.put ?? c.delete).startsWith(under)) found.push(c);
    }
    return found.reverse();
  }
  wakeWatches() {
    if (this.isOut) return;
    for (const w of [...this.watches]) w.check();
  }

  serve(gate, req, text, res) {
    this.stats.requests++;
    const url = new URL(req.url, "http://x");
    const reply = (status, body) => {
      if (gate.mode === "silent") return;
      res.writeHead(status, { "content-type": "application/json" }).end(JSON.stringify(body));
    };
    if (gate.mode === "silent") return;
    if (this.isOut || gate.mode === "refuse") return reply(503, { error: "trouble" });
    const now = performance.now();
    const elapsedS = (now - this.refilledMs) / 1000;
    this.refilledMs = now;
    this.tokens = Math.min(this.rps, this.tokens + elapsedS * this.rps);
    this.writeTokens = Math.min(this.writeRps, this.writeTokens + elapsedS * this.writeRps);
    if (this.tokens < 1) {
      this.stats.limited++;
      return reply(429, { error: "too many requests" });
    }
    this.tokens--;
    let body = {};
    if (text) {
      try {
        body = JSON.parse(text);
      } catch {
        return reply(400, { error: "malformed" });
      }
    }
    this.expireLeases();
    const path = url.pathname;
    if (req.method === "POST" && path === "/commit") return this.commit(gate, body, text.length, reply);
    if (req.method === "POST" && path === "/holds") {
      const id = ++this.lastLease;
      this.leases.set(id, { ttlMs: body.ttlMs, endsMs: now + body.ttlMs });
      return reply(200, { tenancy: id });
    }
    const touch = /^\/holds\/(\d+)\/touch$/.exec(path);
    if (touch) {
      const lease = this.leases.get(Number(touch[1]));
      if (!lease) return reply(404, { error: "no such lease" });
      lease.endsMs = now + lease.ttlMs;
      return reply(200, {});
    }
    const q = url.searchParams;
    if (path === "/changes") {
      const under = q.get("under") ?? "";
      const since = Number(q.get("since"));
      if (since < this.logStart) return reply(410, { error: "too old" });
      const found = this.changesSince(under, since);
      const holdMs = Math.min(60_000, Number(q.get("holdMs") ?? 0));
      if (found.length > 0 || holdMs === 0) return reply(200, { epoch: this.epoch, log: found });
      const watch = {
        check: (isOver = false) => {
          if (this.isOut || gate.mode === "refuse") {
            watch.isDue ||= isOver;
            if (!watch.poll) watch.poll = setInterval(() => watch.check(), 50);
            return;
          }
          const log = this.changesSince(under, since);
          if (log.length === 0 && !isOver && !watch.isDue) return;
          this.watches.delete(watch);
          clearTimeout(watch.timer);
          clearInterval(watch.poll);
          reply(200, { epoch: this.epoch, log });
        },
      };
      watch.timer = setTimeout(() => watch.check(true), holdMs);
      this.watches.add(watch);
      res.on("close", () => {
        this.watches.delete(watch);
        clearTimeout(watch.timer);
        clearInterval(watch.poll);
      });
      return;
    }
    if (path === "/keys") {
      const under = q.get("under") ?? "";
      const after = q.get("since") ?? "";
      const most = Math.min(PAGE_ITEMS, Number(q.get("most") ?? PAGE_ITEMS));
      const keys = [...this.data.keys()].filter((k) => k.startsWith(under) && k > after).sort();
      const items = [];
      let bytes = 0;
      for (const k of keys) {
        const d = this.data.get(k);
        const item = { k, value: d.value, stamp: d.stamp };
        bytes += JSON.stringify(item).length;
        if (items.length >= most || bytes > PAGE_BYTES) break;
        items.push(item);
      }
      return reply(200, { items, truncated: items.length < keys.length, epoch: this.epoch });
    }
    if (path.startsWith("/keys/")) {
      const k = path.slice(6);
      const d = this.data.get(k);
      return d
        ? reply(200, { k, value: d.value, stamp: d.stamp, ...(d.lease === undefined ? {} : { tenancy: d.lease }) })
        : reply(404, { epoch: this.epoch });
    }
    return reply(400, { error: "malformed" });
  }

  commit(gate, body, bytes, reply) {
    const writes = body.writes ?? [];
    const conditions = body.if ?? [];
    const tooLarge = writes.some(
      (w) => w.put !== undefined && Buffer.byteLength(JSON.stringify(w.value)) > this.valueKb * 1024,
    );
    if (writes.length > this.txnOps || conditions.length > 4 * this.txnOps || bytes > TRANSACTION_BYTES || tooLarge) {
      this.stats.rejected.push(`${writes.length} writes, ${conditions.length} conditions, ${bytes} bytes`);
      return reply(400, { error: "too large" });
    }
    if (this.writeTokens < writes.length) {
      this.stats.limited++;
      return reply(429, { error: "too many changes" });
    }
    this.writeTokens -= writes.length;
    const apply = () => {
      this.expireLeases();
      for (const w of writes)
        if (w.put !== undefined && w.tenancy !== undefined && !this.leases.has(w.tenancy))
          return [400, { error: "no such lease" }];
      const failed = conditions.filter((c) => (this.data.get(c.k)?.stamp ?? 0) !== c.stamp).map((c) => c.k);
      if (failed.length > 0) return [409, { failed, epoch: this.epoch }];
      if (writes.length === 0) return [200, { epoch: this.epoch }];
      this.epoch++;
      for (const w of writes) {
        if (w.put !== undefined) {
          this.data.set(w.put, { value: w.value, stamp: this.epoch, lease: w.tenancy });
          this.note({ put: w.put, value: w.value, stamp: this.epoch });
        } else if (this.data.delete(w.delete)) this.note({ delete: w.delete, stamp: this.epoch });
      }
      this.onApplied(gate, body);
      setImmediate(() => this.wakeWatches());
      return [200, { epoch: this.epoch }];
    };
    const fate = this.onCommit(gate, body);
    if (fate === null) return reply(...apply());
    if (fate === "lose") return void apply();
    const applyLate = () => (this.isOut ? setTimeout(applyLate, 200) : apply());
    setTimeout(applyLate, fate);
  }
}
