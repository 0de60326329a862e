/**
 * Sums up what the VMs of one region do at backend servers, for those VMs and
 * for other regions.
 *
 * All to all, 65 VMs of a region would exchange 4,160 messages each time; by
 * way of one of them it is 130. What a VM has to know are servers of its own
 * region, and those elsewhere that VMs of its region send to.
 *
 * @module
 */
import {
  forEachPair,
  type ObjectPairs,
} from "../placement/object_cache_model.ts";
import type { Clock } from "../runtime/clock.ts";
import { addRequests, type RunningRequests } from "./running.ts";
import type { Activity } from "./types.ts";

/** Sums up activity. */
export interface Relay {
  /** Takes in what a VM of the own region did, this one included. */
  addOwn(activity: Activity): void;
  /** Takes in what another region did. */
  addOther(region: string, activity: Activity): void;
  /** @returns What VMs of the own region have to know, since the last call. */
  takeForMembers(): Activity;
  /**
   * @param region Another region.
   * @returns What that region has to know, since the last call; undefined where
   *   neither sends to the other's servers.
   */
  takeForRegion(region: string): Activity | undefined;
}

/** What a relay needs. */
export interface RelayParts {
  clock: Clock;
  ownRegion: string;
  /** Requests of the VMs of the own region, by VM. */
  ownRunning: RunningRequests;
  /** Requests of other regions, by region. */
  otherRunning: RunningRequests;
  /** Region of a server, by its hash. */
  getRegion: (serverKey: number) => string | undefined;
}

/** Regions that sent nothing to each other for this long stop telling. */
const RELATED_MS = 10_000;

interface Outbox {
  asked: ObjectPairs;
  forgotten: ObjectPairs;
}

/**
 * @param parts What the relay needs.
 * @returns A relay that was told nothing.
 */
export function createRelay(parts: RelayParts): Relay {
  const { clock, ownRegion, ownRunning, otherRunning, getRegion } = parts;
  let forMembers = makeOutbox();
  const forRegions = new Map<string, Outbox>();
  /** When VMs here last sent to a region, and that region's VMs to this one. */
  const usedAtMs = new Map<string, number>();
  const userAtMs = new Map<string, number>();

  function isRecent(times: Map<string, number>, region: string): boolean {
    return clock.monotonicMs() - (times.get(region) ?? -Infinity) < RELATED_MS;
  }

  function isWantedHere(serverKey: number): boolean {
    const region = getRegion(serverKey);
    return region === ownRegion ||
      region !== undefined && isRecent(usedAtMs, region);
  }

  function isWantedBy(region: string, serverKey: number): boolean {
    const serverRegion = getRegion(serverKey);
    return serverRegion === region ||
      serverRegion === ownRegion && isRecent(userAtMs, region);
  }

  function getOutbox(region: string): Outbox {
    const known = forRegions.get(region);
    if (known !== undefined) return known;
    const outbox = makeOutbox();
    forRegions.set(region, outbox);
    return outbox;
  }

  function addOwn(activity: Activity): void {
    const nowMs = clock.monotonicMs();
    forEachPair(activity.asked, (serverKey) => {
      const region = getRegion(serverKey);
      if (region === undefined || region === ownRegion) return;
      usedAtMs.set(region, nowMs);
      getOutbox(region);
    });
    copy(activity, forMembers, () => true);
    for (const [region, outbox] of forRegions) {
      copy(activity, outbox, (key) => isWantedBy(region, key));
    }
  }

  function addOther(region: string, activity: Activity): void {
    const nowMs = clock.monotonicMs();
    forEachPair(activity.asked, (serverKey) => {
      if (getRegion(serverKey) !== ownRegion) return;
      userAtMs.set(region, nowMs);
      getOutbox(region);
    });
    otherRunning.apply(region, activity.running, false);
    copy(activity, forMembers, isWantedHere);
  }

  function takeForMembers(): Activity {
    const running = ownRunning.sum();
    addRequests(running, otherRunning.sum());
    const taken = forMembers;
    forMembers = makeOutbox();
    return { ...taken, running: toPairs(running, isWantedHere) };
  }

  function takeForRegion(region: string): Activity | undefined {
    const outbox = forRegions.get(region);
    if (outbox === undefined) return undefined;
    if (!isRecent(usedAtMs, region) && !isRecent(userAtMs, region)) {
      forRegions.delete(region);
      return undefined;
    }
    forRegions.set(region, makeOutbox());
    const running = toPairs(
      ownRunning.sum(),
      (key) => isWantedBy(region, key),
    );
    return { ...outbox, running };
  }

  return { addOwn, addOther, takeForMembers, takeForRegion };
}

function makeOutbox(): Outbox {
  return { asked: [], forgotten: [] };
}

function copy(
  from: Outbox,
  to: Outbox,
  isWanted: (serverKey: number) => boolean,
): void {
  copyPairs(from.asked, to.asked, isWanted);
  copyPairs(from.forgotten, to.forgotten, isWanted);
}

function copyPairs(
  from: ObjectPairs,
  to: ObjectPairs,
  isWanted: (serverKey: number) => boolean,
): void {
  forEachPair(from, (serverKey, objectKey) => {
    if (isWanted(serverKey)) to.push(serverKey, objectKey);
  });
}

function toPairs(
  running: ReadonlyMap<number, number>,
  isWanted: (serverKey: number) => boolean,
): number[] {
  const pairs: number[] = [];
  for (const [key, count] of running) {
    if (count > 0 && isWanted(key)) pairs.push(key, count);
  }
  return pairs;
}
