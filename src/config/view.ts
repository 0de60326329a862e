/**
 * The configuration in force in a process: the newest acceptable version of
 * each document.
 *
 * @module
 */
import { getTableEpoch, type Row } from "../platform/types.ts";
import { createLogger } from "../runtime/logger.ts";
import { checkFleet, checkService } from "./check.ts";
import { formatProblem } from "./jsonc.ts";
import { mapRegions } from "./regions.ts";
import {
  FLEET_KEY,
  parseServiceKey,
  parseStoredDocument,
  type StoredDocument,
} from "./rows.ts";
import type { DomainName, FleetDocument, ServiceDocument } from "./schema.ts";

const log = createLogger("config");

/** A document in force. */
export interface InForce<T> {
  document: T;
  /** Number of the document's version. */
  number: number;
  /** Version of its row. */
  rowVersion: number;
  /** When its author put it, in ms since the epoch of time. */
  atMs: number;
}

/** The configuration in force. */
export interface ConfigView {
  fleet: InForce<FleetDocument> | undefined;
  /** By service name. */
  services: Map<string, InForce<ServiceDocument>>;
  /** Region of each failure domain. */
  regionOf: Map<DomainName, string>;
}

/** @returns A view with nothing in force. */
export function createConfigView(): ConfigView {
  return { fleet: undefined, services: new Map(), regionOf: new Map() };
}

/**
 * Brings a changed row into force. A row that is older than what is in force,
 * or not acceptable, changes nothing: the last good version stays.
 *
 * @param view Changed in place.
 * @param row The changed row.
 * @returns Whether anything came into force.
 */
export function applyConfigRow(view: ConfigView, row: Row): boolean {
  if (row.key === FLEET_KEY) return applyFleetRow(view, row);
  const service = parseServiceKey(row.key);
  if (service === undefined) return false;
  return applyServiceRow(view, service, row);
}

function applyFleetRow(view: ConfigView, row: Row): boolean {
  const stored = parseNewer(row, view.fleet);
  if (stored === undefined) return false;
  const checked = checkFleet({ file: row.key, text: stored.text });
  if (checked.isErr()) {
    log.error(formatProblem(checked.error[0]), { step: "config.apply" });
    return false;
  }
  const { document } = checked.value;
  const { number, atMs } = stored;
  view.fleet = { document, number, rowVersion: row.version, atMs };
  view.regionOf = mapRegions(document);
  return true;
}

function applyServiceRow(
  view: ConfigView,
  service: string,
  row: Row,
): boolean {
  const stored = parseNewer(row, view.services.get(service));
  if (stored === undefined) return false;
  const checked = checkService({ file: row.key, text: stored.text });
  if (checked.isErr()) {
    log.error(formatProblem(checked.error[0]), { step: "config.apply" });
    return false;
  }
  view.services.set(service, {
    document: checked.value.document,
    number: stored.number,
    rowVersion: row.version,
    atMs: stored.atMs,
  });
  return true;
}

function parseNewer(
  row: Row,
  inForce: InForce<unknown> | undefined,
): StoredDocument | undefined {
  if (row.version <= (inForce?.rowVersion ?? 0)) return undefined;
  const stored = parseStoredDocument(row);
  if (stored === undefined || inForce === undefined) return stored;
  const isRestored = getTableEpoch(row.version) >
    getTableEpoch(inForce.rowVersion);
  if (!isRestored || stored.atMs >= inForce.atMs) return stored;
  log.warn(
    `${row.key}: the restored table holds version ${stored.number}, older ` +
      `than version ${inForce.number} in force; put the document again`,
    { step: "config.apply" },
  );
  return undefined;
}
