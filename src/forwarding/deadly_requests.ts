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

/** What a server drops as it ends is noticed within that time. */
const SAME_END_MS = 1_000;

/** What an entry holds against requests. */
export interface DeadlyRequests {
  /** @returns A name that each repeat of the request has as well. */
  name(request: ForwardRequest): string;
  /** @returns Time until it may run; undefined where it may now. */
  getPauseMs(name: string): number | undefined;
  /** @returns Whether it may be sent on within the same arrival. */
  mayGoOn(name: string): boolean;
  /** Notes that a server ran it to an answer. */
  noteAnswer(name: string): void;
  /** Looks whether a server ended that gave no answer. */
  noteFailure(name: string, server: BackendServer): Promise<void>;
  close(): void;
}

/**
 * @param clock The clock.
 * @param endCheck Tells servers that ended.
 * @returns An entry's memory that holds nothing against any request.
 */
export function createDeadlyRequests(
  clock: Clock,
  endCheck: CrashCheck,
): DeadlyRequests {
  const board = createFactStore(clock);
  const ends = new Map<string, { count: number; atMs: number }>();
  const suspects = createSuspectTracker({
    clock,
    log: createSilentLog(),
    ownId: "entry",
    quarantineSettings: { maxServerCrashes: DEFAULT_MAX_SERVER_CRASHES },
    publish: (items) => void board.apply(items),
    forget: (items) => void board.apply(items),
  });
  board.subscribe(suspects.apply);

  /** Backend servers keep their name when they start again. */
  function nameStart({ id }: BackendServer): string {
    const nowMs = clock.monotonicMs();
    const last = ends.get(id) ?? { count: 0, atMs: -Infinity };
    const isSame = nowMs - last.atMs < SAME_END_MS;
    const end = isSame ? last : { count: last.count + 1, atMs: nowMs };
    ends.set(id, end);
    return `${id} ${end.count}`;
  }

  return {
    name: ({ method, service, path, body }) =>
      makeFingerprint({ method, host: service, path, caller: "", body }),
    getPauseMs(name) {
      const judgement = suspects.assess(name);
      if (judgement.kind === "set_aside") return judgement.retryAfterMs;
      if (judgement.kind === "suspect") suspects.recordProbe(name);
      return undefined;
    },
    mayGoOn: (name) => mayRetry(suspects.assess(name)),
    noteAnswer: suspects.recordAnswer,
    close: suspects.stop,
    async noteFailure(name, server) {
      const verdict = await endCheck.check(server);
      if (verdict !== "ended") return;
      suspects.recordCrash(name, nameStart(server));
      const judgement = suspects.assess(name);
      log.info("Backend server ended under a request", {
        step: "backend.exchange",
        peer: server.id,
        request: name,
        judgement: judgement.kind,
      });
    },
  };
}
