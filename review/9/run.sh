#!/usr/bin/env bash
# Runs this case once, see claim.txt. Exit code: 1 the rule was broken, 0 it was kept, 2 not run.
# TROUBLE=0: without the disruption. KEEP_LOGS=1 keeps the logs of the machines.
# Needs the build of the deploy file and review/build-2.sh.
set -u
CASE=$(cd "$(dirname "$0")" && pwd)
export CASE
cd "$CASE/../.." || exit 2
WORK=$(mktemp -d)
export WORK
program=build-review-2/case-$(basename "$CASE")
[ -x target/apricotgw ] && [ -x "$program" ] || { echo "not built"; exit 2; }
timeout -k 5 110 "$program"
code=$?
[ "$code" -le 2 ] || code=2 # the program was ended
if [ -f "$WORK/processes" ]; then # it has ended what it started, unless it was ended itself
  while read -r process; do
    grep -qs "$WORK" "/proc/$process/cmdline" && kill -KILL "$process"
  done < "$WORK/processes"
fi
if [ "${KEEP_LOGS:-0}" = 1 ]; then echo "logs: $WORK"; else rm -rf "$WORK"; fi
exit "$code"
