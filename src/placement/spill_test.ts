import * as assert from "uvu/assert";
import { test } from "uvu";
import {
  makeRegistry,
  makeRoute,
  makeServer,
  makeServerNews,
} from "../gateway/fixture.ts";
import { createServerLimits } from "../gateway/server_limits.ts";
import { createFakeClock } from "../runtime/clock.ts";
import { createRandom } from "../runtime/random.ts";
import { createRunTimes } from "../servers/run_times.ts";
import { createPaceTable } from "../serving/pace.ts";
import { createSilentLog } from "../telemetry/log.ts";
import { chooseServer } from "./choose.ts";
import { createObjectMemory } from "./memory.ts";
import { createRanking } from "./ranking.ts";
import { createRetention } from "./retention.ts";

const SERVERS = 4;
const SLOTS = 3;
const OBJECTS = 120;
/** Objects that a server remembers. */
const KEPT = 28;
const RATE_PER_S = 49;
const LIMIT_PER_S = 3.5;
const KNOWN_MS = 62;
const FIRST_MS = 230;
const ROUTE = makeRoute({ timeoutMs: 1_200, targetLatencyMs: 200 });
const STEP_MS = 5;
const LIMITED_AT_MS = 15_000;
const END_MS = 35_000;

interface ModelServer {
  known: string[];
  running: number;
  queue: (() => void)[];
}

/**
 * Replays a region whose servers remember fewer objects than are asked for, and
 * of which some begin to advertise a rate limit.
 *
 * @param limited Servers with a limit.
 * @returns Requests that were answered within the target, as a share of all.
 */
function replay(limited: number): number {
  const clock = createFakeClock();
  const random = createRandom(5);
  const registry = makeRegistry(clock);
  const servers = Array.from({ length: SERVERS }, (): ModelServer => ({
    known: [],
    running: 0,
    queue: [],
  }));
  servers.forEach((_, index) => {
    const server = makeServer(`${index}`, { slots: SLOTS });
    registry.apply(makeServerNews(server, index + 1));
  });
  const ranking = createRanking(registry);
  const memory = createObjectMemory();
  const retention = createRetention();
  const pace = createPaceTable();
  const runTimes = createRunTimes();
  const { permits, rateLimits } = createServerLimits({
    clock,
    log: createSilentLog(),
    random,
    ownId: "vm-1",
    countKnown: () => 1,
    runTimes,
  });
  let asked = 0;
  let inTime = 0;

  function run(server: ModelServer, objectKey: string, end: () => void): void {
    if (server.running >= SLOTS) {
      return void server.queue.push(() => run(server, objectKey, end));
    }
    server.running++;
    const isKnown = server.known.includes(objectKey);
    const others = server.known.filter((key) => key !== objectKey);
    server.known = [...others, objectKey].slice(-KEPT);
    const runMs = (isKnown ? KNOWN_MS : FIRST_MS) * (0.85 + 0.3 * random());
    clock.after(runMs, () => {
      server.running--;
      end();
      server.queue.shift()?.();
    });
  }

  function send(objectKey: string): void {
    const sentAtMs = clock.monotonicMs();
    const nameOf = `s ${objectKey}`;
    const choice = chooseServer(
      {
        candidates: [ranking.rank("s", "oslo", objectKey)],
        tried: new Set(),
        maxUse: pace.getMaxUse(ROUTE),
        firstRunQueue: pace.getFirstRunQueue(ROUTE, ROUTE.timeoutMs),
        coldRatePerS: 0,
        knowsObject(id) {
          const depth = memory.getDepth(id, nameOf);
          return depth !== undefined && depth < retention.getKept("s");
        },
        isRateLimited: ({ listed }) => permits.isRateLimited(listed),
        takePermit: ({ listed }) => permits.take(listed),
      },
      { take: () => false },
      clock,
    );
    if (choice.kind !== "server") return;
    const { server: { listed, load }, use } = choice;
    const index = Number(listed.id);
    const depth = memory.note(listed.id, nameOf);
    load.begin();
    run(servers[index], objectKey, () => {
      load.end();
      const nowMs = clock.monotonicMs();
      const tookMs = nowMs - sentAtMs;
      pace.note(ROUTE, tookMs, use);
      runTimes.record("s", tookMs);
      if (use < 0.8) {
        const wasKnown = pace.wasKnown(ROUTE, tookMs);
        pace.noteRun(ROUTE, depth, tookMs);
        if (wasKnown !== undefined && depth !== undefined) {
          retention.note("s", depth, wasKnown);
        }
      }
      if (index < limited && nowMs >= LIMITED_AT_MS) {
        rateLimits.record(listed.id, LIMIT_PER_S);
      }
      if (sentAtMs < LIMITED_AT_MS) return;
      if (tookMs <= ROUTE.targetLatencyMs) inTime++;
    });
  }

  for (let ms = 0; ms < END_MS; ms += STEP_MS) {
    if (random() < RATE_PER_S * STEP_MS / 1_000) {
      if (ms >= LIMITED_AT_MS) asked++;
      send(`${Math.floor(random() ** 1.6 * OBJECTS)}`);
    }
    clock.advance(STEP_MS);
  }
  return inTime / asked;
}

test("what spills from limited servers doesn't push out what others know", () => {
  assert.ok(replay(0) > 0.85, "no limit");
  assert.ok(replay(1) > 0.65, "one of four limited");
  assert.ok(replay(2) > 0.4, "two of four limited");
});

test.run();
