/**
 * Maintains outgoing links to a changing set of peer addresses.
 *
 * @module
 */
import {
  type DialedLink,
  type LinkOptions,
  maintainLink,
} from "../runtime/peer_link.ts";
import type { PeerMessage } from "./messages.ts";

/** Dependencies of a dialer. */
export interface DialerOptions extends LinkOptions<PeerMessage> {
  /**
   * @param address A peer's address, `host:port`.
   * @returns The address to dial for it.
   */
  translate(address: string): string;
}

/** Maintains one link to each of its target addresses. */
export interface Dialer {
  /**
   * Replaces the targets: dials new addresses and closes links to addresses
   * that are no longer among them.
   *
   * @param addresses Peer addresses, before translation.
   */
  setTargets(addresses: Iterable<string>): void;
  /** Closes all links. */
  close(): void;
}

/**
 * @param options Dependencies.
 * @returns A dialer without targets.
 */
export function createDialer(options: DialerOptions): Dialer {
  const { translate } = options;
  const linkByAddress = new Map<string, DialedLink>();
  return {
    setTargets(addresses) {
      const targets = new Set(addresses);
      for (const [address, link] of linkByAddress) {
        if (targets.has(address)) continue;
        link.close();
        linkByAddress.delete(address);
      }
      for (const address of targets) {
        if (linkByAddress.has(address)) continue;
        linkByAddress.set(address, maintainLink(translate(address), options));
      }
    },
    close() {
      for (const link of linkByAddress.values()) link.close();
      linkByAddress.clear();
    },
  };
}
