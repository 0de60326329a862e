/**
 * The lookup route for callers.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import type { Polka, Request } from "polka";
import type { ControlAgent } from "../control/types.ts";
import { parseIpv4 } from "../runtime/address.ts";
import type { Clock } from "../runtime/clock.ts";
import { sendJson, sendProblem } from "../runtime/http_server.ts";
import type { Metrics } from "../runtime/metrics.ts";
import type { Steering } from "../steering/steering.ts";
import { type BlockTable, createBlockTable } from "./blocks.ts";
import { answerLookup } from "./logic.ts";

/** Dependencies of the lookup route. */
export interface LookupRoutesOptions {
  agent: ControlAgent;
  steering: Steering;
  clock: Clock;
  metrics: Metrics;
}

/**
 * Creates a getter of the client block table. It rebuilds the table only when
 * another fleet document has come into force.
 *
 * @param agent The control plane.
 * @returns The getter.
 */
export function createBlockTableGetter(agent: ControlAgent): () => BlockTable {
  let rowVersion = -1;
  let table = createBlockTable([]);
  return () => {
    const fleet = agent.config().fleet;
    if (fleet && fleet.rowVersion !== rowVersion) {
      rowVersion = fleet.rowVersion;
      table = createBlockTable(fleet.document.clientBlocks);
    }
    return table;
  };
}

/**
 * Adds `GET /v1/lookup/:service?client=IP`. Without `client`, the address of the
 * connection is looked up. Errors: 400 for an invalid address, 404 for an unknown
 * service or client, 503 without a configuration or a live entry.
 *
 * @param router Router of the caller address.
 * @param options Dependencies.
 */
export function addLookupRoutes(
  router: Polka,
  options: LookupRoutesOptions,
): void {
  const { agent, steering, clock, metrics } = options;
  const getBlockTable = createBlockTableGetter(agent);

  function refuse(response: ServerResponse, status: number, detail: string) {
    sendProblem(response, {
      status,
      title: status === 503 ? "No entry available" : "Bad look-up",
      detail,
      outcome: "not_run",
      retryAfterS: status === 503 ? 1 : undefined,
    });
  }

  function getUtilization(entryId: string): number {
    return agent.loads().get(entryId)?.load.utilization ?? 0;
  }

  router.get("/v1/lookup/:service", (request: Request, response) => {
    const { service } = request.params;
    const config = agent.config();
    const inForce = config.services.get(service);
    if (config.fleet === undefined) {
      return refuse(response, 503, "No configuration is in force yet");
    }
    if (inForce === undefined) {
      return refuse(response, 404, `No service is named "${service}"`);
    }
    const text = request.query.client ?? request.socket.remoteAddress ?? "";
    const address = parseIpv4(String(text).replace(/^::ffff:/, ""));
    if (address === undefined) {
      return refuse(response, 400, `client="${text}" is not an IPv4 number`);
    }
    const client = getBlockTable().find(address);
    if (client === undefined) {
      return refuse(response, 404, `No client block holds ${text}`);
    }
    const answer = answerLookup({
      document: inForce.document,
      configNumber: inForce.number,
      fleet: config.fleet.document,
      client,
      row: steering.getWeightRow(service, client.region),
      planNumber: steering.planNumber(service),
      regionOf: config.regionOf,
      serving: agent.serving("entry")
        .filter((member) => !agent.leavingVms().has(member.vmId)),
      getUtilization,
      wallMs: clock.now().getTime(),
    });
    metrics.count("lookups", { service });
    if (answer === undefined) {
      return refuse(response, 503, "No entry VM is known to be alive");
    }
    sendJson(response, answer);
  });
}
