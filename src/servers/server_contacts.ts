/**
 * What this VM observed itself: its last outcomes at each server, and whether
 * these show that its own link works.
 *
 * @module
 */
import type { Clock } from "../runtime/clock.ts";
import {
  type ContactOutcome,
  HOLD_MS,
  KEPT_MS,
  MIN_REACHED,
  MIN_REACHED_RATIO,
  REPORT_LIFE_MS,
} from "./reachability_types.ts";

/** This VM's last outcomes at servers. */
export interface ServerContacts {
  /**
   * Records a response.
   *
   * @param server Id of the server instance.
   */
  recordResponse(server: string): void;
  /**
   * Records an attempt without a response.
   *
   * @param server Id of the server instance.
   * @param outcome The outcome.
   * @returns Whether it is to be reported to other VMs.
   */
  recordFailure(
    server: string,
    outcome: Exclude<ContactOutcome, "responded">,
  ): boolean;
  /**
   * @param server Id of a server instance.
   * @returns The time of its last response; -Infinity where there was none.
   */
  getRespondedAtMs(server: string): number;
  /**
   * @param server Id of a server instance.
   * @returns Whether the last outcome was a failure, a short time ago.
   */
  hasRecentFailure(server: string): boolean;
  /**
   * @param server Id of a server instance.
   * @param sinceMs Start of the period.
   * @returns Number of other servers that responded since then.
   */
  countReached(server: string, sinceMs: number): number;
  /**
   * @param server Id of a server instance.
   * @param sinceMs Start of the period.
   * @returns Whether this VM's link works, judged by responses of other servers
   *   since then.
   */
  reachesOthers(server: string, sinceMs: number): boolean;
}

/**
 * Requests in a row without a response that count as an unreachable server.
 * Three in 100 requests take seven times as long and outlast their deadline at
 * a healthy server. With two in a row, 112 VMs made two false reports in 30 s.
 */
const MIN_UNANSWERED = 3;
/** Maximum number of servers whose last outcomes are kept. */
const MAX_CONTACTS = 4_096;

/** Last outcomes of this VM at a server. */
interface Contact {
  respondedAtMs: number;
  /** Last outcome without a response. */
  failedAtMs: number;
  /** Consecutive requests without a response. */
  unanswered: number;
}

/**
 * @param clock The clock.
 * @returns Contacts without outcomes.
 */
export function createServerContacts(clock: Clock): ServerContacts {
  const contacts = new Map<string, Contact>();

  function getContact(server: string): Contact {
    const known = contacts.get(server);
    if (known !== undefined) return known;
    if (contacts.size >= MAX_CONTACTS) dropOldContacts();
    const contact: Contact = {
      respondedAtMs: -Infinity,
      failedAtMs: -Infinity,
      unanswered: 0,
    };
    contacts.set(server, contact);
    return contact;
  }

  function dropOldContacts(): void {
    const endMs = clock.monotonicMs() - KEPT_MS;
    for (const [server, { respondedAtMs, failedAtMs }] of contacts) {
      const isOld = respondedAtMs < endMs && failedAtMs < endMs;
      if (isOld) contacts.delete(server);
    }
    if (contacts.size >= MAX_CONTACTS) contacts.clear();
  }

  function countReached(server: string, sinceMs: number): number {
    let count = 0;
    for (const [other, { respondedAtMs }] of contacts) {
      if (other !== server && respondedAtMs >= sinceMs) count++;
    }
    return count;
  }

  return {
    recordResponse(server) {
      const contact = getContact(server);
      contact.respondedAtMs = clock.monotonicMs();
      contact.unanswered = 0;
    },
    recordFailure(server, outcome) {
      const contact = getContact(server);
      const nowMs = clock.monotonicMs();
      const isFirst = nowMs - contact.failedAtMs > KEPT_MS;
      contact.unanswered = isFirst ? 1 : contact.unanswered + 1;
      contact.failedAtMs = nowMs;
      return outcome === "unreachable" || contact.unanswered >= MIN_UNANSWERED;
    },
    getRespondedAtMs: (server) =>
      contacts.get(server)?.respondedAtMs ?? -Infinity,
    hasRecentFailure(server) {
      const contact = contacts.get(server);
      if (contact === undefined) return false;
      const { failedAtMs, respondedAtMs } = contact;
      return failedAtMs > respondedAtMs &&
        clock.monotonicMs() - failedAtMs <= REPORT_LIFE_MS;
    },
    countReached,
    reachesOthers(server, sinceMs) {
      // When a broken link works again, the failures of before still count.
      const failingFromMs = sinceMs - HOLD_MS;
      let failing = 0;
      for (const { failedAtMs, respondedAtMs } of contacts.values()) {
        const isFailing = failedAtMs >= failingFromMs &&
          failedAtMs > respondedAtMs;
        if (isFailing) failing++;
      }
      const reached = countReached(server, sinceMs);
      return reached >= MIN_REACHED && reached >= MIN_REACHED_RATIO * failing;
    },
  };
}
