/**
 * Sends single requests to backend servers over persistent connections.
 *
 * @module
 */
import { Pool } from "undici";
import type { Clock } from "../runtime/clock.ts";
import type { OpenSocket } from "../runtime/open_socket.ts";
import type { ListedServer } from "../servers/types.ts";
import {
  type Attempt,
  copyEndToEndHeaders,
  createFailureDetector,
  MAX_ANSWER_BYTES,
  type OutboundRequest,
  startAttempt,
} from "./http_attempt.ts";
import { createResponseMeters } from "./response_meter.ts";
import {
  type ConnectError,
  type ConnectObserver,
  createServerConnector,
} from "./server_connector.ts";
import type { CallerRequest, WireCodec } from "./types.ts";

/**
 * Time after which an idle connection is closed if its server announces no
 * timeout. A request that is sent while the server closes the connection is
 * lost.
 */
const IDLE_TIMEOUT_MS = 4_000;
/** Upper bound of the idle timeout that a server may announce. */
const MAX_IDLE_TIMEOUT_MS = 60_000;
/** A connection is closed this long before its server would close it. */
const IDLE_MARGIN_MS = 1_000;

/** Sends requests to backend servers. */
export interface Exchange {
  /**
   * @param server The server.
   * @param request The request.
   * @param remainingMs Time that the server has to answer.
   * @param maySend Whether the request may still be sent; called when a
   *   connection is free for it.
   * @returns The running attempt.
   */
  send(
    server: ListedServer,
    request: CallerRequest,
    remainingMs: number,
    maySend: () => boolean,
  ): Attempt;
  /**
   * Sends a request whose headers are encoded already.
   *
   * @param server The server.
   * @param request The request.
   * @param headers Its headers.
   * @param maySend Whether the request may still be sent.
   * @returns The running attempt.
   */
  sendEncoded(
    server: ListedServer,
    request: OutboundRequest,
    headers: Record<string, string | string[]>,
    maySend: () => boolean,
  ): Attempt;
  /**
   * @param request A request.
   * @param server The server that it will be sent to.
   * @param remainingMs Time that the server has to answer.
   * @returns The headers to send.
   */
  encodeHeaders(
    request: CallerRequest,
    server: ListedServer,
    remainingMs: number,
  ): Record<string, string | string[]>;
  /** @returns Whether an open connection to a server is idle. */
  hasFreeConnection(serverId: string): boolean;
  /**
   * Closes the connections to a server that is no longer listed, after its
   * requests in flight.
   */
  closePool(serverId: string): void;
  /** @returns Number of open connections, for metrics. */
  countConnections(): number;
  /** Closes all connections; requests in flight are lost. */
  close(): Promise<void>;
}

/** Observes the connections to servers. */
export interface ServerLinkObserver {
  /** Called for each connection that was opened. */
  recordConnected(server: ListedServer): void;
  /**
   * Called for each connection that could not be opened.
   *
   * @param server The server.
   * @param error Why.
   * @param startedAtMs When opening it began, on the monotonic clock.
   */
  recordConnectFailure(
    server: ListedServer,
    error: ConnectError,
    startedAtMs: number,
  ): void;
  /** Called when a response begins to arrive. */
  recordResponse(server: ListedServer): void;
}

/** Dependencies of an exchange. */
export interface ExchangeOptions {
  /** Encodes and decodes the headers of the deployment. */
  codec: WireCodec;
  clock: Clock;
  openSocket: OpenSocket;
  observer: ServerLinkObserver;
  /**
   * Returns the number of connections that this VM may open to a server.
   */
  getConnectionLimit: (server: ListedServer) => number;
}

/**
 * @param options Dependencies.
 * @returns An exchange without connections.
 */
export function createExchange(
  { codec, clock, openSocket, observer, getConnectionLimit }: ExchangeOptions,
): Exchange {
  const pools = new Map<string, Pool>();
  const failureDetector = createFailureDetector();
  const meters = createResponseMeters();

  function observe(server: ListedServer): ConnectObserver {
    return {
      onConnected(socket) {
        failureDetector.watch(socket);
        meters.watch(socket);
        observer.recordConnected(server);
      },
      onFailed: (error, startedAtMs) =>
        observer.recordConnectFailure(server, error, startedAtMs),
    };
  }

  function getPool(server: ListedServer): Pool {
    const existing = pools.get(server.id);
    if (existing !== undefined) return existing;
    const pool = new Pool(`http://${server.address}`, {
      connections: getConnectionLimit(server),
      pipelining: 1,
      connect: createServerConnector(openSocket, clock, observe(server)),
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      keepAliveMaxTimeout: MAX_IDLE_TIMEOUT_MS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
      maxResponseSize: MAX_ANSWER_BYTES,
    });
    pools.set(server.id, pool);
    return pool;
  }

  function sendEncoded(
    server: ListedServer,
    request: OutboundRequest,
    headers: Record<string, string | string[]>,
    maySend: () => boolean,
  ): Attempt {
    return startAttempt(() => getPool(server), request, headers, {
      codec,
      isConnectionFailing: failureDetector.isFailing,
      getMeter: meters.getCurrent,
      onResponse: () => observer.recordResponse(server),
      maySend,
    });
  }

  function encodeHeaders(
    request: CallerRequest,
    server: ListedServer,
    remainingMs: number,
  ): Record<string, string | string[]> {
    return codec.encodeRequest(copyEndToEndHeaders(request.headers), {
      serverName: server.registeredName,
      remainingMs: Math.max(1, Math.floor(remainingMs)),
      caller: request.caller,
    });
  }

  return {
    send(server, request, remainingMs, maySend) {
      const headers = encodeHeaders(request, server, remainingMs);
      return sendEncoded(server, request, headers, maySend);
    },
    sendEncoded,
    encodeHeaders,
    hasFreeConnection: (serverId) => (pools.get(serverId)?.stats.free ?? 0) > 0,
    closePool(serverId) {
      const pool = pools.get(serverId);
      if (pool === undefined) return;
      pools.delete(serverId);
      // Waits for requests in flight.
      pool.close().catch(() => pool.destroy());
    },
    countConnections() {
      let count = 0;
      for (const pool of pools.values()) count += pool.stats.connected;
      return count;
    },
    async close() {
      const openPools = [...pools.values()];
      pools.clear();
      await Promise.all(openPools.map((pool) => pool.destroy()));
    },
  };
}
