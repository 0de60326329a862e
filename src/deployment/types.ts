/**
 * A deployment on loopback, for development: its schema and what is made of it.
 *
 * @module
 */
import * as z from "zod";
import { serviceSchema } from "../config/schema.ts";

const nameSchema = z.string().regex(/^[a-z0-9][a-z0-9-]{0,40}$/);

const mixSchema = z.strictObject({
  /** Class of the service that these requests belong to. */
  class: nameSchema,
  method: z.enum(["GET", "POST"]),
  path: z.string().startsWith("/"),
  /** Share of the service's requests. */
  share: z.number().min(0).max(1),
  deadlineMs: z.int().positive(),
  bodyBytes: z.int().min(0).default(0),
});

/** Schema of a deployment's file. */
export const deploymentSchema = z.strictObject({
  name: nameSchema,
  regions: z.array(z.strictObject({
    name: nameSchema,
    failureDomains: z.array(z.strictObject({
      name: nameSchema,
      entryVms: z.int().min(1).max(4),
    })).min(1),
    /** Share of all requests that comes from this region's clients. */
    demandShare: z.number().min(0).max(1),
    /** First two numbers of its clients' addresses, such as `10.1`. */
    clientPrefix: z.string().regex(/^\d{1,3}\.\d{1,3}$/),
  })).min(1),
  withinRegionOneWayMs: z.number().min(0),
  betweenRegionsOneWayMs: z.number().min(0),
  linkLimitBytesPerS: z.number().positive(),
  /** Client blocks used in each region, at most 256. */
  clientBlocksPerRegion: z.int().min(1).max(256),
  services: z.array(z.strictObject({
    backendServers: z.int().min(1).max(200),
    slots: z.int().min(1),
    connections: z.int().min(1),
    /** Mean time of a request at a backend server, in ms. */
    serviceMs: z.number().positive(),
    /** Share of all requests. */
    share: z.number().min(0).max(1),
    mix: z.array(mixSchema).min(1),
    /** The service's document, less its regions and backend servers. */
    document: serviceSchema.omit({ regions: true, backendServers: true }),
  })).min(1),
  /** Requests a second of the whole load, unless told otherwise. */
  requestsPerS: z.number().positive(),
});

/** A deployment. */
export type Deployment = z.infer<typeof deploymentSchema>;

/** Schema of the load's settings. */
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
  /** Made when every daemon is up and the first request is due. */
  loadingFile: z.string().optional(),
  reportFile: z.string().optional(),
  htmlFile: z.string().optional(),
  seed: z.number(),
});

/** Settings of the load. */
export type LoadSettings = z.infer<typeof loadSettingsSchema>;

/** One process of a deployment on loopback. */
export interface DeploymentProcess {
  name: string;
  binary: "standin" | "steer" | "entry";
  settings: unknown;
}

/** Everything that runs. */
export interface DeploymentFiles {
  processes: DeploymentProcess[];
  /** Documents to put, by file name. */
  documents: { name: string; document: unknown }[];
  load: LoadSettings;
}
