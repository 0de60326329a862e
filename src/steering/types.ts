/**
 * Plans, which say in which failure domains the traffic of each region runs,
 * and the input they are made from.
 *
 * @module
 */
import * as z from "zod";

/** Share of one region's traffic by failure domain; the shares sum to 1. */
export type WeightRow = Record<string, number>;
/** Weight rows by the callers' region. */
export type Weights = Record<string, WeightRow>;
/** Region of each failure domain. */
export type RegionOf = ReadonlyMap<string, string>;

/** Most regions, failure domains of a region, and steps of a plan. */
const MAX_ITEMS = 4_096;

/** @returns A schema of records with a bounded number of keys. */
function makeRecordSchema<T extends z.ZodType>(value: T) {
  return z.record(z.string(), value).refine(
    (record) => Object.keys(record).length <= MAX_ITEMS,
  );
}

const stepSchema = z.object({
  /** Number of the plan that made this step. */
  number: z.int(),
  /** Time at which it takes effect, in ms since the Unix epoch. */
  atMs: z.number(),
  /** Share of the service's traffic that it moves to another region. */
  share: z.number(),
});

/** Schema of the table row that stores a plan. */
export const planSchema = z.object({
  service: z.string(),
  /** Increases by 1 with each plan of the service. */
  number: z.int(),
  /** Epoch of the lease under which the plan was written. */
  epoch: z.number(),
  /** Time at which it takes effect, in ms since the Unix epoch. */
  effectiveAtMs: z.number(),
  weights: makeRecordSchema(makeRecordSchema(z.number())),
  /** Share of the service's traffic that comes from each region. */
  demandShare: makeRecordSchema(z.number()),
  /** Steps that still count against the shift cap, this plan's own included. */
  trail: z.array(stepSchema).max(MAX_ITEMS),
});

/** A plan of one service. */
export type Plan = z.infer<typeof planSchema>;
/** A step of traffic between regions that a plan made. */
export type PlanStep = z.infer<typeof stepSchema>;

/** Demand of one region's callers. */
export interface CallerDemand {
  /** The callers' region. */
  region: string;
  /** Backend server slots that their requests occupy on average. */
  slots: number;
}

/** Capacity of a failure domain in which the service may run. */
export interface DomainCapacity {
  failureDomain: string;
  region: string;
  /** Slots that plans may use; 0 where it is drained, dead or unreachable. */
  slots: number;
}

/** Input of an assignment of demand to failure domains. */
export interface AssignInput {
  demand: readonly CallerDemand[];
  domainCapacities: readonly DomainCapacity[];
  /** @returns One-way delay between two regions, in ms. */
  delayMs(from: string, to: string): number;
  /** @returns Capacity of a link, as the slots that requests over it occupy. */
  linkSlots(from: string, to: string): number;
}

/**
 * Builds the key of a service's plan in the table.
 *
 * @param service The service's name.
 * @returns The key.
 */
export function getPlanKey(service: string): string {
  return `plan/${service}`;
}
