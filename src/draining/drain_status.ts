/**
 * Decides from a service's document which failure domains and backend servers are
 * being drained. Pure.
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
 * @param drain A drain of a service's document.
 * @param wallMs Wall-clock time, in ms since the Unix epoch.
 * @returns Whether the drain is active; the end time is exclusive.
 */
export function isActive(drain: Drain, wallMs: number): boolean {
  const startsAtMs = drain.startsAt ? Date.parse(drain.startsAt) : -Infinity;
  const endsAtMs = drain.endsAt ? Date.parse(drain.endsAt) : Infinity;
  return startsAtMs <= wallMs && wallMs < endsAtMs;
}

/** Input of a drain decision besides the document. */
export interface DrainContext {
  /** Wall-clock time, in ms since the Unix epoch. */
  wallMs: number;
  /** Region of each failure domain. */
  regionOf: ReadonlyMap<DomainName, string>;
}

/**
 * @param document Document of the service.
 * @param domain Name of a failure domain.
 * @param context Time and regions.
 * @returns Whether the failure domain or its region is drained, excluded, or not
 *   part of the service.
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
 * @param document Document of the service.
 * @param server One of the service's backend servers.
 * @param context Time and regions.
 * @returns Whether a drain names the server itself.
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
