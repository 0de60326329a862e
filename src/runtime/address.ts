/**
 * Addresses by IP number and port.
 *
 * @module
 */
import { isIPv4 } from "node:net";
import * as z from "zod";

/** `host:port` of a listener; the host is an IPv4 number. */
export const addressSchema = z.string().refine(
  (text) => {
    const { host, port } = splitAddress(text);
    return isIPv4(host) && Number.isInteger(port) && port >= 0 && port < 65_536;
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
 * @returns Its two parts; the port is NaN where it is missing.
 */
export function splitAddress(address: string): HostPort {
  const at = address.lastIndexOf(":");
  if (at < 0) return { host: address, port: NaN };
  return { host: address.slice(0, at), port: Number(address.slice(at + 1)) };
}

/**
 * @param address A parsed address.
 * @returns `host:port`.
 */
export function formatAddress({ host, port }: HostPort): string {
  return `${host}:${port}`;
}

/**
 * @param text An IPv4 number such as `127.1.2.3`.
 * @returns It as an unsigned 32-bit number, or undefined where malformed.
 */
export function parseIpv4(text: string): number | undefined {
  if (!isIPv4(text)) return undefined;
  return text.split(".").reduce((sum, part) => sum * 256 + Number(part), 0);
}

/**
 * @param address An unsigned 32-bit number.
 * @returns The dotted form.
 */
export function formatIpv4(address: number): string {
  return [24, 16, 8, 0].map((shift) => (address >>> shift) & 255).join(".");
}
