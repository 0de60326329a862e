/**
 * Checks the statuses of responses.
 *
 * @module
 */
import { MalformedResponse } from "./connection_errors.ts";

/** Least and greatest status that HTTP defines (RFC 9110, section 15). */
const MIN_STATUS = 100;
const MAX_STATUS = 599;

/**
 * @param status Status of a response, interim or final.
 * @returns The failure that the response stands for; undefined if HTTP defines
 *   the class of its status.
 */
export function findInvalidStatus(
  status: number,
): MalformedResponse | undefined {
  if (status >= MIN_STATUS && status <= MAX_STATUS) return undefined;
  return new MalformedResponse(`status ${status}`);
}
