/**
 * Access control by a shared key, on peer links and operator endpoints.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { timingSafeEqual } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Request } from "polka";
import { sendProblem } from "./http_server.ts";

/** Name of the request header that carries the key. */
export const KEY_HEADER = "hawthorngw-key";

/**
 * Compares the key of a request in constant time.
 *
 * @param request The incoming request.
 * @param key The key from the settings.
 * @returns Whether the request carries the key.
 */
export function hasKey(request: IncomingMessage, key: string): boolean {
  const given = request.headers[KEY_HEADER];
  if (typeof given !== "string") return false;
  const actual = Buffer.from(given);
  const expected = Buffer.from(key);
  return actual.length === expected.length && timingSafeEqual(actual, expected);
}

/**
 * @param key The key from the settings.
 * @returns Middleware that rejects requests without the key with 401.
 */
export function requireKey(key: string) {
  return (request: Request, response: ServerResponse, next: () => void) => {
    if (hasKey(request, key)) return next();
    sendProblem(response, {
      status: 401,
      title: "Unauthorized",
      detail: `The header ${KEY_HEADER} is missing or wrong`,
    });
  };
}
