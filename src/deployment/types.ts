/**
 * Schemas of a loopback deployment, for development, and of the load on it.
 *
 * @module
 */
import * as z from "zod";
import { serviceSchema } from "../config/schema.ts";

const nameSchema = z.string().regex(/^[a-z0-9][a-z0-9-]{0,40}$/);

const mixSchema = z.strictObject({
  /** Request class of the service. */
  class: nameSchema,
  method: z.enum(["GET", "POST"]),
  path: z.string().startsWith("/"),
  /** Share of the service's requests. */
  share: z.number().min(0).max(1),
  deadlineMs: z.int().positive(),
  bodyBytes: z.int().min(0).default(0),
});

/** Schema of a deployment file. */
export const deploymentSchema = z.strictObject({
  name: nameSchema,
  regions: z.array(z.strictObject({
    name: nameSchema,
    failureDomains: z.array(z.strictObject({
      name: nameSchema,
      entryVms: z.int().min(1).max(4),
    })).min(1),
    /** Share of all requests that come from the region's clients. */
    demandShare: z.number().min(0).max(1),
    /** First two octets of the clients' addresses, such as `10.1`. */
    clientPrefix: z.string().regex(/^\d{1,3}\.\d{1,3}$/),
  })).min(1),
  withinRegionOneWayMs: z.number().min(0),
  betweenRegionsOneWayMs: z.number().min(0),
  /** Byte limit of each link between regions. */
  linkLimitBytesPerS: z.number().positive(),
  /** Client blocks that send requests in each region. */
  clientBlocksPerRegion: z.int().min(1).max(256),
  services: z.array(z.strictObject({
    backendServers: z.int().min(1).max(200),
    slots: z.int().min(1),
    connections: z.int().min(1),
    /** Mean service time of a request, in ms. */
    serviceMs: z.number().positive(),
    /** Share of all requests. */
    share: z.number().min(0).max(1),
    mix: z.array(mixSchema).min(1),
    /** Document of the service, without regions and backend servers. */
    document: serviceSchema.omit({ regions: true, backendServers: true }),
  })).min(1),
  /** Requests per second of the whole load, unless an option overrides it. */
  requestsPerS: z.number().positive(),
});

/** Description of a loopback deployment. */
export type Deployment = z.infer<typeof deploymentSchema>;

/** Schema of the settings of a load run. */
export const loadSettingsSchema = z.object({
  deployment: z.string(),
  platformUrl: z.string(),
  operatorKey: z.string(),
  steers: z.array(z.object({ region: z.string(), caller: z.string() })),
  operators: z.array(z.string()),
  backendAdmins: z.array(z.string()),
  networkAdmin: z.string(),
  linkLimitBytesPerS: z.number(),
  regions: z.array(z.object({
    name: z.string(),
    demandShare: z.number(),
    clientPrefix: z.string(),
  })),
  clientBlocksPerRegion: z.number(),
  services: z.array(z.object({
    name: z.string(),
    share: z.number(),
    mix: z.array(
      mixSchema.extend({ weight: z.number(), idempotent: z.boolean() }),
    ),
    cap: z.object({ maxShare: z.number(), windowS: z.number() }),
  })),
  /** Region of each backend server. */
  serverRegions: z.record(z.string(), z.string()),
  requestsPerS: z.number(),
  durationS: z.number(),
  /** File that is created once all daemons are ready and the load starts. */
  loadingFile: z.string().optional(),
  /** File for the report as JSON. */
  reportFile: z.string().optional(),
  /** File for the report as an HTML page. */
  htmlFile: z.string().optional(),
  seed: z.number(),
});

/** Settings of a load run. */
export type LoadSettings = z.infer<typeof loadSettingsSchema>;

/** One process of a loopback deployment. */
export interface DeploymentProcess {
  name: string;
  binary: "standin" | "steer" | "entry";
  settings: unknown;
}

/** Settings and documents of a loopback deployment. */
export interface DeploymentFiles {
  processes: DeploymentProcess[];
  /** Configuration documents; the file name is `name` plus `.jsonc`. */
  documents: { name: string; document: unknown }[];
  load: LoadSettings;
}
