/**
 * Computes the answer to a lookup. Pure: steers with the same input give the same
 * answer.
 *
 * @module
 */
import type {
  EntryVm,
  FleetDocument,
  ServiceDocument,
} from "../config/schema.ts";
import { formatKeyPrefix } from "../forwarding/keys.ts";
import type { Member } from "../membership/types.ts";
import { rankByRendezvous } from "../runtime/hash.ts";
import { getDelayMs } from "../steering/estimate.ts";
import { pickRegion, rankDomains } from "../steering/place.ts";
import type { RegionOf, WeightRow } from "../steering/types.ts";
import type { ClientBlock } from "./blocks.ts";
import type { EntryChoice, LookupAnswer } from "./types.ts";

/** Maximum number of entries in an answer. */
export const MAX_ENTRIES = 4;
/** Entries that use more than this share of their slots are ranked last. */
const SATURATED_UTILIZATION = 0.98;

/** Input of a lookup. */
export interface LookupInput {
  document: ServiceDocument;
  configNumber: number;
  fleet: FleetDocument;
  client: ClientBlock;
  /** Weights in force for the client's region. */
  row: WeightRow;
  planNumber: number;
  regionOf: RegionOf;
  /** Entries that look alive and are not leaving. */
  serving: readonly Member[];
  /**
   * @param entryId Member id of an entry.
   * @returns Share of its slots in use.
   */
  getUtilization(entryId: string): number;
  /** Wall-clock time, in ms since the epoch. */
  wallMs: number;
}

/**
 * @param input The client, and the documents, weights and entries in force.
 * @returns The answer, or undefined where no entry is available.
 */
export function answerLookup(input: LookupInput): LookupAnswer | undefined {
  const region = pickEntryRegion(input);
  if (region === undefined) return undefined;
  const members = rankEntries(input, region);
  const vms = getVms(input.fleet);
  const entries = members
    .flatMap((member) => {
      const vm = vms.get(member.vmId);
      return vm ? [{ member, vm }] : [];
    })
    .slice(0, MAX_ENTRIES)
    .map(({ member, vm }, index) => makeChoice(input, { member, vm, index }));
  if (entries.length === 0) return undefined;
  return {
    service: input.document.service,
    clientBlock: input.client.block,
    clientRegion: input.client.region,
    ttlMs: input.document.answerTtlMs,
    planNumber: input.planNumber,
    configNumber: input.configNumber,
    entries,
  };
}

/** Caches the VMs by id, for each fleet document. */
const vmsByFleet = new WeakMap<FleetDocument, Map<string, EntryVm>>();

function getVms(fleet: FleetDocument): Map<string, EntryVm> {
  const cached = vmsByFleet.get(fleet);
  if (cached) return cached;
  const vms = new Map(fleet.entryVms.map((vm) => [vm.id, vm]));
  vmsByFleet.set(fleet, vms);
  return vms;
}

/** @returns The client's region if it has entries, else the nearest with any. */
function pickEntryRegion(
  { client, serving, fleet }: LookupInput,
): string | undefined {
  const regions = [...new Set(serving.map((member) => member.region))];
  return regions.sort((a, b) =>
    getRankingDelayMs(fleet, client.region, a) -
      getRankingDelayMs(fleet, client.region, b) ||
    a.localeCompare(b)
  )[0];
}

/** @returns One-way delay in ms; -1 for the region itself, which ranks first. */
function getRankingDelayMs(
  fleet: FleetDocument,
  from: string,
  to: string,
): number {
  return from === to ? -1 : getDelayMs(fleet, from, to);
}

/**
 * Ranks the entries of a region: first those in the failure domain where the
 * request will run, last those that are saturated.
 */
function rankEntries(input: LookupInput, region: string): Member[] {
  const {
    document,
    client,
    row,
    regionOf,
    serving,
    getUtilization,
  } = input;
  const request = {
    service: document.service,
    block: client.block,
    row,
    regionOf,
  };
  const inRegion = serving.filter((member) => member.region === region);
  const domains = [...new Set(inRegion.map((member) => member.failureDomain))];
  const rankedDomains = pickRegion(request) === region
    ? rankDomains(request, domains)
    : rankByRendezvous(
      `entry ${client.block}`,
      domains.map((id) => ({ id, weight: 1 })),
    ).map(({ id }) => id);
  const members = rankedDomains.flatMap((domain) => {
    const candidates = inRegion
      .filter((member) => member.failureDomain === domain)
      .map((member) => ({ id: member.id, weight: 1, member }));
    return rankByRendezvous(`entry ${client.block}`, candidates)
      .map(({ member }) => member);
  });
  const isSaturated = (member: Member) =>
    getUtilization(member.id) > SATURATED_UTILIZATION;
  return [
    ...members.filter((member) => !isSaturated(member)),
    ...members.filter(isSaturated),
  ];
}

function makeChoice(
  { wallMs }: LookupInput,
  chosen: { member: Member; vm: EntryVm; index: number },
): EntryChoice {
  const { member, vm, index } = chosen;
  return {
    id: vm.id,
    address: vm.entry.caller,
    failureDomain: member.failureDomain,
    region: member.region,
    weight: 1 / (index + 1),
    keyPrefix: formatKeyPrefix(vm.id, member.incarnation, wallMs),
  };
}
