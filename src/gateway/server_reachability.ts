/**
 * Sends reports about unresponsive backend servers to the other VMs.
 *
 * @module
 */
import type { Clock, Timer } from "../runtime/clock.ts";
import type {
  ReachabilityReport,
  ServerReachability,
} from "../servers/reachability.ts";

/** Dependencies of the sharing of reports. */
export interface ReachabilitySharingOptions {
  clock: Clock;
  reachability: Pick<
    ServerReachability,
    "takeReports" | "hasPending" | "subscribe"
  >;
  /**
   * Sends reports to all linked VMs.
   *
   * @param reports The reports.
   */
  send: (reports: ReachabilityReport[]) => void;
}

/** A running sharing of reports. */
export interface ReachabilitySharing {
  /** Stops it; nothing is sent afterwards. */
  stop(): void;
}

/** Interval at which reports are sent, collected into one message. */
const SEND_INTERVAL_MS = 100;

/**
 * Starts to share reports. Its timer runs only while a report is to be sent:
 * otherwise it would wake each VM 10 times a second for nothing.
 *
 * @param options Dependencies of the sharing.
 * @returns The running sharing.
 */
export function startReachabilitySharing(
  { clock, reachability, send }: ReachabilitySharingOptions,
): ReachabilitySharing {
  let timer: Timer | undefined;
  let isStopped = false;

  function pause(): void {
    timer?.cancel();
    timer = undefined;
  }

  function resume(): void {
    if (isStopped) return;
    timer ??= clock.every(SEND_INTERVAL_MS, sendReports);
  }

  function sendReports(): void {
    const reports = reachability.takeReports();
    if (reports.length > 0) send(reports);
    if (!reachability.hasPending()) pause();
  }

  reachability.subscribe(resume);
  if (reachability.hasPending()) resume();
  return {
    stop() {
      isStopped = true;
      pause();
    },
  };
}
