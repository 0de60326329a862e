#!/bin/sh
# Runs all unit tests and prints "N passed, N failed" at the end. Only failures of
# tests that KNOWN-RED.txt names in quotes are tolerated. A test named there that
# passes is an error, so that its entry gets removed.
set -u
cd "$(dirname "$0")/.." || exit 1
out=$(mktemp) || exit 1
npx tsx node_modules/uvu/bin.js . '^(src|platform)/.*_test\.ts$' "$@" >"$out" 2>&1
code=$?
cat "$out"
plain=$(sed 's/\x1b\[[0-9;]*m//g' "$out")
rm -f "$out"
total=$(echo "$plain" | sed -n 's/.*Total: *\([0-9]*\).*/\1/p' | tail -n 1)
passed=$(echo "$plain" | sed -n 's/.*Passed: *\([0-9]*\).*/\1/p' | tail -n 1)
if [ -z "$total" ] || [ "$total" -eq 0 ]; then
  echo "No test was run" >&2
  exit 1
fi
failed=$(echo "$plain" | sed -n 's/^ *FAIL .*"\(.*\)"$/\1/p' | sort -u)
known=$(sed -n 's/^"\([^"]*\)".*/\1/p' KNOWN-RED.txt 2>/dev/null | sort -u)
contains_line() {
  echo "$2" | grep -qxF -- "$1"
}
exit_code=0
[ $code -eq 0 ] || [ -n "$failed" ] || exit_code=$code
while read -r name; do
  [ -z "$name" ] && continue
  contains_line "$name" "$known" && echo "known red: $name" && continue
  exit_code=1
done <<LIST
$failed
LIST
while read -r name; do
  [ -z "$name" ] && continue
  contains_line "$name" "$failed" && continue
  echo "passes, though KNOWN-RED.txt names it: $name" >&2
  exit_code=1
done <<LIST
$known
LIST
echo "$passed passed, $((total - passed)) failed"
exit $exit_code
