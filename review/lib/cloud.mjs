// The cloud as PROTOCOL describes it. `onUp` is called when a machine has booted, `onGone` when it is deleted.
import http from "node:http";

export class Cloud {
  constructor({ types, capacity, rps, listLagS, latencyMs = 100, bootFactor = () => 0.6 + 0.4 * Math.random() }) {
    Object.assign(this, { types, capacity, rps, listLagS, latencyMs, bootFactor });
    this.machines = new Map();
    this.rentals = new Map();
    this.history = [];
    this.nextId = 1;
    this.isOut = false;
    this.tokens = 2 * rps;
    this.refilledMs = performance.now();
    this.onUp = () => {};
    this.onGone = () => {};
    this.servers = [];
    this.timer = setInterval(() => this.snapshot(), 250);
  }
  /** Adds a machine that is up at the start. */
  add(hull, yard, loaners, state = "running") {
    const id = `n-${String(this.nextId++).padStart(6, "0")}`;
    this.machines.set(id, { id, hull, yard, loaners, status: state, rentedMs: performance.now(), address: "" });
    return id;
  }
  snapshot() {
    const now = performance.now();
    this.history.push({ now, list: [...this.machines.values()].map((m) => ({ ...m })) });
    while (this.history.length > 2 && now - this.history[1].now > this.listLagS * 2000) this.history.shift();
  }
  /** The machines as the cloud's list shows them, up to `lag` ago. */
  lagged() {
    const atMs = performance.now() - this.listLagS * 1000;
    let shown = { now: performance.now(), list: [] };
    for (const h of this.history) {
      if (h.now <= atMs || h === this.history[0]) shown = h;
      else break;
    }
    return shown;
  }
  async listen() {
    const server = http.createServer((req, res) => {
      const chunks = [];
      req.on("data", (c) => chunks.push(c));
      req.on("end", () =>
        setTimeout(() => this.serve(req, Buffer.concat(chunks).toString(), res), this.latencyMs * (0.6 + 0.8 * Math.random())),
      );
    });
    await new Promise((r) => server.listen(0, "127.0.0.1", r));
    this.servers.push(server);
    return server.address().port;
  }
  close() {
    clearInterval(this.timer);
    for (const s of this.servers) {
      s.close();
      s.closeAllConnections();
    }
  }
  serve(req, text, res) {
    const reply = (status, body) => res.writeHead(status, { "content-type": "application/json" }).end(JSON.stringify(body));
    if (this.isOut) return reply(503, { error: "trouble" });
    const now = performance.now();
    this.tokens = Math.min(2 * this.rps, this.tokens + ((now - this.refilledMs) / 1000) * this.rps);
    this.refilledMs = now;
    if (this.tokens < 1) return reply(429, { error: "too many requests" });
    this.tokens--;
    const url = new URL(req.url, "http://x");
    const body = text ? JSON.parse(text) : {};
    if (url.pathname === "/catalog") return reply(200, { hulls: this.types });
    if (url.pathname === "/hosts/return") {
      for (const id of body.berths) this.remove(id);
      return reply(200, {});
    }
    if (req.method === "POST" && url.pathname === "/hosts") {
      const known = this.rentals.get(body.charter);
      if (known) return reply(200, { berths: known });
      const slot = `${body.hull}/${body.yard}/${body.loaners}`;
      const used = [...this.machines.values()].filter((m) => `${m.hull}/${m.yard}/${m.loaners}` === slot).length;
      const free = Math.min(body.number, (this.capacity[slot] ?? 0) - used);
      if (free <= 0) return reply(503, { error: "no capacity" });
      const berths = [];
      for (let i = 0; i < free; i++) {
        const id = this.add(body.hull, body.yard, body.loaners, "starting");
        berths.push(id);
        const type = this.types.find((t) => t.name === body.hull);
        setTimeout(() => {
          const m = this.machines.get(id);
          if (!m) return;
          m.status = "running";
          this.onUp(m);
        }, type.startupS * 1000 * this.bootFactor(m0(this, id)));
      }
      this.rentals.set(body.charter, berths);
      return reply(200, { berths });
    }
    if (req.method === "GET" && url.pathname === "/hosts") {
      const { now: atMs, list } = this.lagged();
      const since = url.searchParams.get("since") ?? "";
      const most = Math.min(500, Number(url.searchParams.get("most") ?? 500));
      const after = list.filter((m) => m.id > since).sort((a, b) => (a.id < b.id ? -1 : 1));
      return reply(200, {
        berths: after.slice(0, most).map((m) => ({
          id: m.id, address: m.address || "127.0.0.1:1", hull: m.hull, yard: m.yard, loaners: m.loaners,
          status: m.status, ageS: Math.max(0, (atMs - m.rentedMs) / 1000),
        })),
        truncated: after.length > most,
      });
    }
    return reply(400, { error: "malformed" });
  }
  remove(id) {
    const m = this.machines.get(id);
    if (!m) return;
    this.machines.delete(id);
    this.onGone(m);
  }
}
const m0 = (cloud, id) => cloud.machines.get(id);
