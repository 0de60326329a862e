/**
 * Exchanges the status of backend servers and VMs within a failure domain: probe
 * results of entries, and the ids that the platform's VM list marks as leaving.
 *
 * @module
 */
import type { Member } from "../membership/types.ts";
import type { VmList } from "../platform/types.ts";
import type { LinkTable } from "./link_table.ts";
import type { HealthReport } from "./messages.ts";
import type { PeerLink } from "./links.ts";

/** Dependencies of the exchange. */
export interface ServerStatusOptions {
  self: Member;
  links: LinkTable;
}

/** Sends and receives the status of backend servers and VMs. */
export interface ServerStatusExchange {
  /** Shares the results of this entry's probes within its failure domain. */
  reportHealth(reports: HealthReport[]): void;
  /** Adds a listener for probe results of other entries. */
  onHealth(listener: (reports: HealthReport[]) => void): void;
  /**
   * Passes probe results from a link to the listeners; a steer also forwards
   * them to the entries of its failure domain.
   */
  receiveHealth(link: PeerLink, reports: HealthReport[]): void;
  /**
   * Reads the platform's list of VMs, and sends the ids that are leaving to the
   * failure domain if they changed. A failed read changes nothing.
   */
  readVmList(list: VmList): Promise<void>;
  /** Replaces the ids that are leaving by those that a reader sent. */
  receiveLeaving(ids: readonly string[]): void;
  /** @returns Ids of VMs and backend servers that are leaving. */
  leaving(): ReadonlySet<string>;
}

/**
 * @param options Dependencies.
 * @returns The exchange.
 */
export function createServerStatusExchange(
  { self, links }: ServerStatusOptions,
): ServerStatusExchange {
  const listeners: ((reports: HealthReport[]) => void)[] = [];
  let leaving: ReadonlySet<string> = new Set();
  return {
    reportHealth(reports) {
      // One steer is enough: it forwards the reports to all other entries.
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
