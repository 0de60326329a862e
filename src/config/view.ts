/**
 * The configuration in force in a process: the newest valid version of each
 * document.
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
  /** Version number of the document. */
  number: number;
  /** Version of its row. */
  rowVersion: number;
  /** Time of the put, in ms since the Unix epoch. */
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

/** @returns A view without any document. */
export function createConfigView(): ConfigView {
  return { fleet: undefined, services: new Map(), regionOf: new Map() };
}

/**
 * Applies a changed row. A row that is older than the document in force, or
 * invalid, changes nothing: the last valid version stays in force.
 *
 * @param view Changed in place.
 * @param row The changed row.
 * @returns Whether a document came into force.
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

/**
 * Parses a row unless its document is older than the one in force: the row may be
 * newer all the same. After a restore of the table, numbers may have been given
 * out again; then the time of the put decides.
 */
function parseNewer(
  row: Row,
  inForce: InForce<unknown> | undefined,
): StoredDocument | undefined {
  if (row.version <= (inForce?.rowVersion ?? 0)) return undefined;
  const stored = parseStoredDocument(row);
  if (stored === undefined || inForce === undefined) return stored;
  const isRestored = getTableEpoch(row.version) >
    getTableEpoch(inForce.rowVersion);
  const isOlder = isRestored
    ? stored.atMs < inForce.atMs
    : stored.number < inForce.number;
  if (!isOlder) return stored;
  log.warn(
    `${row.key}: the table holds version ${stored.number}, older than version ` +
      `${inForce.number} in force; put the document again`,
    { step: "config.apply" },
  );
  return undefined;
}
