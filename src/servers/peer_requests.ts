/**
 * Requests that other VMs have at backend servers, as they told a moment ago.
 *
 * Load pattern: a server with four slots fills up and empties within a tenth
 * of a second, while a VM gets an answer of it only every half second. VMs that
 * went by those answers sent to servers that had more than a request a slot
 * while another server that knew the object had slots free.
 *
 * @module
 */
import type { Clock } from "../runtime/clock.ts";

/** Numbers of running requests, by backend server; none where absent. */
export type RequestsByServer = Record<string, number>;

/** What other VMs told of their requests. */
export interface PeerRequests {
  /**
   * Takes in all requests that a VM has; what it told before is over.
   *
   * @param vmId The VM.
   * @param requests Its requests.
   */
  apply(vmId: string, requests: RequestsByServer): void;
  /**
   * @param serverId A server.
   * @returns Requests there from VMs that told of theirs.
   */
  getTotal(serverId: string): number;
}

/** What a VM told holds no longer than this; it tells far more often. */
const VALID_MS = 1_500;

interface Told {
  requests: RequestsByServer;
  untilMs: number;
}

/**
 * @param clock The clock.
 * @returns A table in which no VM told anything.
 */
export function createPeerRequests(clock: Clock): PeerRequests {
  const toldByVm = new Map<string, Told>();
  return {
    apply(vmId, requests) {
      const untilMs = clock.monotonicMs() + VALID_MS;
      toldByVm.set(vmId, { requests, untilMs });
    },
    getTotal(serverId) {
      const nowMs = clock.monotonicMs();
      let total = 0;
      for (const [vmId, { requests, untilMs }] of toldByVm) {
        if (nowMs > untilMs) toldByVm.delete(vmId);
        else total += requests[serverId] ?? 0;
      }
      return total;
    },
  };
}
