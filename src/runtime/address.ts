/**
 * IPv4 addresses with and without a port.
 *
 * @module
 */
import { isIPv4 } from "node:net";
import * as z from "zod";

const PORT_PATTERN = /:\d{1,5}$/;

/** Schema of `host:port`, where the host is an IPv4 address. */
export const addressSchema = z.string().refine(
  (text) => {
    const { host, port } = splitAddress(text);
    // `Number` also converts an empty text, spaces and exponents.
    const hasDigits = PORT_PATTERN.test(text);
    return isIPv4(host) && hasDigits && port < 65_536;
  },
  { message: "Expected an IPv4 number and a port, such as 127.0.0.1:7000" },
);

/** A parsed address. */
export interface HostPort {
  host: string;
  port: number;
}

/**
 * @param address `host:port`.
 * @returns Host and port; the port is NaN where it is missing.
 */
export function splitAddress(address: string): HostPort {
  const colonIndex = address.lastIndexOf(":");
  if (colonIndex < 0) return { host: address, port: NaN };
  return {
    host: address.slice(0, colonIndex),
    port: Number(address.slice(colonIndex + 1)),
  };
}

const HOST_PORT_PATTERN = /^[\w.-]+:(\d{1,5})$/;

/**
 * @param text An address, possibly of another process.
 * @returns Whether it is `host:port` and a connection to it can be tried.
 */
export function isHostPort(text: string): boolean {
  const port = Number(HOST_PORT_PATTERN.exec(text)?.[1] ?? 0);
  // A host that looks like a number may not be one, such as 1.2.3.999.
  return port > 0 && port < 65_536 && URL.canParse(`http://${text}`);
}

/**
 * @param address A parsed address.
 * @returns `host:port`.
 */
export function formatAddress({ host, port }: HostPort): string {
  return `${host}:${port}`;
}

/**
 * @param text An IPv4 address such as `127.1.2.3`.
 * @returns The address as an unsigned 32-bit integer; undefined where
 *   malformed.
 */
export function parseIpv4(text: string): number | undefined {
  if (!isIPv4(text)) return undefined;
  return text.split(".").reduce(
    (value, octet) => value * 256 + Number(octet),
    0,
  );
}

/**
 * @param address An IPv4 address as an unsigned 32-bit integer.
 * @returns The address in dotted decimal notation.
 */
export function formatIpv4(address: number): string {
  return [24, 16, 8, 0].map((shift) => (address >>> shift) & 255).join(".");
}
