/**
 * Fetches JSON from the processes of a deployment under load.
 *
 * @module
 */
import { createHttpClient } from "../runtime/http_client.ts";

const TIMEOUT_MS = 5_000;
/** Largest answer; the records of a long run have tens of megabytes. */
const MAX_ANSWER_BYTES = 268_435_456;
const CONNECTIONS_PER_PEER = 32;

const client = createHttpClient({
  maxResponseBytes: MAX_ANSWER_BYTES,
  maxTotalBytes: 2 * MAX_ANSWER_BYTES,
  connections: CONNECTIONS_PER_PEER,
  connectTimeoutMs: TIMEOUT_MS,
});

/**
 * @param url URL of the resource.
 * @param headers Headers of the request.
 * @returns The JSON value, not validated.
 * @throws On a transport error, an answer that is too large or no JSON, or
 *   without a whole answer within 5 s.
 */
export async function fetchJson<T>(
  url: string,
  headers: Record<string, string> = {},
): Promise<T> {
  const { origin, pathname, search } = new URL(url);
  const { body } = await client.request({
    origin,
    path: `${pathname}${search}`,
    headers,
    signal: AbortSignal.timeout(TIMEOUT_MS),
  });
  return JSON.parse(body.toString("utf8")) as T;
}
