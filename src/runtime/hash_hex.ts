/**
 * 64-bit hashes, computed by a WebAssembly library that loads asynchronously.
 *
 * @module
 */
import xxhash from "xxhash-wasm";

const hasher = await xxhash();

/**
 * @param text The text to hash.
 * @returns The xxHash64 of the text as 16 hexadecimal digits.
 */
export function hashToHex(text: string): string {
  return hasher.h64ToString(text);
}
