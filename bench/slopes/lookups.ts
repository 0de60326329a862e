/**
 * Measures look-ups and the table of client blocks.
 *
 * @module
 */
import process from "node:process";
import type {
  FleetDocument,
  ServiceDocument,
} from "../../src/config/schema.ts";
import { createBlockTable } from "../../src/lookup/blocks.ts";
import { answerLookup } from "../../src/lookup/logic.ts";
import { formatIpv4, parseIpv4 } from "../../src/runtime/address.ts";
import { createRandom } from "../../src/runtime/random.ts";
import type { Row } from "../report.ts";
import { makeMember } from "./members.ts";
import { makeRow, measureBytes, measureTimeUs } from "./points.ts";

function makeBlocks(count: number): FleetDocument["clientBlocks"] {
  const first = parseIpv4("10.0.0.0")!;
  return Array.from({ length: count }, (_, index) => ({
    cidr: `${formatIpv4(first + index * 256)}/24`,
    blockPrefixLength: 24,
    region: `region-${index % 30}`,
  }));
}

/** @returns Results for the table of client blocks. */
export function measureBlocks(): Row[] {
  const sizes = [20_000, 80_000, 160_000, 330_000];
  const memory = sizes.map((size) => {
    const blocks = makeBlocks(size);
    return { size, value: measureBytes(() => createBlockTable(blocks)) };
  });
  const first = parseIpv4("10.0.0.0")!;
  const random = createRandom(1);
  const lookupTimes = sizes.map((size) => {
    const table = createBlockTable(makeBlocks(size));
    const value = measureTimeUs(100_000, () => {
      table.find(first + Math.floor(random() * size) * 256);
    });
    return { size, value };
  });
  return [
    makeRow("memory of the block table", "bytes a block", memory),
    makeRow("finding a block", "us, against blocks", lookupTimes),
  ];
}

/** @returns Results for look-ups. */
export function measureLookup(): Row[] {
  const table = createBlockTable(makeBlocks(330_000));
  const first = parseIpv4("10.0.0.0")!;
  const random = createRandom(1);
  const points = [2, 4, 8, 16].map((perRegion) => {
    const members = Array.from({ length: perRegion }, (_, index) => ({
      ...makeMember(index),
      failureDomain: `domain-${index % 3}`,
      region: "region-0",
    }));
    const regionOf = new Map(
      [0, 1, 2].map((index) => [`domain-${index}`, "region-0"]),
    );
    const address = { caller: "127.0.0.1:1", peer: "", operator: "" };
    const fleet = {
      entryVms: members.map(({ vmId, failureDomain }) => ({
        id: vmId,
        failureDomain,
        steer: address,
        entry: address,
      })),
      withinRegionOneWayMs: 1,
      links: [],
    } as unknown as FleetDocument;
    const document = { service: "s", answerTtlMs: 1 } as ServiceDocument;
    const row = { "domain-0": 0.4, "domain-1": 0.3, "domain-2": 0.3 };
    const value = measureTimeUs(10_000, () => {
      const client = table.find(
        first + Math.floor(random() * 330_000) * 256,
      )!;
      const text = JSON.stringify(answerLookup({
        document,
        configNumber: 1,
        fleet,
        client: { ...client, region: "region-0" },
        row,
        planNumber: 1,
        regionOf,
        serving: members,
        getUtilization: () => 0,
        wallMs: 0,
      }));
      if (text === undefined) throw new Error("No answer");
    });
    return { size: perRegion, value };
  });
  const rows = [
    makeRow(
      "a look-up's answer, 330,000 blocks",
      "us, against entries of the region",
      points,
    ),
  ];
  for (const { size, value } of points) {
    process.stderr.write(
      `    ${size} entries: ${Math.round(1e6 / value)} look-ups/s a core\n`,
    );
  }
  return rows;
}
