/**
 * Assigns demand to places: nearest first, then spill by added delay, within
 * the capacity of places and links. Pure.
 *
 * @module
 */
import type { AssignInput, CallerDemand, Place, Weights } from "./types.ts";

/** Slots below this count as none. */
const EPSILON_SLOTS = 1e-9;

interface Pair {
  caller: CallerDemand;
  region: string;
  delayMs: number;
}

interface Remaining {
  demand: Map<string, number>;
  places: Map<string, number>;
  links: Map<string, number>;
}

/**
 * @param input Demand, places, delays and links.
 * @returns Weights whose rows sum to 1. Demand beyond all capacity stays with
 * the nearest place, where admission refuses the excess.
 */
export function assign(input: AssignInput): Weights {
  const assigned = new Map<string, Map<string, number>>();
  const remaining: Remaining = {
    demand: new Map(input.demand.map(({ region, slots }) => [region, slots])),
    places: new Map(
      input.places.map(({ failureDomain, slots }) => [failureDomain, slots]),
    ),
    links: new Map(),
  };
  for (const pair of listPairs(input)) {
    fillPair(input, pair, remaining, assigned);
  }
  return Object.fromEntries(
    input.demand.map((caller) => [
      caller.region,
      makeRow(input, caller, assigned.get(caller.region)),
    ]),
  );
}

/** Pairs by delay; among equals, those with the fewest ways out go first. */
function listPairs(input: AssignInput): Pair[] {
  const regions = [...new Set(input.places.map(({ region }) => region))];
  const pairs = input.demand.flatMap((caller) =>
    regions.map((region) => ({
      caller,
      region,
      delayMs: input.delayMs(caller.region, region),
    }))
  );
  const secondBest = new Map(
    input.demand.map((caller) => [
      caller.region,
      findSecondDelay(input, caller.region, regions),
    ]),
  );
  return pairs.sort((a, b) =>
    a.delayMs - b.delayMs ||
    secondBest.get(b.caller.region)! - secondBest.get(a.caller.region)! ||
    a.caller.region.localeCompare(b.caller.region) ||
    a.region.localeCompare(b.region)
  );
}

function findSecondDelay(
  input: AssignInput,
  from: string,
  regions: readonly string[],
): number {
  const delays = regions.map((region) => input.delayMs(from, region))
    .sort((a, b) => a - b);
  return delays[1] ?? delays[0] ?? 0;
}

function fillPair(
  input: AssignInput,
  { caller, region }: Pair,
  remaining: Remaining,
  assigned: Map<string, Map<string, number>>,
): void {
  const places = input.places.filter((place) => place.region === region);
  const free = sumOf(places.map((place) => getFree(place, remaining)));
  const linkKey = `${caller.region} ${region}`;
  const link = remaining.links.get(linkKey) ??
    input.linkSlots(caller.region, region);
  const wanted = remaining.demand.get(caller.region) ?? 0;
  const taken = Math.min(wanted, free, link);
  if (taken <= EPSILON_SLOTS) return;
  remaining.links.set(linkKey, link - taken);
  remaining.demand.set(caller.region, wanted - taken);
  const row = assigned.get(caller.region) ?? new Map<string, number>();
  assigned.set(caller.region, row);
  for (const place of places) {
    const part = taken * getFree(place, remaining) / free;
    row.set(place.failureDomain, (row.get(place.failureDomain) ?? 0) + part);
  }
  for (const place of places) {
    const left = getFree(place, remaining) * (1 - taken / free);
    remaining.places.set(place.failureDomain, left);
  }
}

function getFree(place: Place, remaining: Remaining): number {
  return remaining.places.get(place.failureDomain) ?? 0;
}

function makeRow(
  input: AssignInput,
  caller: CallerDemand,
  assigned: Map<string, number> | undefined,
): Record<string, number> {
  const total = sumOf([...(assigned?.values() ?? [])]);
  const row = total > EPSILON_SLOTS
    ? new Map([...assigned!].map(([domain, slots]) => [domain, slots / total]))
    : makeNearestRow(input, caller.region);
  return Object.fromEntries(row);
}

/** Without demand or capacity, callers belong to the nearest usable region. */
function makeNearestRow(input: AssignInput, from: string): Map<string, number> {
  const usable = input.places.filter((place) => place.slots > EPSILON_SLOTS);
  const places = usable.length > 0 ? usable : input.places;
  const nearestMs = Math.min(
    ...places.map((place) => input.delayMs(from, place.region)),
  );
  const nearest = places.filter((place) =>
    input.delayMs(from, place.region) === nearestMs
  );
  const slots = sumOf(nearest.map((place) => place.slots));
  return new Map(
    nearest.map((place) => [
      place.failureDomain,
      slots > 0 ? place.slots / slots : 1 / nearest.length,
    ]),
  );
}

/** What a plan would do to places. */
export interface PlanEffect {
  /** Mean one-way delay of the demand, in ms. */
  meanDelayMs: number;
  /** Largest share of a place's slots that is used; Infinity for a place with none. */
  highestUse: number;
}

/**
 * Judges weights under given inputs.
 *
 * @param input Demand, places and delays.
 * @param weights The weights to judge.
 * @returns Their effect.
 */
export function judgeWeights(input: AssignInput, weights: Weights): PlanEffect {
  const places = new Map(
    input.places.map((place) => [place.failureDomain, place]),
  );
  const used = new Map<string, number>();
  let delaySum = 0;
  let demandSum = 0;
  for (const { region, slots } of input.demand) {
    demandSum += slots;
    for (const [domain, weight] of Object.entries(weights[region] ?? {})) {
      const place = places.get(domain);
      if (weight <= 0) continue;
      used.set(domain, (used.get(domain) ?? 0) + slots * weight);
      if (place) {
        delaySum += slots * weight * input.delayMs(region, place.region);
      }
    }
  }
  const uses = [...used].map(([domain, slots]) => {
    const capacity = places.get(domain)?.slots ?? 0;
    return capacity > 0 ? slots / capacity : Infinity;
  });
  return {
    meanDelayMs: demandSum > 0 ? delaySum / demandSum : 0,
    highestUse: Math.max(0, ...uses),
  };
}

function sumOf(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0);
}
