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
const JITTER_SHARE = 0.2;
/** Answers kept at most. */
const MAX_ANSWERS = 50_000;
const LOOKUP_TIMEOUT_MS = 1_000;

/** What is looked up. */
export interface LookupQuestion {
  service: string;
  clientIp: string;
}

/** Answers to look-ups. */
export interface LookupCache {
  /** @returns The answer, or why there is none. */
  find(question: LookupQuestion): Promise<LookupAnswer | { reason: string }>;
  /** Drops an answer whose entries have failed. */
  forget(question: LookupQuestion): void;
}

interface KeptAnswer {
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
  const kept = new Map<string, KeptAnswer>();
  let preferred = 0;

  function keyOf({ service, clientIp }: LookupQuestion): string {
    return `${service} ${clientIp}`;
  }

  function keep(question: LookupQuestion, answer: LookupAnswer): void {
    if (kept.size >= MAX_ANSWERS) kept.clear();
    const lifeMs = answer.ttlMs * (1 - JITTER_SHARE * random());
    const expiresMs = clock.monotonicMs() + lifeMs;
    kept.set(keyOf(question), { answer, expiresMs });
  }

  async function ask(
    steer: string,
    { service, clientIp }: LookupQuestion,
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
      const known = kept.get(keyOf(question));
      if (known && known.expiresMs > clock.monotonicMs()) return known.answer;
      let reason = "No steer is known";
      for (let tried = 0; tried < steers.length; tried++) {
        const index = (preferred + tried) % steers.length;
        const answer = await ask(steers[index], question);
        if ("entries" in answer) {
          preferred = index;
          keep(question, answer);
          return answer;
        }
        reason = answer.reason;
        if (answer.final) break;
      }
      return { reason };
    },
    forget: (question) => void kept.delete(keyOf(question)),
  };
}
