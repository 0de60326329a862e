import * as assert from "uvu/assert";
import { test } from "uvu";
import { createFreshnessTracker } from "../news/freshness.ts";
import { createFakeClock } from "../runtime/clock.ts";
import { createLinkSet, type VmLink } from "./link_set.ts";
import { type VmMessage, vmMessageSchema } from "./messages.ts";
import { createProofSender } from "./proofs.ts";

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
  const sender = createProofSender({
    clock,
    links: createLinkSet(clock),
    freshness: knowledge,
    isNeeded: () => true,
    isRelay: () => false,
  });
  return { knowledge, sent, link, sender };
}

/** A VM that read configuration 7 answers another VM's request. */
function answer() {
  const reader = startVm(7);
  const requester = startVm(7);
  reader.knowledge.recordRead(reader.knowledge.getInstant());
  const { stamp } = requester.sender.makeRequest();
  reader.sender.receiveRequest(reader.link, { stamp });
  const [message] = reader.sent;
  assert.is(message.kind, "proof");
  return {
    requester,
    message: message as Extract<VmMessage, { kind: "proof" }>,
  };
}

test("a proof refers to the configuration's own number", () => {
  const { requester, message } = answer();
  assert.is(message.configuration, 7);
  requester.sender.receiveProof(requester.link, message);
  assert.is(requester.knowledge.getAgeMs(), 0);
});

// VMs of earlier versions use the source's numbers, which repeat after a restore.
test("VMs of different program versions accept no proofs from each other", () => {
  const { requester, message } = answer();
  assert.is(message.version, Number.MAX_SAFE_INTEGER);
  const { configuration: _, ...earlier } = message;
  requester.sender.receiveProof(requester.link, earlier);
  assert.is(requester.knowledge.getAgeMs(), Infinity);
});

test.run();
