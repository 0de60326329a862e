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
  | "unclear";

/** Checks servers whose connections broke. */
export interface CrashCheck {
  /**
   * @param server A server on which a connection ended without an answer.
   * @returns Whether the server crashed.
   */
  check(server: ServerAddress): Promise<CrashVerdict>;
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
 * @returns A check that dials a server once for all requests whose connections
 *   break at the same time.
 */
export function createCrashCheck(dial: Dial): CrashCheck {
  const running = new Map<string, Promise<CrashVerdict>>();

  async function probe({ id, address }: ServerAddress): Promise<CrashVerdict> {
    const result = await dial(address, DIAL_TIMEOUT_MS);
    running.delete(id);
    return VERDICTS[result];
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
