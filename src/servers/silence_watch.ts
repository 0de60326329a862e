/**
 * Notices that no server of a service responds any more, although requests wait
 * for responses.
 *
 * @module
 */
import type { Clock, Timer } from "../runtime/clock.ts";
import type { ListedServer } from "./types.ts";

/** Dependencies of `createSilenceWatch`. */
export interface SilenceWatchOptions {
  clock: Clock;
  /** @returns Mean run time of a service's requests, in ms, if known. */
  getMeanRunMs: (service: string) => number | undefined;
  /** @returns When a server of a service responded or was connected to last. */
  getSucceededAtMs: (service: string) => number;
  /** @returns Whether this VM reaches a service no more. */
  isLost: (service: string) => boolean;
  /**
   * Called while no server of a service responds.
   *
   * @param server The server that should have responded first.
   */
  onSilent: (server: ListedServer) => void;
}

/** Watches attempts that wait for a response. */
export interface SilenceWatch {
  /**
   * @param server The server.
   * @param onLost Called once if its service is silent and lost.
   * @returns The watch, to be ended with the attempt.
   */
  watch(server: ListedServer, onLost: () => void): { end(): void };
  /** Ends the timer. */
  stop(): void;
}

const CHECK_INTERVAL_MS = 100;
/** Multiple of the mean run time after which silence is unusual. */
const SILENCE_RUNS = 1.25;
const MIN_SILENCE_MS = 300;
const MAX_SILENCE_MS = 1_200;

interface WaitingAttempt {
  server: ListedServer;
  sentAtMs: number;
  onLost: (() => void) | undefined;
  /** Number of times that it was reported as silent. */
  reports: number;
}

/**
 * @param options Dependencies.
 * @returns A watch of no attempts.
 */
export function createSilenceWatch(options: SilenceWatchOptions): SilenceWatch {
  const { clock } = options;
  /** By service, in the order in which they were sent. */
  const waiting = new Map<string, Set<WaitingAttempt>>();
  let timer: Timer | undefined;
  let isStopped = false;

  function getSilenceLimitMs(service: string): number {
    const runMs = options.getMeanRunMs(service) ?? 0;
    const limitMs = SILENCE_RUNS * runMs;
    return Math.min(MAX_SILENCE_MS, Math.max(MIN_SILENCE_MS, limitMs));
  }

  function checkService(
    service: string,
    attempts: ReadonlySet<WaitingAttempt>,
  ): void {
    const [oldest] = attempts;
    const succeededAtMs = options.getSucceededAtMs(service);
    const sinceMs = Math.max(oldest.sentAtMs, succeededAtMs);
    const limitMs = getSilenceLimitMs(service);
    const nowMs = clock.monotonicMs();
    if (nowMs - sinceMs < limitMs) return;
    // A long run is silent too: it is reported less and less often.
    if (nowMs - sinceMs >= limitMs * 2 ** oldest.reports) {
      oldest.reports++;
      options.onSilent(oldest.server);
    }
    if (!options.isLost(service)) return;
    for (const attempt of [...attempts]) {
      if (nowMs - attempt.sentAtMs < limitMs) break;
      const { onLost } = attempt;
      attempt.onLost = undefined;
      onLost?.();
    }
  }

  function checkAll(): void {
    for (const [service, attempts] of waiting) {
      if (attempts.size > 0) checkService(service, attempts);
      else waiting.delete(service);
    }
    if (waiting.size > 0) return;
    timer?.cancel();
    timer = undefined;
  }

  return {
    watch(server, onLost) {
      const { service } = server;
      const sentAtMs = clock.monotonicMs();
      const attempt = { server, sentAtMs, onLost, reports: 0 };
      const attempts = waiting.get(service) ?? new Set();
      if (attempts.size === 0) waiting.set(service, attempts);
      attempts.add(attempt);
      if (!isStopped) timer ??= clock.every(CHECK_INTERVAL_MS, checkAll);
      return { end: () => void attempts.delete(attempt) };
    },
    stop() {
      isStopped = true;
      timer?.cancel();
    },
  };
}
