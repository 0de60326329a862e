/**
 * What happens to a deployment in the steering bench, as functions of time.
 *
 * @module
 */

/** What happens, as functions of time. */
export interface Scenario {
  name: string;
  durationMs: number;
  /** Factor on the demand of all regions. */
  demandFactor(nowMs: number): number;
  isLost(region: string, nowMs: number): boolean;
  isDrained(region: string, nowMs: number): boolean;
  /** Age of the figures that a planner sees, in ms; Infinity: none arrive. */
  lagMs(nowMs: number): number;
  /** Whether places that gain traffic are cold. */
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

/** When the event of a scenario begins, in ms. */
export const EVENT_MS = 20_000;

/** @returns The scenarios; the event befalls the first region. */
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
