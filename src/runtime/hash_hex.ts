/**
 * Longer hashes, by a library whose WebAssembly is waited for.
 *
 * @module
 */
import xxhash from "xxhash-wasm";

const hasher = await xxhash();

/**
 * @param text What to hash.
 * @returns 16 hexadecimal digits.
 */
export function hashToHex(text: string): string {
  return hasher.h64ToString(text);
}
