import * as assert from "uvu/assert";
import { test } from "uvu";
import {
  makeRegistry,
  makeServer,
  makeServerNews,
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
const WAY_MS = 4;
const MAX_ATTEMPTS = 2;
const BACKOFF_MS = 3_000;

interface ReplayFigures {
  refusedShare: number;
  /** Requests that shedding servers got. */
  shed: number;
}

/**
 * Replays a service of which a third of the servers sheds every request.
 *
 * @param backoffMs What they ask for; undefined where nothing.
 * @returns What callers and those servers saw.
 */
function replay(backoffMs: number | undefined): ReplayFigures {
  const clock = createFakeClock();
  const random = createRandom(20261203);
  const registry = makeRegistry(clock);
  for (let index = 0; index < SERVERS; index++) {
    registry.apply(makeServerNews(makeServer(`${index}`), index + 1));
  }
  const ranking = createRanking(registry);
  const { permits, backoffs } = createServerLimits({
    clock,
    log: createSilentLog(),
    random,
    ownId: "vm-1",
    countKnown: () => 1,
    runTimes: createRunTimes(),
  });
  const terms = { ratio: 0.2, allowance: 6 };
  const budget = createRetryBudget(terms, () => 1, "vm-1");
  let asked = 0;
  let refused = 0;
  let shed = 0;

  function send(objectKey: string, tried: ReadonlySet<string>): void {
    const choice = chooseServer(
      {
        candidates: [ranking.rank("s", "oslo", objectKey)],
        tried,
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
    clock.after(isShedding ? WAY_MS : RUN_MS, () => {
      load.end();
      if (isShedding && backoffMs !== undefined) {
        backoffs.begin(listed.id, backoffMs);
      }
      permits.end(listed, isShedding ? "turned_away" : "taken");
      if (!isShedding) return;
      shed++;
      sendAgain(objectKey, new Set([...tried, listed.id]));
    });
  }

  function sendAgain(objectKey: string, tried: ReadonlySet<string>): void {
    const mayRetry = tried.size < MAX_ATTEMPTS && budget.take("s");
    if (mayRetry) send(objectKey, tried);
    else refused++;
  }

  for (let ms = 0; ms < DURATION_MS; ms += 1_000 / RATE_PER_S) {
    asked++;
    budget.recordRequest("s");
    send(`${Math.floor(random() ** 2 * OBJECTS)}`, new Set());
    clock.advance(1_000 / RATE_PER_S);
  }
  return { refusedShare: refused / asked, shed };
}

test("callers are refused where shedding servers are asked again and again", () => {
  const { refusedShare, shed } = replay(undefined);
  assert.ok(refusedShare > 0.1, `${refusedShare}`);
  assert.ok(shed > 200, `${shed}`);
});

test("hardly any is where shedding servers are left alone and then probed", () => {
  const { refusedShare, shed } = replay(BACKOFF_MS);
  assert.ok(refusedShare < 0.01, `${refusedShare}`);
  assert.ok(shed <= 2 * SHEDDING * DURATION_MS / BACKOFF_MS, `${shed}`);
});

test.run();
