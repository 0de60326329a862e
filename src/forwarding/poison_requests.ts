/**
 * Quarantines requests that were running when this entry saw backend servers
 * crash.
 *
 * Without it, a poison request that its caller repeats crashes one server per
 * attempt: with three attempts each, ten arrivals crashed thirty servers. Entries
 * do not share these observations; each needs to see three crashes itself.
 *
 * @module
 */
import type { BackendServer } from "../config/schema.ts";
import { createFactStore } from "../news/fact_store.ts";
import { makeFingerprint } from "../quarantine/fingerprint.ts";
import { createSuspectTracker } from "../quarantine/suspect_tracker.ts";
import { DEFAULT_MAX_SERVER_CRASHES, mayRetry } from "../quarantine/types.ts";
import type { Clock } from "../runtime/clock.ts";
import { createLogger } from "../runtime/logger.ts";
import type { CrashCheck } from "../servers/crash_check.ts";
import { createSilentLog } from "../telemetry/log.ts";
import type { ForwardRequest } from "./types.ts";

const log = createLogger("forwarding");

/**
 * Failures at one server within this time are attributed to the same crash: a
 * crash drops all requests in flight at once.
 */
const CRASH_WINDOW_MS = 1_000;

/** Tracks the crashes that requests of this entry coincided with. */
export interface PoisonRequestTracker {
  /** @returns Fingerprint of the request, equal for each repetition of it. */
  name(request: ForwardRequest): string;
  /**
   * @param fingerprint Fingerprint of a request.
   * @returns Time until the request may run, in ms; undefined if it may run now.
   */
  getRetryAfterMs(fingerprint: string): number | undefined;
  /**
   * @param fingerprint Fingerprint of a request.
   * @returns Whether the request may be retried at once at another server.
   */
  mayRetry(fingerprint: string): boolean;
  /**
   * Records that a server answered the request.
   *
   * @param fingerprint Fingerprint of the request.
   */
  recordAnswer(fingerprint: string): void;
  /**
   * Checks whether a server that gave no answer crashed, and records the crash.
   *
   * @param fingerprint Fingerprint of the request.
   * @param server The server that it was sent to.
   * @returns Resolves once the crash is recorded or ruled out.
   */
  recordFailure(fingerprint: string, server: BackendServer): Promise<void>;
  /** Stops the timers. */
  close(): void;
}

/**
 * @param clock Clock for retention and retry times.
 * @param endCheck Finds out whether a server crashed.
 * @returns A tracker without any recorded crash.
 */
export function createPoisonRequestTracker(
  clock: Clock,
  endCheck: CrashCheck,
): PoisonRequestTracker {
  const factStore = createFactStore(clock);
  const crashes = new Map<string, { count: number; atMs: number }>();
  const suspectTracker = createSuspectTracker({
    clock,
    log: createSilentLog(),
    ownId: "entry",
    quarantineSettings: { maxServerCrashes: DEFAULT_MAX_SERVER_CRASHES },
    publish: (items) => void factStore.apply(items),
    forget: (items) => void factStore.apply(items),
  });
  factStore.subscribe(suspectTracker.apply);

  /**
   * Identifies a server instance by the number of its crashes, since a backend
   * server keeps its id when it restarts.
   */
  function getInstanceId({ id }: BackendServer): string {
    const nowMs = clock.monotonicMs();
    const lastCrash = crashes.get(id) ?? { count: 0, atMs: -Infinity };
    const isSameCrash = nowMs - lastCrash.atMs < CRASH_WINDOW_MS;
    const crash = isSameCrash
      ? lastCrash
      : { count: lastCrash.count + 1, atMs: nowMs };
    crashes.set(id, crash);
    return `${id} ${crash.count}`;
  }

  return {
    name: ({ method, service, path, body }) =>
      makeFingerprint({ method, host: service, path, caller: "", body }),
    getRetryAfterMs(fingerprint) {
      const assessment = suspectTracker.assess(fingerprint);
      if (assessment.kind === "set_aside") return assessment.retryAfterMs;
      if (assessment.kind === "suspect") {
        suspectTracker.recordProbe(fingerprint);
      }
      return undefined;
    },
    mayRetry: (fingerprint) => mayRetry(suspectTracker.assess(fingerprint)),
    recordAnswer: suspectTracker.recordAnswer,
    close: suspectTracker.stop,
    async recordFailure(fingerprint, server) {
      const verdict = await endCheck.check(server);
      if (verdict !== "ended") return;
      suspectTracker.recordCrash(fingerprint, getInstanceId(server));
      const assessment = suspectTracker.assess(fingerprint);
      log.info("Backend server crashed while running a request", {
        step: "backend.exchange",
        peer: server.id,
        request: fingerprint,
        judgement: assessment.kind,
      });
    },
  };
}
