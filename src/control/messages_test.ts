import { Buffer } from "node:buffer";
import fc from "fast-check";
import * as assert from "uvu/assert";
import { test } from "uvu";
import type { PeerMessage } from "./messages.ts";
import { createControlCodec } from "./links.ts";

const SEED = 20261202;

const hello: PeerMessage = {
  kind: "hello",
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

const decodeMessage = (frame: Uint8Array) => createControlCodec().decode(frame);
const pack = (value: unknown) =>
  createControlCodec().encode(value as PeerMessage);

test("messages survive a round trip, and field names are sent only once", () => {
  const sender = createControlCodec();
  const receiver = createControlCodec();
  const frames = [hello, hello, hello].map((message) =>
    Buffer.from(sender.encode(message))
  );
  for (const frame of frames) assert.equal(receiver.decode(frame), hello);
  assert.ok(frames[2].length < frames[0].length / 2);
});

const malformedMessages: [string, unknown][] = [
  ["no object", 7],
  ["unknown kind", { kind: "gossip" }],
  ["missing member", { kind: "hello", throughVersion: 1 }],
  [
    "wrong role",
    { ...hello, member: { ...hello.member, role: "root" } },
  ],
  [
    "a very long id",
    { ...hello, member: { ...hello.member, id: "x".repeat(999) } },
  ],
];

test("the message that the malformed ones derive from is valid", () => {
  assert.equal(decodeMessage(pack({ ...hello })), hello);
});

for (const [name, value] of malformedMessages) {
  test(`malformed message is rejected: ${name}`, () => {
    assert.is(decodeMessage(pack(value)), undefined);
  });
}

test("arbitrary bytes decode to a message or to undefined", () => {
  let messages = 0;
  fc.assert(
    fc.property(
      fc.oneof(
        fc.uint8Array({ maxLength: 200 }),
        fc.record({
          at: fc.nat(150),
          byte: fc.nat(255),
        }).map(({ at, byte }) => {
          const frame = Buffer.from(pack(hello));
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
