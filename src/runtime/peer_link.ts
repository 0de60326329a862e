/**
 * Links between processes: WebSocket frames of MessagePack.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { IncomingMessage, Server } from "node:http";
import type { Duplex } from "node:stream";
import { Packr, Unpackr } from "msgpackr";
import { type RawData, WebSocket, WebSocketServer } from "ws";
import type * as z from "zod";
import { hasKey, KEY_HEADER } from "./access.ts";
import type { Clock, Timer } from "./clock.ts";
import { describeError } from "./errors.ts";
import { createLogger } from "./logger.ts";

/** Path of the upgrade request. */
export const PEER_PATH = "/v1/peer";
const MAX_FRAME_BYTES = 4_194_304;
/** A link whose unsent data exceeds this gets no further messages. */
const MAX_UNSENT_BYTES = 8_388_608;
const RECONNECT_MS = 400;

const log = createLogger("control");

/** A message of any set of messages; `kind` tells them apart. */
export interface LinkMessage {
  kind: string;
}

/** Checks a received message and tells its type. */
export type MessageSchema<M extends LinkMessage> = z.ZodType<M>;

/** One side of a link. */
export interface PeerLink<M extends LinkMessage> {
  /** Address of the other side, for logs. */
  peer: string;
  /** Sends a message; dropped where the link is closed or congested. */
  send(message: M): void;
  /** Sends a message that was encoded for many links. */
  sendFrame(kind: M["kind"], frame: Uint8Array): void;
  close(): void;
}

const SELF_CONTAINED = { useRecords: false, variableMapSize: true };
const broadcastPackr = new Packr({ ...SELF_CONTAINED });

/**
 * Encodes a message once for all self-contained links.
 *
 * @param message The message.
 * @returns Its frame.
 */
export function encodeBroadcast<M extends LinkMessage>(
  message: M,
): Uint8Array {
  return broadcastPackr.pack(message);
}

/** What happens on links. */
export interface LinkEvents<M extends LinkMessage> {
  onOpen(link: PeerLink<M>): void;
  onMessage(link: PeerLink<M>, message: M): void;
  /** @param reason Why, for logs. */
  onClose(link: PeerLink<M>, reason: string): void;
}

/** What both sides of a link need. */
export interface LinkOptions<M extends LinkMessage> {
  /**
   * The key that links must carry; absent where only this system's processes
   * can reach the address.
   */
  key?: string;
  schema: MessageSchema<M>;
  events: LinkEvents<M>;
  /**
   * Whether each frame can be read without those before it, as frames have to
   * be that are encoded once for many links. The two forms can't be mixed: one
   * uses numbers from 64 to 127 for names of fields.
   */
  isSelfContained?: boolean;
}

/** Bytes that passed over this process's links. */
export interface LinkTraffic {
  sentBytes: number;
  receivedBytes: number;
  /** Bytes sent, by kind of message. */
  sentByKind: Partial<Record<string, number>>;
}

/** Totals since the process started. */
export const linkTraffic: LinkTraffic = {
  sentBytes: 0,
  receivedBytes: 0,
  sentByKind: {},
};

function countSent(kind: string, bytes: number): void {
  linkTraffic.sentBytes += bytes;
  const { sentByKind } = linkTraffic;
  sentByKind[kind] = (sentByKind[kind] ?? 0) + bytes;
}

/** Turns messages of one link into frames and back. */
export interface LinkCodec<M extends LinkMessage> {
  encode(message: M): Uint8Array;
  /** @returns The message, or undefined where the frame is malformed. */
  decode(frame: Uint8Array): M | undefined;
}

/**
 * Names of fields travel once on a link and are referred to after that, so a
 * codec belongs to one link and frames must arrive in order.
 *
 * @param schema Checks received messages.
 * @param isSelfContained Whether names travel with each frame instead.
 * @returns A codec for a new link.
 */
export function createLinkCodec<M extends LinkMessage>(
  schema: MessageSchema<M>,
  isSelfContained = false,
): LinkCodec<M> {
  const form = isSelfContained ? SELF_CONTAINED : { sequential: true };
  // Copies: both would keep the names that they saw in one options object.
  const packr = new Packr({ ...form });
  const unpackr = new Unpackr({ ...form });
  return {
    encode: (message) => packr.pack(message),
    decode(frame) {
      try {
        const checked = schema.safeParse(unpackr.unpack(frame));
        return checked.success ? checked.data : undefined;
      } catch {
        return undefined;
      }
    },
  };
}

function wrapSocket<M extends LinkMessage>(
  socket: WebSocket,
  peer: string,
  { schema, events, isSelfContained }: LinkOptions<M>,
): PeerLink<M> {
  const codec = createLinkCodec(schema, isSelfContained);
  let reason = "closed by the other side";

  function canSend(): boolean {
    return socket.readyState === WebSocket.OPEN &&
      socket.bufferedAmount <= MAX_UNSENT_BYTES;
  }

  function write(kind: string, frame: Uint8Array): void {
    countSent(kind, frame.length);
    socket.send(frame);
  }

  const link: PeerLink<M> = {
    peer,
    send(message) {
      if (canSend()) write(message.kind, codec.encode(message));
    },
    sendFrame(kind, frame) {
      if (canSend()) write(kind, frame);
    },
    close() {
      reason = "closed here";
      socket.terminate();
    },
  };
  socket.on("message", (data: RawData) => {
    const frame = data instanceof Buffer ? data : Buffer.from(data as Buffer);
    linkTraffic.receivedBytes += frame.length;
    const message = codec.decode(frame);
    if (message !== undefined) return events.onMessage(link, message);
    log.warn("Malformed message; link closed", { step: "peer.receive", peer });
    reason = "malformed message";
    socket.terminate();
  });
  socket.on("close", () => events.onClose(link, reason));
  socket.on("error", (cause) => {
    reason = describeError(cause);
    log.debug(describeError(cause), { step: "peer.link", peer });
  });
  return link;
}

/**
 * Accepts links on a listening server.
 *
 * @param server The peer address's server.
 * @param options Key, messages and what happens on links.
 */
export function acceptLinks<M extends LinkMessage>(
  server: Server,
  options: LinkOptions<M>,
): void {
  const { key } = options;
  const sockets = new WebSocketServer({
    noServer: true,
    maxPayload: MAX_FRAME_BYTES,
  });
  server.on("upgrade", (request: IncomingMessage, raw: Duplex, head) => {
    const isAllowed = key === undefined || hasKey(request, key);
    if (request.url !== PEER_PATH || !isAllowed) {
      raw.end("HTTP/1.1 401 Unauthorized\r\ncontent-length: 0\r\n\r\n");
      return;
    }
    sockets.handleUpgrade(request, raw, head, (socket) => {
      const { remoteAddress, remotePort } = request.socket;
      options.events.onOpen(
        wrapSocket(socket, `${remoteAddress}:${remotePort}`, options),
      );
    });
  });
}

/** A link that is kept open. */
export interface DialedLink {
  close(): void;
}

/** How to dial. */
export interface DialOptions<M extends LinkMessage> extends LinkOptions<M> {
  clock: Clock;
}

/**
 * Dials a peer and dials again whenever the link is lost.
 *
 * @param address Its peer address, `host:port`.
 * @param options Key, clock and what happens on the link.
 * @returns A handle to stop it.
 */
export function keepLink<M extends LinkMessage>(
  address: string,
  options: DialOptions<M>,
): DialedLink {
  const { key, clock, schema, events, isSelfContained } = options;
  let closed = false;
  let socket: WebSocket | undefined;
  let retry: Timer | undefined;

  function dial() {
    const dialed = new WebSocket(`ws://${address}${PEER_PATH}`, {
      headers: key === undefined ? {} : { [KEY_HEADER]: key },
      handshakeTimeout: 1_000,
      maxPayload: MAX_FRAME_BYTES,
      perMessageDeflate: false,
    });
    socket = dialed;
    const link = wrapSocket(dialed, address, {
      schema,
      isSelfContained,
      events: {
        ...events,
        onClose(closedLink, reason) {
          events.onClose(closedLink, reason);
          if (!closed) retry = clock.after(RECONNECT_MS, dial);
        },
      },
    });
    dialed.on("open", () => events.onOpen(link));
  }

  dial();
  return {
    close() {
      closed = true;
      retry?.cancel();
      socket?.terminate();
    },
  };
}
