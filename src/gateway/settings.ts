/**
 * Settings of one gateway process.
 *
 * @module
 */
import type { AccountBounds } from "../accounts/types.ts";
import type { QuarantineSettings } from "../quarantine/types.ts";
import type { HostPort } from "../runtime/address.ts";
import type { LogLevel } from "../telemetry/log.ts";

/** Bounds that the deployment sets for all VMs together. */
export interface FleetBounds {
  /** Retries for each request, and on top in a window. */
  retryRatio: number;
  retryAllowance: number;
  /** Largest share that may change region from one 2 s window to the next. */
  maxShift: number;
  /** Time from the request to stop until the process is killed. */
  graceMs: number;
  /** Longest time for which clients keep a directory answer. */
  maxTtlMs: number;
}

/** All settings of a gateway process. */
export interface GatewaySettings {
  vmId: string;
  failureDomain: string;
  region: string;
  /** Processor time that the VM may use, in cores. */
  cores: number;
  /** Whether all VMs start now, for the first time. */
  startsWithAll: boolean;
  /** Region of each failure domain. */
  regions: ReadonlyMap<string, string>;
  frontAddress: HostPort;
  readinessAddress: HostPort;
  directoryAddress: HostPort;
  peerAddress: HostPort;
  /** Where counters, histograms and the state dump are read. */
  metricsAddress: HostPort;
  /** Peer addresses of some VMs; may be stale. */
  seeds: string[];
  /** `host:port` of the platform's table. */
  tableAddress: string;
  bounds: FleetBounds;
  accounts: AccountBounds;
  quarantine: QuarantineSettings;
  logLevel: LogLevel;
}
