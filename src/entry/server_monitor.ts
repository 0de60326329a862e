/**
 * Synchronises an entry's set of backend servers with the service documents, the
 * platform's list of VMs and probe results. Each server is probed by one entry of
 * its failure domain, which shares the result with the others.
 *
 * @module
 */
import type { BackendServer, ServiceDocument } from "../config/schema.ts";
import type { ControlAgent } from "../control/types.ts";
import type { HealthReport } from "../control/messages.ts";
import { isServerDrained } from "../draining/drain_status.ts";
import type { BackendClient } from "../forwarding/backend_client.ts";
import type { LocalRunner } from "../forwarding/local_runner.ts";
import {
  getConcurrencyLimit,
  getMedianLatencyMs,
} from "../forwarding/server_limits.ts";
import {
  type EntryPosition,
  type LeavingReason,
  recordHealth,
  type ServerState,
  syncServers,
} from "../forwarding/server_set.ts";
import type { Clock } from "../runtime/clock.ts";
import { rankByRendezvous } from "../runtime/hash.ts";
import { createLogger } from "../runtime/logger.ts";

const log = createLogger("draining");

/** Interval between two synchronisations with the documents, in ms. */
const SYNC_PERIOD_MS = 250;
/** Interval between two probes of a backend server, in ms. */
const PROBE_PERIOD_MS = 1_000;

/** Dependencies of the monitor. */
export interface ServerMonitorOptions {
  agent: ControlAgent;
  runner: LocalRunner;
  backends: BackendClient;
  clock: Clock;
}

/** A running monitor. */
export interface ServerMonitor {
  /** @returns State of the backend servers by service, for operators. */
  dump(): unknown;
  /** Stops synchronising and probing. */
  close(): void;
}

/**
 * Starts to synchronise and to probe the backend servers.
 *
 * @param options Dependencies.
 * @returns The running monitor.
 */
export function startServerMonitor(
  options: ServerMonitorOptions,
): ServerMonitor {
  const { agent, runner, backends, clock } = options;
  const { failureDomain, vmId } = agent.self;
  const reportedDrains = new Set<string>();

  function listDocuments(): ServiceDocument[] {
    return [...agent.config().services.values()].map((inForce) =>
      inForce.document
    );
  }

  function getEntryShare(): EntryPosition {
    const ownDomainVmIds = agent.config().fleet?.document.entryVms
      .filter((vm) => vm.failureDomain === failureDomain)
      .map((vm) => vm.id) ?? [];
    const index = ownDomainVmIds.indexOf(vmId);
    // An entry on a VM that the fleet document doesn't list gets no slots.
    if (index < 0) return { index: 0, count: Infinity };
    return { index, count: ownDomainVmIds.length };
  }

  function sync(): void {
    const entry = getEntryShare();
    const nowMs = clock.monotonicMs();
    for (const document of listDocuments()) {
      const { set } = runner.getServiceQueue(document);
      syncServers(set, document, {
        failureDomain,
        entry,
        getLeavingReason: (server) => findLeavingReason(document, server),
        nowMs,
      });
      for (const state of set.servers.values()) reportDrain(state);
    }
    runner.updateConcurrency();
  }

  function findLeavingReason(
    document: ServiceDocument,
    server: BackendServer,
  ): LeavingReason | undefined {
    const context = {
      wallMs: clock.now().getTime(),
      regionOf: agent.config().regionOf,
    };
    if (isServerDrained(document, server, context)) return "document";
    return agent.leavingVms().has(server.id) ? "vm_list" : undefined;
  }

  function reportDrain({ server, leaving, drainMs }: ServerState): void {
    if (leaving === undefined) reportedDrains.delete(server.id);
    if (drainMs === undefined || reportedDrains.has(server.id)) return;
    reportedDrains.add(server.id);
    log.info("Backend server is drained", {
      step: "drain",
      peer: server.id,
      leaving,
      drainMs,
    });
  }

  async function probe(): Promise<void> {
    const entries = agent.serving("entry")
      .filter((member) => member.failureDomain === failureDomain)
      .map((member) => ({ id: member.id, weight: 1 }));
    const assignedServers = listDocuments().flatMap((document) =>
      document.backendServers.filter((server) =>
        server.failureDomain === failureDomain &&
        rankByRendezvous(`probe ${server.id}`, entries)[0]?.id === agent.self.id
      )
    );
    const reports = await Promise.all(
      assignedServers.map((server) => backends.probe(server)),
    );
    if (reports.length === 0) return;
    applyReports(reports);
    agent.reportHealth(reports);
  }

  function applyReports(reports: HealthReport[]): void {
    const nowMs = clock.monotonicMs();
    for (const { set } of runner.listServiceQueues()) {
      for (const report of reports) recordHealth(set, report, nowMs);
    }
  }

  agent.onHealth(applyReports);
  agent.onRows(sync);
  const timers = [
    clock.every(SYNC_PERIOD_MS, sync),
    clock.every(PROBE_PERIOD_MS, () => void probe()),
  ];
  return {
    dump: () =>
      runner.listServiceQueues().map(({ set, queue }) =>
        dumpSet(set, queue.size)
      ),
    close() {
      for (const timer of timers) timer.cancel();
    },
  };

  function dumpSet(
    set: Parameters<typeof getConcurrencyLimit>[0],
    waiting: number,
  ): unknown {
    const nowMs = clock.monotonicMs();
    const states = [...set.servers.values()];
    const medianMs = getMedianLatencyMs(states, set.document.expectedServiceMs);
    return {
      service: set.document.service,
      waiting,
      servers: states.map((state) => ({
        id: state.server.id,
        inFlight: state.inFlight,
        limit: getConcurrencyLimit(set, state, { medianMs, nowMs }),
        latencyMs: state.latency.value(),
        health: state.health,
        leaving: state.leaving,
        drainMs: state.drainMs,
        ejectedMs: Math.max(0, state.ejectedUntilMs - nowMs),
      })),
    };
  }
}
