/**
 * Sends attempts to backend servers in the place of VMs that don't reach them.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { once } from "node:events";
import type { IncomingMessage, ServerResponse } from "node:http";
import { createBodyBuffer } from "../runtime/body_buffer.ts";
import { createBodyMeter } from "../runtime/body_discard.ts";
import type { Clock } from "../runtime/clock.ts";
import { describeError } from "../runtime/errors.ts";
import type { ServerBackoffs } from "../servers/backoffs.ts";
import type { ReachMonitor } from "../servers/reach_monitor.ts";
import type { KnownServer, ServerRegistry } from "../servers/registry.ts";
import type { BodyBudget, BodyHold } from "../serving/body_budget.ts";
import type { Exchange } from "../serving/exchange.ts";
import type { ProcessEnd } from "../serving/process_end.ts";
import { type Attempt, copyEndToEndHeaders } from "../serving/http_attempt.ts";
import type { ExchangeResult, WireCodec } from "../serving/types.ts";
import type { Log } from "../telemetry/log.ts";
import {
  decodeProxyOrder,
  encodeProxyResult,
  PROXY_FAILURE_STATUS,
  type ProxyOrder,
  type ProxyResult,
  stripProxyHeaders,
  type Withheld,
} from "./proxy_headers.ts";

/** Sends attempts in the place of other VMs. */
export interface ProxyServer {
  /** Handles a request of another VM; never rejects. */
  handle(message: IncomingMessage, response: ServerResponse): Promise<void>;
  /** Declines from now on; attempts in progress are completed. */
  startLeaving(): void;
  /** @returns A promise that resolves once no attempt is in progress. */
  awaitIdle(): Promise<void>;
  /** @returns Counts since the start of the process. */
  getStats(): ProxyServerStats;
}

/** Counts of a proxy server since the start of the process. */
export interface ProxyServerStats {
  /** Attempts in progress. */
  open: number;
  /** Attempts sent for other VMs. */
  sent: number;
  declined: number;
  /** Withheld from servers that must not get them. */
  withheld: number;
}

/** Dependencies of `createProxyServer`. */
export interface ProxyServerOptions {
  clock: Clock;
  log: Log;
  codec: WireCodec;
  registry: Pick<ServerRegistry, "listAll" | "isUsable" | "isDraining">;
  /** Backoffs that servers asked this VM for. */
  backoffs: Pick<ServerBackoffs, "getLeftMs">;
  reach: Pick<ReachMonitor, "assess">;
  exchange: Pick<Exchange, "sendEncoded">;
  bodyBudget: Pick<BodyBudget, "open">;
  /** Processor capacity of this VM, in cores. */
  cores: number;
  /** Whether the event loop is saturated. */
  isOverloaded: () => boolean;
  processEnd: Pick<ProcessEnd, "isAfter">;
  /**
   * Records how a server responded to an attempt of another VM.
   *
   * @param server The server.
   * @param result The result.
   * @param fingerprint Fingerprint of the request.
   */
  recordResult: (
    server: KnownServer,
    result: ExchangeResult,
    fingerprint: string,
  ) => void;
}

/** Attempts in progress per core; an own request holds as much of the VM. */
const MAX_OPEN_PER_CORE = 100;
const MAX_BODY_BYTES = 16_777_216;
const NO_CONNECTION: Withheld = { kind: "withheld", reason: "no_connection" };

/**
 * @param options Dependencies.
 * @returns A proxy server without attempts.
 */
export function createProxyServer(options: ProxyServerOptions): ProxyServer {
  const { clock, log, codec, registry, reach } = options;
  const maxOpen = Math.max(1, Math.round(MAX_OPEN_PER_CORE * options.cores));
  const stats: ProxyServerStats = {
    open: 0,
    sent: 0,
    declined: 0,
    withheld: 0,
  };
  let isLeaving = false;
  let idleCallbacks: (() => void)[] = [];

  function notifyIdle(): void {
    if (stats.open > 0) return;
    const notified = idleCallbacks;
    idleCallbacks = [];
    for (const run of notified) run();
  }

  /** @returns Why an order is declined before its body is read, if it is. */
  function findDenial(server: KnownServer | undefined): string | undefined {
    if (isLeaving) return "leaving";
    if (options.isOverloaded() || stats.open >= maxOpen) return "overloaded";
    const isLost = server !== undefined &&
      reach.assess(server.listed.service) === "lost";
    return isLost ? "service lost" : undefined;
  }

  /** @returns Why a server must not get a request of this VM, if so. */
  function findWithholding(
    server: KnownServer | undefined,
  ): Withheld | undefined {
    const kind = "withheld";
    if (server === undefined) return { kind, reason: "not_usable" };
    if (registry.isDraining(server)) return { kind, reason: "draining" };
    if (!registry.isUsable(server)) return { kind, reason: "not_usable" };
    const backoffMs = options.backoffs.getLeftMs(server.listed.id);
    return backoffMs > 0 ? { kind, reason: "backoff", backoffMs } : undefined;
  }

  async function handle(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const order = decodeProxyOrder(message.headers);
    const server = order &&
      registry.listAll().find(({ listed }) => listed.id === order.server);
    if (order === undefined) {
      return decline(message, response, "incomplete order");
    }
    const denial = findDenial(server);
    if (denial !== undefined) return decline(message, response, denial);
    const withheld = findWithholding(server);
    if (withheld !== undefined) {
      return withhold(message, response, order, withheld);
    }
    stats.open++;
    const hold = options.bodyBudget.open(
      clock.monotonicMs() + order.remainingMs,
    );
    try {
      await run(message, response, { order, server: server!, hold });
      // The other VM may take long to read a large answer.
      if (!response.closed) await once(response, "close");
    } catch (cause) {
      log.info({ error: describeError(cause) }, "proxied attempt cut");
      response.destroy();
    } finally {
      hold.release();
      stats.open--;
      notifyIdle();
    }
  }

  async function run(
    message: IncomingMessage,
    response: ServerResponse,
    { order, server, hold }: {
      order: ProxyOrder;
      server: KnownServer;
      hold: BodyHold;
    },
  ): Promise<void> {
    const body = await readBody(message, hold, clock, order.remainingMs);
    if (body === undefined) return decline(message, response, "no whole body");
    const headers = stripProxyHeaders(copyEndToEndHeaders(message.headers));
    const startedAtMs = clock.monotonicMs();
    const attempt = options.exchange.sendEncoded(
      server.listed,
      {
        method: message.method ?? "GET",
        path: message.url ?? "/",
        body,
        metadata: codec.decodeRequest(message.headers),
        holdBodies: () => hold,
      },
      headers as Record<string, string | string[]>,
      () =>
        findWithholding(server) === undefined &&
        options.processEnd.isAfter(startedAtMs + order.remainingMs),
    );
    const result = await awaitResult(attempt, response, order);
    if (result.kind === "withdrawn") {
      const withheld = findWithholding(server);
      if (withheld === undefined && isLeaving) {
        return decline(message, response, "leaving");
      }
      return withhold(message, response, order, withheld ?? NO_CONNECTION);
    }
    stats.sent++;
    log.info(
      {
        requestId: codec.decodeRequest(message.headers).requestId,
        sender: order.sender,
        server: server.listed.id,
        tookMs: Math.round(clock.monotonicMs() - startedAtMs),
        outcome: result.kind,
        reason: "reason" in result ? result.reason : undefined,
      },
      "proxied attempt ended",
    );
    const isOwnFailure = result.kind === "not_sent" &&
      reach.assess(server.listed.service) === "lost";
    if (!isOwnFailure) options.recordResult(server, result, order.fingerprint);
    sendResult(response, result, isOwnFailure);
  }

  /** Ends the attempt when its time ends or the other VM gives it up. */
  async function awaitResult(
    attempt: Attempt,
    response: ServerResponse,
    { remainingMs }: ProxyOrder,
  ): Promise<ExchangeResult> {
    const onClose = () => attempt.abort("client_left");
    response.once("close", onClose);
    if (response.destroyed) onClose();
    const timer = clock.after(remainingMs, () => attempt.abort("timeout"));
    const result = await attempt.result;
    timer.cancel();
    response.off("close", onClose);
    return result;
  }

  function decline(
    message: IncomingMessage,
    response: ServerResponse,
    reason: string,
  ): void {
    stats.declined++;
    reject(message, response, { kind: "declined", reason });
  }

  function withhold(
    message: IncomingMessage,
    response: ServerResponse,
    { sender, server }: ProxyOrder,
    withheld: Withheld,
  ): void {
    stats.withheld++;
    const { requestId } = codec.decodeRequest(message.headers);
    const { reason, backoffMs } = withheld;
    log.info(
      { requestId, sender, server, reason, backoffMs },
      "proxied attempt withheld",
    );
    reject(message, response, withheld);
  }

  /** Ends an order whose body may not be read yet. */
  function reject(
    message: IncomingMessage,
    response: ServerResponse,
    result: ProxyResult,
  ): void {
    // The rest of the body is not read.
    if (!message.complete) response.setHeader("connection", "close");
    sendFailure(response, result);
  }

  return {
    handle,
    startLeaving: () => void (isLeaving = true),
    awaitIdle: () =>
      new Promise((resolve) => {
        idleCallbacks.push(resolve);
        notifyIdle();
      }),
    getStats: () => ({ ...stats }),
  };
}

/** @returns The body; undefined if there is no memory or time for it. */
function readBody(
  message: IncomingMessage,
  hold: BodyHold,
  clock: Clock,
  maxMs: number,
): Promise<Buffer | undefined> {
  const declaredBytes = Number(message.headers["content-length"] ?? 0);
  if (declaredBytes > MAX_BODY_BYTES || !hold.tryHoldRequest(declaredBytes)) {
    return Promise.resolve(undefined);
  }
  const buffer = createBodyBuffer();
  const meter = createBodyMeter(message);
  return new Promise((resolve, reject) => {
    const refuse = () => {
      timer.cancel();
      message.off("data", onData);
      message.pause();
      buffer.clear();
      resolve(undefined);
    };
    const timer = clock.after(maxMs, refuse);
    const onData = (chunk: Buffer) => {
      const sizeBytes = buffer.getSizeBytes() + chunk.length;
      const isHeld = sizeBytes <= declaredBytes ||
        (sizeBytes <= MAX_BODY_BYTES && hold.tryHoldRequest(sizeBytes));
      const mayGoOn = isHeld && buffer.append(chunk) &&
        meter.record(chunk.length);
      if (!mayGoOn) refuse();
    };
    const cut = (cause?: Error) => {
      timer.cancel();
      reject(cause ?? new Error("body was cut"));
    };
    message.on("data", onData);
    message.once("end", () => {
      timer.cancel();
      resolve(buffer.join());
    });
    message.once("error", cut);
    message.once("close", () => cut());
  });
}

function sendResult(
  response: ServerResponse,
  result: Exclude<ExchangeResult, { kind: "withdrawn" }>,
  isOwnFailure: boolean,
): void {
  if (result.kind === "answer" || result.kind === "not_run") {
    const { status, headers, body } = result.answer;
    if (response.destroyed) return;
    const hasNoBody = status === 204 || status === 304;
    response.writeHead(status, {
      ...headers,
      ...encodeProxyResult({ kind: "response" }),
      ...(hasNoBody ? {} : { "content-length": body.length }),
    });
    return void response.end(body);
  }
  if (result.kind === "lost") return sendFailure(response, result);
  const kind = isOwnFailure ? "declined" : "not_sent";
  sendFailure(response, { kind, reason: result.reason });
}

function sendFailure(response: ServerResponse, result: ProxyResult): void {
  if (response.destroyed) return;
  response.writeHead(PROXY_FAILURE_STATUS, {
    ...encodeProxyResult(result),
    "content-length": 0,
  });
  response.end();
}
