/**
 * The header that says when to come back (RFC 9110, 10.2.3).
 *
 * @module
 */

const DECIMAL_SECONDS = /^\d+(\.\d+)?$/;
/** A longer wait outlives the server or is a mistake. */
const MAX_WAIT_MS = 600_000;

/**
 * @param text The header: seconds, fractions among them, or a date.
 * @param answeredAt The answer's own date, from which a date counts: clocks of
 *   servers may be off.
 * @returns How long to wait; undefined where it says nothing that makes sense.
 */
export function parseRetryAfterMs(
  text: string,
  answeredAt?: string,
): number | undefined {
  const waitMs = DECIMAL_SECONDS.test(text)
    ? Number(text) * 1_000
    : Date.parse(text) - Date.parse(answeredAt ?? "");
  return waitMs > 0 ? Math.min(waitMs, MAX_WAIT_MS) : undefined;
}
