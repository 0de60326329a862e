import * as assert from "uvu/assert";
import { test } from "uvu";
import { makeServer, makeVmIdentity } from "../gateway/fixture.ts";
import type { ProxiedResult } from "../proxying/proxy_client.ts";
import { createProxySelection } from "../proxying/proxy_selection.ts";
import { createFakeClock } from "../runtime/clock.ts";
import type { ServiceReach } from "../servers/reach_evidence.ts";
import { NO_SIGNALS } from "../servers/signals.ts";
import { createSilentLog } from "../telemetry/log.ts";
import { makeRequest } from "./fixture.ts";
import { createServerTransport } from "./server_transport.ts";
import type { ExchangeResult } from "./types.ts";
import { Buffer } from "node:buffer";

const ANSWER: ExchangeResult = {
  kind: "answer",
  answer: { status: 200, headers: {}, body: Buffer.alloc(0) },
  signals: NO_SIGNALS,
};
const NOT_SENT: ExchangeResult = {
  kind: "not_sent",
  reason: "refused",
  isUnresponsive: false,
};

function start(vms: number) {
  const clock = createFakeClock();
  const sent: string[] = [];
  const state = {
    reach: "reached" as ServiceReach,
    hasLiveConnection: false,
    direct: ANSWER as ExchangeResult,
    proxied: [] as ProxiedResult[],
  };
  const self = makeVmIdentity("vm-0");
  const peers = Array.from(
    { length: vms },
    (_, index) => makeVmIdentity(`vm-${index + 1}`, { failureDomain: "b" }),
  );
  const transport = createServerTransport({
    clock,
    log: createSilentLog(),
    ownId: self.id,
    exchange: {
      send() {
        sent.push("direct");
        return { result: Promise.resolve(state.direct), abort() {} };
      },
      encodeHeaders: () => ({}),
      hasFreeConnection: () => state.hasLiveConnection,
    },
    reach: {
      assess: () => state.reach,
      hasResponded: () => state.hasLiveConnection,
      watch: () => ({ end() {} }),
    },
    proxies: createProxySelection({ clock, self, listServing: () => peers }),
    proxyClient: {
      send(vm) {
        sent.push(vm.id);
        const result = state.proxied.shift() ?? ANSWER;
        return { result: Promise.resolve(result), abort() {} };
      },
    },
  });
  const send = (homeRegions: string[] = []) =>
    transport.send({
      server: makeServer("1"),
      request: { ...makeRequest(), homeRegions },
      fingerprint: "f",
      remainingMs: 1_000,
      maySend: () => true,
    }).result;
  return { clock, send, sent, state, transport };
}

test("a service that is reached is sent to directly", async () => {
  const { send, sent } = start(3);
  assert.equal(await send(), { result: ANSWER, isPathBroken: false });
  assert.equal(sent, ["direct"]);
});

test("a lost service is reached by way of another VM", async () => {
  const { send, sent, state } = start(3);
  state.reach = "lost";
  const { result, via } = await send();
  assert.is(result, ANSWER);
  assert.equal(sent, [via]);
});

test("an open connection that responds is used although new ones fail", async () => {
  const { send, sent, state } = start(3);
  Object.assign(state, { reach: "lost", hasLiveConnection: true });
  await send();
  assert.equal(sent, ["direct"]);
});

function makeDeclines(count: number): ProxiedResult[] {
  return Array.from(
    { length: count },
    () => ({ kind: "declined", reason: "service lost" }),
  );
}

test("six VMs are asked at most, and then nobody for a moment", async () => {
  const { clock, send, sent, state, transport } = start(9);
  state.reach = "lost";
  state.proxied = makeDeclines(6);
  assert.is((await send()).result.kind, "no_path");
  assert.is(new Set(sent).size, 6);
  assert.is((await send()).result.kind, "no_path");
  assert.is(sent.length, 6);
  clock.advance(251);
  assert.is((await send()).result, ANSWER);
  assert.equal(transport.getStats(), { proxied: 1, withoutPath: 2 });
});

// Guards against requests refused as out of reach while half of the VMs, or only
// one, could have sent them.
test("a VM that can help is found among those that decline", async () => {
  const { send, sent, state, transport } = start(6);
  state.reach = "lost";
  state.proxied = makeDeclines(5);
  assert.is((await send()).result, ANSWER);
  assert.is(new Set(sent).size, 6);
  assert.equal(transport.getStats(), { proxied: 1, withoutPath: 0 });
});

// Guards against refusing all requests of a service since one of them, whose
// home region had no VM left, could not be sent.
test("requests that no VM of their home region can send hold up no others", async () => {
  const { send, sent, state } = start(3);
  state.reach = "lost";
  assert.is((await send(["nowhere"])).result.kind, "no_path");
  assert.is((await send()).result, ANSWER);
  assert.is(sent.length, 1);
});

test("a server that the other VM must not send to is no broken path", async () => {
  const { send, sent, state, transport } = start(6);
  state.reach = "lost";
  const withheld: ProxiedResult = { kind: "withheld", reason: "draining" };
  state.proxied = [withheld];
  const { result, isPathBroken } = await send();
  assert.is(result, withheld);
  assert.not(isPathBroken);
  assert.is(sent.length, 1);
  assert.equal(transport.getStats(), { proxied: 0, withoutPath: 0 });
});

test("an unreachable VM is passed over, a server that it can't reach is not", async () => {
  const { send, sent, state } = start(3);
  state.reach = "lost";
  const failure: ProxiedResult = { kind: "not_sent", reason: "server down" };
  state.proxied = [{ kind: "unreachable", reason: "gone" }, failure];
  const { result, isPathBroken } = await send();
  assert.is(result, failure);
  assert.not(isPathBroken);
  assert.is(sent.length, 2);
});

test("where nobody helps, a service that is only in doubt is tried directly", async () => {
  const { send, sent, state } = start(0);
  state.reach = "doubtful";
  assert.is((await send()).result, ANSWER);
  assert.equal(sent, ["direct"]);
  state.reach = "lost";
  assert.is((await send()).result.kind, "no_path");
});

test("a failure at a lost service says nothing about the server", async () => {
  const { send, state } = start(0);
  state.hasLiveConnection = true;
  state.direct = NOT_SENT;
  assert.is((await send()).isPathBroken, false);
  state.reach = "lost";
  assert.is((await send()).isPathBroken, true);
});

test.run();
