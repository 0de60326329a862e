import * as assert from "uvu/assert";
import { suite } from "uvu";
import { createSystemClock } from "../runtime/clock.ts";
import { MemoryTable } from "../standin/memory_table.ts";
import {
  type PlatformFaults,
  type StandinPlatform,
  startStandinPlatform,
} from "../standin/platform.ts";
import { createPlatformClient, type PlatformClient } from "./http_client.ts";
import { EPOCH_STRIDE, type TableService } from "./types.ts";

const clock = createSystemClock();

interface Context {
  standin: StandinPlatform;
  client: PlatformClient;
}

const test = suite<Context>("platform");

test.before.each(async (context) => {
  context.standin = await startStandinPlatform("127.0.0.1:0", clock);
  const url = `http://${context.standin.address}`;
  context.client = createPlatformClient(url);
});

test.after.each(async ({ standin, client }) => {
  await client.close();
  await standin.stop();
});

type GetTable = (context: Context) => TableService;
const tables: [string, GetTable][] = [
  ["in memory", () => new MemoryTable()],
  ["over HTTP", ({ client }) => client.table],
];

for (const [name, getTable] of tables) {
  test(`table ${name}: a transaction is atomic`, async (context) => {
    const table = getTable(context);
    const first = await table.transact({
      writeId: "w1",
      conditions: [{ key: "a", version: 0 }],
      puts: [{ key: "a", value: "1" }, { key: "b", value: "1" }],
    });
    assert.equal(first._unsafeUnwrap(), { outcome: "committed", version: 1 });
    const second = await table.transact({
      writeId: "w2",
      conditions: [{ key: "a", version: 1 }, { key: "b", version: 0 }],
      puts: [{ key: "a", value: "2" }],
    });
    assert.equal(second._unsafeUnwrap(), {
      outcome: "conflict",
      current: [{ key: "b", version: 1, writeId: "w1", value: "1" }],
    });
    const row = (await table.read("a"))._unsafeUnwrap();
    assert.equal(row, { key: "a", version: 1, writeId: "w1", value: "1" });
  });

  test(`table ${name}: changes are complete up to their version`, async (context) => {
    const table = getTable(context);
    for (const key of ["config/a", "other/b", "config/c", "config/a"]) {
      await table.transact({
        writeId: "w",
        conditions: [],
        puts: [{ key, value: key }],
      });
    }
    const changes = (await table.changes(1, ["config/"]))._unsafeUnwrap();
    assert.is(changes.throughVersion, 4);
    const found = changes.rows.map(({ key, version }) => `${key} ${version}`);
    assert.equal(found.sort(), ["config/a 4", "config/c 3"]);
    const listed = (await table.list("config/"))._unsafeUnwrap();
    assert.equal(listed.map(({ key }) => key), ["config/a", "config/c"]);
  });

  test(`table ${name}: a missing row has version 0`, async (context) => {
    const row = (await getTable(context).read("none"))._unsafeUnwrap();
    assert.is(row.version, 0);
  });
}

const faults: [string, Partial<PlatformFaults>, string, number][] = [
  ["down", { down: true }, "refused", 0],
  ["slower than the limit", { delayMs: 1_300 }, "unknown", 0],
  ["losing the answer", { loseWriteAnswers: 1 }, "unknown", 1],
];

for (const [name, fault, kind, version] of faults) {
  test(`a write to a platform ${name} fails as ${kind}`, async ({ standin, client }) => {
    Object.assign(standin.faults, fault);
    const commit = await client.table.transact({
      writeId: "w",
      conditions: [],
      puts: [{ key: "a", value: "1" }],
    });
    const error = commit._unsafeUnwrapErr();
    assert.is(error.kind, kind);
    assert.is(error.step, "table.transact");
    assert.match(error.peer, standin.address);
    await new Promise<void>((resolve) => clock.after(500, resolve));
    const row = (await standin.table.read("a"))._unsafeUnwrap();
    assert.is(row.version, version);
  });
}

test("a write to a stopped platform fails as not sent", async ({ standin, client }) => {
  await standin.stop();
  const put = await client.objects.put("x", "y");
  assert.is(put._unsafeUnwrapErr().kind, "not_sent");
});

test("objects are stored by name", async ({ client }) => {
  assert.is((await client.objects.get("a/b"))._unsafeUnwrap(), undefined);
  await client.objects.put("a/b", "text");
  assert.is((await client.objects.get("a/b"))._unsafeUnwrap(), "text");
});

test("the list of VMs lags behind", async ({ standin, client }) => {
  standin.faults.vmListLagMs = 60_000;
  standin.setVmState("vm-1", "leaving");
  assert.equal((await client.vms.list())._unsafeUnwrap(), []);
  standin.faults.vmListLagMs = 0;
  const list = (await client.vms.list())._unsafeUnwrap();
  assert.equal(list, [{ id: "vm-1", state: "leaving" }]);
});

test("table in memory: after a restore no version is reused", async () => {
  const table = new MemoryTable();
  const put = (key: string, version: number) =>
    table.transact({
      writeId: "w",
      conditions: [{ key, version }],
      puts: [{ key, value: key }],
    });
  await put("config/a", 0);
  const snapshot = table.takeSnapshot();
  await put("config/a", 1);
  const known = (await table.changes(0, ["config/"]))._unsafeUnwrap();
  table.restore(snapshot);
  const changes = (await table.changes(known.throughVersion, ["config/"]))
    ._unsafeUnwrap();
  assert.equal(changes.rows.map(({ version }) => version), [EPOCH_STRIDE + 1]);
  const late = (await put("config/a", 2))._unsafeUnwrap();
  assert.is(late.outcome, "conflict");
  await put("config/a", EPOCH_STRIDE + 1);
  const next = (await table.changes(changes.throughVersion, ["config/"]))
    ._unsafeUnwrap();
  assert.equal(next.rows.map(({ version }) => version), [EPOCH_STRIDE + 2]);
});

test.run();
