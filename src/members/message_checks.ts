/**
 * Fast checks of the messages that VMs exchange many times a second.
 *
 * `vmMessageSchema` alone says what a message is. A check accepts a message only
 * if the schema returns it unchanged, which saves the run of the schema; it took
 * half of the CPU time for decoding. Anything else is left to the schema: other
 * kinds, fields that are unknown or have defaults, and damaged messages.
 *
 * @module
 */
import {
  countEntries,
  isPairs,
  MAX_AGE_MS,
  MAX_CORES,
  MAX_EPOCHS,
  MAX_MEMBERS,
  MAX_RATE_PER_S,
  MAX_RECORD_ENTRIES,
  MIN_CORES,
  type VmMessage,
} from "./messages.ts";
import {
  MAX_LIMIT_NAME_LENGTH,
  MAX_LIMIT_REQUESTS,
  MAX_LIMIT_SUBJECTS,
} from "../limits/usage_encoding.ts";
import { isHostPort } from "../runtime/address.ts";
import type { DemandByRegion } from "./types.ts";

/** Whether a value decoded from a frame is valid. */
type Check = (value: unknown) => boolean;

type Kind = VmMessage["kind"];
type Message<K extends Kind> = Extract<VmMessage, { kind: K }>;
type OptionalField<M> = {
  [F in keyof M]-?: undefined extends M[F] ? F : never;
}[keyof M];
/** The checks of a message's fields. */
interface MessageChecks<M> {
  required: Record<Exclude<keyof M, OptionalField<M> | "kind">, Check>;
  optional: Record<OptionalField<M>, Check>;
}

const isBoolean: Check = (value) => typeof value === "boolean";
const isNumber: Check = (value) => Number.isFinite(value);
const isNonNegative: Check = (value) =>
  typeof value === "number" && value >= 0 && value < Infinity;
const isAge: Check = (value) =>
  isNonNegative(value) && value as number <= MAX_AGE_MS;
const isRate: Check = (value) =>
  isNonNegative(value) && value as number <= MAX_RATE_PER_S;
const isInteger: Check = (value) => Number.isSafeInteger(value);
const isCount: Check = (value) =>
  Number.isSafeInteger(value) && value as number >= 0;

function isStringUpTo(maxLength: number): Check {
  return (value) => typeof value === "string" && value.length <= maxLength;
}

function isOneOf(...options: readonly string[]): Check {
  const known = new Set<unknown>(options);
  return (value) => known.has(value);
}

function isArrayOf(check: Check, maxLength: number): Check {
  return (value) => {
    if (!Array.isArray(value) || value.length > maxLength) return false;
    for (const item of value) if (!check(item)) return false;
    return true;
  };
}

function isPlainObject(value: unknown): value is Record<string, unknown> {
  return typeof value === "object" && value !== null &&
    Object.getPrototypeOf(value) === Object.prototype;
}

/** An object with all of the required fields and no unknown ones. */
function isObjectWith(
  required: Readonly<Record<string, Check>>,
  optional: Readonly<Record<string, Check>> = {},
): Check {
  const checks = new Map(Object.entries({ ...required, ...optional }));
  const requiredFields = new Set(Object.keys(required));
  return (value) => {
    if (!isPlainObject(value)) return false;
    let found = 0;
    for (const field in value) {
      const check = checks.get(field);
      if (check === undefined || !check(value[field])) return false;
      if (requiredFields.has(field)) found++;
    }
    return found === requiredFields.size;
  };
}

/** The schema drops an entry with the name `__proto__`. */
function isRecordOf(maxNameLength: number, check: Check): Check {
  return (value) => {
    if (!isPlainObject(value)) return false;
    let entries = 0;
    for (const name in value) {
      if (++entries > MAX_RECORD_ENTRIES) return false;
      if (name.length > maxNameLength || name === "__proto__") return false;
      if (!check(value[name])) return false;
    }
    return true;
  };
}

const isState = isOneOf("starting", "serving", "leaving");
const isDemand = isRecordOf(200, isRate);
const isDemandByRegion = isRecordOf(64, isDemand);
const isDigest = isObjectWith({ facts: isCount, versionSum: isNumber }, {
  epochSum: isNonNegative,
  epochs: isArrayOf(
    isObjectWith(
      { epoch: isCount, copiedThrough: isNonNegative },
      { isSettled: isBoolean },
    ),
    MAX_EPOCHS,
  ),
});
const isAddress: Check = (value) =>
  typeof value === "string" && value.length <= 64 && isHostPort(value);
const isIdentity = isObjectWith({
  id: isStringUpTo(128),
  incarnation: isStringUpTo(64),
  region: isStringUpTo(64),
  failureDomain: isStringUpTo(64),
  frontAddress: isAddress,
  peerAddress: isAddress,
  cores: (value) =>
    typeof value === "number" && value >= MIN_CORES && value <= MAX_CORES,
});
const isLimitName = isStringUpTo(MAX_LIMIT_NAME_LENGTH);
const isUsageCount: Check = (value) =>
  isInteger(value) && Math.abs(value as number) <= MAX_LIMIT_REQUESTS;
const isUsageEntry: Check = (value) =>
  Array.isArray(value) && (value.length === 2 || value.length === 3) &&
  isLimitName(value[0]) && isUsageCount(value[1]) &&
  (value.length === 2 || isUsageCount(value[2]));
const usageChecks = {
  required: {
    scope: isOneOf("vm", "region", "rest"),
    vms: (value: unknown) => isCount(value) && value as number <= MAX_MEMBERS,
    usage: isArrayOf(isUsageEntry, MAX_LIMIT_SUBJECTS),
  },
  optional: {},
};

/** The kinds that are sent many times a second. */
type FrequentKind =
  | "report"
  | "proof"
  | "usage"
  | "server_usage"
  | "read"
  | "view"
  | "activity";

const frequentMessages: { [K in FrequentKind]: MessageChecks<Message<K>> } = {
  report: {
    required: {},
    optional: {
      state: isState,
      demandPerS: isDemand,
      digests: isObjectWith({
        operations: isDigest,
        servers: isDigest,
        suspects: isDigest,
      }),
      stamp: isCount,
      knowledgeAgeMs: isAge,
    },
  },
  proof: {
    required: {
      version: isNonNegative,
      ageMs: isAge,
      stamp: isCount,
      heldMs: isAge,
    },
    optional: { configuration: isNonNegative },
  },
  usage: usageChecks,
  server_usage: usageChecks,
  read: {
    required: {
      topic: isOneOf("operations", "servers"),
      digest: isDigest,
      isOwn: isBoolean,
    },
    optional: {
      readPositions: isArrayOf(
        isObjectWith({ epoch: isCount, number: isCount }),
        MAX_EPOCHS,
      ),
    },
  },
  view: {
    required: {
      scope: isOneOf("linked", "fleet"),
      base: isCount,
      revision: (value) => isCount(value) && value !== 0,
      up: isArrayOf(
        isObjectWith({ identity: isIdentity, state: isState }),
        MAX_MEMBERS,
      ),
      gone: isArrayOf(isStringUpTo(128), MAX_MEMBERS),
      demandPerS: (value) =>
        isDemandByRegion(value) &&
        countEntries(value as DemandByRegion) <= MAX_RECORD_ENTRIES,
    },
    optional: {},
  },
  activity: {
    required: {
      scope: isOneOf("vm", "region", "all", "past"),
      asked: isPairs,
      forgotten: isPairs,
      running: isPairs,
    },
    optional: {},
  },
};

const checkByKind = new Map<unknown, Check>(
  Object.entries(frequentMessages).map(([kind, { required, optional }]) => [
    kind,
    isObjectWith({ kind: isOneOf(kind), ...required }, optional),
  ]),
);

/**
 * Checks a message of a frequent kind without the schema.
 *
 * @param value A value decoded from a frame.
 * @returns True if the schema accepts the value and returns it unchanged; false
 *   if the schema has to decide.
 */
export function isFrequentMessage(value: unknown): value is VmMessage {
  return isPlainObject(value) &&
    checkByKind.get(value.kind)?.(value) === true;
}
