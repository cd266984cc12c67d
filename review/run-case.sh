#!/usr/bin/env bash
# Runs one case: run-case.sh NUMBER. Exits with 1 if its rule was broken, 0 if it held, 2 if the
# case couldn't run. All processes of the case have ended afterwards.
set -u
review=$(cd "$(dirname "$0")" && pwd)
case_folder="$review/$1"
program="$review/build/case-$1"
if [ ! -x "$program" ] || [ ! -x "$review/../target/apricotgw" ]; then
  echo "not built: run the build of deploy/system.toml and review/build.sh" >&2
  exit 2
fi
folder=$(mktemp -d)
timeout --signal=KILL 118 "$program" "$review/.." "$case_folder" "$folder"
code=$?
# The case program ends its hosts. If it was ended itself, they are found by their settings files.
for pid in $(pgrep -f -- "--settings $folder/" || true); do kill -KILL "$pid"; done
if [ "${KEEP_LOGS:-0}" = 1 ]; then echo "logs: $folder"; else rm -rf "$folder"; fi
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
