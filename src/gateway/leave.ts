/**
 * The planned end of a gateway: no request in flight is cut off, and clients
 * have time to forget its address.
 *
 * @module
 */
import type { Mesh } from "../members/mesh.ts";
import type { Reader } from "../news/reader.ts";
import { type Clock, pause } from "../runtime/clock.ts";
import type { HttpServer } from "../runtime/http_server.ts";
import type { Exchange } from "../serving/exchange.ts";
import type { FrontServer } from "../serving/front_server.ts";
import type { Log } from "../telemetry/log.ts";

/** What has to end. */
export interface LeaveParts {
  clock: Clock;
  log: Log;
  front: FrontServer;
  mesh: Mesh;
  readers: readonly Reader[];
  exchange: Exchange;
  control: readonly HttpServer[];
  /** Time until the process is killed. */
  graceMs: number;
  /** How long clients use a directory answer. */
  ttlMs: number;
}

/** Some clients use a directory answer this many times as long. */
const TTL_STRETCH = 3;
/** Connections that reach a leaving VM just as clients forget it. */
const LEAVE_MARGIN_MS = 300;
/** Kept back from the time to stop, for the end of the process itself. */
const EXIT_MARGIN_MS = 400;
/** Connections that don't close in this time are left to the process's end. */
const CLOSE_MS = 100;

/**
 * Serves on until clients have forgotten this VM, then ends.
 *
 * @param parts What has to end.
 * @returns Resolves when the process may exit.
 */
export async function leave(parts: LeaveParts): Promise<void> {
  const { clock, log, front, mesh } = parts;
  const startedAtMs = clock.monotonicMs();
  log.info({ openRequests: front.countOpenRequests() }, "leaving");
  mesh.sendReport();
  front.startLeaving();
  const forgetMs = parts.ttlMs * TTL_STRETCH + LEAVE_MARGIN_MS;
  const lastMs = parts.graceMs - EXIT_MARGIN_MS;
  await pause(clock, Math.min(forgetMs, lastMs));
  const leftMs = lastMs - (clock.monotonicMs() - startedAtMs);
  await Promise.race([front.close(), pause(clock, Math.max(0, leftMs))]);
  log.info({ openRequests: front.countOpenRequests() }, "stopped");
  parts.readers.forEach((reader) => reader.stop());
  mesh.stop();
  parts.control.forEach(({ server }) => server.close());
  await Promise.race([parts.exchange.close(), pause(clock, CLOSE_MS)]);
}
