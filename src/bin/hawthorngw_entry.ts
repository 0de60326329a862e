#!/usr/bin/env node
/**
 * `hawthorngw-entry`: starts the entry daemon of `entry/entry.ts`.
 *
 * @module
 */
import { createSystemClock } from "../runtime/clock.ts";
import { runDaemon } from "../runtime/process.ts";
import { daemonSettingsSchema, loadSettings } from "../runtime/settings.ts";
import { startEntry } from "../entry/entry.ts";

await runDaemon(
  "hawthorngw-entry",
  (file) =>
    startEntry(loadSettings(file, daemonSettingsSchema), createSystemClock()),
);
