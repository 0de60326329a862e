/**
 * Messages between VMs and the schemas that validate them on arrival.
 *
 * @module
 */
import * as z from "zod";
import { usageSchema } from "../limits/usage_encoding.ts";
import { factUpdateSchema } from "../news/schema.ts";
import { isHostPort } from "../runtime/address.ts";
import type { DemandByRegion } from "./types.ts";

/** Largest number of VMs in a message. */
export const MAX_MEMBERS = 4_096;
/** Largest number of facts or rate limits in a message. */
export const MAX_ITEMS = 10_000;
const MAX_SERVER_NAME = 200;
const MAX_REPORTED_SERVERS = 64;
const MAX_ADDED_KINDS = 64;
/** Largest number of entries of a record, such as the demand by service. */
export const MAX_RECORD_ENTRIES = 16_384;
/** Largest number of epoch starts of a topic. */
export const MAX_EPOCHS = 64;
/** Pairs of 4,096 servers with 128 objects each, two numbers per pair. */
const MAX_NUMBERS = 1_100_000;

const addressSchema = z.string().max(64).refine(
  isHostPort,
  "must be host:port",
);

/** Longest age or time in a message. */
export const MAX_AGE_MS = 1e12;
/** Largest rate in a message, in requests a second. */
export const MAX_RATE_PER_S = 1e9;
/** Processor time of a VM, in cores. */
export const MIN_CORES = 0.001;
/** Processor time of a VM, in cores. */
export const MAX_CORES = 10_000;

const ageMs = z.number().nonnegative().max(MAX_AGE_MS);
const ratePerS = z.number().nonnegative().max(MAX_RATE_PER_S);

/** Schema of a VM's identity. */
export const identitySchema = z.object({
  id: z.string().max(128),
  incarnation: z.string().max(64),
  region: z.string().max(64),
  failureDomain: z.string().max(64),
  frontAddress: addressSchema,
  peerAddress: addressSchema,
  /** Absent in entries of VMs of earlier versions. */
  cores: z.number().min(MIN_CORES).max(MAX_CORES).default(1),
});

/**
 * Flattened pairs of non-negative integers. Validated by one function rather
 * than by an array schema, since messages hold about a thousand of them and
 * arrive five times a second.
 */
const pairsSchema = z.custom<number[]>(isPairs);

/**
 * @param value A value decoded from a frame.
 * @returns Whether it holds flattened pairs of non-negative integers.
 */
export function isPairs(value: unknown): boolean {
  if (!Array.isArray(value)) return false;
  if (value.length > MAX_NUMBERS || value.length % 2 !== 0) return false;
  for (const number of value) {
    if (!Number.isSafeInteger(number) || number < 0) return false;
  }
  return true;
}

const stateSchema = z.enum(["starting", "serving", "leaving"]);

/**
 * An object with a limited number of entries. They are counted first, since the
 * schema of a record makes an issue for each bad one.
 */
const smallObjectSchema = z.custom<Record<string, unknown>>(
  // The keys of a long list would take longer to make than all other checks.
  (value) =>
    typeof value === "object" && value !== null && !Array.isArray(value) &&
    Object.keys(value).length <= MAX_RECORD_ENTRIES,
  "must be an object with a limited number of entries",
);

/** Demand by service, in requests a second. */
const demandSchema = smallObjectSchema.pipe(
  z.record(z.string().max(200), ratePerS),
);

/**
 * @param demand Demand by region and by service.
 * @returns The number of its entries.
 */
export function countEntries(demand: DemandByRegion): number {
  let entries = 0;
  for (const region in demand) {
    entries += 1 + Object.keys(demand[region]).length;
  }
  return entries;
}

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

const readPositionsSchema = z.array(z.object({
  epoch: z.number().int().nonnegative(),
  number: z.number().int().nonnegative(),
})).max(MAX_EPOCHS);

const usageFields = {
  scope: z.enum(["vm", "region", "rest"]),
  vms: z.number().int().nonnegative().max(MAX_MEMBERS),
  usage: usageSchema,
};

/**
 * Schema of messages between VMs. `message_checks.ts` accepts frequent messages
 * without a run of the schema; its test compares the two.
 */
export const vmMessageSchema = z.discriminatedUnion("kind", [
  /** The first message of each side. */
  z.object({
    kind: z.literal("hello"),
    identity: identitySchema,
    /** The number of VMs that the sender knows. */
    members: z.number().int().nonnegative(),
    /**
     * Kinds of messages that earlier builds lack and that the sender
     * understands; absent from VMs of earlier builds.
     */
    understands: z.array(z.string().max(64)).max(MAX_ADDED_KINDS).optional(),
  }),
  /** The sender's periodic report; absent fields are unchanged. */
  z.object({
    kind: z.literal("report"),
    state: stateSchema.optional(),
    demandPerS: demandSchema.optional(),
    digests: z.object({
      operations: digestSchema,
      servers: digestSchema,
      /** Absent in reports of VMs of earlier versions. */
      suspects: digestSchema.default({ facts: 0, versionSum: 0 }),
    }).optional(),
    /** An instant of the sender's clock, which proofs refer to. */
    stamp: z.number().int().nonnegative().optional(),
    /** Proven age of the sender's configuration; absent without a proof. */
    knowledgeAgeMs: ageMs.optional(),
  }),
  /** Proof of the age of the sender's configuration. */
  z.object({
    kind: z.literal("proof"),
    /** Used by VMs of earlier versions only. */
    version: z.number().nonnegative(),
    /** The configuration's number; absent from VMs of earlier versions. */
    configuration: z.number().nonnegative().optional(),
    ageMs,
    stamp: z.number().int().nonnegative(),
    heldMs: ageMs,
  }),
  /** Recent usage of client accounts' limits. */
  z.object({
    kind: z.literal("usage"),
    ...usageFields,
  }),
  /** Recent usage of backend servers' rate limits. */
  z.object({
    kind: z.literal("server_usage"),
    ...usageFields,
  }),
  /** Rate limits of backend servers; a limit without a rate was lifted. */
  z.object({
    kind: z.literal("server_rate_limits"),
    rates: z.array(z.object({
      server: z.string().max(MAX_SERVER_NAME),
      ratePerS: ratePerS.optional(),
      ageMs,
    })).max(MAX_ITEMS),
  }),
  /** Backend servers that don't respond, or that responded after that. */
  z.object({
    kind: z.literal("unreachable_servers"),
    reports: z.array(z.object({
      server: z.string().max(MAX_SERVER_NAME),
      by: z.string().max(128),
      failureDomain: z.string().max(64),
      news: z.enum(["unreachable", "responded"]),
      stampMs: z.number().nonnegative(),
      ageMs,
      reached: z.number().int().nonnegative(),
    })).max(MAX_REPORTED_SERVERS),
  }),
  /** Announces that a topic was just read from its source. */
  z.object({
    kind: z.literal("read"),
    topic: sourceTopicSchema,
    digest: digestSchema,
    /** Whether the sender itself read it, rather than forwarding the message. */
    isOwn: z.boolean(),
    /** Up to where the sender knows it; absent from VMs of earlier versions. */
    readPositions: readPositionsSchema.optional(),
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
    demandPerS: smallObjectSchema.pipe(
      z.record(z.string().max(64), demandSchema),
    ).refine(
      (demand) => countEntries(demand) <= MAX_RECORD_ENTRIES,
      "too many regions and services",
    ),
  }),
  /** Requests a snapshot of a hub's view. */
  z.object({ kind: z.literal("want_view") }),
  /** VMs that the sender knows, for a receiver that knows fewer. */
  z.object({
    kind: z.literal("members"),
    members: z.array(identitySchema).max(MAX_MEMBERS),
  }),
  /** Requests all facts of a topic. */
  z.object({
    kind: z.literal("want"),
    topic: topicSchema,
  }),
  /** Facts that may be new to the receiver, and the epochs they refer to. */
  z.object({
    kind: z.literal("news"),
    items: z.array(factUpdateSchema).max(MAX_ITEMS),
    epochs: z.object({
      operations: epochStartsSchema,
      servers: epochStartsSchema,
    }).optional(),
    /** The topic, if the items are all facts that exist of it. */
    whole: sourceTopicSchema.optional(),
    /**
     * The topic, if the items are all facts that the sender has of it, and up to
     * where it knows the topic; absent from VMs of earlier versions.
     */
    snapshot: z.object({
      topic: sourceTopicSchema,
      readPositions: readPositionsSchema,
    }).optional(),
  }),
  /** Running requests at backend servers, and the objects requested there. */
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

/**
 * Kinds of messages that are sent only to VMs whose hello names them: a VM
 * closes a link on which a message of an unknown kind arrives.
 */
export const ADDED_KINDS: readonly VmMessage["kind"][] = [
  "unreachable_servers",
];
