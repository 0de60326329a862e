/**
 * Stand-in for one backend server: slots, service times, cold start, load
 * shedding and false health reports. For development only.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import type { Request } from "polka";
import { HEADERS } from "../forwarding/types.ts";
import type { Clock } from "../runtime/clock.ts";
import {
  createRouter,
  getHeader,
  type HttpServer,
  listen,
  readBody,
  sendJson,
} from "../runtime/http_server.ts";
import { drawExponential, type Random } from "../runtime/random.ts";

/** Settings of a stand-in server. */
export interface BackendSettings {
  id: string;
  service: string;
  failureDomain: string;
  region: string;
  address: string;
  /** Requests that run concurrently. */
  slots: number;
  /** Mean service time of a request, in ms. */
  serviceMs: number;
}

/** Injected faults; they can be changed while the server runs. */
export interface BackendFaults {
  /** Factor on service times. */
  slowFactor: number;
  /** Remaining requests that are slow after a cold start. */
  coldRequests: number;
  /** Factor on the service times of these requests. */
  coldFactor: number;
  /** Rejects new requests and reports that the server is leaving. */
  leaving: boolean;
  /** Reports the state `draining` in health answers. */
  healthDraining: boolean;
  /** Utilization in health answers, in place of the true one. */
  reportedUse: number | undefined;
  /** How the next `answerModeCount` requests are answered. */
  answerMode: AnswerMode;
  /** Remaining requests to which `answerMode` applies. */
  answerModeCount: number;
}

/** How a request is answered. */
export type AnswerMode =
  /** Completely and correctly. */
  | "whole"
  /** The connection breaks before the request runs. */
  | "die_before"
  /** The connection breaks after the request ran, before the answer. */
  | "die_after"
  /** The connection breaks in the middle of the answer. */
  | "truncate"
  /** The answer has the id of another request. */
  | "crossed"
  /** Status 500 after the request ran. */
  | "error"
  /** Status 503, with the outcome `not_run`. */
  | "shed";

/** One run of a request, as the server recorded it. */
export interface RunRecord {
  requestId: string;
  /** Idempotency key of the request. */
  key: string | undefined;
  /** Client block of the request. */
  block: string;
  /** Id of the server. */
  server: string;
  /** In ms since the Unix epoch. */
  startMs: number;
  /** In ms since the Unix epoch; 0 while the request runs. */
  endMs: number;
}

/** A running stand-in server. */
export interface StandinBackend {
  settings: BackendSettings;
  faults: BackendFaults;
  records: RunRecord[];
  /** @returns Requests that hold a slot. */
  inFlight(): number;
  /** @returns Most requests held at once, queued ones included. */
  peak(): number;
  /** Closes all connections and the listener. */
  stop(): Promise<void>;
}

/** Requests that may queue for a slot, as a multiple of the slots. */
const QUEUE_CAPACITY_FACTOR = 1;
/** Share of the mean service time that doesn't vary. */
const FIXED_SERVICE_TIME_SHARE = 0.6;

/**
 * Starts a stand-in server.
 *
 * @param settings Settings of the server.
 * @param clock The clock; records have its wall-clock time.
 * @param random Random source of the service times.
 * @returns The running server.
 * @throws Where the address can't be listened on.
 */
export async function startStandinBackend(
  settings: BackendSettings,
  clock: Clock,
  random: Random,
): Promise<StandinBackend> {
  const records: RunRecord[] = [];
  const queue: (() => void)[] = [];
  let running = 0;
  let peak = 0;
  const faults: BackendFaults = {
    slowFactor: 1,
    coldRequests: 0,
    coldFactor: 3,
    leaving: false,
    healthDraining: false,
    reportedUse: undefined,
    answerMode: "whole",
    answerModeCount: 0,
  };

  function drawServiceMs(): number {
    const { serviceMs } = settings;
    const varying = drawExponential(
      random,
      serviceMs * (1 - FIXED_SERVICE_TIME_SHARE),
    );
    let factor = faults.slowFactor;
    if (faults.coldRequests > 0) {
      faults.coldRequests -= 1;
      factor *= faults.coldFactor;
    }
    return (serviceMs * FIXED_SERVICE_TIME_SHARE + varying) * factor;
  }

  function takeAnswerMode(): AnswerMode {
    if (faults.answerModeCount <= 0) return "whole";
    faults.answerModeCount -= 1;
    return faults.answerMode;
  }

  async function acquireSlot(): Promise<void> {
    if (running < settings.slots) {
      running += 1;
      return;
    }
    await new Promise<void>((resolve) => queue.push(resolve));
  }

  function releaseSlot(): void {
    const next = queue.shift();
    if (next) next();
    else running -= 1;
  }

  function rejectRequest(request: Request, response: ServerResponse): void {
    response.writeHead(503, {
      [HEADERS.outcome]: "not_run",
      [HEADERS.requestId]: getHeader(request, HEADERS.requestId) ?? "",
      ...(faults.leaving ? { [HEADERS.state]: "leaving" } : {}),
      "content-length": 0,
    });
    response.end();
  }

  async function serve(
    request: Request,
    response: ServerResponse,
  ): Promise<void> {
    const body = await readBody(request);
    const mode = takeAnswerMode();
    const isSaturated = running + queue.length >=
      settings.slots * (1 + QUEUE_CAPACITY_FACTOR);
    if (faults.leaving || isSaturated || mode === "shed") {
      return rejectRequest(request, response);
    }
    if (mode === "die_before") return void request.socket.destroy();
    peak = Math.max(peak, running + queue.length + 1);
    await acquireSlot();
    const requestId = getHeader(request, HEADERS.requestId) ?? "";
    const record: RunRecord = {
      requestId,
      key: getHeader(request, HEADERS.idempotencyKey),
      block: getHeader(request, HEADERS.clientBlock) ?? "",
      server: settings.id,
      startMs: clock.now().getTime(),
      endMs: 0,
    };
    records.push(record);
    await waitServiceTime(response, drawServiceMs(), record.key === undefined);
    record.endMs = clock.now().getTime();
    releaseSlot();
    sendAnswer(request, response, { mode, requestId, bodyBytes: body.length });
  }

  /**
   * Waits for the service time. It ends early where the client has gone, but
   * only for requests without an idempotency key; at-most-once requests always
   * run to their end.
   */
  function waitServiceTime(
    response: ServerResponse,
    durationMs: number,
    isCancellable: boolean,
  ): Promise<void> {
    return new Promise((resolve) => {
      const timer = clock.after(durationMs, resolve);
      response.once("close", () => {
        if (response.writableEnded || !isCancellable) return;
        timer.cancel();
        resolve();
      });
    });
  }

  function sendAnswer(
    request: Request,
    response: ServerResponse,
    { mode, requestId, bodyBytes }: {
      mode: AnswerMode;
      requestId: string;
      bodyBytes: number;
    },
  ): void {
    if (mode === "die_after") return void request.socket.destroy();
    const answer = JSON.stringify({
      requestId,
      server: settings.id,
      path: request.originalUrl,
      bodyBytes,
      filler: "x".repeat(200),
    });
    const answeredId = mode === "crossed" ? `${requestId}-other` : requestId;
    response.writeHead(mode === "error" ? 500 : 200, {
      "content-type": "application/json",
      "content-length": answer.length,
      [HEADERS.requestId]: answeredId,
    });
    if (mode === "truncate") {
      response.write(answer.slice(0, 20));
      setImmediate(() => request.socket.destroy());
      return;
    }
    response.end(answer);
  }

  const router = createRouter();
  router.get("/health", (_request, response) => {
    const state = faults.healthDraining ? "draining" : "serving";
    const utilization = faults.reportedUse ?? running / settings.slots;
    sendJson(response, { state, use: utilization });
  });
  router.all("/*", serve);
  const server: HttpServer = await listen(router, settings.address);
  settings = { ...settings, address: server.address };
  return {
    settings,
    faults,
    records,
    inFlight: () => running,
    peak: () => peak,
    async stop() {
      server.server.closeAllConnections();
      await server.close();
    },
  };
}
