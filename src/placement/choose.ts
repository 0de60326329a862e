/**
 * Chooses the backend server for one attempt of a request.
 *
 * Load pattern: servers answer three times faster for objects they know, and
 * a few objects are asked for far more than others. So an object has a first
 * and a second server; the second takes over what the first has no room for,
 * and both stay warm. A larger circle dilutes what each server remembers;
 * further servers are asked only for what they know already.
 *
 * @module
 */
import type { ColdLimit } from "../servers/cold_limit.ts";
import type { KnownServer } from "../servers/registry.ts";
import type { Clock } from "../runtime/clock.ts";

/** What is being placed. */
export interface Placement {
  /** Regions to try, in order, each with its servers, best first. */
  candidates: readonly (readonly KnownServer[])[];
  /** Servers that this request was sent to already. */
  tried: ReadonlySet<string>;
  /** Load of a server, in requests a slot, above which it is full. */
  maxUse: number;
  /**
   * Load that a first run of the object may find waiting for a slot already,
   * in requests a slot.
   */
  firstRunQueue: number;
  /** Rate that a cold server of the service bears. */
  coldRatePerS: number;
  /** Whether a server was asked for the object not long ago. */
  knowsObject: (serverId: string) => boolean;
  /** Whether a server has few permits. */
  isRateLimited: (server: KnownServer) => boolean;
  /** Takes a permit to send one request to a server; whether there is one. */
  takePermit: (server: KnownServer) => boolean;
}

/** A server that takes an attempt. */
export interface ServerChoice {
  kind: "server";
  server: KnownServer;
  rank: number;
  use: number;
  isKnown: boolean;
}

/** Where an attempt goes. */
export type Choice =
  | ServerChoice
  /** Every server that could take it is full. */
  | { kind: "full" }
  /** There is no server that could take it. */
  | { kind: "none" };

/**
 * Servers that share an object. What finds all of them full is refused: other
 * servers would have to forget objects of their own for it, and with half of
 * the servers lost none knew its objects any more.
 */
const CIRCLE = 2;
/** Servers further down that are asked if they know the object. */
const KNOWING_CIRCLE = 4;
/**
 * What a server's memory is worth, in requests a slot: a server is taken while
 * it is less full by the difference. Running an object that isn't known takes
 * three times as long. The first server learns its objects sooner than others,
 * so that a server that joins gets its part.
 */
const FIRST_UNKNOWING_PENALTY = 0.35;
const KNOWING_PENALTY = 0.25;
const UNKNOWING_PENALTY = 0.9;
/**
 * Slots that others may have taken, unheard of, while a request is on its way:
 * a server of nine slots gets first runs up to 0.85 requests a slot. Goodput
 * was the same for 0.55, with half as many again refused.
 */
const KEPT_FREE_SLOTS = 1.35;
/** Servers whose permits are asked for in one attempt, at the most. */
const MAX_PERMITS_ASKED = 8;
/** A server that failed this share of recent requests is asked last. */
const POOR_FAILURE_SHARE = 0.35;

/**
 * @param placement What is being placed.
 * @param coldLimit Says whether a cold server may get one more request.
 * @param clock The clock.
 * @returns Where it goes.
 */
export function chooseServer(
  placement: Placement,
  coldLimit: ColdLimit,
  clock: Clock,
): Choice {
  const { candidates, tried } = placement;
  let isAnyAlive = false;
  for (const servers of candidates) {
    const alive = servers.filter((server) =>
      !tried.has(server.listed.id) && !server.health.isEjected()
    );
    if (alive.length > 0) isAnyAlive = true;
    const choice = chooseInRegion(alive, placement, coldLimit, clock);
    if (choice !== undefined) return choice;
  }
  const anyone = candidates.flat().find((server) =>
    !tried.has(server.listed.id) && server.coldUntilMs <= clock.monotonicMs()
  );
  if (!isAnyAlive && anyone !== undefined && placement.takePermit(anyone)) {
    const isKnown = placement.knowsObject(anyone.listed.id);
    return { kind: "server", server: anyone, rank: 0, use: 0, isKnown };
  }
  return { kind: isAnyAlive ? "full" : "none" };
}

function chooseInRegion(
  alive: readonly KnownServer[],
  placement: Placement,
  coldLimit: ColdLimit,
  clock: Clock,
): Choice | undefined {
  const nowMs = clock.monotonicMs();
  const warm = alive.filter((server) => server.coldUntilMs <= nowMs);
  const sound = warm.filter((server) =>
    server.health.getFailureShare() < POOR_FAILURE_SHARE
  );
  const chosen = sound.length > 0 ? sound : warm;
  return choosePermitted(chosen, placement) ??
    findColdTurn(alive, placement, coldLimit, nowMs);
}

/**
 * A cold server gets its own objects only, at its rate, and only where those
 * that know them are full: it takes twice as long even for what it knows.
 */
function findColdTurn(
  alive: readonly KnownServer[],
  placement: Placement,
  coldLimit: ColdLimit,
  nowMs: number,
): Choice | undefined {
  const first = alive[0];
  if (first === undefined || first.coldUntilMs <= nowMs) return undefined;
  const use = first.load.getUtilization();
  if (use >= 1) return undefined;
  const { id } = first.listed;
  if (!coldLimit.take(id, placement.coldRatePerS, first.region)) {
    return undefined;
  }
  if (!placement.takePermit(first)) return undefined;
  const isKnown = placement.knowsObject(id);
  return { kind: "server", server: first, rank: 0, use, isKnown };
}

/**
 * A request that gets no permit for a server goes to the next in the order. The
 * few permits of a rate-limited server are kept for objects of its own: spent on
 * others they buy late first runs, and where all servers are limited nothing is
 * answered in time.
 */
function choosePermitted(
  servers: readonly KnownServer[],
  placement: Placement,
): Choice | undefined {
  let left = servers.filter((server, rank) =>
    rank < CIRCLE || !placement.isRateLimited(server) ||
    rank < KNOWING_CIRCLE && placement.knowsObject(server.listed.id)
  );
  let allowed = placement;
  for (let asked = 0; asked < MAX_PERMITS_ASKED; asked++) {
    const choice = chooseInCircle(left, allowed);
    if (choice === undefined || placement.takePermit(choice.server)) {
      return choice;
    }
    left = left.filter((server) => server !== choice.server);
    // First runs of what spills over would push out what others know.
    allowed = { ...placement, firstRunQueue: 0 };
  }
  return undefined;
}

function chooseInCircle(
  servers: readonly KnownServer[],
  placement: Placement,
): ServerChoice | undefined {
  let best: ServerChoice | undefined;
  let bestCost = Infinity;
  servers.slice(0, KNOWING_CIRCLE).forEach((server, rank) => {
    const use = server.load.getUtilization();
    const isKnown = placement.knowsObject(server.listed.id);
    if (use >= getMaxUse(server, placement, isKnown)) return;
    if (rank >= CIRCLE && !isKnown) return;
    const cost = use + getPenalty(rank, isKnown);
    if (cost >= bestCost) return;
    bestCost = cost;
    best = { kind: "server", server, rank, use, isKnown };
  });
  return best;
}

/**
 * A first run takes most of the time that its request has. Begun where it has
 * to wait, it is cut off: it takes a slot for as long, and its caller gets
 * nothing. With two requests a slot, three quarters of the servers' time went
 * to requests that were cut off.
 */
function getMaxUse(
  { load }: KnownServer,
  { maxUse, firstRunQueue }: Placement,
  isKnown: boolean,
): number {
  if (isKnown) return maxUse;
  // An idle server takes one, however few slots it has.
  const free = Math.max(1, load.getSlots() - KEPT_FREE_SLOTS);
  return Math.min(maxUse, free / load.getSlots() + firstRunQueue);
}

function getPenalty(rank: number, isKnown: boolean): number {
  if (rank === 0) return isKnown ? 0 : FIRST_UNKNOWING_PENALTY;
  return isKnown ? KNOWING_PENALTY : UNKNOWING_PENALTY;
}
