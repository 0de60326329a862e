/**
 * Exchanges limit usage between VMs.
 *
 * In a small fleet every VM sends to every other. In a large fleet VMs send to
 * the first hub of their region, which relays sums: to each VM of the region
 * the usage of all other VMs, and to the other regions the usage of its own.
 *
 * @module
 */
import { findRelayId, type Topology } from "../members/hubs.ts";
import type { VmIdentity } from "../members/types.ts";
import type { Clock, Timer } from "../runtime/clock.ts";
import type { LimitUsage, RateLimiter } from "./limiter.ts";
import { HEARTBEAT_TIMEOUT_MS, type LimitShares } from "./shares.ts";
import { MAX_LIMIT_SUBJECTS } from "./usage_encoding.ts";

/** Whose usage a message holds: a VM's, a region's, or all but the receiver's. */
export type UsageScope = "vm" | "region" | "rest";

/** Usage since the sender's previous message. */
export interface UsageUpdate {
  scope: UsageScope;
  /** Number of VMs that the sender speaks for. */
  vms: number;
  usage: LimitUsage[];
}

/** Dependencies of `startUsageSharing`. */
export interface UsageSharingOptions {
  self: VmIdentity;
  clock: Clock;
  limiter: RateLimiter;
  limitShares: LimitShares;
  /** Whether any limit is in force. */
  hasLimits: () => boolean;
  /** Lists the other VMs that are up. */
  listPeers: () => VmIdentity[];
  getTopology: () => Topology;
  send: (vmIds: readonly string[], update: UsageUpdate) => void;
}

/** A running exchange of limit usage. */
export interface UsageSharing {
  /** Accounts for the usage in a message from another VM. */
  receive(from: VmIdentity, update: UsageUpdate): void;
  /** Sends again after `stop`. */
  resume(): void;
  /** Stops sending. */
  stop(): void;
}

/** Interval at which usage is sent. */
const SEND_INTERVAL_MS = 200;
/** Interval of messages without usage, which serve as heartbeats. */
const HEARTBEAT_INTERVAL_MS = 400;

/** Sums usage by limit, of as many limits as a message may hold. */
function createTally() {
  const totals = new Map<string, LimitUsage>();
  return {
    add(usage: readonly LimitUsage[], sign: 1 | -1 = 1): void {
      for (const { name, asked, spent } of usage) {
        const known = totals.get(name);
        if (known === undefined && totals.size >= MAX_LIMIT_SUBJECTS) continue;
        const total = known ?? { name, asked: 0, spent: 0 };
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
 * @param options Dependencies of the exchange.
 * @returns The running exchange.
 */
export function startUsageSharing(options: UsageSharingOptions): UsageSharing {
  const { self, clock, limiter, limitShares, send } = options;
  /** Usage received from VMs of this region and not relayed yet, by VM. */
  let usageByMember = new Map<string, LimitUsage[]>();
  /** Usage received from other regions and not relayed yet. */
  let usageOfRegions = createTally();
  const memberHeardAtMs = new Map<string, number>();
  const sentAtMs = new Map<string, number>();

  function isRelay(): boolean {
    return !options.getTopology().isFullMesh &&
      findRelayId(options.getTopology(), self.region) === self.id;
  }

  function sendUpdate(
    key: string,
    vmIds: readonly string[],
    update: UsageUpdate,
  ): void {
    const nowMs = clock.monotonicMs();
    const isRecent =
      nowMs - (sentAtMs.get(key) ?? -Infinity) < HEARTBEAT_INTERVAL_MS;
    if (vmIds.length === 0 || update.usage.length === 0 && isRecent) return;
    sentAtMs.set(key, nowMs);
    send(vmIds, update);
  }

  function listMembers(): string[] {
    const limitMs = clock.monotonicMs() - HEARTBEAT_TIMEOUT_MS;
    for (const [id, atMs] of memberHeardAtMs) {
      if (atMs < limitMs) memberHeardAtMs.delete(id);
    }
    return [...memberHeardAtMs.keys()];
  }

  function relayUsage(own: LimitUsage[]): void {
    const members = listMembers();
    const region = createTally();
    region.add(own);
    for (const usage of usageByMember.values()) region.add(usage);
    const usageOfRegion = region.list();
    for (const id of members) {
      const rest = createTally();
      rest.add(usageOfRegion);
      rest.add(usageOfRegions.list());
      rest.add(usageByMember.get(id) ?? [], -1);
      const vms = limitShares.countReachable() - 1;
      sendUpdate(id, [id], { scope: "rest", vms, usage: rest.list() });
    }
    for (const other of options.getTopology().hubs.keys()) {
      const relay = findRelayId(options.getTopology(), other);
      if (other === self.region || relay === undefined) continue;
      const vms = 1 + members.length;
      sendUpdate(relay, [relay], {
        scope: "region",
        vms,
        usage: usageOfRegion,
      });
    }
    dropPending();
  }

  function dropPending(): void {
    usageByMember = new Map();
    usageOfRegions = createTally();
  }

  function share(): void {
    if (!options.hasLimits()) return dropPending();
    const own = limiter.takeUsage();
    if (isRelay()) return relayUsage(own);
    const update: UsageUpdate = { scope: "vm", vms: 1, usage: own };
    if (options.getTopology().isFullMesh) {
      return sendUpdate("all", options.listPeers().map(({ id }) => id), update);
    }
    const relay = findRelayId(options.getTopology(), self.region);
    if (relay !== undefined) sendUpdate(relay, [relay], update);
  }

  /**
   * Whether this VM accepts usage from a sender. While VMs disagree about which
   * of them is the relay, no usage may be counted twice. A sender that is not
   * accepted counts as silent, and keeps its share of the limits.
   */
  function isExpected({ id, region }: VmIdentity, scope: UsageScope): boolean {
    if (options.getTopology().isFullMesh) return scope === "vm";
    if (scope === "rest") {
      return id === findRelayId(options.getTopology(), self.region);
    }
    if (!isRelay()) return false;
    return scope === "vm"
      ? region === self.region
      : id === findRelayId(options.getTopology(), region);
  }

  function receiveFromMember(id: string, usage: LimitUsage[]): void {
    memberHeardAtMs.set(id, clock.monotonicMs());
    const pending = usageByMember.get(id);
    if (pending === undefined) return void usageByMember.set(id, usage);
    const sum = createTally();
    sum.add(pending);
    sum.add(usage);
    usageByMember.set(id, sum.list());
  }

  let timer: Timer | undefined = clock.every(SEND_INTERVAL_MS, share);
  return {
    receive(from, { scope, vms, usage }) {
      if (!isExpected(from, scope)) return;
      limiter.receive(usage);
      limitShares.recordHeartbeat(
        scope === "region" ? from.region : from.id,
        vms,
      );
      if (!isRelay()) return;
      if (scope === "vm") receiveFromMember(from.id, usage);
      else usageOfRegions.add(usage);
    },
    resume: () => void (timer ??= clock.every(SEND_INTERVAL_MS, share)),
    stop() {
      timer?.cancel();
      timer = undefined;
    },
  };
}
