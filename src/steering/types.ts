/**
 * Plans: where the traffic of each region runs.
 *
 * @module
 */
import * as z from "zod";

/** Share of a region's traffic by failure domain; a row sums to 1. */
export type WeightRow = Record<string, number>;
/** Rows by the caller's region. */
export type Weights = Record<string, WeightRow>;
/** Region of each failure domain. */
export type RegionOf = ReadonlyMap<string, string>;

const stepSchema = z.object({
  /** Number of the plan that took this step. */
  number: z.number(),
  /** When it takes effect, in ms since the epoch. */
  atMs: z.number(),
  /** Share of the service's traffic whose region it changed. */
  share: z.number(),
});

/** Schema of a plan's row. */
export const planSchema = z.object({
  service: z.string(),
  /** Rises by 1 with each plan of the service. */
  number: z.number(),
  /** Epoch of the lease under which it was written. */
  epoch: z.number(),
  /** When it takes effect, in ms since the epoch. */
  effectiveAtMs: z.number(),
  weights: z.record(z.string(), z.record(z.string(), z.number())),
  /** Share of the service's traffic that comes from each region. */
  demandShare: z.record(z.string(), z.number()),
  /** Steps of the last window and spread, this plan's own included. */
  trail: z.array(stepSchema),
});

/** A service's plan. */
export type Plan = z.infer<typeof planSchema>;
/** A step that a plan took. */
export type PlanStep = z.infer<typeof stepSchema>;

/** Demand of one region's callers. */
export interface CallerDemand {
  region: string;
  /** Backend server slots that its requests keep busy. */
  slots: number;
}

/** A failure domain that may run the service. */
export interface DomainCapacity {
  failureDomain: string;
  region: string;
  /** Slots that may be used; 0 where it is drained, dead or out of reach. */
  slots: number;
}

/** What an assignment is made from. */
export interface AssignInput {
  demand: readonly CallerDemand[];
  domainCapacities: readonly DomainCapacity[];
  /** One-way delay between two regions, in ms. */
  delayMs(from: string, to: string): number;
  /** Slots' worth of requests that a link may carry. */
  linkSlots(from: string, to: string): number;
}

/** Key of a service's plan in the table. */
export function getPlanKey(service: string): string {
  return `plan/${service}`;
}
