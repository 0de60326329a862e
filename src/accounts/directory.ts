/**
 * Finds client accounts of a configuration, by API key or by name.
 *
 * @module
 */
import { digestKey } from "./keys.ts";
import type { ClientAccount } from "./types.ts";

/** Index of the client accounts of one configuration. */
export interface AccountDirectory {
  /**
   * @param apiKey The API key that a caller sent.
   * @returns The account that the key belongs to, if any.
   */
  findByKey(apiKey: string): ClientAccount | undefined;
  /**
   * @param name Name of an account.
   * @returns The account of that name, if any.
   */
  get(name: string): ClientAccount | undefined;
}

/**
 * @param accounts The client accounts of a configuration.
 * @returns An index of the accounts.
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
