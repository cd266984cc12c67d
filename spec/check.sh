#!/usr/bin/env bash
# Runs the model checker Spin on cell.pml and lease.pml. The property must hold for the protocols as
# built, cell.pml for engines with and without fencing. Each broken variant must be refuted, except
# seen-loaded-resolves; cell.pml says why.
# Prints the bounds of the search and the number of states explored.
set -euo pipefail
cd "$(dirname "$0")"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
failed=0

check() { # check NAME WANTED(holds|refuted) FLAG...
  local name=$1 wanted=$2 seen states
  shift 2
  local folder="$work/$name"
  mkdir -p "$folder"
  cp ./*.pml "$folder/"
  (cd "$folder" && spin -a "$@" "$model.pml" >spin.log 2>&1 && cc -O2 -DSAFETY -DVECTORSZ=2048 \
    -DMEMLIM=6000 -o pan pan.c 2>cc.log && ./pan -m2000000 -w26 >pan.log 2>&1) || true
  seen=none
  grep -q 'errors: 0' "$folder/pan.log" && seen=holds
  grep -Eq 'errors: [1-9]' "$folder/pan.log" && seen=refuted
  if grep -Eq 'max search depth too small|out of memory|aborting|reached -DMEMLIM|hash-table full' "$folder/pan.log" && [ $seen = holds ]; then
    seen=truncated
  fi
  states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' "$folder/pan.log" | head -n 1)
  echo "$model $name: $seen (wanted $wanted), $states states"
  if [ "$seen" != "$wanted" ]; then
    failed=1
    tail -n 5 "$folder"/*.log
  fi
}

model=cell
echo "bounds: 2 hosts, 2 processes each, 3 takeovers, 3 orders, 2 models of which one fits"
check non-fencing-engine holds
check fencing-engine holds -DFENCING
check drop-at-takeover refuted -DDROP_AT_TAKEOVER
check ownership-checked-once refuted -DCHECK_OWNERSHIP_ONCE
check release-on-send refuted -DRELEASE_ON_SEND
check gone-without-drain refuted -DGONE_WITHOUT_DRAIN
check seen-loaded-resolves holds -DSEEN_LOADED_RESOLVES

model=lease
echo "bounds: 2 hosts, lease 1 tick, handover delay 2 ticks, 3 writes applied, at most one outstanding write and one extension request per host, no restarts"
check as-built holds
check no-handover-delay refuted -DNO_HANDOVER_DELAY
check count-from-ack refuted -DCOUNT_FROM_ACK
check ignore-grant refuted -DIGNORE_GRANT
check grant-while-unconfirmed refuted -DGRANT_WHILE_UNCONFIRMED
check conclude-token refuted -DCONCLUDE_TOKEN
[ $failed = 0 ]
