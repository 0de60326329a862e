/**
 * The gateway: the process on each VM that answers directory requests of
 * clients and forwards their requests to backend servers.
 *
 * @module
 */
import process from "node:process";
import { encodeUsage } from "../limits/usage_encoding.ts";
import { startUsageSharing } from "../limits/usage_sharing.ts";
import { createRunningRequests } from "../activity/running.ts";
import { startSharing } from "../activity/sharing.ts";
import { isBehindHub } from "../members/hubs.ts";
import { startMesh } from "../members/mesh.ts";
import { createMemberTable } from "../members/table.ts";
import type {
  VmIdentity,
  VmRegistry,
  VmReport,
  VmState,
} from "../members/types.ts";
import { createVmViews } from "../members/views.ts";
import { createFactStore, type FactStore } from "../news/fact_store.ts";
import { createFreshnessTracker } from "../news/freshness.ts";
import { startFreshnessMonitor } from "../news/freshness_monitor.ts";
import { needsFallbackRead } from "../news/fallback_read.ts";
import {
  DEFAULT_READER_TIMINGS,
  type Reader,
  type ReaderOptions,
  startReader,
  STRICT_READER_TIMINGS,
} from "../news/reader.ts";
import {
  CONFIGURATION_KEY,
  type EpochMarks,
  type FactSource,
  SOURCE_TOPICS,
} from "../news/types.ts";
import { isProxyOrder } from "../proxying/proxy_headers.ts";
import { createProxyServer } from "../proxying/proxy_server.ts";
import { createObjectCacheModel } from "../placement/object_cache_model.ts";
import { MIN_COMPETING_REPORTED_RUN_MS } from "../queueing/thresholds.ts";
import { formatAddress } from "../runtime/address.ts";
import type { Clock } from "../runtime/clock.ts";
import type { OpenSocket } from "../runtime/open_socket.ts";
import { createRouter, listen } from "../runtime/http_server.ts";
import { startOverloadMonitor } from "../runtime/overload.ts";
import { startReadDelay } from "../runtime/read_delay.ts";
import type { Stoppable } from "../runtime/process.ts";
import { startFrontServer } from "../serving/front_server.ts";
import { createProcessEnd } from "../serving/process_end.ts";
import type { WireCodec } from "../serving/types.ts";
import type { Log } from "../telemetry/log.ts";
import { type ControlPaths, startControlServers } from "./control_routes.ts";
import { createCore } from "./core.ts";
import { createGatewayMetrics } from "./gauges.ts";
import { leave, scheduleProcessEnd } from "./leave.ts";
import { startServerLimitSharing } from "./server_limits.ts";
import { startReachabilitySharing } from "./server_reachability.ts";
import type { GatewaySettings } from "./settings.ts";
import { dumpState } from "./state_dump.ts";

/** Dependencies of a gateway. */
export interface GatewayOptions {
  settings: GatewaySettings;
  clock: Clock;
  log: Log;
  source: FactSource;
  epochMarks: EpochMarks;
  vmRegistry: VmRegistry;
  codec: WireCodec;
  paths: ControlPaths;
  /** Opens connections to backend servers. */
  openServerSocket: OpenSocket;
  /**
   * Resolves when the process is told to stop, also while the gateway starts: the
   * time until it is killed runs from then on.
   */
  stopRequested?: Promise<void>;
}

/**
 * Time for which clients may use a directory answer. Some use it three times as
 * long, and a leaving VM has to accept connections until then. Of the shortest
 * shutdown time (6 s), that leaves one second for requests in progress.
 */
const DIRECTORY_TTL_MS = 1_500;
/** Headers of a client's request, and those of a proxied attempt. */
const MAX_PEER_HEADER_BYTES = 81_920;
/**
 * Shorter requests are not reported to other VMs, since they end before the
 * report arrives: reporting requests of 94 ms had no benefit and took a sixth
 * more processor time.
 */
const MIN_REPORTED_RUN_MS = 400;
/**
 * Interval at which a starting VM checks whether it can serve. Clients are
 * directed to it only after it reported so.
 */
const START_CHECK_INTERVAL_MS = 50;

/**
 * Starts a gateway.
 *
 * @param options Dependencies of the gateway.
 * @returns The running gateway.
 * @throws StepError of kind `invalid` where an address can't be bound.
 */
export async function startGateway(
  options: GatewayOptions,
): Promise<Stoppable> {
  const { settings, clock, log, codec } = options;
  const startedAtMs = clock.monotonicMs();
  const self = makeIdentity(settings, clock);
  const memberTable = createMemberTable(self.id, clock);
  const factStore = createFactStore(clock);
  const freshness = createFreshnessTracker({
    clock,
    getVersion: () => getConfigurationVersion(factStore),
  });
  const vms = createVmViews(self, memberTable);
  const cacheModel = createObjectCacheModel();
  const runningRequests = createRunningRequests(clock);
  const processEnd = createProcessEnd();
  void options.stopRequested?.then(() =>
    scheduleProcessEnd(processEnd, clock, settings.bounds.graceMs)
  );
  const core = createCore({
    ...options,
    self,
    memberTable,
    vms,
    cacheModel,
    running: runningRequests,
    processEnd,
    factStore,
    freshness,
    getFleetDemand: () => mesh.getDemand(),
    broadcastFacts: (updates) => mesh.broadcastFacts(updates),
  });
  const readDelay = startReadDelay({
    clock,
    onHeldUp: (delayMs) =>
      log.warn({ delayMs: Math.round(delayMs) }, "requests waited to be read"),
  });
  const metrics = createGatewayMetrics({
    core,
    factStore,
    freshness,
    countServingVms: vms.countServing,
    readDelay,
  });
  const getMinReportedRunMs = (service: string) =>
    core.getCompetingPriorities(service).length > 1
      ? MIN_COMPETING_REPORTED_RUN_MS
      : MIN_REPORTED_RUN_MS;
  const ttlMs = Math.min(DIRECTORY_TTL_MS, settings.bounds.maxTtlMs);
  let state: VmState = "starting";

  /** Changes from starting to serving once routes and servers are known. */
  function updateState(): VmState {
    const version = core.getRoutes()?.configuration.version;
    const knowsServers = factStore.getAgeMs("servers") < Infinity;
    if (state === "starting" && version !== undefined && knowsServers) {
      state = "serving";
      log.info({ version }, "serving");
    }
    return state;
  }

  const overloadMonitor = startOverloadMonitor(
    clock,
    (isOverloaded, utilization) => {
      log.warn(
        { isOverloaded, use: utilization },
        "event loop overload changed",
      );
    },
  );

  const proxyServer = createProxyServer({
    clock,
    log,
    codec,
    registry: core.registry,
    backoffs: core.serverLimits.backoffs,
    reach: core.reachMonitor,
    exchange: core.exchange,
    bodyBudget: core.bodyBudget,
    cores: settings.cores,
    isOverloaded: overloadMonitor.isOverloaded,
    processEnd,
    recordResult: core.recordProxied,
  });
  const peerServer = await listen(
    createRouter(),
    formatAddress(settings.peerAddress),
    {
      maxHeaderBytes: MAX_PEER_HEADER_BYTES,
      intercept: {
        isWanted: isProxyOrder,
        handle: (request, response) =>
          void proxyServer.handle(request, response),
      },
    },
  );
  const mesh = startMesh({
    self,
    table: memberTable,
    factStore,
    freshness,
    needsProofs: () => {
      const routes = core.getRoutes();
      return routes === undefined || routes.accounts !== undefined;
    },
    registry: options.vmRegistry,
    clock,
    log,
    server: peerServer.server,
    seeds: settings.seeds,
    isFleetBootstrap: settings.isFleetBootstrap,
    makeReport: (): VmReport => ({
      state: updateState(),
      demandPerS: core.demandMeter.getRates(),
      digests: factStore.getDigests(),
    }),
    onFound: (identity) => activitySharing.sendHistory(identity),
    onActivity: (from, scope, activity) =>
      activitySharing.receive(from, scope, activity),
    onUsage: (from, update) => usageSharing.receive(from, update),
    onServerUsage: (from, update) => serverLimitSharing.receive(from, update),
    onServerRateLimits: ({ id }, rates) =>
      core.serverLimits.rateLimits.receive(id, rates),
    onUnreachableServers: core.reachability.receive,
  });
  const usageSharing = startUsageSharing({
    self,
    clock,
    limiter: core.limiter,
    limitShares: core.limitShares,
    hasLimits: () => core.getRoutes()?.accounts !== undefined,
    listPeers: () => memberTable.listAlive().map(({ identity }) => identity),
    getTopology: mesh.getTopology,
    send: (vmIds, { scope, vms, usage }) =>
      mesh.sendTo(vmIds, {
        kind: "usage",
        scope,
        vms,
        usage: encodeUsage(usage),
      }),
  });
  const serverLimitSharing = startServerLimitSharing({
    self,
    clock,
    limits: core.serverLimits,
    listPeers: () => memberTable.listAlive().map(({ identity }) => identity),
    getTopology: mesh.getTopology,
    sendUsage: (vmIds, { scope, vms, usage }) =>
      mesh.sendTo(vmIds, {
        kind: "server_usage",
        scope,
        vms,
        usage: encodeUsage(usage),
      }),
    sendRateLimits: mesh.broadcastServerRateLimits,
  });
  const reachabilitySharing = startReachabilitySharing({
    clock,
    reachability: core.reachability,
    send: mesh.broadcastUnreachableServers,
  });
  const activitySharing = startSharing({
    self,
    clock,
    log,
    cacheModel,
    running: runningRequests,
    listServing: memberTable.listServing,
    getTopology: () => mesh.getTopology(),
    getOwnRunning: () => core.registry.listOwnRequests(getMinReportedRunMs),
    getRegion: core.registry.getRegion,
    send: (vmIds, scope, activity) =>
      mesh.sendTo(vmIds, { kind: "activity", scope, ...activity }),
  });
  const readers = startReaders(options, factStore, {
    hasReadDuty: () => mesh.hasListed() && vms.isReader(mesh.getTopology()),
    needsFallbackRead: (ageMs) =>
      needsFallbackRead(ageMs, {
        hasVmList: mesh.hasListed(),
        isBehindHub: isBehindHub(mesh.getTopology(), self),
        uptimeMs: clock.monotonicMs() - startedAtMs,
      }),
    onUpdates: (updates) => mesh.broadcastFacts(updates),
    onRead: (topic, requestedAt) => {
      const isProof = topic === "operations" &&
        canProveConfiguration(factStore);
      if (isProof) freshness.recordRead(requestedAt);
      mesh.announceRead(topic);
    },
    getInstant: freshness.getInstant,
  });
  const frontServer = await startFrontServer({
    address: settings.frontAddress,
    codec,
    handler: core.requestHandler,
    callerCheck: core.callerCheck,
    bodyBudget: core.bodyBudget,
    clock,
    log,
    metrics,
    processEnd,
    isOverloaded: overloadMonitor.isOverloaded,
    readDelay,
    getRouteTable: core.getRoutes,
    getRouteTableAgeMs: () => factStore.getAgeMs("operations"),
  });
  const controlServers = await startControlServers({
    settings,
    paths: options.paths,
    metrics,
    isReady: () => updateState() === "serving",
    getDirectoryView: () => ({
      self,
      ownState: updateState(),
      servingPeers: memberTable.listServing(),
      ttlMs,
      hasLargeBodies: core.getRoutes()?.hasLargeBodies ?? false,
    }),
    dumpState: () =>
      dumpState({
        self,
        state,
        factStore,
        freshness,
        memberTable,
        core,
        openRequests: frontServer.countOpenRequests(),
        proxied: proxyServer.getStats(),
      }),
  });
  const startCheck = clock.every(START_CHECK_INTERVAL_MS, () => {
    if (updateState() === "starting") return;
    startCheck.cancel();
    mesh.sendReport();
  });
  const { revocationDeadlineMs } = settings.accounts;
  const freshnessMonitor = revocationDeadlineMs === undefined
    ? undefined
    : startFreshnessMonitor({
      clock,
      log,
      freshness,
      maxAgeMs: revocationDeadlineMs,
    });
  log.info({ ...self }, "started");

  return {
    stop() {
      state = "leaving";
      startCheck.cancel();
      freshnessMonitor?.cancel();
      overloadMonitor.stop();
      activitySharing.stop();
      usageSharing.stop();
      serverLimitSharing.stop();
      reachabilitySharing.stop();
      core.suspects.stop();
      core.waitQueue.stop();
      return leave({
        clock,
        log,
        front: frontServer,
        mesh,
        readers,
        exchange: core.exchange,
        proxyClient: core.proxyClient,
        proxyServer,
        processEnd,
        control: [...controlServers, peerServer],
        graceMs: settings.bounds.graceMs,
        ttlMs,
      }).finally(() => {
        core.reachMonitor.stop();
        readDelay.stop();
      });
    },
  };
}

function getConfigurationVersion(factStore: FactStore): number {
  const fact = factStore.get(CONFIGURATION_KEY)?.fact;
  return fact?.kind === "configuration" ? fact.configuration.version : 0;
}

/**
 * Whether a read of the source proves that the configuration is current. After
 * a restore the source may lack a configuration that no VM has read, so a read
 * proves nothing until the operator has written a configuration again. A VM that
 * has seen no other epoch can't know that there was none.
 */
function canProveConfiguration(factStore: FactStore): boolean {
  return factStore.isSettled("operations") ||
    factStore.isFromLatestEpoch(CONFIGURATION_KEY);
}

function startReaders(
  { source, epochMarks, clock, log, settings }: GatewayOptions,
  factStore: FactStore,
  callbacks: Pick<
    ReaderOptions,
    "hasReadDuty" | "needsFallbackRead" | "onUpdates" | "onRead" | "getInstant"
  >,
): Reader[] {
  const isStrict = settings.accounts.revocationDeadlineMs !== undefined;
  return SOURCE_TOPICS.map((topic) => {
    const timings = topic === "operations" && isStrict
      ? STRICT_READER_TIMINGS
      : DEFAULT_READER_TIMINGS;
    return startReader(topic, {
      source,
      store: factStore,
      clock,
      log,
      timings,
      ...(topic === "operations" ? { epochMarks } : {}),
      isFirstStart: settings.isFleetBootstrap,
      ...callbacks,
    });
  });
}

function makeIdentity(settings: GatewaySettings, clock: Clock): VmIdentity {
  return {
    id: settings.vmId,
    incarnation: `${clock.now().getTime()}-${process.pid}`,
    region: settings.region,
    failureDomain: settings.failureDomain,
    frontAddress: formatAddress(settings.frontAddress),
    peerAddress: formatAddress(settings.peerAddress),
    cores: settings.cores,
  };
}
