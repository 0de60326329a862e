import * as assert from "uvu/assert";
import { test } from "uvu";
import {
  makeRegistry,
  makeServer,
  makeServerUpdate,
} from "../gateway/fixture.ts";
import { createServerLimits } from "../gateway/server_limits.ts";
import { createRetryBudget } from "../retries/budget.ts";
import { createFakeClock } from "../runtime/clock.ts";
import { createRandom } from "../runtime/random.ts";
import { createRunTimes } from "../servers/run_times.ts";
import { createSilentLog } from "../telemetry/log.ts";
import { chooseServer } from "./choose.ts";
import { createRanking } from "./ranking.ts";

const SERVERS = 12;
const SHEDDING = 4;
const OBJECTS = 80;
const RATE_PER_S = 140;
const DURATION_MS = 9_000;
const RUN_MS = 80;
const REFUSAL_MS = 4;
const MAX_ATTEMPTS = 2;
const BACKOFF_MS = 3_000;

interface SimulationResult {
  refusedShare: number;
  /** Number of requests that reached shedding servers. */
  shed: number;
}

/**
 * Simulates a service where a third of the servers shed every request.
 *
 * @param backoffMs Backoff that they request; undefined for none.
 * @returns Share of refused requests, and the number that were shed.
 */
function simulate(backoffMs: number | undefined): SimulationResult {
  const clock = createFakeClock();
  const random = createRandom(20261203);
  const registry = makeRegistry(clock);
  for (let index = 0; index < SERVERS; index++) {
    registry.apply(makeServerUpdate(makeServer(`${index}`), index + 1));
  }
  const ranking = createRanking(registry);
  const { permits, backoffs } = createServerLimits({
    clock,
    log: createSilentLog(),
    random,
    ownId: "vm-1",
    countKnownVms: () => 1,
    runTimes: createRunTimes(),
  });
  const settings = { ratio: 0.2, allowance: 6 };
  const budget = createRetryBudget(settings, () => 1, "vm-1");
  let requestCount = 0;
  let refused = 0;
  let shed = 0;

  function send(objectKey: string, tried: ReadonlySet<string>): void {
    const choice = chooseServer(
      {
        candidates: [ranking.rank("s", "oslo", objectKey)],
        excluded: tried,
        copies: 2,
        maxUtilization: 2,
        maxCacheMissQueue: 1,
        coldRatePerS: 0,
        hasCachedObject: () => true,
        isRateLimited: () => false,
        takePermit: ({ listed }) => permits.take(listed),
      },
      { take: () => false },
      clock,
    );
    if (choice.kind !== "server") return void refused++;
    const { listed, load } = choice.server;
    const isShedding = Number(listed.id) < SHEDDING;
    load.begin();
    clock.after(isShedding ? REFUSAL_MS : RUN_MS, () => {
      load.end();
      if (isShedding && backoffMs !== undefined) {
        backoffs.begin(listed.id, backoffMs);
      }
      permits.end(listed, isShedding ? "turned_away" : "taken");
      if (!isShedding) return;
      shed++;
      retry(objectKey, new Set([...tried, listed.id]));
    });
  }

  function retry(objectKey: string, tried: ReadonlySet<string>): void {
    const mayRetry = tried.size < MAX_ATTEMPTS && budget.take("s");
    if (mayRetry) send(objectKey, tried);
    else refused++;
  }

  for (let ms = 0; ms < DURATION_MS; ms += 1_000 / RATE_PER_S) {
    requestCount++;
    budget.recordRequest("s");
    send(`${Math.floor(random() ** 2 * OBJECTS)}`, new Set());
    clock.advance(1_000 / RATE_PER_S);
  }
  return { refusedShare: refused / requestCount, shed };
}

test("many requests are refused when shedding servers keep receiving requests", () => {
  const { refusedShare, shed } = simulate(undefined);
  assert.ok(refusedShare > 0.1, `${refusedShare}`);
  assert.ok(shed > 200, `${shed}`);
});

test("almost none is refused when shedding servers back off and are then probed", () => {
  const { refusedShare, shed } = simulate(BACKOFF_MS);
  assert.ok(refusedShare < 0.01, `${refusedShare}`);
  assert.ok(shed <= 2 * SHEDDING * DURATION_MS / BACKOFF_MS, `${shed}`);
});

test.run();
