/**
 * Who may do what: a shared key on peer links and operator endpoints.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { timingSafeEqual } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Request } from "polka";
import { sendProblem } from "./http_server.ts";

/** Header that carries the key. */
export const KEY_HEADER = "hawthorngw-key";

/**
 * @param request The incoming request.
 * @param key The key from the settings.
 * @returns Whether the request carries the key.
 */
export function hasKey(request: IncomingMessage, key: string): boolean {
  const given = request.headers[KEY_HEADER];
  if (typeof given !== "string") return false;
  const left = Buffer.from(given);
  const right = Buffer.from(key);
  return left.length === right.length && timingSafeEqual(left, right);
}

/**
 * @param key The key from the settings.
 * @returns Middleware that refuses requests without the key.
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
