/**
 * Assigns demand to failure domains within the capacity of regions and links: a
 * greedy assignment in order of delay, then exchanges that lower the total
 * delay. Pure functions.
 *
 * @module
 */
import type {
  AssignInput,
  DomainCapacity,
  WeightRow,
  Weights,
} from "./types.ts";

/** Amounts of slots up to this count as 0. */
const EPSILON_SLOTS = 1e-9;
/** Smallest gain for which an exchange is made, in ms or ms times slots. */
const EPSILON_MS = 1e-6;
/** Limit on rounds of exchanges; each round lowers the total delay. */
const MAX_EXCHANGE_ROUNDS = 200;

/**
 * Slots of one region's demand that are served in another or the same region.
 */
interface Flow {
  /** Index of the callers' region. */
  from: number;
  /** Index of the serving region. */
  to: number;
  slots: number;
}

/** The assignment problem by region, with array indexes instead of names. */
interface RegionProblem {
  /** Regions with callers. */
  callers: string[];
  /** Regions that may serve. */
  regions: string[];
  /** Index of each failure domain's region. */
  domainRegionIndex: number[];
  /** Slots by caller's region. */
  demand: number[];
  /** Slots by region. */
  capacity: number[];
  /** By caller's region, then region. */
  delayMs: number[][];
  /** By caller's region, then region. */
  linkSlots: number[][];
}

/**
 * Assigns demand to failure domains.
 *
 * @param input Demand, capacities, delays and links.
 * @returns Weights whose rows sum to 1. Demand that fits nowhere is spread like
 * the rest of its region's, or goes to the nearest region where none fits;
 * admission refuses the excess.
 */
export function assign(input: AssignInput): Weights {
  const problem = makeProblem(input);
  const flows = assignNearestFirst(problem);
  improveFlows(problem, flows);
  return Object.fromEntries(
    problem.callers.map((region, index) => [
      region,
      makeRow(input, problem, flows[index], region),
    ]),
  );
}

function makeProblem(input: AssignInput): RegionProblem {
  const callers = input.demand.map(({ region }) => region);
  const regions = [
    ...new Set(input.domainCapacities.map(({ region }) => region)),
  ];
  const mapPairs = (value: (from: string, to: string) => number) =>
    callers.map((from) => regions.map((to) => value(from, to)));
  const regionIndex = new Map(regions.map((name, index) => [name, index]));
  return {
    callers,
    regions,
    domainRegionIndex: input.domainCapacities.map(({ region }) =>
      regionIndex.get(region)!
    ),
    demand: input.demand.map(({ slots }) => slots),
    capacity: regions.map((region) =>
      sumOf(
        input.domainCapacities.filter((domain) => domain.region === region)
          .map(({ slots }) => slots),
      )
    ),
    delayMs: mapPairs(input.delayMs),
    linkSlots: mapPairs(input.linkSlots),
  };
}

/**
 * Assigns demand greedily, the pairs of regions with the least delay first.
 *
 * @returns Slots by caller's region, then region.
 */
function assignNearestFirst(problem: RegionProblem): number[][] {
  const { callers, regions, delayMs, linkSlots } = problem;
  const flows = callers.map(() => regions.map(() => 0));
  const demand = [...problem.demand];
  const capacity = [...problem.capacity];
  for (const { from, to } of listPairs(problem)) {
    const slots = Math.min(demand[from], capacity[to], linkSlots[from][to]);
    if (slots <= EPSILON_SLOTS || !Number.isFinite(delayMs[from][to])) continue;
    flows[from][to] = slots;
    demand[from] -= slots;
    capacity[to] -= slots;
  }
  return flows;
}

/**
 * Lists pairs of regions by increasing delay; among equals, those first whose
 * caller's region has the greater delay to its second nearest region.
 */
function listPairs({ callers, regions, delayMs }: RegionProblem) {
  const secondNearestMs = delayMs.map((row) =>
    [...row].sort((a, b) => a - b)[1] ?? 0
  );
  const pairs = callers.flatMap((_, from) =>
    regions.map((_region, to) => ({ from, to }))
  );
  return pairs.sort((a, b) =>
    delayMs[a.from][a.to] - delayMs[b.from][b.to] ||
    secondNearestMs[b.from] - secondNearestMs[a.from] || a.from - b.from ||
    a.to - b.to
  );
}

/**
 * Moves flows to spare capacity and swaps the regions of two flows while that
 * lowers the total delay.
 */
function improveFlows(problem: RegionProblem, flows: number[][]): void {
  for (let round = 0; round < MAX_EXCHANGE_ROUNDS; round++) {
    const moved = moveToSpareCapacity(problem, flows);
    const swapped = applyBestSwap(problem, flows);
    if (!moved && !swapped) return;
  }
}

/** Lists the flows that are not empty. */
function listFlows(flows: number[][]): Flow[] {
  return flows.flatMap((row, from) =>
    row.map((slots, to) => ({ from, to, slots }))
      .filter(({ slots }) => slots > EPSILON_SLOTS)
  );
}

/**
 * Moves flows to nearer regions with spare capacity.
 *
 * @returns Whether any flow was moved.
 */
function moveToSpareCapacity(
  problem: RegionProblem,
  flows: number[][],
): boolean {
  const { capacity, delayMs } = problem;
  const usedSlots = capacity.map((_, to) => sumOf(flows.map((row) => row[to])));
  let moved = false;
  for (const { from, to } of listFlows(flows)) {
    for (let other = 0; other < capacity.length; other++) {
      const gainMs = delayMs[from][to] - delayMs[from][other];
      if (gainMs <= EPSILON_MS) continue;
      const spareSlots = Math.min(
        capacity[other] - usedSlots[other],
        getSpareLinkSlots(problem, flows, from, other),
      );
      const slots = Math.min(flows[from][to], spareSlots);
      if (slots <= EPSILON_SLOTS) continue;
      flows[from][to] -= slots;
      flows[from][other] += slots;
      usedSlots[to] -= slots;
      usedSlots[other] += slots;
      moved = true;
    }
  }
  return moved;
}

/**
 * Swaps the regions of the two flows whose swap lowers the total delay most.
 *
 * @returns Whether a swap was made.
 */
function applyBestSwap(problem: RegionProblem, flows: number[][]): boolean {
  const { delayMs } = problem;
  const activeFlows = listFlows(flows);
  let best: { a: Flow; b: Flow; slots: number } | undefined;
  let bestGain = EPSILON_MS;
  for (const a of activeFlows) {
    for (const b of activeFlows) {
      if (a.from === b.from || a.to === b.to) continue;
      const gainMs = delayMs[a.from][a.to] + delayMs[b.from][b.to] -
        delayMs[a.from][b.to] - delayMs[b.from][a.to];
      if (gainMs <= EPSILON_MS) continue;
      const slots = Math.min(
        a.slots,
        b.slots,
        getSpareLinkSlots(problem, flows, a.from, b.to),
        getSpareLinkSlots(problem, flows, b.from, a.to),
      );
      if (slots <= EPSILON_SLOTS || gainMs * slots <= bestGain) continue;
      best = { a, b, slots };
      bestGain = gainMs * slots;
    }
  }
  if (best === undefined) return false;
  const { a, b, slots } = best;
  flows[a.from][a.to] -= slots;
  flows[b.from][b.to] -= slots;
  flows[a.from][b.to] += slots;
  flows[b.from][a.to] += slots;
  return true;
}

function getSpareLinkSlots(
  { linkSlots }: RegionProblem,
  flows: number[][],
  from: number,
  to: number,
): number {
  return linkSlots[from][to] - flows[from][to];
}

/**
 * Builds a row; inside a region, weights are proportional to the domains'
 * slots.
 */
function makeRow(
  input: AssignInput,
  { domainRegionIndex, capacity }: RegionProblem,
  flow: number[],
  caller: string,
): WeightRow {
  const total = sumOf(flow);
  if (total <= EPSILON_SLOTS) return makeNearestRow(input, caller);
  const row: WeightRow = {};
  input.domainCapacities.forEach((domain, number) => {
    const index = domainRegionIndex[number];
    if (flow[index] <= EPSILON_SLOTS || domain.slots <= 0) return;
    const share = domain.slots / capacity[index];
    row[domain.failureDomain] = flow[index] / total * share;
  });
  return row;
}

/**
 * Builds the row of callers without any flow: all traffic goes to the nearest
 * region with capacity, or to the nearest one where none has any.
 */
function makeNearestRow(input: AssignInput, from: string): WeightRow {
  const usable = input.domainCapacities.filter((domain) =>
    domain.slots > EPSILON_SLOTS
  );
  const candidates = usable.length > 0 ? usable : input.domainCapacities;
  const getDelayMs = (domain: DomainCapacity) =>
    input.delayMs(from, domain.region);
  const nearestMs = Math.min(...candidates.map(getDelayMs));
  const nearest = candidates.filter((domain) =>
    getDelayMs(domain) === nearestMs
  );
  const slots = sumOf(nearest.map((domain) => domain.slots));
  return Object.fromEntries(
    nearest.map((domain) => [
      domain.failureDomain,
      slots > 0 ? domain.slots / slots : 1 / nearest.length,
    ]),
  );
}

/** Delay and utilization that weights would cause. */
export interface WeightAssessment {
  /** Mean one-way delay of the demand, in ms. */
  meanDelayMs: number;
  /**
   * Highest utilization of a failure domain, as a share of its slots; Infinity
   * where one without slots gets traffic.
   */
  maxUtilization: number;
}

/**
 * Computes the delay and utilization that weights would cause.
 *
 * @param input Demand, capacities and delays.
 * @param weights The weights to assess.
 * @returns The assessment.
 */
export function assessWeights(
  input: AssignInput,
  weights: Weights,
): WeightAssessment {
  const capacities = new Map(
    input.domainCapacities.map((domain) => [domain.failureDomain, domain]),
  );
  const usedSlots = new Map<string, number>();
  let delaySum = 0;
  let demandSum = 0;
  for (const { region, slots } of input.demand) {
    demandSum += slots;
    for (const [domain, weight] of Object.entries(weights[region] ?? {})) {
      const domainCapacity = capacities.get(domain);
      if (weight <= 0) continue;
      usedSlots.set(domain, (usedSlots.get(domain) ?? 0) + slots * weight);
      if (domainCapacity) {
        delaySum += slots * weight *
          input.delayMs(region, domainCapacity.region);
      }
    }
  }
  const utilizations = [...usedSlots].map(([domain, slots]) => {
    const capacity = capacities.get(domain)?.slots ?? 0;
    return capacity > 0 ? slots / capacity : Infinity;
  });
  return {
    meanDelayMs: demandSum > 0 ? delaySum / demandSum : 0,
    maxUtilization: Math.max(0, ...utilizations),
  };
}

function sumOf(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0);
}
