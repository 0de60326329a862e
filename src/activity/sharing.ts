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
import { findRelayId, type Topology } from "../members/hubs.ts";
import type { ObjectMemory } from "../placement/memory.ts";
import type { Clock } from "../runtime/clock.ts";
import type { Log } from "../telemetry/log.ts";
import { createRelay } from "./relay.ts";
import {
  createRunningRequests,
  REPORT_TTL_MS,
  type RunningRequests,
} from "./running.ts";
import type { Activity, ActivityScope, RequestPairs } from "./types.ts";

/** What sharing needs. */
export interface SharingOptions {
  self: VmIdentity;
  clock: Clock;
  log: Log;
  cacheModel: ObjectMemory;
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
  sendHistory(identity: VmIdentity): void;
  stop(): void;
}

/**
 * Pause in which news gather. Requests for one object come half a second apart
 * on a small fleet; with 40 VMs and a pause of 10 ms the news took 0.4 of the
 * processor time of the requests themselves.
 */
const DIRECT_INTERVAL_MS = 50;
/**
 * The same by way of a relay, on fleets whose requests last a second and more.
 * At 65 VMs the relay gets and sends 330 messages a second each.
 */
const RELAYED_INTERVAL_MS = 200;

/**
 * @param parts What sharing needs.
 * @returns The running exchange.
 */
export function startSharing(parts: SharingOptions): Sharing {
  const { self, clock, log, cacheModel: memory, running } = parts;
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
  const activeReceivers = new Set<string>();
  let wasRelay = false;
  let sentRunning: RequestPairs = [];
  let sentAtMs = -Infinity;
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
    const taken = { ...memory.takeNews(), running: parts.getOwnRunning() };
    running.recordSent(taken.running);
    return taken;
  }

  /** Says nothing where nothing changed, but often enough to be believed. */
  function sendToAll(others: readonly string[]): void {
    const own = takeOwn();
    const nowMs = clock.monotonicMs();
    const isNews = own.asked.length + own.forgotten.length > 0 ||
      own.running.join() !== sentRunning.join();
    const isDue = own.running.length > 0 &&
      nowMs - sentAtMs > REPORT_TTL_MS / 3;
    if (!isNews && !isDue) return;
    sentRunning = own.running;
    sentAtMs = nowMs;
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
    if (isEmpty && !activeReceivers.has(key)) return;
    if (isEmpty) activeReceivers.delete(key);
    else activeReceivers.add(key);
    parts.send(vmIds, scope, activity);
  }

  function sendToRelay(relayId: string): void {
    sendUnlessSilent([relayId], "vm", takeOwn());
  }

  function sendAsRelay(members: readonly string[]): void {
    const own = takeOwn();
    ownRegionRunning.apply(self.id, own.running, false);
    relay.addOwn(own);
    sendUnlessSilent(members, "all", relay.takeForOwnRegion());
    for (const region of listOtherRegions()) {
      const relayId = findRelayId(parts.getTopology(), region);
      const activity = relay.takeForRegion(region);
      if (relayId === undefined || activity === undefined) continue;
      sendUnlessSilent([relayId], "region", activity);
    }
  }

  function updateRole(isRelay: boolean): void {
    if (isRelay === wasRelay) return;
    wasRelay = isRelay;
    log.info({ isRelay }, "relay of the region");
  }

  /** @returns When to share again. */
  function share(): number {
    if (parts.getTopology().isFullMesh) {
      updateRole(false);
      sendToAll(listOthers());
      return DIRECT_INTERVAL_MS;
    }
    const relayId = findRelayId(parts.getTopology(), self.region);
    updateRole(relayId === self.id);
    if (wasRelay) sendAsRelay(listOthers());
    else if (relayId !== undefined) sendToRelay(relayId);
    return RELAYED_INTERVAL_MS;
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
    sendHistory(identity) {
      if (identity.region !== self.region) return;
      if (!parts.getTopology().isFullMesh && !wasRelay) return;
      const activity = { ...memory.listAsked(), running: [] };
      parts.send([identity.id], "past", activity);
    },
    stop: () => void (stopped = true),
  };
}
