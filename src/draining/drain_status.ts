/**
 * Decides what is being drained, from a service's document. Pure.
 *
 * @module
 */
import type {
  BackendServer,
  DomainName,
  Drain,
  ServiceDocument,
} from "../config/schema.ts";

/**
 * @param drain A drain.
 * @param wallMs Wall-clock time, in ms since the epoch.
 * @returns Whether it is in force.
 */
export function isActive(drain: Drain, wallMs: number): boolean {
  const startsAtMs = drain.startsAt ? Date.parse(drain.startsAt) : -Infinity;
  const endsAtMs = drain.endsAt ? Date.parse(drain.endsAt) : Infinity;
  return startsAtMs <= wallMs && wallMs < endsAtMs;
}

/** A point in time and the regions of failure domains. */
export interface DrainContext {
  wallMs: number;
  regionOf: ReadonlyMap<DomainName, string>;
}

/**
 * @param document The service's document.
 * @param domain A failure domain.
 * @param context Time and regions.
 * @returns Whether the whole failure domain, or its region, is being drained
 * or excluded.
 */
export function isDomainDrained(
  document: ServiceDocument,
  domain: DomainName,
  { wallMs, regionOf }: DrainContext,
): boolean {
  const region = regionOf.get(domain);
  if (region === undefined || !document.regions.includes(region)) return true;
  if (document.excludedFailureDomains.includes(domain)) return true;
  return document.drains.some((drain) =>
    isActive(drain, wallMs) &&
    (drain.scope === "failureDomain" && drain.name === domain ||
      drain.scope === "region" && drain.name === region)
  );
}

/**
 * @param document The service's document.
 * @param server One of its backend servers.
 * @param context Time and regions.
 * @returns Whether the server itself is being drained by its own name.
 */
export function isServerDrained(
  document: ServiceDocument,
  server: BackendServer,
  { wallMs }: DrainContext,
): boolean {
  return document.drains.some((drain) =>
    drain.scope === "backendServer" && drain.name === server.id &&
    isActive(drain, wallMs)
  );
}
