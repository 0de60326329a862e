/**
 * Interface of a process's control plane.
 *
 * @module
 */
import type { Server } from "node:http";
import type { ConfigView } from "../config/view.ts";
import type { LoadState } from "../measurement/state.ts";
import type { EntryLoad } from "../measurement/types.ts";
import type {
  DomainView,
  Member,
  ObservedMember,
  Role,
} from "../membership/types.ts";
import type { ChangeSet, Platform, Row } from "../platform/types.ts";
import type { Clock } from "../runtime/clock.ts";
import type { HealthReport } from "./messages.ts";

/** Dependencies of the agent. */
export interface AgentOptions {
  self: Member;
  clock: Clock;
  /** Shared key that authenticates peers. */
  key: string;
  /** Present only on steers, which read the table. */
  platform: Platform | undefined;
  /** HTTP server of the peer address. */
  peerServer: Server;
  /** Peer addresses to dial until a fleet document is in force. */
  seeds: readonly string[];
  /**
   * @param address A peer's address, `host:port`.
   * @returns The address to dial for it.
   */
  translate(address: string): string;
}

/** The control plane of a process. */
export interface ControlAgent {
  self: Member;
  /** @returns The configuration in force. */
  config(): ConfigView;
  /** @returns The newest known version of a replicated row. */
  row(key: string): Row | undefined;
  /** Adds a listener, called with each batch of rows that became newer. */
  onRows(listener: (rows: Row[]) => void): void;
  /** @returns All known processes and their liveness. */
  members(): ObservedMember[];
  /** @returns Members of a role that look alive and are not leaving. */
  serving(role: Role): Member[];
  /** @returns The newest view of each failure domain. */
  views(): DomainView[];
  /** @returns The latest load of each entry, by entry id. */
  loads(): LoadState;
  /** Reports the load of this entry to the steers. */
  reportLoad(load: EntryLoad): void;
  /** Shares probe results of backend servers within the failure domain. */
  reportHealth(reports: HealthReport[]): void;
  /** Adds a listener for probe results of other processes. */
  onHealth(listener: (reports: HealthReport[]) => void): void;
  /** @returns Ids of VMs and backend servers that the platform marks leaving. */
  leavingVms(): ReadonlySet<string>;
  /** Announces to all peers that this process is about to stop. */
  leave(): void;
  /** @returns Whether a newer process with the same member id was seen. */
  replaced(): boolean;
  /** @returns Time since the last read of the table, in ms; Infinity if none. */
  tableAgeMs(): number;
  /** @returns Version up to which the replica is complete. */
  throughVersion(): number;
  /** Applies rows that this process has just committed to the table. */
  applyCommittedWrite(changes: ChangeSet): void;
  /** @returns All rows of the replica. */
  allRows(): ChangeSet;
  /** Resolves once a configuration is in force. */
  ready: Promise<void>;
  /** @returns State for operators; its field names are part of the API. */
  dump(): unknown;
  /** Stops the timers and closes all links. */
  close(): void;
}
