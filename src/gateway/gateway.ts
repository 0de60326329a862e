/**
 * The gateway: one process on each VM that answers clients' directory calls
 * and carries their requests to backend servers.
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
  type FactSource,
  SOURCE_TOPICS,
} from "../news/types.ts";
import { createObjectCacheModel } from "../placement/object_cache_model.ts";
import { formatAddress } from "../runtime/address.ts";
import type { Clock } from "../runtime/clock.ts";
import { createRouter, listen } from "../runtime/http_server.ts";
import { watchOverload } from "../runtime/overload.ts";
import type { Stoppable } from "../runtime/process.ts";
import { startFrontServer } from "../serving/front_server.ts";
import type { WireCodec } from "../serving/types.ts";
import type { Log } from "../telemetry/log.ts";
import { type ControlPaths, serveControl } from "./control_routes.ts";
import { createCore } from "./core.ts";
import { createGatewayMetrics } from "./gauges.ts";
import { leave } from "./leave.ts";
import { startServerLimitSharing } from "./server_limits.ts";
import type { GatewaySettings } from "./settings.ts";
import { dumpState } from "./state_dump.ts";

/** What a gateway is built from. */
export interface GatewayParts {
  settings: GatewaySettings;
  clock: Clock;
  log: Log;
  source: FactSource;
  register: VmRegistry;
  codec: WireCodec;
  paths: ControlPaths;
}

/**
 * How long clients use a directory answer. Some use it three times as long,
 * which has to pass before a VM that leaves stops taking connections; that
 * leaves a second of the shortest time to stop (6 s) for running requests.
 */
const DIRECTORY_TTL_MS = 1_500;
/**
 * Requests that last less are over before others have heard of them: telling of
 * runs of 94 ms gained nothing and took a sixth more processor time.
 */
const MIN_TOLD_RUN_MS = 400;
/**
 * How often a VM that starts looks whether it can serve: clients are sent to it
 * only once it said so.
 */
const START_CHECK_MS = 50;

/**
 * Starts a gateway.
 *
 * @param parts What it is built from.
 * @returns The running gateway.
 */
export async function startGateway(parts: GatewayParts): Promise<Stoppable> {
  const { settings, clock, log, codec } = parts;
  const startedAtMs = clock.monotonicMs();
  const self = makeIdentity(settings, clock);
  const table = createMemberTable(self.id, clock);
  const board = createFactStore(clock);
  const knowledge = createFreshnessTracker({
    clock,
    getVersion: () => getConfigurationNumber(board),
  });
  const vms = createVmViews(self, table);
  const memory = createObjectCacheModel();
  const running = createRunningRequests(clock);
  const core = createCore({
    ...parts,
    self,
    table,
    vms,
    memory,
    running,
    board,
    knowledge,
    getFleetDemand: () => mesh.getDemand(),
    passOn: (items) => mesh.broadcastFacts(items),
  });
  const metrics = createGatewayMetrics(
    core,
    board,
    knowledge,
    vms.countServing,
  );
  const ttlMs = Math.min(DIRECTORY_TTL_MS, settings.bounds.maxTtlMs);
  let state: VmState = "starting";

  /** Serves once it knows routes and has heard of servers. */
  function updateState(): VmState {
    const version = core.getRoutes()?.configuration.version;
    const knowsServers = board.getAgeMs("servers") < Infinity;
    if (state === "starting" && version !== undefined && knowsServers) {
      state = "serving";
      log.info({ version }, "serving");
    }
    return state;
  }

  const overload = watchOverload(clock, (isOverloaded, use) => {
    log.warn({ isOverloaded, use }, "processor time");
  });

  const peers = await listen(
    createRouter(),
    formatAddress(settings.peerAddress),
  );
  const mesh = startMesh({
    self,
    table,
    factStore: board,
    knowledge,
    needsProofs: () => {
      const routes = core.getRoutes();
      return routes === undefined || routes.accounts !== undefined;
    },
    registry: parts.register,
    clock,
    log,
    server: peers.server,
    seeds: settings.seeds,
    isFleetBootstrap: settings.startsWithAll,
    makeReport: (): VmReport => ({
      state: updateState(),
      demandPerS: core.demand.getRates(),
      digests: board.getDigests(),
    }),
    onFound: (identity) => sharing.sendHistory(identity),
    onActivity: (from, scope, activity) =>
      sharing.receive(from, scope, activity),
    onUsage: (from, news) => usageSharing.receive(from, news),
    onServerUsage: (from, news) => limitSharing.receive(from, news),
    onServerRateLimits: ({ id }, rates) =>
      core.serverLimits.rateLimits.receive(id, rates),
  });
  const usageSharing = startUsageSharing({
    self,
    clock,
    limiter: core.limiter,
    limitShares: core.limitPool,
    hasLimits: () => core.getRoutes()?.accounts !== undefined,
    listPeers: () => table.listAlive().map(({ identity }) => identity),
    getTopology: mesh.getTopology,
    send: (vmIds, { scope, vms, usage }) =>
      mesh.sendTo(vmIds, {
        kind: "usage",
        scope,
        vms,
        usage: encodeUsage(usage),
      }),
  });
  const limitSharing = startServerLimitSharing({
    self,
    clock,
    limits: core.serverLimits,
    listOthers: () => table.listAlive().map(({ identity }) => identity),
    getTopology: mesh.getTopology,
    sendUsage: (vmIds, { scope, vms, usage }) =>
      mesh.sendTo(vmIds, {
        kind: "server_usage",
        scope,
        vms,
        usage: encodeUsage(usage),
      }),
    tellRates: mesh.broadcastServerRateLimits,
  });
  const sharing = startSharing({
    self,
    clock,
    log,
    cacheModel: memory,
    running,
    listServing: table.listServing,
    getTopology: () => mesh.getTopology(),
    getOwnRunning: () => core.registry.listOwnRequests(MIN_TOLD_RUN_MS),
    getRegion: core.registry.getRegion,
    send: (vmIds, scope, activity) =>
      mesh.sendTo(vmIds, { kind: "activity", scope, ...activity }),
  });
  const readers = startReaders(parts, board, {
    hasReadDuty: () => mesh.hasListed() && vms.isReader(mesh.getTopology()),
    needsFallbackRead: (ageMs) =>
      needsFallbackRead(ageMs, {
        hasVmList: mesh.hasListed(),
        isBehindHub: isBehindHub(mesh.getTopology(), self),
        uptimeMs: clock.monotonicMs() - startedAtMs,
      }),
    onUpdates: (items) => mesh.broadcastFacts(items),
    onRead: (topic, askedAt) => {
      const isProof = topic === "operations" && provesConfiguration(board);
      if (isProof) knowledge.recordRead(askedAt);
      mesh.announceRead(topic);
    },
    getInstant: knowledge.getInstant,
  });
  const front = await startFrontServer({
    address: settings.frontAddress,
    codec,
    handler: core.flow,
    callerCheck: core.callerCheck,
    clock,
    log,
    metrics,
    isOverloaded: overload.isOverloaded,
    getRouteTable: core.getRoutes,
    getRouteTableAgeMs: () => board.getAgeMs("operations"),
  });
  const control = await serveControl({
    settings,
    paths: parts.paths,
    metrics,
    isReady: () => updateState() === "serving",
    getDirectoryView: () => ({
      self,
      ownState: updateState(),
      servingPeers: table.listServing(),
      ttlMs,
    }),
    dumpState: () =>
      dumpState({
        self,
        state,
        board,
        knowledge,
        table,
        core,
        openRequests: front.countOpenRequests(),
      }),
  });
  const startCheck = clock.every(START_CHECK_MS, () => {
    if (updateState() === "starting") return;
    startCheck.cancel();
    mesh.sendReport();
  });
  const { revocationDeadlineMs: withdrawalMs } = settings.accounts;
  const knowledgeWatch = withdrawalMs === undefined
    ? undefined
    : startFreshnessMonitor({
      clock,
      log,
      freshness: knowledge,
      maxAgeMs: withdrawalMs,
    });
  log.info({ ...self }, "started");

  return {
    stop() {
      state = "leaving";
      startCheck.cancel();
      knowledgeWatch?.cancel();
      overload.stop();
      sharing.stop();
      usageSharing.stop();
      limitSharing.stop();
      core.suspects.stop();
      return leave({
        clock,
        log,
        front,
        mesh,
        readers,
        exchange: core.exchange,
        control: [...control, peers],
        graceMs: settings.bounds.graceMs,
        ttlMs,
      });
    },
  };
}

function getConfigurationNumber(board: FactStore): number {
  const fact = board.get(CONFIGURATION_KEY)?.fact;
  return fact?.kind === "configuration" ? fact.configuration.version : 0;
}

/**
 * After a restore the source may lack a configuration that no VM has read: until
 * the operator wrote again a reading proves nothing.
 */
function provesConfiguration(board: FactStore): boolean {
  return !board.hasUnsettledRestore("operations") ||
    board.isFromLatestEpoch(CONFIGURATION_KEY);
}

function startReaders(
  { source, clock, log, settings }: GatewayParts,
  board: FactStore,
  duty: Pick<
    ReaderOptions,
    "hasReadDuty" | "needsFallbackRead" | "onUpdates" | "onRead" | "getInstant"
  >,
): Reader[] {
  const isStrict = settings.accounts.revocationDeadlineMs !== undefined;
  return SOURCE_TOPICS.map((topic) => {
    const times = topic === "operations" && isStrict
      ? STRICT_READER_TIMINGS
      : DEFAULT_READER_TIMINGS;
    return startReader(topic, {
      source,
      store: board,
      clock,
      log,
      timings: times,
      ...duty,
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
