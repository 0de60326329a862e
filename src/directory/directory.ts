/**
 * Which VMs a client should connect to.
 *
 * @module
 */
import { isServing, type VmIdentity, type VmState } from "../members/types.ts";

/** An answer to a client that asks where to connect. */
export interface DirectoryAnswer {
  /** Addresses of VMs, any of which will do. */
  addresses: string[];
  /** How long the answer may be used, in ms. */
  ttlMs: number;
}

/** A VM and how it is. */
export interface VmView {
  identity: VmIdentity;
  state: VmState | undefined;
}

/** What an answer is made from. */
export interface DirectoryView {
  /** All VMs that run, this one included. */
  vms: readonly VmView[];
  /** Whether requests to the host may have to stay in some regions. */
  isBoundToRegions: boolean;
  ttlMs: number;
}

/** Most addresses that a client takes. */
const MAX_ADDRESSES = 64;

/**
 * Part of a region's VMs that has to be left for clients. Where more fall
 * behind at once, the few that don't would be next.
 */
const MIN_ABLE_PART = 0.5;

/**
 * Names the serving VMs of the client's region: those of all its failure
 * domains, so that a client has others to turn to when one is lost. Those that
 * fall behind are left out: with the processor of two VMs of eleven slowed to a
 * fifth, a third of all requests in those seconds came late. Where most of the
 * region's VMs do, those of other regions help out: with two VMs of a region of
 * three restarting, requests waited two seconds for the third to read them.
 *
 * @param view The VMs.
 * @param region The client's region.
 * @returns The answer, or undefined where no VM serves.
 */
export function answerDirectory(
  view: DirectoryView,
  region: string,
): DirectoryAnswer | undefined {
  const serving = view.vms.filter(({ state }) => isServing(state));
  const near = serving.filter(({ identity }) => identity.region === region);
  const chosen = near.length > 0 ? pickNear(near, serving, view) : serving;
  if (chosen.length === 0) return undefined;
  const addresses = chosen.map(({ identity }) => identity.frontAddress);
  addresses.sort();
  return { addresses: addresses.slice(0, MAX_ADDRESSES), ttlMs: view.ttlMs };
}

function pickNear(
  near: readonly VmView[],
  serving: readonly VmView[],
  { isBoundToRegions }: DirectoryView,
): readonly VmView[] {
  const able = near.filter(isAble);
  if (able.length >= MIN_ABLE_PART * near.length) return able;
  if (isBoundToRegions) return near;
  const others = serving.filter((vm) => isAble(vm) && !near.includes(vm));
  return [...near, ...others];
}

function isAble({ state }: VmView): boolean {
  return state === "serving";
}
