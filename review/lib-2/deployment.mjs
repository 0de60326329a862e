/**
 * Stand-ins for the scripts of this review: the platform's store, backends, a
 * proxy for the path between one VM and the store, and gateways that are started
 * as the deploy file says. All addresses are loopback addresses.
 */
import { spawn } from "node:child_process";
import { once } from "node:events";
import {
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import http from "node:http";
import net from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";

export const sleep = (ms) => new Promise((done) => setTimeout(done, ms));
export const nowMs = () => performance.now();

const octet = () => 1 + Math.floor(Math.random() * 250);
const SUBNET = `127.${60 + Math.floor(Math.random() * 100)}.${octet()}`;
export const ipOf = (number) => `${SUBNET}.${number}`;
export const PORTS = {
  front: 18381,
  ready: 18388,
  control: 18382,
  directory: 18383,
};
const directory = mkdtempSync(join(tmpdir(), "hawthorngw-review-"));

/** Bounds of the site nordvern-gw. */
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

async function listen(server, host, port = 0) {
  server.listen(port, host);
  await once(server, "listening");
  return `${host}:${server.address().port}`;
}

/** The platform's store: rows, their changes, and transactions. */
export async function startStore() {
  const rows = new Map();
  const waiters = new Set();
  let ver = 1;

  function write(table, key, value) {
    ver++;
    const change = value === undefined ? { tombstone: true } : { value };
    const row = { table_name: table, part: "", key, ver, ...change };
    rows.set(`${table} ${key}`, row);
    for (const wake of [...waiters]) wake();
  }

  const listTable = (table) =>
    [...rows.values()].filter((row) => row.table_name === table);

  async function follow(table, after, waitMs) {
    const endsAtMs = nowMs() + waitMs;
    const list = () =>
      listTable(table).filter((row) => row.ver > after)
        .sort((a, b) => a.ver - b.ver);
    while (list().length === 0 && nowMs() < endsAtMs) {
      await new Promise((resolve) => {
        const wake = () => {
          waiters.delete(wake);
          clearTimeout(timer);
          resolve();
        };
        const timer = setTimeout(wake, endsAtMs - nowMs());
        waiters.add(wake);
      });
    }
    return list();
  }

  const server = http.createServer(async (request, response) => {
    const url = new URL(request.url, "http://store");
    const table = url.searchParams.get("table_name");
    const send = (fields) => {
      const now_ms = Math.round(nowMs());
      const text = JSON.stringify({ ver, now_ms, ...fields });
      response.writeHead(200, {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(text),
      });
      response.end(text);
    };
    if (url.pathname === "/v1/rows-get") {
      const present = listTable(table).filter((row) => !row.tombstone)
        .sort((a, b) => a.key < b.key ? -1 : 1);
      return send({ rows: present, has_more: false });
    }
    if (url.pathname === "/v1/rows-feed") {
      const after = Number(url.searchParams.get("after"));
      const waitMs = Number(url.searchParams.get("wait_ms"));
      return send({ rows: await follow(table, after, waitMs) });
    }
    let text = "";
    for await (const chunk of request) text += chunk;
    const { put = [], remove = [] } = JSON.parse(text);
    for (const row of put) write(row.table_name, row.key, row.value);
    for (const row of remove) write(row.table_name, row.key);
    send({});
  });
  const address = await listen(server, ipOf(250));
  return {
    address,
    put: (table, key, fields) =>
      write(
        table,
        key,
        Buffer.from(JSON.stringify(fields)).toString("base64"),
      ),
    remove: (table, key) => write(table, key),
  };
}

/** A path to the store that can be cut: then nothing passes, either way. */
export async function startPath(number, target) {
  const [host, port] = target.split(":");
  const connections = new Set();
  let isCut = false;
  const server = net.createServer((near) => {
    const connection = { isDead: isCut };
    connections.add(connection);
    const far = net.connect(Number(port), host);
    near.on("error", () => {});
    far.on("error", () => near.destroy());
    near.on("close", () => {
      connections.delete(connection);
      far.destroy();
    });
    far.on("close", () => connection.isDead || near.destroy());
    near.on("data", (data) => connection.isDead || far.write(data));
    far.on("data", (data) => connection.isDead || near.write(data));
  });
  const address = await listen(server, ipOf(100 + number));
  return {
    address,
    setCut(value) {
      isCut = value;
      if (!value) return;
      for (const connection of connections) connection.isDead = true;
    },
  };
}

/**
 * A backend that answers each request after `workMs`; `runs` gets all runs. For
 * those that `mustSpoil` selects, one byte of the answer is wrong: the status
 * line says 000 in place of 200.
 */
export async function startBackend(number, options) {
  const { store, zone, service = "s", workMs, runs } = options;
  const { mustSpoil = () => false } = options;
  const id = `backend-${number}`;
  const sockets = new Set();
  const server = http.createServer((request, response) => {
    const requestId = request.headers["x-request-id"];
    request.resume();
    if (request.headers["x-expect-instance"] !== id) {
      response.writeHead(421, {
        "x-request-id": requestId,
        "x-not-executed": "1",
        "content-length": 0,
      });
      return response.end();
    }
    const run = { requestId, backend: id, atMs: nowMs(), isDone: false };
    runs.push(run);
    setTimeout(() => {
      if (response.destroyed) return;
      run.isDone = true;
      if (mustSpoil(run)) {
        return response.socket.write(
          `HTTP/1.1 000 OK\r\nX-Request-Id: ${requestId}\r\n` +
            `X-Response-Stamp: stamp.${requestId}\r\n` +
            "X-Server-Load: 1,0,8\r\nContent-Length: 2\r\n\r\nok",
        );
      }
      response.writeHead(200, {
        "x-request-id": requestId,
        "x-response-stamp": `stamp.${requestId}`,
        "x-server-load": "1,0,8",
        "content-length": 2,
      });
      response.end("ok");
    }, workMs);
  });
  server.keepAliveTimeout = 10_000;
  server.on("connection", (socket) => {
    sockets.add(socket);
    socket.on("close", () => sockets.delete(socket));
  });
  const address = await listen(server, ipOf(200 + number));
  store.put("servers", id, {
    address,
    info: { service, zone, version: "v1", slots: 8 },
    status: { state: "ready", sequence: 1, cold_left_ms: 0 },
  });
  return {
    id,
    /** Ends as a process does: nothing listens, and connections are closed. */
    exit() {
      server.close();
      for (const socket of sockets) socket.destroy();
    },
  };
}

/** The operator's configuration row. */
export function makeConfig(version, rules) {
  const names = new Set(rules.map(({ service }) => service));
  return {
    version: `r${version}`,
    services: [...names].map((name) => ({
      name,
      health_path: "/health",
      max_conns: 390,
      protocol: "h1",
      tls: false,
      cold_s: 3,
      cold_per_s: 9.1,
    })),
    limits: {
      max_header_bytes: 16384,
      max_body_bytes: 1000000,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15000,
    },
    virtual_hosts: [{ host: "a.example", path_rules: rules }],
  };
}

export function makeRule(prefix, changes = {}) {
  return {
    name: prefix,
    prefix,
    kind: "idempotent",
    timeout_ms: 2000,
    target_latency_ms: 500,
    priority: 1,
    service: "s",
    max_attempts: 3,
    sticky: false,
    home_regions: [],
    ...changes,
  };
}

/** Program and arguments of the deploy file, without `node`. */
const ARGUMENTS = /^run = "node (.+)"$/m
  .exec(readFileSync("deploy/system.toml", "utf8"))[1].split(" ");
const gateways = new Set();

/** A gateway's machine. Its first process is the first of the deployment. */
export function makeGateway(number, options) {
  const { name, zone, zones, storeAddress, seeds } = options;
  const ip = ipOf(number);
  const file = join(directory, `${name}.json`);
  const listenAddresses = Object.fromEntries(
    Object.entries(PORTS).map(([key, port]) => [key, `${ip}:${port}`]),
  );
  const settings = {
    self: {
      node_name: name,
      role: "gateway",
      machine_class: "front",
      serves: ["front", "control", "directory"],
      ip,
      zone,
      region: zones[zone],
      loss_counts: false,
      bootstrap: true,
      data_dir: null,
      limits: {
        cpu_share: 0.54,
        cores: 1,
        memory_mb: 350,
        max_fds: 4100,
        link_mbps: 1000,
        disk_mb: 0,
      },
    },
    network: {
      listen: listenAddresses,
      internal_ports: [7200, 7215],
      seeds: seeds.map((seed) => `${ipOf(seed)}:${PORTS.control}`),
      zones,
    },
    platform: {
      discovery: "platform",
      entry: "directory",
      heartbeat_ms: 1500,
      platform: {
        address: storeAddress,
        form: "table",
        writes_per_s: 400,
        reads_per_s: 2000,
        tx_ms: 5,
        part_writes_s: 200,
        row_bytes: 65536,
        across: false,
        history_s: 20,
        blob_bytes: 8388608,
        blob_ms: 25,
        blob_mb_s: 80,
      },
    },
    terms: {
      contracts: [
        "base",
        "drain",
        "config",
        "cost",
        "retry",
        "recover",
        "places",
        "platform",
      ],
      fault_tolerance: { machines: 2, zones: 1, regions: 1 },
      bounds: BOUNDS,
    },
  };
  const gateway = {
    name,
    ip,
    child: undefined,
    startedAtMs: undefined,
    start() {
      writeFileSync(file, JSON.stringify(settings));
      settings.self.bootstrap = false;
      const output = openSync(join(directory, `${name}.log`), "a");
      gateway.startedAtMs = nowMs();
      gateway.child = spawn(process.execPath, ARGUMENTS, {
        env: {
          PATH: process.env.PATH,
          HOME: process.env.HOME,
          HAWTHORNGW_BOOT: file,
          HAWTHORNGW_LOG_LEVEL: "info",
        },
        stdio: ["ignore", output, output],
      });
      gateway.ended = once(gateway.child, "exit");
    },
    async waitUntilReady() {
      for (let tries = 0; tries < 600; tries++) {
        const { status } = await call(ip, PORTS.ready, "/v1/readiness");
        if (status === 200) return;
        await sleep(25);
      }
      throw new Error(`${name} doesn't become ready`);
    },
    /** Lines of its log whose message is one of these. */
    readLog: (...messages) =>
      readFileSync(join(directory, `${name}.log`), "utf8").split("\n")
        .filter((line) => line.startsWith("{"))
        .map((line) => JSON.parse(line))
        .filter(({ msg }) => messages.includes(msg)),
  };
  gateways.add(gateway);
  return gateway;
}

/** Sends one request on a new connection. */
export function call(host, port, path, options = {}) {
  const { method = "GET", headers = {}, body, signal } = options;
  return new Promise((resolve) => {
    const request = http.request({
      host,
      port,
      path,
      method,
      agent: false,
      signal,
      headers: {
        host: "a.example",
        ...headers,
        ...(body ? { "content-length": Buffer.byteLength(body) } : {}),
      },
    }, (response) => {
      let text = "";
      response.on("data", (chunk) => text += chunk);
      response.on(
        "end",
        () => resolve({ status: response.statusCode, text }),
      );
      response.on("close", () => resolve({ error: "cut" }));
    });
    request.on("error", ({ code }) => resolve({ error: code }));
    request.end(body);
  });
}

/** Ends all processes that were started, and removes their files. */
export function cleanUp() {
  for (const { child } of gateways) child?.kill("SIGKILL");
  rmSync(directory, { recursive: true, force: true });
}
process.on("exit", cleanUp);
for (const signal of ["SIGTERM", "SIGINT"]) {
  process.on(signal, () => process.exit(2));
}
