/**
 * How long a VM waits for others to pass facts on before it reads them for
 * itself.
 *
 * Load pattern: 195 VMs start within 0.3 s, or lose their reader at once. Where
 * each of them then reads for itself, that is a thousand calls to the platform.
 *
 * @module
 */

/** What patience depends on. */
export interface FallbackReadContext {
  /** Whether this VM knows which VMs there are, or gave up asking. */
  hasVmList: boolean;
  /** Whether facts come by way of a hub, and not straight from a reader. */
  isBehindHub: boolean;
  /** Time since this VM started. */
  uptimeMs: number;
}

/**
 * Age from which facts are read by all VMs. With 1,000 ms between two readings
 * it leaves half of the shortest time in which a change has to be in force (2 s)
 * for a VM whose reader was lost at the worst moment.
 */
const STALE_MS = 1_500;
/**
 * The same for VMs behind hubs: their second hub reads by then, and passes on.
 * Fleets of that size have 3 s and more.
 */
const BEHIND_HUBS_STALE_MS = 2_200;
/** Time that a hub has to tell a VM that just started, behind hubs. */
const START_MS = 3_000;
/** After that time a VM reads, whether or not it knows others. */
const PLACED_MS = 1_500;

/**
 * @param ageMs Age of facts; infinite before the first.
 * @param view What patience depends on.
 * @returns Whether to read them here.
 */
export function needsFallbackRead(
  ageMs: number,
  view: FallbackReadContext,
): boolean {
  const { hasVmList: isPlaced, isBehindHub, uptimeMs: upMs } = view;
  if (!isPlaced && upMs < PLACED_MS) return false;
  if (!isBehindHub) return ageMs >= STALE_MS;
  if (ageMs === Infinity) return upMs >= START_MS;
  return ageMs >= BEHIND_HUBS_STALE_MS;
}
