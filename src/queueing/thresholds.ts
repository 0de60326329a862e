/**
 * Utilization up to which servers accept requests, by priority. Pure.
 *
 * Every VM applies the same rule to its own view of a server, so that less
 * urgent requests leave slots free, without any messages, for more urgent ones
 * of all VMs that can't wait for the end of a run.
 *
 * @module
 */

/**
 * Mean run time of a service from which VMs report their requests at its servers
 * to each other, where priorities compete for it. Thresholds depend on the slots
 * that other VMs use. The second service of the shortage deployment has a mean
 * run of about 230 ms; shorter runs end before the report arrives.
 */
export const MIN_COMPETING_REPORTED_RUN_MS = 150;
/**
 * Slots left free for the next more urgent priority. An urgent read with 217 ms
 * of work and a target of 241 ms is late if it has to queue, so it needs a free
 * slot.
 */
const NEXT_PRIORITY_SLOTS = 1;
/**
 * Further slots left free for each additional priority that is more urgent. A
 * whole slot for each would leave the third priority a single slot of three.
 */
const FURTHER_PRIORITY_SLOTS = 0.5;
/**
 * Slots of each server that an account over its fair share leaves to others,
 * besides those left free for more urgent requests. With two priorities and
 * three slots, half a slot has little effect: two requests either way.
 */
const EXCEEDED_SHARE_SLOTS = 1;

/** A less urgent request and the more urgent demand that it competes with. */
export interface CompetingDemand {
  /** More urgent priorities that compete for the service. */
  moreUrgent: readonly number[];
  /**
   * Least spare time among them, in the mean of a priority's recent requests;
   * priorities that would be late in a free slot are left out.
   */
  spareMs: number;
  /** Expected run time of the less urgent request. */
  runMs: number;
}

/**
 * More urgent requests need a free slot only if they can't wait for the end of
 * a less urgent run.
 *
 * @param demand The demand that competes.
 * @returns Slots of each server that are left free for it.
 */
export function computeSlotsLeftFree(
  { moreUrgent, spareMs, runMs }: CompetingDemand,
): number {
  if (spareMs >= runMs) return 0;
  return NEXT_PRIORITY_SLOTS +
    FURTHER_PRIORITY_SLOTS * (moreUrgent.length - 1);
}

/**
 * Where no slot is left free, the queue may be as long as more urgent requests
 * can wait: slots would stay empty while less urgent requests are refused.
 *
 * @param latencyLimit Utilization up to which a server is expected to answer in
 *   time, in requests per slot.
 * @param slots Slots of the server.
 * @param demand The demand that competes; undefined where there is none that is
 *   more urgent.
 * @returns Utilization, in requests per slot, from which a server does not
 *   receive the request. An idle server always does.
 */
export function computeMaxUtilization(
  latencyLimit: number,
  slots: number,
  demand: CompetingDemand | undefined,
): number {
  if (demand === undefined) return latencyLimit;
  const slotsLeftFree = computeSlotsLeftFree(demand);
  if (slotsLeftFree === 0) {
    const { spareMs, runMs } = demand;
    return Math.min(latencyLimit, 1 + spareMs / Math.max(1, runMs));
  }
  const usableSlots = Math.max(1, slots - slotsLeftFree);
  return Math.min(latencyLimit, usableSlots / slots);
}

/**
 * Relative to the limit of other accounts, so that servers stay busy where
 * requests of all accounts may queue at them.
 *
 * @param maxUtilization Utilization from which a server does not receive a
 *   request of an account within its fair share.
 * @param slots Slots of the server.
 * @returns That for an account that exceeds its share. An idle server always
 *   receives the request.
 */
export function lowerMaxUtilization(
  maxUtilization: number,
  slots: number,
): number {
  const usableSlots = maxUtilization * slots - EXCEEDED_SHARE_SLOTS;
  return Math.min(maxUtilization, Math.max(1, usableSlots) / slots);
}
