// A small deployment on loopback addresses: the project's gateways as separate
// processes, started as in deploy/system.toml, with small stand-ins of the
// platform's store, of backend servers and of clients that follow the users'
// pages (PROTOCOL.md, DEPLOY.md).
import { spawn } from "node:child_process";
import {
  appendFileSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import http from "node:http";
import net from "node:net";
import os from "node:os";
import path from "node:path";
import { fileURLToPath } from "node:url";

const ROOT = path.resolve(
  path.dirname(fileURLToPath(import.meta.url)),
  "..",
  "..",
);
export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Bounds of nordvern-gw.toml, as the settings file states them. */
export const BOUNDS = {
  seed_lag_s: 3,
  addr_reuse_s: 2,
  contact_ms: 4000,
  ack_ms: 4000,
  catch_up_s: 4,
  drain_ms: 2500,
  grace_s: 6,
  loss_slack_ms: 200,
  config_apply_ms: 2500,
  rollback_slack_ms: 250,
  skew_max_ms: 6000,
  retry_budget_ratio: 0.2,
  budget_window_s: 10,
  budget_slack: 64,
  cold_overshoot: 1.5,
  cold_slack: 5,
  evacuate_ms: 5000,
  recovery_s: 15,
  ttl_max_s: 5,
  max_shift: 0.15,
};

/** Zones of nordvern-gw.toml, and their regions. */
export const ZONES = {
  "oslo-a": "oslo",
  "oslo-b": "oslo",
  "bergen-a": "bergen",
  "bergen-b": "bergen",
  "trondheim-a": "trondheim",
  "trondheim-b": "trondheim",
};

function canBind(host, port) {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.once("error", () => resolve(undefined));
    server.listen(port, host, () => {
      const bound = server.address().port;
      server.close(() => resolve(bound));
    });
  });
}

/** Chooses a range 127.a.b.0 in which the ports that are needed are free. */
export async function chooseNetwork(vms) {
  for (let attempt = 0; attempt < 50; attempt++) {
    const a = 100 + Math.floor(Math.random() * 100);
    const b = 1 + Math.floor(Math.random() * 250);
    const hosts = Array.from(
      { length: vms },
      (_, i) => `127.${a}.${b}.${i + 1}`,
    );
    const ports = {};
    let isFree = true;
    for (const name of ["front", "control", "directory", "ready"]) {
      ports[name] = await canBind(hosts[0], 0);
    }
    if (new Set(Object.values(ports)).size < 4) continue;
    for (const host of hosts) {
      for (const port of [...Object.values(ports), 9464]) {
        if (await canBind(host, port) === undefined) isFree = false;
      }
    }
    if (isFree) {
      return {
        hosts,
        ports,
        serverHost: `127.${a}.${b}.200`,
        storeHost: `127.${a}.${b}.250`,
      };
    }
  }
  throw new Error("no free addresses");
}

/** Record of what was sent, answered and run. */
export function openRecord(file) {
  const startedAtMs = performance.now();
  writeFileSync(file, "");
  const now = () => performance.now() - startedAtMs;
  return {
    now,
    write(event, fields = {}) {
      const text = Object.entries(fields).map(([name, value]) =>
        `${name}=${typeof value === "number" ? Math.round(value) : value}`
      ).join(" ");
      appendFileSync(
        file,
        `${now().toFixed(0).padStart(7)} ms ${event} ${text}\n`,
      );
    },
  };
}

/** The platform's store: rows, transactions and feeds (PROTOCOL.md). */
export async function startStore(host) {
  let rows = new Map();
  let era = 1;
  const waiters = new Set();
  const sockets = new Set();
  let ver = 1;
  let fault;
  function put(table, key, value) {
    ver++;
    rows.set(`${table}\n${key}`, {
      table_name: table,
      part: "",
      key,
      value: value === undefined
        ? undefined
        : Buffer.from(JSON.stringify(value)).toString("base64"),
      ver,
    });
    for (const wake of [...waiters]) wake();
    return ver;
  }
  const list = (table) =>
    [...rows.values()].filter((row) => row.table_name === table)
      .sort((x, y) => (x.key < y.key ? -1 : 1));
  async function answer(request, response) {
    const url = new URL(request.url, "http://store");
    const query = url.searchParams;
    const send = (status, body) => {
      const text = JSON.stringify(body);
      response.writeHead(status, {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(text),
      });
      response.end(text);
    };
    await sleep(4);
    if (url.pathname === "/v1/rows-get") {
      const from = query.get("from") ?? "";
      const found = list(query.get("table_name"))
        .filter((row) => row.value !== undefined && row.key >= from);
      return send(200, {
        rows: found.slice(0, 500),
        has_more: found.length > 500,
        ver,
        now_ms: Math.round(performance.now()),
      });
    }
    if (url.pathname === "/v1/rows-feed") {
      const table = query.get("table_name");
      const after = Number(query.get("after"));
      if (after > ver) return send(410, {});
      const changed = () => list(table).filter((row) => row.ver > after);
      if (changed().length === 0) {
        await new Promise((resolve) => {
          const wake = () => {
            if (changed().length === 0) return;
            finish();
          };
          const finish = () => {
            clearTimeout(timer);
            waiters.delete(wake);
            resolve();
          };
          const timer = setTimeout(finish, Number(query.get("wait_ms")));
          waiters.add(wake);
        });
      }
      return send(200, {
        rows: changed().sort((x, y) => x.ver - y.ver).map((row) =>
          row.value === undefined ? { ...row, tombstone: true } : row
        ),
        ver,
        now_ms: Math.round(performance.now()),
      });
    }
    if (url.pathname === "/v1/rows-tx" && request.method === "POST") {
      let text = "";
      for await (const chunk of request) text += chunk;
      const { precondition = [], put: puts = [], remove = [] } = JSON.parse(
        text,
      );
      const current = (row) => rows.get(`${row.table_name}\n${row.key}`);
      const isMet = precondition.every((row) => {
        const known = current(row);
        return (known?.value === undefined ? 0 : known.ver) === row.ver;
      });
      if (!isMet) {
        return send(412, {
          rows: precondition.map(current).filter(Boolean),
          ver,
        });
      }
      ver++;
      for (const row of puts) {
        rows.set(`${row.table_name}\n${row.key}`, {
          ...row,
          part: row.part ?? "",
          ver,
        });
      }
      for (const row of remove) {
        rows.set(`${row.table_name}\n${row.key}`, {
          ...row,
          value: undefined,
          ver,
        });
      }
      for (const wake of [...waiters]) wake();
      return send(200, { ver, now_ms: Math.round(performance.now()) });
    }
    send(404, {});
  }
  const server = http.createServer((request, response) => {
    response.setHeader("Store-Era", era);
    if (fault === "reset") return void request.socket.resetAndDestroy();
    if (fault === "silent") return;
    if (fault === "busy") {
      return void response.writeHead(503, { "content-length": 0 }).end();
    }
    answer(request, response).catch(() => response.destroy());
  });
  server.on("connection", (socket) => {
    sockets.add(socket);
    socket.on("close", () => sockets.delete(socket));
  });
  await new Promise((resolve) => server.listen(0, host, resolve));
  return {
    address: `${host}:${server.address().port}`,
    put,
    remove: (table, key) => put(table, key, undefined),
    setFault(next) {
      fault = next;
      if (next === "reset") { for (const socket of sockets) socket.destroy(); }
    },
    takeCopy: () => ({ rows: new Map(rows), ver }),
    /** Comes back from a copy: versions go back, and the era rises by one. */
    restore(copy) {
      rows = new Map(copy.rows);
      ver = copy.ver;
      era++;
      for (const socket of sockets) socket.destroy();
    },
    close() {
      for (const socket of sockets) socket.destroy();
      server.close();
    },
  };
}

/**
 * A backend server with slots and a queue. The last part of a request's path
 * before the query states the time that its work takes: /PREFIX/work-1900/x.
 */
export async function startBackend(options) {
  const { record, store, host, service, zone, slots = 8, queueLength = 24 } =
    options;
  let id = options.id;
  const sockets = new Set();
  const waiting = [];
  let running = 0;
  let sequence = 0;
  let state = "ready";
  let beats;
  let behave = options.behave ?? (() => undefined);

  function beat() {
    sequence++;
    store.put("servers", id, {
      address: `${host}:${server.address().port}`,
      info: { service, version: "v1", zone, slots },
      status: { state, sequence, cold_left_ms: 0 },
    });
  }

  function reply(response, status, headers, body = "") {
    if (response.destroyed) return;
    response.writeHead(status, {
      "X-Server-Load": `${running},${waiting.length},${slots}`,
      "Keep-Alive": "timeout=10",
      "Content-Length": Buffer.byteLength(body),
      ...headers,
    });
    response.end(body);
  }

  function next() {
    while (running < slots && waiting.length > 0) void waiting.shift()();
  }

  function serve(request, response, body) {
    const requestId = request.headers["x-request-id"];
    const expected = request.headers["x-expect-instance"];
    const echo = requestId === undefined ? {} : { "X-Request-Id": requestId };
    if (expected !== undefined && expected !== id) {
      record.write("backend answers 421", { id: requestId, server: id });
      return reply(response, 421, { ...echo, "X-Instance-Id": id });
    }
    const deadlineMs = Number(request.headers["x-deadline-ms"] ?? 60_000);
    const endsAtMs = performance.now() + deadlineMs;
    record.write("backend gets", {
      id: requestId,
      server: id,
      path: request.url,
      deadlineMs,
    });
    const special = behave(request, requestId);
    if (special === "shed" || waiting.length >= queueLength) {
      record.write("backend rejects", { id: requestId, server: id });
      return reply(response, 503, { ...echo, "X-Not-Executed": "1" });
    }
    waiting.push(async () => {
      if (response.destroyed) return;
      if (performance.now() >= endsAtMs) {
        record.write("backend rejects, deadline passed", {
          id: requestId,
          server: id,
        });
        return reply(response, 503, { ...echo, "X-Not-Executed": "1" });
      }
      running++;
      record.write("backend runs", {
        id: requestId,
        server: id,
        method: request.method,
        path: request.url,
        bytes: body.length,
      });
      options.onRun?.({ requestId, server: id, request, body });
      const workMs = Number(/\/work-(\d+)\//.exec(request.url)?.[1] ?? 50);
      const isLate = performance.now() + workMs > endsAtMs;
      const left = isLate ? Math.max(0, endsAtMs - performance.now()) : workMs;
      let isDropped = false;
      await new Promise((resolve) => {
        const timer = setTimeout(resolve, left);
        response.once("close", () => {
          if (response.writableEnded) return;
          isDropped = true;
          clearTimeout(timer);
          resolve();
        });
      });
      running--;
      if (isDropped) {
        record.write("backend's connection closes, work dropped", {
          id: requestId,
          server: id,
        });
      } else if (isLate) {
        reply(response, 504, {
          ...echo,
          "X-Response-Stamp": `${id}.${requestId}`,
        });
        record.write("backend answers 504", { id: requestId, server: id });
      } else if (special === "no answer") {
        record.write("backend ran it, answer lost", {
          id: requestId,
          server: id,
        });
        request.socket.resetAndDestroy();
      } else {
        const text = `done ${requestId} by ${id}`;
        reply(response, 200, {
          ...echo,
          "X-Response-Stamp": `${id}.${requestId}`,
          ...options.extraHeaders,
        }, text);
        record.write("backend answers 200", { id: requestId, server: id });
      }
      next();
    });
    next();
  }

  const server = http.createServer(
    { keepAliveTimeout: 12_000 },
    (request, response) => {
      if (request.url === "/health") {
        return reply(response, state === "ready" ? 200 : 503, {
          "X-Instance-Id": id,
        });
      }
      const chunks = [];
      request.on("data", (chunk) => chunks.push(chunk));
      request.on("end", () => serve(request, response, Buffer.concat(chunks)));
    },
  );
  server.on("connection", (socket) => {
    sockets.add(socket);
    socket.on("error", () => {});
    socket.on("close", () => sockets.delete(socket));
  });
  await new Promise((resolve) =>
    server.listen(options.port ?? 0, host, resolve)
  );
  beat();
  beats = setInterval(beat, 1_500);
  return {
    get id() {
      return id;
    },
    address: `${host}:${server.address().port}`,
    port: server.address().port,
    setBehaviour: (next) => void (behave = next),
    setState(next) {
      state = next;
      beat();
    },
    countRunning: () => running,
    stopBeats: () => clearInterval(beats),
    close() {
      clearInterval(beats);
      for (const socket of sockets) socket.destroy();
      server.close();
    },
  };
}

/** Starts one gateway process, with the command of the deploy file. */
export function startGateway(
  {
    vm,
    network,
    index,
    zone,
    store,
    folder,
    record,
    bootstrap = true,
    bounds = BOUNDS,
    cpuShare = 0.54,
    memoryMb = 350,
  },
) {
  const { ports, hosts } = network;
  const host = hosts[index];
  const settings = {
    self: {
      node_name: vm,
      role: "gateway",
      machine_class: "front",
      serves: ["front", "control", "directory"],
      ip: host,
      zone,
      region: ZONES[zone],
      loss_counts: false,
      bootstrap,
      data_dir: null,
      limits: {
        cpu_share: cpuShare,
        cores: 1,
        memory_mb: memoryMb,
        max_fds: 4100,
        link_mbps: 1000,
        disk_mb: 0,
      },
    },
    network: {
      listen: {
        front: `${host}:${ports.front}`,
        ready: `${host}:${ports.ready}`,
        control: `${host}:${ports.control}`,
        directory: `${host}:${ports.directory}`,
      },
      internal_ports: [7200, 7215],
      seeds: hosts.slice(0, 3).map((seed) => `${seed}:${ports.control}`),
      zones: ZONES,
    },
    platform: {
      discovery: "platform",
      entry: "directory",
      heartbeat_ms: 1500,
      platform: {
        address: store,
        form: "table",
        writes_per_s: 400,
        reads_per_s: 2000,
      },
    },
    terms: {
      contracts: ["base"],
      fault_tolerance: { machines: 2, zones: 1, regions: 1 },
      bounds,
    },
  };
  const settingsFile = path.join(folder, `${vm}.json`);
  writeFileSync(settingsFile, JSON.stringify(settings));
  const deployFile = readFileSync(
    path.join(ROOT, "deploy/system.toml"),
    "utf8",
  );
  const [command, ...args] = /^run = "(.+)"$/m.exec(deployFile)[1].split(" ");
  const child = spawn(command === "node" ? process.execPath : command, args, {
    cwd: ROOT,
    env: {
      PATH: process.env.PATH,
      HAWTHORNGW_BOOT: settingsFile,
      HAWTHORNGW_LOG_LEVEL: "info",
    },
    stdio: ["ignore", "pipe", "pipe"],
  });
  const log = path.join(folder, `${vm}.log`);
  child.stdout.on("data", (chunk) => appendFileSync(log, chunk));
  child.stderr.on("data", (chunk) => appendFileSync(log, chunk));
  const exited = new Promise((resolve) => {
    child.once("exit", (code, signal) => {
      record.write("gateway process ends", { vm, code, signal });
      resolve({ code, signal });
    });
  });
  record.write("gateway process starts", { vm, pid: child.pid });
  return {
    vm,
    host,
    child,
    exited,
    log,
    front: `${host}:${ports.front}`,
    directory: `${host}:${ports.directory}`,
    ready: `${host}:${ports.ready}`,
  };
}

/** Sends one request on a connection of its own; resolves with what came back. */
export function send(
  {
    address,
    method = "GET",
    target,
    hostName,
    headers = {},
    body,
    timeoutMs = 10_000,
    agent,
    localAddress,
  },
) {
  return new Promise((resolve) => {
    const [host, port] = address.split(":");
    const request = http.request({
      host,
      port,
      localAddress,
      method,
      path: target,
      agent: agent ?? false,
      setHost: false,
      headers: {
        Host: hostName,
        ...(body === undefined
          ? {}
          : { "Content-Length": Buffer.byteLength(body) }),
        ...headers,
      },
    }, (response) => {
      const chunks = [];
      response.on("data", (chunk) => chunks.push(chunk));
      const finish = (isWhole, error) => {
        clearTimeout(timer);
        resolve({
          kind: isWhole ? "answer" : "cut",
          error,
          status: response.statusCode,
          headers: response.headers,
          body: Buffer.concat(chunks).toString(),
        });
      };
      response.on("end", () => finish(response.complete));
      response.on("error", (error) => finish(false, error.code));
      response.on("aborted", () => finish(false, "aborted"));
    });
    const timer = setTimeout(() => {
      resolve({ kind: "left" });
      request.destroy();
    }, timeoutMs);
    request.on("error", (error) => {
      clearTimeout(timer);
      resolve({ kind: "cut", error: error.code });
    });
    request.end(body);
  });
}

export async function isReady(gateway) {
  const answer = await send({
    address: gateway.ready,
    target: "/v1/readiness",
    hostName: "ready",
    timeoutMs: 1000,
  });
  return answer.status === 200;
}

export async function waitUntilReady(gateways) {
  const endsAtMs = performance.now() + 20_000;
  for (const gateway of gateways) {
    while (!await isReady(gateway)) {
      if (performance.now() > endsAtMs) {
        throw new Error(`${gateway.vm} isn't ready`);
      }
      await sleep(50);
    }
  }
}

export async function resolveAddresses(gateway, { hostName, zone }) {
  const target = `/v1/resolve?name=${hostName}&region=${
    ZONES[zone]
  }&zone=${zone}`;
  const answer = await send({
    address: gateway.directory,
    target,
    hostName: "directory",
    timeoutMs: 1000,
  });
  if (answer.kind !== "answer" || answer.status !== 200) return undefined;
  const { addresses, ttl_s } = JSON.parse(answer.body);
  if (!(addresses?.length > 0)) return undefined;
  return { addresses, ttl_s };
}

export function makeFolder() {
  return mkdtempSync(path.join(os.tmpdir(), "hawthorngw-review-"));
}

export function removeFolder(folder) {
  if (process.env.KEEP === "1") console.log(`logs: ${folder}`);
  else rmSync(folder, { recursive: true, force: true });
}

/** Ends processes that this script started, by their ids. */
export async function endAll(gateways) {
  for (const { child } of gateways) {
    if (child.exitCode !== null || child.signalCode !== null) continue;
    child.kill("SIGCONT");
    child.kill("SIGKILL");
  }
  await Promise.all(gateways.map(({ exited }) => exited));
}

/** Ends the processes also where the script fails or is stopped; exits with 2. */
export function endWithScript(gateways) {
  const end = (error) => {
    console.error(error);
    for (const { child } of gateways) child.kill("SIGKILL");
    process.exit(2);
  };
  process.on("uncaughtException", end);
  process.on("unhandledRejection", end);
  process.on("SIGTERM", end);
  process.on("SIGINT", end);
}

export const LIMITS = {
  max_header_bytes: 16384,
  max_body_bytes: 67108864,
  header_timeout_ms: 3000,
  idle_timeout_ms: 15000,
};

export function makeConfig(
  version,
  { services, hosts, limits = LIMITS, tenants },
) {
  return {
    version: `r${version}`,
    services: services.map((name) => ({
      name,
      health_path: "/health",
      max_conns: 390,
      protocol: "h1",
      tls: false,
      cold_s: 3.0,
      cold_per_s: 9.1,
    })),
    limits,
    virtual_hosts: Object.entries(hosts).map(([host, path_rules]) => ({
      host,
      path_rules,
    })),
    ...(tenants === undefined ? {} : { tenants }),
  };
}

export function makeRoute(fields) {
  return {
    name: fields.prefix,
    kind: "idempotent",
    timeout_ms: 1000,
    target_latency_ms: 400,
    priority: 2,
    max_attempts: 2,
    sticky: false,
    home_regions: [],
    ...fields,
  };
}
