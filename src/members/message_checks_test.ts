import { Buffer } from "node:buffer";
import fc from "fast-check";
import * as assert from "uvu/assert";
import { test } from "uvu";
import { createLinkCodec, encodeBroadcastFrame } from "../runtime/peer_link.ts";
import { isFrequentMessage } from "./message_checks.ts";
import { type VmMessage, vmMessageSchema } from "./messages.ts";

const SEED = 20261203;
const RUNS = 20_000;

const count = fc.nat();
const nonNegative = fc.double({ min: 0, noNaN: true, noDefaultInfinity: true });
const pairs = fc.array(fc.tuple(count, count), { maxLength: 4 })
  .map((tuples) => tuples.flat());
const ratePerS = fc.double({ min: 0, max: 1e9, noNaN: true });
const age = fc.double({ min: 0, max: 1e12, noNaN: true });
const demand = fc.dictionary(fc.string({ maxLength: 4 }), ratePerS, {
  maxKeys: 3,
  noNullPrototype: true,
});
const state = fc.constantFrom("starting", "serving", "leaving");
const epochs = fc.array(
  fc.record({
    epoch: count,
    copiedThrough: nonNegative,
    isSettled: fc.boolean(),
  }, {
    requiredKeys: ["epoch", "copiedThrough"],
    noNullPrototype: true,
  }),
  { maxLength: 2 },
);
const digest = fc.record(
  { facts: count, versionSum: fc.integer(), epochSum: nonNegative, epochs },
  { requiredKeys: ["facts", "versionSum"], noNullPrototype: true },
);
const digests = fc.record(
  { operations: digest, servers: digest, suspects: digest },
  { requiredKeys: ["operations", "servers"], noNullPrototype: true },
);
const text = fc.string({ maxLength: 6 });
const address = fc.constantFrom("127.0.0.1:1", "vm.example:65535");
const identity = fc.record({
  id: text,
  incarnation: text,
  region: text,
  failureDomain: text,
  frontAddress: address,
  peerAddress: address,
  cores: fc.constantFrom(0.25, 1, 8),
}, { noNullPrototype: true });
const requests = fc.integer({ min: -1e9, max: 1e9 });
const usage = fc.array(
  fc.oneof(
    fc.tuple(text, requests),
    fc.tuple(text, requests, requests),
  ),
  { maxLength: 3 },
);

/** Messages of every frequent kind, some without their optional fields. */
const messages = fc.oneof(
  fc.record({
    kind: fc.constant("report"),
    state,
    demandPerS: demand,
    digests,
    stamp: count,
    knowledgeAgeMs: age,
  }, { requiredKeys: ["kind"], noNullPrototype: true }),
  fc.record({
    kind: fc.constant("proof"),
    version: nonNegative,
    configuration: nonNegative,
    ageMs: age,
    stamp: count,
    heldMs: age,
  }, {
    requiredKeys: ["kind", "version", "ageMs", "stamp", "heldMs"],
    noNullPrototype: true,
  }),
  fc.record({
    kind: fc.constantFrom("usage", "server_usage"),
    scope: fc.constantFrom("vm", "region", "rest"),
    vms: fc.nat(4_096),
    usage,
  }, { noNullPrototype: true }),
  fc.record({
    kind: fc.constant("read"),
    topic: fc.constantFrom("operations", "servers"),
    digest,
    isOwn: fc.boolean(),
    readPositions: fc.array(
      fc.record({ epoch: count, number: count }, { noNullPrototype: true }),
      { maxLength: 2 },
    ),
  }, {
    requiredKeys: ["kind", "topic", "digest", "isOwn"],
    noNullPrototype: true,
  }),
  fc.record({
    kind: fc.constant("view"),
    scope: fc.constantFrom("linked", "fleet"),
    base: count,
    revision: fc.integer({ min: 1 }),
    up: fc.array(fc.record({ identity, state }, { noNullPrototype: true }), {
      maxLength: 2,
    }),
    gone: fc.array(text, { maxLength: 2 }),
    demandPerS: fc.dictionary(text, demand, {
      maxKeys: 2,
      noNullPrototype: true,
    }),
  }, { noNullPrototype: true }),
  fc.record({
    kind: fc.constant("activity"),
    scope: fc.constantFrom("vm", "region", "all", "past"),
    asked: pairs,
    forgotten: pairs,
    running: pairs,
  }, { noNullPrototype: true }),
);

/** One entry too many for a record of demands. */
const MANY_ENTRIES = Object.fromEntries(
  Array.from({ length: 16_385 }, (_, index) => [`${index}`, 1]),
);

/** Values at and beyond the bounds of the schema, and of other types. */
const replacements = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.constantFrom<unknown>(
      undefined,
      null,
      true,
      -1,
      -0,
      0,
      0.5,
      4_096,
      4_097,
      Number.MAX_SAFE_INTEGER,
      Number.MAX_SAFE_INTEGER + 1,
      1e9 + 1,
      1e12 + 1,
      1e308,
      1e-300,
      NaN,
      Infinity,
      7n,
      "vm",
      "127.0.0.1:0",
      "127.0.0.1:65536",
      "127.0.0.999:1",
      [],
      {},
    ),
  },
  fc.constantFrom<unknown>(
    new Date(0),
    new Map([["epoch", 1]]),
    Object.create(null),
    [1],
    [1, -1],
    ["a", 1, undefined],
    ["a", 1, 2, 3],
    [["a", 1.5]],
    [["a", 1e9 + 1]],
    [["a", 1, -1e9 - 1]],
    { epoch: 1, copiedThrough: 0 },
    Array.from({ length: 65 }, () => ({ epoch: 1, copiedThrough: 0 })),
    Array.from({ length: 4_097 }, () => "vm"),
    Array.from({ length: 4_096 }, () => "vm"),
    JSON.parse(`{"__proto__":1}`),
    JSON.parse(`{"__proto__":{"a":1}}`),
    { constructor: 1 },
    MANY_ENTRIES,
    { a: MANY_ENTRIES, b: {} },
  ),
  fc.constantFrom(64, 65, 128, 129, 200, 201).map((size) => "x".repeat(size)),
  fc.constantFrom(64, 65, 200, 201).map((size) => ({ ["x".repeat(size)]: 1 })),
  fc.anything(),
);
const names = fc.oneof(
  fc.constantFrom(
    "kind",
    "state",
    "suspects",
    "cores",
    "peerAddress",
    "isSettled",
    "__proto__",
    "toString",
    "later",
  ),
  fc.string({ maxLength: 3 }),
);

interface Change {
  action: "replace" | "remove" | "add";
  /** Selects the place within the message. */
  place: number;
  name: string;
  value: unknown;
}

const changes: fc.Arbitrary<Change> = fc.record({
  action: fc.constantFrom("replace", "replace", "replace", "remove", "add"),
  place: fc.nat(),
  name: names,
  value: replacements,
});

type Container = Record<string, unknown>;

function listContainers(value: unknown): Container[] {
  if (typeof value !== "object" || value === null) return [];
  const container = value as Container;
  return [container, ...Object.values(container).flatMap(listContainers)];
}

function define(container: Container, name: string, value: unknown): void {
  // A plain assignment of `__proto__` would set the prototype.
  Object.defineProperty(container, name, {
    value,
    enumerable: true,
    configurable: true,
    writable: true,
  });
}

/** Damages a message at some depth, in place. */
function apply(message: unknown, { action, place, name, value }: Change): void {
  const places = listContainers(message).flatMap((container) =>
    Object.keys(container).map((key): [Container, string] => [container, key])
  );
  if (places.length === 0) return;
  const [container, key] = places[place % places.length];
  if (action === "replace") define(container, key, value);
  else if (Array.isArray(container)) container.splice(Number(key), 1);
  else if (action === "remove") delete container[key];
  else define(container, name, value);
}

const damagedMessages = fc.tuple(messages, fc.option(changes)).map(
  ([message, change]) => {
    const copy = structuredClone(message) as unknown;
    if (change !== null) apply(copy, change);
    return copy;
  },
);

// Guards against a check that accepts what the schema rejects or changes.
test("a quick check accepts only what the schema returns unchanged", () => {
  let accepted = 0;
  fc.assert(
    fc.property(damagedMessages, (message) => {
      if (!isFrequentMessage(message)) return;
      accepted++;
      const checked = vmMessageSchema.safeParse(message);
      assert.ok(checked.success, "rejected by the schema");
      assert.equal(checked.data, message);
    }),
    { seed: SEED, numRuns: RUNS },
  );
  assert.ok(accepted > RUNS / 4, `${accepted} accepted`);
});

// Guards against messages that take the slow path without notice.
test("messages of this version need no run of the schema", () => {
  fc.assert(
    fc.property(messages, (message) => {
      const checked = vmMessageSchema.parse(message);
      assert.ok(isFrequentMessage(checked));
    }),
    { seed: SEED, numRuns: 2_000 },
  );
});

// Guards against links that accept or close for other frames than before.
test("links decode intact and damaged frames as with the schema alone", () => {
  const quick = createLinkCodec(vmMessageSchema, true, isFrequentMessage);
  const reference = createLinkCodec(vmMessageSchema, true);
  fc.assert(
    fc.property(
      messages,
      fc.array(fc.tuple(fc.nat(), fc.nat(255)), { maxLength: 2 }),
      fc.nat(20),
      (message, bytes, cut) => {
        const encoded = encodeBroadcastFrame(message as VmMessage);
        const frame = Buffer.from(encoded);
        for (const [at, byte] of bytes) frame[at % frame.length] = byte;
        const end = cut === 0 ? frame.length - 1 : frame.length;
        const received = frame.subarray(0, end);
        assert.equal(quick.decode(received), reference.decode(received));
      },
    ),
    { seed: SEED, numRuns: RUNS },
  );
});

// Guards against the rejection of messages of earlier builds.
test("absent fields of earlier builds get their defaults", () => {
  const codec = createLinkCodec(vmMessageSchema, true, isFrequentMessage);
  const none = { facts: 0, versionSum: 0 };
  const report = {
    kind: "report",
    digests: { operations: none, servers: none },
  } as VmMessage;
  assert.equal(codec.decode(encodeBroadcastFrame(report)), {
    kind: "report",
    digests: { operations: none, servers: none, suspects: none },
  });
});

test.run();
