/**
 * Some backends hand out wrong bytes twice for 5.5 s: in one of fifty of their
 * answers the first digit of the status is wrong. TROUBLE=0 leaves that out.
 */
import { writeFileSync } from "node:fs";
import {
  call,
  makeConfig,
  makeGateway,
  makeRule,
  nowMs,
  PORTS,
  sleep,
  startBackend,
  startStore,
} from "../lib-2/deployment.mjs";

const isTroubled = process.env.TROUBLE !== "0";
/** One in so many answers of a faulty backend is spoiled. */
const SPOILED_ONE_IN = 50;
const GARBLE_MS = 5500;
/** When the garbling starts, from the start of traffic. */
const GARBLES_AT_MS = [5000, 20_000];
const FAULTY_BACKENDS = 2;
const BACKENDS = 6;
const TRAFFIC_MS = 35_000;
/** Requests a second at each VM. */
const PER_S = 30;
const READ_TIMEOUT_MS = 1000;
const WRITE_TIMEOUT_MS = 1200;
const READ_DEADLINE_MS = 2500;
const WRITE_DEADLINE_MS = 3000;
const LATE_MS = 500;
const MIN_LATE = 8;
const MAX_LATE_SHARE = 0.25;

const lines = [];
const startMs = nowMs();
function record(text, atMs = nowMs()) {
  lines.push(`${((atMs - startMs) / 1000).toFixed(3)} s  ${text}`);
}

/** Asks whether a VM is ready once a second, as the platform does. */
function watchReadiness({ name, ip }, outages) {
  let isStopped = false;
  (async () => {
    while (!isStopped) {
      const atMs = nowMs();
      await call(ip, PORTS.ready, "/v1/readiness");
      const tookMs = nowMs() - atMs;
      if (tookMs > 500 && !isStopped) {
        outages.push({ name, tookMs });
        record(`${name} answers its readiness check in ${tookMs} ms`, atMs);
      }
      await sleep(Math.max(0, 1000 - tookMs));
    }
  })();
  return () => void (isStopped = true);
}

async function main() {
  const zones = { za: "oslo", zb: "oslo" };
  const store = await startStore();
  const runs = [];
  const ranIds = new Set();
  let spoiled = 0;
  let trafficMs = Infinity;
  const isGarbling = () =>
    GARBLES_AT_MS.some((atMs) => {
      const sinceMs = nowMs() - trafficMs - atMs;
      return sinceMs >= 0 && sinceMs < GARBLE_MS;
    });
  for (let number = 1; number <= BACKENDS; number++) {
    const isFaulty = isTroubled && number <= FAULTY_BACKENDS;
    let answers = 0;
    await startBackend(number, {
      store,
      workMs: 200,
      zone: number % 2 === 0 ? "za" : "zb",
      runs: {
        push(run) {
          runs.push(run);
          ranIds.add(run.requestId);
        },
      },
      mustSpoil(run) {
        if (!isFaulty || !isGarbling()) return false;
        if (++answers % SPOILED_ONE_IN !== 0) return false;
        spoiled++;
        run.isSpoiled = true;
        record(`${run.backend} spoils the answer to ${run.requestId}`);
        return true;
      },
    });
  }
  store.put(
    "op",
    "config",
    makeConfig(1, [
      makeRule("/read/", { timeout_ms: READ_TIMEOUT_MS }),
      makeRule("/write/", {
        kind: "non_idempotent",
        timeout_ms: WRITE_TIMEOUT_MS,
      }),
    ]),
  );
  const gateways = [1, 2, 3].map((number) =>
    makeGateway(number, {
      name: `front-${number}`,
      zone: number % 2 === 0 ? "za" : "zb",
      zones,
      storeAddress: store.address,
      seeds: [1, 2, 3],
    })
  );
  for (const gateway of gateways) gateway.start();
  await Promise.all(gateways.map((gateway) => gateway.waitUntilReady()));
  await sleep(3000);

  const outages = [];
  const stops = gateways.map((gateway) => watchReadiness(gateway, outages));
  const sent = [];
  trafficMs = nowMs();
  record("traffic starts");
  for (let number = 1; nowMs() < trafficMs + TRAFFIC_MS; number++) {
    for (const { name, ip } of gateways) {
      const isWrite = number % 2 === 1;
      const requestId = `${name}-${number}`;
      const deadlineMs = isWrite ? WRITE_DEADLINE_MS : READ_DEADLINE_MS;
      const request = {
        requestId,
        isWrite,
        atMs: nowMs(),
        endedAtMs: Infinity,
      };
      sent.push(request);
      const controller = new AbortController();
      const end = (how) => {
        if (request.end !== undefined) return;
        request.end = how;
        request.endedAtMs = nowMs();
        clearTimeout(deadline);
        clearTimeout(unread);
        controller.abort();
      };
      const deadline = setTimeout(() => end("deadline"), deadlineMs);
      // Clients abandon an idempotent request that isn't read by then.
      const unread = setTimeout(() => {
        if (!isWrite && !ranIds.has(requestId)) end("abandoned");
      }, Math.min(1000, deadlineMs / 3));
      call(ip, PORTS.front, `/${isWrite ? "write" : "read"}/${number}`, {
        method: isWrite ? "POST" : "GET",
        headers: {
          "x-request-id": requestId,
          "x-deadline-ms": String(deadlineMs),
        },
        body: isWrite ? `entry ${number}` : undefined,
        signal: controller.signal,
      }).then(({ status, error }) => end(status ?? error));
    }
    await sleep(1000 / PER_S);
  }
  await sleep(4000);
  for (const stop of stops) stop();

  /** Requests that lasted longer than their route's timeout. */
  const getTimeoutMs = ({ isWrite }) =>
    isWrite ? WRITE_TIMEOUT_MS : READ_TIMEOUT_MS;
  const long = sent.filter((request) =>
    request.endedAtMs > request.atMs + getTimeoutMs(request)
  );
  const late = long.filter((request) =>
    request.end === "deadline" ||
    request.endedAtMs > request.atMs + getTimeoutMs(request) + LATE_MS
  );
  // Not part of the check: requests that are passed on after their clients left.
  const endById = new Map(sent.map((request) => [request.requestId, request]));
  const afterLeaving = runs.filter(({ requestId, atMs }) => {
    const { end, endedAtMs } = endById.get(requestId);
    return ["deadline", "abandoned"].includes(end) &&
      atMs > endedAtMs + LATE_MS;
  });
  for (const { requestId, isWrite, atMs, end, endedAtMs } of sent) {
    const tookMs = Math.round(endedAtMs - atMs);
    const what = `${isWrite ? "write" : "read"} ${requestId}`;
    record(`sent ${what}, ended with ${end} after ${tookMs} ms`, atMs);
  }
  for (const { requestId, backend, atMs, isSpoiled } of runs) {
    const outcome = isSpoiled ? "answer spoiled" : "answered";
    record(`run ${requestId} at ${backend}, ${outcome}`, atMs);
  }
  for (const { name, ...gateway } of gateways) {
    for (
      const { time, msg, delayMs } of gateway.readLog(
        "requests waited to be read",
      )
    ) {
      const atMs = time - performance.timeOrigin;
      record(`${name} logs: ${msg}, ${delayMs} ms`, atMs);
    }
  }
  lines.sort((a, b) => parseFloat(a) - parseFloat(b));
  const longestMs = Math.max(0, ...outages.map(({ tookMs }) => tookMs));
  const summary = [
    `requests sent: ${sent.length}, spoiled answers: ${spoiled}`,
    `readiness checks that took over 500 ms: ${outages.length}, ` +
    `the longest ${Math.round(longestMs)} ms`,
    `requests longer than their route's timeout: ${long.length}, ` +
    `without final answer half a second later: ${late.length}`,
    `requests that ran over half a second after their client had left: ` +
    `${afterLeaving.length}`,
  ];
  writeFileSync(
    new URL("record.txt", import.meta.url),
    `${[...summary, "", ...lines].join("\n")}\n`,
  );
  console.log(summary.join("\n"));
  const isBroken = late.length >= MIN_LATE &&
    late.length > long.length * MAX_LATE_SHARE;
  return isBroken ? 1 : 0;
}

main().then((code) => process.exit(code), (cause) => {
  console.error(cause);
  process.exit(2);
});
