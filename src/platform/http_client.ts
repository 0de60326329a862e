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
  ObjectStore,
  type Platform,
  type PlatformResult,
  type Row,
  TableService,
  type Transaction,
  type TransactionResult,
  type Vm,
  VmList,
} from "./types.ts";

/**
 * Time after which a call without a response fails with an error of kind
 * `unknown`.
 */
export const CALL_TIMEOUT_MS = 1_000;

/** An HTTP request to the platform. */
interface PlatformCall {
  /** Step that an error names. */
  step: string;
  method: "GET" | "PUT" | "POST";
  path: string;
  body?: string;
}

/** A response with a status below 500. */
interface PlatformResponse {
  status: number;
  text: string;
}

type CallPlatform = (call: PlatformCall) => PlatformResult<PlatformResponse>;

/**
 * Creates a function that sends requests to the platform. It returns an error
 * of kind `refused` for a status of 500 or above, and else of the kind of the
 * transport error.
 */
function createPlatformCaller(baseUrl: string, agent: Agent): CallPlatform {
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
        new StepError(`Platform responded with status ${response.statusCode}`, {
          step,
          peer: baseUrl,
          kind: "refused",
        }),
      );
    } catch (cause) {
      return err(
        new StepError("Platform did not respond", {
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
    const prefixList = encodeURIComponent(prefixes.join(","));
    const answer = await this.#call({
      step: "table.changes",
      method: "GET",
      path: `/v1/table/changes?after=${afterVersion}&prefixes=${prefixList}`,
    });
    return answer.map(({ text }) => JSON.parse(text) as ChangeSet);
  }

  override async transact(
    transaction: Transaction,
  ): PlatformResult<TransactionResult> {
    const answer = await this.#call({
      step: "table.transact",
      method: "POST",
      path: "/v1/table/transactions",
      body: JSON.stringify(transaction),
    });
    return answer.map(({ text }) => JSON.parse(text) as TransactionResult);
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

/** Clients of the platform's services, and their connections. */
export interface PlatformClient extends Platform {
  /** Closes the connections. */
  close(): Promise<void>;
}

/**
 * Creates HTTP clients of the platform, which share at most four connections. A
 * call without a response within 1 s fails.
 *
 * @param baseUrl URL of the platform, such as `http://127.0.0.1:7000`.
 * @returns Clients of the three services; close them after use.
 */
export function createPlatformClient(baseUrl: string): PlatformClient {
  const agent = new Agent({ connections: 4, pipelining: 1 });
  const call = createPlatformCaller(baseUrl, agent);
  return {
    table: new HttpTableService(call),
    objects: new HttpObjectStore(call),
    vms: new HttpVmList(call),
    close: () => agent.destroy(),
  };
}
