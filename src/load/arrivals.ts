/**
 * Open-loop arrivals: when and what, independent of how answers come. Pure.
 *
 * @module
 */
import type { Call } from "../caller/types.ts";
import type { LoadSettings } from "../deployment/types.ts";
import { drawExponential, type Random } from "../runtime/random.ts";

/** A call that is due. */
export interface Arrival {
  /** Milliseconds after the start of the load. */
  atMs: number;
  call: Call;
  className: string;
  weight: number;
}

type Service = LoadSettings["services"][number];
type Mix = Service["mix"][number];

/**
 * @param settings The load's settings.
 * @param random The random source.
 * @returns An endless sequence of arrivals of a Poisson process.
 */
export function* generateArrivals(
  settings: LoadSettings,
  random: Random,
): Generator<Arrival> {
  const meanGapMs = 1_000 / settings.requestsPerS;
  let atMs = 0;
  for (;;) {
    atMs += drawExponential(random, meanGapMs);
    const service = drawByShare(random, settings.services);
    const mix = drawByShare(random, service.mix);
    const call = makeCall(settings, { service, mix }, random);
    yield { atMs, call, className: mix.class, weight: mix.weight };
  }
}

function makeCall(
  settings: LoadSettings,
  { service, mix }: { service: Service; mix: Mix },
  random: Random,
): Call {
  const region = drawByShare(
    random,
    settings.regions.map((made) => ({ ...made, share: made.demandShare })),
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

function drawByShare<T extends { share: number }>(
  random: Random,
  items: readonly T[],
): T {
  const total = items.reduce((sum, { share }) => sum + share, 0);
  let left = random() * total;
  for (const item of items) {
    left -= item.share;
    if (left < 0) return item;
  }
  return items[items.length - 1];
}
