/**
 * Discovery of VMs: registers this VM and lists the others in the registry.
 *
 * @module
 */
import type { Clock } from "../runtime/clock.ts";
import { describeError } from "../runtime/errors.ts";
import { hashToUnit } from "../runtime/hash.ts";
import type { Log } from "../telemetry/log.ts";
import type { VmIdentity, VmRegistry } from "./types.ts";

/** Dependencies of discovery. */
export interface DiscoveryOptions {
  self: VmIdentity;
  registry: VmRegistry;
  clock: Clock;
  log: Log;
  /** Delay between registering and the first list. */
  listAfterMs: number;
  /** @returns The number of VMs that this one knows. */
  countKnown: () => number;
  /** @returns The latest known epoch of the registry. */
  getEpoch: () => number;
  /** @returns Whether the registry may list VMs unknown to this one. */
  shouldList: () => boolean;
  /** @returns Whether this VM has no link. */
  isAlone: () => boolean;
  /**
   * Called after each list.
   *
   * @param members The listed VMs; empty if the registry was not asked or failed.
   */
  onListed: (members: readonly VmIdentity[]) => void;
}

/** Running discovery. */
export interface Discovery {
  /** @returns Whether the first list has completed, even if it failed. */
  hasListed(): boolean;
  /** Stops registering and listing. */
  stop(): void;
}

/** Interval between lists while this VM starts or has no link. */
const STARTUP_LIST_INTERVAL_MS = 2_000;
/** After this time VMs learn of new ones from each other. */
const STARTUP_MS = 5_000;
const LIST_INTERVAL_MS = 30_000;
const REGISTER_RETRY_DELAY_MS = 1_000;
/** Interval between checks for a restore of the registry. */
const EPOCH_CHECK_INTERVAL_MS = 1_000;
/**
 * After a restore all VMs register again. The delay is spread in proportion to
 * their number, which limits the writes to about 100 a second.
 */
const REREGISTER_SPREAD_MS_PER_VM = 10;
const MIN_REREGISTER_SPREAD_MS = 1_000;

/**
 * Registers this VM and starts listing others.
 *
 * @param options Its dependencies.
 * @returns The running discovery.
 */
export function startDiscovery(options: DiscoveryOptions): Discovery {
  const { self, registry, clock, log } = options;
  const startedAtMs = clock.monotonicMs();
  let hasListed = false;
  let stopped = false;
  /** Epoch in which this VM registered last; undefined before the first time. */
  let registeredEpoch: number | undefined;

  async function registerSelf(): Promise<void> {
    if (stopped) return;
    try {
      const epoch = await registry.register(self);
      registeredEpoch = epoch ?? options.getEpoch();
    } catch (cause) {
      log.warn({ error: describeError(cause) }, "registration failed");
      clock.after(REGISTER_RETRY_DELAY_MS, () => void registerSelf());
    }
  }

  /** A restored registry may have lost the entry of this VM. */
  function reregisterAfterRestore(): void {
    const epoch = options.getEpoch();
    if (registeredEpoch === undefined || registeredEpoch >= epoch) return;
    registeredEpoch = epoch;
    const spreadMs = Math.max(
      MIN_REREGISTER_SPREAD_MS,
      options.countKnown() * REREGISTER_SPREAD_MS_PER_VM,
    );
    const delayMs = hashToUnit(`${self.id} ${epoch}`) * spreadMs;
    log.info({ epoch, delayMs: Math.round(delayMs) }, "registering again");
    clock.after(delayMs, () => void registerSelf());
  }

  async function list(): Promise<readonly VmIdentity[]> {
    if (!options.shouldList()) return [];
    try {
      return await registry.list();
    } catch (cause) {
      log.warn({ error: describeError(cause) }, "could not list VMs");
      return [];
    }
  }

  async function findMembers(): Promise<void> {
    if (stopped) return;
    const members = await list();
    hasListed = true;
    options.onListed(members);
    const hasSettled = clock.monotonicMs() - startedAtMs >= STARTUP_MS;
    clock.after(
      hasSettled && !options.isAlone()
        ? LIST_INTERVAL_MS
        : STARTUP_LIST_INTERVAL_MS,
      () => void findMembers(),
    );
  }

  void registerSelf().then(() => clock.after(options.listAfterMs, findMembers));
  const epochCheck = clock.every(
    EPOCH_CHECK_INTERVAL_MS,
    reregisterAfterRestore,
  );
  return {
    hasListed: () => hasListed,
    stop() {
      stopped = true;
      epochCheck.cancel();
    },
  };
}
