#!/usr/bin/env node
/**
 * `hawthorngw-steer`: starts the steer daemon of `steer/steer.ts`.
 *
 * @module
 */
import { createSystemClock } from "../runtime/clock.ts";
import { runDaemon } from "../runtime/process.ts";
import { daemonSettingsSchema, loadSettings } from "../runtime/settings.ts";
import { startSteer } from "../steer/steer.ts";

await runDaemon(
  "hawthorngw-steer",
  (file) =>
    startSteer(loadSettings(file, daemonSettingsSchema), createSystemClock()),
);
