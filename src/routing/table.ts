/**
 * Finds the route of a request: same host, longest prefix of its path.
 *
 * @module
 */
import {
  type AccountDirectory,
  createAccountDirectory,
} from "../accounts/directory.ts";
import type { Configuration, Route, ServiceSettings } from "./types.ts";

/** Looks routes and services up in one configuration. */
export interface RouteTable {
  configuration: Configuration;
  /**
   * @param host The `Host` header, with or without a port.
   * @param path The path as it stands in the request line.
   * @returns The route with the longest matching prefix, if any.
   */
  match(host: string, path: string): Route | undefined;
  /**
   * @param name A service's name.
   * @returns Its terms, where the configuration holds them.
   */
  getServiceSettings(name: string): ServiceSettings | undefined;
  /** Client accounts; undefined where callers need none. */
  accounts: AccountDirectory | undefined;
}

/**
 * @param configuration The configuration to look routes up in.
 * @returns Its route table.
 */
export function createRouteTable(configuration: Configuration): RouteTable {
  const byHost = new Map<string, Map<string, Route>>();
  for (const route of configuration.routes) {
    const host = normalizeHost(route.host);
    const byPrefix = byHost.get(host) ?? new Map<string, Route>();
    byPrefix.set(route.prefix, route);
    byHost.set(host, byPrefix);
  }
  const terms = new Map(
    configuration.services.map((service) => [service.name, service]),
  );

  function match(host: string, path: string): Route | undefined {
    const byPrefix = byHost.get(normalizeHost(host));
    if (byPrefix === undefined) return undefined;
    const pathname = dropQuery(path);
    let end = pathname.lastIndexOf("/");
    while (end >= 0) {
      const route = byPrefix.get(pathname.slice(0, end + 1));
      if (route !== undefined) return route;
      if (end === 0) return undefined;
      end = pathname.lastIndexOf("/", end - 1);
    }
    return undefined;
  }

  const { accounts } = configuration;
  return {
    configuration,
    match,
    getServiceSettings: (name) => terms.get(name),
    accounts: accounts && createAccountDirectory(accounts),
  };
}

function dropQuery(path: string): string {
  const at = path.indexOf("?");
  return at < 0 ? path : path.slice(0, at);
}

function normalizeHost(host: string): string {
  const at = host.lastIndexOf(":");
  return (at < 0 ? host : host.slice(0, at)).toLowerCase();
}
