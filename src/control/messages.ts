/**
 * Messages between the system's own processes, and their check on arrival.
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
  /** Absent where they are those last sent for the domain on this link. */
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
  /** Share of its slots in use, by its own word. */
  reportedUse: z.number(),
  /** Age of the probe when it was sent on, in ms. */
  ageMs: z.number().min(0),
});

const rowSchema = z.object({
  key: z.string().max(256),
  version: z.number(),
  writeId: z.string().max(64),
  value: z.string(),
});

/** Schema of every message on a peer link. */
export const peerMessageSchema = z.discriminatedUnion("kind", [
  /** First message on a link, and again when the sender's state changes. */
  z.object({
    kind: z.literal("hello"),
    member: memberSchema,
    throughVersion: z.number(),
  }),
  /** Sent on every link each heartbeat period. */
  z.object({ kind: z.literal("heartbeat"), throughVersion: z.number() }),
  /** Views of failure domains, own and relayed. */
  z.object({ kind: z.literal("views"), views: z.array(viewSchema).max(512) }),
  /** Figures of entries, own and relayed. */
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
  /** Rows that the receiver's heartbeat showed to be missing. */
  z.object({
    kind: z.literal("changes"),
    changes: z.object({
      afterVersion: z.number(),
      throughVersion: z.number(),
      rows: z.array(rowSchema).max(65_536),
    }),
  }),
]);

/** A view as it travels: members only where they changed. */
export type WireView = z.infer<typeof viewSchema>;
/** What a probe of a backend server found. */
export type HealthReport = z.infer<typeof healthSchema>;
/** A message on a peer link. */
export type PeerMessage = z.infer<typeof peerMessageSchema>;
