/**
 * Turns measurements of any age into what a plan is made from. Old or missing
 * numbers widen the reserve and fall back on what the documents declare; they
 * never read as no load and never stop a decision. Pure.
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
import type { AssignInput, CallerDemand, Place, RegionOf } from "./types.ts";

/** Figures younger than this count in full. */
const FRESH_MS = 2 * LOAD_REFRESH_MS;
/** Reserve added for each second of age beyond that. */
const RESERVE_PER_S = 0.02;
const MAX_AGE_RESERVE = 0.3;
/** Part of a link that plans may fill. */
const LINK_FILL = 0.85;
/** Demand of a region that nothing is known of, in requests a second. */
const UNKNOWN_REQUESTS_PER_S = 1;
const DEFAULT_BYTES_PER_REQUEST = 2_000;

/** What is known at the time of a decision. */
export interface EstimateInput {
  document: ServiceDocument;
  fleet: FleetDocument;
  regionOf: RegionOf;
  loads: LoadState;
  /** Failure domains with an entry that looks alive. */
  aliveDomains: ReadonlySet<string>;
  /** Backend servers that the platform says are leaving. */
  leavingServers: ReadonlySet<string>;
  /** Services that share the links. */
  serviceCount: number;
  /** Monotonic time, in ms. */
  nowMs: number;
  /** Wall-clock time, in ms since the epoch. */
  wallMs: number;
}

/** What a plan is made from, and each region's share of the demand. */
export interface Estimate {
  input: AssignInput;
  demandShare: Record<RegionName, number>;
}

interface Report {
  domain: string;
  load: ServiceLoad;
  ageMs: number;
}

/**
 * @param known What is known.
 * @returns The estimate.
 */
export function estimate(known: EstimateInput): Estimate {
  const reports = listReports(known);
  const serviceMs = estimateServiceMs(known, reports);
  const demand = estimateDemand(known, reports, serviceMs);
  const total = demand.reduce((sum, { slots }) => sum + slots, 0);
  const demandShare = Object.fromEntries(
    demand.map(({ region, slots }) => [region, total > 0 ? slots / total : 0]),
  );
  const bytes = estimateBytes(reports);
  return {
    demandShare,
    input: {
      demand,
      places: estimatePlaces(known, reports),
      delayMs: (from, to) => getDelayMs(known.fleet, from, to),
      linkSlots(from, to) {
        if (from === to) return Infinity;
        const link = findLink(known.fleet, from, to);
        if (link === undefined) return 0;
        const share = link.limitBytesPerS * LINK_FILL / known.serviceCount;
        return share / bytes * serviceMs / 1_000;
      },
    },
  };
}

/**
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
 * @param fleet The fleet's document.
 * @param from Sending region.
 * @param to Running region.
 * @returns The link between them, if declared in either direction.
 */
export function findLink(fleet: FleetDocument, from: string, to: string) {
  return fleet.links.find((link) => link.from === from && link.to === to) ??
    fleet.links.find((link) => link.from === to && link.to === from);
}

function listReports({ document, loads, nowMs }: EstimateInput): Report[] {
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

function estimateServiceMs(
  { document }: EstimateInput,
  reports: readonly Report[],
): number {
  const seen = reports.filter(({ load }) => load.serviceMs > 0);
  if (seen.length === 0) return document.expectedServiceMs;
  const weightOf = ({ load }: Report) => load.inFlight + 1;
  const weights = seen.reduce((sum, report) => sum + weightOf(report), 0);
  return seen.reduce(
    (sum, report) => sum + report.load.serviceMs * weightOf(report) / weights,
    0,
  );
}

function estimateDemand(
  known: EstimateInput,
  reports: readonly Report[],
  serviceMs: number,
): CallerDemand[] {
  return known.fleet.regions.map(({ name }) => {
    const requestsPerS = estimateRequests(known, reports, name);
    return { region: name, slots: requestsPerS * serviceMs / 1_000 };
  });
}

function estimateRequests(
  { document, aliveDomains }: EstimateInput,
  reports: readonly Report[],
  region: string,
): number {
  const declared = document.expectedRequestsPerS[region] ??
    UNKNOWN_REQUESTS_PER_S;
  const fresh = new Set(
    reports.filter(({ ageMs }) => ageMs <= FRESH_MS)
      .map(({ domain }) => domain),
  );
  // What a silent domain's entries carry is not known, so it is not nothing.
  const isComplete = [...aliveDomains].every((domain) => fresh.has(domain));
  const seen = reports.flatMap(({ load }) => load.arrivals)
    .filter((arrivals) => arrivals.region === region)
    .reduce((sum, { requestsPerS }) => sum + requestsPerS, 0);
  if (!isComplete) return Math.max(seen, declared);
  return Math.max(seen, UNKNOWN_REQUESTS_PER_S);
}

function estimateBytes(reports: readonly Report[]): number {
  const seen = reports.map(({ load }) => load.bytesPerRequest)
    .filter((bytes) => bytes > 0);
  if (seen.length === 0) return DEFAULT_BYTES_PER_REQUEST;
  return seen.reduce((sum, bytes) => sum + bytes, 0) / seen.length;
}

function estimatePlaces(
  known: EstimateInput,
  reports: readonly Report[],
): Place[] {
  const domains = new Set(
    known.document.backendServers.map((server) => server.failureDomain),
  );
  return [...domains].map((failureDomain) => ({
    failureDomain,
    region: known.regionOf.get(failureDomain) ?? failureDomain,
    slots: estimateSlots(known, reports, failureDomain),
  }));
}

function estimateSlots(
  known: EstimateInput,
  reports: readonly Report[],
  domain: string,
): number {
  const { document, aliveDomains, leavingServers } = known;
  if (!aliveDomains.has(domain)) return 0;
  if (isDomainDrained(document, domain, known)) return 0;
  const declared = document.backendServers
    .filter((server) =>
      server.failureDomain === domain && !leavingServers.has(server.id) &&
      !isServerDrained(document, server, known)
    )
    .reduce((sum, { slots }) => sum + slots, 0);
  const own = reports.filter((report) => report.domain === domain);
  const reported = own.reduce((sum, { load }) => sum + load.usableSlots, 0);
  const slots = own.length > 0 ? Math.min(declared, reported) : declared;
  const ageMs = own.length > 0
    ? Math.max(...own.map((report) => report.ageMs))
    : Infinity;
  return slots * (1 - getReserve(document.headroomShare, ageMs));
}

/**
 * @param headroomShare Reserve that the document asks for.
 * @param ageMs Age of the oldest figure used, in ms.
 * @returns Share of the slots that plans leave free.
 */
export function getReserve(headroomShare: number, ageMs: number): number {
  const lateS = Math.max(0, ageMs - FRESH_MS) / 1_000;
  const forAge = Math.min(MAX_AGE_RESERVE, lateS * RESERVE_PER_S);
  return Math.min(0.9, headroomShare + forAge);
}
