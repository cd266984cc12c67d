#!/usr/bin/env bash
# Benchmark of apricotd with stand-ins on loopback. Usage: tools/bench.sh [HOSTS], 9 by default.
# Measures calls to the platform at rest and per cold start; latency directly to an engine, through
# one host and through two; processor time of short requests through one host; processor time and
# memory of an idle host. Prints the figures and doesn't compare them with limits.
set -euo pipefail
cd "$(dirname "$0")/.."
hosts=${1:-9}
work=$(mktemp -d)
pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap cleanup EXIT
# start PROGRAM ARGUMENT...: runs a program in the background; its log is named by its place in pids.
start() { "$@" >"$work/${#pids[@]}.log" 2>&1 & pids+=($!); }
# until_ok COMMAND...: repeats the command until it succeeds.
until_ok() { for _ in $(seq 1 300); do "$@" >/dev/null 2>&1 && return 0; sleep 0.05; done; echo "did not succeed within 300 attempts: $*"; exit 1; }
platform=127.0.0.1:18001
start build/standin-platform --listen $platform --answer-ms 5
start build/standin-engine --listen 127.0.0.1:18101 --name engine-1 --accelerators-mb 80000 --load-ms 1000 --token-ms 0
start build/standin-service --listen 127.0.0.1:18201 --work-ms 0
cat >"$work/d.yaml" <<EOF
deployment: bench
servers:
  - {name: engine-1, address: "127.0.0.1:18101", data-centre: a, cell: c, accelerators-mb: [80000]}
  - {name: service-1, address: "127.0.0.1:18201", data-centre: a, service: lookups}
EOF
printf 'service: lookups\nkind: plain\nwork: [{name: lookup, idempotent: true}]\n' >"$work/l.yaml"
printf 'service: bench\nwork: [{name: draft, idempotent: true}]\nmodels:\n' >"$work/s.yaml"
for i in $(seq 0 9); do echo "  - {name: m$i, memory-mb: 7000, load-ms: 1000}" >>"$work/s.yaml"; done
for i in $(seq 1 "$hosts"); do
  cat >"$work/h$i.yaml" <<EOF
host: host-$i
data-centre: a$((i % 4))
caller-address: 127.0.0.1:$((18300 + i))
peer-address: 127.0.0.1:$((18400 + i))
admin-address: 127.0.0.1:$((18500 + i))
platform: [$platform]
seeds: [127.0.0.1:18401, 127.0.0.1:18402]
EOF
  start build/apricotd --settings "$work/h$i.yaml"
done
until_ok curl -m 1 -sf http://$platform/standin/counts
build/apricotctl publish "$work"/[dls].yaml --platform $platform >/dev/null
for i in $(seq 1 "$hosts"); do until_ok curl -m 1 -sf http://127.0.0.1:$((18500 + i))/ready; done
# load_model MODEL: a request that loads the model first if necessary.
load_model() { curl -m 20 -sf -X POST "http://127.0.0.1:18301/v1/services/bench/draft?model=$1" -d '{"max_tokens":1}' -o /dev/null; }
until_ok load_model m0
# Calls to the platform since its start, of all kinds.
platform_calls() { curl -sf http://$platform/standin/counts | grep -o '"\(reads\|writes\|watches\)":[0-9]*' | cut -d: -f2 | paste -sd+ | bc; }
sleep 3
before=$(platform_calls); sleep 20; after=$(platform_calls)
echo "platform calls per second, $hosts hosts idle: $(echo "scale=2; ($after - $before) / 20" | bc)"
# Calls to the platform for the record of the cell.
cell_calls() { curl -sf http://$platform/standin/counts | grep -o '"cells/c":[0-9]*' | cut -d: -f2; }
before=$(cell_calls)
for i in 1 2 3 4 5 6 7 8; do load_model m$i; done
sleep 2
echo "platform calls per cold start (8 one after another): $(echo "scale=2; ($(cell_calls) - $before) / 8" | bc)"
grep -h 'event=decide_load\|event=forward\|event=order_end' "$work"/*.log >/dev/null || true
# The home of m0, and another host, which forwards requests for m0 to the home.
home=$(curl -sf "http://127.0.0.1:18301/v1/address?service=bench&model=m0" | sed -n 's/.*"addresses":\[{"host":"[^"]*","address":"\([^"]*\)".*/\1/p')
other=127.0.0.1:18301
[ "$home" = "$other" ] && other=127.0.0.1:18302
body='{"max_tokens":1}'
for round in 1 2; do
  echo "direct    $(build/apricot-load --to 127.0.0.1:18101 --target /generate --model m0 --body "$body" --rate 1000 --seconds 8 --id d$round)"
  echo "one host  $(build/apricot-load --to "$home" --target "/v1/services/bench/draft?model=m0" --body "$body" --rate 1000 --seconds 8 --id o$round)"
  echo "two hosts $(build/apricot-load --to "$other" --target "/v1/services/bench/draft?model=m0" --body "$body" --rate 1000 --seconds 8 --id t$round)"
done
# cpu PID: processor time of the process, in clock ticks (100 per second).
cpu() { awk '{print $14 + $15}' "/proc/$1/stat"; }
pid=${pids[3]} # host-1; pids 0 to 2 are the stand-ins
for rate in 2000 5000; do
  before=$(cpu "$pid")
  line=$(build/apricot-load --to 127.0.0.1:18301 --target /v1/services/lookups/lookup --rate $rate --seconds 5 --id s$rate || true)
  echo "short requests, one host, rate $rate: $line core_seconds=$(echo "scale=2; ($(cpu "$pid") - $before) / 100" | bc)"
done
idle=${pids[$((hosts + 2))]} # the last host
before=$(cpu "$idle"); sleep 10; after=$(cpu "$idle")
echo "idle host: core percent $(echo "scale=2; ($after - $before) / 10" | bc), resident kB $(awk '/VmRSS/ {print $2}' "/proc/$idle/status")"
