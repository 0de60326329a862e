/**
 * Tests of graceful shutdown: a stopping entry finishes the work that it has
 * accepted.
 */
import * as assert from "uvu/assert";
import { suite } from "uvu";
import { request } from "undici";
import {
  makeSmallDeployment,
  pickAddressBase,
  SERVICE,
  waitUntil,
} from "../deployment/fixture.ts";
import {
  type RunningDeployment,
  startDeployment,
} from "../deployment/in_process.ts";
import { HANDOVER_PATH } from "../forwarding/peer_client.ts";
import { HEADERS } from "../forwarding/types.ts";
import { KEY_HEADER } from "../runtime/access.ts";
import { createSystemClock } from "../runtime/clock.ts";
import { daemonSettingsSchema } from "../runtime/settings.ts";

const clock = createSystemClock();

const STOPPED_ENTRY = "entry-thies-1-a";
/** Makes runs outlast the time for which a leaving entry is still looked up. */
const SLOW_FACTOR = 150;
const DEADLINE_MS = 20_000;
/** Prefix of the keys of the other entry of the failure domain. */
const OWNER_KEY_PREFIX = "thies-1-b.1790000000000.29833333";

const test = suite<{ deployment: RunningDeployment }>("entry stop");

test.before.each(async (context) => {
  context.deployment = await startDeployment(
    makeSmallDeployment(),
    clock,
    pickAddressBase(),
  );
});

test.after.each(({ deployment }) => deployment.stop());

function listServers({ backends }: RunningDeployment) {
  return [...backends.values()].flatMap(({ servers }) => [...servers.values()]);
}

function handOver(deployment: RunningDeployment, id: string) {
  const { settings } = deployment.files.processes
    .find(({ name }) => name === STOPPED_ENTRY)!;
  const { peerAddress, peerKey } = daemonSettingsSchema.parse(settings);
  return request(`http://${peerAddress}${HANDOVER_PATH}`, {
    method: "POST",
    headers: {
      [KEY_HEADER]: peerKey,
      [HEADERS.mode]: "run",
      [HEADERS.service]: SERVICE,
      [HEADERS.path]: "/entries",
      "x-http-method": "POST",
      [HEADERS.idempotencyKey]: `${OWNER_KEY_PREFIX}.${id}`,
      [HEADERS.requestId]: id,
      [HEADERS.deadlineMs]: String(DEADLINE_MS),
      [HEADERS.hops]: "2",
    },
  });
}

test("a stopping entry doesn't cut a request that another entry handed over", async ({ deployment }) => {
  const servers = listServers(deployment);
  for (const { faults } of servers) faults.slowFactor = SLOW_FACTOR;
  const handedOver = handOver(deployment, "handed-over");
  await waitUntil(() => servers.some(({ records }) => records.length > 0));
  await deployment.daemons.get(STOPPED_ENTRY)!.stop();
  const { headers, body } = await handedOver;
  assert.is(headers[HEADERS.outcome], "answer", await body.text());
});

test.run();
