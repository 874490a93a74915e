import net from "node:net";
import type { Settings } from "../config/settings.js";
import {
  decodeReply,
  encodeFrame,
  encodeReply,
  Frame,
  FrameReader,
  MAX_FRAME_BYTES,
} from "../protocol/frames.js";

const PING_MS = 1_000;
/** A peer that has said nothing for so long counts as down. */
const SILENT_MS = 3_500;
/** How long a peer that opened a connection may say nothing on it. */
const ACCEPTED_SILENT_MS = 3 * SILENT_MS;
/** Requests in progress at once between two controllers, where `max_sockets` does not call for more. */
const MIN_IN_FLIGHT = 200;
/** Bytes that wait to be sent to one peer, where the requests in flight don't call for more. */
const MIN_BACKLOG_BYTES = 4 << 20;
/** A worker's report with some twenty tasks. */
const REPORT_BYTES = 2 << 10;
/** Of a frame, what a request's or a reply's own head may take beside the body. */
const HEAD_BYTES = 64;
/** Connections that each peer may have open to this controller: one in use, others that it gave up and that still end. */
const CONNECTIONS_PER_PEER = 3;
const SPARE_CONNECTIONS = 2;
const NOTHING = Buffer.alloc(0);

/**
 * Requests in progress at once between two controllers. A worker's report that is passed on keeps the worker's connection to
 * this controller busy until it is answered, so there are never more of them than connections.
 */
export const maxInFlight = (maxSockets: number): number =>
  Math.max(MIN_IN_FLIGHT, maxSockets);
/** Bytes that may wait to be sent to one peer: room for all that may be in flight. */
export const maxBacklogBytes = (maxSockets: number): number =>
  Math.max(MIN_BACKLOG_BYTES, maxInFlight(maxSockets) * REPORT_BYTES);

/** An answer that no frame can carry. */
const TOO_LARGE = { status: 500, body: "" };
/** Refuses one request; those in progress go on. */
const OVERLOADED = { status: 503, body: "" };

interface MeshHandlers {
  /** Carries out what a peer asks for. */
  serve(
    type: typeof Frame.Heartbeat | typeof Frame.StoreCall,
    body: string,
  ): Promise<{ status: number; body: string }>;
  /** Whether this controller's own calls to the state service are answered. */
  stateOk(): boolean;
}

interface Peer {
  label: string;
  host: string;
  port: number;
  socket: net.Socket | null;
  connected: boolean;
  /** A peer counts as up by what it says: a hung process still has its connections accepted. */
  heardMs: number;
  openedMs: number;
  stateOk: boolean;
  open: Map<number, (r: { status: number; body: string } | null) => void>;
}

/** Connections to the other controllers: one for our requests to each, and those that they open to us. */
export class PeerMesh {
  private readonly peers: Peer[];
  private ids = 0;
  private readonly server: net.Server;
  private readonly accepted = new Set<net.Socket>();
  private beating: NodeJS.Timeout | undefined;
  private readonly maxInFlight: number;
  private readonly maxBacklogBytes: number;

  constructor(
    private readonly settings: Settings,
    private readonly handlers: MeshHandlers,
  ) {
    this.peers = settings.peers.map((p) => ({
      label: p.label,
      host: p.host,
      port: p.port,
      socket: null,
      connected: false,
      heardMs: -Infinity,
      openedMs: -Infinity,
      stateOk: false,
      open: new Map(),
    }));
    this.server = net.createServer((s) => this.accept(s));
    this.server.maxConnections =
      settings.peers.length * CONNECTIONS_PER_PEER + SPARE_CONNECTIONS;
    this.maxInFlight = maxInFlight(settings.maxSockets);
    this.maxBacklogBytes = maxBacklogBytes(settings.maxSockets);
  }

  listen(): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.on("error", reject);
      this.server.listen(this.settings.mesh.port, this.settings.mesh.host, () =>
        resolve(),
      );
      this.beat();
      this.beating = setInterval(() => this.beat(), PING_MS);
    });
  }

  /** Ends all connections, and opens no more. */
  close(): void {
    clearInterval(this.beating);
    this.server.close();
    for (const socket of this.accepted) socket.destroy();
    for (const p of this.peers) p.socket?.destroy();
  }

  /** Peers that have answered lately. */
  up(): string[] {
    const now = performance.now();
    return this.peers
      .filter((p) => now - p.heardMs < SILENT_MS)
      .map((p) => p.label);
  }
  /** A peer whose own calls to the state service are answered. */
  peerWithStore(): string | null {
    const now = performance.now();
    return (
      this.peers.find((p) => p.stateOk && now - p.heardMs < SILENT_MS)?.label ??
      null
    );
  }

  /** null: no answer. The request may have arrived all the same. */
  call(
    label: string,
    type: typeof Frame.Heartbeat | typeof Frame.StoreCall,
    body: string,
    timeoutMs: number,
  ): Promise<{ status: number; body: string } | null> {
    const p = this.peers.find((x) => x.label === label);
    const payload = Buffer.from(body);
    if (
      !p?.socket ||
      !p.connected ||
      p.open.size >= this.maxInFlight ||
      payload.length > MAX_FRAME_BYTES - HEAD_BYTES ||
      p.socket.writableLength > this.maxBacklogBytes
    )
      return Promise.resolve(null);
    const id = (this.ids = (this.ids + 1) >>> 0);
    const { socket } = p;
    return new Promise((resolve) => {
      const timer = setTimeout(() => end(null), timeoutMs);
      const end = (r: { status: number; body: string } | null): void => {
        clearTimeout(timer);
        p.open.delete(id);
        resolve(r);
      };
      p.open.set(id, end);
      socket.write(encodeFrame(type, id, payload));
    });
  }

  private beat(): void {
    const now = performance.now();
    for (const p of this.peers) {
      if (
        p.socket &&
        p.connected &&
        now - Math.max(p.heardMs, p.openedMs) > SILENT_MS
      )
        p.socket.destroy();
      if (!p.socket) this.connect(p);
      else if (p.connected) p.socket.write(encodeFrame(Frame.Ping, 0, NOTHING));
    }
  }

  private connect(p: Peer): void {
    const socket = net.connect({ host: p.host, port: p.port, noDelay: true });
    const reader = new FrameReader();
    p.socket = socket;
    socket.setTimeout(SILENT_MS, () => socket.destroy());
    socket.on("connect", () => {
      p.connected = true;
      p.openedMs = performance.now();
      socket.write(encodeFrame(Frame.Ping, 0, NOTHING));
    });
    socket.on("data", (d: Buffer) => {
      const frames = reader.push(d);
      if (!frames) {
        socket.destroy();
        return;
      }
      for (const f of frames) {
        p.heardMs = performance.now();
        if (f.type === Frame.Pong)
          p.stateOk = f.payload.length > 0 && f.payload.readUInt8(0) === 1;
        else if (f.type === Frame.Reply)
          p.open.get(f.id)?.(decodeReply(f.payload));
        else {
          socket.destroy();
          return;
        }
      }
    });
    socket.on("error", () => socket.destroy());
    socket.on("close", () => {
      p.socket = null;
      p.connected = false;
      p.stateOk = false;
      for (const end of [...p.open.values()]) end(null);
    });
  }

  private accept(socket: net.Socket): void {
    const reader = new FrameReader();
    this.accepted.add(socket);
    socket.on("close", () => this.accepted.delete(socket));
    socket.setNoDelay(true);
    socket.setTimeout(ACCEPTED_SILENT_MS, () => socket.destroy());
    socket.on("error", () => socket.destroy());
    let serving = 0;
    socket.on("data", (d: Buffer) => {
      const frames = reader.push(d);
      if (!frames) {
        socket.destroy();
        return;
      }
      for (const f of frames) {
        if (f.type === Frame.Ping)
          socket.write(
            encodeFrame(
              Frame.Pong,
              f.id,
              Buffer.from([this.handlers.stateOk() ? 1 : 0]),
            ),
          );
        else if (f.type === Frame.Heartbeat || f.type === Frame.StoreCall) {
          // Nobody reads the answers: more of them would only take memory.
          if (socket.writableLength > this.maxBacklogBytes) {
            socket.destroy();
            return;
          }
          if (serving >= this.maxInFlight) {
            socket.write(encodeReply(f.id, OVERLOADED.status, OVERLOADED.body));
            continue;
          }
          serving++;
          void this.handlers
            .serve(f.type, f.payload.toString("utf8"))
            .then((r) => {
              serving--;
              if (Buffer.byteLength(r.body) > MAX_FRAME_BYTES - HEAD_BYTES)
                r = TOO_LARGE;
              if (!socket.destroyed)
                socket.write(encodeReply(f.id, r.status, r.body));
            });
        } else {
          socket.destroy();
          return;
        }
      }
    });
  }
}
