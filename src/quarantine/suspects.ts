/**
 * Which requests end the backend servers that run them, as all VMs together
 * know it.
 *
 * Load pattern: one request ends each server that begins to run it, and comes
 * again under new ids at any VM, three times a second. Each server that ends
 * takes up to nine other requests along, and is back, cold, three seconds
 * later. The count has to outlive an arrival and has to be one for all VMs:
 * three ends are seen by three VMs of three regions.
 *
 * Both are facts that VMs pass on: that a server ended under a request, and
 * that a request was answered. An answer begins a new round, in which no end
 * counts yet, since a request that was answered doesn't end servers. What only
 * ran beside is cleared that way, and an end that is told late, of a round
 * before, counts for nothing.
 *
 * @module
 */
import type { Fact, FactUpdate } from "../news/types.ts";
import type { Clock } from "../runtime/clock.ts";
import { hashToUnit } from "../runtime/hash.ts";
import type { Log } from "../telemetry/log.ts";
import {
  forgetAnswer,
  forgetEnd,
  toAnswerNews,
  toEndNews,
} from "./suspect_facts.ts";
import { createRecentAnswers } from "./recent_answers.ts";
import type { Judgement, QuarantineTerms, ServerEnd } from "./types.ts";

/** What judging requests needs. */
export interface SuspectsParts {
  clock: Clock;
  log: Log;
  ownId: string;
  terms: QuarantineTerms;
  /** Makes facts known to this VM and all others. */
  publish: (items: FactUpdate[]) => void;
  /** Makes this VM forget facts; each does so for itself. */
  forget: (items: FactUpdate[]) => void;
}

/** Judges requests by the servers that ended under them. */
export interface Suspects {
  /** @returns What is to be done with a request. */
  judge(request: string): Judgement;
  /** Notes that a request that was set aside is tried again here. */
  noteTried(request: string): void;
  /** Notes that a server ended while it had a request of this VM. */
  noteEnd(request: string, server: string): void;
  /** Notes that a server ran a request to an answer, of whatever kind. */
  noteAnswer(request: string): void;
  /** Takes a changed fact in. */
  apply(item: FactUpdate): void;
  /**
   * @param request A request that runs.
   * @param stop Called once the request is set aside.
   * @returns Ends the watch.
   */
  watch(request: string, stop: () => void): () => void;
  /** @returns Requests under which servers ended lately, with their ends. */
  list(): { request: string; judgement: Judgement }[];
  stop(): void;
}

/**
 * How long an end counts: waves of one request come half a minute apart, and a
 * request that ends a server every few minutes is one as well.
 */
const HOLD_MS = 600_000;
/**
 * Pause until one VM tries a request again that was set aside; doubled with
 * each further end. A corrected server version gets its chance, and so does a
 * request that only ran beside others, at the price of one server in a minute.
 */
const FIRST_PAUSE_MS = 60_000;
/**
 * Requests that are held suspect: a lost failure domain of 110 servers leaves a
 * thousand.
 */
const MAX_SUSPECTS = 1_000;
const SWEEP_MS = 10_000;

interface Suspect {
  request: string;
  round: number;
  /** By server: what ran twice on a server ended it once. */
  ends: Map<string, ServerEnd>;
  /** When the last end was seen, as told: the same at all VMs. */
  seenAtMs: number;
  triedAtMs: number;
  changedAtMs: number;
}

/**
 * @param parts What judging needs.
 * @returns A judge that holds nothing against any request.
 */
export function createSuspects(parts: SuspectsParts): Suspects {
  const { clock, log, ownId, publish, forget } = parts;
  const { maxServerEnds } = parts.terms;
  const suspects = new Map<string, Suspect>();
  const watchers = new Map<string, Set<() => void>>();
  const answers = createRecentAnswers(clock);
  let dropped = 0;

  function getSuspect(request: string): Suspect {
    const known = suspects.get(request);
    if (known !== undefined) return known;
    const suspect: Suspect = {
      request,
      round: 0,
      ends: new Map(),
      seenAtMs: 0,
      triedAtMs: -Infinity,
      changedAtMs: clock.monotonicMs(),
    };
    suspects.set(request, suspect);
    return suspect;
  }

  /** All VMs drop the same ones, whatever the order in which they learned. */
  function trim(): void {
    if (suspects.size <= MAX_SUSPECTS) return;
    let least: Suspect | undefined;
    for (const suspect of suspects.values()) {
      if (least === undefined || isLess(suspect, least)) least = suspect;
    }
    if (least === undefined) return;
    dropped++;
    drop(least);
  }

  function drop(suspect: Suspect): void {
    const { request, round } = suspect;
    suspects.delete(request);
    forgetEnds(suspect);
    if (round > 0) forget([forgetAnswer(request, round)]);
  }

  function forgetEnds({ request, round, ends }: Suspect): void {
    forget([...ends.keys()].map((server) => forgetEnd(request, round, server)));
    ends.clear();
  }

  function listEnds({ ends }: Suspect): ServerEnd[] {
    const limitMs = clock.monotonicMs() - HOLD_MS;
    return [...ends.values()].filter(({ atMs }) => atMs > limitMs);
  }

  function judge(request: string): Judgement {
    const suspect = suspects.get(request);
    const ends = suspect === undefined ? [] : listEnds(suspect);
    if (suspect === undefined || ends.length === 0) return { kind: "clear" };
    if (ends.length < maxServerEnds) return { kind: "suspect", ends };
    const lastMs = Math.max(
      suspect.triedAtMs,
      ...ends.map(({ atMs }) => atMs),
    );
    const retryAtMs = lastMs + getPauseMs(request, ends.length);
    const retryAfterMs = retryAtMs - clock.monotonicMs();
    if (retryAfterMs <= 0) return { kind: "suspect", ends };
    return { kind: "set_aside", ends, retryAfterMs };
  }

  /** Spread, so that VMs don't try at the same time, before any news of it. */
  function getPauseMs(request: string, ends: number): number {
    const pauseMs = FIRST_PAUSE_MS * 2 ** (ends - maxServerEnds);
    return pauseMs * (1 + hashToUnit(`${ownId} ${request}`));
  }

  function applyEnd(fact: Extract<Fact, { kind: "server_end" }>): void {
    const { request, round, server, vm, seenAtMs } = fact;
    const suspect = getSuspect(request);
    if (round < suspect.round) {
      return forget([forgetEnd(request, round, server)]);
    }
    if (round > suspect.round) beginRound(suspect, round);
    const atMs = clock.monotonicMs();
    suspect.ends.set(server, { server, vm, atMs });
    suspect.changedAtMs = atMs;
    suspect.seenAtMs = Math.max(suspect.seenAtMs, seenAtMs);
    const ends = suspect.ends.size;
    log.info({ request, round, server, by: vm, ends }, "server ended");
    trim();
    if (answers.take(request)) {
      return publish([toAnswerNews(request, round + 1)]);
    }
    if (judge(request).kind === "set_aside") setAside(suspect);
  }

  function setAside({ request, ends }: Suspect): void {
    log.warn({ request, servers: [...ends.keys()] }, "request set aside");
    for (const stop of watchers.get(request) ?? []) stop();
  }

  function applyAnswer(
    { request, round }: Extract<Fact, { kind: "request_answered" }>,
  ): void {
    const suspect = getSuspect(request);
    if (round <= suspect.round) return;
    // Answers of before were told with this one, by whichever VM was first.
    answers.take(request);
    log.info({ request, round, ends: suspect.ends.size }, "request cleared");
    beginRound(suspect, round);
    trim();
  }

  function beginRound(suspect: Suspect, round: number): void {
    forgetEnds(suspect);
    suspect.round = round;
    suspect.changedAtMs = clock.monotonicMs();
  }

  function sweep(): void {
    const limitMs = clock.monotonicMs() - HOLD_MS;
    for (const suspect of suspects.values()) {
      if (suspect.changedAtMs <= limitMs) drop(suspect);
    }
    if (dropped === 0) return;
    log.warn({ dropped, held: suspects.size }, "suspects dropped");
    dropped = 0;
  }

  const timer = clock.every(SWEEP_MS, sweep);

  return {
    judge,
    noteTried(request) {
      const suspect = suspects.get(request);
      if (suspect !== undefined) suspect.triedAtMs = clock.monotonicMs();
    },
    noteEnd(request, server) {
      if (maxServerEnds === 0) return;
      const round = suspects.get(request)?.round ?? 0;
      const seenAtMs = clock.now().getTime();
      publish([toEndNews({ request, round, server, vm: ownId, seenAtMs })]);
    },
    noteAnswer(request) {
      const suspect = suspects.get(request);
      if (suspect === undefined || suspect.ends.size === 0) {
        return answers.note(request);
      }
      publish([toAnswerNews(request, suspect.round + 1)]);
    },
    apply({ fact }) {
      if (fact?.kind === "server_end") applyEnd(fact);
      if (fact?.kind === "request_answered") applyAnswer(fact);
    },
    watch(request, stop) {
      const own = watchers.get(request) ?? new Set();
      watchers.set(request, own.add(stop));
      return () => {
        own.delete(stop);
        if (own.size === 0) watchers.delete(request);
      };
    },
    list: () =>
      [...suspects.keys()].map((request) => ({
        request,
        judgement: judge(request),
      })).filter(({ judgement }) => judgement.kind !== "clear"),
    stop: () => timer.cancel(),
  };
}

function isLess(a: Suspect, b: Suspect): boolean {
  if (a.ends.size !== b.ends.size) return a.ends.size < b.ends.size;
  if (a.seenAtMs !== b.seenAtMs) return a.seenAtMs < b.seenAtMs;
  return a.request < b.request;
}
