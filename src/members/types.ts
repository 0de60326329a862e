/**
 * The VMs of the system and what they tell each other of themselves.
 *
 * @module
 */

import type { Topic, TopicDigest } from "../news/types.ts";

/** How a VM is reached and where it stands; fixed for one start. */
export interface VmIdentity {
  /** Its name, the same after a restart. */
  id: string;
  /** Tells one start of the process from the next. */
  incarnation: string;
  region: string;
  failureDomain: string;
  /** Where clients connect. */
  frontAddress: string;
  /** Where other VMs connect. */
  peerAddress: string;
  /** Processor time that it may use, in cores. */
  cores: number;
}

/** Whether a VM serves clients. */
export type VmState = "starting" | "serving" | "leaving";

/** What a VM tells of itself again and again. */
export interface VmReport {
  state: VmState;
  /** Requests a second that its clients make, by service. */
  demandPerS: Record<string, number>;
  /** What it knows of each topic. */
  digests: Record<Topic, TopicDigest>;
}

/** Requests a second by region of the clients and service. */
export type DemandByRegion = Record<string, Record<string, number>>;

/**
 * Which VMs a hub tells of.
 *
 * - `linked`: those that it is linked to, itself included; for other hubs.
 * - `fleet`: all that hubs are linked to; for the VMs of its region.
 */
export type ViewScope = "linked" | "fleet";

/** What a hub tells of VMs since its last view. */
export interface FleetView {
  scope: ViewScope;
  /** The view that this one follows; 0 where it tells all. */
  base: number;
  revision: number;
  up: { identity: VmIdentity; state: VmState }[];
  /** VMs that are down. */
  gone: string[];
  demandPerS: DemandByRegion;
}

/** Where VMs register so that others find them. Calls throw StepError. */
export abstract class VmRegistry {
  /**
   * @param identity The VM to register; replaces its earlier entry.
   * @returns The epoch of the register that holds it; undefined where the
   *   register names none.
   */
  abstract register(identity: VmIdentity): Promise<number | undefined>;
  /** @returns All VMs that ever registered, those that are gone included. */
  abstract list(): Promise<VmIdentity[]>;
}
