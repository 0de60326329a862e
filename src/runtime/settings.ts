/**
 * Settings of the daemons: JSON with comments, validated at startup.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import * as z from "zod";
import { formatProblem, parseDocument } from "../config/jsonc.ts";
import { addressSchema } from "./address.ts";
import { StepError } from "./errors.ts";

/** Schema of a daemon's settings. */
export const daemonSettingsSchema = z.strictObject({
  vmId: z.string().min(1).describe("Id of the VM in the fleet document"),
  failureDomain: z.string().min(1).describe("Failure domain of the VM"),
  region: z.string().min(1).describe("Region of the VM"),
  callerAddress: addressSchema.describe("Listen address for callers"),
  peerAddress: addressSchema.describe(
    "Listen address for other processes of the system",
  ),
  operatorAddress: addressSchema.describe("Listen address for operators"),
  platformUrl: z.url().describe("URL of the platform's services"),
  peerKey: z.string().min(16).describe(
    "Key that authenticates links between processes",
  ),
  operatorKey: z.string().min(16).describe(
    "Key that operator endpoints require",
  ),
  seeds: z.array(addressSchema).min(1).describe(
    "Peer addresses of some steer processes, used until the fleet document is known",
  ),
  peerRoutes: z.record(addressSchema, addressSchema).default({}).describe(
    "Addresses to connect to, by peer address, for peers reached through another address",
  ),
  statsd: addressSchema.optional().describe(
    "Address to which StatsD metrics are sent over UDP",
  ),
});

/** A daemon's settings. */
export type DaemonSettings = z.infer<typeof daemonSettingsSchema>;

/**
 * Reads and validates a settings file.
 *
 * @param file Path of the file.
 * @param schema Schema of the settings.
 * @returns The settings.
 * @throws StepError of kind `invalid` where the file can't be read, or is
 *   invalid; then it lists every problem.
 */
export function loadSettings<S extends z.ZodType>(
  file: string,
  schema: S,
): z.infer<S> {
  let text: string;
  try {
    text = readFileSync(file, "utf8");
  } catch (cause) {
    throw new StepError(`Cannot read ${file}: ${(cause as Error).message}`, {
      step: "settings.read",
      peer: "self",
      kind: "invalid",
      cause,
    });
  }
  const parsed = parseDocument({ file, text }, schema);
  if (parsed.isOk()) return parsed.value;
  throw new StepError(parsed.error.map(formatProblem).join("\n"), {
    step: "settings.check",
    peer: "self",
    kind: "invalid",
  });
}
