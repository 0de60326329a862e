/**
 * Chooses the backend server for one attempt of a request.
 *
 * Load pattern: servers answer three times faster for objects they know, and
 * a few objects are asked for far more than others. So an object has a first
 * and a second server; the second takes over what the first has no room for,
 * and both stay warm. A larger circle dilutes what each server remembers.
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
  /** Rate that a cold server of the service bears. */
  coldRatePerS: number;
  /** Whether a server answered for the object not long ago. */
  knowsObject: (serverId: string) => boolean;
}

/** Where an attempt goes. */
export type Choice =
  | { kind: "server"; server: KnownServer; rank: number; use: number }
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
/**
 * How much fuller the first server must be, in requests a slot, before the
 * second is taken: one that knows the object, and one that does not. Running
 * an object that isn't known takes three times as long.
 */
const KNOWING_PENALTY = 0.25;
const UNKNOWING_PENALTY = 0.9;
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
  if (!isAnyAlive && anyone !== undefined) {
    return { kind: "server", server: anyone, rank: 0, use: 0 };
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
  const cold = findColdTurn(alive, placement, coldLimit, nowMs);
  if (cold !== undefined) return cold;
  const sound = warm.filter((server) =>
    server.health.getFailureShare() < POOR_FAILURE_SHARE
  );
  const chosen = sound.length > 0 ? sound : warm;
  return chooseInCircle(chosen.slice(0, CIRCLE), placement);
}

/** A cold server gets its own objects only, and only at its rate. */
function findColdTurn(
  alive: readonly KnownServer[],
  placement: Placement,
  coldLimit: ColdLimit,
  nowMs: number,
): Choice | undefined {
  const first = alive[0];
  if (first === undefined || first.coldUntilMs <= nowMs) return undefined;
  const use = first.load.getUse();
  if (use >= 1) return undefined;
  const { id } = first.listed;
  if (!coldLimit.take(id, placement.coldRatePerS, first.region)) {
    return undefined;
  }
  return { kind: "server", server: first, rank: 0, use };
}

function chooseInCircle(
  circle: readonly KnownServer[],
  placement: Placement,
): Choice | undefined {
  let best: Choice | undefined;
  let bestCost = Infinity;
  circle.forEach((server, rank) => {
    const use = server.load.getUse();
    if (use >= placement.maxUse) return;
    const cost = use + getPenalty(server, rank, placement);
    if (cost >= bestCost) return;
    bestCost = cost;
    best = { kind: "server", server, rank, use };
  });
  return best;
}

function getPenalty(
  server: KnownServer,
  rank: number,
  placement: Placement,
): number {
  if (rank === 0) return 0;
  return placement.knowsObject(server.listed.id)
    ? KNOWING_PENALTY
    : UNKNOWING_PENALTY;
}
