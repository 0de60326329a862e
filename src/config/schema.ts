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
  id: nameSchema.describe("Name, unique in the document"),
  failureDomain: nameSchema.describe("Where it stands"),
  address: addressSchema.describe("IPv4 number and port"),
  slots: z.int().min(1).max(4_096).describe("Requests it runs at once"),
  connections: z.int().min(1).max(65_535).default(400).describe(
    "Connections it accepts in all",
  ),
}).describe("A backend server");

const requestClassSchema = z.strictObject({
  name: nameSchema.describe("Name of the class"),
  methods: z.array(z.enum(["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]))
    .min(1).describe("HTTP methods that it matches"),
  pathPrefix: z.string().startsWith("/").default("/").describe(
    "Start of the paths that it matches; the first class that matches is taken",
  ),
  weight: z.number().positive().max(100).default(1).describe(
    "How much an answer in time counts; heavier classes go first",
  ),
  deadlineMs: z.int().min(1).max(60_000).default(2_000).describe(
    "Latest answer, in ms after arrival, where the caller states none",
  ),
  idempotent: z.boolean().describe(
    "Whether running it twice does no harm; others run at most once",
  ),
}).describe("A class of requests");

const drainSchema = z.strictObject({
  scope: z.enum(["backendServer", "failureDomain", "region"]).describe(
    "What is drained",
  ),
  name: nameSchema.describe("Its name"),
  startsAt: z.iso.datetime({ offset: true }).optional().describe(
    "When it begins; absent: at once",
  ),
  endsAt: z.iso.datetime({ offset: true }).optional().describe(
    "When it ends; absent: when the line is removed",
  ),
}).describe("A drain, scheduled or immediate");

/** Schema of a service's document. */
export const serviceSchema = z.strictObject({
  service: nameSchema.describe("Name of the service"),
  regions: z.array(nameSchema).min(1).describe("Regions that it may run in"),
  excludedFailureDomains: z.array(nameSchema).default([]).describe(
    "Failure domains of those regions that it may not run in",
  ),
  backendServers: z.array(backendServerSchema).min(1).describe(
    "Its backend servers",
  ),
  shiftCap: z.strictObject({
    maxShare: shareSchema.describe(
      "Share of the service's traffic that may change region in a window",
    ),
    windowS: z.int().min(1).max(3_600).describe("Length of the window, in s"),
  }).describe("How much traffic may move at once"),
  drains: z.array(drainSchema).default([]).describe("What is to be emptied"),
  classes: z.array(requestClassSchema).min(1).describe("What callers are owed"),
  coldStart: z.strictObject({
    rampS: z.number().min(0).max(3_600).default(10).describe(
      "Time until a new backend server takes its whole load, in s",
    ),
    initialShare: shareSchema.default(0.2).describe(
      "Share of its slots used at first",
    ),
  }).prefault({}).describe("Slow start of cold backend servers"),
  shedStatuses: z.array(z.int().min(400).max(599)).default([]).describe(
    "Statuses by which a backend server says that it did not run a request",
  ),
  answerTtlMs: z.int().min(100).max(60_000).default(2_000).describe(
    "How long callers may keep a look-up's answer, in ms",
  ),
  headroomShare: shareSchema.default(0.1).describe(
    "Share of capacity kept free; weighs headroom against latency",
  ),
  expectedServiceMs: z.number().positive().max(60_000).default(50).describe(
    "Time a backend server takes for a request, in ms, until it is measured",
  ),
  expectedRequestsPerS: z.record(nameSchema, z.number().min(0)).default({})
    .describe("Requests a second from each region, until they are measured"),
}).describe("One service's document");

const endpointSchema = z.strictObject({
  caller: addressSchema.describe("Where callers connect"),
  peer: addressSchema.describe("Where the system's own processes connect"),
  operator: addressSchema.describe("Where operators connect"),
});

/** Schema of the fleet's document. */
export const fleetSchema = z.strictObject({
  regions: z.array(z.strictObject({
    name: nameSchema.describe("Name of the region"),
    failureDomains: z.array(nameSchema).min(1).describe("Its failure domains"),
  })).min(1).describe("Regions and their failure domains"),
  entryVms: z.array(z.strictObject({
    id: nameSchema.describe("Name, unique in the document"),
    failureDomain: nameSchema.describe("Where it stands"),
    steer: endpointSchema.describe("Addresses of its steer process"),
    entry: endpointSchema.describe("Addresses of its entry process"),
  })).min(1).describe("Entry VMs"),
  withinRegionOneWayMs: z.number().min(0).max(1_000).default(1.5).describe(
    "One-way delay between failure domains of a region, in ms",
  ),
  links: z.array(z.strictObject({
    from: nameSchema.describe("Region that sends requests"),
    to: nameSchema.describe("Region that runs them"),
    oneWayMs: z.number().min(0).max(10_000).describe("One-way delay, in ms"),
    limitBytesPerS: z.number().positive().describe(
      "Bytes a second that requests and answers may take together",
    ),
  })).default([]).describe("Links between regions"),
  clientBlocks: z.array(z.strictObject({
    cidr: z.string().regex(
      /^\d+\.\d+\.\d+\.\d+\/\d+$/,
      "Expected a range such as 10.1.0.0/16",
    ).describe("Range of client addresses"),
    blockPrefixLength: z.int().min(8).max(32).default(24).describe(
      "The range is split into blocks of this prefix length",
    ),
    region: nameSchema.describe("Region nearest to these clients"),
  })).min(1).describe("Which clients are nearest to which region"),
}).describe("The fleet's document");

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
