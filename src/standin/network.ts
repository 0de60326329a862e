/**
 * Stand-in for the links between regions: forwards TCP connections with a
 * delay, counts their bytes, and can cut links. For development only.
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

/** An address whose connections are forwarded over a link. */
export interface RelayRoute {
  /** Region that connects. */
  from: string;
  /** Region of the target. */
  to: string;
  listenAddress: string;
  targetAddress: string;
  /** Delay in each direction. */
  oneWayMs: number;
}

/** Settings of the network. */
export interface NetworkSettings {
  /** `host:port` of the admin endpoint. */
  adminAddress: string;
  routes: RelayRoute[];
}

/** Bytes over one link within one second. */
export interface LinkTrafficSample {
  from: string;
  to: string;
  /** Wall-clock time, in s since the Unix epoch. */
  second: number;
  bytes: number;
}

/** A running network. */
export interface StandinNetwork {
  adminAddress: string;
  /**
   * Cuts or restores a link; a cut closes its connections and refuses new ones.
   */
  setCut(from: string, to: string, cut: boolean): void;
  /** @returns Bytes of each link in each second with traffic. */
  getLinkTraffic(): LinkTrafficSample[];
  stop(): Promise<void>;
}

/**
 * Starts listening on all routes and on the admin address.
 *
 * @param settings Routes and admin address.
 * @param clock The clock.
 * @returns The running network.
 * @throws Where an address can't be listened on.
 */
export async function startStandinNetwork(
  settings: NetworkSettings,
  clock: Clock,
): Promise<StandinNetwork> {
  const cuts = new Set<string>();
  const counters = new Map<string, LinkTrafficSample>();
  const sockets = new Map<Socket, string>();

  function recordBytes({ from, to }: RelayRoute, bytes: number): void {
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
    for (const [socket, name] of sockets) if (name === link) socket.destroy();
  }

  /** Forwards a connection in both directions, each with the route's delay. */
  function relayConnection(route: RelayRoute, inbound: Socket): void {
    const link = `${route.from} ${route.to}`;
    if (cuts.has(link)) return void inbound.destroy();
    const { host, port } = splitAddress(route.targetAddress);
    const outbound = new Socket();
    outbound.setNoDelay(true);
    inbound.setNoDelay(true);
    outbound.connect(port, host);
    for (
      const [source, sink] of [[inbound, outbound], [
        outbound,
        inbound,
      ]] as const
    ) {
      sockets.set(source, link);
      source.on("data", (chunk: Buffer) => {
        recordBytes(route, chunk.length);
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
      listenOnRoute(route, (socket) => relayConnection(route, socket))
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
    getLinkTraffic: () => [...counters.values()],
    async stop() {
      for (const server of servers) server.close();
      for (const socket of sockets.keys()) socket.destroy();
      admin.server.closeAllConnections();
      await admin.close();
    },
  };
}

function listenOnRoute(
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
