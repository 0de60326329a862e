#!/usr/bin/env node
/**
 * `hawthorngw`: the command line for operators.
 *
 * @module
 */
import process from "node:process";
import { runCommand } from "../operator/cli.ts";
import { createSystemClock } from "../runtime/clock.ts";

process.exitCode = await runCommand(
  process.argv.slice(2),
  createSystemClock(),
  {
    out: (text) => void process.stdout.write(text),
    error: (text) => void process.stderr.write(text),
  },
);
