/**
 * Backend servers that shed requests of this VM and asked it to back off.
 *
 * Load pattern: a third of a service's servers sheds every request for seconds.
 * They look idle, so they would be chosen again and again. The shed requests
 * would use up the retry budget, and callers would be refused while the other
 * servers have spare capacity.
 *
 * After a backoff the server is half-open, as in a circuit breaker: one request
 * probes it, and others follow once the server has accepted that one.
 *
 * @module
 */
import type { Clock } from "../runtime/clock.ts";
import type { Log } from "../telemetry/log.ts";

/** Backoffs of backend servers. */
export interface ServerBackoffs {
  /**
   * Begins or extends a backoff; of several end times the latest applies.
   *
   * @param server Id of the server instance.
   * @param backoffMs Duration from now on.
   */
  begin(server: string, backoffMs: number): void;
  /** @returns Time in ms until a server's backoff ends; 0 without a backoff. */
  getLeftMs(server: string): number;
  /**
   * @param server Id of the server instance that a request would be sent to.
   * @returns Whether it may be sent, as the probe or because none is needed.
   */
  take(server: string): boolean;
  /**
   * Records the end of a request that `take` was called for.
   *
   * @param server Id of the server instance.
   * @param wasAccepted Whether the server accepted it; false if it was not sent.
   */
  end(server: string, wasAccepted: boolean): void;
  /** @returns Servers in backoff, and the time until it ends. */
  list(): { server: string; leftMs: number }[];
}

/** Time after its backoff from which a server needs no probe any more. */
const FORGET_MS = 60_000;

interface Backoff {
  untilMs: number;
  /** Whether a probe is in progress. */
  isProbed: boolean;
}

/**
 * @param clock The clock.
 * @param log The log.
 * @returns An empty set of backoffs.
 */
export function createServerBackoffs(clock: Clock, log: Log): ServerBackoffs {
  const backoffs = new Map<string, Backoff>();

  function getLeftMs(server: string): number {
    const backoff = backoffs.get(server);
    if (backoff === undefined) return 0;
    return Math.max(0, backoff.untilMs - clock.monotonicMs());
  }

  function forgetOld(): void {
    const limitMs = clock.monotonicMs() - FORGET_MS;
    for (const [server, { untilMs }] of backoffs) {
      if (untilMs < limitMs) backoffs.delete(server);
    }
  }

  return {
    begin(server, backoffMs) {
      forgetOld();
      const wasBackingOff = getLeftMs(server) > 0;
      const untilMs = Math.max(
        clock.monotonicMs() + backoffMs,
        backoffs.get(server)?.untilMs ?? 0,
      );
      backoffs.set(server, { untilMs, isProbed: false });
      if (!wasBackingOff) {
        log.info({ server, backoffMs }, "server backoff began");
      }
    },
    getLeftMs,
    take(server) {
      const backoff = backoffs.get(server);
      if (backoff === undefined) return true;
      if (getLeftMs(server) > 0 || backoff.isProbed) return false;
      backoff.isProbed = true;
      return true;
    },
    end(server, wasAccepted) {
      const backoff = backoffs.get(server);
      if (backoff === undefined || getLeftMs(server) > 0) return;
      backoff.isProbed = false;
      if (!wasAccepted) return;
      backoffs.delete(server);
      log.info({ server }, "server backoff ended");
    },
    list: () =>
      [...backoffs.keys()]
        .map((server) => ({ server, leftMs: Math.round(getLeftMs(server)) }))
        .filter(({ leftMs }) => leftMs > 0),
  };
}
