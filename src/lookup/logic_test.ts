import fc from "fast-check";
import * as assert from "uvu/assert";
import { test } from "uvu";
import type { FleetDocument, ServiceDocument } from "../config/schema.ts";
import type { Member } from "../membership/types.ts";
import { formatIpv4 } from "../runtime/address.ts";
import { pickRegion } from "../steering/place.ts";
import { createBlockTable } from "./blocks.ts";
import { answerLookup, type LookupInput } from "./logic.ts";

const SEED = 20261202;
type Range = FleetDocument["clientBlocks"][number];

/** @returns Region of the narrowest range that contains the client. */
function findRegionNaively(
  ranges: Range[],
  client: number,
): string | undefined {
  let best: Range | undefined;
  let bestLength = -1;
  for (const range of ranges) {
    const [address, length] = range.cidr.split("/");
    const first = address.split(".")
      .reduce((sum, part) => sum * 256 + Number(part), 0);
    const size = 2 ** (32 - Number(length));
    const start = Math.floor(first / size) * size;
    const contains = client >= start && client < start + size;
    if (contains && Number(length) > bestLength) {
      best = range;
      bestLength = Number(length);
    }
  }
  return best?.region;
}

test("the table finds the same ranges as a linear search", () => {
  const range = fc.record({
    address: fc.nat(0xffff),
    length: fc.integer({ min: 16, max: 30 }),
    region: fc.constantFrom("a", "b", "c"),
  });
  fc.assert(
    fc.property(
      fc.uniqueArray(range, {
        minLength: 1,
        maxLength: 12,
        selector: ({ address, length }) =>
          `${Math.floor(address / 2 ** (32 - length))}/${length}`,
      }),
      fc.array(fc.nat(0x1ffff), { minLength: 20, maxLength: 20 }),
      (made, clients) => {
        const ranges = made.map(({ address, length, region }): Range => ({
          cidr: `${formatIpv4(address)}/${length}`,
          blockPrefixLength: 32,
          region,
        }));
        const table = createBlockTable(ranges);
        for (const client of clients) {
          const found = table.find(client)?.region;
          assert.is(found, findRegionNaively(ranges, client));
        }
      },
    ),
    { seed: SEED, numRuns: 1_000 },
  );
});

test("a change of weights moves little more than the changed share", () => {
  const regionOf = new Map([["a1", "a"], ["b1", "b"], ["c1", "c"]]);
  const getRegion = (row: Record<string, number>, index: number) =>
    pickRegion({ service: "s", block: `10.0.${index}.0/24`, row, regionOf });
  const before = { a1: 0.6, b1: 0.3, c1: 0.1 };
  const after = { a1: 0.5, b1: 0.4, c1: 0.1 };
  const count = 20_000;
  let moved = 0;
  for (let index = 0; index < count; index++) {
    if (getRegion(before, index) !== getRegion(after, index)) moved += 1;
  }
  const share = moved / count;
  assert.ok(share > 0.08 && share < 0.125, `moved ${share}, must be 0.1`);
});

function makeEntry(vmId: string, failureDomain: string): Member {
  return {
    id: `${vmId}/entry`,
    vmId,
    role: "entry",
    failureDomain,
    region: failureDomain[0],
    incarnation: 1,
    state: "serving",
  };
}

const vms = ["a1-x", "a1-y", "a2-x", "b1-x"];
const addresses = { caller: "c", peer: "p", operator: "o" };

function makeInput(changes: Partial<LookupInput> = {}): LookupInput {
  return {
    document: { service: "s", answerTtlMs: 2_000 } as ServiceDocument,
    configNumber: 3,
    fleet: {
      entryVms: vms.map((id) => ({
        id,
        failureDomain: id.slice(0, 2),
        steer: addresses,
        entry: { ...addresses, caller: id },
      })),
      withinRegionOneWayMs: 1,
      links: [{ from: "a", to: "b", oneWayMs: 30, limitBytesPerS: 1 }],
    } as unknown as FleetDocument,
    client: { block: "10.0.0.0/24", region: "a" },
    row: { a1: 0.5, a2: 0.5 },
    planNumber: 2,
    regionOf: new Map([["a1", "a"], ["a2", "a"], ["b1", "b"]]),
    serving: vms.map((id) => makeEntry(id, id.slice(0, 2))),
    getUtilization: () => 0,
    wallMs: 0,
    ...changes,
  };
}

test("all entries of an answer are in the client's region", () => {
  const answer = answerLookup(makeInput())!;
  assert.equal(
    new Set(answer.entries.map(({ region }) => region)),
    new Set("a"),
  );
  assert.is(answer.entries.length, 3);
  assert.is(answer.entries[0].keyPrefix.split(".").length, 3);
});

test("the answer does not depend on the order of the entries", () => {
  const shuffled = makeInput().serving.slice().reverse();
  assert.equal(
    answerLookup(makeInput({ serving: shuffled })),
    answerLookup(makeInput()),
  );
});

test("a client whose region has no entries gets those of the nearest", () => {
  const serving = [makeEntry("b1-x", "b1")];
  const answer = answerLookup(makeInput({ serving }))!;
  assert.equal(answer.entries.map(({ id }) => id), ["b1-x"]);
});

test("a saturated entry is ranked last", () => {
  const first = answerLookup(makeInput())!.entries[0].id;
  const utilizationOf = (id: string) => id === `${first}/entry` ? 1 : 0;
  const { entries } = answerLookup(
    makeInput({ getUtilization: utilizationOf }),
  )!;
  assert.is(entries[entries.length - 1].id, first);
});

test("without any entry there is no answer", () => {
  assert.is(answerLookup(makeInput({ serving: [] })), undefined);
});

test.run();
