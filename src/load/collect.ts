/**
 * Collects the records of backend servers, links and daemons.
 *
 * @module
 */
import process from "node:process";
import type { StatusAnswer } from "../operator/routes.ts";
import { KEY_HEADER } from "../runtime/access.ts";
import { type Clock, pause } from "../runtime/clock.ts";
import { StepError } from "../runtime/errors.ts";
import { fetchJson } from "./fetch_json.ts";
import type { BackendReport } from "../standin/backends.ts";
import type { LinkTrafficSample } from "../standin/network.ts";

/**
 * Fetches the request records of backend servers.
 *
 * @param adminAddresses Admin addresses of the stand-in backend processes.
 * @returns Reports of all servers whose process responds.
 */
export async function collectBackendReports(
  adminAddresses: readonly string[],
): Promise<BackendReport[]> {
  // A region that was killed during the run doesn't respond.
  const reports = await Promise.allSettled(
    adminAddresses.map((admin) =>
      fetchJson<BackendReport[]>(`http://${admin}/admin/records`)
    ),
  );
  return reports.flatMap((report) =>
    report.status === "fulfilled" ? report.value : []
  );
}

/**
 * Fetches the traffic of links.
 *
 * @param admin Admin address of the stand-in network.
 * @returns Bytes of each link in each second.
 * @throws On a transport error, or without a response within 5 s.
 */
export function collectLinkTraffic(
  admin: string,
): Promise<LinkTrafficSample[]> {
  return fetchJson<LinkTrafficSample[]>(`http://${admin}/admin/links`);
}

/** Polls which document versions daemons have applied. */
export interface ConfigWatch {
  /** @returns Times that a daemon reported an older version than before. */
  getRevertCount(): number;
  /**
   * Waits until a document version is applied. Daemons that don't respond are
   * skipped.
   *
   * @param name Name of the document.
   * @param number Number of the version.
   * @returns Elapsed time, in ms; infinite after 15 s.
   */
  waitUntilApplied(name: string, number: number): Promise<number>;
  /**
   * Waits until every daemon responds and sees every entry alive.
   *
   * @throws StepError of kind `refused` after 60 s.
   */
  waitUntilReady(): Promise<void>;
  /** Stops polling. */
  close(): void;
}

/** Dependencies of the configuration watch. */
export interface ConfigWatchOptions {
  /** Operator addresses of all daemons, as `host:port`. */
  operators: readonly string[];
  operatorKey: string;
  clock: Clock;
}

const POLL_MS = 25;
const STATUS_POLL_MS = 500;
const APPLY_TIMEOUT_MS = 15_000;
const START_TIMEOUT_MS = 60_000;
/** A slow start logs at this interval which daemons it waits for. */
const NOT_READY_LOG_INTERVAL_MS = 8_000;
/** Daemons listed by name in a message; the others are counted. */
const MAX_LISTED_DAEMONS = 3;

/**
 * Starts polling the status of all daemons.
 *
 * @param options Daemons, their key and the clock.
 * @returns The running watch; close it to stop polling.
 */
export function startConfigWatch(options: ConfigWatchOptions): ConfigWatch {
  const { operators, operatorKey, clock } = options;
  const versions = new Map<string, number>();
  let reverts = 0;

  async function read(operator: string): Promise<StatusAnswer | undefined> {
    try {
      const headers = { [KEY_HEADER]: operatorKey };
      const url = `http://${operator}/v1/status`;
      const status = await fetchJson<StatusAnswer>(url, headers);
      recordVersions(operator, status);
      return status;
    } catch {
      return undefined;
    }
  }

  function recordVersions(operator: string, { documents }: StatusAnswer): void {
    for (const { name, number } of documents) {
      const key = `${operator} ${name}`;
      const before = versions.get(key) ?? 0;
      if (number < before) reverts += 1;
      versions.set(key, Math.max(before, number));
    }
  }

  async function hasApplied(
    operator: string,
    name: string,
    number: number,
  ): Promise<boolean> {
    const status = await read(operator);
    if (status === undefined) return true;
    const found = status.documents.find((document) => document.name === name);
    return (found?.number ?? 0) >= number;
  }

  /**
   * Checks whether a daemon sees all entries alive. Each VM runs a steer and an
   * entry, so half of the daemons are entries.
   *
   * @returns Why the daemon isn't ready; undefined once it is.
   */
  async function findReadinessProblem(
    operator: string,
  ): Promise<string | undefined> {
    const status = await read(operator);
    if (status === undefined) return `${operator} doesn't answer`;
    const alive = status.members.filter(({ id, liveness }) =>
      id.endsWith("/entry") && liveness === "alive"
    );
    const entryCount = operators.length / 2;
    if (alive.length >= entryCount) return undefined;
    return `${operator} (${status.id}) sees ${alive.length} of ${entryCount} entries alive`;
  }

  const timer = clock.every(STATUS_POLL_MS, () => operators.forEach(read));
  return {
    getRevertCount: () => reverts,
    async waitUntilApplied(name, number) {
      const startMs = clock.monotonicMs();
      let waiting = [...operators];
      while (waiting.length > 0) {
        const states = await Promise.all(
          waiting.map((operator) => hasApplied(operator, name, number)),
        );
        waiting = waiting.filter((_, index) => !states[index]);
        const elapsedMs = clock.monotonicMs() - startMs;
        if (waiting.length === 0) return elapsedMs;
        if (elapsedMs > APPLY_TIMEOUT_MS) return Infinity;
        await pause(clock, POLL_MS);
      }
      return 0;
    },
    async waitUntilReady() {
      const startMs = clock.monotonicMs();
      let loggedAtMs = startMs;
      let problems: string[] = [];
      while (clock.monotonicMs() - startMs < START_TIMEOUT_MS) {
        const found = await Promise.all(operators.map(findReadinessProblem));
        problems = found.filter((problem) => problem !== undefined);
        if (problems.length === 0) return;
        if (clock.monotonicMs() - loggedAtMs >= NOT_READY_LOG_INTERVAL_MS) {
          loggedAtMs = clock.monotonicMs();
          process.stderr.write(
            `Waiting for daemons: ${describeProblems(problems)}\n`,
          );
        }
        await pause(clock, STATUS_POLL_MS);
      }
      throw new StepError(
        `Not every daemon came up: ${describeProblems(problems)}`,
        {
          step: "load.start",
          peer: "operators",
          kind: "refused",
        },
      );
    },
    close: () => timer.cancel(),
  };
}

/**
 * Lists daemons that don't respond first: most others only wait for these.
 */
function describeProblems(problems: readonly string[]): string {
  const rank = (problem: string) => problem.endsWith("answer") ? 0 : 1;
  const sorted = [...problems].sort((a, b) => rank(a) - rank(b));
  const listed = sorted.slice(0, MAX_LISTED_DAEMONS).join("; ");
  const rest = problems.length - MAX_LISTED_DAEMONS;
  return rest > 0 ? `${listed}; and ${rest} more` : listed;
}
