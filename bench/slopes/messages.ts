/**
 * Measures the size and the CPU time of messages between processes.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { createControlCodec } from "../../src/control/links.ts";
import type { PeerMessage } from "../../src/control/messages.ts";
import type { Row } from "../report.ts";
import { makeRow, measureTimeUs } from "./points.ts";
import { makeMember } from "./members.ts";

/** @returns Results for messages. */
export function measureMessages(): Row[] {
  const measureEncodedBytes = (
    make: (size: number) => PeerMessage,
    sizes: number[],
  ) =>
    sizes.map((size) => {
      const codec = createControlCodec();
      codec.encode(make(size));
      return { size, value: codec.encode(make(size)).length };
    });
  const measureCodecUs = (
    make: (size: number) => PeerMessage,
    sizes: number[],
  ) =>
    sizes.map((size) => {
      const sender = createControlCodec();
      const receiver = createControlCodec();
      const message = make(size);
      const value = measureTimeUs(500, () => {
        receiver.decode(Buffer.from(sender.encode(message)));
      });
      return { size, value };
    });
  const makeViews = (members: number): PeerMessage => ({
    kind: "views",
    views: [{
      failureDomain: "domain-1",
      authorId: "vm-1/steer",
      authorIncarnation: 1,
      sequence: 7,
      lowestVersion: 9,
      behindCount: 0,
      members: members === 0
        ? undefined
        : Array.from({ length: members }, (_, index) => makeMember(index)),
    }],
  });
  const makeLoad = (services: number): PeerMessage => ({
    kind: "load",
    loads: [{
      entryId: "vm-1/entry",
      failureDomain: "domain-1",
      utilization: 0.5,
      services: Array.from({ length: services }, (_, index) => ({
        service: `service-${index}`,
        usableSlots: 40,
        inFlight: 21,
        serviceMs: 110,
        arrivals: [{ region: "region-1", requestsPerS: 210 }],
        bytesPerRequest: 1_300,
      })),
    }],
  });
  const rowOf = (index: number) => ({
    key: `config/service/service-${index}`,
    version: index + 1,
    writeId: "0123456789abcdef01234567",
    value: "x".repeat(2_000),
  });
  const makeChanges = (rows: number): PeerMessage => ({
    kind: "changes",
    changes: {
      afterVersion: 0,
      throughVersion: rows,
      rows: Array.from({ length: rows }, (_, index) => rowOf(index)),
    },
  });
  const sizes = [1, 8, 16, 30];
  return [
    makeRow(
      "a view with members",
      "bytes, against members",
      measureEncodedBytes(makeViews, sizes),
    ),
    makeRow(
      "a view with members, both ends",
      "us, against members",
      measureCodecUs(makeViews, sizes),
    ),
    makeRow(
      "an entry's figures",
      "bytes, against services",
      measureEncodedBytes(makeLoad, sizes),
    ),
    makeRow(
      "an entry's figures, both ends",
      "us, against services",
      measureCodecUs(makeLoad, sizes),
    ),
    makeRow(
      "changed documents of 2 kB",
      "bytes, against documents",
      measureEncodedBytes(makeChanges, sizes),
    ),
    makeRow(
      "changed documents of 2 kB, both ends",
      "us, against documents",
      measureCodecUs(makeChanges, sizes),
    ),
  ];
}
