/**
 * Exchanges activity at backend servers between VMs.
 *
 * In a small fleet all VMs of a region send to each other at short intervals,
 * since an object is requested again within half a second. In a large one VMs
 * send through their region's first hub, the relay.
 *
 * @module
 */
import type { VmIdentity } from "../members/types.ts";
import { findRelayId, type Topology } from "../members/hubs.ts";
import type { ObjectCacheModel } from "../placement/object_cache_model.ts";
import type { Clock } from "../runtime/clock.ts";
import type { Log } from "../telemetry/log.ts";
import { createRelay } from "./relay.ts";
import {
  createRunningRequests,
  REPORT_TTL_MS,
  type RunningRequests,
} from "./running.ts";
import type { Activity, ActivityScope, RequestPairs } from "./types.ts";

/** Dependencies of the activity exchange. */
export interface SharingOptions {
  self: VmIdentity;
  clock: Clock;
  log: Log;
  cacheModel: ObjectCacheModel;
  /** Running requests of other VMs, as used for choosing servers. */
  running: RunningRequests;
  /** @returns Other VMs that serve clients. */
  listServing: () => readonly VmIdentity[];
  /** @returns The link topology. */
  getTopology: () => Topology;
  /** @returns This VM's requests at servers where they run long enough to share. */
  getOwnRunning: () => RequestPairs;
  /**
   * @param serverKey A server's hash.
   * @returns The server's region; undefined if the server is unknown.
   */
  getRegion: (serverKey: number) => string | undefined;
  /**
   * Sends activity to some VMs.
   *
   * @param vmIds The ids of the VMs.
   * @param scope The requests that the activity covers.
   * @param activity The activity.
   */
  send: (
    vmIds: readonly string[],
    scope: ActivityScope,
    activity: Activity,
  ) => void;
}

/** The activity exchange of this VM. */
export interface Sharing {
  /**
   * Applies activity from another VM.
   *
   * @param from The sender.
   * @param scope The requests that the activity covers.
   * @param activity The activity.
   */
  receive(from: VmIdentity, scope: ActivityScope, activity: Activity): void;
  /**
   * Sends a newly found VM the objects requested from servers so far.
   *
   * @param identity The VM.
   */
  sendHistory(identity: VmIdentity): void;
  /** Stops sending. */
  stop(): void;
}

/**
 * Interval between messages in a full mesh. In a small fleet requests for one
 * object arrive half a second apart. With 40 VMs and an interval of 10 ms the
 * exchange took 40% of the processor time of the requests themselves.
 */
const DIRECT_INTERVAL_MS = 50;
/**
 * Interval between messages through a relay, in fleets whose requests last a
 * second and more. With 65 VMs the relay receives and sends 330 messages a second
 * each.
 */
const RELAYED_INTERVAL_MS = 200;

/**
 * Starts the activity exchange.
 *
 * @param options Its dependencies.
 * @returns The running exchange.
 */
export function startSharing(options: SharingOptions): Sharing {
  const { self, clock, log, cacheModel, running } = options;
  /** Separate by origin, since as a relay this VM forwards what others sent. */
  const ownRegionRunning = createRunningRequests(clock);
  const otherRegionsRunning = createRunningRequests(clock);
  const relay = createRelay({
    clock,
    ownRegion: self.region,
    ownRunning: ownRegionRunning,
    otherRunning: otherRegionsRunning,
    getRegion: options.getRegion,
  });
  /** Receivers whose last message was not empty, by scope and VM id. */
  const activeReceivers = new Set<string>();
  let wasRelay = false;
  let sentRunning: RequestPairs = [];
  let sentAtMs = -Infinity;
  let stopped = false;

  function listOthers(): string[] {
    return options.listServing()
      .filter(({ region }) => region === self.region)
      .map(({ id }) => id);
  }

  function listOtherRegions(): string[] {
    return [...options.getTopology().hubs.keys()].filter((region) =>
      region !== self.region
    );
  }

  function takeOwn(): Activity {
    const taken = {
      ...cacheModel.takeUpdates(),
      running: options.getOwnRunning(),
    };
    running.recordSent(taken.running);
    return taken;
  }

  /** Sends changes, and repeats unchanged reports before they expire. */
  function sendToAll(): void {
    const own = takeOwn();
    const nowMs = clock.monotonicMs();
    const hasChanged = own.asked.length + own.forgotten.length > 0 ||
      own.running.join() !== sentRunning.join();
    const mustRepeat = own.running.length > 0 &&
      nowMs - sentAtMs > REPORT_TTL_MS / 3;
    if (!hasChanged && !mustRepeat) return;
    sentRunning = own.running;
    sentAtMs = nowMs;
    options.send(listOthers(), "vm", own);
  }

  /** Sends an empty message only once, after the last one that was not empty. */
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
    options.send(vmIds, scope, activity);
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
      const relayId = findRelayId(options.getTopology(), region);
      const activity = relay.takeForRegion(region);
      if (relayId === undefined || activity === undefined) continue;
      sendUnlessSilent([relayId], "region", activity);
    }
  }

  function updateRole(isRelay: boolean): void {
    if (isRelay === wasRelay) return;
    wasRelay = isRelay;
    log.info({ isRelay }, "relay role changed");
  }

  /** @returns The delay until the next exchange, in milliseconds. */
  function share(): number {
    if (options.getTopology().isFullMesh) {
      updateRole(false);
      sendToAll();
      return DIRECT_INTERVAL_MS;
    }
    const relayId = findRelayId(options.getTopology(), self.region);
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
      cacheModel.apply(activity);
      if (scope === "past") return;
      if (scope === "all") {
        return running.apply("relay", activity.running, true);
      }
      if (scope === "region") {
        running.apply(from.region, activity.running, false);
        // What a VM that is no relay keeps for others is never taken.
        if (wasRelay) relay.addOther(from.region, activity);
        return;
      }
      running.apply(from.id, activity.running, false);
      if (!wasRelay) return;
      ownRegionRunning.apply(from.id, activity.running, false);
      relay.addOwn(activity);
    },
    sendHistory(identity) {
      if (identity.region !== self.region) return;
      if (!options.getTopology().isFullMesh && !wasRelay) return;
      const activity = { ...cacheModel.getSnapshot(), running: [] };
      options.send([identity.id], "past", activity);
    },
    stop: () => void (stopped = true),
  };
}
