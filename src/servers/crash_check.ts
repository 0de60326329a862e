/**
 * Tells the crash of a backend server from the loss of a single connection.
 *
 * A broken connection alone may be due to the network, an overloaded server or
 * a faulty answer. After a crash nothing listens at the server's address.
 *
 * @module
 */
import type { Dial } from "../runtime/dial.ts";

/** A server that can be checked. */
export interface ServerAddress {
  id: string;
  /** `host:port`. */
  address: string;
}

/** Likely cause of a connection that ended without an answer. */
export type CrashVerdict =
  /** The server refuses connections: it crashed or was stopped. */
  | "ended"
  /** The server accepts connections. */
  | "runs"
  /** No response, for instance because of a network partition. */
  | "unclear"
  /** Other servers refuse connections too: the link of this VM is broken. */
  | "own_link";

/** Checks servers whose connections broke. */
export interface CrashCheck<Server extends ServerAddress = ServerAddress> {
  /**
   * @param server A server on which a connection ended without an answer.
   * @returns Whether the server crashed.
   */
  check(server: Server): Promise<CrashVerdict>;
}

/** Twice the round trip to another region, of 70 ms. */
const DIAL_TIMEOUT_MS = 150;

const VERDICTS = {
  accepted: "runs",
  refused: "ended",
  silent: "unclear",
} as const satisfies Record<string, CrashVerdict>;

/**
 * @param dial Opens connections.
 * @param reachesOthers Returns whether this VM reaches other servers; only asked
 *   where a server refuses connections.
 * @returns A check that dials a server once for all requests whose connections
 *   break at the same time.
 */
export function createCrashCheck<Server extends ServerAddress = ServerAddress>(
  dial: Dial,
  reachesOthers: (server: Server) => Promise<boolean> = () =>
    Promise.resolve(true),
): CrashCheck<Server> {
  const running = new Map<string, Promise<CrashVerdict>>();

  async function probe(server: Server): Promise<CrashVerdict> {
    const verdict = VERDICTS[await dial(server.address, DIAL_TIMEOUT_MS)];
    const isOwnLink = verdict === "ended" && !await reachesOthers(server);
    running.delete(server.id);
    return isOwnLink ? "own_link" : verdict;
  }

  return {
    check(server) {
      const pending = running.get(server.id);
      if (pending !== undefined) return pending;
      const verdict = probe(server);
      running.set(server.id, verdict);
      return verdict;
    },
  };
}
