/**
 * Tells other VMs what was used of limits here, and takes in what they used
 * there.
 *
 * In a small fleet VMs tell each other. In a large one they tell the first hub
 * of their region, which tells the sums on: to each VM of the region what all
 * others used, to the other regions what its own used.
 *
 * @module
 */
import { findRelay, type Topology } from "../members/hubs.ts";
import type { VmIdentity } from "../members/types.ts";
import type { Clock } from "../runtime/clock.ts";
import type { LimitUsage, RateLimiter } from "./limiter.ts";
import { HEARTBEAT_TIMEOUT_MS, type LimitShares } from "./shares.ts";

/** For whom a message speaks: a VM, a region, or all but the receiver. */
export type UsageScope = "vm" | "region" | "rest";

/** What was used since the last message. */
export interface UsageUpdate {
  scope: UsageScope;
  /** For how many VMs the sender speaks. */
  vms: number;
  usage: LimitUsage[];
}

/** What sharing needs. */
export interface UsageSharingOptions {
  self: VmIdentity;
  clock: Clock;
  limiter: RateLimiter;
  limitShares: LimitShares;
  /** Whether there is any limit. */
  hasLimits: () => boolean;
  /** Other VMs that are up. */
  listPeers: () => VmIdentity[];
  getTopology: () => Topology;
  send: (vmIds: readonly string[], news: UsageUpdate) => void;
}

/** Shares usage. */
export interface UsageSharing {
  receive(from: VmIdentity, news: UsageUpdate): void;
  stop(): void;
}

/** Pause in which usage gathers. */
const PAUSE_MS = 200;
/** Where nothing was used, that is said this often, to be heard. */
const SILENT_MS = 400;

/** Adds usage up by limit. */
function createTally() {
  const totals = new Map<string, LimitUsage>();
  return {
    add(usage: readonly LimitUsage[], sign: 1 | -1 = 1): void {
      for (const { name, asked, spent } of usage) {
        const total = totals.get(name) ?? { name, asked: 0, spent: 0 };
        total.asked += sign * asked;
        total.spent += sign * spent;
        totals.set(name, total);
      }
    },
    list: (): LimitUsage[] =>
      [...totals.values()].filter(({ asked, spent }) =>
        asked !== 0 || spent !== 0
      ),
  };
}

/**
 * @param parts What sharing needs.
 * @returns The running exchange.
 */
export function startUsageSharing(parts: UsageSharingOptions): UsageSharing {
  const { self, clock, limiter, limitShares: pool, send } = parts;
  /** What members of this region told since the last time, by VM. */
  let ofMembers = new Map<string, LimitUsage[]>();
  let ofRegions: LimitUsage[] = [];
  const memberHeardAtMs = new Map<string, number>();
  const toldAtMs = new Map<string, number>();

  function isRelay(): boolean {
    return !parts.getTopology().isFullMesh &&
      findRelay(parts.getTopology(), self.region) === self.id;
  }

  function tell(
    key: string,
    vmIds: readonly string[],
    news: UsageUpdate,
  ): void {
    const nowMs = clock.monotonicMs();
    const isSilent = nowMs - (toldAtMs.get(key) ?? -Infinity) < SILENT_MS;
    if (vmIds.length === 0 || news.usage.length === 0 && isSilent) return;
    toldAtMs.set(key, nowMs);
    send(vmIds, news);
  }

  function listMembers(): string[] {
    const limitMs = clock.monotonicMs() - HEARTBEAT_TIMEOUT_MS;
    for (const [id, atMs] of memberHeardAtMs) {
      if (atMs < limitMs) memberHeardAtMs.delete(id);
    }
    return [...memberHeardAtMs.keys()];
  }

  function relayOn(own: LimitUsage[]): void {
    const members = listMembers();
    const region = createTally();
    region.add(own);
    for (const usage of ofMembers.values()) region.add(usage);
    const ofRegion = region.list();
    for (const id of members) {
      const rest = createTally();
      rest.add(ofRegion);
      rest.add(ofRegions);
      rest.add(ofMembers.get(id) ?? [], -1);
      const vms = pool.countReachable() - 1;
      tell(id, [id], { scope: "rest", vms, usage: rest.list() });
    }
    for (const other of parts.getTopology().hubs.keys()) {
      const relay = findRelay(parts.getTopology(), other);
      if (other === self.region || relay === undefined) continue;
      const vms = 1 + members.length;
      tell(relay, [relay], { scope: "region", vms, usage: ofRegion });
    }
    ofMembers = new Map();
    ofRegions = [];
  }

  function share(): void {
    if (!parts.hasLimits()) return;
    const own = limiter.takeUsage();
    if (isRelay()) return relayOn(own);
    const news: UsageUpdate = { scope: "vm", vms: 1, usage: own };
    if (parts.getTopology().isFullMesh) {
      return tell("all", parts.listPeers().map(({ id }) => id), news);
    }
    const relay = findRelay(parts.getTopology(), self.region);
    if (relay !== undefined) tell(relay, [relay], news);
  }

  /**
   * Whether the sender is whom this VM listens to. Where VMs differ about who
   * sums up, nothing may count twice: what is left out is not heard from, and
   * keeps its part of the limits.
   */
  function isExpected({ id, region }: VmIdentity, scope: UsageScope): boolean {
    if (parts.getTopology().isFullMesh) return scope === "vm";
    if (scope === "rest") {
      return id === findRelay(parts.getTopology(), self.region);
    }
    if (!isRelay()) return false;
    return scope === "vm"
      ? region === self.region
      : id === findRelay(parts.getTopology(), region);
  }

  function receiveOfMember(id: string, usage: LimitUsage[]): void {
    memberHeardAtMs.set(id, clock.monotonicMs());
    const before = ofMembers.get(id);
    if (before === undefined) return void ofMembers.set(id, usage);
    const both = createTally();
    both.add(before);
    both.add(usage);
    ofMembers.set(id, both.list());
  }

  const timer = clock.every(PAUSE_MS, share);
  return {
    receive(from, { scope, vms, usage }) {
      if (!isExpected(from, scope)) return;
      limiter.receive(usage);
      pool.recordHeartbeat(scope === "region" ? from.region : from.id, vms);
      if (!isRelay()) return;
      if (scope === "vm") receiveOfMember(from.id, usage);
      else ofRegions.push(...usage);
    },
    stop: () => timer.cancel(),
  };
}
