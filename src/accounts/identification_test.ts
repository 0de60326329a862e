import * as assert from "uvu/assert";
import { test } from "uvu";
import { createAccountDirectory } from "./directory.ts";
import {
  type Credentials,
  identifyCaller,
  intersectHomeRegions,
} from "./identification.ts";
import { digestKey } from "./keys.ts";
import type { AccountBounds, ClientAccount } from "./types.ts";

const BOUNDS: AccountBounds = {
  configurationDeadlineMs: 3_000,
  revocationDeadlineMs: 5_000,
  limitMargin: { windowMs: 5_000, ratio: 0.1, allowance: 20 },
};

function makeAccount(name: string, ...keys: string[]): ClientAccount {
  return {
    name,
    keyDigests: keys.map(digestKey),
    burst: 0,
    homeRegions: [],
  };
}

const accounts = createAccountDirectory([
  makeAccount("one", "k1", "k2"),
  makeAccount("__proto__", "k3"),
]);

function identifyWith(changes: Partial<Credentials>, bounds = BOUNDS): string {
  const identification = identifyCaller({
    accounts,
    isPublic: false,
    apiKey: "k1",
    knowledgeAgeMs: 0,
    ...changes,
  }, bounds);
  return identification.kind === "account"
    ? identification.account.name
    : identification.kind;
}

test("each key of an account identifies it, whatever its name", () => {
  assert.is(identifyWith({ apiKey: "k2" }), "one");
  assert.is(identifyWith({ apiKey: "k3" }), "__proto__");
});

test("a missing key and keys without an account are unknown", () => {
  assert.is(identifyWith({ apiKey: undefined }), "unknown");
  assert.is(identifyWith({ apiKey: "" }), "unknown");
  assert.is(identifyWith({ apiKey: "__proto__" }), "unknown");
  assert.is(identifyWith({ apiKey: "constructor" }), "unknown");
});

test("no account is needed on public routes or without accounts", () => {
  assert.is(identifyWith({ isPublic: true, apiKey: "other" }), "open");
  assert.is(identifyWith({ accounts: undefined, apiKey: undefined }), "open");
  const oldest = { isPublic: true, knowledgeAgeMs: Infinity };
  assert.is(identifyWith(oldest), "open");
});

test("a VM with an outdated configuration doesn't report a key as unknown", () => {
  assert.is(identifyWith({ apiKey: "new", knowledgeAgeMs: 2_900 }), "unknown");
  assert.is(identifyWith({ apiKey: "new", knowledgeAgeMs: 3_100 }), "unproven");
});

test("no key is accepted once its revocation may have been missed", () => {
  assert.is(identifyWith({ knowledgeAgeMs: 4_600 }), "one");
  assert.is(identifyWith({ knowledgeAgeMs: 5_000 }), "unproven");
  assert.is(identifyWith({ knowledgeAgeMs: Infinity }), "unproven");
});

test("without a revocation deadline, partitioned VMs use their configuration", () => {
  const bounds = { ...BOUNDS, revocationDeadlineMs: undefined };
  assert.is(identifyWith({ knowledgeAgeMs: 600_000 }, bounds), "one");
});

test("home regions of the route and of the account both apply", () => {
  assert.equal(intersectHomeRegions([], []), []);
  assert.equal(intersectHomeRegions(["oslo"], []), ["oslo"]);
  assert.equal(intersectHomeRegions([], ["bergen"]), ["bergen"]);
  assert.equal(intersectHomeRegions(["oslo", "bergen"], ["bergen"]), [
    "bergen",
  ]);
  assert.is(intersectHomeRegions(["oslo"], ["bergen"]), undefined);
});

test.run();
