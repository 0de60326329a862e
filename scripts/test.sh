#!/bin/sh
# Runs all tests beside the code; ends with "N passed, N failed". Failures of
# tests that KNOWN-RED.txt names in quotes are passed over, and no others; a
# test that it names and that passes is to be taken off.
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
isKnown() {
  echo "$2" | grep -qxF -- "$1"
}
verdict=0
[ $code -eq 0 ] || [ -n "$failed" ] || verdict=$code
while read -r name; do
  [ -z "$name" ] && continue
  isKnown "$name" "$known" && echo "known red: $name" && continue
  verdict=1
done <<LIST
$failed
LIST
while read -r name; do
  [ -z "$name" ] && continue
  isKnown "$name" "$failed" && continue
  echo "passes, though KNOWN-RED.txt names it: $name" >&2
  verdict=1
done <<LIST
$known
LIST
echo "$passed passed, $((total - passed)) failed"
exit $verdict
