import { spawnSync } from "node:child_process";
import process from "node:process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { test } from "uvu";
import * as assert from "uvu/assert";

const SCRIPT = fileURLToPath(
  new URL("../../scripts/start.sh", import.meta.url),
);

/** Test programs in place of the real binaries, by name. */
const PROGRAMS: Record<string, string> = {
  /** Takes 2.5 s to start, longer than the run of 2 s, then runs for 2 s. */
  hawthorngw_load: `
    const fs = require("node:fs");
    const [command, , dir] = process.argv.slice(2);
    if (command === "prepare") {
      fs.mkdirSync(dir + "/documents");
      fs.writeFileSync(dir + "/platform.txt", "none");
      fs.writeFileSync(dir + "/load.jsonc", '"durationS": 2');
      fs.writeFileSync(dir + "/processes.txt", "entry-a entry none\\n");
    } else {
      const file = dir.replace("load.jsonc", "loading");
      setTimeout(() => {
        fs.appendFileSync(__dirname + "/order.txt", "loading\\n");
        fs.writeFileSync(file, "");
      }, 2500);
      setTimeout(() => process.exit(0), 4500);
    }`,
  hawthorngw: "",
  hawthorngw_entry: `
    const fs = require("node:fs");
    process.on("SIGTERM", () => {
      fs.appendFileSync(__dirname + "/order.txt", "stopped\\n");
      process.exit(0);
    });
    setInterval(() => {}, 1000);`,
};

test("the planned stop of an entry waits for the load to start, even after a slow start", () => {
  const dir = mkdtempSync(join(tmpdir(), "hawthorngw-start-"));
  for (const [name, text] of Object.entries(PROGRAMS)) {
    writeFileSync(join(dir, `${name}.js`), text);
  }
  const env = { ...process.env, HAWTHORNGW_BIN: dir };
  const { status } = spawnSync("sh", [SCRIPT], { env });
  const order = readFileSync(join(dir, "order.txt"), "utf8");
  rmSync(dir, { recursive: true });
  assert.is(status, 0);
  assert.is(order, "loading\nstopped\n");
});

test.run();
