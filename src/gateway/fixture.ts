/**
 * Configurations and servers for tests.
 *
 * @module
 */
import type { VmIdentity } from "../members/types.ts";
import { CONFIGURATION_KEY, type FactUpdate } from "../news/types.ts";
import { makeVersion } from "../news/version.ts";
import type { Configuration, Route } from "../routing/types.ts";
import { createRunningRequests } from "../activity/running.ts";
import type { Clock } from "../runtime/clock.ts";
import {
  createServerRegistry,
  type ServerRegistry,
} from "../servers/registry.ts";
import { createRunTimes, type RunTimes } from "../servers/run_times.ts";
import type { ListedServer } from "../servers/types.ts";
import { createSilentLog } from "../telemetry/log.ts";

/**
 * @param changes Fields that differ from a plain idempotent route.
 * @returns The route.
 */
export function makeRoute(changes: Partial<Route> = {}): Route {
  return {
    name: "r",
    host: "a.example",
    prefix: "/",
    kind: "idempotent",
    timeoutMs: 1_000,
    targetLatencyMs: 400,
    priority: 1,
    shares: [{ service: "s", weight: 1 }],
    maxAttempts: 2,
    isSticky: true,
    homeRegions: [],
    isPublic: false,
    ...changes,
  };
}

/**
 * @param routes Its routes.
 * @param version Its version.
 * @returns A configuration with the service `s`.
 */
export function makeConfiguration(
  routes: Route[],
  version = 1,
): Configuration {
  return {
    version,
    routes,
    services: [{
      name: "s",
      maxConnections: 100,
      coldDurationMs: 3_000,
      coldRequestsPerS: 9,
    }],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1_000,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
  };
}

/**
 * @param id Its id.
 * @param changes Fields that differ from a warm, ready server of `s`.
 * @returns The server.
 */
export function makeServer(
  id: string,
  changes: Partial<ListedServer> = {},
): ListedServer {
  return {
    id,
    registeredName: id,
    service: "s",
    address: "127.0.0.1:1",
    failureDomain: "oslo-a",
    slots: 4,
    state: "ready",
    coldLeftMs: 0,
    ...changes,
  };
}

/**
 * @param server A listed server.
 * @param version Number of the news.
 * @param epoch Its epoch.
 * @returns The news that it is listed.
 */
export function makeServerNews(
  server: ListedServer,
  version: number,
  epoch = 0,
): FactUpdate {
  return {
    topic: "servers",
    key: `server/${server.registeredName}`,
    version: makeVersion(version, epoch),
    fact: { kind: "server", server },
  };
}

/**
 * @param configuration Number of the configuration, which has one route.
 * @param version Number of the news.
 * @param epoch Its epoch.
 * @returns The news that it is the newest.
 */
export function makeConfigurationNews(
  configuration: number,
  version: number,
  epoch = 0,
): FactUpdate {
  return {
    topic: "operations",
    key: CONFIGURATION_KEY,
    version: makeVersion(version, epoch),
    fact: {
      kind: "configuration",
      configuration: makeConfiguration([makeRoute()], configuration),
    },
  };
}

/**
 * @param id Its name.
 * @param changes Fields that differ from a VM of one core in oslo.
 * @returns How the VM is reached.
 */
export function makeVmIdentity(
  id: string,
  changes: Partial<VmIdentity> = {},
): VmIdentity {
  return {
    id,
    incarnation: "1",
    region: "oslo",
    failureDomain: "oslo-a",
    frontAddress: "127.0.0.1:1",
    peerAddress: "127.0.0.1:2",
    cores: 1,
    ...changes,
  };
}

/** Regions of the failure domains in tests. */
export const TEST_REGIONS: ReadonlyMap<string, string> = new Map([
  ["oslo-a", "oslo"],
  ["oslo-b", "oslo"],
  ["bergen-a", "bergen"],
]);

/**
 * @param clock The clock.
 * @param runTimes How long requests last.
 * @returns A registry without servers, in the regions of tests, to which no
 *   other VM tells anything.
 */
export function makeRegistry(
  clock: Clock,
  runTimes: RunTimes = createRunTimes(),
): ServerRegistry {
  return createServerRegistry({
    clock,
    log: createSilentLog(),
    regions: TEST_REGIONS,
    getColdDurationMs: () => 3_000,
    running: createRunningRequests(clock),
    runTimes,
  });
}
