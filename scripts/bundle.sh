#!/bin/sh
# Builds the gateway for the users' platform: a single-file bundle, so that a
# starting process reads one file instead of several hundred, the V8 code cache
# of the bundle, and the launcher. Identifiers aren't minified, to keep stack
# traces readable. platform/bundle/ takes the place of packages and of modules of
# Node of which the gateway uses little.
#
#   sh scripts/bundle.sh [DIRECTORY]    (default: target)
set -eu
cd "$(dirname "$0")/.."
target=${1:-target}
bundle() {
  npx esbuild "platform/$1.ts" --bundle --platform=node --target=node20 \
    --format=cjs --minify-whitespace --minify-syntax --log-level=warning \
    --tsconfig=tsconfig.bundle.json --alias:https=./platform/bundle/https.ts \
    --alias:assert=./platform/bundle/assert.cts \
    --alias:node:assert=./platform/bundle/assert.cts \
    --alias:tls=./platform/bundle/tls.ts \
    --alias:child_process=./platform/bundle/child_process.ts \
    --alias:node:http2=./platform/bundle/http2.ts \
    --alias:zlib=./platform/bundle/zlib.ts \
    --alias:worker_threads=./platform/bundle/worker_threads.ts \
    --alias:node:worker_threads=./platform/bundle/worker_threads.ts \
    --alias:supports-color=./platform/bundle/empty.ts \
    --alias:msgpackr-extract=./platform/bundle/empty.ts \
    --alias:node:net=./platform/bundle/net.ts --outfile="$target/$2.cjs"
}
bundle gateway gateway_bundle
bundle launch gateway
# V8 rejects a code cache that was written with other options.
options=$(sed -n 's/^run = "node \(.*\) target.*/\1/p' deploy/system.toml)
# shellcheck disable=SC2086 # several options
node $options "$target/gateway.cjs" --write-code-cache
