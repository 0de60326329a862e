/**
 * Backend servers that turned this VM away and asked for rest.
 *
 * Load pattern: a third of a service's servers turns every request away for
 * seconds. They look idle, so that they are chosen again and again; what they
 * turn away spends the retry budget, and callers are refused while the other
 * servers have room.
 *
 * Once the time is over a single request tries the server. Only when that was
 * not turned away do the others follow.
 *
 * @module
 */
import type { Clock } from "../runtime/clock.ts";
import type { Log } from "../telemetry/log.ts";

/** Servers that rest. */
export interface ServerBackoffs {
  /**
   * Notes that a server asked for rest; of several ends the latest holds.
   *
   * @param server The start of the server.
   * @param backoffMs For how long, from now on.
   */
  begin(server: string, backoffMs: number): void;
  /** @returns How long a server rests yet; 0 where it doesn't. */
  getLeftMs(server: string): number;
  /**
   * @param server The start of a server that is to get a request.
   * @returns Whether it may be sent: it is the one that tries, or none has to.
   */
  take(server: string): boolean;
  /**
   * Notes the end of a request that was sent, or was not.
   *
   * @param server The start of the server.
   * @param wasTaken Whether the server took it.
   */
  end(server: string, wasTaken: boolean): void;
  /** @returns Servers that rest, and for how long yet. */
  list(): { server: string; leftMs: number }[];
}

/** A server that nobody tried for so long after its rest is taken for rested. */
const FORGET_MS = 60_000;

interface Backoff {
  untilMs: number;
  isTried: boolean;
}

/**
 * @param clock The clock.
 * @param log The log.
 * @returns Backoffs of which none has begun.
 */
export function createServerBackoffs(clock: Clock, log: Log): ServerBackoffs {
  const backoffs = new Map<string, Backoff>();

  function getLeftMs(server: string): number {
    const untilMs = backoffs.get(server)?.untilMs ?? -Infinity;
    return Math.max(0, untilMs - clock.monotonicMs());
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
      const wasResting = getLeftMs(server) > 0;
      const untilMs = Math.max(
        clock.monotonicMs() + backoffMs,
        backoffs.get(server)?.untilMs ?? 0,
      );
      backoffs.set(server, { untilMs, isTried: false });
      if (!wasResting) log.info({ server, backoffMs }, "server asked for rest");
    },
    getLeftMs,
    take(server) {
      const backoff = backoffs.get(server);
      if (backoff === undefined) return true;
      if (getLeftMs(server) > 0 || backoff.isTried) return false;
      backoff.isTried = true;
      return true;
    },
    end(server, wasTaken) {
      const backoff = backoffs.get(server);
      if (backoff === undefined || getLeftMs(server) > 0) return;
      backoff.isTried = false;
      if (!wasTaken) return;
      backoffs.delete(server);
      log.info({ server }, "server takes requests again");
    },
    list: () =>
      [...backoffs.keys()]
        .map((server) => ({ server, leftMs: Math.round(getLeftMs(server)) }))
        .filter(({ leftMs }) => leftMs > 0),
  };
}
