/**
 * How old this VM's knowledge of the configuration is, proven without a clock
 * that VMs share.
 *
 * A reading proves what held when it was asked for, however late its answer
 * came. Between VMs age travels the same way: a VM sends stamps of its own time;
 * another answers with the last stamp it got, how long ago that was, and how old
 * its own knowledge is. Late, delayed or doubled messages then prove less, never
 * more.
 *
 * @module
 */
import type { Clock } from "../runtime/clock.ts";

/** A moment of this VM. */
export interface Instant {
  monotonicMs: number;
  /** Runs on while the VM is suspended, and may jump. */
  wallMs: number;
}

/** What a VM says to another of how old its knowledge is. */
export interface Proof {
  /** Version of the newest configuration at that time. */
  version: number;
  /** How long ago that time was when the proof was sent. */
  ageMs: number;
  /** The receiver's last stamp. */
  stamp: number;
  /** How long before the sending the stamp had arrived. */
  heldMs: number;
}

/** Knowledge and its age. */
export interface FreshnessTracker {
  /** @returns This moment, as of which a reading that is asked for now speaks. */
  getInstant(): Instant;
  /**
   * Notes that the board was complete as of a moment.
   *
   * @param askedAt When the reading was asked for.
   */
  recordRead(askedAt: Instant): void;
  /** @returns A stamp of this moment, for other VMs. */
  makeStamp(): number;
  /**
   * @param proof What another VM said.
   * @returns Whether it makes the knowledge newer by much.
   */
  recordProof(proof: Proof): boolean;
  /**
   * @param stamp The stamp of the VM that is told.
   * @param stampedAt When it arrived.
   * @returns What to tell that VM; undefined where nothing is proven here.
   */
  makeProof(stamp: number, stampedAt: Instant): Proof | undefined;
  /** @returns How old the knowledge is; infinite before the first proof. */
  getAgeMs(): number;
  /** @returns Whether a newer configuration exists than the one known here. */
  isBehind(): boolean;
}

/** What knowledge needs. */
export interface FreshnessTrackerOptions {
  clock: Clock;
  /** @returns Version of the configuration that is known; 0 before the first. */
  getVersion: () => number;
}

/** Proofs that are newer by less are not told on. */
const TELLING_GAIN_MS = 200;
/** Stamps are sent every 800 ms; answers to older ones prove nothing useful. */
const MAX_STAMPS = 32;

interface Proven {
  version: number;
  asOf: Instant;
}

/**
 * @param parts What knowledge needs.
 * @returns Knowledge that nothing proves.
 */
export function createFreshnessTracker(
  parts: FreshnessTrackerOptions,
): FreshnessTracker {
  const { clock, getVersion } = parts;
  let proven: Proven | undefined;
  /** Proves a configuration that has yet to arrive. */
  let ahead: Proven | undefined;
  const stamps = new Map<number, Instant>();
  let lastStamp = 0;

  function getInstant(): Instant {
    return {
      monotonicMs: clock.monotonicMs(),
      wallMs: clock.now().getTime(),
    };
  }

  /** Where the clocks differ, the VM was suspended or one of them jumped. */
  function getMostMsSince({ monotonicMs, wallMs }: Instant): number {
    const now = getInstant();
    return Math.max(now.monotonicMs - monotonicMs, now.wallMs - wallMs);
  }

  function getLeastMsSince({ monotonicMs, wallMs }: Instant): number {
    const now = getInstant();
    const leastMs = Math.min(
      now.monotonicMs - monotonicMs,
      now.wallMs - wallMs,
    );
    return Math.max(0, leastMs);
  }

  function getAgeOf(known: Proven | undefined): number {
    return known === undefined ? Infinity : getMostMsSince(known.asOf);
  }

  function settle(): void {
    if (ahead === undefined || ahead.version > getVersion()) return;
    if (getAgeOf(ahead) < getAgeOf(proven)) proven = ahead;
    ahead = undefined;
  }

  function take(next: Proven): boolean {
    settle();
    if (next.version > getVersion()) {
      if (getAgeOf(next) < getAgeOf(ahead)) ahead = next;
      return false;
    }
    const gainMs = getAgeOf(proven) - getAgeOf(next);
    if (gainMs > 0) proven = next;
    return gainMs >= TELLING_GAIN_MS;
  }

  return {
    getInstant,
    recordRead: (askedAt) =>
      void take({ version: getVersion(), asOf: askedAt }),
    makeStamp() {
      stamps.set(++lastStamp, getInstant());
      stamps.delete(lastStamp - MAX_STAMPS);
      return lastStamp;
    },
    recordProof({ version, ageMs, stamp, heldMs }) {
      const stampedAt = stamps.get(stamp);
      if (stampedAt === undefined) return false;
      const shiftMs = heldMs - ageMs;
      return take({
        version,
        asOf: {
          monotonicMs: stampedAt.monotonicMs + shiftMs,
          wallMs: stampedAt.wallMs + shiftMs,
        },
      });
    },
    makeProof(stamp, stampedAt) {
      settle();
      if (proven === undefined) return undefined;
      const heldMs = getLeastMsSince(stampedAt);
      const ageMs = getAgeOf(proven);
      return { version: proven.version, ageMs, stamp, heldMs };
    },
    getAgeMs() {
      settle();
      return getAgeOf(proven);
    },
    isBehind() {
      settle();
      return ahead !== undefined;
    },
  };
}
