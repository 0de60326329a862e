/**
 * Readiness, directory, metrics and state dump.
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

/** Paths and formats of a deployment. */
export interface ControlPaths {
  readiness: string;
  directory: string;
  /** Query parameter of the directory call that names the client's region. */
  regionParameter: string;
  /** @returns The body of a directory answer. */
  encodeDirectory: (answer: DirectoryAnswer) => unknown;
}

/** What the control addresses need. */
export interface ControlParts {
  settings: GatewaySettings;
  paths: ControlPaths;
  metrics: ServingMetrics;
  isReady: () => boolean;
  getDirectoryView: () => DirectoryView;
  dumpState: () => unknown;
}

const METRICS_PATH = "/metrics";
const STATE_PATH = "/state";

/**
 * Opens the control addresses.
 *
 * @param parts What they need.
 * @returns The listening servers.
 */
export function serveControl(parts: ControlParts): Promise<HttpServer[]> {
  const { settings, paths, metrics } = parts;
  const readiness = createRouter();
  readiness.get(paths.readiness, (_request, response) => {
    endEmpty(response, parts.isReady() ? 200 : 503);
  });
  const directory = createRouter();
  directory.get(paths.directory, (request, response) => {
    const region = getQuery(request, paths.regionParameter) ??
      settings.region;
    const answer = answerDirectory(parts.getDirectoryView(), region);
    if (answer === undefined) return endEmpty(response, 503);
    sendJson(response, paths.encodeDirectory(answer));
  });
  const figures = createRouter();
  figures.get(METRICS_PATH, async (_request, response) => {
    const text = await metrics.render();
    response.writeHead(200, { "content-type": metrics.contentType });
    response.end(text);
  });
  figures.get(STATE_PATH, (_request, response) => {
    sendJson(response, parts.dumpState());
  });
  return Promise.all([
    listen(readiness, formatAddress(settings.readinessAddress)),
    listen(directory, formatAddress(settings.directoryAddress)),
    listen(figures, formatAddress(settings.metricsAddress)),
  ]);
}

function endEmpty(response: ServerResponse, status: number): void {
  response.writeHead(status, { "content-length": 0 });
  response.end();
}
