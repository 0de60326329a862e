/**
 * Selects the VMs that a client should connect to.
 *
 * @module
 */
import type { VmIdentity, VmState } from "../members/types.ts";
import { limitSubset, selectClientSubset } from "./client_subset.ts";

/** Answer to a client that looks up where to connect. */
export interface DirectoryAnswer {
  /** Addresses of equivalent VMs. */
  addresses: string[];
  /** How long the client may use the answer, in ms. */
  ttlMs: number;
}

/** What this VM knows of the fleet when it answers. */
export interface DirectoryView {
  /** This VM. */
  self: VmIdentity;
  ownState: VmState;
  /** Other VMs that serve clients. */
  servingPeers: readonly VmIdentity[];
  /** How long a client may use the answer, in ms. */
  ttlMs: number;
  /**
   * Whether requests or answers are large, so that clients should connect inside
   * their failure domain.
   */
  hasLargeBodies: boolean;
}

/** A client that looks up where to connect. */
export interface DirectoryClient {
  region: string;
  /** The client's failure domain; undefined if it named none. */
  failureDomain: string | undefined;
  /** Identifies the client; the same in each of its look-ups. */
  key: string;
}

/** Maximum number of addresses that a client accepts. */
const MAX_ADDRESSES = 64;

/**
 * Lists the serving VMs of the client's region, or of all regions if it has none.
 * The VMs of all failure domains of the region are listed, so that a client can
 * switch to another one when a failure domain is lost. Where VMs differ in size
 * or bodies are large, each client is directed to a subset of them.
 *
 * @param view What this VM knows of the fleet.
 * @param client The client.
 * @returns The answer; undefined if no VM is serving.
 */
export function answerDirectory(
  view: DirectoryView,
  client: DirectoryClient,
): DirectoryAnswer | undefined {
  const serving = [...view.servingPeers];
  if (view.ownState === "serving") serving.push(view.self);
  const inRegion = serving.filter((identity) =>
    identity.region === client.region
  );
  const candidates = inRegion.length > 0 ? inRegion : serving;
  if (candidates.length === 0) return undefined;
  const preferredDomain = view.hasLargeBodies
    ? client.failureDomain
    : undefined;
  const subset = selectClientSubset(candidates, {
    key: client.key,
    preferredDomain,
  });
  const addresses = limitSubset(subset, client.key, MAX_ADDRESSES)
    .map((identity) => identity.frontAddress);
  addresses.sort();
  return { addresses, ttlMs: view.ttlMs };
}
