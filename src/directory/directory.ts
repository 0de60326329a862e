/**
 * Which VMs a client should connect to.
 *
 * @module
 */
import type { VmIdentity, VmState } from "../members/types.ts";

/** An answer to a client that asks where to connect. */
export interface DirectoryAnswer {
  /** Addresses of VMs, any of which will do. */
  addresses: string[];
  /** How long the answer may be used, in ms. */
  ttlMs: number;
}

/** What an answer is made from. */
export interface DirectoryView {
  self: VmIdentity;
  ownState: VmState;
  /** Other VMs that serve clients. */
  servingPeers: readonly VmIdentity[];
  ttlMs: number;
}

/** Most addresses that a client takes. */
const MAX_ADDRESSES = 64;

/**
 * Names the serving VMs of the client's region: those of all its failure
 * domains, so that a client has others to turn to when one is lost.
 *
 * @param view The VMs.
 * @param region The client's region.
 * @returns The answer, or undefined where no VM serves.
 */
export function answerDirectory(
  view: DirectoryView,
  region: string,
): DirectoryAnswer | undefined {
  const serving = [...view.servingPeers];
  if (view.ownState === "serving") serving.push(view.self);
  const near = serving.filter((identity) => identity.region === region);
  const chosen = near.length > 0 ? near : serving;
  if (chosen.length === 0) return undefined;
  const addresses = chosen.map((identity) => identity.frontAddress);
  addresses.sort();
  return { addresses: addresses.slice(0, MAX_ADDRESSES), ttlMs: view.ttlMs };
}
