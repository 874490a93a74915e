/**
 * Frames between controllers. A frame consists of the length of the rest (u32), version (u8), type (u8), request id
 * (u32) and payload; numbers are big-endian. A reply has the id of its request. A frame of another version, of
 * unknown type or above the size limit closes the connection.
 */
export const FRAME_VERSION = 1;
export const MAX_FRAME_BYTES = 1 << 20;
const HEADER_BYTES = 10;

/** Frame types, as in the header of a frame. */
export const Frame = {
  Ping: 1,
  Pong: 2,
  /** A worker's heartbeat, relayed to the leader of its partition. The payload is its JSON body. */
  Heartbeat: 3,
  /** A call to the state service for a controller that cannot reach the service. The payload is the call as JSON. */
  StoreCall: 4,
  /** Reply to a heartbeat or a store call: status (u16), then the body. */
  Reply: 5,
} as const;
export type Frame = (typeof Frame)[keyof typeof Frame];

const FIRST_TYPE: number = Frame.Ping;
const LAST_TYPE: number = Frame.Reply;

interface ReceivedFrame {
  type: Frame;
  id: number;
  payload: Buffer;
}

export function encodeFrame(type: Frame, id: number, payload: Buffer): Buffer {
  const header = Buffer.allocUnsafe(HEADER_BYTES);
  header.writeUInt32BE(payload.length + HEADER_BYTES - 4, 0);
  header.writeUInt8(FRAME_VERSION, 4);
  header.writeUInt8(type, 5);
  header.writeUInt32BE(id >>> 0, 6);
  return Buffer.concat([header, payload]);
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

/** Splits a byte stream into frames. Buffers at most one incomplete frame. */
export class FrameReader {
  private incomplete: Buffer = Buffer.alloc(0);

  /** Adds data and returns the frames that it completes; null if the stream is not a sequence of frames of this version. */
  push(data: Buffer): ReceivedFrame[] | null {
    let buffer =
      this.incomplete.length > 0
        ? Buffer.concat([this.incomplete, data])
        : data;
    const frames: ReceivedFrame[] = [];
    while (buffer.length >= 4) {
      const length = buffer.readUInt32BE(0);
      if (length < HEADER_BYTES - 4 || length > MAX_FRAME_BYTES) return null;
      if (
        buffer.length >= 6 &&
        (buffer.readUInt8(4) !== FRAME_VERSION ||
          buffer.readUInt8(5) < FIRST_TYPE ||
          buffer.readUInt8(5) > LAST_TYPE)
      )
        return null;
      if (buffer.length < length + 4) break;
      frames.push({
        type: buffer.readUInt8(5) as Frame,
        id: buffer.readUInt32BE(6),
        payload: Buffer.from(buffer.subarray(HEADER_BYTES, length + 4)),
      });
      buffer = buffer.subarray(length + 4);
    }
    this.incomplete = Buffer.from(buffer);
    return frames;
  }
}
