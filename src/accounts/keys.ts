/**
 * Digests of API keys.
 *
 * @module
 */
import { createHash } from "node:crypto";

/** 132 bits, so that no second key with the digest of another can be found. */
const DIGEST_LENGTH = 22;

/**
 * Digests an API key. Looking up a digest leaks nothing about the keys by its
 * timing, since nobody can choose the digest of a guess. Keys are random, so the
 * digest has no salt.
 *
 * @param key An API key.
 * @returns The digest, the only part of the key that is stored.
 */
export function digestKey(key: string): string {
  return createHash("sha256").update(key).digest("base64url")
    .slice(0, DIGEST_LENGTH);
}
