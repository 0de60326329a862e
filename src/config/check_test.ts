import * as assert from "uvu/assert";
import { test } from "uvu";
import { checkFleet, checkService } from "./check.ts";
import { makeServiceText } from "./fixture.ts";
import { formatProblem } from "./jsonc.ts";
import type { FleetDocument } from "./schema.ts";

const fleet = {
  regions: [{ name: "thies", failureDomains: ["thies-1"] }],
} as FleetDocument;

test("defaults are filled in", () => {
  const source = { file: "enrol.jsonc", text: makeServiceText() };
  const { document, warnings } = checkService(source, fleet)._unsafeUnwrap();
  assert.is(document.backendServers[0].connections, 400);
  assert.equal(document.coldStart, { rampS: 10, initialShare: 0.2 });
  assert.equal(warnings, []);
});

const invalidDocuments: [string, string, RegExp][] = [
  ["not JSON", '{ "service": }', /^enrol\.jsonc:1:\d+: Not JSON/],
  ["unknown field", makeServiceText({ shfitCap: 1 }), /shfitCap/],
  [
    "cap above 1",
    makeServiceText({ shiftCap: { maxShare: 2, windowS: 10 } }),
    /enrol\.jsonc:\d+:17: shiftCap\.maxShare: .*<=1/,
  ],
  [
    "missing field",
    makeServiceText({ classes: undefined }),
    /enrol\.jsonc:2:1: classes: /,
  ],
  [
    "unknown region",
    makeServiceText({ regions: ["dakar"] }),
    /regions\[0\]: No region is named "dakar"; allowed: thies/,
  ],
  [
    "unknown drain",
    makeServiceText({ drains: [{ scope: "backendServer", name: "enrol-9" }] }),
    /drains\[0\]\.name: .*allowed: enrol-1/,
  ],
  [
    "host name for an address",
    makeServiceText({
      backendServers: [{
        id: "enrol-1",
        failureDomain: "thies-1",
        address: "localhost:80",
        slots: 3,
      }],
    }),
    /backendServers\[0\]\.address: Expected an IPv4 number and a port/,
  ],
  [
    "no cap",
    makeServiceText({ shiftCap: undefined }),
    /shiftCap/,
  ],
];

for (const [name, text, expected] of invalidDocuments) {
  test(`problem is reported with file, line and field: ${name}`, () => {
    const checked = checkService({ file: "enrol.jsonc", text }, fleet);
    const problems = checked._unsafeUnwrapErr().map(formatProblem).join("\n");
    assert.match(problems, expected);
  });
}

test("too little capacity for the expected requests is a warning", () => {
  const text = makeServiceText({
    expectedRequestsPerS: { thies: 1_000 },
    expectedServiceMs: 50,
  });
  const { warnings } = checkService({ file: "enrol.jsonc", text }, fleet)
    ._unsafeUnwrap();
  assert.match(warnings.map(formatProblem).join(), /refused as not run/);
});

test("a fleet's names and ranges are checked", () => {
  const text = JSON.stringify({
    regions: [{ name: "thies", failureDomains: ["thies-1"] }],
    entryVms: [{
      id: "vm",
      failureDomain: "thies-9",
      steer: endpoints(7100),
      entry: endpoints(7200),
    }],
    clientBlocks: [{ cidr: "10.0.0.0/30", region: "dakar" }],
  });
  const problems = checkFleet({ file: "fleet.jsonc", text })
    ._unsafeUnwrapErr().map(formatProblem).join("\n");
  assert.match(problems, /entryVms\[0\]\.failureDomain: .*allowed: thies-1/);
  assert.match(problems, /clientBlocks\[0\]\.region/);
  assert.match(problems, /clientBlocks\[0\]\.cidr/);
});

function endpoints(port: number) {
  return {
    caller: `127.0.0.1:${port}`,
    peer: `127.0.0.1:${port + 1}`,
    operator: `127.0.0.1:${port + 2}`,
  };
}

test.run();
