/**
 * The configuration that requests are served by.
 *
 * @module
 */

import type { ClientAccount } from "../accounts/types.ts";

/** Whether a request may run more than once. */
export type RequestKind = "idempotent" | "non_idempotent";

/** A part of a route's requests that goes to one service. */
export interface ServiceShare {
  service: string;
  /** Relative to the other parts of the route. */
  weight: number;
}

/** Requests of one host below one path prefix. */
export interface Route {
  name: string;
  host: string;
  /** Begins and ends with a slash. */
  prefix: string;
  kind: RequestKind;
  /** Longest time from the request's arrival to its final answer. */
  timeoutMs: number;
  /** Answers within this time are worth most to the caller. */
  targetLatencyMs: number;
  /** 0 is the most urgent. */
  priority: number;
  /** One part, or several where the route is split. */
  shares: ServiceShare[];
  /** Most backend servers that one request may be sent to. */
  maxAttempts: number;
  /** Whether backend servers answer faster for objects they know. */
  isSticky: boolean;
  /** Regions that may serve the route; empty where all may. */
  homeRegions: string[];
  /** Whether callers need no client account. */
  isPublic: boolean;
}

/** What is known of a service apart from its backend servers. */
export interface ServiceSettings {
  name: string;
  /** Connections that one backend server accepts from all VMs together. */
  maxConnections: number;
  /** How long a backend server stays cold after a start. */
  coldDurationMs: number;
  /** Requests a second that a cold backend server bears, from all VMs. */
  coldRequestsPerS: number;
}

/** Bounds on what a client may send. */
export interface RequestLimits {
  maxHeaderBytes: number;
  maxBodyBytes: number;
  headerTimeoutMs: number;
  idleTimeoutMs: number;
}

/** One version of the whole configuration. */
export interface Configuration {
  /** Rises with every accepted change. */
  version: number;
  routes: Route[];
  services: ServiceSettings[];
  limits: RequestLimits;
  /** Absent where callers need no account. */
  accounts?: ClientAccount[];
}
