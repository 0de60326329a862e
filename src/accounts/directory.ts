/**
 * Finds the client account of a key in one configuration.
 *
 * @module
 */
import { digestKey } from "./keys.ts";
import type { ClientAccount } from "./types.ts";

/** The accounts of one configuration. */
export interface AccountDirectory {
  /**
   * @param apiKey The key that a caller showed.
   * @returns The account that holds it, if any.
   */
  findByKey(apiKey: string): ClientAccount | undefined;
  /**
   * @param name A name.
   * @returns The account of that name, if any.
   */
  get(name: string): ClientAccount | undefined;
}

/**
 * @param accounts The accounts.
 * @returns Their directory.
 */
export function createAccountDirectory(
  accounts: readonly ClientAccount[],
): AccountDirectory {
  const byName = new Map<string, ClientAccount>();
  const byDigest = new Map<string, ClientAccount>();
  for (const account of accounts) {
    byName.set(account.name, account);
    for (const digest of account.keyDigests) byDigest.set(digest, account);
  }
  return {
    findByKey: (apiKey) => byDigest.get(digestKey(apiKey)),
    get: (name) => byName.get(name),
  };
}
