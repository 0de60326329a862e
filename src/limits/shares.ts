/**
 * The share of every limit that this VM and the VMs it hears from hold
 * together.
 *
 * A silent VM may be down, or partitioned and still serving. Since these can't
 * be told apart, its share is not given to other VMs.
 *
 * @module
 */
import type { Clock } from "../runtime/clock.ts";

/** Tracks which VMs are reachable, and the share of the limits they hold. */
export interface LimitShares {
  /**
   * Records a message from a VM, or from a relay on behalf of several.
   *
   * @param source The sender.
   * @param vms Number of VMs that the sender speaks for.
   */
  recordHeartbeat(source: string, vms: number): void;
  /** @returns Number of VMs that are heard from, this one included. */
  countReachable(): number;
  /** @returns The share of all reachable VMs together, 0 to 1. */
  getShare(): number;
  /** @returns The share that this VM holds alone, 0 to 1. */
  getOwnShare(): number;
  /** @returns Time in ms since the share last grew significantly. */
  getStableMs(): number;
}

/**
 * Time without a message after which a sender counts as unreachable. Senders
 * send at least twice in this time, the delay between regions included.
 */
export const HEARTBEAT_TIMEOUT_MS = 1_000;

/** Factor by which the share has to grow for that to be significant. */
const GROWTH_FACTOR = 1.1;

/**
 * @param clock The clock.
 * @param countKnown Number of VMs that may serve, this one included.
 * @returns Shares with no other VM reachable.
 */
export function createLimitShares(
  clock: Clock,
  countKnown: () => number,
): LimitShares {
  let stableShare = 0;
  let stableAtMs = clock.monotonicMs();
  const sources = new Map<string, { vms: number; atMs: number }>();

  function countReachable(): number {
    const limitMs = clock.monotonicMs() - HEARTBEAT_TIMEOUT_MS;
    let vms = 1;
    for (const [source, heartbeat] of sources) {
      if (heartbeat.atMs < limitMs) sources.delete(source);
      else vms += heartbeat.vms;
    }
    return vms;
  }

  function getShare(): number {
    const reachable = countReachable();
    return reachable / Math.max(reachable, countKnown());
  }

  function updateStability(): void {
    const share = getShare();
    if (share > GROWTH_FACTOR * stableShare) stableAtMs = clock.monotonicMs();
    else if (share >= stableShare) return;
    stableShare = share;
  }

  return {
    recordHeartbeat(source, vms) {
      sources.set(source, { vms, atMs: clock.monotonicMs() });
      updateStability();
    },
    countReachable,
    getShare,
    getStableMs() {
      updateStability();
      return clock.monotonicMs() - stableAtMs;
    },
    getOwnShare: () => 1 / Math.max(countReachable(), countKnown()),
  };
}
