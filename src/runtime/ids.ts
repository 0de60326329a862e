/**
 * Identities that are unique without agreement.
 *
 * @module
 */
import { randomBytes } from "node:crypto";

/**
 * @param byteCount Bytes of randomness; 12 are enough for a request.
 * @returns A lower-case hexadecimal text.
 */
export function createId(byteCount = 12): string {
  return randomBytes(byteCount).toString("hex");
}
