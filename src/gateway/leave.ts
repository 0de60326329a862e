/**
 * Graceful shutdown of a gateway: clients have time to stop using its address,
 * requests are accepted as long as they can be completed, and those in progress
 * are completed.
 *
 * @module
 */
import type { Mesh } from "../members/mesh.ts";
import type { Reader } from "../news/reader.ts";
import type { ProxyClient } from "../proxying/proxy_client.ts";
import type { ProxyServer } from "../proxying/proxy_server.ts";
import { type Clock, pause } from "../runtime/clock.ts";
import type { HttpServer } from "../runtime/http_server.ts";
import type { Exchange } from "../serving/exchange.ts";
import type {
  FrontServer,
  UnansweredRequest,
} from "../serving/front_server.ts";
import type { ProcessEnd } from "../serving/process_end.ts";
import type { Log } from "../telemetry/log.ts";

/** Components to stop, and time limits. */
export interface LeaveOptions {
  clock: Clock;
  log: Log;
  front: FrontServer;
  mesh: Mesh;
  readers: readonly Reader[];
  exchange: Exchange;
  proxyClient: ProxyClient;
  proxyServer: Pick<ProxyServer, "startLeaving" | "awaitIdle">;
  processEnd: Pick<ProcessEnd, "schedule" | "getMs">;
  control: readonly HttpServer[];
  /** Time until the process is killed, in ms. */
  graceMs: number;
  /** Time for which clients may use a directory answer, in ms. */
  ttlMs: number;
}

/** Some clients use a directory answer for this multiple of its TTL. */
const MAX_TTL_OVERRUN_FACTOR = 3;
/** Additional time for connections opened just before the address expires. */
const LATE_CONNECTION_MARGIN_MS = 300;
/** Part of the grace period reserved for the exit of the process. */
const EXIT_MARGIN_MS = 400;
/** Of a short grace period, requests have at least the rest. */
const MAX_EXIT_SHARE = 1 / 6;
/**
 * Connections still open after this time are closed by the exit of the process.
 */
const CLOSE_TIMEOUT_MS = 100;
/** Requests that are logged one by one when the process ends under them. */
const MAX_LOGGED_REQUESTS = 100;

/**
 * Sets when the process has to have stopped.
 *
 * @param processEnd End of the process; an earlier one stays.
 * @param clock Clock of the process, at the time at which it is told to stop.
 * @param graceMs Time until the process is killed, in ms.
 */
export function scheduleProcessEnd(
  processEnd: Pick<ProcessEnd, "schedule">,
  clock: Clock,
  graceMs: number,
): void {
  const exitMs = Math.min(EXIT_MARGIN_MS, graceMs * MAX_EXIT_SHARE);
  processEnd.schedule(clock.monotonicMs() + graceMs - exitMs);
}

/**
 * Continues to serve until clients no longer use the address of this VM, then
 * stops all components.
 *
 * @param options Components to stop, and time limits.
 * @returns A promise that resolves when the process may exit.
 */
export async function leave(options: LeaveOptions): Promise<void> {
  const { clock, log, front, mesh, proxyServer, processEnd } = options;
  const startedAtMs = clock.monotonicMs();
  log.info({ openRequests: front.countOpenRequests() }, "leaving");
  scheduleProcessEnd(processEnd, clock, options.graceMs);
  const maxLeaveMs = Math.max(0, processEnd.getMs() - startedAtMs);
  mesh.sendReport();
  front.startLeaving();
  proxyServer.startLeaving();
  const addressExpiryMs = options.ttlMs * MAX_TTL_OVERRUN_FACTOR +
    LATE_CONNECTION_MARGIN_MS;
  await pause(clock, Math.min(addressExpiryMs, maxLeaveMs));
  const remainingMs = maxLeaveMs - (clock.monotonicMs() - startedAtMs);
  const completed = Promise.all([front.close(), proxyServer.awaitIdle()]);
  await Promise.race([completed, pause(clock, Math.max(0, remainingMs))]);
  const unanswered = front.listUnanswered();
  log.info({
    openRequests: front.countOpenRequests(),
    unanswered: unanswered.length,
    tookMs: Math.round(clock.monotonicMs() - startedAtMs),
  }, "stopped");
  logCutRequests(options, unanswered, startedAtMs);
  options.readers.forEach((reader) => reader.stop());
  mesh.stop();
  options.control.forEach(({ server }) => server.close());
  const closed = Promise.all([
    options.exchange.close(),
    options.proxyClient.close(),
  ]);
  // What the closed connections carried ends now, and with it answers that were
  // ready behind it.
  await Promise.race([
    closed.then(() => completed),
    pause(clock, CLOSE_TIMEOUT_MS),
  ]);
}

/** Logs requests whose connections the exit of the process closes. */
function logCutRequests(
  { clock, log }: LeaveOptions,
  unanswered: readonly UnansweredRequest[],
  leavingAtMs: number,
): void {
  const nowMs = clock.monotonicMs();
  const logged = unanswered.slice(0, MAX_LOGGED_REQUESTS);
  for (const { arrivedAtMs, ...request } of logged) {
    log.warn({
      ...request,
      // Negative where it arrived before the process was told to stop.
      arrivedAfterStopMs: Math.round(arrivedAtMs - leavingAtMs),
      ageMs: Math.round(nowMs - arrivedAtMs),
    }, "request cut by exit");
  }
}
