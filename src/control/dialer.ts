/**
 * Keeps links to just those peers that are wanted.
 *
 * @module
 */
import {
  type DialedLink,
  type DialOptions,
  maintainLink,
} from "../runtime/peer_link.ts";
import type { PeerMessage } from "./messages.ts";

/** What the dialer needs. */
export interface DialerOptions extends DialOptions<PeerMessage> {
  /** Gives the address to dial for a peer's address. */
  translate(address: string): string;
}

/** Keeps links. */
export interface Dialer {
  /** Dials new addresses, closes links to those no longer wanted. */
  dial(addresses: Iterable<string>): void;
  close(): void;
}

/**
 * @param options See there.
 * @returns A dialer without links.
 */
export function createDialer(options: DialerOptions): Dialer {
  const { translate } = options;
  const dialed = new Map<string, DialedLink>();
  return {
    dial(addresses) {
      const wanted = new Set(addresses);
      for (const [address, link] of dialed) {
        if (wanted.has(address)) continue;
        link.close();
        dialed.delete(address);
      }
      for (const address of wanted) {
        if (dialed.has(address)) continue;
        dialed.set(address, maintainLink(translate(address), options));
      }
    },
    close() {
      for (const link of dialed.values()) link.close();
      dialed.clear();
    },
  };
}
