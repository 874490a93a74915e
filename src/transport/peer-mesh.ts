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
import { asError, settled } from "./settled.js";

const PING_INTERVAL_MS = 1_000;
/** A peer that has sent no frame for this long counts as unreachable. */
const PEER_TIMEOUT_MS = 3_500;
/** Maximum time without data on a connection that a peer opened. */
const ACCEPTED_TIMEOUT_MS = 3 * PEER_TIMEOUT_MS;
/** Minimum of `maxInFlight`, for small values of `max_sockets`. */
const MIN_IN_FLIGHT = 200;
/** Minimum of `maxBacklogBytes`. */
const MIN_BACKLOG_BYTES = 4 << 20;
/** Size of a heartbeat with some twenty tasks. */
const HEARTBEAT_BYTES = 2 << 10;
/** Upper bound on the part of a frame that is not the body of its request or reply. */
const OVERHEAD_BYTES = 64;
/** Connections that each peer may have open to this controller: one in use, and others that it abandoned but that are not closed yet. */
const CONNECTIONS_PER_PEER = 3;
const SPARE_CONNECTIONS = 2;
const EMPTY_PAYLOAD = Buffer.alloc(0);

/**
 * Maximum number of requests in flight from one controller to another. A heartbeat that is relayed keeps the worker's connection
 * to this controller busy until it is answered, so there are never more relayed heartbeats than connections.
 */
export const maxInFlight = (maxSockets: number): number =>
  Math.max(MIN_IN_FLIGHT, maxSockets);
/** Maximum number of bytes that wait to be sent to one peer: enough for all requests that may be in flight. */
export const maxBacklogBytes = (maxSockets: number): number =>
  Math.max(MIN_BACKLOG_BYTES, maxInFlight(maxSockets) * HEARTBEAT_BYTES);

/** Replaces a reply that does not fit into a frame. */
const TOO_LARGE = { status: 500, body: "" };
/** The reply to a request that could not be handled because of an internal error. */
const FAILED = { status: 500, body: "" };
/** Rejects a request beyond `maxInFlight`. The requests in progress are not affected. */
const OVERLOADED = { status: 503, body: "" };

interface MeshHandlers {
  /** Handles a request of a peer. */
  serve(
    type: typeof Frame.Heartbeat | typeof Frame.StoreCall,
    body: string,
  ): Promise<{ status: number; body: string }>;
  /** Whether the state service answers this controller's own calls. */
  storeReachable(): boolean;
  /** Called when `serve` threw an unexpected error. */
  reportError(error: Error): void;
}

interface Peer {
  label: string;
  host: string;
  port: number;
  socket: net.Socket | null;
  connected: boolean;
  /** Steady time of the last frame. A connection alone does not show that the peer works: the system accepts them for a hung process, too. */
  lastFrameMs: number;
  connectedMs: number;
  storeReachable: boolean;
  pendingCalls: Map<
    number,
    (reply: { status: number; body: string } | null) => void
  >;
}

/** Connections to the other controllers: one to each for requests of this controller, and those that the others open for theirs. */
export class PeerMesh {
  private readonly peers: Peer[];
  private lastCallId = 0;
  private readonly server: net.Server;
  private readonly accepted = new Set<net.Socket>();
  private pingTimer: NodeJS.Timeout | undefined;
  private readonly maxInFlight: number;
  private readonly maxBacklogBytes: number;

  constructor(
    private readonly settings: Settings,
    private readonly handlers: MeshHandlers,
  ) {
    this.peers = settings.peers.map((peer) => ({
      label: peer.label,
      host: peer.host,
      port: peer.port,
      socket: null,
      connected: false,
      lastFrameMs: -Infinity,
      connectedMs: -Infinity,
      storeReachable: false,
      pendingCalls: new Map(),
    }));
    this.server = net.createServer((socket) => this.accept(socket));
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
      this.pingPeers();
      this.pingTimer = setInterval(() => this.pingPeers(), PING_INTERVAL_MS);
    });
  }

  /** Closes all connections and opens no new ones. */
  close(): void {
    clearInterval(this.pingTimer);
    this.server.close();
    for (const socket of this.accepted) socket.destroy();
    for (const peer of this.peers) peer.socket?.destroy();
  }

  /** Labels of the peers that have sent a frame within `PEER_TIMEOUT_MS`. */
  reachablePeers(): string[] {
    const nowMs = performance.now();
    return this.peers
      .filter((peer) => nowMs - peer.lastFrameMs < PEER_TIMEOUT_MS)
      .map((peer) => peer.label);
  }
  /** Label of a reachable peer that itself reaches the state service; null if there is none. */
  peerWithStore(): string | null {
    const nowMs = performance.now();
    return (
      this.peers.find(
        (peer) =>
          peer.storeReachable && nowMs - peer.lastFrameMs < PEER_TIMEOUT_MS,
      )?.label ?? null
    );
  }

  /** Sends a request to a peer. Returns null if there was no reply; the request may have arrived nevertheless. */
  call(
    label: string,
    type: typeof Frame.Heartbeat | typeof Frame.StoreCall,
    body: string,
    timeoutMs: number,
  ): Promise<{ status: number; body: string } | null> {
    const peer = this.peers.find((candidate) => candidate.label === label);
    const payload = Buffer.from(body);
    if (
      !peer?.socket ||
      !peer.connected ||
      peer.pendingCalls.size >= this.maxInFlight ||
      payload.length > MAX_FRAME_BYTES - OVERHEAD_BYTES ||
      peer.socket.writableLength > this.maxBacklogBytes
    )
      return Promise.resolve(null);
    const callId = (this.lastCallId = (this.lastCallId + 1) >>> 0);
    const { socket } = peer;
    return new Promise((resolve) => {
      const timer = setTimeout(() => complete(null), timeoutMs);
      const complete = (
        reply: { status: number; body: string } | null,
      ): void => {
        clearTimeout(timer);
        peer.pendingCalls.delete(callId);
        resolve(reply);
      };
      peer.pendingCalls.set(callId, complete);
      socket.write(encodeFrame(type, callId, payload));
    });
  }

  private pingPeers(): void {
    const nowMs = performance.now();
    for (const peer of this.peers) {
      if (
        peer.socket &&
        peer.connected &&
        nowMs - Math.max(peer.lastFrameMs, peer.connectedMs) > PEER_TIMEOUT_MS
      )
        peer.socket.destroy();
      if (!peer.socket) this.connect(peer);
      else if (peer.connected)
        peer.socket.write(encodeFrame(Frame.Ping, 0, EMPTY_PAYLOAD));
    }
  }

  private connect(peer: Peer): void {
    const socket = net.connect({
      host: peer.host,
      port: peer.port,
      noDelay: true,
    });
    const reader = new FrameReader();
    peer.socket = socket;
    socket.setTimeout(PEER_TIMEOUT_MS, () => socket.destroy());
    socket.on("connect", () => {
      peer.connected = true;
      peer.connectedMs = performance.now();
      socket.write(encodeFrame(Frame.Ping, 0, EMPTY_PAYLOAD));
    });
    socket.on("data", (data: Buffer) => {
      const frames = reader.push(data);
      if (!frames) {
        socket.destroy();
        return;
      }
      for (const frame of frames) {
        peer.lastFrameMs = performance.now();
        if (frame.type === Frame.Pong)
          peer.storeReachable =
            frame.payload.length > 0 && frame.payload.readUInt8(0) === 1;
        else if (frame.type === Frame.Reply)
          peer.pendingCalls.get(frame.id)?.(decodeReply(frame.payload));
        else {
          socket.destroy();
          return;
        }
      }
    });
    socket.on("error", () => socket.destroy());
    socket.on("close", () => {
      peer.socket = null;
      peer.connected = false;
      peer.storeReachable = false;
      for (const complete of [...peer.pendingCalls.values()]) complete(null);
    });
  }

  /** The reply to a peer's request. */
  private async serve(
    type: typeof Frame.Heartbeat | typeof Frame.StoreCall,
    body: string,
  ): Promise<{ status: number; body: string }> {
    const reply = await settled(
      () => this.handlers.serve(type, body),
      FAILED,
      (error) => this.handlers.reportError(asError(error)),
    );
    const isTooLarge =
      Buffer.byteLength(reply.body) > MAX_FRAME_BYTES - OVERHEAD_BYTES;
    return isTooLarge ? TOO_LARGE : reply;
  }

  private accept(socket: net.Socket): void {
    const reader = new FrameReader();
    this.accepted.add(socket);
    socket.on("close", () => this.accepted.delete(socket));
    socket.setNoDelay(true);
    socket.setTimeout(ACCEPTED_TIMEOUT_MS, () => socket.destroy());
    socket.on("error", () => socket.destroy());
    let inProgress = 0;
    socket.on("data", (data: Buffer) => {
      const frames = reader.push(data);
      if (!frames) {
        socket.destroy();
        return;
      }
      for (const frame of frames) {
        if (frame.type === Frame.Ping)
          socket.write(
            encodeFrame(
              Frame.Pong,
              frame.id,
              Buffer.from([this.handlers.storeReachable() ? 1 : 0]),
            ),
          );
        else if (
          frame.type === Frame.Heartbeat ||
          frame.type === Frame.StoreCall
        ) {
          // The peer does not read the replies. More of them would only use memory.
          if (socket.writableLength > this.maxBacklogBytes) {
            socket.destroy();
            return;
          }
          if (inProgress >= this.maxInFlight) {
            socket.write(
              encodeReply(frame.id, OVERLOADED.status, OVERLOADED.body),
            );
            continue;
          }
          inProgress++;
          void this.serve(frame.type, frame.payload.toString("utf8")).then(
            (reply) => {
              inProgress--;
              if (!socket.destroyed)
                socket.write(encodeReply(frame.id, reply.status, reply.body));
            },
          );
        } else {
          socket.destroy();
          return;
        }
      }
    });
  }
}
