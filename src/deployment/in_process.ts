/**
 * Runs a whole deployment in one process, for tests and benchmarks.
 *
 * @module
 */
import { createDocumentStore, type DocumentStore } from "../config/store.ts";
import { FLEET_KEY, getServiceKey } from "../config/rows.ts";
import { startEntry } from "../entry/entry.ts";
import type { Clock } from "../runtime/clock.ts";
import type { Daemon } from "../runtime/process.ts";
import { daemonSettingsSchema } from "../runtime/settings.ts";
import {
  type StandinBackends,
  startStandinBackends,
} from "../standin/backends.ts";
import {
  type StandinNetwork,
  startStandinNetwork,
} from "../standin/network.ts";
import {
  type StandinPlatform,
  startStandinPlatform,
} from "../standin/platform.ts";
import { standinSettingsSchema } from "../standin/settings.ts";
import { startSteer } from "../steer/steer.ts";
import { generateDeployment } from "./generate.ts";
import type { Deployment, DeploymentFiles } from "./types.ts";

/** A deployment running in this process. */
export interface RunningDeployment {
  files: DeploymentFiles;
  platform: StandinPlatform;
  network: StandinNetwork;
  /** Backend servers by process name, such as `backends-oslo-1`. */
  backends: Map<string, StandinBackends>;
  /** Steers and entries by process name, such as `entry-oslo-1-a`. */
  daemons: Map<string, Daemon>;
  store: DocumentStore;
  /** Starts a daemon again, as a new process would start. */
  restart(name: string): Promise<void>;
  /** Kills all daemons and stops the stand-ins. */
  stop(): Promise<void>;
}

/**
 * Starts the stand-ins, writes the documents to the table, and starts all
 * daemons.
 *
 * @param deployment Description of the deployment.
 * @param clock The clock.
 * @param base Second octet of all addresses.
 * @returns The running deployment.
 * @throws Where an address can't be listened on.
 */
export async function startDeployment(
  deployment: Deployment,
  clock: Clock,
  base: number,
): Promise<RunningDeployment> {
  const files = generateDeployment(deployment, {
    base,
    durationS: 1,
    seed: 1,
  });
  const getSettings = (name: string) =>
    files.processes.find((process) => process.name === name)!.settings;
  const platform = await startPlatform(getSettings("platform"), clock);
  const network = await startNetwork(getSettings("network"), clock);
  const backends = new Map<string, StandinBackends>();
  for (const { name, settings } of files.processes) {
    if (!name.startsWith("backends-")) continue;
    backends.set(name, await startBackends(settings, clock));
  }
  const store = createDocumentStore(platform.table, clock);
  for (const { name, document } of files.documents) {
    const key = name === "fleet" ? FLEET_KEY : getServiceKey(name);
    const text = JSON.stringify(document, null, 2);
    const put = await store.put({
      key,
      text,
      author: "test",
      baseRowVersion: 0,
    });
    put._unsafeUnwrap();
  }
  const daemons = new Map<string, Daemon>();

  async function restart(name: string): Promise<void> {
    const found = files.processes.find((process) => process.name === name)!;
    const settings = daemonSettingsSchema.parse(found.settings);
    const start = found.binary === "steer" ? startSteer : startEntry;
    daemons.set(name, await start(settings, clock));
  }

  const names = files.processes
    .filter(({ binary }) => binary !== "standin")
    .map(({ name }) => name);
  await Promise.all(names.map(restart));
  return {
    files,
    platform,
    network,
    backends,
    daemons,
    store,
    restart,
    async stop() {
      await Promise.all([...daemons.values()].map((daemon) => daemon.kill()));
      await Promise.all([...backends.values()].map((server) => server.stop()));
      await network.stop();
      await platform.stop();
    },
  };
}

function startPlatform(settings: unknown, clock: Clock) {
  const parsed = standinSettingsSchema.parse(settings);
  if (parsed.kind !== "platform") throw new Error("Kind is not platform");
  return startStandinPlatform(parsed.address, clock);
}

function startNetwork(settings: unknown, clock: Clock) {
  const parsed = standinSettingsSchema.parse(settings);
  if (parsed.kind !== "network") throw new Error("Kind is not network");
  return startStandinNetwork(parsed, clock);
}

function startBackends(settings: unknown, clock: Clock) {
  const parsed = standinSettingsSchema.parse(settings);
  if (parsed.kind !== "backends") throw new Error("Kind is not backends");
  return startStandinBackends(parsed, clock);
}
