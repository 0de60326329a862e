/**
 * Generates the settings and documents of a loopback deployment. Every VM and
 * backend server has its own address in 127.0.0.0/8, so that all of them can
 * use the same ports, as on real VMs. Has no side effects.
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

/** Options of a generated deployment. */
export interface GenerateOptions {
  /** Second octet of all addresses: 127.`base`.x.y. */
  base: number;
  /** Overrides the request rate of the deployment. */
  requestsPerS?: number;
  /** Overrides the number of entry VMs of each failure domain. */
  vmsPerDomain?: number;
  /** Duration of the load. */
  durationS: number;
  reportFile?: string;
  htmlFile?: string;
  /** Seed of arrivals and service times. */
  seed: number;
}

const PEER_KEY = "loopback-peer-key-0001";
const OPERATOR_KEY = "loopback-operator-key-0001";
/** Expected demand in documents, as a multiple of the generated load. */
const EXPECTED_DEMAND_FACTOR = 1.2;

/** Character code of `a`: ids of a failure domain's VMs end in `-a`, `-b`, … */
const FIRST_VM_SUFFIX = 97;

/** An entry VM and its address. */
interface PlacedVm {
  id: string;
  region: string;
  regionIndex: number;
  failureDomain: string;
  host: string;
  index: number;
}

/** Inputs of the generator functions. */
interface GenerateContext {
  deployment: Deployment;
  options: GenerateOptions;
  vms: PlacedVm[];
}

/**
 * Generates everything that a deployment needs to run.
 *
 * @param deployment Description of the deployment.
 * @param options Address range, load and report files.
 * @returns Settings of all processes and of the load, and the documents.
 */
export function generateDeployment(
  deployment: Deployment,
  options: GenerateOptions,
): DeploymentFiles {
  const context = { deployment, options, vms: placeVms(deployment, options) };
  const fleet = makeFleet(context);
  const services = deployment.services.map((_, index) =>
    makeServiceDocument(context, index)
  );
  return {
    processes: [
      {
        name: "platform",
        binary: "standin",
        settings: { kind: "platform", address: getPlatformAddress(options) },
      },
      makeNetwork(context),
      ...makeBackendProcesses(context, services),
      ...context.vms.flatMap((vm) => makeDaemons(context, vm)),
    ],
    documents: [
      { name: "fleet", document: fleet },
      ...services.map((document) => ({ name: document.service, document })),
    ],
    load: makeLoad(context, services),
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
          id: `${domain.name}-${String.fromCharCode(FIRST_VM_SUFFIX + count)}`,
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

function getPlatformAddress({ base }: GenerateOptions): string {
  return `127.${base}.0.1:7000`;
}

function makeEndpoints(host: string, port: number) {
  return {
    caller: `${host}:${port}`,
    peer: `${host}:${port + 1}`,
    operator: `${host}:${port + 2}`,
  };
}

/** @returns Addresses of a VM's steer. */
function getSteerEndpoints(vm: PlacedVm) {
  return makeEndpoints(vm.host, 7100);
}

/** @returns Addresses of a VM's entry. */
function getEntryEndpoints(vm: PlacedVm) {
  return makeEndpoints(vm.host, 7200);
}

function makeFleet({ deployment, vms }: GenerateContext): FleetDocument {
  const { regions } = deployment;
  return {
    regions: listRegions(deployment),
    entryVms: vms.map((vm) => ({
      id: vm.id,
      failureDomain: vm.failureDomain,
      steer: getSteerEndpoints(vm),
      entry: getEntryEndpoints(vm),
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
  { deployment, options }: GenerateContext,
  index: number,
): ServiceDocument {
  const service = deployment.services[index];
  const domains = listDomains(deployment);
  const requestsPerS = (options.requestsPerS ?? deployment.requestsPerS) *
    service.share * EXPECTED_DEMAND_FACTOR;
  return {
    ...service.document,
    regions: deployment.regions.map(({ name }) => name),
    backendServers: Array.from(
      { length: service.backendServers },
      (_, number) => {
        const domain = number % domains.length;
        const lastOctet = index * 40 + Math.floor(number / domains.length) + 1;
        return {
          id: `${service.document.service}-${
            String(number + 1).padStart(2, "0")
          }`,
          failureDomain: domains[domain],
          address: `127.${options.base}.${20 + domain}.${lastOctet}:8000`,
          slots: service.slots,
          connections: service.connections,
        };
      },
    ),
    expectedServiceMs: service.serviceMs,
    expectedRequestsPerS: Object.fromEntries(
      deployment.regions.map(({ name, demandShare }) => [
        name,
        Math.ceil(requestsPerS * demandShare),
      ]),
    ),
  };
}

/** Target name of the links from failure domains to the platform. */
export const PLATFORM_LINK_TARGET = "platform";

/** Makes the route from a failure domain to the platform, which can be cut. */
function makePlatformRoute(
  { deployment, options }: GenerateContext,
  domain: string,
): RelayRoute {
  const index = listDomains(deployment).indexOf(domain);
  return {
    from: domain,
    to: PLATFORM_LINK_TARGET,
    listenAddress: `127.${options.base}.3.${index + 1}:7000`,
    targetAddress: getPlatformAddress(options),
    oneWayMs: 0,
  };
}

/**
 * Lists a route for each pair of a connecting region and a peer address in
 * another.
 */
function listRoutes(
  { deployment, options, vms }: GenerateContext,
): RelayRoute[] {
  return deployment.regions.flatMap((from, fromIndex) =>
    vms.filter((vm) => vm.region !== from.name).flatMap((vm) =>
      [getSteerEndpoints(vm).peer, getEntryEndpoints(vm).peer].map(
        (targetAddress) => {
          const port = targetAddress.split(":")[1];
          const host = `127.${options.base}.${100 + fromIndex}.${vm.index + 1}`;
          return {
            from: from.name,
            to: vm.region,
            listenAddress: `${host}:${port}`,
            targetAddress,
            oneWayMs: deployment.betweenRegionsOneWayMs,
          };
        },
      )
    )
  );
}

function getNetworkAdminAddress({ base }: GenerateOptions): string {
  return `127.${base}.0.2:7000`;
}

function makeNetwork(context: GenerateContext): DeploymentProcess {
  return {
    name: "network",
    binary: "standin",
    settings: {
      kind: "network",
      adminAddress: getNetworkAdminAddress(context.options),
      routes: [
        ...listRoutes(context),
        ...listDomains(context.deployment)
          .map((domain) => makePlatformRoute(context, domain)),
      ],
    },
  };
}

function getBackendAdminAddress(
  { base }: GenerateOptions,
  domain: number,
): string {
  return `127.${base}.1.${domain + 1}:7000`;
}

function makeBackendProcesses(
  { deployment, options }: GenerateContext,
  services: ServiceDocument[],
): DeploymentProcess[] {
  const regionByDomain = mapRegions({ regions: listRegions(deployment) });
  return listDomains(deployment).map((domain, index) => ({
    name: `backends-${domain}`,
    binary: "standin",
    settings: {
      kind: "backends",
      adminAddress: getBackendAdminAddress(options, index),
      seed: options.seed + index * 1_000,
      servers: services.flatMap((document, serviceIndex) =>
        document.backendServers
          .filter((server) => server.failureDomain === domain)
          .map(({ id, address, slots }) => ({
            id,
            service: document.service,
            failureDomain: domain,
            region: regionByDomain.get(domain)!,
            address,
            slots,
            serviceMs: deployment.services[serviceIndex].serviceMs,
          }))
      ),
    },
  }));
}

function makeDaemons(
  context: GenerateContext,
  vm: PlacedVm,
): DeploymentProcess[] {
  const { vms } = context;
  const routes = listRoutes(context).filter((route) =>
    route.from === vm.region
  );
  const sameDomain = vms.filter((other) =>
    other.failureDomain === vm.failureDomain
  );
  const common = {
    vmId: vm.id,
    failureDomain: vm.failureDomain,
    region: vm.region,
    platformUrl: `http://${
      makePlatformRoute(context, vm.failureDomain).listenAddress
    }`,
    peerKey: PEER_KEY,
    operatorKey: OPERATOR_KEY,
    seeds: sameDomain.map((other) => getSteerEndpoints(other).peer),
    peerRoutes: Object.fromEntries(
      routes.map(({ targetAddress, listenAddress }) => [
        targetAddress,
        listenAddress,
      ]),
    ),
  };
  const roles = [["steer", getSteerEndpoints(vm)], [
    "entry",
    getEntryEndpoints(vm),
  ]] as const;
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

function makeLoad(
  context: GenerateContext,
  services: ServiceDocument[],
): LoadSettings {
  const { deployment, options, vms } = context;
  const regionByDomain = mapRegions({ regions: listRegions(deployment) });
  return {
    deployment: deployment.name,
    platformUrl: `http://${getPlatformAddress(options)}`,
    operatorKey: OPERATOR_KEY,
    steers: vms.map((vm) => ({
      region: vm.region,
      caller: getSteerEndpoints(vm).caller,
    })),
    operators: vms.flatMap((
      vm,
    ) => [getSteerEndpoints(vm).operator, getEntryEndpoints(vm).operator]),
    backendAdmins: listDomains(deployment).map((_, index) =>
      getBackendAdminAddress(options, index)
    ),
    networkAdmin: getNetworkAdminAddress(options),
    linkLimitBytesPerS: deployment.linkLimitBytesPerS,
    regions: deployment.regions.map(({ name, demandShare, clientPrefix }) => ({
      name,
      demandShare,
      clientPrefix,
    })),
    clientBlocksPerRegion: deployment.clientBlocksPerRegion,
    services: deployment.services.map((service, index) => ({
      name: services[index].service,
      share: service.share,
      mix: service.mix.map((mix) => {
        const found = services[index].classes.find(({ name }) =>
          name === mix.class
        );
        const { weight = 1, idempotent = true } = found ?? {};
        return { ...mix, weight, idempotent };
      }),
      cap: services[index].shiftCap,
    })),
    serverRegions: Object.fromEntries(
      services.flatMap(({ backendServers }) =>
        backendServers.map(({ id, failureDomain }) => [
          id,
          regionByDomain.get(failureDomain)!,
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
