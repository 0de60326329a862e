/**
 * Settings of one gateway process.
 *
 * @module
 */
import type { AccountBounds } from "../accounts/types.ts";
import type { QuarantineSettings } from "../quarantine/types.ts";
import type { HostPort } from "../runtime/address.ts";
import type { LogLevel } from "../telemetry/log.ts";

/** Limits that the deployment sets for the fleet. */
export interface FleetBounds {
  /** Retries per request. */
  retryRatio: number;
  /** Additional retries per window and service, of all VMs together. */
  retryAllowance: number;
  /**
   * Largest share of the traffic, 0 to 1, that may change region from one
   * window of 2 s to the next.
   */
  maxShift: number;
  /** Time from the request to stop until the process is killed, in ms. */
  graceMs: number;
  /** Longest time for which clients may use a directory answer, in ms. */
  maxTtlMs: number;
}

/** All settings of a gateway process. */
export interface GatewaySettings {
  /** Id of the VM in the fleet. */
  vmId: string;
  failureDomain: string;
  region: string;
  /** Processor capacity of the VM, in cores. */
  cores: number;
  /** Memory of the VM, in MB; absent if the platform doesn't state it. */
  memoryMb?: number;
  /** Whether all VMs of the fleet start together for the first time. */
  isFleetBootstrap: boolean;
  /** Regions by failure domain. */
  regions: ReadonlyMap<string, string>;
  /** Where clients send requests. */
  frontAddress: HostPort;
  /** Where the platform checks readiness. */
  readinessAddress: HostPort;
  /** Where clients send directory requests. */
  directoryAddress: HostPort;
  /** Where other VMs connect. */
  peerAddress: HostPort;
  /** Where metrics and the state dump are served. */
  metricsAddress: HostPort;
  /** Peer addresses of some VMs; may be outdated. */
  seeds: string[];
  /** Address of the platform's table, `host:port`. */
  tableAddress: string;
  bounds: FleetBounds;
  accounts: AccountBounds;
  quarantine: QuarantineSettings;
  logLevel: LogLevel;
}
