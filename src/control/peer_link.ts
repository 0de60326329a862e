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
import { hasKey, KEY_HEADER } from "../runtime/access.ts";
import type { Clock, Timer } from "../runtime/clock.ts";
import { describeError } from "../runtime/errors.ts";
import { createLogger } from "../runtime/logger.ts";
import { type PeerMessage, peerMessageSchema } from "./messages.ts";

/** Path of the upgrade request. */
export const PEER_PATH = "/v1/peer";
const MAX_FRAME_BYTES = 4_194_304;
/** A link whose unsent data exceeds this gets no further messages. */
const MAX_UNSENT_BYTES = 8_388_608;
const RECONNECT_MS = 400;

const log = createLogger("control");

/** One side of a link. */
export interface PeerLink {
  /** Address of the other side, for logs. */
  peer: string;
  /** Sends a message; dropped where the link is closed or congested. */
  send(message: PeerMessage): void;
  close(): void;
}

/** What happens on links. */
export interface LinkEvents {
  onOpen(link: PeerLink): void;
  onMessage(link: PeerLink, message: PeerMessage): void;
  onClose(link: PeerLink): void;
}

/** Bytes that passed over this process's links. */
export interface LinkTraffic {
  sentBytes: number;
  receivedBytes: number;
  /** Bytes sent, by kind of message. */
  sentByKind: Partial<Record<PeerMessage["kind"], number>>;
}

/** Totals since the process started. */
export const linkTraffic: LinkTraffic = {
  sentBytes: 0,
  receivedBytes: 0,
  sentByKind: {},
};

function countSent(kind: PeerMessage["kind"], bytes: number): void {
  linkTraffic.sentBytes += bytes;
  const { sentByKind } = linkTraffic;
  sentByKind[kind] = (sentByKind[kind] ?? 0) + bytes;
}

/** Turns messages of one link into frames and back. */
export interface LinkCodec {
  encode(message: PeerMessage): Uint8Array;
  /** @returns The message, or undefined where the frame is malformed. */
  decode(frame: Uint8Array): PeerMessage | undefined;
}

/**
 * Names of fields travel once on a link and are referred to after that, so a
 * codec belongs to one link and frames must arrive in order.
 *
 * @returns A codec for a new link.
 */
export function createLinkCodec(): LinkCodec {
  const packr = new Packr({ sequential: true });
  const unpackr = new Unpackr({ sequential: true });
  return {
    encode: (message) => packr.pack(message),
    decode(frame) {
      try {
        const checked = peerMessageSchema.safeParse(unpackr.unpack(frame));
        return checked.success ? checked.data : undefined;
      } catch {
        return undefined;
      }
    },
  };
}

function wrapSocket(
  socket: WebSocket,
  peer: string,
  events: LinkEvents,
): PeerLink {
  const codec = createLinkCodec();
  const link: PeerLink = {
    peer,
    send(message) {
      if (socket.readyState !== WebSocket.OPEN) return;
      if (socket.bufferedAmount > MAX_UNSENT_BYTES) return;
      const frame = codec.encode(message);
      countSent(message.kind, frame.length);
      socket.send(frame);
    },
    close: () => socket.terminate(),
  };
  socket.on("message", (data: RawData) => {
    const frame = data instanceof Buffer ? data : Buffer.from(data as Buffer);
    linkTraffic.receivedBytes += frame.length;
    const message = codec.decode(frame);
    if (message !== undefined) return events.onMessage(link, message);
    log.warn("Malformed message; link closed", { step: "peer.receive", peer });
    socket.terminate();
  });
  socket.on("close", () => events.onClose(link));
  socket.on("error", (cause) => {
    log.debug(describeError(cause), { step: "peer.link", peer });
  });
  return link;
}

/**
 * Accepts links on a listening server.
 *
 * @param server The peer address's server.
 * @param key The key that links must carry.
 * @param events What happens on links.
 */
export function acceptLinks(
  server: Server,
  key: string,
  events: LinkEvents,
): void {
  const sockets = new WebSocketServer({
    noServer: true,
    maxPayload: MAX_FRAME_BYTES,
  });
  server.on("upgrade", (request: IncomingMessage, raw: Duplex, head) => {
    if (request.url !== PEER_PATH || !hasKey(request, key)) {
      raw.end("HTTP/1.1 401 Unauthorized\r\ncontent-length: 0\r\n\r\n");
      return;
    }
    sockets.handleUpgrade(request, raw, head, (socket) => {
      const { remoteAddress, remotePort } = request.socket;
      events.onOpen(
        wrapSocket(socket, `${remoteAddress}:${remotePort}`, events),
      );
    });
  });
}

/** A link that is kept open. */
export interface DialedLink {
  close(): void;
}

/** How to dial. */
export interface DialOptions {
  key: string;
  clock: Clock;
  events: LinkEvents;
}

/**
 * Dials a peer and dials again whenever the link is lost.
 *
 * @param address Its peer address, `host:port`.
 * @param options Key, clock and what happens on the link.
 * @returns A handle to stop it.
 */
export function keepLink(address: string, options: DialOptions): DialedLink {
  const { key, clock, events } = options;
  let closed = false;
  let socket: WebSocket | undefined;
  let retry: Timer | undefined;

  function dial() {
    const dialed = new WebSocket(`ws://${address}${PEER_PATH}`, {
      headers: { [KEY_HEADER]: key },
      handshakeTimeout: 1_000,
      maxPayload: MAX_FRAME_BYTES,
      perMessageDeflate: false,
    });
    socket = dialed;
    const link = wrapSocket(dialed, address, {
      ...events,
      onClose(closedLink) {
        events.onClose(closedLink);
        if (!closed) retry = clock.after(RECONNECT_MS, dial);
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
