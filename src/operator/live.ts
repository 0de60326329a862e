/**
 * Commands that query running daemons.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { KEY_HEADER } from "../runtime/access.ts";
import { classifyTransportError, StepError } from "../runtime/errors.ts";
import { createHttpClient } from "../runtime/http_client.ts";
import { EXIT_CODES } from "../runtime/process.ts";
import { type CommandOptions, requireValue, usageError } from "./arguments.ts";
import type { CommandResult } from "./documents.ts";
import type { StatusAnswer } from "./routes.ts";

const REQUEST_TIMEOUT_MS = 3_000;
const WATCH_INTERVAL_MS = 200;
/** Largest answer, such as the dump of a process with many servers. */
const MAX_ANSWER_BYTES = 67_108_864;

async function fetchJson(
  url: string,
  headers: Record<string, string> = {},
): Promise<{ status: number; body: unknown }> {
  const client = createHttpClient({
    maxResponseBytes: MAX_ANSWER_BYTES,
    connections: 1,
    connectTimeoutMs: REQUEST_TIMEOUT_MS,
  });
  try {
    const { origin, pathname, search } = new URL(url);
    const { status, body } = await client.request({
      origin,
      path: `${pathname}${search}`,
      headers,
      signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
    });
    return { status, body: JSON.parse(body.toString("utf8")) };
  } catch (cause) {
    throw new StepError(`No answer from ${url}`, {
      step: "operator.ask",
      peer: url,
      kind: classifyTransportError(cause),
      cause,
    });
  } finally {
    await client.close();
  }
}

async function fetchOperatorJson(
  options: CommandOptions,
  address: string,
  path: string,
): Promise<unknown> {
  const key = requireValue(options.key, "--key or HAWTHORNGW_KEY");
  const url = `http://${address}${path}`;
  const { status, body } = await fetchJson(url, { [KEY_HEADER]: key });
  if (status === 200) return body;
  const { detail } = body as { detail?: string } | null ?? {};
  throw new StepError(detail ?? String(status), {
    step: "operator.ask",
    peer: address,
    kind: "refused",
  });
}

async function readStatus(options: CommandOptions): Promise<StatusAnswer> {
  const address = requireValue(
    options.operator,
    "--operator or HAWTHORNGW_OPERATOR",
  );
  return await fetchOperatorJson(
    options,
    address,
    "/v1/status",
  ) as StatusAnswer;
}

/**
 * `status`: documents in force, failure domains and members, in the local view of
 * one steer.
 *
 * @param options Operator address and key.
 * @returns The status.
 */
export async function statusCommand(
  options: CommandOptions,
): Promise<CommandResult> {
  const status = await readStatus(options);
  const lines = [
    `${status.id}: rows through version ${status.throughVersion}, table ` +
    (status.tableAgeMs === null
      ? "never read by this process"
      : `read ${status.tableAgeMs} ms ago`),
    ...status.documents.map(({ name, number }) =>
      `document ${name}: version ${number}`
    ),
    ...status.domains.map((domain) =>
      `failure domain ${domain.failureDomain}: ${domain.members} members, ` +
      `${domain.behindCount} behind`
    ),
    ...status.members.map(({ id, state, liveness }) =>
      `member ${id}: ${state}, ${liveness}`
    ),
  ];
  return { text: lines.join("\n"), json: status, exitCode: EXIT_CODES.ok };
}

/**
 * `watch NAME NUMBER`: waits until a version is in force at all daemons that
 * one steer has reports of.
 *
 * @param options The positionals are name and version number.
 * @returns The number of daemons that have applied it.
 */
export async function watchCommand(
  options: CommandOptions,
): Promise<CommandResult> {
  const name = requireValue(options.positionals[0], "NAME");
  const wanted = Number(requireValue(options.positionals[1], "NUMBER"));
  if (!Number.isInteger(wanted)) throw usageError("NUMBER is not a number");
  const endMs = Date.now() + options.timeoutS * 1_000;
  for (;;) {
    const progress = countInForce(await readStatus(options), name, wanted);
    const { have, all } = progress;
    const isDone = have === all && all > 0;
    if (isDone || Date.now() > endMs) {
      return {
        text: `${name} version ${wanted}: in force at ${have} of ${all}`,
        json: { name, number: wanted, ...progress },
        exitCode: isDone ? EXIT_CODES.ok : EXIT_CODES.failure,
      };
    }
    await sleep(WATCH_INTERVAL_MS);
  }
}

/**
 * Counts daemons that have applied a version. All daemons of a failure domain
 * count once its lowest version is new enough, else those that aren't behind.
 */
function countInForce(
  status: StatusAnswer,
  name: string,
  wanted: number,
): { have: number; all: number } {
  const document = status.documents.find((found) => found.name === name);
  let have = 0;
  let all = 0;
  for (const domain of status.domains) {
    all += domain.members;
    if (document === undefined || document.number < wanted) continue;
    const isUpToDate = domain.lowestVersion >= document.rowVersion;
    have += isUpToDate ? domain.members : domain.members - domain.behindCount;
  }
  return { have, all };
}

/**
 * `dump ADDRESS`: prints the complete state of one process.
 *
 * @param options The positional is its operator address.
 * @returns The state.
 */
export async function dumpCommand(
  options: CommandOptions,
): Promise<CommandResult> {
  const address = requireValue(options.positionals[0], "ADDRESS");
  const dump = await fetchOperatorJson(options, address, "/v1/dump");
  return {
    text: JSON.stringify(dump, null, 2),
    json: dump,
    exitCode: EXIT_CODES.ok,
  };
}

/**
 * `lookup SERVICE CLIENT_IP`: queries a steer as a caller would.
 *
 * @param options The positionals are service and client IP.
 * @returns The answer; failure if the steer refused the look-up.
 */
export async function lookupCommand(
  options: CommandOptions,
): Promise<CommandResult> {
  const service = requireValue(options.positionals[0], "SERVICE");
  const client = requireValue(options.positionals[1], "CLIENT_IP");
  const steer = requireValue(options.steer, "--steer or HAWTHORNGW_STEER");
  const path = `/v1/lookup/${encodeURIComponent(service)}?client=${client}`;
  const { status, body } = await fetchJson(`http://${steer}${path}`);
  return {
    text: JSON.stringify(body, null, 2),
    json: body,
    exitCode: status === 200 ? EXIT_CODES.ok : EXIT_CODES.failure,
  };
}
