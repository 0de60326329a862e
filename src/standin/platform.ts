/**
 * Stand-in for the platform: table, object store and VM list over HTTP, with
 * fault injection. For development only.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import type { Polka, Request } from "polka";
import type { Result } from "neverthrow";
import type { Transaction, VmState } from "../platform/types.ts";
import { type Clock, pause } from "../runtime/clock.ts";
import type { StepError } from "../runtime/errors.ts";
import {
  createRouter,
  type HttpServer,
  listen,
  readBody,
  readJson,
  sendJson,
  sendProblem,
} from "../runtime/http_server.ts";
import { MemoryTable } from "./memory_table.ts";

/** Injected faults. */
export interface PlatformFaults {
  /** Whether every call fails with status 503. */
  down: boolean;
  /** Delay of every response, in ms. */
  delayMs: number;
  /** Number of writes that take effect but get no response. */
  loseWriteAnswers: number;
  /** Delay until a state change shows in the VM list, in ms. */
  vmListLagMs: number;
}

/** Calls served so far. */
export interface PlatformCounts {
  reads: number;
  writes: number;
}

/** A running stand-in for the platform. */
export interface StandinPlatform {
  /** `host:port` of the listener. */
  address: string;
  table: MemoryTable;
  /** Mutable; changes take effect at the next call. */
  faults: PlatformFaults;
  counts: PlatformCounts;
  /** Sets the state of a VM, which the list shows after `vmListLagMs`. */
  setVmState(id: string, state: VmState): void;
  stop(): Promise<void>;
}

/** A change of a VM's state. */
interface VmChange {
  id: string;
  state: VmState;
  atMs: number;
}

/**
 * Starts a stand-in for the platform.
 *
 * @param address `host:port` to listen on.
 * @param clock The clock.
 * @returns The running stand-in.
 * @throws Where the address can't be listened on.
 */
export async function startStandinPlatform(
  address: string,
  clock: Clock,
): Promise<StandinPlatform> {
  const table = new MemoryTable();
  const objects = new Map<string, string>();
  const vmChanges: VmChange[] = [];
  const counts: PlatformCounts = { reads: 0, writes: 0 };
  const faults: PlatformFaults = {
    down: false,
    delayMs: 0,
    loseWriteAnswers: 0,
    vmListLagMs: 500,
  };

  async function applyFaults(
    request: Request,
    response: ServerResponse,
    next: () => void,
  ): Promise<void> {
    if (request.path.startsWith("/admin/")) return next();
    if (faults.delayMs > 0) {
      await pause(clock, faults.delayMs);
    }
    if (!faults.down) return next();
    sendProblem(response, {
      status: 503,
      title: "Out of service",
      detail: "The stand-in was told to be down",
    });
  }

  /**
   * Closes the connection without a response if `loseWriteAnswers` demands it.
   *
   * @returns Whether the response was dropped.
   */
  function dropAnswer(response: ServerResponse): boolean {
    if (faults.loseWriteAnswers <= 0) return false;
    faults.loseWriteAnswers -= 1;
    response.destroy();
    return true;
  }

  const router = createRouter();
  router.use(applyFaults);
  addTableRoutes(router, { table, counts, dropAnswer });
  addObjectRoutes(router, { objects, counts, dropAnswer });
  router.get("/v1/vms", (_request, response) => {
    counts.reads += 1;
    const visibleUntilMs = clock.monotonicMs() - faults.vmListLagMs;
    const states = new Map(
      vmChanges.filter(({ atMs }) => atMs <= visibleUntilMs)
        .map(({ id, state }) => [id, state]),
    );
    sendJson(response, [...states].map(([id, state]) => ({ id, state })));
  });
  router.put("/admin/faults", async (request, response) => {
    Object.assign(faults, await readJson(request));
    sendJson(response, faults);
  });
  router.get("/admin/counts", (_request, response) => {
    sendJson(response, counts);
  });
  router.put("/admin/vms/:id", async (request, response) => {
    const { state } = await readJson(request) as { state: VmState };
    setVmState(request.params.id, state);
    sendJson(response, { state });
  });

  function setVmState(id: string, state: VmState): void {
    vmChanges.push({ id, state, atMs: clock.monotonicMs() });
  }

  const server: HttpServer = await listen(router, address);
  return {
    address: server.address,
    table,
    faults,
    counts,
    setVmState,
    stop: () => server.close(),
  };
}

/** Dependencies of the table's routes. */
interface TableRouteOptions {
  table: MemoryTable;
  counts: PlatformCounts;
  dropAnswer(response: ServerResponse): boolean;
}

function addTableRoutes(
  router: Polka,
  { table, counts, dropAnswer }: TableRouteOptions,
): void {
  router.get("/v1/table/row", async (request, response) => {
    counts.reads += 1;
    sendResult(response, await table.read(String(request.query.key)));
  });
  router.get("/v1/table/rows", async (request, response) => {
    counts.reads += 1;
    sendResult(response, await table.list(String(request.query.prefix)));
  });
  router.get("/v1/table/changes", async (request, response) => {
    counts.reads += 1;
    const prefixes = String(request.query.prefixes).split(",");
    const after = Number(request.query.after);
    sendResult(response, await table.changes(after, prefixes));
  });
  router.post("/v1/table/transactions", async (request, response) => {
    counts.writes += 1;
    const transaction = await readJson(request) as Transaction;
    const commit = await table.transact(transaction);
    if (!dropAnswer(response)) sendResult(response, commit);
  });
}

function addObjectRoutes(
  router: Polka,
  { objects, counts, dropAnswer }: {
    objects: Map<string, string>;
    counts: PlatformCounts;
    dropAnswer(response: ServerResponse): boolean;
  },
): void {
  router.get("/v1/objects/:name", (request, response) => {
    counts.reads += 1;
    const text = objects.get(request.params.name);
    if (text === undefined) {
      return sendProblem(response, {
        status: 404,
        title: "Not found",
        detail: `No object is named "${request.params.name}"`,
      });
    }
    response.end(text);
  });
  router.put("/v1/objects/:name", async (request, response) => {
    counts.writes += 1;
    const body = await readBody(request, 16_777_216);
    objects.set(request.params.name, body.toString("utf8"));
    if (!dropAnswer(response)) sendJson(response, {});
  });
}

function sendResult<T>(
  response: ServerResponse,
  result: Result<T, StepError>,
): void {
  if (result.isOk()) return sendJson(response, result.value);
  sendProblem(response, {
    status: 500,
    title: "Internal error",
    detail: result.error.message,
  });
}
