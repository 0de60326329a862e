/**
 * Asks steers which entries to use, and keeps their answers for their time to
 * live.
 *
 * @module
 */
import { request } from "undici";
import type { Agent } from "undici";
import type { LookupAnswer } from "../lookup/types.ts";
import type { Clock } from "../runtime/clock.ts";
import type { Random } from "../runtime/random.ts";

/** Answers are given up to this share earlier, so that callers spread. */
const EXPIRY_JITTER_SHARE = 0.2;
/** Answers kept at most. */
const MAX_CACHED_ANSWERS = 50_000;
const LOOKUP_TIMEOUT_MS = 1_000;

/** What is looked up. */
export interface LookupQuery {
  service: string;
  clientIp: string;
}

/** Answers to look-ups. */
export interface LookupCache {
  /** @returns The answer, or why there is none. */
  find(question: LookupQuery): Promise<LookupAnswer | { reason: string }>;
  /** Drops an answer whose entries have failed. */
  invalidate(question: LookupQuery): void;
}

interface CachedAnswer {
  answer: LookupAnswer;
  expiresMs: number;
}

/** What the cache needs. */
export interface LookupCacheOptions {
  /** Callers' addresses of steers; the first that answers is used. */
  steers: readonly string[];
  clock: Clock;
  random: Random;
  agent: Agent;
}

/**
 * @param options See there.
 * @returns An empty cache.
 */
export function createLookupCache(options: LookupCacheOptions): LookupCache {
  const { steers, clock, random, agent } = options;
  const cachedAnswers = new Map<string, CachedAnswer>();
  let preferredIndex = 0;

  function makeCacheKey({ service, clientIp }: LookupQuery): string {
    return `${service} ${clientIp}`;
  }

  function store(question: LookupQuery, answer: LookupAnswer): void {
    if (cachedAnswers.size >= MAX_CACHED_ANSWERS) cachedAnswers.clear();
    const lifetimeMs = answer.ttlMs * (1 - EXPIRY_JITTER_SHARE * random());
    const expiresMs = clock.monotonicMs() + lifetimeMs;
    cachedAnswers.set(makeCacheKey(question), { answer, expiresMs });
  }

  async function querySteer(
    steer: string,
    { service, clientIp }: LookupQuery,
  ): Promise<LookupAnswer | { reason: string; final: boolean }> {
    const path = `/v1/lookup/${encodeURIComponent(service)}?client=${clientIp}`;
    try {
      const response = await request(`http://${steer}${path}`, {
        dispatcher: agent,
        signal: AbortSignal.timeout(LOOKUP_TIMEOUT_MS),
      });
      const body = await response.body.json();
      if (response.statusCode === 200) return body as LookupAnswer;
      const { detail } = body as { detail?: string };
      const reason = detail ?? `Status ${response.statusCode}`;
      return { reason, final: response.statusCode < 500 };
    } catch {
      return { reason: `Steer ${steer} did not answer`, final: false };
    }
  }

  return {
    async find(question) {
      const found = cachedAnswers.get(makeCacheKey(question));
      if (found && found.expiresMs > clock.monotonicMs()) return found.answer;
      let reason = "No steer is known";
      for (let tried = 0; tried < steers.length; tried++) {
        const index = (preferredIndex + tried) % steers.length;
        const answer = await querySteer(steers[index], question);
        if ("entries" in answer) {
          preferredIndex = index;
          store(question, answer);
          return answer;
        }
        reason = answer.reason;
        if (answer.final) break;
      }
      return { reason };
    },
    invalidate: (question) => void cachedAnswers.delete(makeCacheKey(question)),
  };
}
