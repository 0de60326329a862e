/**
 * Decides when a VM stops waiting for other VMs to pass facts on, and reads them
 * from the source itself.
 *
 * When 195 VMs start within 0.3 s, or lose their reader at the same time, reading
 * at once on each of them would make a thousand calls to the platform.
 *
 * @module
 */

/** State of the VM on which the decision depends. */
export interface FallbackReadContext {
  /** Whether this VM has the list of VMs, or gave up asking for it. */
  hasVmList: boolean;
  /** Whether facts arrive through a hub, and not directly from a reader. */
  isBehindHub: boolean;
  /** Time since this VM started, in ms. */
  uptimeMs: number;
}

/**
 * Age of facts from which a VM reads them itself. With 1,000 ms between two
 * reads, it leaves half of the shortest limit for a change to be in force (2 s)
 * to a VM that lost its reader at the worst time.
 */
const MAX_AGE_MS = 1_500;
/**
 * The same for VMs behind hubs: by then their second hub has read the facts and
 * passes them on. Fleets of that size have a limit of 3 s or more.
 */
const MAX_AGE_BEHIND_HUB_MS = 2_200;
/** Time that a hub has to send the first facts to a VM that just started. */
const STARTUP_WAIT_BEHIND_HUB_MS = 3_000;
/** Time after which a VM reads facts even without the list of VMs. */
const VM_LIST_WAIT_MS = 1_500;

/**
 * @param ageMs Age of the facts, in ms; infinite before the first.
 * @param context State of the VM.
 * @returns Whether this VM has to read the facts itself.
 */
export function needsFallbackRead(
  ageMs: number,
  context: FallbackReadContext,
): boolean {
  const { hasVmList, isBehindHub, uptimeMs } = context;
  if (!hasVmList && uptimeMs < VM_LIST_WAIT_MS) return false;
  if (!isBehindHub) return ageMs >= MAX_AGE_MS;
  if (ageMs === Infinity) return uptimeMs >= STARTUP_WAIT_BEHIND_HUB_MS;
  return ageMs >= MAX_AGE_BEHIND_HUB_MS;
}
