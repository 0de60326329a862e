/**
 * Peer links that carry the control messages of steers and entries.
 *
 * @module
 */
import {
  createLinkCodec,
  type LinkCodec,
  type PeerLink as GenericPeerLink,
} from "../runtime/peer_link.ts";
import { type PeerMessage, peerMessageSchema } from "./messages.ts";

/** One end of a link between steers and entries. */
export type PeerLink = GenericPeerLink<PeerMessage>;

/** @returns A codec for one new link; its state belongs to that link. */
export function createControlCodec(): LinkCodec<PeerMessage> {
  return createLinkCodec(peerMessageSchema);
}
