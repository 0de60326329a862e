/**
 * News of backend servers and VMs inside a failure domain: probes that entries
 * share, and what the platform's list says is leaving.
 *
 * @module
 */
import type { Member } from "../membership/types.ts";
import type { VmList } from "../platform/types.ts";
import type { LinkTable } from "./link_table.ts";
import type { HealthReport } from "./messages.ts";
import type { PeerLink } from "./links.ts";

/** What the exchange needs. */
export interface ServerStatusOptions {
  self: Member;
  links: LinkTable;
}

/** Sends and receives news. */
export interface ServerStatusExchange {
  /** Shares probes that this entry made. */
  reportHealth(reports: HealthReport[]): void;
  /** Called with probes that another entry made. */
  onHealth(listener: (reports: HealthReport[]) => void): void;
  receiveHealth(link: PeerLink, reports: HealthReport[]): void;
  /** Reads the platform's list and tells the failure domain. */
  readVmList(list: VmList): Promise<void>;
  receiveLeaving(ids: readonly string[]): void;
  /** Ids of VMs and backend servers that are leaving. */
  leaving(): ReadonlySet<string>;
}

/**
 * @param options See there.
 * @returns The exchange.
 */
export function createServerStatusExchange(
  { self, links }: ServerStatusOptions,
): ServerStatusExchange {
  const listeners: ((reports: HealthReport[]) => void)[] = [];
  let leaving: ReadonlySet<string> = new Set();
  return {
    reportHealth(reports) {
      // One steer is enough: each of them passes it on to every entry.
      const [first] = links.listOwnDomain({ role: "steer" });
      first?.[0].send({ kind: "health", reports });
    },
    onHealth: (listener) => void listeners.push(listener),
    receiveHealth(link, reports) {
      for (const listener of listeners) listener(reports);
      if (self.role !== "steer") return;
      const message = { kind: "health" as const, reports };
      links.sendToOwnDomain(message, { role: "entry", except: link });
    },
    async readVmList(list) {
      const vms = await list.list();
      if (vms.isErr()) return;
      const ids = vms.value.filter(({ state }) => state === "leaving")
        .map(({ id }) => id);
      const isSame = ids.length === leaving.size &&
        ids.every((id) => leaving.has(id));
      leaving = new Set(ids);
      if (!isSame) links.sendToOwnDomain({ kind: "vms", leaving: ids });
    },
    receiveLeaving(ids) {
      leaving = new Set(ids);
    },
    leaving: () => leaving,
  };
}
