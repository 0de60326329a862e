import * as assert from "uvu/assert";
import { test } from "uvu";
import { makeConfiguration, makeRoute } from "../gateway/fixture.ts";
import { createSplitter } from "./split.ts";
import { createRouteTable } from "./table.ts";

const table = createRouteTable(makeConfiguration([
  makeRoute({ name: "short", host: "a.example", prefix: "/x/" }),
  makeRoute({ name: "long", host: "a.example", prefix: "/x/y/" }),
  makeRoute({ name: "other", host: "b.example", prefix: "/" }),
]));

const cases: [string, string, string | undefined][] = [
  ["a.example", "/x/1", "short"],
  ["a.example", "/x/y/1", "long"],
  ["a.example", "/x/y/", "long"],
  ["a.example", "/x/y", "short"],
  ["A.Example:8080", "/x/y/z/1?to=/x/", "long"],
  ["a.example", "/", undefined],
  ["a.example", "/xy/1", undefined],
  ["b.example", "/x/y/1", "other"],
  ["c.example", "/x/1", undefined],
];

for (const [host, path, expected] of cases) {
  test(`${host}${path} goes to ${expected ?? "no route"}`, () => {
    assert.is(table.match(host, path)?.name, expected);
  });
}

test("each service of a split route is within one request of its weight", () => {
  const splitter = createSplitter();
  const route = makeRoute({
    shares: [{ service: "s", weight: 90 }, { service: "t", weight: 10 }],
  });
  const counts = new Map<string, number>();
  for (let sent = 1; sent <= 1_000; sent++) {
    const service = splitter.pickService(route);
    counts.set(service, (counts.get(service) ?? 0) + 1);
    const expected = sent / 10;
    assert.ok(Math.abs((counts.get("t") ?? 0) - expected) <= 1);
  }
});

test("a service of weight 0 gets no requests", () => {
  const splitter = createSplitter();
  const route = makeRoute({
    shares: [{ service: "s", weight: 0 }, { service: "t", weight: 5 }],
  });
  for (let sent = 0; sent < 20; sent++) {
    assert.is(splitter.pickService(route), "t");
  }
});

test.run();
