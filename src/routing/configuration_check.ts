/**
 * Checks a configuration as a whole, beyond the types of its fields.
 *
 * One that contradicts itself would come into force in parts: routes without a
 * service to run at, or one of two routes with the same prefix.
 *
 * @module
 */
import { normalizeHost } from "./table.ts";
import type { Configuration } from "./types.ts";

/** A contradiction in a configuration. */
export interface ConfigurationProblem {
  /** Fields and indexes that lead to it. */
  path: (string | number)[];
  message: string;
}

/**
 * @param configuration A configuration whose fields have been checked.
 * @returns Its contradictions; a configuration without routes has none.
 */
export function findContradictions(
  configuration: Configuration,
): ConfigurationProblem[] {
  return [
    ...findDuplicates("services", configuration.services, ({ name }) => name),
    ...findDuplicates(
      "routes",
      configuration.routes,
      ({ host, prefix }) => `${normalizeHost(host)}${prefix}`,
    ),
    ...findShareProblems(configuration),
    ...findAccountProblems(configuration),
  ];
}

function findDuplicates<T>(
  field: string,
  items: readonly T[],
  getName: (item: T) => string,
): ConfigurationProblem[] {
  const seen = new Set<string>();
  return items.flatMap((item, index) => {
    const name = getName(item);
    if (!seen.has(name)) {
      seen.add(name);
      return [];
    }
    return [{ path: [field, index], message: `"${name}" is there twice` }];
  });
}

function findShareProblems(
  { routes, services }: Configuration,
): ConfigurationProblem[] {
  const names = new Set(services.map(({ name }) => name));
  return routes.flatMap(({ shares }, index) => {
    const path = ["routes", index, "shares"];
    const unknown = shares.find(({ service }) => !names.has(service));
    if (unknown !== undefined) {
      return [{ path, message: `no service "${unknown.service}"` }];
    }
    const hasWeight = shares.some(({ weight }) => weight > 0);
    return hasWeight ? [] : [{ path, message: "no weight above 0" }];
  });
}

function findAccountProblems(
  { accounts = [] }: Configuration,
): ConfigurationProblem[] {
  const ownerByKey = new Map<string, string>();
  const shared = accounts.flatMap(({ name, keyDigests }, index) =>
    keyDigests.flatMap((digest) => {
      const owner = ownerByKey.get(digest) ?? name;
      ownerByKey.set(digest, owner);
      if (owner === name) return [];
      const message = `a key of "${owner}" too`;
      return [{ path: ["accounts", index], message }];
    })
  );
  return [
    ...findDuplicates("accounts", accounts, ({ name }) => name),
    ...shared,
  ];
}
