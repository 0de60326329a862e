/**
 * Utilization up to which servers accept requests, by priority. Pure.
 *
 * Every VM applies the same rule to its own view of a server, so that less
 * urgent requests leave slots free for more urgent ones of all VMs without any
 * messages.
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
const RESERVED_SLOTS = 1;
/**
 * Further slots left free for each additional priority that is more urgent. A
 * whole slot for each would leave the third priority a single slot of three.
 */
const ADDITIONAL_RESERVED_SLOTS = 0.5;

/**
 * @param latencyLimit Utilization up to which a server is expected to answer in
 *   time, in requests per slot.
 * @param slots Slots of the server.
 * @param moreUrgentCount Number of more urgent priorities that slots are left
 *   free for; 0 where there is no such demand.
 * @returns Utilization, in requests per slot, from which a server does not
 *   receive the request. An idle server always does.
 */
export function computeMaxUtilization(
  latencyLimit: number,
  slots: number,
  moreUrgentCount: number,
): number {
  if (moreUrgentCount === 0) return latencyLimit;
  const reservedSlots = RESERVED_SLOTS +
    ADDITIONAL_RESERVED_SLOTS * (moreUrgentCount - 1);
  const usableSlots = Math.max(1, slots - reservedSlots);
  return Math.min(latencyLimit, usableSlots / slots);
}
