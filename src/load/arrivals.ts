/**
 * Generates open-loop arrivals: the times and contents of calls, independent of
 * the responses. Has no side effects.
 *
 * @module
 */
import type { Call } from "../caller/types.ts";
import type { LoadSettings } from "../deployment/types.ts";
import { drawExponential, type Random } from "../runtime/random.ts";

/** A call and the time at which it is due. */
export interface Arrival {
  /** Due time, in ms after the start of the load. */
  atMs: number;
  call: Call;
  /** Request class of the service. */
  className: string;
  /** Weight of the class in the report. */
  weight: number;
}

type Service = LoadSettings["services"][number];
type RequestMix = Service["mix"][number];

/**
 * Generates the arrivals of a Poisson process. Service, class and region of
 * each call are drawn by their shares, the client block uniformly.
 *
 * @param settings Settings of the load.
 * @param random The random source.
 * @returns An endless sequence, in order of `atMs`.
 */
export function* generateArrivals(
  settings: LoadSettings,
  random: Random,
): Generator<Arrival> {
  const meanGapMs = 1_000 / settings.requestsPerS;
  let atMs = 0;
  for (;;) {
    atMs += drawExponential(random, meanGapMs);
    const service = pickByShare(random, settings.services);
    const mix = pickByShare(random, service.mix);
    const call = makeCall(settings, { service, mix }, random);
    yield { atMs, call, className: mix.class, weight: mix.weight };
  }
}

function makeCall(
  settings: LoadSettings,
  { service, mix }: { service: Service; mix: RequestMix },
  random: Random,
): Call {
  const region = pickByShare(
    random,
    settings.regions.map((regionSettings) => ({
      ...regionSettings,
      share: regionSettings.demandShare,
    })),
  );
  const block = Math.floor(random() * settings.clientBlocksPerRegion);
  return {
    service: service.name,
    method: mix.method,
    path: mix.path,
    body: mix.bodyBytes > 0 ? "x".repeat(mix.bodyBytes) : undefined,
    contentType: mix.bodyBytes > 0 ? "text/plain" : undefined,
    deadlineMs: mix.deadlineMs,
    idempotent: mix.idempotent,
    clientIp: `${region.clientPrefix}.${block}.7`,
  };
}

/** Draws an item with a probability proportional to its share. */
function pickByShare<T extends { share: number }>(
  random: Random,
  items: readonly T[],
): T {
  const total = items.reduce((sum, { share }) => sum + share, 0);
  let remaining = random() * total;
  for (const item of items) {
    remaining -= item.share;
    if (remaining < 0) return item;
  }
  return items[items.length - 1];
}
