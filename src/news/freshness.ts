/**
 * Tracks the age of this VM's knowledge of the configuration, without a clock
 * that VMs share.
 *
 * A read proves the state at the time of its request, however late its response
 * arrives. Between VMs, age is proven in the same way: a VM sends stamps of its
 * own clock; another VM answers with the last stamp it received, how long ago
 * that was, and the age of its own knowledge. Late, delayed or duplicate messages
 * then prove less, never more.
 *
 * @module
 */
import type { Clock } from "../runtime/clock.ts";

/** An instant by the clocks of this VM. */
export interface Instant {
  monotonicMs: number;
  /** Continues while the VM is suspended, and may jump. */
  wallMs: number;
}

/** Proof of the age of a VM's knowledge, sent to another VM. */
export interface Proof {
  /** Version of the newest configuration at the time that is proven. */
  version: number;
  /** Age of that time when the proof was sent, in ms. */
  ageMs: number;
  /** The receiver's last stamp. */
  stamp: number;
  /** Time between the arrival of the stamp and the sending of the proof, in ms. */
  heldMs: number;
}

/** Age of what this VM knows of the configuration. */
export interface FreshnessTracker {
  /** @returns The current instant; a read that is requested now proves it. */
  getInstant(): Instant;
  /**
   * Records that the fact store was complete as of an instant.
   *
   * @param requestedAt When the read was requested.
   */
  recordRead(requestedAt: Instant): void;
  /** @returns A stamp of the current instant, to be sent to other VMs. */
  makeStamp(): number;
  /**
   * Records a proof from another VM.
   *
   * @param proof The proof.
   * @returns Whether it lowers the age enough to be passed on.
   */
  recordProof(proof: Proof): boolean;
  /**
   * @param stamp Last stamp of the VM that receives the proof.
   * @param stampedAt When the stamp arrived.
   * @returns The proof to send; undefined where nothing is proven here.
   */
  makeProof(stamp: number, stampedAt: Instant): Proof | undefined;
  /** @returns Age of the configuration, in ms; infinite before the first proof. */
  getAgeMs(): number;
  /** @returns Whether a newer configuration exists than the one known here. */
  isBehind(): boolean;
}

/** Dependencies of a freshness tracker. */
export interface FreshnessTrackerOptions {
  clock: Clock;
  /** @returns Version of the known configuration; 0 before the first. */
  getVersion: () => number;
}

/** Proofs that lower the age by less aren't passed on. */
const MIN_RELAY_GAIN_MS = 200;
/** Stamps are sent every 800 ms; answers to older ones prove nothing useful. */
const MAX_STAMPS = 32;

interface ProvenVersion {
  version: number;
  asOf: Instant;
}

/**
 * Creates a tracker for which nothing is proven.
 *
 * @param options Dependencies of the tracker.
 * @returns The tracker.
 */
export function createFreshnessTracker(
  options: FreshnessTrackerOptions,
): FreshnessTracker {
  const { clock, getVersion } = options;
  let proven: ProvenVersion | undefined;
  /** Proof of a configuration that hasn't arrived yet. */
  let pending: ProvenVersion | undefined;
  const stamps = new Map<number, Instant>();
  let lastStamp = 0;

  function getInstant(): Instant {
    return {
      monotonicMs: clock.monotonicMs(),
      wallMs: clock.now().getTime(),
    };
  }

  /**
   * Upper bound of the time since an instant, in ms. Where the clocks differ, the
   * VM was suspended or the wall clock jumped.
   */
  function getMaxElapsedMs({ monotonicMs, wallMs }: Instant): number {
    const now = getInstant();
    return Math.max(now.monotonicMs - monotonicMs, now.wallMs - wallMs);
  }

  /** Lower bound of the time since an instant, in ms. */
  function getMinElapsedMs({ monotonicMs, wallMs }: Instant): number {
    const now = getInstant();
    const elapsedMs = Math.min(
      now.monotonicMs - monotonicMs,
      now.wallMs - wallMs,
    );
    return Math.max(0, elapsedMs);
  }

  function computeAgeMs(version: ProvenVersion | undefined): number {
    return version === undefined ? Infinity : getMaxElapsedMs(version.asOf);
  }

  /** Applies the pending proof once its configuration has arrived. */
  function applyPending(): void {
    if (pending === undefined || pending.version > getVersion()) return;
    if (computeAgeMs(pending) < computeAgeMs(proven)) proven = pending;
    pending = undefined;
  }

  function recordProven(next: ProvenVersion): boolean {
    applyPending();
    if (next.version > getVersion()) {
      if (computeAgeMs(next) < computeAgeMs(pending)) pending = next;
      return false;
    }
    const gainMs = computeAgeMs(proven) - computeAgeMs(next);
    if (gainMs > 0) proven = next;
    return gainMs >= MIN_RELAY_GAIN_MS;
  }

  return {
    getInstant,
    recordRead: (requestedAt) =>
      void recordProven({ version: getVersion(), asOf: requestedAt }),
    makeStamp() {
      stamps.set(++lastStamp, getInstant());
      stamps.delete(lastStamp - MAX_STAMPS);
      return lastStamp;
    },
    recordProof({ version, ageMs, stamp, heldMs }) {
      const stampedAt = stamps.get(stamp);
      if (stampedAt === undefined) return false;
      const offsetMs = heldMs - ageMs;
      return recordProven({
        version,
        asOf: {
          monotonicMs: stampedAt.monotonicMs + offsetMs,
          wallMs: stampedAt.wallMs + offsetMs,
        },
      });
    },
    makeProof(stamp, stampedAt) {
      applyPending();
      if (proven === undefined) return undefined;
      const heldMs = getMinElapsedMs(stampedAt);
      const ageMs = computeAgeMs(proven);
      return { version: proven.version, ageMs, stamp, heldMs };
    },
    getAgeMs() {
      applyPending();
      return computeAgeMs(proven);
    },
    isBehind() {
      applyPending();
      return pending !== undefined;
    },
  };
}
