/**
 * Lookup table of client blocks, stored in typed arrays at 11 bytes per range.
 *
 * @module
 */
import type { FleetDocument } from "../config/schema.ts";
import { formatIpv4, parseIpv4 } from "../runtime/address.ts";

/** A client's block and region. */
export interface ClientBlock {
  /** Range in CIDR form, such as `10.1.2.0/24`. */
  block: string;
  /** Region nearest to the client. */
  region: string;
}

/** Finds the block of a client address. */
export interface BlockTable {
  /**
   * @param client The client's IPv4 address as an unsigned 32-bit number.
   * @returns Its block, or undefined where no range contains it.
   */
  find(client: number): ClientBlock | undefined;
  /** Number of ranges in the table, after nested ranges are split. */
  size: number;
}

/** A range of addresses; both ends are included. */
interface Range {
  first: number;
  last: number;
  blockPrefixLength: number;
  region: string;
}

/**
 * Builds the table. Ranges may nest: the narrowest one that contains a client
 * applies.
 *
 * @param ranges The fleet document's client blocks.
 * @returns The table.
 */
export function createBlockTable(
  ranges: FleetDocument["clientBlocks"],
): BlockTable {
  const segments = flattenRanges(ranges.map(parseRange));
  const regions = [...new Set(segments.map(({ region }) => region))];
  const regionIndex = new Map(regions.map((name, index) => [name, index]));
  const first = Uint32Array.from(segments, (range) => range.first);
  const last = Uint32Array.from(segments, (range) => range.last);
  const prefix = Uint8Array.from(segments, (range) => range.blockPrefixLength);
  const region = Uint16Array.from(
    segments,
    (range) => regionIndex.get(range.region)!,
  );
  return {
    size: segments.length,
    find(client) {
      const index = findLastAtMost(first, client);
      if (index < 0 || client > last[index]) return undefined;
      return {
        block: formatBlock(client, prefix[index]),
        region: regions[region[index]],
      };
    },
  };
}

/**
 * @param ranges The fleet document's client blocks.
 * @returns Number of blocks that the ranges are split into.
 */
export function countBlocks(ranges: FleetDocument["clientBlocks"]): number {
  return ranges.reduce((sum, { cidr, blockPrefixLength }) => {
    const prefixLength = Number(cidr.split("/")[1]);
    return sum + 2 ** (blockPrefixLength - prefixLength);
  }, 0);
}

function parseRange(block: FleetDocument["clientBlocks"][number]): Range {
  const [address, length] = block.cidr.split("/");
  const size = 2 ** (32 - Number(length));
  const first = Math.floor(parseIpv4(address)! / size) * size;
  const { blockPrefixLength, region } = block;
  return { first, last: first + size - 1, blockPrefixLength, region };
}

/**
 * Splits wider ranges around the narrower ones that they contain.
 *
 * @returns Disjoint ranges, in ascending order.
 */
function flattenRanges(ranges: Range[]): Range[] {
  const sorted = [...ranges].sort((a, b) =>
    a.first - b.first || b.last - a.last
  );
  const segments: Range[] = [];
  const enclosing: Range[] = [];
  let nextFirst = 0;

  function emit(range: Range, last: number) {
    if (nextFirst <= last) segments.push({ ...range, first: nextFirst, last });
    nextFirst = Math.max(nextFirst, last + 1);
  }

  for (const range of sorted) {
    while (
      enclosing.length > 0 && enclosing[enclosing.length - 1].last < range.first
    ) {
      const done = enclosing.pop()!;
      emit(done, done.last);
    }
    const outer = enclosing[enclosing.length - 1];
    if (outer) emit(outer, range.first - 1);
    nextFirst = Math.max(nextFirst, range.first);
    enclosing.push(range);
  }
  while (enclosing.length > 0) {
    const done = enclosing.pop()!;
    emit(done, done.last);
  }
  return segments;
}

/** @returns Index of the last value that is at most `limit`, or -1. */
function findLastAtMost(values: Uint32Array, limit: number): number {
  let low = 0;
  let high = values.length - 1;
  while (low <= high) {
    const middle = (low + high) >>> 1;
    if (values[middle] <= limit) low = middle + 1;
    else high = middle - 1;
  }
  return high;
}

function formatBlock(client: number, prefixLength: number): string {
  const size = 2 ** (32 - prefixLength);
  return `${formatIpv4(Math.floor(client / size) * size)}/${prefixLength}`;
}
