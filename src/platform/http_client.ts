/**
 * HTTP clients of the platform's services.
 *
 * @module
 */
import { err, ok } from "neverthrow";
import { classifyTransportError, StepError } from "../runtime/errors.ts";
import { createHttpClient, type HttpClient } from "../runtime/http_client.ts";
import {
  parseChangeSet,
  parseRow,
  parseRows,
  parseTransactionResult,
  parseVms,
} from "./messages.ts";
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
/** Largest response, and all responses that are being read. */
const MAX_RESPONSE_BYTES = 33_554_432;
const MAX_CONNECTIONS = 4;
const CONNECT_TIMEOUT_MS = CALL_TIMEOUT_MS;

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

interface PlatformCaller {
  /** Returns the response as it is. */
  send(call: PlatformCall): PlatformResult<PlatformResponse>;
  /**
   * Parses the response. One that is malformed gives an error of kind `unknown`.
   */
  query<T>(
    call: PlatformCall,
    parse: (text: string) => T | undefined,
  ): PlatformResult<T>;
}

/**
 * Creates functions that send requests to the platform. They return an error of
 * kind `refused` for a status of 500 or above, and else of the kind of the
 * transport error.
 */
function createPlatformCaller(
  baseUrl: string,
  client: HttpClient,
): PlatformCaller {
  async function send(
    { step, method, path, body }: PlatformCall,
  ): PlatformResult<PlatformResponse> {
    try {
      const url = new URL(`${baseUrl}${path}`);
      const response = await client.request({
        origin: url.origin,
        path: `${url.pathname}${url.search}`,
        method,
        body,
        headers: { "content-type": "application/json" },
        signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
      });
      const { status } = response;
      if (status < 500) {
        return ok({ status, text: response.body.toString("utf8") });
      }
      return err(
        new StepError(`Platform responded with status ${status}`, {
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
  }

  async function query<T>(
    call: PlatformCall,
    parse: (text: string) => T | undefined,
  ): PlatformResult<T> {
    const answer = await send(call);
    return answer.andThen(({ status, text }) => {
      const parsed = parse(text);
      if (parsed !== undefined) return ok(parsed);
      return err(
        new StepError(`Platform's response of status ${status} is malformed`, {
          step: call.step,
          peer: baseUrl,
          kind: "unknown",
        }),
      );
    });
  }

  return { send, query };
}

class HttpTableService extends TableService {
  readonly #platform: PlatformCaller;

  constructor(platform: PlatformCaller) {
    super();
    this.#platform = platform;
  }

  override async read(key: string): PlatformResult<Row> {
    return await this.#platform.query({
      step: "table.read",
      method: "GET",
      path: `/v1/table/row?key=${encodeURIComponent(key)}`,
    }, parseRow);
  }

  override async list(prefix: string): PlatformResult<Row[]> {
    return await this.#platform.query({
      step: "table.list",
      method: "GET",
      path: `/v1/table/rows?prefix=${encodeURIComponent(prefix)}`,
    }, parseRows);
  }

  override async changes(
    afterVersion: number,
    prefixes: readonly string[],
  ): PlatformResult<ChangeSet> {
    const prefixList = encodeURIComponent(prefixes.join(","));
    return await this.#platform.query({
      step: "table.changes",
      method: "GET",
      path: `/v1/table/changes?after=${afterVersion}&prefixes=${prefixList}`,
    }, parseChangeSet);
  }

  override async transact(
    transaction: Transaction,
  ): PlatformResult<TransactionResult> {
    return await this.#platform.query({
      step: "table.transact",
      method: "POST",
      path: "/v1/table/transactions",
      body: JSON.stringify(transaction),
    }, parseTransactionResult);
  }
}

class HttpObjectStore extends ObjectStore {
  readonly #platform: PlatformCaller;

  constructor(platform: PlatformCaller) {
    super();
    this.#platform = platform;
  }

  override async get(name: string): PlatformResult<string | undefined> {
    const answer = await this.#platform.send({
      step: "objects.get",
      method: "GET",
      path: `/v1/objects/${encodeURIComponent(name)}`,
    });
    return answer.map(({ status, text }) => status === 200 ? text : undefined);
  }

  override async put(name: string, text: string): PlatformResult<void> {
    const answer = await this.#platform.send({
      step: "objects.put",
      method: "PUT",
      path: `/v1/objects/${encodeURIComponent(name)}`,
      body: text,
    });
    return answer.map(() => undefined);
  }
}

class HttpVmList extends VmList {
  readonly #platform: PlatformCaller;

  constructor(platform: PlatformCaller) {
    super();
    this.#platform = platform;
  }

  override async list(): PlatformResult<Vm[]> {
    return await this.#platform.query({
      step: "vms.list",
      method: "GET",
      path: "/v1/vms",
    }, parseVms);
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
  const client = createHttpClient({
    maxResponseBytes: MAX_RESPONSE_BYTES,
    maxTotalBytes: MAX_RESPONSE_BYTES,
    connections: MAX_CONNECTIONS,
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
  });
  const call = createPlatformCaller(baseUrl, client);
  return {
    table: new HttpTableService(call),
    objects: new HttpObjectStore(call),
    vms: new HttpVmList(call),
    close: () => client.close(),
  };
}
