import * as assert from "uvu/assert";
import { test } from "uvu";
import type { ClientAccount } from "../accounts/types.ts";
import { createFakeClock } from "../runtime/clock.ts";
import {
  type AccountDemand,
  computeFairShare,
  createAccountShares,
  findExceeding,
} from "./account_shares.ts";
import { makeAccount } from "./fixture.ts";

const BURST = makeAccount("burst", 2);
const USUAL = makeAccount("usual", 2);

function makeDemand(
  requests: number,
  account = "a",
  priority?: number,
): AccountDemand {
  return { account, priority, requests };
}

/** A VM that received some requests of each account, some of which found no slot. */
function startVm(requests: [ClientAccount, number][], full: number) {
  const clock = createFakeClock();
  const shares = createAccountShares(clock);
  for (const [account, count] of requests) {
    for (let index = 0; index < count; index++) {
      shares.recordRequest("s", account);
    }
  }
  for (let index = 0; index < full; index++) {
    shares.recordFull("s", requests[0][0]);
  }
  return { clock, shares };
}

// Guards against shares that refuse more than the service lacks.
test("fair shares are max-min fair and add up to what was served", () => {
  assert.is(computeFairShare([], 0), Infinity);
  assert.is(computeFairShare([10, 1, 2], 13), Infinity);
  assert.is(computeFairShare([10, 1, 2], 9), 6);
  assert.is(computeFairShare([10, 1, 6], 13), 6);
  assert.is(computeFairShare([10, 1, 6], 2.25), 0.75);
});

// Load: one of two accounts sends 7.5 times its load, of which a VM sees 11
// requests in a few seconds. Guards against an account that is served like
// others while it takes their slots.
test("in a shortage, the account that sends many times more exceeds its share", () => {
  const { shares } = startVm([[BURST, 11], [USUAL, 2]], 4);
  assert.is(shares.isExceeded("s", BURST), true);
  assert.is(shares.isExceeded("s", USUAL), false);
  assert.is(shares.isExceeded("t", BURST), false);
  const listed = shares.listExceeded().s.map(({ account }) => account);
  assert.equal(listed, ["burst"]);
});

const { priority: _, ...UNCONFIGURED } = BURST;
const NO_EFFECT: [string, [ClientAccount, number][], number][] = [
  ["without a shortage", [[BURST, 11], [USUAL, 2]], 0],
  ["with a single account", [[BURST, 11]], 4],
  ["for an account without limit and priority", [
    [UNCONFIGURED, 11],
    [USUAL, 2],
  ], 4],
  ["beside accounts without limit and priority", [
    [BURST, 11],
    [{ ...UNCONFIGURED, name: "other" }, 2],
  ], 4],
  ["after a restart", [[BURST, 1], [USUAL, 1]], 1],
  ["by a few requests at once", [[BURST, 7], [USUAL, 1]], 5],
  [
    "for a more urgent account",
    [[{ ...BURST, priority: 1 }, 11], [USUAL, 2]],
    4,
  ],
  ["among accounts that send alike", [[BURST, 12], [USUAL, 12]], 4],
];
for (const [name, requests, full] of NO_EFFECT) {
  // Guards against slots left free where no other account needs them.
  test(`no account exceeds its share ${name}`, () => {
    const { shares } = startVm(requests, full);
    assert.is(shares.isExceeded("s", requests[0][0]), false);
    assert.equal(shares.listExceeded(), {});
  });
}

// Guards against the rule that ignores accounts which have only a rate limit.
test("an account with a rate limit and no priority may exceed its share", () => {
  const limited = { ...UNCONFIGURED, ratePerS: 200 };
  const { shares } = startVm([[limited, 11], [USUAL, 2]], 4);
  assert.is(shares.isExceeded("s", limited), true);
});

// Guards against shares that stay taken by an account that has stopped, and
// against slots left free after a shortage.
test("an account that stops and a shortage that ends count for seconds", () => {
  const { clock, shares } = startVm([[BURST, 11], [USUAL, 2]], 4);
  clock.advance(7_000);
  for (let index = 0; index < 3; index++) shares.recordFull("s", USUAL);
  assert.is(shares.isExceeded("s", BURST), false);
  const { clock: other, shares: calm } = startVm([[BURST, 99], [USUAL, 9]], 4);
  other.advance(11_000);
  assert.is(calm.isExceeded("s", BURST), false);
});

// Guards against a shortage so deep that no share is left.
test("where nothing was served, accounts with few requests stay within", () => {
  const accounts = [makeDemand(9, "a"), makeDemand(2, "b")];
  assert.equal(findExceeding({ accounts, full: 12 }), [accounts[0]]);
});

test.run();
