/**
 * Messages between VMs, and their check on arrival.
 *
 * @module
 */
import * as z from "zod";
import { usageSchema } from "../limits/usage_encoding.ts";
import { newsItemSchema } from "../news/schema.ts";

const MAX_MEMBERS = 4_096;
const MAX_ITEMS = 10_000;
const MAX_SERVER_NAME = 200;
const MAX_EPOCHS = 64;
/** What 4,096 servers were asked for, 128 objects each, and the servers. */
const MAX_NUMBERS = 1_100_000;

/** Checks how a VM is reached. */
export const identitySchema = z.object({
  id: z.string().max(128),
  incarnation: z.string().max(64),
  region: z.string().max(64),
  failureDomain: z.string().max(64),
  frontAddress: z.string().max(64),
  peerAddress: z.string().max(64),
  /** Absent in entries of VMs that are older. */
  cores: z.number().positive().default(1),
});

/**
 * Pairs of whole numbers, one after the other. Checked in one go: there are a
 * thousand of them in a message, five times a second.
 */
const pairsSchema = z.custom<number[]>(isPairs);

function isPairs(value: unknown): boolean {
  return Array.isArray(value) && value.length <= MAX_NUMBERS &&
    value.length % 2 === 0 &&
    value.every((number) => Number.isSafeInteger(number) && number >= 0);
}

const stateSchema = z.enum(["starting", "serving", "leaving"]);

/** Requests a second by service. */
const demandSchema = z.record(z.string().max(200), z.number().nonnegative());

const sourceTopicSchema = z.enum(["operations", "servers"]);
const topicSchema = z.enum(["operations", "servers", "suspects"]);

const epochStartsSchema = z.array(z.object({
  epoch: z.number().int().nonnegative(),
  copiedThrough: z.number().nonnegative(),
  isSettled: z.boolean().optional(),
})).max(MAX_EPOCHS);

const digestSchema = z.object({
  facts: z.number().int().nonnegative(),
  versionSum: z.number(),
  epochSum: z.number().nonnegative().optional(),
  epochs: epochStartsSchema.optional(),
});

const usageFields = {
  scope: z.enum(["vm", "region", "rest"]),
  vms: z.number().int().nonnegative().max(MAX_MEMBERS),
  usage: usageSchema,
};

/** Checks messages between VMs. */
export const vmMessageSchema = z.discriminatedUnion("kind", [
  /** First message of both sides. */
  z.object({
    kind: z.literal("hello"),
    identity: identitySchema,
    /** How many VMs the sender knows. */
    members: z.number().int().nonnegative(),
  }),
  /** How the sender is, sent again and again; what is absent is as before. */
  z.object({
    kind: z.literal("report"),
    state: stateSchema.optional(),
    demandPerS: demandSchema.optional(),
    digests: z.object({
      operations: digestSchema,
      servers: digestSchema,
      /** Absent in reports of VMs that are older. */
      suspects: digestSchema.default({ facts: 0, versionSum: 0 }),
    }).optional(),
    /** A moment of the sender, which proofs refer to. */
    stamp: z.number().int().nonnegative().optional(),
    /** Proven age of what the sender knows; absent where nothing is proven. */
    knowledgeAgeMs: z.number().nonnegative().optional(),
  }),
  /** How old the sender's knowledge of the configuration is. */
  z.object({
    kind: z.literal("proof"),
    /** Read by VMs of earlier versions only. */
    version: z.number().nonnegative(),
    /** The number of the configuration; absent where the VM is older. */
    configuration: z.number().nonnegative().optional(),
    ageMs: z.number().nonnegative(),
    stamp: z.number().int().nonnegative(),
    heldMs: z.number().nonnegative(),
  }),
  /** What was used of limits lately. */
  z.object({
    kind: z.literal("usage"),
    ...usageFields,
  }),
  /** The same of rate limits of backend servers. */
  z.object({
    kind: z.literal("server_usage"),
    ...usageFields,
  }),
  /** Rate limits of backend servers, or that they were lifted. */
  z.object({
    kind: z.literal("server_rate_limits"),
    rates: z.array(z.object({
      server: z.string().max(MAX_SERVER_NAME),
      ratePerS: z.number().nonnegative().optional(),
      ageMs: z.number().nonnegative(),
    })).max(MAX_ITEMS),
  }),
  /** A topic was read from its source just now. */
  z.object({
    kind: z.literal("read"),
    topic: sourceTopicSchema,
    digest: digestSchema,
    /** Whether the sender read it, and not another one that told the sender. */
    isOwn: z.boolean(),
  }),
  /** A hub's view of the VMs that are up. */
  z.object({
    kind: z.literal("view"),
    scope: z.enum(["linked", "fleet"]),
    base: z.number().int().nonnegative(),
    revision: z.number().int().positive(),
    up: z.array(z.object({ identity: identitySchema, state: stateSchema }))
      .max(MAX_MEMBERS),
    gone: z.array(z.string().max(128)).max(MAX_MEMBERS),
    demandPerS: z.record(z.string().max(64), demandSchema),
  }),
  /** Asks a hub for its whole view. */
  z.object({ kind: z.literal("want_view") }),
  /** VMs that the sender knows, for one that knows fewer. */
  z.object({
    kind: z.literal("members"),
    members: z.array(identitySchema).max(MAX_MEMBERS),
  }),
  /** Asks for all facts of a topic. */
  z.object({
    kind: z.literal("want"),
    topic: topicSchema,
  }),
  /** Facts that the receiver may not know, and the epochs they refer to. */
  z.object({
    kind: z.literal("news"),
    items: z.array(newsItemSchema).max(MAX_ITEMS),
    epochs: z.object({
      operations: epochStartsSchema,
      servers: epochStartsSchema,
    }).optional(),
    /** Set where the items are all facts of a topic that there are. */
    whole: sourceTopicSchema.optional(),
  }),
  /** Requests at backend servers, and what those were asked for. */
  z.object({
    kind: z.literal("activity"),
    scope: z.enum(["vm", "region", "all", "past"]),
    asked: pairsSchema,
    forgotten: pairsSchema,
    running: pairsSchema,
  }),
]);

/** A message between VMs. */
export type VmMessage = z.infer<typeof vmMessageSchema>;
