/**
 * HTTP clients of the platform's services.
 *
 * @module
 */
import { err, ok } from "neverthrow";
import { Agent, request } from "undici";
import { classifyTransportError, StepError } from "../runtime/errors.ts";
import {
  type ChangeSet,
  type Commit,
  ObjectStore,
  type Platform,
  type PlatformResult,
  type Row,
  TableService,
  type Transaction,
  type Vm,
  VmList,
} from "./types.ts";

/** How long a call may take before it counts as unanswered. */
export const CALL_TIMEOUT_MS = 1_000;

interface Call {
  step: string;
  method: "GET" | "PUT" | "POST";
  path: string;
  body?: string;
}

interface CallAnswer {
  status: number;
  text: string;
}

type CallPlatform = (call: Call) => PlatformResult<CallAnswer>;

function createCaller(baseUrl: string, agent: Agent): CallPlatform {
  return async ({ step, method, path, body }) => {
    try {
      const response = await request(`${baseUrl}${path}`, {
        dispatcher: agent,
        method,
        body,
        headers: { "content-type": "application/json" },
        signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
      });
      const text = await response.body.text();
      if (response.statusCode < 500) {
        return ok({ status: response.statusCode, text });
      }
      return err(
        new StepError(`Platform answered ${response.statusCode}`, {
          step,
          peer: baseUrl,
          kind: "refused",
        }),
      );
    } catch (cause) {
      return err(
        new StepError("Platform did not answer", {
          step,
          peer: baseUrl,
          kind: classifyTransportError(cause),
          cause,
        }),
      );
    }
  };
}

class HttpTableService extends TableService {
  readonly #call: CallPlatform;

  constructor(call: CallPlatform) {
    super();
    this.#call = call;
  }

  override async read(key: string): PlatformResult<Row> {
    const answer = await this.#call({
      step: "table.read",
      method: "GET",
      path: `/v1/table/row?key=${encodeURIComponent(key)}`,
    });
    return answer.map(({ text }) => JSON.parse(text) as Row);
  }

  override async list(prefix: string): PlatformResult<Row[]> {
    const answer = await this.#call({
      step: "table.list",
      method: "GET",
      path: `/v1/table/rows?prefix=${encodeURIComponent(prefix)}`,
    });
    return answer.map(({ text }) => JSON.parse(text) as Row[]);
  }

  override async changes(
    afterVersion: number,
    prefixes: readonly string[],
  ): PlatformResult<ChangeSet> {
    const wanted = encodeURIComponent(prefixes.join(","));
    const answer = await this.#call({
      step: "table.changes",
      method: "GET",
      path: `/v1/table/changes?after=${afterVersion}&prefixes=${wanted}`,
    });
    return answer.map(({ text }) => JSON.parse(text) as ChangeSet);
  }

  override async transact(transaction: Transaction): PlatformResult<Commit> {
    const answer = await this.#call({
      step: "table.transact",
      method: "POST",
      path: "/v1/table/transactions",
      body: JSON.stringify(transaction),
    });
    return answer.map(({ text }) => JSON.parse(text) as Commit);
  }
}

class HttpObjectStore extends ObjectStore {
  readonly #call: CallPlatform;

  constructor(call: CallPlatform) {
    super();
    this.#call = call;
  }

  override async get(name: string): PlatformResult<string | undefined> {
    const answer = await this.#call({
      step: "objects.get",
      method: "GET",
      path: `/v1/objects/${encodeURIComponent(name)}`,
    });
    return answer.map(({ status, text }) => status === 200 ? text : undefined);
  }

  override async put(name: string, text: string): PlatformResult<void> {
    const answer = await this.#call({
      step: "objects.put",
      method: "PUT",
      path: `/v1/objects/${encodeURIComponent(name)}`,
      body: text,
    });
    return answer.map(() => undefined);
  }
}

class HttpVmList extends VmList {
  readonly #call: CallPlatform;

  constructor(call: CallPlatform) {
    super();
    this.#call = call;
  }

  override async list(): PlatformResult<Vm[]> {
    const answer = await this.#call({
      step: "vms.list",
      method: "GET",
      path: "/v1/vms",
    });
    return answer.map(({ text }) => JSON.parse(text) as Vm[]);
  }
}

/** The platform's clients and their connections. */
export interface PlatformClient extends Platform {
  /** Closes the connections. */
  close(): Promise<void>;
}

/**
 * @param baseUrl Where the platform listens, such as `http://127.0.0.1:7000`.
 * @returns Clients of its three services.
 */
export function createPlatformClient(baseUrl: string): PlatformClient {
  const agent = new Agent({ connections: 4, pipelining: 1 });
  const call = createCaller(baseUrl, agent);
  return {
    table: new HttpTableService(call),
    objects: new HttpObjectStore(call),
    vms: new HttpVmList(call),
    close: () => agent.destroy(),
  };
}
