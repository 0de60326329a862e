/**
 * The control side of a process, as its other parts see it.
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

/** What the agent needs. */
export interface AgentOptions {
  self: Member;
  clock: Clock;
  key: string;
  /** Only steers read the platform. */
  platform: Platform | undefined;
  /** Listener of the peer address. */
  peerServer: Server;
  /** Peer addresses known from the settings. */
  seeds: readonly string[];
  /** Gives the address to dial for a peer's address. */
  translate(address: string): string;
}

/** The control side of a process. */
export interface ControlAgent {
  self: Member;
  config(): ConfigView;
  /** @returns The newest known form of a replicated row. */
  row(key: string): Row | undefined;
  /** Called with each batch of rows that came into force. */
  onRows(listener: (rows: Row[]) => void): void;
  members(): ObservedMember[];
  serving(role: Role): Member[];
  /** Newest view of each failure domain. */
  views(): DomainView[];
  /** Figures of entries, by entry id. */
  loads(): LoadState;
  /** Hands this process's own figures to the steers. */
  reportLoad(load: EntryLoad): void;
  /** Shares probes of backend servers within the failure domain. */
  reportHealth(reports: HealthReport[]): void;
  /** Called with probes that another process made. */
  onHealth(listener: (reports: HealthReport[]) => void): void;
  /** Ids of VMs and backend servers that the platform says are leaving. */
  leavingVms(): ReadonlySet<string>;
  /** Tells everybody that this process is about to stop. */
  leave(): void;
  /** Whether a newer process with this one's id was seen. */
  replaced(): boolean;
  /** Age of the last answer of the table, in ms; Infinity if none. */
  tableAgeMs(): number;
  throughVersion(): number;
  /** Applies rows that this process has just written itself. */
  applyCommittedWrite(changes: ChangeSet): void;
  allRows(): ChangeSet;
  /** Resolves once a configuration is in force. */
  ready: Promise<void>;
  dump(): unknown;
  close(): void;
}
