/**
 * Schemas of the two documents that operators edit. Defaults, validation and the
 * generated reference page all derive from them.
 *
 * @module
 */
import * as z from "zod";
import { addressSchema } from "../runtime/address.ts";

const nameSchema = z.string().regex(
  /^[a-z0-9][a-z0-9-]{0,62}$/,
  "Expected lower-case letters, digits and hyphens",
);
const shareSchema = z.number().min(0).max(1);

const backendServerSchema = z.strictObject({
  id: nameSchema.describe("Identifier, unique in the document"),
  failureDomain: nameSchema.describe("Failure domain of the backend server"),
  address: addressSchema.describe("IPv4 address and port"),
  slots: z.int().min(1).max(4_096).describe(
    "Maximum number of concurrent requests",
  ),
  connections: z.int().min(1).max(65_535).default(400).describe(
    "Maximum total number of connections",
  ),
}).describe("A backend server");

const requestClassSchema = z.strictObject({
  name: nameSchema.describe("Name of the class"),
  methods: z.array(z.enum(["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]))
    .min(1).describe("HTTP methods that the class matches"),
  pathPrefix: z.string().startsWith("/").default("/").describe(
    "Path prefix that the class matches; the first matching class applies",
  ),
  weight: z.number().positive().max(100).default(1).describe(
    "Value of an answer before the deadline; classes with a higher weight are preferred",
  ),
  deadlineMs: z.int().min(1).max(60_000).default(2_000).describe(
    "Deadline after arrival if the caller sets none, in ms",
  ),
  idempotent: z.boolean().describe(
    "Whether requests can safely run more than once; other requests run at most once",
  ),
}).describe("A class of requests");

const drainSchema = z.strictObject({
  scope: z.enum(["backendServer", "failureDomain", "region"]).describe(
    "What to drain",
  ),
  name: nameSchema.describe(
    "Name of the backend server, failure domain or region",
  ),
  startsAt: z.iso.datetime({ offset: true }).optional().describe(
    "Start time; absent: immediately",
  ),
  endsAt: z.iso.datetime({ offset: true }).optional().describe(
    "End time; absent: until the drain is removed from the document",
  ),
}).describe("A drain, scheduled or immediate");

/** Schema of a service's document. */
export const serviceSchema = z.strictObject({
  service: nameSchema.describe("Name of the service"),
  regions: z.array(nameSchema).min(1).describe(
    "Regions in which the service may run",
  ),
  excludedFailureDomains: z.array(nameSchema).default([]).describe(
    "Failure domains of these regions in which the service must not run",
  ),
  backendServers: z.array(backendServerSchema).min(1).describe(
    "Backend servers of the service",
  ),
  shiftCap: z.strictObject({
    maxShare: shareSchema.describe(
      "Maximum share of the service's traffic that may change region within a window",
    ),
    windowS: z.int().min(1).max(3_600).describe("Length of the window, in s"),
  }).describe("Limit on traffic shifts between regions"),
  drains: z.array(drainSchema).default([]).describe(
    "Drains of backend servers, failure domains or regions",
  ),
  classes: z.array(requestClassSchema).min(1).describe(
    "Request classes; the first one that matches applies",
  ),
  coldStart: z.strictObject({
    rampS: z.number().min(0).max(3_600).default(10).describe(
      "Time until a new backend server receives its full load, in s",
    ),
    initialShare: shareSchema.default(0.2).describe(
      "Initial share of the slots of a new backend server that is used",
    ),
  }).prefault({}).describe("Slow start of cold backend servers"),
  shedStatuses: z.array(z.int().min(400).max(599)).default([]).describe(
    "HTTP statuses with which a backend server reports that it did not run a request",
  ),
  answerTtlMs: z.int().min(100).max(60_000).default(2_000).describe(
    "Time for which callers may cache a lookup answer, in ms",
  ),
  headroomShare: shareSchema.default(0.1).describe(
    "Share of capacity to keep free; a trade-off between headroom and latency",
  ),
  expectedServiceMs: z.number().positive().max(60_000).default(50).describe(
    "Service time of a request that is assumed until it is measured, in ms",
  ),
  expectedRequestsPerS: z.record(nameSchema, z.number().min(0)).default({})
    .describe(
      "Requests per second from each region that are assumed until they are measured",
    ),
}).describe("Service document");

const endpointSchema = z.strictObject({
  caller: addressSchema.describe("Address for callers"),
  peer: addressSchema.describe("Address for other processes of the system"),
  operator: addressSchema.describe("Address for operators"),
});

/** Schema of the fleet's document. */
export const fleetSchema = z.strictObject({
  regions: z.array(z.strictObject({
    name: nameSchema.describe("Name of the region"),
    failureDomains: z.array(nameSchema).min(1).describe(
      "Failure domains of the region",
    ),
  })).min(1).describe("Regions and their failure domains"),
  entryVms: z.array(z.strictObject({
    id: nameSchema.describe("Identifier, unique in the document"),
    failureDomain: nameSchema.describe("Failure domain of the VM"),
    steer: endpointSchema.describe("Addresses of the VM's steer process"),
    entry: endpointSchema.describe("Addresses of the VM's entry process"),
  })).min(1).describe("Entry VMs"),
  withinRegionOneWayMs: z.number().min(0).max(1_000).default(1.5).describe(
    "One-way network delay between failure domains of the same region, in ms",
  ),
  links: z.array(z.strictObject({
    from: nameSchema.describe("Region that sends requests"),
    to: nameSchema.describe("Region that runs the requests"),
    oneWayMs: z.number().min(0).max(10_000).describe(
      "One-way network delay, in ms",
    ),
    limitBytesPerS: z.number().positive().describe(
      "Limit on bytes per second of requests and answers together",
    ),
  })).default([]).describe("Links between regions"),
  clientBlocks: z.array(z.strictObject({
    cidr: z.string().regex(
      /^\d+\.\d+\.\d+\.\d+\/\d+$/,
      "Expected a range such as 10.1.0.0/16",
    ).describe("Range of client addresses in CIDR notation"),
    blockPrefixLength: z.int().min(8).max(32).default(24).describe(
      "Prefix length of the blocks into which the range is split",
    ),
    region: nameSchema.describe("Region nearest to the clients"),
  })).min(1).describe("Client address ranges and their nearest regions"),
}).describe("Fleet document");

/** A service's document, checked and with defaults filled in. */
export type ServiceDocument = z.infer<typeof serviceSchema>;
/** The fleet's document, checked and with defaults filled in. */
export type FleetDocument = z.infer<typeof fleetSchema>;
/** A class of requests. */
export type RequestClass = ServiceDocument["classes"][number];
/** A backend server. */
export type BackendServer = ServiceDocument["backendServers"][number];
/** A drain. */
export type Drain = ServiceDocument["drains"][number];
/** An entry VM. */
export type EntryVm = FleetDocument["entryVms"][number];
/** Name of a region, of a caller or of a failure domain. */
export type RegionName = string;
/** Name of a failure domain. */
export type DomainName = string;
