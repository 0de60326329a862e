/**
 * Limits the bytes of request bodies that this VM has sent to one backend
 * server and that are unanswered.
 *
 * Load pattern: a server crashes if the requests that it holds exceed its
 * memory, whose size is not known. Uploads have 60 KB, some 360 KB; 65 VMs
 * share each server and don't know each other's bytes. Each VM therefore limits
 * its own bytes by what it observes: answers while much is held raise the
 * limit, servers that end lower it. A server to which this VM has sent nothing
 * always gets one body, so that no body is too large for all servers.
 *
 * @module
 */
import type { Clock } from "../runtime/clock.ts";
import type { KnownServer } from "../servers/registry.ts";
import type { Log } from "../telemetry/log.ts";
import { LARGE_BODY_BYTES } from "./body_budget.ts";
import type { CallerRequest } from "./types.ts";

/** Dependencies of `createInflightBodies`. */
export interface InflightBodiesOptions {
  clock: Clock;
  log: Log;
}

/** The limit of a service, for the state dump. */
export interface ServiceBodyLimit {
  service: string;
  /** Mean size of the bodies of its route with the largest ones. */
  usualBytes: number;
  /**
   * The limit of a server as a multiple of its slots at the usual size: 1 at
   * the start, less after servers ended.
   */
  factor: number;
}

/** Use of the limits, for metrics and the state dump. */
export interface InflightBodiesStats {
  /** Bytes sent to all servers and unanswered. */
  heldBytes: number;
  services: ServiceBodyLimit[];
  /** Servers with unanswered bodies of this VM. */
  servers: { server: string; heldBytes: number }[];
  /** Services whose limit is below its start. */
  loweredLimits: number;
  /** Number of times that a limit was lowered, since the start. */
  lowerings: number;
  /**
   * Placements that left out a server without room, since the start. The server
   * may rank behind the chosen one.
   */
  passedOver: number;
  /** Those of them that found no server. */
  unplaced: number;
}

/** Which limit a body has to fit within. */
export type BodyLimitKind =
  /** The limit as raised and lowered so far. */
  | "current"
  /**
   * The limit that answers could raise it to, for bodies that would be refused
   * otherwise. It is the current one for a time after a server ended while it
   * held many bytes.
   */
  | "largest";

/** The bytes of request bodies in flight to each server. */
export interface InflightBodies {
  /**
   * @param server A server.
   * @param bytes Size of a body.
   * @param kind The limit that applies.
   * @returns Whether the body may be sent to the server.
   */
  hasRoom(server: KnownServer, bytes: number, kind: BodyLimitKind): boolean;
  /**
   * Records that a body is sent, whether or not there is room.
   *
   * @param server The server.
   * @param routeName Name of the request's route.
   * @param bytes Size of the body.
   */
  begin(server: KnownServer, routeName: string, bytes: number): void;
  /**
   * Gives the bytes of a body back. Called once for each call of `begin`.
   *
   * @param server The server.
   * @param bytes Size of the body.
   * @param isAnswered Whether the server answered the request.
   * @returns Bytes that the server held of this VM till then.
   */
  end(server: KnownServer, bytes: number, isAnswered: boolean): number;
  /**
   * Lowers the limit of the server's service if the server held many bytes.
   * Later calls for the same end of the server have no effect.
   *
   * @param server A server that ended or no longer responds.
   * @param heldBytes Bytes that it held of this VM.
   */
  recordServerEnd(server: KnownServer, heldBytes: number): void;
  /**
   * Counts a placement that left out a server without room.
   *
   * @param isPlaced Whether it found a server.
   */
  recordPassedOver(isPlaced: boolean): void;
  /** @returns The current use. */
  getStats(): InflightBodiesStats;
}

/**
 * Routes are forgotten after this time without bodies, since the configuration
 * may no longer have them; so are services, once another one is added. Lowered
 * limits have recovered by then.
 */
const RETENTION_MS = 600_000;
/** Usual size before the first body; uploads of 60 KB are common. */
const INITIAL_USUAL_BYTES = 65_536;
/** Weight of the newest body in the mean of its route. */
const NEWEST_WEIGHT = 0.1;
/**
 * Largest limit, as a multiple of the start. Servers shed at about four
 * requests a slot, so that a larger limit has no effect.
 */
const MAX_FACTOR = 4;
/** Usual bodies by which an answer of a server without room raises the limit. */
const RAISE_BODIES = 0.25;
/**
 * A server that ends lowers the limit only if it held at least this many usual
 * bodies of this VM: one usual body at a time is the least that it can be sent.
 */
const MIN_MANY_BODIES = 1.5;
/** It must also have held this share of the limit. */
const MIN_MANY_SHARE = 0.5;
/** The limit after a server ended, as a share of what it held. */
const LOWERED_SHARE = 0.5;
/** Time in which half of a lowering is undone; demand peaks last 10 to 20 s. */
const RECOVERY_HALF_LIFE_MS = 30_000;
/** A limit above this share of its start counts as recovered. */
const RECOVERED_FACTOR = 0.95;
/**
 * Time in which no body may exceed the current limit after a server ended while
 * it held many bytes. A limit that was lowered to a third has then nearly
 * recovered.
 */
const CAUTION_MS = 120_000;
/**
 * Requests that one end of a server interrupts are recorded as lost within this
 * time: at once after a reset, by their deadlines if the server stays silent.
 */
const SAME_END_MS = 10_000;

/** Mean size of the bodies of a route. */
interface BodySizes {
  meanBytes: number;
  /** When its last body was sent. */
  lastAtMs: number;
}

interface ServiceState {
  /** By route name. */
  sizes: Map<string, BodySizes>;
  /** Largest of these means, at least `LARGE_BODY_BYTES`. */
  usualBytes: number;
  /** When its last body was sent. */
  lastBodyAtMs: number;
  /** As of `changedAtMs`; below 1 it recovers with time. */
  factor: number;
  changedAtMs: number;
  isLowered: boolean;
  /**
   * When a server last ended while it held many bytes; -Infinity if none did.
   */
  lastEndAtMs: number;
  /** When servers ended, by id; those of the last `SAME_END_MS` count. */
  endedAtMs: Map<string, number>;
}

/**
 * @param request A request.
 * @returns Bytes of its body that count; 0 where it is small.
 */
export function getCountedBytes({ body, route }: CallerRequest): number {
  const { length } = body;
  return length >= LARGE_BODY_BYTES || route.transfer === "upload" ? length : 0;
}

/**
 * @param options Dependencies.
 * @returns Limits of services without requests so far.
 */
export function createInflightBodies(
  { clock, log }: InflightBodiesOptions,
): InflightBodies {
  const services = new Map<string, ServiceState>();
  /** Bytes by server id; only servers that hold some. */
  const held = new Map<string, number>();
  let lowerings = 0;
  let passedOver = 0;
  let unplaced = 0;

  function getState(service: string): ServiceState {
    const known = services.get(service);
    if (known !== undefined) return known;
    const nowMs = clock.monotonicMs();
    for (const [other, { lastBodyAtMs }] of services) {
      if (nowMs - lastBodyAtMs >= RETENTION_MS) services.delete(other);
    }
    const state: ServiceState = {
      sizes: new Map(),
      usualBytes: INITIAL_USUAL_BYTES,
      factor: 1,
      lastBodyAtMs: nowMs,
      changedAtMs: nowMs,
      isLowered: false,
      lastEndAtMs: -Infinity,
      endedAtMs: new Map(),
    };
    services.set(service, state);
    return state;
  }

  function getFactor({ factor, changedAtMs }: ServiceState): number {
    if (factor >= 1) return factor;
    const halfLives = (clock.monotonicMs() - changedAtMs) /
      RECOVERY_HALF_LIFE_MS;
    return 1 - (1 - factor) * 0.5 ** halfLives;
  }

  function setFactor(state: ServiceState, factor: number): void {
    state.factor = factor;
    state.changedAtMs = clock.monotonicMs();
  }

  function getLimitBytes(state: ServiceState, { load }: KnownServer): number {
    const bodies = Math.max(1, getFactor(state) * load.getSlots());
    return bodies * state.usualBytes;
  }

  function getLargestLimitBytes(
    state: ServiceState,
    server: KnownServer,
  ): number {
    const sinceEndMs = clock.monotonicMs() - state.lastEndAtMs;
    return sinceEndMs < CAUTION_MS
      ? getLimitBytes(state, server)
      : MAX_FACTOR * server.load.getSlots() * state.usualBytes;
  }

  function recordSize(
    state: ServiceState,
    routeName: string,
    bytes: number,
  ): void {
    const { sizes } = state;
    const mean = sizes.get(routeName)?.meanBytes ?? INITIAL_USUAL_BYTES;
    const nowMs = clock.monotonicMs();
    sizes.set(routeName, {
      meanBytes: mean + NEWEST_WEIGHT * (bytes - mean),
      lastAtMs: nowMs,
    });
    state.lastBodyAtMs = nowMs;
    state.usualBytes = LARGE_BODY_BYTES;
    for (const [name, { meanBytes, lastAtMs }] of sizes) {
      if (nowMs - lastAtMs >= RETENTION_MS) sizes.delete(name);
      else state.usualBytes = Math.max(state.usualBytes, meanBytes);
    }
  }

  function noteRecovery(service: string, state: ServiceState): void {
    if (!state.isLowered || getFactor(state) < RECOVERED_FACTOR) return;
    setFactor(state, 1);
    state.isLowered = false;
    log.info({ service }, "body limit recovered");
  }

  /**
   * Notes the end of a server.
   *
   * @returns Whether it is a new one, not that of another request.
   */
  function noteEnd({ endedAtMs }: ServiceState, id: string): boolean {
    const nowMs = clock.monotonicMs();
    for (const [other, atMs] of endedAtMs) {
      if (nowMs - atMs >= SAME_END_MS) endedAtMs.delete(other);
    }
    if (endedAtMs.has(id)) return false;
    endedAtMs.set(id, nowMs);
    return true;
  }

  return {
    hasRoom(server, bytes, kind) {
      const heldBytes = held.get(server.listed.id);
      if (heldBytes === undefined) return true;
      const state = getState(server.listed.service);
      const limitBytes = kind === "current"
        ? getLimitBytes(state, server)
        : getLargestLimitBytes(state, server);
      return heldBytes + bytes <= limitBytes;
    },
    begin({ listed }, routeName, bytes) {
      const state = getState(listed.service);
      recordSize(state, routeName, bytes);
      noteRecovery(listed.service, state);
      held.set(listed.id, (held.get(listed.id) ?? 0) + bytes);
    },
    end(server, bytes, isAnswered) {
      const { id, service } = server.listed;
      const heldBytes = held.get(id) ?? 0;
      if (heldBytes > bytes) held.set(id, heldBytes - bytes);
      else held.delete(id);
      const state = getState(service);
      const hadRoom =
        heldBytes + state.usualBytes <= getLimitBytes(state, server);
      if (isAnswered && !hadRoom && !state.isLowered) {
        const raised = getFactor(state) + RAISE_BODIES / server.load.getSlots();
        setFactor(state, Math.min(MAX_FACTOR, raised));
      }
      return heldBytes;
    },
    recordServerEnd(server, heldBytes) {
      const { id, service } = server.listed;
      const state = getState(service);
      const limitBytes = getLimitBytes(state, server);
      const manyBytes = Math.max(
        MIN_MANY_BODIES * state.usualBytes,
        MIN_MANY_SHARE * limitBytes,
      );
      if (heldBytes < manyBytes || !noteEnd(state, id)) return;
      state.lastEndAtMs = clock.monotonicMs();
      const startBytes = server.load.getSlots() * state.usualBytes;
      const lowered = LOWERED_SHARE * heldBytes / startBytes;
      // A single body above the limit, which an idle server is sent as well,
      // may have been all that the server held.
      if (lowered >= getFactor(state)) return;
      setFactor(state, lowered);
      state.isLowered = state.factor < RECOVERED_FACTOR;
      lowerings++;
      log.info(
        {
          service,
          server: id,
          heldBytes,
          usualBytes: Math.round(state.usualBytes),
          before: Math.round(limitBytes),
          limitBytes: Math.round(getLimitBytes(state, server)),
        },
        "body limit lowered",
      );
    },
    recordPassedOver(isPlaced) {
      passedOver++;
      if (!isPlaced) unplaced++;
    },
    getStats() {
      const limits = [...services].map(([service, state]) => ({
        service,
        usualBytes: Math.round(state.usualBytes),
        factor: getFactor(state),
      }));
      return {
        heldBytes: [...held.values()].reduce((sum, bytes) => sum + bytes, 0),
        services: limits,
        servers: [...held].map(([server, heldBytes]) => ({
          server,
          heldBytes,
        })),
        loweredLimits:
          limits.filter(({ factor }) => factor < RECOVERED_FACTOR).length,
        lowerings,
        passedOver,
        unplaced,
      };
    },
  };
}
