/**
 * Frames between controllers. Each is: length of what follows (u32), version (u8), type (u8), request id (u32),
 * payload; numbers are big-endian. Replies bear the id of their request. A frame of another version, of unknown
 * type or over the bound closes the connection.
 */
export const FRAME_VERSION = 1;
export const MAX_FRAME_BYTES = 1 << 20;
const HEAD = 10;

/** Types of frames, as they stand in a frame's head. */
export const Frame = {
  Ping: 1,
  Pong: 2,
  /** A worker's report that came to the wrong node: payload is its JSON body. */
  Heartbeat: 3,
  /** A call to the state service, for a controller that it refuses. */
  StoreCall: 4,
  /** Reply to either: status (u16), then the body. */
  Reply: 5,
} as const;
export type Frame = (typeof Frame)[keyof typeof Frame];

const FIRST_TYPE: number = Frame.Ping;
const LAST_TYPE: number = Frame.Reply;

interface Message {
  type: Frame;
  id: number;
  payload: Buffer;
}

export function encodeFrame(type: Frame, id: number, payload: Buffer): Buffer {
  const head = Buffer.allocUnsafe(HEAD);
  head.writeUInt32BE(payload.length + HEAD - 4, 0);
  head.writeUInt8(FRAME_VERSION, 4);
  head.writeUInt8(type, 5);
  head.writeUInt32BE(id >>> 0, 6);
  return Buffer.concat([head, payload]);
}

export function encodeReply(id: number, status: number, body: string): Buffer {
  const payload = Buffer.allocUnsafe(2 + Buffer.byteLength(body));
  payload.writeUInt16BE(status, 0);
  payload.write(body, 2);
  return encodeFrame(Frame.Reply, id, payload);
}

export function decodeReply(
  payload: Buffer,
): { status: number; body: string } | null {
  return payload.length < 2
    ? null
    : { status: payload.readUInt16BE(0), body: payload.toString("utf8", 2) };
}

/** Cuts a byte stream into frames; holds at most one unfinished frame. */
export class FrameReader {
  private held: Buffer = Buffer.alloc(0);

  /** The frames that are complete now; null if the stream is no sequence of frames of this version. */
  push(data: Buffer): Message[] | null {
    let b = this.held.length > 0 ? Buffer.concat([this.held, data]) : data;
    const out: Message[] = [];
    while (b.length >= 4) {
      const length = b.readUInt32BE(0);
      if (length < HEAD - 4 || length > MAX_FRAME_BYTES) return null;
      if (
        b.length >= 6 &&
        (b.readUInt8(4) !== FRAME_VERSION ||
          b.readUInt8(5) < FIRST_TYPE ||
          b.readUInt8(5) > LAST_TYPE)
      )
        return null;
      if (b.length < length + 4) break;
      out.push({
        type: b.readUInt8(5) as Frame,
        id: b.readUInt32BE(6),
        payload: Buffer.from(b.subarray(HEAD, length + 4)),
      });
      b = b.subarray(length + 4);
    }
    this.held = Buffer.from(b);
    return out;
  }
}
