/**
 * Links between processes: WebSocket connections with MessagePack frames.
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
import { isHostPort } from "./address.ts";
import type { Clock, Timer } from "./clock.ts";
import { describeError } from "./errors.ts";
import { createInflowLimit, type InflowLimits } from "./inflow_limit.ts";
import { createLogger } from "./logger.ts";

/** Path of the WebSocket upgrade request. */
export const PEER_PATH = "/v1/peer";
const MAX_FRAME_BYTES = 4_194_304;
/** Messages are dropped while a link has more unsent data than this. */
const MAX_UNSENT_BYTES = 8_388_608;
const RECONNECT_DELAY_MS = 400;
/** Time for a rejected peer to read why. */
const REJECT_GRACE_MS = 1_000;
/** Most links that other processes may open to this one. */
const MAX_ACCEPTED_LINKS = 4_096;
/** Processes send each message in one fragment. */
const MAX_FRAGMENTS = 256;
/** Reads of at least 256 bytes fill the largest frame. */
const MAX_BUFFERED_CHUNKS = 16_384;

/** What one frame of a peer may cost. */
const FRAME_LIMITS = {
  maxPayload: MAX_FRAME_BYTES,
  maxFragments: MAX_FRAGMENTS,
  maxBufferedChunks: MAX_BUFFERED_CHUNKS,
  perMessageDeflate: false,
};

/** What a peer may send in a time; pings count too. */
const INFLOW_LIMITS: InflowLimits = {
  messagesPerS: 2_000,
  bytesPerS: 4_194_304,
  burstS: 10,
};

const log = createLogger("control");

/** Base type of all messages, which are distinguished by `kind`. */
export interface LinkMessage {
  kind: string;
}

/** Schema that validates received messages. */
export type MessageSchema<M extends LinkMessage> = z.ZodType<M>;

/**
 * Whether a decoded value is a message that the schema accepts and returns
 * unchanged. False leaves the decision to the schema.
 */
export type QuickCheck<M extends LinkMessage> = (value: unknown) => value is M;

/** One side of a link. */
export interface PeerLink<M extends LinkMessage> {
  /** Address of the peer, for logs. */
  peer: string;
  /** Sends a message, or drops it where the link is closed or congested. */
  send(message: M): void;
  /**
   * Sends a message that was encoded once for many links, or drops it like
   * `send`.
   *
   * @param kind Kind of the message, for the traffic counters.
   * @param frame The frame of {@link encodeBroadcastFrame}.
   */
  sendFrame(kind: M["kind"], frame: Uint8Array): void;
  /** Closes the link at once. */
  close(): void;
}

const SELF_CONTAINED_OPTIONS = { useRecords: false, variableMapSize: true };
const broadcastPackr = new Packr({ ...SELF_CONTAINED_OPTIONS });

/**
 * Encodes a message once for all self-contained links.
 *
 * @param message The message.
 * @returns The encoded frame.
 */
export function encodeBroadcastFrame<M extends LinkMessage>(
  message: M,
): Uint8Array {
  return broadcastPackr.pack(message);
}

/** Callbacks for the events of links. */
export interface LinkEvents<M extends LinkMessage> {
  onOpen(link: PeerLink<M>): void;
  onMessage(link: PeerLink<M>, message: M): void;
  /** @param reason Reason why the link closed, for logs. */
  onClose(link: PeerLink<M>, reason: string): void;
}

/** Options of both sides of a link. */
export interface LinkOptions<M extends LinkMessage> {
  clock: Clock;
  /**
   * Key that links must present; absent where only processes of this system can
   * reach the address.
   */
  key?: string;
  schema: MessageSchema<M>;
  /** Spares frequent messages the run of the schema. */
  quickCheck?: QuickCheck<M>;
  events: LinkEvents<M>;
  /**
   * Whether each frame can be decoded without the previous ones, which is
   * required for frames that are encoded once for many links. The two encodings
   * can't be mixed on a link: one uses the numbers 64 to 127 as references to
   * field names.
   */
  isSelfContained?: boolean;
}

/** Traffic on the links of this process, in bytes. */
export interface LinkTraffic {
  sentBytes: number;
  receivedBytes: number;
  /** Bytes sent, by message kind. */
  sentByKind: Partial<Record<string, number>>;
}

/** Traffic since the process started. */
export const linkTraffic: LinkTraffic = {
  sentBytes: 0,
  receivedBytes: 0,
  sentByKind: {},
};

function recordSent(kind: string, bytes: number): void {
  linkTraffic.sentBytes += bytes;
  const { sentByKind } = linkTraffic;
  sentByKind[kind] = (sentByKind[kind] ?? 0) + bytes;
}

/** Encodes and decodes the messages of one link. */
export interface LinkCodec<M extends LinkMessage> {
  encode(message: M): Uint8Array;
  /** @returns The message; undefined where the frame is malformed. */
  decode(frame: Uint8Array): M | undefined;
}

/**
 * Creates a codec for one link. Field names are sent once per link and
 * referenced afterwards, so a codec can't be shared and frames must arrive in
 * order.
 *
 * @param schema Schema of received messages.
 * @param isSelfContained Whether each frame contains its field names instead.
 * @param quickCheck Accepts frequent messages without a run of the schema.
 * @returns A codec for a new link.
 */
export function createLinkCodec<M extends LinkMessage>(
  schema: MessageSchema<M>,
  isSelfContained = false,
  quickCheck?: QuickCheck<M>,
): LinkCodec<M> {
  const packrOptions = isSelfContained
    ? SELF_CONTAINED_OPTIONS
    : { sequential: true };
  // Separate copies: each codec stores the field names that it has seen in its
  // options object.
  const packr = new Packr({ ...packrOptions });
  const unpackr = new Unpackr({ ...packrOptions });
  return {
    encode: (message) => packr.pack(message),
    decode(frame) {
      try {
        const value: unknown = unpackr.unpack(frame);
        if (quickCheck?.(value)) return value;
        const checked = schema.safeParse(value);
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
  { clock, schema, quickCheck, events, isSelfContained }: LinkOptions<M>,
): PeerLink<M> {
  const codec = createLinkCodec(schema, isSelfContained, quickCheck);
  const inflow = createInflowLimit(INFLOW_LIMITS, clock);
  let reason = "closed by the peer";

  function canSend(): boolean {
    return socket.readyState === WebSocket.OPEN &&
      socket.bufferedAmount <= MAX_UNSENT_BYTES;
  }

  function write(kind: string, frame: Uint8Array): void {
    // The peer would close the link, and again for each repeat.
    if (frame.length > MAX_FRAME_BYTES) {
      const fields = { step: "peer.send", peer, kind, bytes: frame.length };
      return log.warn("Message too large; not sent", fields);
    }
    recordSent(kind, frame.length);
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
      reason = "closed by this process";
      socket.terminate();
    },
  };

  function fail(problem: string): void {
    log.warn(`${problem}; link closed`, { step: "peer.receive", peer });
    reason = problem;
    socket.terminate();
  }

  /** Whether the peer may go on; what arrived before the link failed may not. */
  function admit(bytes: number): boolean {
    if (socket.readyState !== WebSocket.OPEN) return false;
    linkTraffic.receivedBytes += bytes;
    if (inflow.record(bytes)) return true;
    fail("too many messages");
    return false;
  }

  socket.on("message", (data: RawData) => {
    const frame = data instanceof Buffer ? data : Buffer.from(data as Buffer);
    if (!admit(frame.length)) return;
    const message = codec.decode(frame);
    if (message === undefined) return fail("malformed message");
    events.onMessage(link, message);
  });
  socket.on("ping", (data) => {
    if (!admit(data.length)) return;
    // The answers pile up if the peer doesn't read them.
    if (canSend()) socket.pong(data);
  });
  socket.on("pong", (data) => void admit(data.length));
  socket.on("close", () => events.onClose(link, reason));
  socket.on("error", (cause) => {
    reason = describeError(cause);
    log.debug(describeError(cause), { step: "peer.link", peer });
  });
  return link;
}

/**
 * Accepts links on a listening HTTP server. Upgrade requests for another path
 * or without the key are rejected with 401.
 *
 * @param server The HTTP server of the peer address.
 * @param options Key, message schema and callbacks.
 */
export function acceptLinks<M extends LinkMessage>(
  server: Server,
  options: LinkOptions<M>,
): void {
  const { key, clock } = options;
  const sockets = new WebSocketServer({
    ...FRAME_LIMITS,
    noServer: true,
    autoPong: false,
  });

  function reject(stream: Duplex, status: string): void {
    // The HTTP server has removed its own listener.
    stream.on("error", (cause) => {
      log.debug(describeError(cause), { step: "peer.upgrade" });
    });
    stream.end(`HTTP/1.1 ${status}\r\ncontent-length: 0\r\n\r\n`);
    // Nothing reads what the peer sends, so its end would not be noticed.
    const timer = clock.after(REJECT_GRACE_MS, () => stream.destroy());
    stream.once("close", () => timer.cancel());
  }

  server.on("upgrade", (request: IncomingMessage, stream: Duplex, head) => {
    const isAllowed = key === undefined || hasKey(request, key);
    if (request.url !== PEER_PATH || !isAllowed) {
      return reject(stream, "401 Unauthorized");
    }
    if (sockets.clients.size >= MAX_ACCEPTED_LINKS) {
      return reject(stream, "503 Service Unavailable");
    }
    sockets.handleUpgrade(request, stream, head, (socket) => {
      const { remoteAddress, remotePort } = request.socket;
      options.events.onOpen(
        wrapSocket(socket, `${remoteAddress}:${remotePort}`, options),
      );
    });
  });
}

/** A link that is reopened until it is closed. */
export interface DialedLink {
  /** Closes the link and stops redialling. */
  close(): void;
}

/**
 * Opens a link to a peer, and reopens it whenever it is lost. An address to which
 * no connection can be opened is not dialled.
 *
 * @param address Peer address, `host:port`.
 * @param options Clock, key, message schema and callbacks.
 * @returns A handle that closes the link.
 */
export function maintainLink<M extends LinkMessage>(
  address: string,
  options: LinkOptions<M>,
): DialedLink {
  const { key, clock, events } = options;
  let isClosed = false;
  let socket: WebSocket | undefined;
  let reconnectTimer: Timer | undefined;

  function dial() {
    const dialed = new WebSocket(`ws://${address}${PEER_PATH}`, {
      headers: key === undefined ? {} : { [KEY_HEADER]: key },
      handshakeTimeout: 1_000,
      ...FRAME_LIMITS,
      autoPong: false,
    });
    socket = dialed;
    const link = wrapSocket(dialed, address, {
      ...options,
      events: {
        ...events,
        onClose(closedLink, reason) {
          events.onClose(closedLink, reason);
          if (!isClosed) reconnectTimer = clock.after(RECONNECT_DELAY_MS, dial);
        },
      },
    });
    dialed.on("open", () => events.onOpen(link));
  }

  if (isHostPort(address)) dial();
  else log.warn("Invalid address; not dialled", { step: "peer.dial", address });
  return {
    close() {
      isClosed = true;
      reconnectTimer?.cancel();
      socket?.terminate();
    },
  };
}
