import { once } from "node:events";
import { connect } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import * as assert from "uvu/assert";
import { test } from "uvu";
import { PlatformHeaders } from "../../platform/headers.ts";
import { makeConfiguration, makeRoute } from "../gateway/fixture.ts";
import { createRouteTable } from "../routing/table.ts";
import { createSystemClock } from "../runtime/clock.ts";
import { createSilentLog } from "../telemetry/log.ts";
import { createServingMetrics } from "../telemetry/metrics.ts";
import { startFront } from "./front.ts";

const PORT = 20_000 + process.pid % 20_000;
const REQUEST = "GET /a HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: q\r\n\r\n";

/** @returns How many requests were served of one whose client left. */
async function serveOneThatLeft(isOverloaded: boolean): Promise<number> {
  const address = { host: "127.0.0.1", port: PORT };
  let served = 0;
  const front = await startFront({
    address,
    codec: new PlatformHeaders(),
    flow: {
      serve() {
        served++;
        return Promise.resolve({ kind: "client_left" });
      },
    },
    clock: createSystemClock(),
    log: createSilentLog(),
    metrics: createServingMetrics({}),
    isOverloaded: () => isOverloaded,
    getTable: () => createRouteTable(makeConfiguration([makeRoute()])),
  });
  const socket = connect(PORT, "127.0.0.1");
  socket.on("error", () => {});
  await once(socket, "connect");
  // Written at once and closed at the end of this turn: the front address
  // finds the request and the end of its connection together.
  socket.write(REQUEST);
  socket.destroy();
  await sleep(200);
  await front.close();
  return served;
}

test("a request whose client left while it waited is not sent on", async () => {
  assert.is(await serveOneThatLeft(false), 1);
  assert.is(await serveOneThatLeft(true), 0);
});

test.run();
