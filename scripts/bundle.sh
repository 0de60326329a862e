#!/bin/sh
# Builds the gateway for the users' platform: its bundle in one file, so that a
# process that starts reads one file instead of some hundred, the code that V8
# compiled of it, and what launches both. Names are kept for stack traces.
set -eu
cd "$(dirname "$0")/.."
bundle() {
  npx esbuild "platform/$1.ts" --bundle --platform=node --target=node20 \
    --format=cjs --minify-whitespace --minify-syntax --log-level=warning \
    --outfile="target/$2.cjs"
}
bundle gateway gateway_bundle
bundle launch gateway
# V8 takes compiled code over only where it runs with the same options.
options=$(sed -n 's/^run = "node \(.*\) target.*/\1/p' deploy/system.toml)
# shellcheck disable=SC2086 # several options
node $options target/gateway.cjs --write-code-cache
