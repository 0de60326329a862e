/**
 * Makes the settings and documents of a deployment on loopback. Every VM and
 * backend server has an address of its own in 127.0.0.0/8, so ports can be the
 * same everywhere, as on real VMs. Pure.
 *
 * @module
 */
import { mapRegions } from "../config/regions.ts";
import type { FleetDocument, ServiceDocument } from "../config/schema.ts";
import type { RelayRoute } from "../standin/network.ts";
import type {
  Deployment,
  DeploymentFiles,
  DeploymentProcess,
  LoadSettings,
} from "./types.ts";

/** Choices of one run. */
export interface GenerateOptions {
  /** Second number of all addresses: 127.`base`.x.y. */
  base: number;
  requestsPerS?: number;
  /** Entry VMs of each failure domain, unless the deployment says. */
  vmsPerDomain?: number;
  durationS: number;
  reportFile?: string;
  htmlFile?: string;
  seed: number;
}

const PEER_KEY = "loopback-peer-key-0001";
const OPERATOR_KEY = "loopback-operator-key-0001";
/** Share of the measured demand by which documents state expectations. */
const EXPECTED_FACTOR = 1.2;

/** VMs of a failure domain are lettered from `a`. */
const FIRST_LETTER = 97;

interface PlacedVm {
  id: string;
  region: string;
  regionIndex: number;
  failureDomain: string;
  host: string;
  index: number;
}

interface Plan {
  deployment: Deployment;
  options: GenerateOptions;
  vms: PlacedVm[];
}

/**
 * @param deployment The deployment.
 * @param options Choices of the run.
 * @returns Everything that runs.
 */
export function generateDeployment(
  deployment: Deployment,
  options: GenerateOptions,
): DeploymentFiles {
  const plan = { deployment, options, vms: placeVms(deployment, options) };
  const fleet = makeFleet(plan);
  const services = deployment.services.map((_, index) =>
    makeServiceDocument(plan, index)
  );
  return {
    processes: [
      {
        name: "platform",
        binary: "standin",
        settings: { kind: "platform", address: platformAddress(options) },
      },
      makeNetwork(plan),
      ...makeBackendProcesses(plan, services),
      ...plan.vms.flatMap((vm) => makeDaemons(plan, vm)),
    ],
    documents: [
      { name: "fleet", document: fleet },
      ...services.map((document) => ({ name: document.service, document })),
    ],
    load: makeLoad(plan, services),
  };
}

function placeVms(
  deployment: Deployment,
  { base, vmsPerDomain }: GenerateOptions,
): PlacedVm[] {
  const vms: PlacedVm[] = [];
  deployment.regions.forEach((region, regionIndex) => {
    for (const domain of region.failureDomains) {
      const vmCount = vmsPerDomain ?? domain.entryVms;
      for (let count = 0; count < vmCount; count++) {
        const index = vms.length;
        vms.push({
          id: `${domain.name}-${String.fromCharCode(FIRST_LETTER + count)}`,
          region: region.name,
          regionIndex,
          failureDomain: domain.name,
          host: `127.${base}.2.${index + 1}`,
          index,
        });
      }
    }
  });
  return vms;
}

function platformAddress({ base }: GenerateOptions): string {
  return `127.${base}.0.1:7000`;
}

function endpoints(host: string, port: number) {
  return {
    caller: `${host}:${port}`,
    peer: `${host}:${port + 1}`,
    operator: `${host}:${port + 2}`,
  };
}

function steerOf(vm: PlacedVm) {
  return endpoints(vm.host, 7100);
}

function entryOf(vm: PlacedVm) {
  return endpoints(vm.host, 7200);
}

function makeFleet({ deployment, vms }: Plan): FleetDocument {
  const { regions } = deployment;
  return {
    regions: listRegions(deployment),
    entryVms: vms.map((vm) => ({
      id: vm.id,
      failureDomain: vm.failureDomain,
      steer: steerOf(vm),
      entry: entryOf(vm),
    })),
    withinRegionOneWayMs: deployment.withinRegionOneWayMs,
    links: regions.flatMap((from) =>
      regions.filter((to) => to !== from).map((to) => ({
        from: from.name,
        to: to.name,
        oneWayMs: deployment.betweenRegionsOneWayMs,
        limitBytesPerS: deployment.linkLimitBytesPerS,
      }))
    ),
    clientBlocks: regions.map(({ name, clientPrefix }) => ({
      cidr: `${clientPrefix}.0.0/16`,
      blockPrefixLength: 24,
      region: name,
    })),
  };
}

function listRegions({ regions }: Deployment): FleetDocument["regions"] {
  return regions.map(({ name, failureDomains }) => ({
    name,
    failureDomains: failureDomains.map((domain) => domain.name),
  }));
}

function listDomains(deployment: Deployment): string[] {
  return listRegions(deployment).flatMap((region) => region.failureDomains);
}

function makeServiceDocument(
  { deployment, options }: Plan,
  index: number,
): ServiceDocument {
  const made = deployment.services[index];
  const domains = listDomains(deployment);
  const requestsPerS = (options.requestsPerS ?? deployment.requestsPerS) *
    made.share * EXPECTED_FACTOR;
  return {
    ...made.document,
    regions: deployment.regions.map(({ name }) => name),
    backendServers: Array.from({ length: made.backendServers }, (_, number) => {
      const domain = number % domains.length;
      const last = index * 40 + Math.floor(number / domains.length) + 1;
      return {
        id: `${made.document.service}-${String(number + 1).padStart(2, "0")}`,
        failureDomain: domains[domain],
        address: `127.${options.base}.${20 + domain}.${last}:8000`,
        slots: made.slots,
        connections: made.connections,
      };
    }),
    expectedServiceMs: made.serviceMs,
    expectedRequestsPerS: Object.fromEntries(
      deployment.regions.map(({ name, demandShare }) => [
        name,
        Math.ceil(requestsPerS * demandShare),
      ]),
    ),
  };
}

/** Name of the platform as the target of links from failure domains. */
export const PLATFORM = "platform";

/** Where a failure domain reaches the platform: a link that can be cut. */
function platformRoute(
  { deployment, options }: Plan,
  domain: string,
): RelayRoute {
  const index = listDomains(deployment).indexOf(domain);
  return {
    from: domain,
    to: PLATFORM,
    listenAddress: `127.${options.base}.3.${index + 1}:7000`,
    targetAddress: platformAddress(options),
    oneWayMs: 0,
  };
}

/** One address for each pair of a dialing region and a target elsewhere. */
function listRoutes({ deployment, options, vms }: Plan): RelayRoute[] {
  return deployment.regions.flatMap((from, fromIndex) =>
    vms.filter((vm) => vm.region !== from.name).flatMap((vm) =>
      [steerOf(vm).peer, entryOf(vm).peer].map((targetAddress) => {
        const port = targetAddress.split(":")[1];
        const host = `127.${options.base}.${100 + fromIndex}.${vm.index + 1}`;
        return {
          from: from.name,
          to: vm.region,
          listenAddress: `${host}:${port}`,
          targetAddress,
          oneWayMs: deployment.betweenRegionsOneWayMs,
        };
      })
    )
  );
}

function networkAdmin({ base }: GenerateOptions): string {
  return `127.${base}.0.2:7000`;
}

function makeNetwork(plan: Plan): DeploymentProcess {
  return {
    name: "network",
    binary: "standin",
    settings: {
      kind: "network",
      adminAddress: networkAdmin(plan.options),
      routes: [
        ...listRoutes(plan),
        ...listDomains(plan.deployment)
          .map((domain) => platformRoute(plan, domain)),
      ],
    },
  };
}

function backendAdmin({ base }: GenerateOptions, domain: number): string {
  return `127.${base}.1.${domain + 1}:7000`;
}

function makeBackendProcesses(
  { deployment, options }: Plan,
  services: ServiceDocument[],
): DeploymentProcess[] {
  const regionOf = mapRegions({ regions: listRegions(deployment) });
  return listDomains(deployment).map((domain, index) => ({
    name: `backends-${domain}`,
    binary: "standin",
    settings: {
      kind: "backends",
      adminAddress: backendAdmin(options, index),
      seed: options.seed + index * 1_000,
      servers: services.flatMap((document, serviceIndex) =>
        document.backendServers
          .filter((server) => server.failureDomain === domain)
          .map(({ id, address, slots }) => ({
            id,
            service: document.service,
            failureDomain: domain,
            region: regionOf.get(domain)!,
            address,
            slots,
            serviceMs: deployment.services[serviceIndex].serviceMs,
          }))
      ),
    },
  }));
}

function makeDaemons(plan: Plan, vm: PlacedVm): DeploymentProcess[] {
  const { vms } = plan;
  const routes = listRoutes(plan).filter((route) => route.from === vm.region);
  const sameDomain = vms.filter((other) =>
    other.failureDomain === vm.failureDomain
  );
  const common = {
    vmId: vm.id,
    failureDomain: vm.failureDomain,
    region: vm.region,
    platformUrl: `http://${
      platformRoute(plan, vm.failureDomain).listenAddress
    }`,
    peerKey: PEER_KEY,
    operatorKey: OPERATOR_KEY,
    seeds: sameDomain.map((other) => steerOf(other).peer),
    peerRoutes: Object.fromEntries(
      routes.map(({ targetAddress, listenAddress }) => [
        targetAddress,
        listenAddress,
      ]),
    ),
  };
  const roles = [["steer", steerOf(vm)], ["entry", entryOf(vm)]] as const;
  return roles.map(([role, addresses]) => ({
    name: `${role}-${vm.id}`,
    binary: role,
    settings: {
      ...common,
      callerAddress: addresses.caller,
      peerAddress: addresses.peer,
      operatorAddress: addresses.operator,
    },
  }));
}

function makeLoad(plan: Plan, services: ServiceDocument[]): LoadSettings {
  const { deployment, options, vms } = plan;
  const regionOf = mapRegions({ regions: listRegions(deployment) });
  return {
    deployment: deployment.name,
    platformUrl: `http://${platformAddress(options)}`,
    operatorKey: OPERATOR_KEY,
    steers: vms.map((vm) => ({
      region: vm.region,
      caller: steerOf(vm).caller,
    })),
    operators: vms.flatMap((
      vm,
    ) => [steerOf(vm).operator, entryOf(vm).operator]),
    backendAdmins: listDomains(deployment).map((_, index) =>
      backendAdmin(options, index)
    ),
    networkAdmin: networkAdmin(options),
    linkLimitBytesPerS: deployment.linkLimitBytesPerS,
    regions: deployment.regions.map(({ name, demandShare, clientPrefix }) => ({
      name,
      demandShare,
      clientPrefix,
    })),
    clientBlocksPerRegion: deployment.clientBlocksPerRegion,
    services: deployment.services.map((made, index) => ({
      name: services[index].service,
      share: made.share,
      mix: made.mix.map((part) => {
        const found = services[index].classes.find(({ name }) =>
          name === part.class
        );
        const { weight = 1, idempotent = true } = found ?? {};
        return { ...part, weight, idempotent };
      }),
      cap: services[index].shiftCap,
    })),
    serverRegions: Object.fromEntries(
      services.flatMap(({ backendServers }) =>
        backendServers.map(({ id, failureDomain }) => [
          id,
          regionOf.get(failureDomain)!,
        ])
      ),
    ),
    requestsPerS: options.requestsPerS ?? deployment.requestsPerS,
    durationS: options.durationS,
    reportFile: options.reportFile,
    htmlFile: options.htmlFile,
    seed: options.seed,
  };
}
