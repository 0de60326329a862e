/**
 * Aggregates the activity of one region's VMs at backend servers, for those VMs
 * and for other regions.
 *
 * Sent directly, 65 VMs of a region would exchange 4,160 messages each time;
 * through a relay it is 130. Relevant to a VM are the servers of its own region,
 * and those of other regions that VMs of its region send to.
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

/** Aggregates activity. */
export interface Relay {
  /**
   * Adds activity of a VM of the own region, which may be this one.
   *
   * @param activity The activity.
   */
  addOwn(activity: Activity): void;
  /**
   * Adds activity of another region.
   *
   * @param region The region.
   * @param activity The activity.
   */
  addOther(region: string, activity: Activity): void;
  /** @returns What is relevant to VMs of the own region since the last call. */
  takeForOwnRegion(): Activity;
  /**
   * @param region Another region.
   * @returns What is relevant to that region since the last call; undefined if
   *   neither region sends to the other's servers.
   */
  takeForRegion(region: string): Activity | undefined;
}

/** Dependencies of a relay. */
export interface RelayOptions {
  clock: Clock;
  ownRegion: string;
  /** Running requests of the VMs of the own region, by VM. */
  ownRunning: RunningRequests;
  /** Running requests of other regions, by region. */
  otherRunning: RunningRequests;
  /**
   * @param serverKey A server's hash.
   * @returns The server's region; undefined if the server is unknown.
   */
  getRegion: (serverKey: number) => string | undefined;
}

/** Regions that sent each other no requests for this long exchange no activity. */
const RELATION_TTL_MS = 10_000;

/** Most numbers in a list of an outbox; further pairs are dropped. */
const MAX_OUTBOX_NUMBERS = 262_144;

interface Outbox {
  asked: ObjectPairs;
  forgotten: ObjectPairs;
}

/**
 * Creates a relay.
 *
 * @param options Its dependencies.
 * @returns A relay without activity.
 */
export function createRelay(options: RelayOptions): Relay {
  const { clock, ownRegion, ownRunning, otherRunning, getRegion } = options;
  let ownRegionOutbox = makeOutbox();
  const outboxByRegion = new Map<string, Outbox>();
  /**
   * When VMs here last sent to a region, and that region's VMs to this one
   * (monotonic).
   */
  const outboundAtMs = new Map<string, number>();
  const inboundAtMs = new Map<string, number>();

  function isRecent(times: Map<string, number>, region: string): boolean {
    return clock.monotonicMs() - (times.get(region) ?? -Infinity) <
      RELATION_TTL_MS;
  }

  function isRelevantHere(serverKey: number): boolean {
    const region = getRegion(serverKey);
    return region === ownRegion ||
      region !== undefined && isRecent(outboundAtMs, region);
  }

  function isRelevantTo(region: string, serverKey: number): boolean {
    const serverRegion = getRegion(serverKey);
    return serverRegion === region ||
      serverRegion === ownRegion && isRecent(inboundAtMs, region);
  }

  function getOutbox(region: string): Outbox {
    const known = outboxByRegion.get(region);
    if (known !== undefined) return known;
    const outbox = makeOutbox();
    outboxByRegion.set(region, outbox);
    return outbox;
  }

  function addOwn(activity: Activity): void {
    const nowMs = clock.monotonicMs();
    forEachPair(activity.asked, (serverKey) => {
      const region = getRegion(serverKey);
      if (region === undefined || region === ownRegion) return;
      outboundAtMs.set(region, nowMs);
      getOutbox(region);
    });
    copy(activity, ownRegionOutbox, () => true);
    for (const [region, outbox] of outboxByRegion) {
      copy(activity, outbox, (key) => isRelevantTo(region, key));
    }
  }

  function addOther(region: string, activity: Activity): void {
    const nowMs = clock.monotonicMs();
    forEachPair(activity.asked, (serverKey) => {
      if (getRegion(serverKey) !== ownRegion) return;
      inboundAtMs.set(region, nowMs);
      getOutbox(region);
    });
    otherRunning.apply(region, activity.running, false);
    copy(activity, ownRegionOutbox, isRelevantHere);
  }

  function takeForOwnRegion(): Activity {
    const running = ownRunning.sum();
    addRequests(running, otherRunning.sum());
    const outbox = ownRegionOutbox;
    ownRegionOutbox = makeOutbox();
    return { ...outbox, running: toPairs(running, isRelevantHere) };
  }

  function takeForRegion(region: string): Activity | undefined {
    const outbox = outboxByRegion.get(region);
    if (outbox === undefined) return undefined;
    if (!isRecent(outboundAtMs, region) && !isRecent(inboundAtMs, region)) {
      outboxByRegion.delete(region);
      return undefined;
    }
    outboxByRegion.set(region, makeOutbox());
    const running = toPairs(
      ownRunning.sum(),
      (key) => isRelevantTo(region, key),
    );
    return { ...outbox, running };
  }

  return { addOwn, addOther, takeForOwnRegion, takeForRegion };
}

function makeOutbox(): Outbox {
  return { asked: [], forgotten: [] };
}

function copy(
  from: Outbox,
  to: Outbox,
  isRelevant: (serverKey: number) => boolean,
): void {
  copyPairs(from.asked, to.asked, isRelevant);
  copyPairs(from.forgotten, to.forgotten, isRelevant);
}

function copyPairs(
  from: ObjectPairs,
  to: ObjectPairs,
  isRelevant: (serverKey: number) => boolean,
): void {
  forEachPair(from, (serverKey, objectKey) => {
    if (to.length >= MAX_OUTBOX_NUMBERS || !isRelevant(serverKey)) return;
    to.push(serverKey, objectKey);
  });
}

function toPairs(
  running: ReadonlyMap<number, number>,
  isRelevant: (serverKey: number) => boolean,
): number[] {
  const pairs: number[] = [];
  for (const [key, count] of running) {
    if (count > 0 && isRelevant(key)) pairs.push(key, count);
  }
  return pairs;
}
