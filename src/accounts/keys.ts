/**
 * API keys, held by digest.
 *
 * @module
 */
import { createHash } from "node:crypto";

/** 132 bits: nobody finds a key that is taken for another one. */
const DIGEST_CHARACTERS = 22;

/**
 * Looking a digest up takes a time that tells nothing of the keys: nobody can
 * choose the digest of a guess. Keys are random, so the digest has no salt.
 *
 * @param key An API key.
 * @returns What the product keeps of it.
 */
export function digestKey(key: string): string {
  return createHash("sha256").update(key).digest("base64url")
    .slice(0, DIGEST_CHARACTERS);
}
