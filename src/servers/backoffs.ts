/**
 * Backend servers that shed this VM's requests and asked it to back off.
 *
 * Load pattern: a third of a service's servers sheds every request for seconds.
 * They look idle, so that they are chosen again and again; what they shed spends
 * the retry budget, and callers are refused while the other servers have room.
 *
 * Once a backoff is over the server is half-open: a single request probes it, and
 * the others follow when that is taken.
 *
 * @module
 */
import type { Clock } from "../runtime/clock.ts";
import type { Log } from "../telemetry/log.ts";

/** Backoffs of servers. */
export interface ServerBackoffs {
  /**
   * Notes that a server backoff began; of several ends the latest holds.
   *
   * @param server The start of the server.
   * @param backoffMs For how long, from now on.
   */
  begin(server: string, backoffMs: number): void;
  /** @returns Time until a server's backoff ends; 0 where it has none. */
  getLeftMs(server: string): number;
  /**
   * @param server The start of a server that is to get a request.
   * @returns Whether it may be sent, as a probe or since none is needed.
   */
  take(server: string): boolean;
  /**
   * Notes the end of a request that was sent, or was not.
   *
   * @param server The start of the server.
   * @param wasTaken Whether the server took it.
   */
  end(server: string, wasTaken: boolean): void;
  /** @returns Servers with a backoff, and the time until it ends. */
  list(): { server: string; leftMs: number }[];
}

/** A server that was not probed for so long needs no probe. */
const FORGET_MS = 60_000;

interface Backoff {
  untilMs: number;
  isProbed: boolean;
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
    end(server, wasTaken) {
      const backoff = backoffs.get(server);
      if (backoff === undefined || getLeftMs(server) > 0) return;
      backoff.isProbed = false;
      if (!wasTaken) return;
      backoffs.delete(server);
      log.info({ server }, "server backoff ended");
    },
    list: () =>
      [...backoffs.keys()]
        .map((server) => ({ server, leftMs: Math.round(getLeftMs(server)) }))
        .filter(({ leftMs }) => leftMs > 0),
  };
}
