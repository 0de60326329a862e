/**
 * Queries steers for the entries to use, and caches their answers for their time
 * to live.
 *
 * @module
 */
import { request } from "undici";
import type { Agent } from "undici";
import type { LookupAnswer } from "../lookup/types.ts";
import type { Clock } from "../runtime/clock.ts";
import type { Random } from "../runtime/random.ts";

/** Answers expire up to this share earlier, to spread the callers' queries. */
const EXPIRY_JITTER_SHARE = 0.2;
/** Cached answers at most; the cache is cleared when it is reached. */
const MAX_CACHED_ANSWERS = 50_000;
const LOOKUP_TIMEOUT_MS = 1_000;

/** Key of a look-up. */
export interface LookupQuery {
  service: string;
  clientIp: string;
}

/** Cache of look-ups. */
export interface LookupCache {
  /** @returns The answer, or the reason why there is none. */
  find(query: LookupQuery): Promise<LookupAnswer | { reason: string }>;
  /** Removes an answer, after an entry of it has failed. */
  invalidate(query: LookupQuery): void;
}

interface CachedAnswer {
  answer: LookupAnswer;
  expiresMs: number;
}

/** Dependencies of the cache. */
export interface LookupCacheOptions {
  /** Caller addresses of steers; the first that answers is used. */
  steers: readonly string[];
  clock: Clock;
  random: Random;
  agent: Agent;
}

/**
 * Creates an empty cache.
 *
 * @param options Dependencies.
 * @returns The cache.
 */
export function createLookupCache(options: LookupCacheOptions): LookupCache {
  const { steers, clock, random, agent } = options;
  const cachedAnswers = new Map<string, CachedAnswer>();
  let preferredIndex = 0;

  function makeCacheKey({ service, clientIp }: LookupQuery): string {
    return `${service} ${clientIp}`;
  }

  function store(query: LookupQuery, answer: LookupAnswer): void {
    if (cachedAnswers.size >= MAX_CACHED_ANSWERS) cachedAnswers.clear();
    const lifetimeMs = answer.ttlMs * (1 - EXPIRY_JITTER_SHARE * random());
    const expiresMs = clock.monotonicMs() + lifetimeMs;
    cachedAnswers.set(makeCacheKey(query), { answer, expiresMs });
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
    async find(query) {
      const found = cachedAnswers.get(makeCacheKey(query));
      if (found && found.expiresMs > clock.monotonicMs()) return found.answer;
      let reason = "No steer is known";
      for (let tried = 0; tried < steers.length; tried++) {
        const index = (preferredIndex + tried) % steers.length;
        const answer = await querySteer(steers[index], query);
        if ("entries" in answer) {
          preferredIndex = index;
          store(query, answer);
          return answer;
        }
        reason = answer.reason;
        if (answer.final) break;
      }
      return { reason };
    },
    invalidate: (query) => void cachedAnswers.delete(makeCacheKey(query)),
  };
}
