#!/bin/sh
# The stand-ins of the cases are plain JavaScript and need no build; this checks
# that they parse. Run it after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")"
for file in lib/*.mjs */case.mjs; do
  node --check "$file"
done
