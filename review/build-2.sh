#!/bin/sh
# Builds the stand-ins of the cases 4 to 8. They are plain modules in
# review/lib-2 and in the cases' folders, so only their syntax is checked.
set -eu
cd "$(dirname "$0")/.."
for file in review/lib-2/*.mjs review/[4-8]/*.mjs; do
  [ ! -f "$file" ] || node --check "$file"
done
