/**
 * HTTP routes: requests from callers and hand-overs from other entries.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { ServerResponse } from "node:http";
import type { Polka, Request } from "polka";
import type { RequestClass, ServiceDocument } from "../config/schema.ts";
import type { ControlAgent } from "../control/types.ts";
import type { BlockTable } from "../lookup/blocks.ts";
import { parseIpv4 } from "../runtime/address.ts";
import { type ByteBudget, createByteBudget } from "../runtime/byte_budget.ts";
import type { Clock } from "../runtime/clock.ts";
import { describeError } from "../runtime/errors.ts";
import { getHeader, readBody, sendProblem } from "../runtime/http_server.ts";
import { createId } from "../runtime/ids.ts";
import type { ReadDelay } from "../runtime/read_delay.ts";
import { createLogger } from "../runtime/logger.ts";
import type { EntryStats } from "./entry_stats.ts";
import type { RequestForwarder } from "./request_forwarder.ts";
import { parseKey } from "./keys.ts";
import { HANDOVER_PATH } from "./peer_client.ts";
import { type ForwardRequest, HEADERS, type Outcome } from "./types.ts";

const log = createLogger("forwarding");

/** Maximum deadline that a caller may request. */
const MAX_DEADLINE_MS = 60_000;
const REQUEST_ID_PATTERN = /^[A-Za-z0-9_.-]{1,64}$/;
/** Bytes of the bodies of all requests in progress. */
const MAX_TOTAL_BODY_BYTES = 67_108_864;
const SERVICE_ROUTE = /^\/v1\/services\/([^/?]+)(\/[^?]*)?(\?.*)?$/;

/** Dependencies of the routes. */
export interface ForwardingRouteOptions {
  agent: ControlAgent;
  forwarder: RequestForwarder;
  stats: EntryStats;
  blocks: () => BlockTable;
  clock: Clock;
  /** Memory for the bodies of requests. */
  bodies: ByteBudget;
  /** How long requests may have waited to be read. */
  readDelay: Pick<ReadDelay, "getMs">;
}

/** @returns Memory for the bodies of all requests of an entry. */
export function createBodyBudget(): ByteBudget {
  return createByteBudget(MAX_TOTAL_BODY_BYTES);
}

/** Response to a request that cannot be forwarded. */
interface RejectedRequest {
  status: number;
  detail: string;
}

/** A valid request and its service. */
interface ParsedRequest {
  document: ServiceDocument;
  request: ForwardRequest;
}

/**
 * Adds `/v1/services/{service}/{path...}` for callers.
 *
 * @param router Router of the callers' address.
 * @param options Dependencies.
 */
export function addCallerRoutes(
  router: Polka,
  options: ForwardingRouteOptions,
): void {
  const { forwarder, stats } = options;
  router.all("/v1/services/:service/*", async (request, response) => {
    const parsed = await parseCallerRequest(request, response, options);
    if ("status" in parsed) {
      return sendProblem(response, {
        status: parsed.status,
        title: "Request not accepted",
        detail: parsed.detail,
        outcome: "not_run",
        retryAfterS: parsed.status === 503 ? 1 : undefined,
      });
    }
    const { document, request: forwardRequest } = parsed;
    stats.recordArrival(forwardRequest.service, forwardRequest.callerRegion);
    const outcome = await toUnknownOnError(() =>
      forwarder.handle(document, forwardRequest)
    );
    stats.recordOutcome(forwardRequest, outcome);
    sendOutcome(response, forwardRequest, outcome);
  });
}

/**
 * Adds the hand-over route for other entries.
 *
 * @param router Router of the peer address; it must already check the peer key.
 * @param options Dependencies.
 */
export function addHandoverRoute(
  router: Polka,
  options: ForwardingRouteOptions,
): void {
  const { forwarder } = options;
  router.post(HANDOVER_PATH, async (request, response) => {
    const parsed = await parseHandover(request, response, options);
    if ("status" in parsed) {
      const id = getHeader(request, HEADERS.requestId) ?? "";
      return sendOutcome(response, { id }, {
        kind: "not_run",
        reason: parsed.detail,
        retryAfterS: 1,
      });
    }
    const { document, request: forwardRequest } = parsed;
    const isOwner = getHeader(request, HEADERS.mode) === "own";
    const outcome = await toUnknownOnError(() =>
      isOwner
        ? forwarder.handle(document, forwardRequest)
        : forwarder.runLocally(document, forwardRequest)
    );
    sendOutcome(response, forwardRequest, outcome);
  });
}

/** Reports internal errors as unknown, since the request may have run. */
async function toUnknownOnError(run: () => Promise<Outcome>): Promise<Outcome> {
  try {
    return await run();
  } catch (cause) {
    log.error(describeError(cause), { step: "forward", peer: "self" });
    return { kind: "unknown", reason: "Internal error", retryAfterS: 1 };
  }
}

async function parseCallerRequest(
  request: Request,
  response: ServerResponse,
  options: ForwardingRouteOptions,
): Promise<ParsedRequest | RejectedRequest> {
  const match = SERVICE_ROUTE.exec(request.originalUrl ?? request.url ?? "");
  if (match === null) return { status: 404, detail: "Not a service's address" };
  const [, service, path = "/", query = ""] = match;
  const statedId = getHeader(request, HEADERS.requestId);
  const id = statedId ?? createId();
  if (!REQUEST_ID_PATTERN.test(id)) {
    return { status: 400, detail: `${HEADERS.requestId} is malformed` };
  }
  const client = identifyClient(request, options);
  return await parseFields(request, response, {
    options,
    service,
    id,
    method: request.method ?? "GET",
    path: path + query,
    hops: 0,
    ...client,
  });
}

async function parseHandover(
  request: Request,
  response: ServerResponse,
  options: ForwardingRouteOptions,
): Promise<ParsedRequest | RejectedRequest> {
  const header = (name: string) => getHeader(request, name) ?? "";
  return await parseFields(request, response, {
    options,
    service: header(HEADERS.service),
    id: header(HEADERS.requestId),
    method: header("x-http-method"),
    path: header(HEADERS.path),
    hops: Number(header(HEADERS.hops)) || 1,
    block: header(HEADERS.clientBlock),
    callerRegion: header(HEADERS.region),
  });
}

interface RequestFields {
  options: ForwardingRouteOptions;
  service: string;
  id: string;
  method: string;
  path: string;
  hops: number;
  block: string;
  callerRegion: string;
}

async function parseFields(
  request: Request,
  response: ServerResponse,
  fields: RequestFields,
): Promise<ParsedRequest | RejectedRequest> {
  const { options, service, method, path } = fields;
  const document = options.agent.config().services.get(service)?.document;
  if (document === undefined) {
    return { status: 404, detail: `No service is named "${service}"` };
  }
  const requestClass = findClass(document, method, path);
  if (requestClass === undefined) {
    return {
      status: 404,
      detail: `No class of requests fits ${method} ${path}`,
    };
  }
  const timeMs = parseDeadline(request, requestClass);
  if (timeMs === undefined) {
    return {
      status: 400,
      detail: `${HEADERS.deadlineMs} must be 1 to ${MAX_DEADLINE_MS}`,
    };
  }
  const leftMs = timeMs - options.readDelay.getMs();
  if (leftMs <= 0) {
    return { status: 503, detail: "Its time ended before it was read" };
  }
  const deadlineMs = options.clock.monotonicMs() + leftMs;
  const keyText = getHeader(request, HEADERS.idempotencyKey);
  const key = keyText === undefined ? undefined : parseKey(keyText);
  if (!requestClass.idempotent && key === undefined) {
    return {
      status: 400,
      detail: "This request needs an Idempotency-Key that starts with an " +
        "entry's keyPrefix from a look-up and a dot",
    };
  }
  let body: Buffer;
  try {
    body = await readBody(request);
  } catch (cause) {
    return { status: 413, detail: describeError(cause) };
  }
  const release = options.bodies.tryHold(body.length);
  if (release === undefined) {
    return { status: 503, detail: "No memory is left for the request's body" };
  }
  if (response.destroyed) release();
  else response.once("close", release);
  return {
    document,
    request: {
      id: fields.id,
      service,
      requestClass,
      method,
      path,
      contentType: getHeader(request, "content-type"),
      body,
      deadlineMs,
      key: requestClass.idempotent ? undefined : key,
      block: fields.block,
      callerRegion: fields.callerRegion,
      hops: fields.hops,
      signal: createDisconnectSignal(response),
    },
  };
}

function createDisconnectSignal(response: ServerResponse): AbortSignal {
  const controller = new AbortController();
  response.once("close", () => {
    if (!response.writableFinished) controller.abort();
  });
  return controller.signal;
}

function parseDeadline(
  request: Request,
  requestClass: RequestClass,
): number | undefined {
  const text = getHeader(request, HEADERS.deadlineMs);
  if (text === undefined) return requestClass.deadlineMs;
  const timeMs = Number(text);
  const isValid = Number.isFinite(timeMs) && timeMs > 0 &&
    timeMs <= MAX_DEADLINE_MS;
  return isValid ? timeMs : undefined;
}

/**
 * @param document Document of the service.
 * @param method HTTP method of a request.
 * @param path Path of the request.
 * @returns The first request class that matches, if any.
 */
export function findClass(
  document: ServiceDocument,
  method: string,
  path: string,
): RequestClass | undefined {
  return document.classes.find(({ methods, pathPrefix }) =>
    (methods as string[]).includes(method) && path.startsWith(pathPrefix)
  );
}

/**
 * Identifies the client block by the header from the look-up, or else by the
 * remote address. A client outside all blocks is assigned to this entry's region.
 */
function identifyClient(
  request: Request,
  { blocks, agent }: ForwardingRouteOptions,
) {
  const statedAddress = getHeader(request, HEADERS.clientBlock)?.split("/")[0];
  const remoteAddress = request.socket.remoteAddress?.replace(/^::ffff:/, "");
  const address = parseIpv4(statedAddress ?? "") ??
    parseIpv4(remoteAddress ?? "");
  const found = address === undefined ? undefined : blocks().find(address);
  return {
    block: found?.block ?? remoteAddress ?? "",
    callerRegion: found?.region ?? agent.self.region,
  };
}

/**
 * Sends the outcome of a request, unless the connection is closed.
 *
 * @param response Response to write to.
 * @param request The request; its id is repeated in a header.
 * @param outcome How the request ended.
 */
export function sendOutcome(
  response: ServerResponse,
  request: { id: string },
  outcome: Outcome,
): void {
  if (response.destroyed || response.headersSent) return;
  response.setHeader(HEADERS.requestId, request.id);
  response.setHeader(HEADERS.outcome, outcome.kind);
  if (outcome.kind !== "answer") {
    return sendProblem(response, {
      status: outcome.kind === "not_run" ? 503 : 504,
      title: outcome.kind === "not_run" ? "Not run" : "Unknown",
      detail: outcome.reason,
      outcome: outcome.kind,
      retryAfterS: outcome.retryAfterS,
    });
  }
  const { status, contentType, body, serverId } = outcome.answer;
  const headers: Record<string, string | number> = {
    "content-length": body.length,
    [HEADERS.server]: serverId,
  };
  if (contentType) headers["content-type"] = contentType;
  response.writeHead(status, headers);
  response.end(body);
}
