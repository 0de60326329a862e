/**
 * How a VM is found: it registers, and lists who else did.
 *
 * @module
 */
import type { Clock } from "../runtime/clock.ts";
import { describeError } from "../runtime/errors.ts";
import type { Log } from "../telemetry/log.ts";
import type { VmIdentity, VmRegister } from "./types.ts";

/** What discovery needs. */
export interface DiscoveryParts {
  self: VmIdentity;
  register: VmRegister;
  clock: Clock;
  log: Log;
  /** Pause before the first list. */
  listAfterMs: number;
  /** Whether the register may know VMs that this one doesn't. */
  isWanted: () => boolean;
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
const STARTING_LIST_MS = 2_000;
/** After that time VMs learn of new ones from each other. */
const STARTING_MS = 5_000;
const SETTLED_LIST_MS = 30_000;
const REGISTER_RETRY_MS = 1_000;

/**
 * @param parts What discovery needs.
 * @returns The running discovery.
 */
export function startDiscovery(parts: DiscoveryParts): Discovery {
  const { self, register, clock, log } = parts;
  const startedAtMs = clock.monotonicMs();
  let hasListed = false;
  let stopped = false;

  async function registerSelf(): Promise<void> {
    if (stopped) return;
    try {
      await register.register(self);
    } catch (cause) {
      log.warn({ error: describeError(cause) }, "registering failed");
      clock.after(REGISTER_RETRY_MS, () => void registerSelf());
    }
  }

  async function list(): Promise<readonly VmIdentity[]> {
    if (!parts.isWanted()) return [];
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
    const hasSettled = clock.monotonicMs() - startedAtMs >= STARTING_MS;
    clock.after(
      hasSettled && !parts.isAlone() ? SETTLED_LIST_MS : STARTING_LIST_MS,
      () => void findMembers(),
    );
  }

  void registerSelf().then(() => clock.after(parts.listAfterMs, findMembers));
  return { hasListed: () => hasListed, stop: () => void (stopped = true) };
}
