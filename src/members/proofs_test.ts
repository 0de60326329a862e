import * as assert from "uvu/assert";
import { test } from "uvu";
import { createFreshnessTracker } from "../news/freshness.ts";
import { createFakeClock } from "../runtime/clock.ts";
import { createLinkSet, type VmLink } from "./link_set.ts";
import { type VmMessage, vmMessageSchema } from "./messages.ts";
import { createProofTeller } from "./proofs.ts";

function startVm(configuration: number) {
  const clock = createFakeClock();
  const knowledge = createFreshnessTracker({
    clock,
    getVersion: () => configuration,
  });
  const sent: VmMessage[] = [];
  const link: VmLink = {
    peer: "other",
    send: (message) => void sent.push(vmMessageSchema.parse(message)),
    sendFrame: () => {},
    close: () => {},
  };
  const teller = createProofTeller({
    clock,
    links: createLinkSet(clock),
    knowledge,
    isNeeded: () => true,
    isRelay: () => false,
  });
  return { knowledge, sent, link, teller };
}

/** A VM that has read configuration 7 answers another one's question. */
function answer() {
  const reader = startVm(7);
  const asking = startVm(7);
  reader.knowledge.recordRead(reader.knowledge.getInstant());
  const { stamp } = asking.teller.makeQuestion();
  reader.teller.receiveQuestion(reader.link, { stamp });
  const [message] = reader.sent;
  assert.is(message.kind, "proof");
  return { asking, message: message as Extract<VmMessage, { kind: "proof" }> };
}

test("a proof names the configuration by its own number", () => {
  const { asking, message } = answer();
  assert.is(message.configuration, 7);
  asking.teller.receiveProof(asking.link, message);
  assert.is(asking.knowledge.getAgeMs(), 0);
});

// VMs of earlier versions count by the source's numbers, which come again.
test("between VMs of two program versions nothing is proven", () => {
  const { asking, message } = answer();
  assert.is(message.version, Number.MAX_SAFE_INTEGER);
  const { configuration: _, ...earlier } = message;
  asking.teller.receiveProof(asking.link, earlier);
  assert.is(asking.knowledge.getAgeMs(), Infinity);
});

test.run();
