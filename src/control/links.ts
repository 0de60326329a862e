/**
 * Links that carry the messages of steers and entries.
 *
 * @module
 */
import {
  createLinkCodec,
  type LinkCodec,
  type PeerLink as AnyPeerLink,
} from "../runtime/peer_link.ts";
import { type PeerMessage, peerMessageSchema } from "./messages.ts";

/** One side of a link between steers and entries. */
export type PeerLink = AnyPeerLink<PeerMessage>;

/** @returns A codec for a new link between steers and entries. */
export function createControlCodec(): LinkCodec<PeerMessage> {
  return createLinkCodec(peerMessageSchema);
}
