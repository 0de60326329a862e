/**
 * Schemas of facts that other VMs send, and of facts decoded from the platform's
 * formats.
 *
 * @module
 */
import * as z from "zod";
import { isHostPort } from "../runtime/address.ts";
import { findContradictions } from "../routing/configuration_check.ts";
import { MAX_TIMER_MS } from "../runtime/clock.ts";

const MAX_NAME_CHARS = 200;
const MAX_PREFIX_CHARS = 8_192;
/** Largest time of a `Date`, in ms since the Unix epoch. */
const MAX_TIME_MS = 8.64e15;
/** Largest number of entries in a list. */
const MAX_ENTRIES = 10_000;
const MAX_KEYS_PER_ACCOUNT = 1_000;
const MAX_ACCOUNTS = 100_000;
/** Largest number that stands for an amount, such as a rate or a weight. */
const MAX_AMOUNT = 1e9;
const MAX_FINGERPRINT_CHARS = 64;
/** Most contradictions of a configuration that are reported. */
const MAX_PROBLEMS = 5;
const name = z.string().min(1).max(MAX_NAME_CHARS);
const fingerprint = z.string().min(1).max(MAX_FINGERPRINT_CHARS);
/** Versions of facts are made from it, and have to stay exact. */
const round = z.number().int().nonnegative().max(MAX_AMOUNT);
const durationMs = z.number().nonnegative().max(MAX_TIMER_MS);
const positiveDurationMs = durationMs.positive();
const amount = z.number().nonnegative().max(MAX_AMOUNT);
const count = z.number().int().nonnegative().max(MAX_AMOUNT);
const regions = z.array(name).max(MAX_ENTRIES);

const routeSchema = z.object({
  name: z.string().max(MAX_NAME_CHARS),
  host: name,
  prefix: z.string().max(MAX_PREFIX_CHARS).regex(
    /^\/(.*\/)?$/,
    "must begin and end with a slash",
  ),
  kind: z.enum(["idempotent", "non_idempotent"]),
  /** Absent in facts that VMs of earlier versions send. */
  transfer: z.enum(["small", "upload", "download"]).default("small"),
  timeoutMs: positiveDurationMs,
  targetLatencyMs: positiveDurationMs,
  priority: count,
  shares: z.array(z.object({ service: name, weight: amount }))
    .min(1).max(MAX_ENTRIES),
  maxAttempts: count.positive(),
  isSticky: z.boolean(),
  homeRegions: regions,
  /** Absent in facts that VMs of earlier versions send. */
  isPublic: z.boolean().default(false),
});

const accountSchema = z.object({
  name,
  keyDigests: z.array(fingerprint).max(MAX_KEYS_PER_ACCOUNT),
  priority: count.optional(),
  ratePerS: amount.positive().optional(),
  burst: amount,
  homeRegions: regions,
});

/** Schema of a configuration, which also finds its contradictions. */
export const configurationSchema = z.object({
  version: z.number().int().nonnegative(),
  routes: z.array(routeSchema).max(MAX_ENTRIES),
  services: z.array(z.object({
    name,
    maxConnections: count.positive(),
    coldDurationMs: durationMs,
    coldRequestsPerS: amount,
  })).max(MAX_ENTRIES),
  limits: z.object({
    maxHeaderBytes: count.positive(),
    maxBodyBytes: z.number().int().nonnegative(),
    headerTimeoutMs: positiveDurationMs,
    idleTimeoutMs: positiveDurationMs,
  }),
  accounts: z.array(accountSchema).max(MAX_ACCOUNTS).optional(),
}).superRefine((configuration, context) => {
  const problems = findContradictions(configuration);
  for (const { path, message } of problems.slice(0, MAX_PROBLEMS)) {
    context.addIssue({ code: "custom", path, message });
  }
});

/** Schema of a listed backend server. */
export const listedServerSchema = z.object({
  id: name,
  registeredName: name,
  service: name,
  address: name.refine(isHostPort, "must be host:port"),
  failureDomain: name,
  slots: count.positive(),
  state: z.enum(["ready", "draining"]),
  coldLeftMs: durationMs,
});

/** Schema of the content of a fact. */
export const factSchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("configuration"),
    configuration: configurationSchema,
  }),
  z.object({ kind: z.literal("evacuation"), failureDomain: name }),
  z.object({ kind: z.literal("server"), server: listedServerSchema }),
  z.object({
    kind: z.literal("server_end"),
    request: fingerprint,
    round,
    server: name,
    vm: name,
    seenAtMs: z.number().min(0).max(MAX_TIME_MS),
  }),
  z.object({
    kind: z.literal("request_answered"),
    request: fingerprint,
    round,
  }),
]);

/**
 * Schema of one fact update in a message between VMs. The content of the fact is
 * validated on its own: a VM of another build may take for valid what this one
 * doesn't, and that must not close its links.
 */
export const factUpdateSchema = z.object({
  topic: z.enum(["operations", "servers", "suspects"]),
  key: z.string().max(2 * MAX_NAME_CHARS),
  version: z.number().int().nonnegative(),
  /** Absent in facts that VMs of earlier versions send. */
  epoch: z.number().int().nonnegative().optional(),
  fact: z.unknown().optional(),
});

/** Issues of a value that a description names. */
const MAX_DESCRIBED_ISSUES = 5;

/**
 * @param error Error of a schema, with any number of issues.
 * @param maxChars Longest description.
 * @returns A description of the first issues.
 */
export function describeIssues(error: z.ZodError, maxChars: number): string {
  const issues = error.issues.slice(0, MAX_DESCRIBED_ISSUES);
  return z.prettifyError({ issues }).slice(0, maxChars);
}
