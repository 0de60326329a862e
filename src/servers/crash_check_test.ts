import * as assert from "uvu/assert";
import { test } from "uvu";
import { makeServer } from "../gateway/fixture.ts";
import { createDial, type DialResult } from "../runtime/dial.ts";
import { openSocket } from "../runtime/open_socket.ts";
import { createRouter, listen } from "../runtime/http_server.ts";
import { createCrashCheck } from "./crash_check.ts";

test("a server that refuses connections ended, one that accepts them runs", async () => {
  const http = await listen(createRouter(), "127.0.0.1:0");
  const server = makeServer("1", { address: http.address });
  const crashCheck = createCrashCheck(createDial(openSocket));
  assert.is(await crashCheck.check(server), "runs");
  await http.close();
  assert.is(await crashCheck.check(server), "ended");
});

test("a refusal is no crash where other servers can't be reached either", async () => {
  const check = (reachesOthers: boolean) =>
    createCrashCheck(
      () => Promise.resolve("refused"),
      () => Promise.resolve(reachesOthers),
    ).check(makeServer("1"));
  assert.is(await check(true), "ended");
  assert.is(await check(false), "own_link");
});

test("a silent server is unclear, and concurrent checks of a server share one dial", async () => {
  let dials = 0;
  const answers: ((result: DialResult) => void)[] = [];
  const crashCheck = createCrashCheck(() => {
    dials++;
    return new Promise((resolve) => void answers.push(resolve));
  });
  const checks = ["1", "1", "2"].map((id) => crashCheck.check(makeServer(id)));
  assert.is(dials, 2);
  answers.forEach((answer) => answer("silent"));
  assert.equal(await Promise.all(checks), ["unclear", "unclear", "unclear"]);
  void crashCheck.check(makeServer("1"));
  assert.is(dials, 3);
});

test.run();
