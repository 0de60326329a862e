/**
 * Limits by ranked senders: the first VMs of a region by rank may use the whole
 * limit, the others nothing.
 *
 * @module
 */
import type { Clock } from "../../runtime/clock.ts";
import { type ColdLimit, createColdLimit } from "../../servers/cold_limit.ts";
import {
  type Admission,
  type LimitedSubject,
  type LimitState,
  type LimitUsage,
  RateLimiter,
} from "../limiter.ts";

/** The VMs that senders are chosen from. */
export interface Senders {
  region: string;
  listVms: (region: string) => readonly string[];
}

/** Lets a few VMs use all of each limit, in the way cold servers are limited. */
export class RankedSenderLimiter extends RateLimiter {
  readonly #senders: Senders;
  readonly #limit: ColdLimit;

  /**
   * @param clock The clock.
   * @param ownId Id of this VM.
   * @param senders The VMs that senders are chosen from.
   */
  constructor(clock: Clock, ownId: string, senders: Senders) {
    super();
    this.#senders = senders;
    const { listVms } = senders;
    this.#limit = createColdLimit({ clock, ownId, listVms });
  }

  protected override takeLimited(
    { name, ratePerS }: LimitedSubject,
  ): Admission {
    const isTaken = this.#limit.take(name, ratePerS, this.#senders.region);
    return isTaken
      ? { kind: "within" }
      : { kind: "over", retryAfterMs: 1_000 / ratePerS };
  }

  protected override count(): void {}

  override takeUsage(): LimitUsage[] {
    return [];
  }

  override receive(): void {}

  override list(): LimitState[] {
    return [];
  }
}
