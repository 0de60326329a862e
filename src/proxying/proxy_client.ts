/**
 * Sends attempts to backend servers by way of other VMs.
 *
 * @module
 */
import { Pool } from "undici";
import type { VmIdentity } from "../members/types.ts";
import type { Clock } from "../runtime/clock.ts";
import { openSocket } from "../runtime/open_socket.ts";
import {
  type Attempt,
  createFailureDetector,
  MAX_ANSWER_BYTES,
  type OutboundRequest,
  startAttempt,
} from "../serving/http_attempt.ts";
import { createResponseMeters } from "../serving/response_meter.ts";
import { createServerConnector } from "../serving/server_connector.ts";
import type { ExchangeResult, WireCodec } from "../serving/types.ts";
import {
  decodeProxyResult,
  encodeProxyOrder,
  type ProxyOrder,
  type ProxyResult,
  stripProxyHeaders,
  type Withheld,
} from "./proxy_headers.ts";

/** Result of an attempt by way of another VM. */
export type ProxiedResult =
  | ExchangeResult
  | Withheld
  /** Not sent: that VM can't help. */
  | { kind: "declined"; reason: string }
  /** Not sent: no connection to that VM opens. */
  | { kind: "unreachable"; reason: string };

/** Sends attempts by way of other VMs. */
export interface ProxyClient {
  /**
   * @param vm The VM to ask.
   * @param request The request.
   * @param headers Its headers, encoded for the server.
   * @param order What the VM is asked for.
   * @param maySend Whether the request may still be sent.
   * @returns The running attempt.
   */
  send(
    vm: VmIdentity,
    request: OutboundRequest,
    headers: Record<string, string | string[]>,
    order: ProxyOrder,
    maySend: () => boolean,
  ): Attempt<ProxiedResult>;
  /** Closes all connections; attempts in flight are lost. */
  close(): Promise<void>;
}

const MAX_CONNECTIONS = 64;
const IDLE_TIMEOUT_MS = 4_000;
/** A VM's connections are closed once it was not asked for this long. */
const POOL_LIFE_MS = 30_000;

interface VmPool {
  pool: Pool;
  usedAtMs: number;
}

/**
 * @param codec Decodes the headers of answers.
 * @param clock The clock.
 * @returns A client without connections.
 */
export function createProxyClient(codec: WireCodec, clock: Clock): ProxyClient {
  const pools = new Map<string, VmPool>();
  const failureDetector = createFailureDetector();
  const meters = createResponseMeters();

  function closeUnused(nowMs: number): void {
    for (const [address, { pool, usedAtMs }] of pools) {
      if (nowMs - usedAtMs < POOL_LIFE_MS) continue;
      pools.delete(address);
      pool.close().catch(() => pool.destroy());
    }
  }

  function getPool(address: string): Pool {
    const nowMs = clock.monotonicMs();
    const known = pools.get(address);
    if (known !== undefined) {
      known.usedAtMs = nowMs;
      return known.pool;
    }
    closeUnused(nowMs);
    const pool = new Pool(`http://${address}`, {
      connections: MAX_CONNECTIONS,
      pipelining: 1,
      connect: createServerConnector(openSocket, clock, {
        onConnected(socket) {
          failureDetector.watch(socket);
          meters.watch(socket);
        },
        onFailed() {},
      }),
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      keepAliveMaxTimeout: IDLE_TIMEOUT_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
      maxResponseSize: MAX_ANSWER_BYTES,
    });
    pools.set(address, { pool, usedAtMs: nowMs });
    return pool;
  }

  return {
    send(vm, request, headers, order, maySend) {
      const allHeaders = { ...headers, ...encodeProxyOrder(order) };
      const attempt = startAttempt(
        () => getPool(vm.peerAddress),
        request,
        allHeaders,
        {
          codec,
          isConnectionFailing: failureDetector.isFailing,
          getMeter: meters.getCurrent,
          onResponse() {},
          maySend,
          decodeFailure(status, answerHeaders): ReportedFailure | undefined {
            const failure = decodeProxyResult(status, answerHeaders);
            if (failure.kind === "response") return undefined;
            return { kind: "reported", failure };
          },
        },
      );
      const result = attempt.result.then((sent) => toProxiedResult(sent, vm));
      return { ...attempt, result };
    },
    async close() {
      const open = [...pools.values()];
      pools.clear();
      await Promise.all(open.map(({ pool }) => pool.destroy()));
    },
  };
}

/** A failure that the proxying VM reports in its response. */
interface ReportedFailure {
  kind: "reported";
  failure: Exclude<ProxyResult, { kind: "response" }>;
}

function toProxiedResult(
  result: ExchangeResult | ReportedFailure,
  { id }: VmIdentity,
): ProxiedResult {
  if (result.kind === "reported") {
    const { failure } = result;
    if (failure.kind !== "lost") return failure;
    return { ...failure, detail: `by way of ${id}` };
  }
  if (result.kind === "not_sent") {
    return { kind: "unreachable", reason: result.reason };
  }
  if (result.kind !== "answer" && result.kind !== "not_run") return result;
  const { answer } = result;
  const headers = stripProxyHeaders(answer.headers);
  return { ...result, answer: { ...answer, headers } };
}
