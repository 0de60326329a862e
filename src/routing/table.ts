/**
 * Finds the route of a request by its host and the longest matching path prefix.
 *
 * @module
 */
import {
  type AccountDirectory,
  createAccountDirectory,
} from "../accounts/directory.ts";
import type { Configuration, Route, ServiceSettings } from "./types.ts";

/** Looks up routes and services in one configuration. */
export interface RouteTable {
  configuration: Configuration;
  /**
   * @param host The `Host` header, with or without a port.
   * @param path The path and query of the request line.
   * @returns The route with the longest matching prefix; undefined if none
   *   matches.
   */
  match(host: string, path: string): Route | undefined;
  /**
   * @param name The name of a service.
   * @returns Its settings; undefined if the configuration has none for it.
   */
  getServiceSettings(name: string): ServiceSettings | undefined;
  /** Client accounts; undefined if callers need none. */
  accounts: AccountDirectory | undefined;
  /** Whether requests or answers of some routes are large. */
  hasLargeBodies: boolean;
}

/**
 * @param configuration The configuration to look up routes in.
 * @returns Its route table.
 */
export function createRouteTable(configuration: Configuration): RouteTable {
  const routesByHost = new Map<string, Map<string, Route>>();
  for (const route of configuration.routes) {
    const host = normalizeHost(route.host);
    const routesByPrefix = routesByHost.get(host) ?? new Map<string, Route>();
    routesByPrefix.set(route.prefix, route);
    routesByHost.set(host, routesByPrefix);
  }
  const settingsByService = new Map(
    configuration.services.map((service) => [service.name, service]),
  );

  function match(host: string, path: string): Route | undefined {
    const routesByPrefix = routesByHost.get(normalizeHost(host));
    if (routesByPrefix === undefined) return undefined;
    const pathname = stripQuery(path);
    let end = pathname.lastIndexOf("/");
    while (end >= 0) {
      const route = routesByPrefix.get(pathname.slice(0, end + 1));
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
    getServiceSettings: (name) => settingsByService.get(name),
    accounts: accounts && createAccountDirectory(accounts),
    hasLargeBodies: configuration.routes.some(({ transfer }) =>
      transfer !== "small"
    ),
  };
}

function stripQuery(path: string): string {
  const index = path.indexOf("?");
  return index < 0 ? path : path.slice(0, index);
}

/**
 * @param host A host, with or without a port.
 * @returns The name under which its routes are found.
 */
export function normalizeHost(host: string): string {
  const index = host.lastIndexOf(":");
  return (index < 0 ? host : host.slice(0, index)).toLowerCase();
}
