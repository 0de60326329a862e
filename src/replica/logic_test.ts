import * as assert from "uvu/assert";
import { test } from "uvu";
import type { Row } from "../platform/types.ts";
import { applyChanges, collectChanges, createReplicaState } from "./logic.ts";

function makeRow(key: string, version: number): Row {
  return { key, version, writeId: `w${version}`, value: `${version}` };
}

test("a late change set never replaces a newer row", () => {
  const state = createReplicaState();
  applyChanges(state, {
    afterVersion: 0,
    throughVersion: 5,
    rows: [makeRow("config/a", 5)],
  });
  const late = applyChanges(state, {
    afterVersion: 0,
    throughVersion: 3,
    rows: [makeRow("config/a", 3)],
  });
  assert.equal(late, { outcome: "applied", changed: [] });
  assert.is(state.rows.get("config/a")?.version, 5);
  assert.is(state.throughVersion, 5);
});

test("a change set that starts after a gap is not applied", () => {
  const state = createReplicaState();
  const applied = applyChanges(state, {
    afterVersion: 4,
    throughVersion: 6,
    rows: [makeRow("config/a", 6)],
  });
  assert.equal(applied, { outcome: "gap", afterVersion: 0 });
  assert.is(state.rows.size, 0);
});

test("a replica catches up from any version that it has", () => {
  const source = createReplicaState();
  const rows = [makeRow("config/a", 1), makeRow("config/b", 4)];
  applyChanges(source, { afterVersion: 0, throughVersion: 7, rows });
  const missing = collectChanges(source, 2);
  assert.equal(missing.rows.map(({ key }) => key), ["config/b"]);
  assert.is(missing.throughVersion, 7);
});

test.run();
