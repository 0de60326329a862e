/**
 * Checks beyond the schemas: unique and existing names, client ranges, and
 * settings that contradict each other.
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import { parseIpv4 } from "../runtime/address.ts";
import {
  type DocumentProblem,
  type DocumentSource,
  type Finding,
  locateProblems,
  parseDocument,
} from "./jsonc.ts";
import { mapRegions } from "./regions.ts";
import {
  type FleetDocument,
  fleetSchema,
  type ServiceDocument,
  serviceSchema,
} from "./schema.ts";

/** A valid document and the warnings about it. */
export interface CheckedDocument<T> {
  document: T;
  /** Contradictory settings; at run time the safer one takes precedence. */
  warnings: DocumentProblem[];
}

/**
 * Checks a service's document.
 *
 * @param source Its text and file name.
 * @param fleet The fleet that it will run in; absent: names of regions and
 * failure domains are not checked.
 * @returns The document with warnings, or all problems.
 */
export function checkService(
  source: DocumentSource,
  fleet?: FleetDocument,
): Result<CheckedDocument<ServiceDocument>, DocumentProblem[]> {
  return parseDocument(source, serviceSchema).andThen((document) => {
    const findings = [
      ...findDuplicates(document.backendServers, "backendServers"),
      ...findUnknownDrains(document),
      ...(fleet ? findUnknownLocations(document, fleet) : []),
    ];
    if (findings.length > 0) {
      return err(locateProblems(source, findings));
    }
    const warnings = locateProblems(source, findConflicts(document, fleet));
    return ok({ document, warnings });
  });
}

/**
 * Checks the fleet's document.
 *
 * @param source Its text and file name.
 * @returns The document, or all problems.
 */
export function checkFleet(
  source: DocumentSource,
): Result<CheckedDocument<FleetDocument>, DocumentProblem[]> {
  return parseDocument(source, fleetSchema).andThen((document) => {
    const findings = [
      ...findDuplicates(document.entryVms, "entryVms"),
      ...findUnknownFleetNames(document),
      ...findInvalidBlocks(document),
    ];
    if (findings.length > 0) {
      return err(locateProblems(source, findings));
    }
    return ok({ document, warnings: [] });
  });
}

function findDuplicates(items: { id: string }[], field: string): Finding[] {
  const seen = new Set<string>();
  return items.flatMap(({ id }, index) => {
    if (seen.has(id)) {
      return [{
        path: [field, index, "id"],
        problem: `"${id}" is used more than once; names must be unique`,
      }];
    }
    seen.add(id);
    return [];
  });
}

function findUnknownDrains(document: ServiceDocument): Finding[] {
  const knownNames = {
    backendServer: new Set(document.backendServers.map(({ id }) => id)),
    failureDomain: new Set(
      document.backendServers.map(({ failureDomain }) => failureDomain),
    ),
    region: new Set(document.regions),
  };
  return document.drains.flatMap((drain, index) =>
    knownNames[drain.scope].has(drain.name) ? [] : [{
      path: ["drains", index, "name"],
      problem: `No ${drain.scope} is named "${drain.name}"; allowed: ${
        [...knownNames[drain.scope]].join(", ")
      }`,
    }]
  );
}

function findUnknownLocations(
  document: ServiceDocument,
  fleet: FleetDocument,
): Finding[] {
  const regionNames = fleet.regions.map(({ name }) => name);
  const domainNames = fleet.regions.flatMap(({ failureDomains }) =>
    failureDomains
  );
  const unknownRegions = document.regions.flatMap((name, index) =>
    regionNames.includes(name) ? [] : [{
      path: ["regions", index],
      problem: `No region is named "${name}"; allowed: ${
        regionNames.join(", ")
      }`,
    }]
  );
  const unknownDomains = document.backendServers.flatMap((server, index) =>
    domainNames.includes(server.failureDomain) ? [] : [{
      path: ["backendServers", index, "failureDomain"],
      problem: `No failure domain is named "${server.failureDomain}"; ` +
        `allowed: ${domainNames.join(", ")}`,
    }]
  );
  return [...unknownRegions, ...unknownDomains];
}

/** Finds settings of a document that can't all be satisfied. */
function findConflicts(
  document: ServiceDocument,
  fleet: FleetDocument | undefined,
): Finding[] {
  const findings: Finding[] = [];
  const expectedPerS = Object.values(document.expectedRequestsPerS)
    .reduce((sum, rate) => sum + rate, 0);
  const neededSlots = expectedPerS * document.expectedServiceMs / 1_000;
  const availableSlots = countUndrainedSlots(document, fleet) *
    (1 - document.headroomShare);
  if (neededSlots > availableSlots) {
    findings.push({
      path: ["expectedRequestsPerS"],
      problem: `Needs ${neededSlots.toFixed(0)} slots, but capacity less ` +
        `drains and headroom is ${
          availableSlots.toFixed(0)
        }; the excess will be ` +
        "refused as not run",
    });
  }
  if (document.shiftCap.maxShare === 0 && document.drains.length > 0) {
    findings.push({
      path: ["shiftCap", "maxShare"],
      problem: "A cap of 0 prevents traffic from moving away from a drain; " +
        "it will be refused as not run",
    });
  }
  return findings;
}

function countUndrainedSlots(
  document: ServiceDocument,
  fleet: FleetDocument | undefined,
): number {
  const drained = new Set(document.drains.map(({ name }) => name));
  const regionOf = mapRegions(fleet ?? { regions: [] });
  return document.backendServers
    .filter(({ id, failureDomain }) =>
      !drained.has(id) && !drained.has(failureDomain) &&
      !drained.has(regionOf.get(failureDomain) ?? "") &&
      !document.excludedFailureDomains.includes(failureDomain)
    )
    .reduce((sum, { slots }) => sum + slots, 0);
}

function findUnknownFleetNames(document: FleetDocument): Finding[] {
  const regionNames = document.regions.map(({ name }) => name);
  const domainNames = document.regions.flatMap((region) =>
    region.failureDomains
  );
  const findings: Finding[] = [];
  document.entryVms.forEach((vm, index) => {
    if (domainNames.includes(vm.failureDomain)) return;
    findings.push({
      path: ["entryVms", index, "failureDomain"],
      problem: `No failure domain is named "${vm.failureDomain}"; allowed: ${
        domainNames.join(", ")
      }`,
    });
  });
  document.links.forEach((link, index) => {
    for (const end of ["from", "to"] as const) {
      if (regionNames.includes(link[end])) continue;
      findings.push({
        path: ["links", index, end],
        problem: `No region is named "${link[end]}"; allowed: ${
          regionNames.join(", ")
        }`,
      });
    }
  });
  document.clientBlocks.forEach((block, index) => {
    if (regionNames.includes(block.region)) return;
    findings.push({
      path: ["clientBlocks", index, "region"],
      problem: `No region is named "${block.region}"; allowed: ${
        regionNames.join(", ")
      }`,
    });
  });
  return findings;
}

function findInvalidBlocks(document: FleetDocument): Finding[] {
  return document.clientBlocks.flatMap(({ cidr, blockPrefixLength }, index) => {
    const [address, length] = cidr.split("/");
    const prefixLength = Number(length);
    const isValid = parseIpv4(address) !== undefined && prefixLength <= 32 &&
      prefixLength <= blockPrefixLength;
    return isValid ? [] : [{
      path: ["clientBlocks", index, "cidr"],
      problem: `"${cidr}" is not a range of /${blockPrefixLength} blocks; ` +
        `allowed: an IPv4 address and a prefix length up to ${blockPrefixLength}`,
    }];
  });
}
