/**
 * Tests of daemon processes: how they end by signals.
 */
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import process from "node:process";
import * as assert from "uvu/assert";
import { suite } from "uvu";
import { waitUntil } from "../deployment/fixture.ts";

const PROCESS_MODULE = new URL("./process.ts", import.meta.url).href;

const test = suite<{ daemon?: ChildProcess }>("process");

test.after.each(({ daemon }) => void daemon?.kill("SIGKILL"));

/** Runs a daemon; resolves when it has written `ready` to its standard output. */
async function startDaemon(start: string): Promise<ChildProcess> {
  const script = `
    import { setTimeout as sleep } from "node:timers/promises";
    import { runDaemon } from ${JSON.stringify(PROCESS_MODULE)};
    setInterval(() => {}, 1_000);
    await runDaemon("test", async () => { ${start} });
  `;
  const daemon = spawn(process.execPath, [
    "--import",
    "tsx",
    "--input-type=module",
    "--eval",
    script,
    "--",
    "--settings",
    "none",
  ], { stdio: ["ignore", "pipe", "ignore"] });
  await once(daemon.stdout!, "data");
  return daemon;
}

/** @returns The exit code, or the signal that ended the process. */
async function waitForExit(daemon: ChildProcess) {
  const getEnd = () => daemon.exitCode ?? daemon.signalCode;
  await waitUntil(() => getEnd() !== null);
  return getEnd();
}

async function readOutput(daemon: ChildProcess): Promise<string> {
  let output = "";
  for await (const chunk of daemon.stdout!) output += chunk;
  return output;
}

test("a stop that fails ends the process", async (context) => {
  context.daemon = await startDaemon(`
    setTimeout(() => console.log("ready"), 100);
    return { stop: () => Promise.reject(new Error("stop failed")) };
  `);
  context.daemon.kill("SIGTERM");
  assert.is(await waitForExit(context.daemon), 1);
});

test("SIGTERM during the start stops the daemon gracefully", async (context) => {
  context.daemon = await startDaemon(`
    console.log("ready");
    await sleep(300);
    return { stop: async () => console.log("stopped") };
  `);
  const output = readOutput(context.daemon);
  context.daemon.kill("SIGTERM");
  assert.is(await waitForExit(context.daemon), 0);
  assert.match(await output, "stopped");
});

test("SIGTERM ends a process whose start doesn't end", async (context) => {
  context.daemon = await startDaemon(`
    console.log("ready");
    await new Promise(() => {});
  `);
  context.daemon.kill("SIGTERM");
  await waitForExit(context.daemon);
});

test.run();
