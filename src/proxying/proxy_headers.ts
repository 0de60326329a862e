/**
 * Headers between a VM and the one that sends an attempt to a backend server in
 * its place.
 *
 * @module
 */
import type { IncomingHttpHeaders } from "node:http";
import { LOSS_REASONS, type LossReason } from "../serving/types.ts";

/** Id of the server instance to send to; marks a request as one to proxy. */
const SERVER = "hawthorngw-proxy-server";
const SENDER = "hawthorngw-proxy-for";
const REMAINING_MS = "hawthorngw-proxy-remaining-ms";
const FINGERPRINT = "hawthorngw-proxy-fingerprint";
const RESULT = "hawthorngw-proxy-result";
const REASON = "hawthorngw-proxy-reason";
/** Why a request was withheld; VMs of earlier versions take it as declined. */
const WITHHELD = "hawthorngw-proxy-withheld";
const BACKOFF_MS = "hawthorngw-proxy-backoff-ms";
const PREFIX = "hawthorngw-proxy-";

/** An attempt that another VM asks for. */
export interface ProxyOrder {
  /** Id of the server instance. */
  server: string;
  /** The VM that asks. */
  sender: string;
  /** Time that is left for the attempt. */
  remainingMs: number;
  /** Fingerprint of the request, by which crashes of servers are recorded. */
  fingerprint: string;
}

/** Why a VM withholds a request from a server that it reaches. */
export const WITHHOLDING_REASONS = [
  /** The server announced its drain. */
  "draining",
  /** It asked for a backoff. */
  "backoff",
  /** By what this VM knows it is not listed, or must get no requests. */
  "not_usable",
  /** No connection to it became free in time. */
  "no_connection",
] as const;

/** A request that the proxying VM did not send, and why. */
export interface Withheld {
  kind: "withheld";
  reason: typeof WITHHOLDING_REASONS[number];
  /** Time until the server's backoff ends; absent without a backoff. */
  backoffMs?: number;
}

/** How the proxying VM ended an attempt. */
export type ProxyResult =
  /** The response is the server's. */
  | { kind: "response" }
  /** Not sent: that VM can't help. */
  | { kind: "declined"; reason: string }
  /** Not sent: the server must not get it now. */
  | Withheld
  /** Not sent: no connection to the server, though it reaches others. */
  | { kind: "not_sent"; reason: string }
  /** Sent, but without a usable answer. */
  | { kind: "lost"; reason: LossReason };

/** Status of responses that are not the server's. */
export const PROXY_FAILURE_STATUS = 502;
/**
 * Statuses with which a VM of an earlier version, or the parser, rejects the
 * request unread.
 */
const REJECTED_STATUSES = new Set([400, 404, 413, 431]);

/**
 * @param order The order.
 * @returns Its headers.
 */
export function encodeProxyOrder(order: ProxyOrder): Record<string, string> {
  return {
    [SERVER]: order.server,
    [SENDER]: order.sender,
    [REMAINING_MS]: String(Math.floor(order.remainingMs)),
    [FINGERPRINT]: order.fingerprint,
  };
}

/**
 * @param headers Headers of a request of another VM.
 * @returns The order; undefined if there is none, or it is incomplete.
 */
export function decodeProxyOrder(
  headers: IncomingHttpHeaders,
): ProxyOrder | undefined {
  const server = headers[SERVER];
  const sender = headers[SENDER];
  const fingerprint = headers[FINGERPRINT];
  const remainingMs = Number(headers[REMAINING_MS]);
  if (typeof server !== "string" || typeof sender !== "string") return;
  if (typeof fingerprint !== "string" || !(remainingMs > 0)) return;
  return { server, sender, remainingMs, fingerprint };
}

/** @returns Whether a request of another VM is an attempt to proxy. */
export function isProxyOrder(headers: IncomingHttpHeaders): boolean {
  return headers[SERVER] !== undefined;
}

/**
 * @param result The result.
 * @returns Its headers.
 */
export function encodeProxyResult(result: ProxyResult): Record<string, string> {
  if (result.kind === "response") return { [RESULT]: result.kind };
  if (result.kind === "withheld") {
    const { reason, backoffMs } = result;
    const headers = {
      [RESULT]: "declined",
      [REASON]: reason,
      [WITHHELD]: reason,
    };
    if (backoffMs === undefined) return headers;
    return { ...headers, [BACKOFF_MS]: String(Math.ceil(backoffMs)) };
  }
  // Reasons quote errors, whose characters a header may not allow.
  const reason = result.reason.replace(/[^\x20-\x7e]/g, "?");
  return { [RESULT]: result.kind, [REASON]: reason };
}

/**
 * @param status Status of the response.
 * @param headers Its headers.
 * @returns What the proxying VM says; a response of a VM that doesn't know
 *   proxying is a decline, or a loss where the request may have been sent on.
 */
export function decodeProxyResult(
  status: number,
  headers: IncomingHttpHeaders,
): ProxyResult {
  const kind = headers[RESULT];
  const reason = String(headers[REASON] ?? "");
  if (kind === "response") return { kind };
  const withheld = decodeWithheld(headers);
  if (kind === "declined" && withheld !== undefined) return withheld;
  if (kind === "declined" || kind === "not_sent") return { kind, reason };
  if (kind === undefined && REJECTED_STATUSES.has(status)) {
    return { kind: "declined", reason: `status ${status}` };
  }
  const known = LOSS_REASONS.find((known) => known === reason);
  return { kind: "lost", reason: known ?? "cut" };
}

function decodeWithheld(headers: IncomingHttpHeaders): Withheld | undefined {
  const reason = WITHHOLDING_REASONS.find((one) => one === headers[WITHHELD]);
  if (reason === undefined) return undefined;
  const backoffMs = Number(headers[BACKOFF_MS]);
  const backoff = backoffMs > 0 ? { backoffMs } : {};
  return { kind: "withheld", reason, ...backoff };
}

/** @returns The headers without those of this module. */
export function stripProxyHeaders(
  headers: IncomingHttpHeaders,
): IncomingHttpHeaders {
  return Object.fromEntries(
    Object.entries(headers).filter(([name]) => !name.startsWith(PREFIX)),
  );
}
