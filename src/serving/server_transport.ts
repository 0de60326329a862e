/**
 * Sends an attempt to a backend server over this VM's own connections, or by way
 * of another VM where these don't reach the service.
 *
 * One hop: a VM that proxies sends over its own connections only.
 *
 * @module
 */
import type { VmIdentity } from "../members/types.ts";
import type { ProxyClient } from "../proxying/proxy_client.ts";
import type { Withheld } from "../proxying/proxy_headers.ts";
import type { ProxySelection } from "../proxying/proxy_selection.ts";
import type { Clock } from "../runtime/clock.ts";
import type { ReachMonitor } from "../servers/reach_monitor.ts";
import type { ListedServer } from "../servers/types.ts";
import type { Log } from "../telemetry/log.ts";
import type { Exchange } from "./exchange.ts";
import type { Attempt } from "./http_attempt.ts";
import type { CallerRequest, ExchangeResult, LossReason } from "./types.ts";

/** How an attempt ended, and over which path. */
export interface TransportOutcome {
  result:
    | ExchangeResult
    /** Not sent: the VM that was asked knows that the server must not get it. */
    | Withheld
    /** Not sent: neither this VM nor any that it asked reaches the service. */
    | { kind: "no_path" };
  /** The VM by way of which it was sent; absent for own connections. */
  via?: string;
  /**
   * Whether this VM's own connections failed, and not only those to the server,
   * so that the result says nothing about the server.
   */
  isPathBroken?: boolean;
}

/** An attempt to send. */
export interface TransportRequest {
  server: ListedServer;
  request: CallerRequest;
  /** The same for each repeat of the request. */
  fingerprint: string;
  /** Time that the server has to answer. */
  remainingMs: number;
  /** Whether the request may still be sent. */
  maySend: () => boolean;
}

/** Sends attempts over the path that works. */
export interface ServerTransport {
  /**
   * @param attempt The attempt to send.
   * @returns The running attempt.
   */
  send(attempt: TransportRequest): Attempt<TransportOutcome>;
  /** @returns Counts since the start of the process. */
  getStats(): TransportStats;
}

/** Counts of a transport since the start of the process. */
export interface TransportStats {
  /** Attempts sent by way of other VMs. */
  proxied: number;
  /** Attempts for which no VM was found that reaches the service. */
  withoutPath: number;
}

/** Dependencies of `createServerTransport`. */
export interface ServerTransportOptions {
  clock: Clock;
  log: Log;
  /** Id of this VM. */
  ownId: string;
  exchange: Pick<Exchange, "send" | "encodeHeaders" | "hasFreeConnection">;
  reach: Pick<ReachMonitor, "assess" | "hasResponded" | "watch">;
  proxies: ProxySelection;
  proxyClient: Pick<ProxyClient, "send">;
}

/**
 * VMs that are asked for one attempt. Where half of the fleet reaches no server,
 * six in a row decline one request in 64, until their declines are remembered.
 */
const MAX_ASKED = 6;
/**
 * Nobody is asked again for this long once as many VMs have declined, so that a
 * fleet in which no VM reaches the service refuses requests at once.
 */
const ASK_PAUSE_MS = 250;
/** A VM is not asked with less time left. */
const MIN_PROXY_MS = 20;

/**
 * @param options Dependencies.
 * @returns A transport.
 */
export function createServerTransport(
  options: ServerTransportOptions,
): ServerTransport {
  const { clock, log, exchange, reach, proxies, proxyClient } = options;
  /** Until when nobody is asked, by service and the regions of the request. */
  const pausedUntilMs = new Map<string, number>();
  const stats: TransportStats = { proxied: 0, withoutPath: 0 };

  /** Whether own connections may serve an attempt. */
  function isDirect(server: ListedServer): boolean {
    return reach.assess(server.service) === "reached" ||
      reach.hasResponded(server) && exchange.hasFreeConnection(server.id);
  }

  function sendDirect(
    { server, request, remainingMs, maySend }: TransportRequest,
  ): Attempt<TransportOutcome> {
    const attempt = exchange.send(server, request, remainingMs, maySend);
    const watch = reach.watch(server, () => {
      // One that must not run twice can only wait for its answer.
      if (request.route.kind === "idempotent") attempt.abort("service_lost");
    });
    return {
      result: attempt.result.then((result) => {
        watch.end();
        const isFailure = result.kind === "not_sent" || result.kind === "lost";
        const isPathBroken = isFailure &&
          reach.assess(server.service) === "lost";
        return { result, isPathBroken };
      }),
      abort: attempt.abort,
    };
  }

  function sendProxied(asked: TransportRequest): Attempt<TransportOutcome> {
    let current: Attempt<unknown> | undefined;
    let abortReason: LossReason | undefined;

    /** Asks one VM; returns undefined if another one may be asked. */
    async function ask(
      vm: VmIdentity,
      remainingMs: number,
    ): Promise<TransportOutcome | undefined> {
      const { server, request, fingerprint, maySend } = asked;
      const headers = exchange.encodeHeaders(request, server, remainingMs);
      const attempt = proxyClient.send(vm, request, headers, {
        server: server.id,
        sender: options.ownId,
        remainingMs,
        fingerprint,
      }, maySend);
      current = attempt;
      const result = await attempt.result;
      const fields = {
        requestId: request.metadata.requestId,
        server: server.id,
        via: vm.id,
      };
      if (result.kind === "declined" || result.kind === "unreachable") {
        log.info({ ...fields, reason: result.reason }, `proxy ${result.kind}`);
        proxies.recordOutcome(vm, server.service, result.kind);
        return undefined;
      }
      proxies.recordOutcome(vm, server.service, "helped");
      if (result.kind !== "withheld") stats.proxied++;
      return { result, via: vm.id };
    }

    async function run(): Promise<TransportOutcome> {
      const { server, request, remainingMs } = asked;
      const { service } = server;
      const regions = request.homeRegions ?? [];
      const pauseKey = [service, ...regions].join(" ");
      const startedAtMs = clock.monotonicMs();
      const isPaused = startedAtMs < (pausedUntilMs.get(pauseKey) ?? 0);
      for (let asked = 0; asked < MAX_ASKED && !isPaused; asked++) {
        const tookMs = clock.monotonicMs() - startedAtMs;
        const leftMs = remainingMs - tookMs;
        if (leftMs < MIN_PROXY_MS || abortReason !== undefined) break;
        const vm = proxies.choose(service, regions);
        if (vm === undefined) break;
        const outcome = await ask(vm, leftMs);
        if (outcome !== undefined) return outcome;
        if (asked + 1 === MAX_ASKED) {
          pausedUntilMs.set(pauseKey, clock.monotonicMs() + ASK_PAUSE_MS);
        }
      }
      const isPathBroken = true;
      if (abortReason !== undefined && abortReason !== "timeout") {
        const detail = "not sent";
        const result = { kind: "lost", reason: abortReason, detail } as const;
        return { result, isPathBroken };
      }
      // Only in doubt: own connections may work after all.
      if (reach.assess(service) !== "lost" && abortReason === undefined) {
        const tookMs = clock.monotonicMs() - startedAtMs;
        const direct = sendDirect({
          ...asked,
          remainingMs: remainingMs - tookMs,
        });
        current = direct;
        return await direct.result;
      }
      stats.withoutPath++;
      return { result: { kind: "no_path" }, isPathBroken };
    }

    return {
      result: run(),
      abort(reason) {
        abortReason ??= reason;
        current?.abort(reason);
      },
    };
  }

  return {
    send: (attempt) =>
      isDirect(attempt.server) ? sendDirect(attempt) : sendProxied(attempt),
    getStats: () => ({ ...stats }),
  };
}
