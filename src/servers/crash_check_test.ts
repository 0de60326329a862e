import * as assert from "uvu/assert";
import { test } from "uvu";
import { makeServer } from "../gateway/fixture.ts";
import { dial, type DialResult } from "../runtime/dial.ts";
import { createRouter, listen } from "../runtime/http_server.ts";
import { createCrashCheck } from "./crash_check.ts";

test("a server that refuses connections ended, one that takes them runs", async () => {
  const http = await listen(createRouter(), "127.0.0.1:0");
  const server = makeServer("1", { address: http.address });
  const endCheck = createCrashCheck(dial);
  assert.is(await endCheck.check(server), "runs");
  await http.close();
  assert.is(await endCheck.check(server), "ended");
});

test("silence tells nothing, and all that was cut asks once", async () => {
  let dials = 0;
  const answers: ((result: DialResult) => void)[] = [];
  const endCheck = createCrashCheck(() => {
    dials++;
    return new Promise((resolve) => void answers.push(resolve));
  });
  const checks = ["1", "1", "2"].map((id) => endCheck.check(makeServer(id)));
  assert.is(dials, 2);
  answers.forEach((answer) => answer("silent"));
  assert.equal(await Promise.all(checks), ["unclear", "unclear", "unclear"]);
  void endCheck.check(makeServer("1"));
  assert.is(dials, 3);
});

test.run();
