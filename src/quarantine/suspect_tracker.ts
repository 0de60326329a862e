/**
 * Tracks which requests crash the backend servers that run them, from what all
 * VMs together have observed.
 *
 * Load pattern: one request crashes each server that starts to run it, and is
 * repeated under new ids at any VM, three times a second. Each crash takes up
 * to nine other requests along, and the server is back, cold, three seconds
 * later. The count of crashes has to outlive a single request and has to be
 * shared by all VMs: three crashes are seen by three VMs in three regions.
 *
 * VMs exchange two kinds of facts: that a server crashed under a request, and
 * that a request was answered. An answer starts a new round with no crashes,
 * since a request that was answered doesn't crash servers. This clears requests
 * that only ran beside a poison request, and a crash of an earlier round that
 * is received late doesn't count.
 *
 * @module
 */
import type { Fact, FactUpdate } from "../news/types.ts";
import type { Clock } from "../runtime/clock.ts";
import { hashToUnit } from "../runtime/hash.ts";
import type { Log } from "../telemetry/log.ts";
import {
  makeAnswerRemoval,
  makeAnswerUpdate,
  makeCrashRemoval,
  makeCrashUpdate,
} from "./suspect_facts.ts";
import { createRecentAnswers } from "./recent_answers.ts";
import type {
  QuarantineSettings,
  RequestAssessment,
  ServerCrash,
} from "./types.ts";

/** Options of a suspect tracker. */
export interface SuspectTrackerOptions {
  clock: Clock;
  log: Log;
  /** Id of this VM. */
  ownId: string;
  quarantineSettings: QuarantineSettings;
  /** Publishes facts to this VM and all others. */
  publish: (updates: FactUpdate[]) => void;
  /** Removes facts on this VM only; each VM removes its own. */
  forget: (updates: FactUpdate[]) => void;
}

/** Assesses requests by the servers that crashed under them. */
export interface SuspectTracker {
  /**
   * @param request Fingerprint of the request.
   * @returns How the request is to be treated.
   */
  assess(request: string): RequestAssessment;
  /**
   * Records that this VM runs a suspect request again, to probe whether it
   * still crashes servers.
   *
   * @param request Fingerprint of the request.
   */
  recordProbe(request: string): void;
  /**
   * Records that a server crashed while it had a request of this VM.
   *
   * @param request Fingerprint of the request.
   * @param server Id of the server's start.
   */
  recordCrash(request: string, server: string): void;
  /**
   * Records that a server answered a request, with whatever status.
   *
   * @param request Fingerprint of the request.
   */
  recordAnswer(request: string): void;
  /** Applies a changed fact. */
  apply(update: FactUpdate): void;
  /**
   * @param request Fingerprint of a request that is running.
   * @param stop Called when the request is set aside.
   * @returns Stops watching the request.
   */
  watch(request: string, stop: () => void): () => void;
  /** @returns Requests with recent crashes, each with its assessment. */
  list(): { request: string; judgement: RequestAssessment }[];
  /** Stops the removal of expired suspects. */
  stop(): void;
}

/**
 * How long a crash counts. Waves of one request come half a minute apart, and a
 * request that crashes a server every few minutes is poisonous as well.
 */
const CRASH_LIFETIME_MS = 600_000;
/**
 * Pause until one VM probes a request that was set aside, doubled with each
 * further crash. The probe finds out that the server's software was fixed, or
 * that the request only ran beside others, and costs at most one server a
 * minute.
 */
const INITIAL_PAUSE_MS = 60_000;
/** The loss of a failure domain of 110 servers makes 1,000 requests suspect. */
const MAX_SUSPECTS = 1_000;
const SWEEP_INTERVAL_MS = 10_000;

interface Suspect {
  request: string;
  round: number;
  /**
   * By server: several copies of a request on one server count as one crash.
   */
  ends: Map<string, ServerCrash>;
  /** When the last crash was seen, as published: the same on all VMs. */
  seenAtMs: number;
  probedAtMs: number;
  changedAtMs: number;
}

/**
 * @param options Dependencies and settings.
 * @returns A tracker that suspects no request.
 */
export function createSuspectTracker(
  options: SuspectTrackerOptions,
): SuspectTracker {
  const { clock, log, ownId, publish, forget } = options;
  const { maxServerCrashes } = options.quarantineSettings;
  const suspects = new Map<string, Suspect>();
  const watchers = new Map<string, Set<() => void>>();
  const recentAnswers = createRecentAnswers(clock);
  let dropped = 0;

  function getOrCreateSuspect(request: string): Suspect {
    const existing = suspects.get(request);
    if (existing !== undefined) return existing;
    const suspect: Suspect = {
      request,
      round: 0,
      ends: new Map(),
      seenAtMs: 0,
      probedAtMs: -Infinity,
      changedAtMs: -Infinity,
    };
    suspects.set(request, suspect);
    return suspect;
  }

  /** All VMs evict the same suspects, in whatever order facts arrive. */
  function evictExcess(): void {
    if (suspects.size <= MAX_SUSPECTS) return;
    let least: Suspect | undefined;
    for (const suspect of suspects.values()) {
      if (least === undefined || isLessSuspect(suspect, least)) least = suspect;
    }
    if (least === undefined) return;
    dropped++;
    removeSuspect(least);
  }

  function removeSuspect(suspect: Suspect): void {
    const { request, round } = suspect;
    suspects.delete(request);
    removeCrashes(suspect);
    if (round > 0) forget([makeAnswerRemoval(request, round)]);
  }

  function removeCrashes({ request, round, ends }: Suspect): void {
    forget(
      [...ends.keys()].map((server) =>
        makeCrashRemoval(request, round, server)
      ),
    );
    ends.clear();
  }

  function listRecentCrashes({ ends }: Suspect): ServerCrash[] {
    const limitMs = clock.monotonicMs() - CRASH_LIFETIME_MS;
    return [...ends.values()].filter(({ atMs }) => atMs > limitMs);
  }

  function assess(request: string): RequestAssessment {
    const suspect = suspects.get(request);
    const ends = suspect === undefined ? [] : listRecentCrashes(suspect);
    if (suspect === undefined || ends.length === 0) return { kind: "clear" };
    if (ends.length < maxServerCrashes) return { kind: "suspect", ends };
    const lastMs = Math.max(
      suspect.probedAtMs,
      ...ends.map(({ atMs }) => atMs),
    );
    const retryAtMs = lastMs + getPauseMs(request, ends.length);
    const retryAfterMs = retryAtMs - clock.monotonicMs();
    if (retryAfterMs <= 0) return { kind: "suspect", ends };
    return { kind: "set_aside", ends, retryAfterMs };
  }

  /**
   * The pause differs by VM, so that a VM learns the result of another VM's
   * probe before it sends its own.
   */
  function getPauseMs(request: string, crashCount: number): number {
    const pauseMs = INITIAL_PAUSE_MS * 2 ** (crashCount - maxServerCrashes);
    return pauseMs * (1 + hashToUnit(`${ownId} ${request}`));
  }

  function applyCrash(fact: Extract<Fact, { kind: "server_end" }>): void {
    const { request, round, server, vm, seenAtMs } = fact;
    // By wall clocks, which differ by seconds: otherwise a VM that started later
    // would keep the crash longer, and hand it back to the others.
    const ageMs = Math.max(0, clock.now().getTime() - seenAtMs);
    if (ageMs >= CRASH_LIFETIME_MS) {
      return forget([makeCrashRemoval(request, round, server)]);
    }
    const suspect = getOrCreateSuspect(request);
    if (round < suspect.round) {
      return forget([makeCrashRemoval(request, round, server)]);
    }
    if (round > suspect.round) startRound(suspect, round);
    const atMs = clock.monotonicMs() - ageMs;
    suspect.ends.set(server, { server, vm, atMs });
    suspect.changedAtMs = Math.max(suspect.changedAtMs, atMs);
    suspect.seenAtMs = Math.max(suspect.seenAtMs, seenAtMs);
    const ends = suspect.ends.size;
    log.info({ request, round, server, by: vm, ends }, "server crashed");
    evictExcess();
    if (recentAnswers.consume(request)) {
      return publish([makeAnswerUpdate(request, round + 1)]);
    }
    if (assess(request).kind === "set_aside") setAside(suspect);
  }

  function setAside({ request, ends }: Suspect): void {
    log.warn({ request, servers: [...ends.keys()] }, "request set aside");
    for (const stop of watchers.get(request) ?? []) stop();
  }

  function applyAnswer(
    { request, round }: Extract<Fact, { kind: "request_answered" }>,
  ): void {
    const suspect = getOrCreateSuspect(request);
    if (round <= suspect.round) return;
    // This fact already accounts for earlier answers, whichever VM saw them.
    recentAnswers.consume(request);
    log.info(
      { request, round, ends: suspect.ends.size },
      "request cleared",
    );
    startRound(suspect, round);
    evictExcess();
  }

  function startRound(suspect: Suspect, round: number): void {
    removeCrashes(suspect);
    suspect.round = round;
    suspect.changedAtMs = clock.monotonicMs();
  }

  function removeExpired(): void {
    const limitMs = clock.monotonicMs() - CRASH_LIFETIME_MS;
    for (const suspect of suspects.values()) {
      if (suspect.changedAtMs <= limitMs) removeSuspect(suspect);
    }
    if (dropped === 0) return;
    log.warn({ dropped, held: suspects.size }, "too many suspects, evicted");
    dropped = 0;
  }

  const timer = clock.every(SWEEP_INTERVAL_MS, removeExpired);

  return {
    assess,
    recordProbe(request) {
      const suspect = suspects.get(request);
      if (suspect !== undefined) suspect.probedAtMs = clock.monotonicMs();
    },
    recordCrash(request, server) {
      if (maxServerCrashes === 0) return;
      const round = suspects.get(request)?.round ?? 0;
      const seenAtMs = clock.now().getTime();
      publish([
        makeCrashUpdate({ request, round, server, vm: ownId, seenAtMs }),
      ]);
    },
    recordAnswer(request) {
      const suspect = suspects.get(request);
      if (suspect === undefined || suspect.ends.size === 0) {
        return recentAnswers.record(request);
      }
      publish([makeAnswerUpdate(request, suspect.round + 1)]);
    },
    apply({ fact }) {
      if (fact?.kind === "server_end") applyCrash(fact);
      if (fact?.kind === "request_answered") applyAnswer(fact);
    },
    watch(request, stop) {
      const callbacks = watchers.get(request) ?? new Set();
      watchers.set(request, callbacks.add(stop));
      return () => {
        callbacks.delete(stop);
        if (callbacks.size === 0) watchers.delete(request);
      };
    },
    list: () =>
      [...suspects.keys()].map((request) => ({
        request,
        judgement: assess(request),
      })).filter(({ judgement }) => judgement.kind !== "clear"),
    stop: () => timer.cancel(),
  };
}

/** Order of eviction: fewer crashes first, then the earlier last crash. */
function isLessSuspect(a: Suspect, b: Suspect): boolean {
  if (a.ends.size !== b.ends.size) return a.ends.size < b.ends.size;
  if (a.seenAtMs !== b.seenAtMs) return a.seenAtMs < b.seenAtMs;
  return a.request < b.request;
}
