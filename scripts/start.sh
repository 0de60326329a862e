#!/bin/sh
# Runs a deployment on loopback: stand-ins, a steer and an entry for each entry
# VM, then the load. Stops all processes by their ids, also on Ctrl-C.
#
#   npm start -- --deployment nordvern|asca --duration-s N --rate N --report FILE
set -u
cd "$(dirname "$0")/.." || exit 1
bin=${HAWTHORNGW_BIN:-dist/bin}
dir=$(mktemp -d "${TMPDIR:-/tmp}/hawthorngw.XXXXXX") || exit 1
pids=
kill_pids=
load=

stop_all() {
  trap '' INT TERM
  [ -n "$load" ] && kill -TERM "$load" 2>/dev/null
  # In reverse order of their start: daemons before the stand-ins they connect to.
  for pid in $pids; do
    kill -TERM "$pid" 2>/dev/null
  done
  for pid in $pids; do
    wait "$pid" 2>/dev/null
  done
  rm -rf "$dir"
}
trap 'stop_all; exit 130' INT TERM

node $bin/hawthorngw_load.js prepare --dir "$dir" "$@" || {
  code=$?
  rm -rf "$dir"
  exit $code
}
HAWTHORNGW_PLATFORM=$(cat "$dir/platform.txt")
export HAWTHORNGW_PLATFORM

start_group() {
  while read -r name binary settings; do
    case $binary in
      "$1") ;;
      *) continue ;;
    esac
    node $bin/hawthorngw_"$binary".js --settings "$settings" </dev/null &
    pids="$! $pids"
    # HAWTHORNGW_KILL=REGION: kills the processes of a region halfway through the run.
    case $name in
      *"-${HAWTHORNGW_KILL:-none}"-*) kill_pids="$! $kill_pids" ;;
    esac
  done <"$dir/processes.txt"
}

start_group standin
tries=0
until node $bin/hawthorngw.js put "$dir"/documents/fleet.jsonc >/dev/null 2>&1; do
  tries=$((tries + 1))
  [ $tries -gt 30 ] && { echo "The platform stand-in did not start" >&2; stop_all; exit 1; }
  sleep 0.3
done
for document in "$dir"/documents/*.jsonc; do
  case $document in */fleet.jsonc) continue ;; esac
  node $bin/hawthorngw.js put "$document" >&2 || { stop_all; exit 1; }
done
start_group steer
start_group entry
last_entry_pid=${pids%% *}

# HAWTHORNGW_LOAD=control|path measures the daemons' overhead instead of running load.
mode=${HAWTHORNGW_LOAD:-run}
node $bin/hawthorngw_load.js "$mode" --settings "$dir/load.jsonc" &
load=$!
# Halfway through the run, stops the last entry or kills a region.
stop_after=$(sed -n 's/.*"durationS": *\([0-9]*\).*/\1/p' "$dir/load.jsonc")
(
  [ "$mode" = run ] || exit 0
  # Timed from the first request: otherwise, when starting took longer than half of
  # the run, the last entry was stopped before it was up, and the start never
  # completed.
  until [ -e "$dir/loading" ]; do sleep 0.2; done
  sleep $((stop_after / 2))
  if [ -n "$kill_pids" ]; then
    # shellcheck disable=SC2086
    kill -KILL $kill_pids 2>/dev/null
  else
    kill -TERM "$last_entry_pid" 2>/dev/null
  fi
) &
stopper=$!
wait $load
code=$?
load=
kill $stopper 2>/dev/null
stop_all
exit $code
