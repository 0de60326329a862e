import { Buffer } from "node:buffer";
import * as assert from "uvu/assert";
import { test } from "uvu";
import {
  makeReachability,
  makeRegistry,
  makeRoute,
  makeServer,
  makeServerUpdate,
} from "../gateway/fixture.ts";
import { createObjectCacheModel } from "../placement/object_cache_model.ts";
import { createRanking } from "../placement/ranking.ts";
import { createRegionPlan } from "../placement/regions.ts";
import { createCacheSizeEstimator } from "../placement/cache_size.ts";
import type { ClientAccount } from "../accounts/types.ts";
import { createAccountShares } from "../queueing/account_shares.ts";
import { makeAccount } from "../queueing/fixture.ts";
import { createUrgentDemand } from "../queueing/urgency.ts";
import { createFakeClock } from "../runtime/clock.ts";
import type { ServerRegistry } from "../servers/registry.ts";
import type { Route } from "../routing/types.ts";
import type { ListedServer } from "../servers/types.ts";
import { createSilentLog } from "../telemetry/log.ts";
import { makeProgress, makeRequest, makeUnlimitedPermits } from "./fixture.ts";
import { createInflightBodies } from "./inflight_bodies.ts";
import { createLatencyModel } from "./latency_model.ts";
import { createPlacer, type PlacerOptions } from "./placer.ts";

function listTwoServers(registry: ServerRegistry, bergenColdMs: number): void {
  registry.apply(makeServerUpdate(makeServer("oslo-1"), 1));
  const bergen = makeServer("bergen-1", {
    failureDomain: "bergen-a",
    coldLeftMs: bergenColdMs,
  });
  registry.apply(makeServerUpdate(bergen, 2));
}

/** A placer of a VM in oslo, with one server in oslo and one in bergen. */
function startPlacer(
  bergenColdMs: number,
  permits = makeUnlimitedPermits(),
  known?: ServerRegistry,
  changes: Partial<PlacerOptions> = {},
) {
  const clock = createFakeClock();
  const log = createSilentLog();
  const registry = known ?? makeRegistry(clock);
  if (known === undefined) listTwoServers(registry, bergenColdMs);
  const plan = createRegionPlan({
    clock,
    log,
    ownRegion: "oslo",
    getStats: () => [
      { region: "oslo", slots: 4, demand: 1 },
      { region: "bergen", slots: 4, demand: 1 },
    ],
    getRequestsPerS: () => 100,
    maxShift: 0.15,
  });
  return createPlacer({
    clock,
    log,
    registry,
    ranking: createRanking(registry),
    plan,
    ownDomain: "oslo-a",
    coldLimit: { take: () => false },
    permits,
    inflightBodies: createInflightBodies({ clock, log }),
    reachability: makeReachability(clock, registry),
    latencyModel: createLatencyModel(),
    cacheModel: createObjectCacheModel(),
    cacheSizeEstimator: createCacheSizeEstimator(),
    urgentDemand: createUrgentDemand(clock),
    accountShares: createAccountShares(clock),
    getCompetingPriorities: () => [1],
    copyPlan: { getCopies: () => 2 },
    overflow: {
      find: () => ({ kind: "denied", denial: "no_region" }),
      giveBack() {},
    },
    getServiceSettings: () => undefined,
    ...changes,
  });
}

function placeIn(bergenColdMs: number, homeRegions: string[]): string {
  const placed = startPlacer(bergenColdMs).place(
    makeProgress({
      request: makeRequest({ homeRegions }),
    }),
  );
  return placed.kind === "not_placed" ? placed.reason : placed.server.listed.id;
}

test("a request stays in its home region", () => {
  assert.is(placeIn(0, ["bergen"]), "bergen-1");
});

test("a request is refused while all servers of its home region are cold", () => {
  assert.is(placeIn(2_000, ["bergen"]), "all_full");
});

test("another home region takes over from one with cold servers", () => {
  assert.is(placeIn(2_000, ["bergen", "oslo"]), "oslo-1");
});

test("a region whose servers all back off is skipped", () => {
  const permits = {
    ...makeUnlimitedPermits(),
    isValid: ({ id }: ListedServer) => id !== "bergen-1",
  };
  const placed = startPlacer(0, permits).place(
    makeProgress({ request: makeRequest({ homeRegions: ["bergen", "oslo"] }) }),
  );
  assert.ok(placed.kind === "placed");
  assert.is(placed.server.listed.id, "oslo-1");
});

test("a request that gets no permit is refused with the time to retry", () => {
  const permits = {
    ...makeUnlimitedPermits(),
    take: () => false,
    getWaitMs: (servers: readonly ListedServer[]) => 700 * servers.length,
  };
  const placed = startPlacer(0, permits).place(
    makeProgress({ request: makeRequest({ homeRegions: ["oslo"] }) }),
  );
  const reason = "throttled";
  assert.equal(placed, { kind: "not_placed", reason, retryAfterMs: 700 });
});

/** Places uploads from oslo-a for several objects; servers stand in two domains. */
function placeUploads(ownDomainSlots: number): string[] {
  const clock = createFakeClock();
  const registry = makeRegistry(clock);
  const server = makeServer("a-1", { slots: ownDomainSlots });
  registry.apply(makeServerUpdate(server, 1));
  for (const id of ["b-1", "b-2", "b-3"]) {
    const other = makeServer(id, { failureDomain: "oslo-b" });
    registry.apply(makeServerUpdate(other, 2));
  }
  const placer = startPlacer(0, makeUnlimitedPermits(), registry);
  const route = makeRoute({ transfer: "upload", kind: "non_idempotent" });
  return Array.from({ length: 6 }, (_, index) => {
    const request = makeRequest({ route, homeRegions: ["oslo"] });
    const objectKey = `${index}`;
    const placed = placer.place(makeProgress({ request, objectKey }));
    if (placed.kind === "not_placed") return placed.reason;
    placed.server.load.begin();
    return placed.server.listed.failureDomain;
  });
}

// Load: uploads of 60 KB over links of 7 Mbit/s between failure domains.
test("large bodies go to a server of the own failure domain", () => {
  const domains = placeUploads(100);
  assert.ok(domains.every((domain) => domain === "oslo-a"), `${domains}`);
});

// Guards against refusals while only the own failure domain is full.
test("large bodies leave the own failure domain when it is full", () => {
  const domains = placeUploads(2);
  assert.ok(domains.includes("oslo-b"), `${domains}`);
  assert.not.ok(domains.includes("all_full"), `${domains}`);
});

/**
 * Places an upload of 60 KB; the servers in `full` have no room for its body,
 * those in `above` only above their current limit.
 */
function placeUploadBeside(
  full: string[],
  ejected: string[] = [],
  above: string[] = [],
) {
  const clock = createFakeClock();
  const registry = makeRegistry(clock);
  for (const id of ["1", "2", "3", "4", "5", "6"]) {
    registry.apply(makeServerUpdate(makeServer(id), 1));
  }
  for (const { listed, health } of registry.listUsable("s")) {
    if (!ejected.includes(listed.id)) continue;
    health.recordOutcome("unreachable");
    health.recordOutcome("unreachable");
  }
  const passedOver: boolean[] = [];
  const placer = startPlacer(0, makeUnlimitedPermits(), registry, {
    inflightBodies: {
      hasRoom: ({ listed }, _bytes, kind) =>
        !full.includes(listed.id) &&
        (kind === "largest" || !above.includes(listed.id)),
      recordPassedOver: (isPlaced) => void passedOver.push(isPlaced),
    },
  });
  const request = makeRequest({
    route: makeRoute({ transfer: "upload", kind: "non_idempotent" }),
    homeRegions: ["oslo"],
    body: Buffer.alloc(60_000),
  });
  const placed = placer.place(
    makeProgress({ request, usesObjectCache: false }),
  );
  const result = placed.kind === "placed"
    ? placed.server.listed.id
    : placed.reason;
  return { result, passedOver };
}

// Guards against refusals while any server of the region has room.
test("a body for which servers lack room goes to another one", () => {
  const { result, passedOver } = placeUploadBeside(["1", "2", "3", "5", "6"]);
  assert.is(result, "4");
  assert.equal(passedOver, [true]);
});

test("a body is refused with all_full where no server has room", () => {
  const full = ["1", "2", "3", "4", "5", "6"];
  const { result, passedOver } = placeUploadBeside(full);
  assert.is(result, "all_full");
  assert.equal(passedOver, [false]);
});

// Guards against refusals for lack of room at servers that may hold more, and
// against exceeding a limit while another server has room.
test("a body exceeds a limit only where no server has room", () => {
  const full = ["1", "2", "3", "5"];
  const last = placeUploadBeside([...full, "6"], [], ["4"]);
  assert.equal(last, { result: "4", passedOver: [true] });
  assert.is(placeUploadBeside(full, [], ["4"]).result, "6");
});

// Guards against sending to servers that don't respond while others lack room,
// and against sending one of them, as the last resort, more than it can hold.
test("a body is not sent to an ejected server for lack of room", () => {
  const ejected = ["4", "5", "6"];
  assert.is(placeUploadBeside(["1", "2", "3"], ejected).result, "all_full");
  const all = ["1", "2", "3", "4", "5", "6"];
  assert.is(placeUploadBeside(all, all).result, "all_full");
  assert.is(placeUploadBeside(["1", "2", "3", "4", "5"], all).result, "6");
});

// Guards against work that requests with small bodies would have to do.
test("a request with a small body does not ask for room", () => {
  const fail = () => {
    throw new Error("asked for room");
  };
  const placer = startPlacer(0, makeUnlimitedPermits(), undefined, {
    inflightBodies: { hasRoom: fail, recordPassedOver: fail },
  });
  const request = makeRequest({
    homeRegions: ["oslo"],
    body: Buffer.alloc(16_383),
  });
  assert.is(placer.place(makeProgress({ request })).kind, "placed");
});

/** @returns Runs after which a request is accepted where all servers are full. */
function computeWaitRuns(copies: number, route = makeRoute()): number {
  const registry = makeRegistry(createFakeClock());
  for (const id of ["1", "2", "3", "4"]) {
    registry.apply(makeServerUpdate(makeServer(id, { slots: 4 }), 1));
  }
  for (const id of ["b-1", "b-2", "b-3", "b-4"]) {
    const changes = { slots: 4, failureDomain: "oslo-b" };
    registry.apply(makeServerUpdate(makeServer(id, changes), 1));
  }
  for (const { load } of registry.listUsable("s")) {
    for (let count = 0; count < 12; count++) load.begin();
  }
  const placed = startPlacer(0, makeUnlimitedPermits(), registry, {
    copyPlan: { getCopies: () => copies },
  }).place(makeProgress({
    request: makeRequest({ route, homeRegions: ["oslo"] }),
    // Both of its first servers stand in oslo-b.
    objectKey: "1",
  }));
  assert.ok(placed.kind === "not_placed" && placed.prospect !== undefined);
  return placed.prospect.waitRuns;
}

// Guards against refusals of requests for hot objects as if only two servers
// could take them.
test("a request for an object with four copies expects half the wait", () => {
  assert.is(computeWaitRuns(4), computeWaitRuns(2) / 2);
});

// Load: uploads at a service with five servers in each failure domain. Guards
// against refusals of uploads as if only the own failure domain took them.
test("a large body expects a slot in its own failure domain and elsewhere", () => {
  const upload = makeRoute({ transfer: "upload" });
  assert.is(computeWaitRuns(2, upload), computeWaitRuns(2) / 2);
});

// Guards against slots left free after the configuration leaves a service a
// single priority.
test("a priority that is no longer configured leaves no slots free", () => {
  const clock = createFakeClock();
  const urgentDemand = createUrgentDemand(clock);
  const registry = makeRegistry(clock);
  registry.apply(makeServerUpdate(makeServer("1", { slots: 4 }), 1));
  const [{ load }] = registry.listUsable("s");
  for (let count = 0; count < 4; count++) load.begin();
  const latencyModel = createLatencyModel();
  const route = makeRoute({ targetLatencyMs: 1_000 });
  latencyModel.recordAnswer(route, 400, 0);
  const placer = startPlacer(0, makeUnlimitedPermits(), registry, {
    urgentDemand,
    latencyModel,
  });
  const place = () =>
    placer.place(makeProgress({
      request: makeRequest({ route, homeRegions: ["oslo"] }),
      usesObjectCache: false,
    })).kind;
  const before = place();
  urgentDemand.record("s", 0, 10);
  assert.is(place(), before);
  assert.is(before, "placed");
});

/** A placer of a VM to which the first server of two is reported. */
function startWithReport(isTrialDue: boolean) {
  const clock = createFakeClock();
  const registry = makeRegistry(clock);
  for (const [index, id] of ["oslo-1", "oslo-2"].entries()) {
    registry.apply(makeServerUpdate(makeServer(id), index + 1));
  }
  const [first] = createRanking(registry).rank("s", "oslo", "17");
  let trials = 0;
  const placer = startPlacer(0, makeUnlimitedPermits(), registry, {
    reachability: {
      hasReports: () => true,
      getAvoidance: ({ id }) => id === first.listed.id ? "excluded" : "none",
      isTrialDue: () => isTrialDue && trials === 0,
      beginTrial: () => void trials++,
    },
  });
  const place = (kind: Route["kind"]) => {
    const placed = placer.place(
      makeProgress({
        request: makeRequest({
          route: makeRoute({ kind }),
          homeRegions: ["oslo"],
        }),
      }),
    );
    assert.ok(placed.kind === "placed");
    return { isFirst: placed.server === first, isTrial: placed.isTrial };
  };
  return { place };
}

test("a reported server gets no request before a trial is due", () => {
  const { place } = startWithReport(false);
  assert.equal(place("idempotent"), { isFirst: false, isTrial: false });
});

// Guards against losing requests that must not run twice, and against a flood.
test("one idempotent request at a time is the trial of a reported server", () => {
  const { place } = startWithReport(true);
  assert.equal(place("non_idempotent"), { isFirst: false, isTrial: false });
  assert.equal(place("idempotent"), { isFirst: true, isTrial: true });
  assert.equal(place("idempotent"), { isFirst: false, isTrial: false });
});

/** A placer of a VM that excludes a server on reports. */
function startWithExcluded(excludedId?: string, known?: ServerRegistry) {
  return startPlacer(0, makeUnlimitedPermits(), known, {
    reachability: {
      hasReports: () => true,
      getAvoidance: ({ id }) => id === excludedId ? "excluded" : "none",
      isTrialDue: () => false,
      beginTrial() {},
    },
  });
}

test("a region whose servers are all excluded is skipped", () => {
  const place = (excludedId?: string) => {
    const request = makeRequest({ homeRegions: ["bergen", "oslo"] });
    const placed = startWithExcluded(excludedId).place(
      makeProgress({ request }),
    );
    assert.ok(placed.kind === "placed");
    return placed.server.listed.id;
  };
  assert.is(place(), "oslo-1", "the VM's own region");
  assert.is(place("oslo-1"), "bergen-1");
});

// Guards against waits for a slot of a server that gets no requests.
test("a request does not wait for a slot of an excluded server", () => {
  const findProspect = (excludedId?: string) => {
    const clock = createFakeClock();
    const registry = makeRegistry(clock);
    for (const [index, id] of ["oslo-1", "oslo-2"].entries()) {
      registry.apply(makeServerUpdate(makeServer(id), index + 1));
    }
    for (const { load } of registry.listUsable("s")) {
      for (let count = 0; count < 40; count++) load.begin();
    }
    const placed = startWithExcluded(excludedId, registry).place(
      makeProgress({ request: makeRequest({ homeRegions: ["oslo"] }) }),
    );
    assert.ok(placed.kind === "not_placed" && placed.prospect !== undefined);
    return placed.prospect.waitRuns;
  };
  assert.is(findProspect("oslo-2"), 2 * findProspect());
});

// Guards against trials that are counted where nothing is reported.
test("a request to a server that is not avoided is no trial", () => {
  const placer = startPlacer(0, makeUnlimitedPermits(), undefined, {
    reachability: {
      hasReports: () => true,
      getAvoidance: () => "none",
      isTrialDue: () => true,
      beginTrial: () => assert.unreachable(),
    },
  });
  const placed = placer.place(
    makeProgress({ request: makeRequest({ homeRegions: ["oslo"] }) }),
  );
  assert.ok(placed.kind === "placed" && !placed.isTrial);
});

// Guards against an account over its share that takes the last slot, and against
// requests that are counted as a shortage because they were held back.
test("an account over its share leaves a slot that another account gets", () => {
  const clock = createFakeClock();
  const accountShares = createAccountShares(clock);
  const registry = makeRegistry(clock);
  registry.apply(makeServerUpdate(makeServer("1", { slots: 4 }), 1));
  const [{ load }] = registry.listUsable("s");
  const [burst, usual] = ["burst", "usual"].map((name) => makeAccount(name, 1));
  for (let count = 0; count < 11; count++) {
    accountShares.recordRequest("s", burst);
  }
  accountShares.recordRequest("s", usual);
  const placer = startPlacer(0, makeUnlimitedPermits(), registry, {
    accountShares,
  });
  const place = (account: ClientAccount) =>
    placer.place(makeProgress({
      request: makeRequest({ account, homeRegions: ["oslo"] }),
      usesObjectCache: false,
    })).kind;
  // Fills the server up to the limit, which both find full.
  while (place(burst) === "placed") load.begin();
  for (let count = 0; count < 4; count++) place(usual);
  load.end();
  assert.equal([place(burst), place(usual)], ["not_placed", "placed"]);
  assert.is(accountShares.countHeldBack(), 1);
  load.end();
  assert.is(place(burst), "placed");
  clock.advance(30_000);
  while (place(usual) === "placed") load.begin();
  load.end();
  assert.is(place(burst), "placed");
});

test.run();
