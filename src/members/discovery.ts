/**
 * How a VM is found: it registers, and lists who else did.
 *
 * @module
 */
import type { Clock } from "../runtime/clock.ts";
import { describeError } from "../runtime/errors.ts";
import { hashToUnit } from "../runtime/hash.ts";
import type { Log } from "../telemetry/log.ts";
import type { VmIdentity, VmRegistry } from "./types.ts";

/** What discovery needs. */
export interface DiscoveryOptions {
  self: VmIdentity;
  registry: VmRegistry;
  clock: Clock;
  log: Log;
  /** Pause before the first list. */
  listAfterMs: number;
  /** @returns How many VMs this one knows. */
  countKnown: () => number;
  /** @returns The latest epoch of the register that any VM heard of. */
  getEpoch: () => number;
  /** Whether the register may know VMs that this one doesn't. */
  shouldList: () => boolean;
  /** Whether no VM is linked. */
  isAlone: () => boolean;
  /** Told of what the register lists; of nothing where it doesn't answer. */
  onListed: (members: readonly VmIdentity[]) => void;
}

/** A running discovery. */
export interface Discovery {
  /** @returns Whether the register was asked. */
  hasListed(): boolean;
  stop(): void;
}

/** How often the register is asked while this VM starts, or is alone. */
const STARTUP_LIST_INTERVAL_MS = 2_000;
/** After that time VMs learn of new ones from each other. */
const STARTUP_MS = 5_000;
const LIST_INTERVAL_MS = 30_000;
const REGISTER_RETRY_DELAY_MS = 1_000;
/** How often a VM looks whether the register was restored. */
const EPOCH_CHECK_INTERVAL_MS = 1_000;
/**
 * All VMs register again after a restore. That is spread, by their number, to a
 * hundred writes a second.
 */
const REREGISTER_SPREAD_MS_PER_VM = 10;
const MIN_REREGISTER_SPREAD_MS = 1_000;

/**
 * @param parts What discovery needs.
 * @returns The running discovery.
 */
export function startDiscovery(parts: DiscoveryOptions): Discovery {
  const { self, registry: register, clock, log } = parts;
  const startedAtMs = clock.monotonicMs();
  let hasListed = false;
  let stopped = false;
  /** Epoch of the register that holds this VM; undefined before it does. */
  let registeredEpoch: number | undefined;

  async function registerSelf(): Promise<void> {
    if (stopped) return;
    try {
      const epoch = await register.register(self);
      registeredEpoch = epoch ?? parts.getEpoch();
    } catch (cause) {
      log.warn({ error: describeError(cause) }, "registering failed");
      clock.after(REGISTER_RETRY_DELAY_MS, () => void registerSelf());
    }
  }

  /** A register that was restored may have lost this VM. */
  function reregisterAfterRestore(): void {
    const epoch = parts.getEpoch();
    if (registeredEpoch === undefined || registeredEpoch >= epoch) return;
    registeredEpoch = epoch;
    const spreadMs = Math.max(
      MIN_REREGISTER_SPREAD_MS,
      parts.countKnown() * REREGISTER_SPREAD_MS_PER_VM,
    );
    const delayMs = hashToUnit(`${self.id} ${epoch}`) * spreadMs;
    log.info({ epoch, delayMs: Math.round(delayMs) }, "registering again");
    clock.after(delayMs, () => void registerSelf());
  }

  async function list(): Promise<readonly VmIdentity[]> {
    if (!parts.shouldList()) return [];
    try {
      return await register.list();
    } catch (cause) {
      log.warn({ error: describeError(cause) }, "listing VMs failed");
      return [];
    }
  }

  async function findMembers(): Promise<void> {
    if (stopped) return;
    const members = await list();
    hasListed = true;
    parts.onListed(members);
    const hasSettled = clock.monotonicMs() - startedAtMs >= STARTUP_MS;
    clock.after(
      hasSettled && !parts.isAlone()
        ? LIST_INTERVAL_MS
        : STARTUP_LIST_INTERVAL_MS,
      () => void findMembers(),
    );
  }

  void registerSelf().then(() => clock.after(parts.listAfterMs, findMembers));
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
