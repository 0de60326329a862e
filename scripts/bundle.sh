#!/bin/sh
# Builds the gateway for the users' platform into one file: a process that
# starts reads one file instead of some hundred.
set -eu
cd "$(dirname "$0")/.."
npx esbuild platform/gateway.ts --bundle --platform=node --target=node20 \
  --format=esm --log-level=warning \
  --banner:js="import { createRequire as makeRequire } from 'node:module'; const require = makeRequire(import.meta.url);" \
  --outfile=target/gateway.mjs
