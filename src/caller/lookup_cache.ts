/**
 * Queries steers for the entries to use, and caches their answers for their time
 * to live.
 *
 * @module
 */
import * as z from "zod";
import type { LookupAnswer } from "../lookup/types.ts";
import { addressSchema } from "../runtime/address.ts";
import type { Clock } from "../runtime/clock.ts";
import type { HttpClient } from "../runtime/http_client.ts";
import type { Random } from "../runtime/random.ts";

/** Answers expire up to this share earlier, to spread the callers' queries. */
const EXPIRY_JITTER_SHARE = 0.2;
/** Cached answers at most; the cache is cleared when it is reached. */
const MAX_CACHED_ANSWERS = 50_000;
/** Bytes of the answers that are cached, as steers sent them. */
const MAX_CACHED_BYTES = 67_108_864;
/** Largest answer of a steer. */
const MAX_ANSWER_BYTES = 65_536;
/** Longest time to live, as of the documents. */
const MAX_TTL_MS = 60_000;
const LOOKUP_TIMEOUT_MS = 1_000;
/** Longer reasons are cut. */
const MAX_REASON_LENGTH = 1_000;

const answerSchema = z.object({
  service: z.string(),
  clientBlock: z.string(),
  clientRegion: z.string(),
  ttlMs: z.number().min(0),
  planNumber: z.number(),
  configNumber: z.number(),
  entries: z.array(z.object({
    id: z.string(),
    address: addressSchema,
    failureDomain: z.string(),
    region: z.string(),
    weight: z.number(),
    keyPrefix: z.string(),
  })),
});

/** Key of a look-up. */
export interface LookupQuery {
  service: string;
  clientIp: string;
}

/** Cache of look-ups. */
export interface LookupCache {
  /**
   * @param query The look-up.
   * @param endMs Monotonic time at which it is given up, in ms.
   * @returns The answer, or the reason why there is none.
   */
  find(
    query: LookupQuery,
    endMs: number,
  ): Promise<LookupAnswer | { reason: string }>;
  /** Removes an answer, after an entry of it has failed. */
  invalidate(query: LookupQuery): void;
}

interface CachedAnswer {
  answer: LookupAnswer;
  expiresMs: number;
  sizeBytes: number;
}

type SteerAnswer =
  | { kind: "answer"; answer: LookupAnswer; sizeBytes: number }
  /** Where `final`, other steers would say the same. */
  | { kind: "none"; reason: string; final: boolean };

/** Dependencies of the cache. */
export interface LookupCacheOptions {
  /** Caller addresses of steers; the first that answers is used. */
  steers: readonly string[];
  clock: Clock;
  random: Random;
  client: HttpClient;
}

/**
 * Creates an empty cache.
 *
 * @param options Dependencies.
 * @returns The cache.
 */
export function createLookupCache(options: LookupCacheOptions): LookupCache {
  const { steers, clock, random, client } = options;
  const cachedAnswers = new Map<string, CachedAnswer>();
  let cachedBytes = 0;
  let preferredIndex = 0;

  function makeCacheKey({ service, clientIp }: LookupQuery): string {
    return `${service} ${clientIp}`;
  }

  function remove(key: string): void {
    cachedBytes -= cachedAnswers.get(key)?.sizeBytes ?? 0;
    cachedAnswers.delete(key);
  }

  function store(
    query: LookupQuery,
    answer: LookupAnswer,
    sizeBytes: number,
  ): void {
    const key = makeCacheKey(query);
    remove(key);
    const isFull = cachedAnswers.size >= MAX_CACHED_ANSWERS ||
      cachedBytes + sizeBytes > MAX_CACHED_BYTES;
    if (isFull) {
      cachedAnswers.clear();
      cachedBytes = 0;
    }
    const lifetimeMs = Math.min(answer.ttlMs, MAX_TTL_MS) *
      (1 - EXPIRY_JITTER_SHARE * random());
    const expiresMs = clock.monotonicMs() + lifetimeMs;
    cachedAnswers.set(key, { answer, expiresMs, sizeBytes });
    cachedBytes += sizeBytes;
  }

  async function querySteer(
    steer: string,
    { service, clientIp }: LookupQuery,
    timeoutMs: number,
  ): Promise<SteerAnswer> {
    const path = `/v1/lookup/${encodeURIComponent(service)}?client=${clientIp}`;
    try {
      const url = new URL(`http://${steer}${path}`);
      const { status, body } = await client.request({
        origin: url.origin,
        path: `${url.pathname}${url.search}`,
        signal: AbortSignal.timeout(timeoutMs),
      });
      if (body.length > MAX_ANSWER_BYTES) throw new Error("answer too large");
      const value: unknown = JSON.parse(body.toString("utf8"));
      if (status === 200) {
        const answer = answerSchema.parse(value);
        return { kind: "answer", answer, sizeBytes: body.length };
      }
      const { detail } = value as { detail?: unknown };
      const reason = String(detail ?? `Status ${status}`)
        .slice(0, MAX_REASON_LENGTH);
      return { kind: "none", reason, final: status < 500 };
    } catch {
      const reason = `Steer ${steer} did not answer`;
      return { kind: "none", reason, final: false };
    }
  }

  return {
    async find(query, endMs) {
      const found = cachedAnswers.get(makeCacheKey(query));
      if (found && found.expiresMs > clock.monotonicMs()) return found.answer;
      let reason = "No steer is known";
      for (let tried = 0; tried < steers.length; tried++) {
        const remainingMs = Math.ceil(endMs - clock.monotonicMs());
        if (!(remainingMs > 0)) break;
        const index = (preferredIndex + tried) % steers.length;
        const result = await querySteer(
          steers[index],
          query,
          Math.min(LOOKUP_TIMEOUT_MS, remainingMs),
        );
        if (result.kind === "answer") {
          preferredIndex = index;
          store(query, result.answer, result.sizeBytes);
          return result.answer;
        }
        reason = result.reason;
        if (result.final) break;
      }
      return { reason };
    },
    invalidate: (query) => remove(makeCacheKey(query)),
  };
}
