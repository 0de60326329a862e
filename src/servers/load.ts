/**
 * How busy a backend server is: this VM's own requests there, exactly, and
 * those of other VMs from what the server last told.
 *
 * @module
 */
import type { Clock } from "../runtime/clock.ts";

/** What a server tells of itself with an answer. */
export interface LoadReport {
  running: number;
  waiting: number;
  slots: number;
}

/** The load of one server as this VM sees it. */
export interface ServerLoad {
  /** Notes a request that is sent. */
  begin(): void;
  /** Notes its end. */
  end(): void;
  /** Notes what the server told, before `end` of that request. */
  report(report: LoadReport): void;
  /** @returns This VM's requests there. */
  getOwn(): number;
  /** @returns Requests there from all VMs, running and waiting. */
  getTotal(): number;
  /** @returns Requests there for each slot. */
  getUse(): number;
}

/** Weight of a report against the ones before it; reports swing by chance. */
const REPORT_WEIGHT = 0.5;
/** A report loses half of its weight in this time; requests last as long. */
const REPORT_HALF_LIFE_MS = 1_000;

/**
 * @param listedSlots Slots that the register lists.
 * @param clock The clock.
 * @returns The load of a server without requests.
 */
export function createServerLoad(
  listedSlots: number,
  clock: Clock,
): ServerLoad {
  let slots = Math.max(1, listedSlots);
  let own = 0;
  let others = 0;
  let reportedAtMs = 0;

  function getOthers(): number {
    const ageMs = clock.monotonicMs() - reportedAtMs;
    return others * 0.5 ** (ageMs / REPORT_HALF_LIFE_MS);
  }

  function getTotal(): number {
    return own + getOthers();
  }

  return {
    begin: () => void own++,
    end: () => void own--,
    report(report) {
      if (report.slots > 0) slots = report.slots;
      const seen = Math.max(0, report.running + report.waiting - own);
      others = getOthers() * (1 - REPORT_WEIGHT) + seen * REPORT_WEIGHT;
      reportedAtMs = clock.monotonicMs();
    },
    getOwn: () => own,
    getTotal,
    getUse: () => getTotal() / slots,
  };
}
