/**
 * Settings of the `hawthorngw-standin` binary.
 *
 * @module
 */
import * as z from "zod";

const backendSchema = z.strictObject({
  id: z.string(),
  service: z.string(),
  failureDomain: z.string(),
  region: z.string(),
  address: z.string(),
  slots: z.int().min(1),
  serviceMs: z.number().positive(),
});

/** Schema of the settings, by kind of stand-in. */
export const standinSettingsSchema = z.discriminatedUnion("kind", [
  z.strictObject({ kind: z.literal("platform"), address: z.string() }),
  z.strictObject({
    kind: z.literal("backends"),
    adminAddress: z.string(),
    seed: z.int(),
    servers: z.array(backendSchema),
  }),
  z.strictObject({
    kind: z.literal("network"),
    adminAddress: z.string(),
    routes: z.array(z.strictObject({
      from: z.string(),
      to: z.string(),
      listenAddress: z.string(),
      targetAddress: z.string(),
      oneWayMs: z.number().min(0),
    })),
  }),
]);

/** Settings of one stand-in process. */
export type StandinSettings = z.infer<typeof standinSettingsSchema>;
