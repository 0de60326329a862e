/**
 * Cost per unit against size, for `docs/CAPACITY.md`: at least four sizes each,
 * with a straight-line fit.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import process from "node:process";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import type { FleetDocument, ServiceDocument } from "../src/config/schema.ts";
import { createControlCodec } from "../src/control/links.ts";
import type { PeerMessage } from "../src/control/messages.ts";
import { createKeyRegistry } from "../src/forwarding/key_registry.ts";
import { parseKey } from "../src/forwarding/keys.ts";
import { createBlockTable } from "../src/lookup/blocks.ts";
import { answerLookup } from "../src/lookup/logic.ts";
import { noteHeartbeat, observeMembers } from "../src/membership/logic.ts";
import { createMembershipState } from "../src/membership/state.ts";
import type { Member } from "../src/membership/types.ts";
import { applyChanges, createReplicaState } from "../src/replica/logic.ts";
import { formatIpv4, parseIpv4 } from "../src/runtime/address.ts";
import { createRandom } from "../src/runtime/random.ts";
import { decidePlan } from "../src/steering/decide.ts";
import type { AssignInput, Plan } from "../src/steering/types.ts";
import { publish, type Row } from "./report.ts";

setFlagsFromString("--expose_gc");
const collectGarbage = runInNewContext("gc") as () => void;

interface Point {
  size: number;
  value: number;
}

/** Least squares; the error is the largest miss as a share of the value. */
function fit(points: readonly Point[]) {
  const n = points.length;
  const meanX = points.reduce((sum, { size }) => sum + size, 0) / n;
  const meanY = points.reduce((sum, { value }) => sum + value, 0) / n;
  const over = points.reduce(
    (sum, { size, value }) => sum + (size - meanX) * (value - meanY),
    0,
  );
  const under = points.reduce((sum, { size }) => sum + (size - meanX) ** 2, 0);
  const slope = over / under;
  const base = meanY - slope * meanX;
  const error = Math.max(
    ...points.map(({ size, value }) =>
      Math.abs(base + slope * size - value) / Math.abs(value || 1)
    ),
  );
  return { slope, base, error };
}

function makeRow(what: string, unit: string, points: Point[]): Row {
  const { slope, base, error } = fit(points);
  process.stderr.write(`  ${what}\n`);
  return {
    what,
    unit,
    sizes: points.map(({ size }) => size).join(" "),
    values: points.map(({ value }) => value.toPrecision(4)).join(" "),
    "per unit": slope,
    base,
    "worst miss": `${(error * 100).toFixed(0)}%`,
  };
}

/** Microseconds that a call takes, the best of three runs. */
function timeUs(calls: number, run: (index: number) => void): number {
  let best = Infinity;
  for (let round = 0; round < 3; round++) {
    const startMs = performance.now();
    for (let index = 0; index < calls; index++) run(index);
    best = Math.min(best, (performance.now() - startMs) * 1_000 / calls);
  }
  return best;
}

/** Bytes that what is made holds on to, buffers included. */
function measureBytes(make: () => unknown): number {
  // What earlier measurements left behind must be gone before the first look.
  make();
  collectGarbage();
  collectGarbage();
  const used = () => {
    const { heapUsed, arrayBuffers } = process.memoryUsage();
    return heapUsed + arrayBuffers;
  };
  const before = used();
  const made = make();
  collectGarbage();
  const bytes = used() - before;
  if (made === undefined) throw new Error("Nothing was made");
  return bytes;
}

function makeBlocks(count: number): FleetDocument["clientBlocks"] {
  const first = parseIpv4("10.0.0.0")!;
  return Array.from({ length: count }, (_, index) => ({
    cidr: `${formatIpv4(first + index * 256)}/24`,
    blockPrefixLength: 24,
    region: `region-${index % 30}`,
  }));
}

function makeMember(index: number): Member {
  const domain = index % 87;
  return {
    id: `vm-${index}/entry`,
    vmId: `vm-${index}`,
    role: "entry",
    failureDomain: `domain-${domain}`,
    region: `region-${domain % 30}`,
    incarnation: 1_700_000_000_000 + index,
    state: "serving",
  };
}

function measureBlocks(): Row[] {
  const sizes = [20_000, 80_000, 160_000, 330_000];
  const memory = sizes.map((size) => {
    const blocks = makeBlocks(size);
    return { size, value: measureBytes(() => createBlockTable(blocks)) };
  });
  const first = parseIpv4("10.0.0.0")!;
  const random = createRandom(1);
  const look = sizes.map((size) => {
    const table = createBlockTable(makeBlocks(size));
    const value = timeUs(100_000, () => {
      table.find(first + Math.floor(random() * size) * 256);
    });
    return { size, value };
  });
  return [
    makeRow("memory of the block table", "bytes a block", memory),
    makeRow("finding a block", "us, against blocks", look),
  ];
}

function measureLookup(): Row[] {
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
    const value = timeUs(10_000, () => {
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
        utilizationOf: () => 0,
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

function makePlanInput(domains: number): AssignInput {
  const random = createRandom(5);
  const regions = Math.ceil(domains / 3);
  const places = Array.from({ length: domains }, (_, index) => ({
    failureDomain: `domain-${index}`,
    region: `region-${index % regions}`,
    slots: 10 + Math.floor(20 * random()),
  }));
  const total = places.reduce((sum, { slots }) => sum + slots, 0);
  const at = Array.from({ length: regions }, () => [random(), random()]);
  return {
    places,
    demand: Array.from({ length: regions }, (_, index) => ({
      region: `region-${index}`,
      slots: total * 0.8 / regions * (0.3 + 1.4 * random()),
    })),
    delayMs(from, to) {
      const [a, b] = [from, to].map((name) => at[Number(name.split("-")[1])]);
      return from === to ? 1 : 5 + 60 * Math.hypot(a[0] - b[0], a[1] - b[1]);
    },
    linkSlots: () => Infinity,
  };
}

function measurePlanner(): Row[] {
  const document = {
    service: "s",
    shiftCap: { maxShare: 0.1, windowS: 10 },
  } as ServiceDocument;
  const time = (domains: number, current: "kept" | "changed") => {
    const input = makePlanInput(domains);
    const regionOf = new Map(
      input.places.map(({ failureDomain, region }) => [failureDomain, region]),
    );
    const demandShare = Object.fromEntries(
      input.demand.map(({ region }) => [region, 1 / input.demand.length]),
    );
    const decide = (plan: Plan | undefined, wallMs: number) =>
      decidePlan({
        document,
        current: plan,
        defaults: {},
        estimate: { input, demandShare },
        regionOf,
        blockCount: 330_000,
        epoch: 1,
        wallMs,
      });
    let plan = decide(undefined, 0)!;
    for (let step = 1; current === "kept" && step < 100; step++) {
      plan = decide(plan, step * 60_000) ?? plan;
    }
    return timeUs(20, () => {
      decide(plan, 1e9);
    });
  };
  const sizes = [12, 30, 60, 87];
  return [
    makeRow(
      "deciding on a plan that is kept",
      "us a service, against failure domains",
      sizes.map((size) => ({ size, value: time(size, "kept") })),
    ),
    makeRow(
      "deciding on a plan that changes",
      "us a service, against failure domains",
      sizes.map((size) => ({ size, value: time(size, "changed") })),
    ),
  ];
}

function measureMessages(): Row[] {
  const wire = (make: (size: number) => PeerMessage, sizes: number[]) =>
    sizes.map((size) => {
      const codec = createControlCodec();
      codec.encode(make(size));
      return { size, value: codec.encode(make(size)).length };
    });
  const cpu = (make: (size: number) => PeerMessage, sizes: number[]) =>
    sizes.map((size) => {
      const sender = createControlCodec();
      const receiver = createControlCodec();
      const message = make(size);
      const value = timeUs(500, () => {
        receiver.decode(Buffer.from(sender.encode(message)));
      });
      return { size, value };
    });
  const makeViews = (members: number): PeerMessage => ({
    kind: "views",
    views: [{
      failureDomain: "domain-1",
      authorId: "vm-1/steer",
      authorIncarnation: 1,
      sequence: 7,
      lowestVersion: 9,
      behindCount: 0,
      members: members === 0
        ? undefined
        : Array.from({ length: members }, (_, index) => makeMember(index)),
    }],
  });
  const makeLoad = (services: number): PeerMessage => ({
    kind: "load",
    loads: [{
      entryId: "vm-1/entry",
      failureDomain: "domain-1",
      utilization: 0.5,
      services: Array.from({ length: services }, (_, index) => ({
        service: `service-${index}`,
        usableSlots: 40,
        inFlight: 21,
        serviceMs: 110,
        arrivals: [{ region: "region-1", requestsPerS: 210 }],
        bytesPerRequest: 1_300,
      })),
    }],
  });
  const rowOf = (index: number) => ({
    key: `config/service/service-${index}`,
    version: index + 1,
    writeId: "0123456789abcdef01234567",
    value: "x".repeat(2_000),
  });
  const makeChanges = (rows: number): PeerMessage => ({
    kind: "changes",
    changes: {
      afterVersion: 0,
      throughVersion: rows,
      rows: Array.from({ length: rows }, (_, index) => rowOf(index)),
    },
  });
  const sizes = [1, 8, 16, 30];
  return [
    makeRow(
      "a view with members",
      "bytes, against members",
      wire(makeViews, sizes),
    ),
    makeRow(
      "a view with members, both ends",
      "us, against members",
      cpu(makeViews, sizes),
    ),
    makeRow(
      "an entry's figures",
      "bytes, against services",
      wire(makeLoad, sizes),
    ),
    makeRow(
      "an entry's figures, both ends",
      "us, against services",
      cpu(makeLoad, sizes),
    ),
    makeRow(
      "changed documents of 2 kB",
      "bytes, against documents",
      wire(makeChanges, sizes),
    ),
    makeRow(
      "changed documents of 2 kB, both ends",
      "us, against documents",
      cpu(makeChanges, sizes),
    ),
  ];
}

function measureState(): Row[] {
  const members = [100, 500, 1_300, 2_600];
  const fill = (size: number) => {
    const state = createMembershipState(makeMember(0));
    for (let index = 1; index <= size; index++) {
      noteHeartbeat(state, { member: makeMember(index), throughVersion: 1 }, 0);
    }
    return state;
  };
  const keys = [5_000, 20_000, 50_000, 100_000];
  const documents = [100, 500, 1_000, 1_900];
  return [
    makeRow(
      "memory of membership",
      "bytes a member",
      members.map((size) => ({ size, value: measureBytes(() => fill(size)) })),
    ),
    makeRow(
      "judging all members",
      "us, against members",
      members.map((size) => {
        const state = fill(size);
        return { size, value: timeUs(50, () => void observeMembers(state, 1)) };
      }),
    ),
    makeRow(
      "memory of remembered keys, 300-byte answers",
      "bytes a key",
      keys.map((size) => ({
        size,
        value: measureBytes(() => {
          const registry = createKeyRegistry();
          for (let index = 0; index < size; index++) {
            const key = parseKey(`vm-1.1.1.key-${10_000_000 + index}`)!;
            registry.begin(key, "0123456789abcdef", 1);
            const body = Buffer.alloc(300);
            const answer = {
              status: 200,
              contentType: "text/plain",
              body,
              serverId: "s",
            };
            registry.finish(key, { kind: "answer", answer });
          }
          return registry;
        }),
      })),
    ),
    makeRow(
      "memory of replicated rows of 2 kB",
      "bytes a row",
      documents.map((size) => ({
        size,
        value: measureBytes(() => {
          const replica = createReplicaState();
          applyChanges(replica, {
            afterVersion: 0,
            throughVersion: size,
            rows: Array.from({ length: size }, (_, index) => ({
              key: `config/service/${index}`,
              version: index + 1,
              writeId: "w",
              value: Buffer.alloc(2_000, 97 + index % 20).toString("latin1"),
            })),
          });
          return replica;
        }),
      })),
    ),
  ];
}

/** Measures all slopes and prints the table. */
export function benchSlopes(): void {
  publish("slopes", "Cost per unit against size", [
    ...measureBlocks(),
    ...measureLookup(),
    ...measurePlanner(),
    ...measureMessages(),
    ...measureState(),
  ]);
}
