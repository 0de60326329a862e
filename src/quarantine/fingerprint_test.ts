import { Buffer } from "node:buffer";
import * as assert from "uvu/assert";
import { test } from "uvu";
import { makeFingerprint, type RequestContent } from "./fingerprint.ts";

const CONTENT: RequestContent = {
  method: "POST",
  host: "a.example",
  path: "/a?b=1",
  caller: "17",
  body: Buffer.from("body"),
};

test("a repeat has the same fingerprint, a request with other content has not", () => {
  const fingerprint = makeFingerprint(CONTENT);
  assert.is(
    makeFingerprint({ ...CONTENT, body: Buffer.from("body") }),
    fingerprint,
  );
  const others: Partial<RequestContent>[] = [
    { method: "PUT" },
    { host: "b.example" },
    { path: "/a?b=2" },
    { caller: "18" },
    { body: Buffer.from("bodies") },
  ];
  for (const change of others) {
    assert.is.not(makeFingerprint({ ...CONTENT, ...change }), fingerprint);
  }
});

test("adjacent fields are kept apart in the hash", () => {
  const a = makeFingerprint({ ...CONTENT, host: "a", path: "/b" });
  const b = makeFingerprint({ ...CONTENT, host: "a/", path: "b" });
  assert.is.not(a, b);
});

test.run();
