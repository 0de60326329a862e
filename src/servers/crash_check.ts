/**
 * Tells a backend server that ended from one connection that broke.
 *
 * Only the network, a full server or a faulty answer may be behind a broken
 * connection. A server that ended has nobody listening at its address.
 *
 * @module
 */
import type { Dial } from "../runtime/dial.ts";

/** A server that can be looked for. */
export interface ServerAddress {
  id: string;
  /** `host:port`. */
  address: string;
}

/** What is behind a connection that ended without an answer. */
export type CrashVerdict =
  /** The server is gone. */
  | "ended"
  /** The server takes connections. */
  | "runs"
  /** Nothing answers, as where the network is cut. */
  | "unclear";

/** Looks after servers whose connections broke. */
export interface CrashCheck {
  /**
   * @param server A server on which a connection ended without an answer.
   * @returns What is behind it.
   */
  check(server: ServerAddress): Promise<CrashVerdict>;
}

/** Twice the way to another region and back, of 70 ms. */
const DIAL_TIMEOUT_MS = 150;

const VERDICTS = {
  accepted: "runs",
  refused: "ended",
  silent: "unclear",
} as const satisfies Record<string, CrashVerdict>;

/**
 * @param dial Opens connections.
 * @returns A check that looks once for all requests that a server drops at the
 *   same time.
 */
export function createCrashCheck(dial: Dial): CrashCheck {
  const running = new Map<string, Promise<CrashVerdict>>();

  async function look({ id, address }: ServerAddress): Promise<CrashVerdict> {
    const result = await dial(address, DIAL_TIMEOUT_MS);
    running.delete(id);
    return VERDICTS[result];
  }

  return {
    check(server) {
      const known = running.get(server.id);
      if (known !== undefined) return known;
      const verdict = look(server);
      running.set(server.id, verdict);
      return verdict;
    },
  };
}
