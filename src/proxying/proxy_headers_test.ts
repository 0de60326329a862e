import * as assert from "uvu/assert";
import { test } from "uvu";
import {
  decodeProxyResult,
  encodeProxyResult,
  type ProxyResult,
  stripProxyHeaders,
} from "./proxy_headers.ts";

const STATUS = 502;

test("results are decoded as they were encoded", () => {
  const results: ProxyResult[] = [
    { kind: "response" },
    { kind: "declined", reason: "service lost" },
    { kind: "not_sent", reason: "refused" },
    { kind: "lost", reason: "timeout" },
    { kind: "withheld", reason: "draining" },
    { kind: "withheld", reason: "backoff", backoffMs: 1_500 },
  ];
  for (const result of results) {
    const headers = encodeProxyResult(result);
    assert.equal(decodeProxyResult(STATUS, headers), result);
    assert.equal(stripProxyHeaders(headers), {});
  }
});

// VMs of earlier versions must ask another VM, and count no attempt as sent.
test("a VM that doesn't know withheld requests reads a decline", () => {
  const headers = encodeProxyResult({ kind: "withheld", reason: "draining" });
  assert.is(headers["hawthorngw-proxy-result"], "declined");
});

test("an unknown reason is a decline, an unusable backoff none", () => {
  const headers = { "hawthorngw-proxy-result": "declined" };
  const withheld = (reason: string, backoffMs: string) =>
    decodeProxyResult(STATUS, {
      ...headers,
      "hawthorngw-proxy-withheld": reason,
      "hawthorngw-proxy-backoff-ms": backoffMs,
    });
  assert.is(withheld("tired", "5").kind, "declined");
  for (const backoffMs of ["", "-1", "x"]) {
    const expected = { kind: "withheld", reason: "backoff" };
    assert.equal(withheld("backoff", backoffMs), expected);
  }
});

test.run();
