/**
 * Test fixtures: configurations, servers, VMs and fact updates.
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
  createServerReachability,
  type ReachabilityOptions,
  type ServerReachability,
} from "../servers/reachability.ts";
import {
  createServerRegistry,
  type ServerRegistry,
} from "../servers/registry.ts";
import { createRunTimes, type RunTimes } from "../servers/run_times.ts";
import type { ListedServer } from "../servers/types.ts";
import { createSilentLog } from "../telemetry/log.ts";

/**
 * @param changes Fields that differ from the default, an idempotent route.
 * @returns The route.
 */
export function makeRoute(changes: Partial<Route> = {}): Route {
  return {
    name: "r",
    host: "a.example",
    prefix: "/",
    kind: "idempotent",
    transfer: "small",
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
 * @param routes Routes of the configuration.
 * @param version Version of the configuration.
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
 * @param id Id of the server.
 * @param changes Fields that differ from the default, a warm, ready server of
 *   the service `s`.
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
 * @param version Version number of the update.
 * @param epoch Epoch of the update.
 * @returns The update that lists the server.
 */
export function makeServerUpdate(
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
 * @param configuration Version of the configuration, which has one route.
 * @param version Version number of the update.
 * @param epoch Epoch of the update.
 * @returns The update with the configuration.
 */
export function makeConfigurationUpdate(
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
 * @param id Id of the VM.
 * @param changes Fields that differ from the default, a VM with one core in
 *   `oslo`.
 * @returns The identity of the VM.
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

/**
 * @param clock The clock.
 * @param registry The servers.
 * @param vm The VM.
 * @param changes Options that differ from the default, a VM that draws 0.5.
 * @returns A state without reports.
 */
export function makeReachability(
  clock: Clock,
  registry: Pick<ServerRegistry, "listAll" | "listUsable">,
  vm = makeVmIdentity("vm-1"),
  changes: Partial<ReachabilityOptions> = {},
): ServerReachability {
  return createServerReachability({
    clock,
    log: createSilentLog(),
    random: () => 0.5,
    ownId: vm.id,
    ownDomain: vm.failureDomain,
    countVms: () => 112,
    listAll: registry.listAll,
    listUsable: registry.listUsable,
    ...changes,
  });
}

/** Regions by failure domain, for tests. */
export const TEST_REGIONS: ReadonlyMap<string, string> = new Map([
  ["oslo-a", "oslo"],
  ["oslo-b", "oslo"],
  ["bergen-a", "bergen"],
]);

/**
 * @param clock The clock.
 * @param runTimes Run times of requests.
 * @returns A registry without servers, with the test regions, that receives
 *   nothing from other VMs.
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
