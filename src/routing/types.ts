/**
 * The configuration by which requests are routed and served.
 *
 * @module
 */

import type { ClientAccount } from "../accounts/types.ts";

/** Whether a request may run more than once. */
export type RequestKind = "idempotent" | "non_idempotent";

/** Size of a route's bodies; the larger ones bind memory and links. */
export type Transfer = "small" | "upload" | "download";

/** The portion of a route's requests that goes to one service. */
export interface ServiceShare {
  service: string;
  /** Relative to the other weights of the route. */
  weight: number;
}

/** Settings for requests to one host below one path prefix. */
export interface Route {
  name: string;
  host: string;
  /** Path prefix; begins and ends with a slash. */
  prefix: string;
  kind: RequestKind;
  /** Whether requests or answers have large bodies. */
  transfer: Transfer;
  /** Maximum time from the arrival of a request to its final answer. */
  timeoutMs: number;
  /** Latency up to which an answer has its full value for the caller. */
  targetLatencyMs: number;
  /** 0 is the most urgent. */
  priority: number;
  /** One service, or several if the route is split. */
  shares: ServiceShare[];
  /** Maximum number of backend servers that one request may be sent to. */
  maxAttempts: number;
  /** Whether backend servers answer faster for objects that they have cached. */
  isSticky: boolean;
  /** Regions that may serve the route; empty if all may. */
  homeRegions: string[];
  /** Whether callers need no client account. */
  isPublic: boolean;
}

/** Settings of a service, without its backend servers. */
export interface ServiceSettings {
  name: string;
  /** Maximum connections to one backend server, from all VMs together. */
  maxConnections: number;
  /** Time that a backend server stays cold after its start. */
  coldDurationMs: number;
  /** Requests per second that a cold backend server takes, from all VMs. */
  coldRequestsPerS: number;
}

/** Limits on requests from clients. */
export interface RequestLimits {
  maxHeaderBytes: number;
  maxBodyBytes: number;
  headerTimeoutMs: number;
  idleTimeoutMs: number;
}

/** One version of the whole configuration. */
export interface Configuration {
  /** Increases with each accepted change. */
  version: number;
  routes: Route[];
  services: ServiceSettings[];
  limits: RequestLimits;
  /** Client accounts; absent if callers need none. */
  accounts?: ClientAccount[];
}
