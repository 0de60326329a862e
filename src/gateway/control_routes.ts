/**
 * HTTP endpoints for readiness, the directory, metrics and the state dump.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import {
  answerDirectory,
  type DirectoryAnswer,
  type DirectoryView,
} from "../directory/directory.ts";
import { formatAddress } from "../runtime/address.ts";
import {
  createRouter,
  getQuery,
  type HttpServer,
  listen,
  sendJson,
} from "../runtime/http_server.ts";
import type { ServingMetrics } from "../telemetry/metrics.ts";
import type { GatewaySettings } from "./settings.ts";

/** Paths and formats that the deployment defines. */
export interface ControlPaths {
  readiness: string;
  directory: string;
  /** Query parameter of directory requests with the region of the client. */
  regionParameter: string;
  /** Query parameter of directory requests with the client's failure domain. */
  failureDomainParameter: string;
  /**
   * @param answer The answer.
   * @returns The body of the response, to be sent as JSON.
   */
  encodeDirectory: (answer: DirectoryAnswer) => unknown;
}

/** Dependencies of the control servers. */
export interface ControlOptions {
  settings: GatewaySettings;
  paths: ControlPaths;
  metrics: ServingMetrics;
  /** @returns Whether this VM serves requests. */
  isReady: () => boolean;
  getDirectoryView: () => DirectoryView;
  /** @returns The state as plain values. */
  dumpState: () => unknown;
}

const METRICS_PATH = "/metrics";
const STATE_PATH = "/state";

/**
 * Starts the control servers.
 *
 * @param options Dependencies of the servers.
 * @returns The listening servers.
 * @throws StepError of kind `invalid` where an address can't be bound.
 */
export function startControlServers(
  options: ControlOptions,
): Promise<HttpServer[]> {
  const { settings, paths, metrics } = options;
  const readinessRouter = createRouter();
  readinessRouter.get(paths.readiness, (_request, response) => {
    sendEmpty(response, options.isReady() ? 200 : 503);
  });
  const directoryRouter = createRouter();
  directoryRouter.get(paths.directory, (request, response) => {
    const region = getQuery(request, paths.regionParameter) ??
      settings.region;
    const answer = answerDirectory(options.getDirectoryView(), {
      region,
      failureDomain: getQuery(request, paths.failureDomainParameter),
      key: request.socket.remoteAddress ?? "",
    });
    if (answer === undefined) return sendEmpty(response, 503);
    sendJson(response, paths.encodeDirectory(answer));
  });
  const metricsRouter = createRouter();
  metricsRouter.get(METRICS_PATH, async (_request, response) => {
    const text = await metrics.render();
    response.writeHead(200, { "content-type": metrics.contentType });
    response.end(text);
  });
  metricsRouter.get(STATE_PATH, (_request, response) => {
    sendJson(response, options.dumpState());
  });
  return Promise.all([
    listen(readinessRouter, formatAddress(settings.readinessAddress)),
    listen(directoryRouter, formatAddress(settings.directoryAddress)),
    listen(metricsRouter, formatAddress(settings.metricsAddress)),
  ]);
}

function sendEmpty(response: ServerResponse, status: number): void {
  response.writeHead(status, { "content-length": 0 });
  response.end();
}
