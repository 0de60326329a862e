/**
 * Stand-in of the links between regions: relays TCP connections with a delay,
 * counts their bytes, and can cut them. For development only.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import { createServer, type Server, Socket } from "node:net";
import { splitAddress } from "../runtime/address.ts";
import type { Clock } from "../runtime/clock.ts";
import {
  createRouter,
  listen,
  readJson,
  sendJson,
} from "../runtime/http_server.ts";

/** One relayed address. */
export interface RelayRoute {
  /** Region that dials. */
  from: string;
  /** Region of the target. */
  to: string;
  listenAddress: string;
  targetAddress: string;
  oneWayMs: number;
}

/** How the network is made. */
export interface NetworkSettings {
  adminAddress: string;
  routes: RelayRoute[];
}

/** Bytes over one link within one second. */
export interface LinkSecond {
  from: string;
  to: string;
  /** Wall-clock second, in s since the epoch. */
  second: number;
  bytes: number;
}

/** A running network. */
export interface StandinNetwork {
  adminAddress: string;
  setCut(from: string, to: string, cut: boolean): void;
  seconds(): LinkSecond[];
  stop(): Promise<void>;
}

/**
 * Starts the relays.
 *
 * @param settings How they are made.
 * @param clock The clock.
 * @returns The running network.
 */
export async function startStandinNetwork(
  settings: NetworkSettings,
  clock: Clock,
): Promise<StandinNetwork> {
  const cuts = new Set<string>();
  const counters = new Map<string, LinkSecond>();
  const sockets = new Map<Socket, string>();

  function count({ from, to }: RelayRoute, bytes: number): void {
    const second = Math.floor(clock.now().getTime() / 1_000);
    const key = `${from} ${to} ${second}`;
    const counter = counters.get(key) ?? { from, to, second, bytes: 0 };
    counter.bytes += bytes;
    counters.set(key, counter);
  }

  function setCut(from: string, to: string, cut: boolean): void {
    const link = `${from} ${to}`;
    if (!cut) return void cuts.delete(link);
    cuts.add(link);
    for (const [socket, used] of sockets) if (used === link) socket.destroy();
  }

  function relay(route: RelayRoute, near: Socket): void {
    const link = `${route.from} ${route.to}`;
    if (cuts.has(link)) return void near.destroy();
    const { host, port } = splitAddress(route.targetAddress);
    const far = new Socket();
    far.setNoDelay(true);
    near.setNoDelay(true);
    far.connect(port, host);
    for (const [source, sink] of [[near, far], [far, near]] as const) {
      sockets.set(source, link);
      source.on("data", (chunk: Buffer) => {
        count(route, chunk.length);
        clock.after(route.oneWayMs, () => {
          if (!sink.destroyed) sink.write(chunk);
        });
      });
      source.on("end", () => clock.after(route.oneWayMs, () => sink.end()));
      source.on("error", () => {});
      source.on("close", () => {
        sockets.delete(source);
        clock.after(route.oneWayMs, () => sink.destroy());
      });
    }
  }

  const servers = await Promise.all(
    settings.routes.map((route) =>
      openRelay(route, (socket) => relay(route, socket))
    ),
  );
  const router = createRouter();
  router.put("/admin/cut", async (request, response) => {
    const { from, to, cut } = await readJson(request) as {
      from: string;
      to: string;
      cut: boolean;
    };
    setCut(from, to, cut);
    sendJson(response, { cuts: [...cuts] });
  });
  router.get("/admin/links", (_request, response) => {
    sendJson(response, [...counters.values()]);
  });
  const admin = await listen(router, settings.adminAddress);
  return {
    adminAddress: admin.address,
    setCut,
    seconds: () => [...counters.values()],
    async stop() {
      for (const server of servers) server.close();
      for (const socket of sockets.keys()) socket.destroy();
      admin.server.closeAllConnections();
      await admin.close();
    },
  };
}

function openRelay(
  { listenAddress }: RelayRoute,
  onConnection: (socket: Socket) => void,
): Promise<Server> {
  const { host, port } = splitAddress(listenAddress);
  const server = createServer(onConnection);
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, () => resolve(server));
  });
}
