/**
 * Requests under which this entry saw backend servers end.
 *
 * Load pattern: a request ends each server that runs it, and its caller repeats
 * it; with three exchanges an arrival, ten arrivals ended thirty servers.
 * Entries don't tell each other: each sees its own three ends.
 *
 * @module
 */
import type { BackendServer } from "../config/schema.ts";
import { createNewsBoard } from "../news/board.ts";
import { makeFingerprint } from "../quarantine/fingerprint.ts";
import { createSuspects } from "../quarantine/suspects.ts";
import { DEFAULT_MAX_SERVER_ENDS, maySendAgain } from "../quarantine/types.ts";
import type { Clock } from "../runtime/clock.ts";
import { createLogger } from "../runtime/logger.ts";
import type { EndCheck } from "../servers/end_check.ts";
import { createSilentLog } from "../telemetry/log.ts";
import type { ForwardRequest } from "./types.ts";

const log = createLogger("forwarding");

/** What a server drops as it ends is noticed within that time. */
const CRASH_WINDOW_MS = 1_000;

/** What an entry holds against requests. */
export interface PoisonRequestTracker {
  /** @returns A name that each repeat of the request has as well. */
  name(request: ForwardRequest): string;
  /** @returns Time until it may run; undefined where it may now. */
  getRetryAfterMs(name: string): number | undefined;
  /** @returns Whether it may be sent on within the same arrival. */
  mayRetry(name: string): boolean;
  /** Notes that a server ran it to an answer. */
  recordAnswer(name: string): void;
  /** Looks whether a server ended that gave no answer. */
  recordFailure(name: string, server: BackendServer): Promise<void>;
  close(): void;
}

/**
 * @param clock The clock.
 * @param endCheck Tells servers that ended.
 * @returns An entry's memory that holds nothing against any request.
 */
export function createPoisonRequestTracker(
  clock: Clock,
  endCheck: EndCheck,
): PoisonRequestTracker {
  const factStore = createNewsBoard(clock);
  const crashes = new Map<string, { count: number; atMs: number }>();
  const suspectTracker = createSuspects({
    clock,
    log: createSilentLog(),
    ownId: "entry",
    terms: { maxServerEnds: DEFAULT_MAX_SERVER_ENDS },
    publish: (items) => void factStore.apply(items),
    forget: (items) => void factStore.apply(items),
  });
  factStore.subscribe(suspectTracker.apply);

  /** Backend servers keep their name when they start again. */
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
    getRetryAfterMs(name) {
      const assessment = suspectTracker.judge(name);
      if (assessment.kind === "set_aside") return assessment.retryAfterMs;
      if (assessment.kind === "suspect") suspectTracker.noteTried(name);
      return undefined;
    },
    mayRetry: (name) => maySendAgain(suspectTracker.judge(name)),
    recordAnswer: suspectTracker.noteAnswer,
    close: suspectTracker.stop,
    async recordFailure(name, server) {
      const verdict = await endCheck.check(server);
      if (verdict !== "ended") return;
      suspectTracker.noteEnd(name, getInstanceId(server));
      const assessment = suspectTracker.judge(name);
      log.info("Backend server ended under a request", {
        step: "backend.exchange",
        peer: server.id,
        request: name,
        judgement: assessment.kind,
      });
    },
  };
}
