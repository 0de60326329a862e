/**
 * Random identifiers, unique without coordination.
 *
 * @module
 */
import { randomBytes } from "node:crypto";

/**
 * @param byteCount Number of random bytes; 12 are enough for a request.
 * @returns The identifier in lower-case hexadecimal, two digits per byte.
 */
export function createId(byteCount = 12): string {
  return randomBytes(byteCount).toString("hex");
}
