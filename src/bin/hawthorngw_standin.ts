#!/usr/bin/env node
/**
 * `hawthorngw-standin`: simulates the platform, backend servers or the links
 * between regions, for development only.
 *
 * @module
 */
import { type Clock, createSystemClock } from "../runtime/clock.ts";
import { runDaemon, type Stoppable } from "../runtime/process.ts";
import { loadSettings } from "../runtime/settings.ts";
import { startStandinBackends } from "../standin/backends.ts";
import { startStandinNetwork } from "../standin/network.ts";
import { startStandinPlatform } from "../standin/platform.ts";
import {
  type StandinSettings,
  standinSettingsSchema,
} from "../standin/settings.ts";

function start(settings: StandinSettings, clock: Clock): Promise<Stoppable> {
  switch (settings.kind) {
    case "platform":
      return startStandinPlatform(settings.address, clock);
    case "backends":
      return startStandinBackends(settings, clock);
    case "network":
      return startStandinNetwork(settings, clock);
  }
}

await runDaemon(
  "hawthorngw-standin",
  (file) =>
    start(loadSettings(file, standinSettingsSchema), createSystemClock()),
);
