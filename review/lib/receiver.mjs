// A receiver of webhooks as docs/hooks.md describes it: it keeps the ids that it has, and answers GET with 200 if it has one.
import http from "node:http";

export class Receiver {
  constructor(note) {
    this.note = note;
    /** "up": answers; "silent": takes connections, and answers nothing. */
    this.mode = "up";
    /** Ids that are kept, as in a table that outlives the receiver's process. */
    this.kept = new Set();
    this.calls = [];
    this.held = new Set();
    this.port = 0;
  }
  async listen() {
    this.server = http.createServer((req, res) => {
      const chunks = [];
      req.on("data", (c) => chunks.push(c));
      req.on("end", () => this.receive(req, Buffer.concat(chunks).toString(), res));
    });
    await new Promise((r, reject) => this.server.once("error", reject).listen(this.port, "127.0.0.1", r));
    this.port = this.server.address().port;
    this.url = `http://127.0.0.1:${this.port}/in`;
  }
  receive(req, body, res) {
    const call = {
      atMs: performance.now(), method: req.method, id: String(req.headers["webhook-id"]),
      attempt: Number(req.headers["linencove-attempt"]), repeat: req.headers["linencove-repeat"] ?? null,
      had: this.kept.has(String(req.headers["webhook-id"])),
    };
    this.calls.push(call);
    this.note(`receiver: ${call.method} ${call.id} attempt ${call.attempt} repeat ${call.repeat} had ${call.had} mode ${this.mode} body ${body.slice(0, 90)}`);
    if (this.mode === "silent") {
      this.held.add(call);
      call.isAlone = this.held.size === 1;
      req.socket.once("close", () => this.held.delete(call));
      this.onHeld?.(call);
      return;
    }
    if (call.method === "GET") return res.writeHead(call.had ? 200 : 404).end();
    this.kept.add(call.id);
    if (this.onKept?.(call, res) === "stop") return;
    res.writeHead(204).end();
  }
  /** Ends as a killed process does: the port refuses connections, open ones are reset. */
  stop() {
    const closed = new Promise((r) => this.server.close(r));
    this.server.closeAllConnections();
    return closed;
  }
}
