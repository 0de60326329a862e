/**
 * Keeps an entry's backend servers in line with the documents, the list of VMs
 * and probes. Each server is probed by one entry of the failure domain, which
 * shares what it found.
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

const SYNC_PERIOD_MS = 250;
const PROBE_PERIOD_MS = 1_000;

/** What the watch needs. */
export interface ServerWatchOptions {
  agent: ControlAgent;
  runner: LocalRunner;
  backends: BackendClient;
  clock: Clock;
}

/** A running watch. */
export interface ServerWatch {
  dump(): unknown;
  close(): void;
}

/**
 * @param options See there.
 * @returns The running watch.
 */
export function startServerWatch(options: ServerWatchOptions): ServerWatch {
  const { agent, runner, backends, clock } = options;
  const { failureDomain, vmId } = agent.self;
  const reported = new Set<string>();

  function listDocuments(): ServiceDocument[] {
    return [...agent.config().services.values()].map((inForce) =>
      inForce.document
    );
  }

  function getEntryShare(): EntryPosition {
    const own = agent.config().fleet?.document.entryVms
      .filter((vm) => vm.failureDomain === failureDomain)
      .map((vm) => vm.id) ?? [];
    const index = own.indexOf(vmId);
    // A VM that the fleet document does not list has no slots to use.
    if (index < 0) return { index: 0, count: Infinity };
    return { index, count: own.length };
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
    if (leaving === undefined) reported.delete(server.id);
    if (drainMs === undefined || reported.has(server.id)) return;
    reported.add(server.id);
    log.info("Backend server is empty", {
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
    const own = listDocuments().flatMap((document) =>
      document.backendServers.filter((server) =>
        server.failureDomain === failureDomain &&
        rankByRendezvous(`probe ${server.id}`, entries)[0]?.id === agent.self.id
      )
    );
    const reports = await Promise.all(
      own.map((server) => backends.probe(server)),
    );
    if (reports.length === 0) return;
    takeReports(reports);
    agent.reportHealth(reports);
  }

  function takeReports(reports: HealthReport[]): void {
    const nowMs = clock.monotonicMs();
    for (const { set } of runner.listServiceQueues()) {
      for (const report of reports) recordHealth(set, report, nowMs);
    }
  }

  agent.onHealth(takeReports);
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
