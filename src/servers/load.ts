/**
 * Load of a backend server: the exact number of this VM's own requests there,
 * the requests that other VMs report, and an estimate of the rest from the
 * server's last report.
 *
 * @module
 */
import type { Clock } from "../runtime/clock.ts";
import { createServerSpeed, type ServerSpeed } from "./speed.ts";

/** Load that a server reports with an answer. */
export interface LoadReport {
  running: number;
  waiting: number;
  /** Requests that the server runs at once. */
  slots: number;
  /**
   * How long work currently takes on the server's machine; 1 is usual. Absent
   * if the server doesn't report it.
   */
  slowdown?: number;
}

/** This VM's estimate of the load of one server. */
export interface ServerLoad {
  /** Records that a request is sent. */
  begin(): void;
  /** Records the end of a request. */
  end(): void;
  /** Records a server's report, before `end` of the request it came with. */
  report(report: LoadReport): void;
  /** @returns This VM's requests at the server. */
  getOwn(): number;
  /** @returns Requests at the server from all VMs, running and waiting. */
  getTotal(): number;
  /** @returns Requests per slot. */
  getUtilization(): number;
  /** @returns Requests that the server runs at once. */
  getSlots(): number;
  /** @returns Time since its last report; infinite before the first. */
  getReportAgeMs(): number;
  /** Current speed of the server. */
  speed: ServerSpeed;
}

/** Other sources that the load is estimated from. */
export interface LoadSources {
  /** Requests at the server that other VMs report. */
  getReported: () => number;
  /** Mean run time of the service's requests; undefined before the first. */
  getMeanRunMs: () => number | undefined;
  /** Called when this VM's first request at the server begins. */
  onBusy?: () => void;
  /** Called when the last one ends. */
  onIdle?: () => void;
}

/** Weight of a report against earlier ones, since single reports vary. */
const REPORT_WEIGHT = 0.5;
/**
 * The reported load decays with a half-life of about one run. A half-life of 1 s
 * with runs of 2 s found only a fifth of the load: the estimate was 0.52 where
 * there were 1.5 requests per slot and more.
 */
const MIN_REPORT_HALF_LIFE_MS = 1_000;

/**
 * @param listedSlots Slots that the register lists.
 * @param clock The clock.
 * @param sources Other sources to estimate the load from.
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
   * Requests that no VM reports. May be below 0, where a VM reported requests
   * that had ended meanwhile; otherwise the mean of many reports would be wrong.
   */
  let unreported = 0;
  let reportedAtMs = -Infinity;
  const speed = createServerSpeed(clock);

  function getUnreported(): number {
    const ageMs = clock.monotonicMs() - reportedAtMs;
    const halfLifeMs = Math.max(
      MIN_REPORT_HALF_LIFE_MS,
      sources.getMeanRunMs() ?? 0,
    );
    return unreported * 0.5 ** (ageMs / halfLifeMs);
  }

  function getTotal(): number {
    return Math.max(own, own + sources.getReported() + getUnreported());
  }

  return {
    begin() {
      own++;
      if (own === 1) sources.onBusy?.();
    },
    end() {
      own--;
      if (own === 0) sources.onIdle?.();
    },
    report(report) {
      if (report.slots > 0) slots = report.slots;
      if (report.slowdown !== undefined) speed.report(report.slowdown);
      const total = report.running + report.waiting;
      const reported = sources.getReported();
      const rest = Math.max(-reported, total - own - reported);
      unreported = getUnreported() * (1 - REPORT_WEIGHT) +
        rest * REPORT_WEIGHT;
      reportedAtMs = clock.monotonicMs();
    },
    getOwn: () => own,
    getTotal,
    getUtilization: () => getTotal() / slots,
    getSlots: () => slots,
    getReportAgeMs: () => clock.monotonicMs() - reportedAtMs,
    speed,
  };
}
