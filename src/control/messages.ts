/**
 * Messages between steers and entries, with the schemas that validate them on
 * arrival.
 *
 * @module
 */
import * as z from "zod";

const memberSchema = z.object({
  id: z.string().max(160),
  vmId: z.string().max(64),
  role: z.enum(["steer", "entry"]),
  failureDomain: z.string().max(64),
  region: z.string().max(64),
  incarnation: z.number(),
  state: z.enum(["serving", "leaving"]),
});

const viewSchema = z.object({
  failureDomain: z.string().max(64),
  authorId: z.string().max(160),
  authorIncarnation: z.number(),
  sequence: z.number(),
  /** Absent if they equal those last sent on this link for the domain. */
  members: z.array(memberSchema).max(4_096).optional(),
  lowestVersion: z.number(),
  behindCount: z.number(),
});

const loadSchema = z.object({
  entryId: z.string().max(160),
  failureDomain: z.string().max(64),
  utilization: z.number(),
  services: z.array(z.object({
    service: z.string().max(64),
    usableSlots: z.number().min(0),
    inFlight: z.number().min(0),
    serviceMs: z.number().min(0),
    arrivals: z.array(z.object({
      region: z.string().max(64),
      requestsPerS: z.number(),
    })).max(256),
    bytesPerRequest: z.number().min(0),
  })).max(4_096),
});

const healthSchema = z.object({
  serverId: z.string().max(64),
  state: z.enum(["healthy", "draining", "failing"]),
  /** Share of its slots in use, as the backend server reports it. */
  reportedUse: z.number(),
  /** Age of the probe when it was sent, in ms. */
  ageMs: z.number().min(0),
});

const rowSchema = z.object({
  key: z.string().max(256),
  version: z.number(),
  writeId: z.string().max(64),
  value: z.string(),
});

/** Schema of the messages on a peer link. */
export const peerMessageSchema = z.discriminatedUnion("kind", [
  /** First message on a link, and again when the sender's state changes. */
  z.object({
    kind: z.literal("hello"),
    member: memberSchema,
    throughVersion: z.number(),
  }),
  /**
   * Sent each heartbeat period to the own failure domain, and every second one
   * to others.
   */
  z.object({ kind: z.literal("heartbeat"), throughVersion: z.number() }),
  /** Views of failure domains, own and relayed. */
  z.object({ kind: z.literal("views"), views: z.array(viewSchema).max(512) }),
  /** Loads of entries, own and relayed. */
  z.object({ kind: z.literal("load"), loads: z.array(loadSchema).max(4_096) }),
  /** Backend servers and VMs that the platform says are leaving. */
  z.object({
    kind: z.literal("vms"),
    leaving: z.array(z.string().max(64)).max(65_536),
  }),
  /** Probes of backend servers, shared within a failure domain. */
  z.object({
    kind: z.literal("health"),
    reports: z.array(healthSchema).max(4_096),
  }),
  /** Rows newer than the version in the receiver's last heartbeat. */
  z.object({
    kind: z.literal("changes"),
    changes: z.object({
      afterVersion: z.number(),
      throughVersion: z.number(),
      rows: z.array(rowSchema).max(65_536),
    }),
  }),
]);

/** A view as sent on a link: members only where they changed. */
export type WireView = z.infer<typeof viewSchema>;
/** Result of a probe of a backend server. */
export type HealthReport = z.infer<typeof healthSchema>;
/** A message on a peer link. */
export type PeerMessage = z.infer<typeof peerMessageSchema>;
