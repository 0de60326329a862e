/**
 * Collects what backend servers, links and daemons themselves recorded.
 *
 * @module
 */
import process from "node:process";
import { request } from "undici";
import type { StatusAnswer } from "../operator/routes.ts";
import { KEY_HEADER } from "../runtime/access.ts";
import { type Clock, pause } from "../runtime/clock.ts";
import { StepError } from "../runtime/errors.ts";
import type { BackendReport } from "../standin/backends.ts";
import type { LinkSecond } from "../standin/network.ts";

const TIMEOUT_MS = 5_000;

async function getJson<T>(
  url: string,
  headers: Record<string, string> = {},
): Promise<T> {
  const signal = AbortSignal.timeout(TIMEOUT_MS);
  const response = await request(url, { headers, signal });
  return await response.body.json() as T;
}

/**
 * @param admins Admin addresses of the stand-in backend processes.
 * @returns Reports of all servers.
 */
export async function collectBackends(
  admins: readonly string[],
): Promise<BackendReport[]> {
  // Those of a region that was killed during the run can't be asked.
  const reports = await Promise.allSettled(
    admins.map((admin) =>
      getJson<BackendReport[]>(`http://${admin}/admin/records`)
    ),
  );
  return reports.flatMap((report) =>
    report.status === "fulfilled" ? report.value : []
  );
}

/**
 * @param admin Admin address of the stand-in network.
 * @returns Bytes of each link in each second.
 */
export function collectLinks(admin: string): Promise<LinkSecond[]> {
  return getJson<LinkSecond[]>(`http://${admin}/admin/links`);
}

/** Watches which versions daemons have in force. */
export interface ConfigWatch {
  /** Times that a version in force fell. */
  reverts(): number;
  /**
   * @param name A document's name.
   * @param number A version's number.
   * @returns Time until every daemon that answers has it, in ms.
   */
  waitFor(name: string, number: number): Promise<number>;
  /** Resolves once every daemon answers and sees every entry alive. */
  waitUntilUp(): Promise<void>;
  close(): void;
}

/** What the watch needs. */
export interface ConfigWatchOptions {
  operators: readonly string[];
  operatorKey: string;
  clock: Clock;
}

const POLL_MS = 25;
const CALM_POLL_MS = 500;
const WAIT_LIMIT_MS = 15_000;
const START_LIMIT_MS = 60_000;
/** A start that takes longer than this says what it waits for. */
const TELL_LACKS_MS = 8_000;
/** Daemons that are named; the others are counted. */
const MAX_TOLD_LACKS = 3;

/**
 * Starts watching.
 *
 * @param options See there.
 * @returns The running watch.
 */
export function startConfigWatch(options: ConfigWatchOptions): ConfigWatch {
  const { operators, operatorKey, clock } = options;
  const seen = new Map<string, number>();
  let reverts = 0;

  async function read(operator: string): Promise<StatusAnswer | undefined> {
    try {
      const headers = { [KEY_HEADER]: operatorKey };
      const url = `http://${operator}/v1/status`;
      const status = await getJson<StatusAnswer>(url, headers);
      note(operator, status);
      return status;
    } catch {
      return undefined;
    }
  }

  function note(operator: string, { documents }: StatusAnswer): void {
    for (const { name, number } of documents) {
      const key = `${operator} ${name}`;
      const before = seen.get(key) ?? 0;
      if (number < before) reverts += 1;
      seen.set(key, Math.max(before, number));
    }
  }

  async function hasInForce(
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
   * Half of the daemons are entries.
   *
   * @returns What a daemon lacks; undefined once it sees all entries alive.
   */
  async function findLack(operator: string): Promise<string | undefined> {
    const status = await read(operator);
    if (status === undefined) return `${operator} doesn't answer`;
    const alive = status.members.filter(({ id, liveness }) =>
      id.endsWith("/entry") && liveness === "alive"
    );
    const wanted = operators.length / 2;
    if (alive.length >= wanted) return undefined;
    return `${operator} (${status.id}) sees ${alive.length} of ${wanted} entries alive`;
  }

  const timer = clock.every(CALM_POLL_MS, () => operators.forEach(read));
  return {
    reverts: () => reverts,
    async waitFor(name, number) {
      const startMs = clock.monotonicMs();
      let waiting = [...operators];
      while (waiting.length > 0) {
        const states = await Promise.all(
          waiting.map((operator) => hasInForce(operator, name, number)),
        );
        waiting = waiting.filter((_, index) => !states[index]);
        const elapsedMs = clock.monotonicMs() - startMs;
        if (waiting.length === 0) return elapsedMs;
        if (elapsedMs > WAIT_LIMIT_MS) return Infinity;
        await pause(clock, POLL_MS);
      }
      return 0;
    },
    async waitUntilUp() {
      const startMs = clock.monotonicMs();
      let toldAtMs = startMs;
      let lacks: string[] = [];
      while (clock.monotonicMs() - startMs < START_LIMIT_MS) {
        const found = await Promise.all(operators.map(findLack));
        lacks = found.filter((lack) => lack !== undefined);
        if (lacks.length === 0) return;
        if (clock.monotonicMs() - toldAtMs >= TELL_LACKS_MS) {
          toldAtMs = clock.monotonicMs();
          process.stderr.write(
            `Waiting for daemons: ${describeLacks(lacks)}\n`,
          );
        }
        await pause(clock, CALM_POLL_MS);
      }
      throw new StepError(`Not every daemon came up: ${describeLacks(lacks)}`, {
        step: "load.start",
        peer: "operators",
        kind: "refused",
      });
    },
    close: () => timer.cancel(),
  };
}

/** Those that don't answer first: the others mostly lack just them. */
function describeLacks(lacks: readonly string[]): string {
  const isSilent = (lack: string) => lack.endsWith("answer") ? 0 : 1;
  const sorted = [...lacks].sort((a, b) => isSilent(a) - isSilent(b));
  const told = sorted.slice(0, MAX_TOLD_LACKS).join("; ");
  const rest = lacks.length - MAX_TOLD_LACKS;
  return rest > 0 ? `${told}; and ${rest} more` : told;
}
