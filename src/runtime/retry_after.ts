/**
 * Parses the `retry-after` header (RFC 9110, section 10.2.3).
 *
 * @module
 */

const DECIMAL_SECONDS = /^\d+(\.\d+)?$/;
/** Longer delays outlast the server instance or are a mistake. */
const MAX_DELAY_MS = 600_000;

/**
 * @param text Value of the header: seconds, with or without a fraction, or a
 *   date.
 * @param answeredAt Value of the `date` header of the same response. A date in
 *   `text` is relative to it, since the clock of the server may be wrong.
 * @returns The delay in ms, at most 10 minutes; undefined where the value is
 *   malformed or not in the future.
 */
export function parseRetryAfterMs(
  text: string,
  answeredAt?: string,
): number | undefined {
  const delayMs = DECIMAL_SECONDS.test(text)
    ? Number(text) * 1_000
    : Date.parse(text) - Date.parse(answeredAt ?? "");
  return delayMs > 0 ? Math.min(delayMs, MAX_DELAY_MS) : undefined;
}
