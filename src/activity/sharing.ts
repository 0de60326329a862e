/**
 * Tells other VMs what this one does at backend servers, and takes in what they
 * do.
 *
 * A small fleet tells all to all, soon: its objects are asked for again within
 * half a second. In a large one, VMs tell by way of their region's first hub.
 *
 * @module
 */
import type { VmIdentity } from "../members/types.ts";
import { findRelay, type Topology } from "../members/hubs.ts";
import type { ObjectCacheModel } from "../placement/object_cache_model.ts";
import type { Clock } from "../runtime/clock.ts";
import type { Log } from "../telemetry/log.ts";
import { createRelay } from "./relay.ts";
import {
  createRunningRequests,
  type RunningRequests,
  TOLD_VALID_MS,
} from "./running.ts";
import type { Activity, ActivityScope, RequestPairs } from "./types.ts";

/** What sharing needs. */
export interface SharingParts {
  self: VmIdentity;
  clock: Clock;
  log: Log;
  memory: ObjectCacheModel;
  /** Requests of other VMs, as those who choose servers see them. */
  running: RunningRequests;
  /** Other VMs that serve clients. */
  listServing: () => VmIdentity[];
  /** Who links to whom. */
  getTopology: () => Topology;
  /** This VM's requests at servers where they last long enough to be told. */
  getOwnRunning: () => RequestPairs;
  /** Region of a server, by its hash. */
  getRegion: (serverKey: number) => string | undefined;
  /** Sends to some VMs. */
  send: (
    vmIds: readonly string[],
    scope: ActivityScope,
    activity: Activity,
  ) => void;
}

/** Shares activity. */
export interface Sharing {
  /** Takes in what another VM told. */
  receive(from: VmIdentity, scope: ActivityScope, activity: Activity): void;
  /** Tells a VM that was just found what servers were asked for. */
  welcome(identity: VmIdentity): void;
  stop(): void;
}

/**
 * Pause in which news gather. Requests for one object come half a second apart
 * on a small fleet; with 40 VMs and a pause of 10 ms the news took 0.4 of the
 * processor time of the requests themselves.
 */
const DIRECT_PAUSE_MS = 50;
/**
 * The same by way of a relay, on fleets whose requests last a second and more.
 * At 65 VMs the relay gets and sends 330 messages a second each.
 */
const RELAYED_PAUSE_MS = 200;

/**
 * @param parts What sharing needs.
 * @returns The running exchange.
 */
export function startSharing(parts: SharingParts): Sharing {
  const { self, clock, log, memory, running } = parts;
  /** Kept apart, since what others told is passed on by this VM as a relay. */
  const ownRegionRunning = createRunningRequests(clock);
  const otherRegionsRunning = createRunningRequests(clock);
  const relay = createRelay({
    clock,
    ownRegion: self.region,
    ownRunning: ownRegionRunning,
    otherRunning: otherRegionsRunning,
    getRegion: parts.getRegion,
  });
  /** Whom something was told last, by scope. */
  const spokenTo = new Set<string>();
  let wasRelay = false;
  let toldRunning: RequestPairs = [];
  let toldAtMs = -Infinity;
  let stopped = false;

  function listOthers(): string[] {
    return parts.listServing()
      .filter(({ region }) => region === self.region)
      .map(({ id }) => id);
  }

  function listOtherRegions(): string[] {
    return [...parts.getTopology().hubs.keys()].filter((region) =>
      region !== self.region
    );
  }

  function takeOwn(): Activity {
    const taken = { ...memory.takeUpdates(), running: parts.getOwnRunning() };
    running.noteTold(taken.running);
    return taken;
  }

  /** Says nothing where nothing changed, but often enough to be believed. */
  function tellAll(others: readonly string[]): void {
    const own = takeOwn();
    const nowMs = clock.monotonicMs();
    const isNews = own.asked.length + own.forgotten.length > 0 ||
      own.running.join() !== toldRunning.join();
    const isDue = own.running.length > 0 &&
      nowMs - toldAtMs > TOLD_VALID_MS / 3;
    if (!isNews && !isDue) return;
    toldRunning = own.running;
    toldAtMs = nowMs;
    parts.send(others, "vm", own);
  }

  /** An idle fleet is silent, but for the word that nothing runs any more. */
  function sendUnlessSilent(
    vmIds: readonly string[],
    scope: ActivityScope,
    activity: Activity,
  ): void {
    const isEmpty = activity.asked.length + activity.forgotten.length +
        activity.running.length === 0;
    const key = `${scope} ${vmIds[0]}`;
    if (isEmpty && !spokenTo.has(key)) return;
    if (isEmpty) spokenTo.delete(key);
    else spokenTo.add(key);
    parts.send(vmIds, scope, activity);
  }

  function tellRelay(relayId: string): void {
    sendUnlessSilent([relayId], "vm", takeOwn());
  }

  function relayOn(members: readonly string[]): void {
    const own = takeOwn();
    ownRegionRunning.apply(self.id, own.running, false);
    relay.addOwn(own);
    sendUnlessSilent(members, "all", relay.takeForMembers());
    for (const region of listOtherRegions()) {
      const relayId = findRelay(parts.getTopology(), region);
      const activity = relay.takeForRegion(region);
      if (relayId === undefined || activity === undefined) continue;
      sendUnlessSilent([relayId], "region", activity);
    }
  }

  function noteRole(isRelay: boolean): void {
    if (isRelay === wasRelay) return;
    wasRelay = isRelay;
    log.info({ isRelay }, "relay of the region");
  }

  /** @returns When to share again. */
  function share(): number {
    if (parts.getTopology().isFullMesh) {
      noteRole(false);
      tellAll(listOthers());
      return DIRECT_PAUSE_MS;
    }
    const relayId = findRelay(parts.getTopology(), self.region);
    noteRole(relayId === self.id);
    if (wasRelay) relayOn(listOthers());
    else if (relayId !== undefined) tellRelay(relayId);
    return RELAYED_PAUSE_MS;
  }

  function run(): void {
    if (stopped) return;
    clock.after(share(), run);
  }

  run();

  return {
    receive(from, scope, activity) {
      memory.apply(activity);
      if (scope === "past") return;
      if (scope === "all") {
        return running.apply("relay", activity.running, true);
      }
      if (scope === "region") {
        running.apply(from.region, activity.running, false);
        return relay.addOther(from.region, activity);
      }
      running.apply(from.id, activity.running, false);
      if (!wasRelay) return;
      ownRegionRunning.apply(from.id, activity.running, false);
      relay.addOwn(activity);
    },
    welcome(identity) {
      if (identity.region !== self.region) return;
      if (!parts.getTopology().isFullMesh && !wasRelay) return;
      const activity = { ...memory.getSnapshot(), running: [] };
      parts.send([identity.id], "past", activity);
    },
    stop: () => void (stopped = true),
  };
}
