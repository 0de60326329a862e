/**
 * Estimates demand and capacity from measurements of any age. Old or missing
 * measurements increase the reserve and fall back on the declared values; they
 * are never taken for zero load and never block a decision. Pure functions.
 *
 * @module
 */
import type {
  FleetDocument,
  RegionName,
  ServiceDocument,
} from "../config/schema.ts";
import { isDomainDrained, isServerDrained } from "../draining/drain_status.ts";
import { LOAD_REFRESH_MS, type LoadState } from "../measurement/state.ts";
import type { ServiceLoad } from "../measurement/types.ts";
import type {
  AssignInput,
  CallerDemand,
  DomainCapacity,
  RegionOf,
} from "./types.ts";

/** Age up to which measurements need no extra reserve, in ms. */
const FRESH_LOAD_AGE_MS = 2 * LOAD_REFRESH_MS;
/** Reserve added per second of further age, as a share of the slots. */
const RESERVE_SHARE_PER_S = 0.02;
/** Limit on the reserve added for age, as a share of the slots. */
const MAX_AGE_RESERVE_SHARE = 0.3;
/** Share of a link's limit that plans may use. */
const MAX_LINK_FILL_SHARE = 0.85;
/**
 * Demand of a region without declared or measured demand, in requests a second.
 */
const FALLBACK_REQUESTS_PER_S = 1;
/** Size of a request and its answer until it is measured, in bytes. */
const DEFAULT_BYTES_PER_REQUEST = 2_000;

/** What a steer knows at the time of a decision. */
export interface EstimateInput {
  document: ServiceDocument;
  fleet: FleetDocument;
  regionOf: RegionOf;
  loads: LoadState;
  /** Failure domains with an entry that this steer considers alive. */
  aliveDomains: ReadonlySet<string>;
  /** Ids of backend servers that the platform reports as leaving. */
  leavingServers: ReadonlySet<string>;
  /** Number of services that share the links. */
  serviceCount: number;
  /** Monotonic time, in ms. */
  nowMs: number;
  /** Wall-clock time, in ms since the Unix epoch. */
  wallMs: number;
}

/** Estimated demand and capacity of a service. */
export interface Estimate {
  input: AssignInput;
  /** Share of the service's demand that comes from each region. */
  demandShare: Record<RegionName, number>;
}

/** One entry's measurements of the service. */
interface LoadReport {
  /** The entry's failure domain. */
  domain: string;
  load: ServiceLoad;
  ageMs: number;
}

/**
 * Estimates a service's demand and capacity.
 *
 * @param input What the steer knows.
 * @returns The estimate.
 */
export function estimate(input: EstimateInput): Estimate {
  const reports = listReports(input);
  const serviceMs = estimateServiceMs(input, reports);
  const demand = estimateDemand(input, reports, serviceMs);
  const total = demand.reduce((sum, { slots }) => sum + slots, 0);
  const demandShare = Object.fromEntries(
    demand.map(({ region, slots }) => [region, total > 0 ? slots / total : 0]),
  );
  const bytesPerRequest = estimateBytesPerRequest(reports);
  return {
    demandShare,
    input: {
      demand,
      domainCapacities: estimateDomainCapacities(input, reports),
      delayMs: (from, to) => getDelayMs(input.fleet, from, to),
      linkSlots(from, to) {
        if (from === to) return Infinity;
        const link = findLink(input.fleet, from, to);
        if (link === undefined) return 0;
        const bytesPerS = link.limitBytesPerS * MAX_LINK_FILL_SHARE /
          input.serviceCount;
        return bytesPerS / bytesPerRequest * serviceMs / 1_000;
      },
    },
  };
}

/**
 * Looks up the delay between two regions.
 *
 * @param fleet The fleet's document.
 * @param from A region.
 * @param to Another or the same region.
 * @returns One-way delay in ms; Infinity where no link is declared.
 */
export function getDelayMs(
  fleet: FleetDocument,
  from: string,
  to: string,
): number {
  if (from === to) return fleet.withinRegionOneWayMs;
  return findLink(fleet, from, to)?.oneWayMs ?? Infinity;
}

/**
 * Finds the link between two regions.
 *
 * @param fleet The fleet's document.
 * @param from The callers' region.
 * @param to The serving region.
 * @returns The link declared in this direction, else in the other; undefined
 * where there is none.
 */
export function findLink(fleet: FleetDocument, from: string, to: string) {
  return fleet.links.find((link) => link.from === from && link.to === to) ??
    fleet.links.find((link) => link.from === to && link.to === from);
}

function listReports({ document, loads, nowMs }: EstimateInput): LoadReport[] {
  return [...loads.values()].flatMap(({ load, receivedMs }) =>
    load.services
      .filter(({ service }) => service === document.service)
      .map((service) => ({
        domain: load.failureDomain,
        load: service,
        ageMs: nowMs - receivedMs,
      }))
  );
}

/** Mean of the measured service times, weighted by the requests in flight. */
function estimateServiceMs(
  { document }: EstimateInput,
  reports: readonly LoadReport[],
): number {
  const measuredReports = reports.filter(({ load }) => load.serviceMs > 0);
  if (measuredReports.length === 0) return document.expectedServiceMs;
  const weightOf = ({ load }: LoadReport) => load.inFlight + 1;
  const weights = measuredReports.reduce(
    (sum, report) => sum + weightOf(report),
    0,
  );
  return measuredReports.reduce(
    (sum, report) => sum + report.load.serviceMs * weightOf(report) / weights,
    0,
  );
}

function estimateDemand(
  input: EstimateInput,
  reports: readonly LoadReport[],
  serviceMs: number,
): CallerDemand[] {
  return input.fleet.regions.map(({ name }) => {
    const requestsPerS = estimateRequestsPerS(input, reports, name);
    return { region: name, slots: requestsPerS * serviceMs / 1_000 };
  });
}

function estimateRequestsPerS(
  { document, aliveDomains }: EstimateInput,
  reports: readonly LoadReport[],
  region: string,
): number {
  const declared = document.expectedRequestsPerS[region] ??
    FALLBACK_REQUESTS_PER_S;
  const freshDomains = new Set(
    reports.filter(({ ageMs }) => ageMs <= FRESH_LOAD_AGE_MS)
      .map(({ domain }) => domain),
  );
  // A live domain without fresh measurements may carry any load, so the sum of
  // the others alone is too low.
  const isComplete = [...aliveDomains].every((domain) =>
    freshDomains.has(domain)
  );
  const measuredPerS = reports.flatMap(({ load }) => load.arrivals)
    .filter((arrivals) => arrivals.region === region)
    .reduce((sum, { requestsPerS }) => sum + requestsPerS, 0);
  if (!isComplete) return Math.max(measuredPerS, declared);
  return Math.max(measuredPerS, FALLBACK_REQUESTS_PER_S);
}

function estimateBytesPerRequest(reports: readonly LoadReport[]): number {
  const measuredBytes = reports.map(({ load }) => load.bytesPerRequest)
    .filter((bytes) => bytes > 0);
  if (measuredBytes.length === 0) return DEFAULT_BYTES_PER_REQUEST;
  return measuredBytes.reduce((sum, bytes) => sum + bytes, 0) /
    measuredBytes.length;
}

function estimateDomainCapacities(
  input: EstimateInput,
  reports: readonly LoadReport[],
): DomainCapacity[] {
  const domains = new Set(
    input.document.backendServers.map((server) => server.failureDomain),
  );
  return [...domains].map((failureDomain) => ({
    failureDomain,
    region: input.regionOf.get(failureDomain) ?? failureDomain,
    slots: estimateSlots(input, reports, failureDomain),
  }));
}

function estimateSlots(
  input: EstimateInput,
  reports: readonly LoadReport[],
  domain: string,
): number {
  const { document, aliveDomains, leavingServers } = input;
  if (!aliveDomains.has(domain)) return 0;
  if (isDomainDrained(document, domain, input)) return 0;
  const declared = document.backendServers
    .filter((server) =>
      server.failureDomain === domain && !leavingServers.has(server.id) &&
      !isServerDrained(document, server, input)
    )
    .reduce((sum, { slots }) => sum + slots, 0);
  const domainReports = reports.filter((report) => report.domain === domain);
  const reported = domainReports.reduce(
    (sum, { load }) => sum + load.usableSlots,
    0,
  );
  const slots = domainReports.length > 0
    ? Math.min(declared, reported)
    : declared;
  const ageMs = domainReports.length > 0
    ? Math.max(...domainReports.map((report) => report.ageMs))
    : Infinity;
  return slots * (1 - getReserveShare(document.headroomShare, ageMs));
}

/**
 * Computes the share of the slots that plans leave free.
 *
 * @param headroomShare Reserve that the document requires, as a share.
 * @param ageMs Age of the oldest measurement used, in ms; Infinity without any.
 * @returns The reserve, as a share of the slots, at most 0.9.
 */
export function getReserveShare(headroomShare: number, ageMs: number): number {
  const excessAgeS = Math.max(0, ageMs - FRESH_LOAD_AGE_MS) / 1_000;
  const ageReserveShare = Math.min(
    MAX_AGE_RESERVE_SHARE,
    excessAgeS * RESERVE_SHARE_PER_S,
  );
  return Math.min(0.9, headroomShare + ageReserveShare);
}
