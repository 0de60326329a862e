/**
 * Stand-in of one backend server: slots, service times, cold start, shedding,
 * health that may lie. For development only.
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

/** How a stand-in server is made. */
export interface BackendSettings {
  id: string;
  service: string;
  failureDomain: string;
  region: string;
  address: string;
  slots: number;
  /** Mean time of a request, in ms. */
  serviceMs: number;
}

/** What can be made to go wrong, or be asked of it. */
export interface BackendFaults {
  /** Factor on service times. */
  slowFactor: number;
  /** Requests that are still slow after a cold start, and their factor. */
  coldRequests: number;
  coldFactor: number;
  /** Refuses new work and says so. */
  leaving: boolean;
  /** Health says draining. */
  healthDraining: boolean;
  /** Use that the health endpoint reports instead of the true one. */
  reportedUse: number | undefined;
  /** What becomes of the next answers. */
  answerMode: AnswerMode;
  /** Requests that `answerMode` still applies to. */
  answerModeCount: number;
}

/** Ways an answer can go wrong. */
export type AnswerMode =
  | "whole"
  /** The connection dies before the request runs. */
  | "die_before"
  /** It dies after the request ran, before the answer. */
  | "die_after"
  /** It dies in the middle of the answer. */
  | "truncate"
  /** The answer names another request. */
  | "crossed"
  /** Status 500 after the request ran. */
  | "error"
  /** Refused, with proof. */
  | "shed";

/** One run of a request, by the server's own word. */
export interface RunRecord {
  requestId: string;
  key: string | undefined;
  block: string;
  server: string;
  startMs: number;
  endMs: number;
}

/** A running stand-in server. */
export interface StandinBackend {
  settings: BackendSettings;
  faults: BackendFaults;
  records: RunRecord[];
  /** Requests running now. */
  inFlight(): number;
  /** Most requests present at once, waiting ones included. */
  peak(): number;
  stop(): Promise<void>;
}

/** Requests that may wait for a slot, as a multiple of the slots. */
const WAITING_FACTOR = 1;
/** Part of the service time that does not vary. */
const FIXED_PART = 0.6;

/**
 * Starts the stand-in.
 *
 * @param settings How it is made.
 * @param clock The clock; records use its wall time.
 * @param random For service times.
 * @returns The running server.
 */
export async function startStandinBackend(
  settings: BackendSettings,
  clock: Clock,
  random: Random,
): Promise<StandinBackend> {
  const records: RunRecord[] = [];
  const waiting: (() => void)[] = [];
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
    const varying = drawExponential(random, serviceMs * (1 - FIXED_PART));
    let factor = faults.slowFactor;
    if (faults.coldRequests > 0) {
      faults.coldRequests -= 1;
      factor *= faults.coldFactor;
    }
    return (serviceMs * FIXED_PART + varying) * factor;
  }

  function takeMode(): AnswerMode {
    if (faults.answerModeCount <= 0) return "whole";
    faults.answerModeCount -= 1;
    return faults.answerMode;
  }

  async function takeSlot(): Promise<void> {
    if (running < settings.slots) {
      running += 1;
      return;
    }
    await new Promise<void>((resolve) => waiting.push(resolve));
  }

  function freeSlot(): void {
    const next = waiting.shift();
    if (next) next();
    else running -= 1;
  }

  function refuse(request: Request, response: ServerResponse): void {
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
    const mode = takeMode();
    const isFull = running + waiting.length >=
      settings.slots * (1 + WAITING_FACTOR);
    if (faults.leaving || isFull || mode === "shed") {
      return refuse(request, response);
    }
    if (mode === "die_before") return void request.socket.destroy();
    peak = Math.max(peak, running + waiting.length + 1);
    await takeSlot();
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
    await pause(response, drawServiceMs(), record.key === undefined);
    record.endMs = clock.now().getTime();
    freeSlot();
    sendAnswer(request, response, { mode, requestId, bodyBytes: body.length });
  }

  /** Cancelled lookups stop early; at-most-once requests run to their end. */
  function pause(
    response: ServerResponse,
    durationMs: number,
    cancellable: boolean,
  ): Promise<void> {
    return new Promise((resolve) => {
      const timer = clock.after(durationMs, resolve);
      response.once("close", () => {
        if (response.writableEnded || !cancellable) return;
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
    const namedId = mode === "crossed" ? `${requestId}-other` : requestId;
    response.writeHead(mode === "error" ? 500 : 200, {
      "content-type": "application/json",
      "content-length": answer.length,
      [HEADERS.requestId]: namedId,
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
    const use = faults.reportedUse ?? running / settings.slots;
    sendJson(response, { state, use });
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
