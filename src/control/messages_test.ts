import { Buffer } from "node:buffer";
import fc from "fast-check";
import { pack } from "msgpackr";
import * as assert from "uvu/assert";
import { test } from "uvu";
import type { PeerMessage } from "./messages.ts";
import { decodeMessage } from "./peer_link.ts";

const SEED = 20261202;

const heartbeat: PeerMessage = {
  kind: "heartbeat",
  member: {
    id: "vm/steer",
    vmId: "vm",
    role: "steer",
    failureDomain: "a1",
    region: "a",
    incarnation: 1,
    state: "serving",
  },
  throughVersion: 7,
};

test("a message survives the wire", () => {
  assert.equal(decodeMessage(pack(heartbeat)), heartbeat);
});

const malformed: [string, unknown][] = [
  ["no object", 7],
  ["unknown kind", { kind: "gossip" }],
  ["missing member", { kind: "heartbeat", throughVersion: 1 }],
  [
    "wrong role",
    { ...heartbeat, member: { ...heartbeat.member, role: "root" } },
  ],
  [
    "a very long id",
    { ...heartbeat, member: { ...heartbeat.member, id: "x".repeat(999) } },
  ],
];

for (const [name, value] of malformed) {
  test(`${name} is not a message`, () => {
    assert.is(decodeMessage(pack(value)), undefined);
  });
}

test("any bytes decode to a message or to nothing", () => {
  let messages = 0;
  fc.assert(
    fc.property(
      fc.oneof(
        fc.uint8Array({ maxLength: 200 }),
        fc.record({
          at: fc.nat(150),
          byte: fc.nat(255),
        }).map(({ at, byte }) => {
          const frame = Buffer.from(pack(heartbeat));
          frame[at % frame.length] = byte;
          return new Uint8Array(frame);
        }),
      ),
      (bytes) => {
        if (decodeMessage(bytes) !== undefined) messages += 1;
      },
    ),
    { seed: SEED, numRuns: 5_000 },
  );
  assert.ok(messages > 0);
});

test.run();
