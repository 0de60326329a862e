/**
 * How busy a backend server is: this VM's own requests there, exactly, those
 * that other VMs tell of, and the rest from what the server last told.
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
  getUtilization(): number;
  /** @returns Requests that it runs at once. */
  getSlots(): number;
}

/** Where else a load is known from. */
export interface LoadSources {
  /** Requests there that other VMs tell of. */
  getReported: () => number;
  /** How long requests at such servers last; undefined before the first. */
  getMeanRunMs: () => number | undefined;
}

/** Weight of a report against the ones before it; reports swing by chance. */
const REPORT_WEIGHT = 0.5;
/**
 * Half of what a report told of is over after about one run. With a second for
 * runs of two, a fifth of the load was seen: at 1.5 requests a slot and more
 * 0.52 was believed.
 */
const MIN_REPORT_HALF_LIFE_MS = 1_000;

/**
 * @param listedSlots Slots that the register lists.
 * @param clock The clock.
 * @param sources What else is known of its load.
 * @returns The load of a server without requests.
 */
export function createServerLoad(
  listedSlots: number,
  clock: Clock,
  sources: LoadSources,
): ServerLoad {
  let slots = Math.max(1, listedSlots);
  let own = 0;
  /**
   * Requests that nobody tells of. Below 0 where a VM told of some that had
   * ended by then: only then is the mean of many reports right.
   */
  let untold = 0;
  let reportedAtMs = 0;

  function getUntold(): number {
    const ageMs = clock.monotonicMs() - reportedAtMs;
    const halfLifeMs = Math.max(
      MIN_REPORT_HALF_LIFE_MS,
      sources.getMeanRunMs() ?? 0,
    );
    return untold * 0.5 ** (ageMs / halfLifeMs);
  }

  function getTotal(): number {
    return Math.max(own, own + sources.getReported() + getUntold());
  }

  return {
    begin: () => void own++,
    end: () => void own--,
    report(report) {
      if (report.slots > 0) slots = report.slots;
      const total = report.running + report.waiting;
      const told = sources.getReported();
      const seen = Math.max(-told, total - own - told);
      untold = getUntold() * (1 - REPORT_WEIGHT) + seen * REPORT_WEIGHT;
      reportedAtMs = clock.monotonicMs();
    },
    getOwn: () => own,
    getTotal,
    getUtilization: () => getTotal() / slots,
    getSlots: () => slots,
  };
}
