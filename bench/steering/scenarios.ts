/**
 * Scenarios of the steering benchmark.
 *
 * @module
 */

/** Demand, faults and measurement lag as functions of time. */
export interface Scenario {
  name: string;
  durationMs: number;
  /** Factor on the demand of all regions. */
  demandFactor(nowMs: number): number;
  isLost(region: string, nowMs: number): boolean;
  isDrained(region: string, nowMs: number): boolean;
  /** @returns Age of the stats that a planner sees, in ms; Infinity: none arrive. */
  lagMs(nowMs: number): number;
  /** Whether regions that gain traffic start cold. */
  hasColdStarts: boolean;
}

const NO_EVENT: Omit<Scenario, "name"> = {
  durationMs: 620_000,
  demandFactor: () => 1,
  isLost: () => false,
  isDrained: () => false,
  lagMs: () => 1_000,
  hasColdStarts: false,
};

/** Time at which the event of a scenario begins, in ms. */
export const EVENT_MS = 20_000;

/**
 * @param regions Names of all regions.
 * @returns The scenarios; their event affects the first region.
 */
export function listScenarios(regions: string[]): Scenario[] {
  const [first] = regions;
  const after = (nowMs: number) => nowMs >= EVENT_MS;
  return [
    {
      ...NO_EVENT,
      name: "region loss",
      isLost: (region, nowMs) => region === first && after(nowMs),
    },
    {
      ...NO_EVENT,
      name: "surge at 3x",
      demandFactor: (nowMs) => after(nowMs) ? 3 : 1,
    },
    {
      ...NO_EVENT,
      name: "region loss, figures stop",
      isLost: (region, nowMs) => region === first && after(nowMs),
      lagMs: (nowMs) => after(nowMs) ? Infinity : 1_000,
    },
    {
      ...NO_EVENT,
      name: "drain to cold places",
      isDrained: (region, nowMs) => region === first && after(nowMs),
      hasColdStarts: true,
    },
  ];
}
