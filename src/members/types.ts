/**
 * VM identities, reports, views and the registry.
 *
 * @module
 */

import type { Topic, TopicDigest } from "../news/types.ts";

/** A VM's addresses and location, fixed for one run of its process. */
export interface VmIdentity {
  /** The VM's name, which stays the same across restarts. */
  id: string;
  /** Identifies one run of the process; later runs compare greater. */
  incarnation: string;
  region: string;
  failureDomain: string;
  /** The address that clients connect to. */
  frontAddress: string;
  /** The address that other VMs connect to. */
  peerAddress: string;
  /** Processor time available to the VM, in cores. */
  cores: number;
}

/** The lifecycle state of a VM; only `serving` VMs take client requests. */
export type VmState = "starting" | "serving" | "leaving";

/** A VM's periodic report about itself. */
export interface VmReport {
  state: VmState;
  /** Demand of its clients by service, in requests a second. */
  demandPerS: Record<string, number>;
  /** Digests of the facts that it holds, by topic. */
  digests: Record<Topic, TopicDigest>;
}

/** Demand by the clients' region and by service, in requests a second. */
export type DemandByRegion = Record<string, Record<string, number>>;

/**
 * The VMs that a hub's view covers.
 *
 * - `linked`: the hub and the VMs linked to it; sent to other hubs.
 * - `fleet`: all VMs linked to any hub; sent to the VMs of the hub's region.
 */
export type ViewScope = "linked" | "fleet";

/** A hub's view of the running VMs: a snapshot, or changes to an earlier view. */
export interface FleetView {
  scope: ViewScope;
  /** The revision that the changes apply to; 0 for a snapshot. */
  base: number;
  revision: number;
  /** VMs that are up and new, or changed since the base revision. */
  up: { identity: VmIdentity; state: VmState }[];
  /** Ids of VMs that are no longer up. */
  gone: string[];
  /** Client demand, always complete, in requests a second. */
  demandPerS: DemandByRegion;
}

/** Registry through which VMs discover each other. Calls throw StepError. */
export abstract class VmRegistry {
  /**
   * Registers a VM, replacing its earlier entry.
   *
   * @param identity The VM.
   * @returns The epoch of the registry that holds the entry; undefined if the
   *   registry has no epochs.
   */
  abstract register(identity: VmIdentity): Promise<number | undefined>;
  /** @returns All VMs ever registered, including those that are down. */
  abstract list(): Promise<VmIdentity[]>;
}
