#!/usr/bin/env bash
# Demo: installs the packages, builds, and serves requests through separate processes on loopback.
# Prints each outcome on a line of its own (ok or WRONG); exits with 0 only if all are ok.
set -euo pipefail
cd "$(dirname "$0")"
tools/install.sh
tools/build.sh

work=$(mktemp -d)
pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap cleanup EXIT

failures=0
expect() { # expect WHAT EXPECTED ACTUAL
  if [ "$2" = "$3" ]; then
    echo "ok    $1: $3"
  else
    echo "WRONG $1: expected '$2', got '$3'"
    failures=$((failures + 1))
  fi
}
start() { # start NAME PROGRAM ARGUMENT...: in the background; its output goes to NAME.log
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids+=($!)
  echo "start $name (process $!)"
}
until_ok() { # until_ok WHAT COMMAND...: repeats the command until it succeeds, for up to 10 s
  local what=$1 i
  shift
  for i in $(seq 1 200); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.05
  done
  echo "WRONG not within 10 s: $what"
  tail -n 5 "$work"/*.log
  exit 1
}
# number NAME: reads JSON and prints the first value of the numeric field of this name.
number() { sed -n "s/.*\"$1\":\([0-9]*\).*/\1/p" | head -n 1; }

platform=127.0.0.1:17001
start platform build/standin-platform --listen $platform
start engine-1 build/standin-engine --listen 127.0.0.1:17101 --name engine-1 \
  --accelerators-mb 40000,40000 --checks-fence --load-ms 500 --store $platform
start engine-2 build/standin-engine --listen 127.0.0.1:17102 --name engine-2 \
  --accelerators-mb 40000 --load-ms 500 --store $platform
start booking-1 build/standin-service --listen 127.0.0.1:17201
for i in 1 2 3; do
  centre=north
  [ $i = 3 ] && centre=south
  cat >"$work/host-$i.yaml" <<EOF
host: host-$i
data-centre: $centre
caller-address: 127.0.0.1:1730$i
peer-address: 127.0.0.1:1740$i
admin-address: 127.0.0.1:1750$i
platform: [$platform]
seeds: [127.0.0.1:17401, 127.0.0.1:17402]
address-keep-ms: 1000
ticket-life-ms: 2000
drain-limit-ms: 10000
EOF
  start "host-$i" build/apricotd --settings "$work/host-$i.yaml"
done

echo "--- an operator publishes three configuration files"
until_ok "the platform answers" curl -m 20 -sf http://$platform/standin/counts
build/apricotctl check samples/*.yaml
build/apricotctl publish samples/*.yaml --platform $platform --by demo
for i in 1 2 3; do until_ok "host-$i is ready" curl -m 2 -sf http://127.0.0.1:1750$i/ready; done
build/apricotctl status --hosts 127.0.0.1:17501,127.0.0.1:17502,127.0.0.1:17503

echo "--- a caller requests an address from any host, connects there, and causes a cold start of a model"
answer=$(curl -m 20 -sf "http://127.0.0.1:17303/v1/address?service=tasting&model=tasting-notes&data-centre=north")
echo "      $answer"
address=$(printf '%s' "$answer" | sed -n 's/.*"addresses":\[{"host":"[^"]*","address":"\([^"]*\)".*/\1/p')
began=$(date +%s%N)
curl -m 20 -sN -X POST "http://$address/v1/services/tasting/draft?model=tasting-notes&adapter=cocoa" \
  -H 'Request-Id: demo-1' -d '{"prompt":"a dark bar","max_tokens":6}' >"$work/stream"
echo "      cold start and 6 tokens in $((($(date +%s%N) - began) / 1000000)) ms"
expect "tokens in the stream" 6 "$(grep -c '^event: token' "$work/stream")"
expect "the stream is complete" 1 "$(grep -c '^event: done' "$work/stream")"
# The records of both engines: runs of requests, loads and unloads, counters.
books() { curl -m 20 -sf "http://127.0.0.1:17101/standin/books"; curl -m 20 -sf "http://127.0.0.1:17102/standin/books"; }
loads() { books | grep -o '"what":"load","model":"tasting-notes","adapter":""' | wc -l; }
expect "loads of the model" 1 "$(loads)"

echo "--- requests for the loaded model through each host"
for i in 1 2 3; do
  curl -m 20 -sN -X POST "http://127.0.0.1:1730$i/v1/services/tasting/draft?model=tasting-notes" \
    -H "Request-Id: demo-warm-$i" -d '{"max_tokens":4}' >"$work/stream"
  expect "complete response through host-$i" 1 "$(grep -c '^event: done' "$work/stream")"
done
expect "loads of the model" 1 "$(loads)"

echo "--- a booking that must run at most once, sent twice with the same ticket"
ticket=$(curl -m 20 -sf -X POST http://127.0.0.1:17301/v1/tickets | sed -n 's/.*"ticket":"\([^"]*\)".*/\1/p')
for i in 1 2; do
  curl -m 20 -s -X POST "http://127.0.0.1:1730$i/v1/services/bookings/book" -H "Ticket: $ticket" \
    -H 'Request-Id: demo-booking' -d '{"cases":1}' -o "$work/booking-$i" -w '%{http_code}' >"$work/code-$i"
  expect "status of the booking through host-$i" 200 "$(cat "$work/code-$i")"
done
expect "runs at the booking service" 1 "$(curl -m 20 -sf http://127.0.0.1:17201/standin/books | number demo-booking)"

echo "--- a request whose deadline cannot be met is refused at once and not run"
curl -m 20 -s -X POST "http://127.0.0.1:17301/v1/services/tasting/draft?model=allergens" -H 'Deadline-Ms: 100' \
  -d '{}' >"$work/refusal"
echo "      $(cat "$work/refusal")"
expect "refusals for an unmeetable deadline" 1 "$(grep -c '"error":"deadline_unmeetable".*"run":"not-run"' "$work/refusal")"

echo "--- a planned stop completes running requests"
curl -m 20 -sN -X POST "http://127.0.0.1:17301/v1/services/tasting/draft?model=tasting-notes" \
  -H 'Request-Id: demo-stop' -d '{"max_tokens":200}' >"$work/stream" &
stream=$!
until_ok "the stream runs" grep -q token "$work/stream"
kill -TERM "${pids[4]}" # host-1; pids 0 to 3 are the stand-ins
wait $stream
expect "the stream through host-1 is complete" 1 "$(grep -c '^event: done' "$work/stream")"
code=0
wait "${pids[4]}" || code=$?
expect "exit code of host-1" 0 "$code"
after=$(curl -m 20 -sf "http://127.0.0.1:17302/v1/address?service=tasting&model=tasting-notes")
expect "occurrences of host-1 in new addresses" 0 "$(printf '%s' "$after" | grep -c 'host-1' || true)"

echo "--- memory use by the engines' own records"
expect "loads that overcommitted the memory of engine-1 and engine-2" "0 0" "$(books | grep -o '"overcommits":[0-9]*' | cut -d: -f2 | paste -sd' ')"

echo "--- the gateway apricotgw, which stores nothing on its host; standin-machines stands in for its platform and backend servers"
machines=127.0.0.1:17601
start machines build/standin-machines --listen $machines --servers llm=127.0.0.1:17611 \
  --servers llm=127.0.0.1:17612 --servers plain=127.0.0.1:17613
until_ok "the store answers" curl -m 2 -sf http://$machines/standin/books
curl -m 5 -sf -X POST http://$machines/standin/configuration --data-binary @samples/machines.json >/dev/null
cat >"$work/gateway.yaml" <<EOF
host: gateway-1
data-centre: north
caller-address: 127.0.0.1:17621
ready-address: 127.0.0.1:17622
directory-address: 127.0.0.1:17623
peer-address: 127.0.0.1:17624
platform: $machines
EOF
start gateway-1 build/apricotgw --settings "$work/gateway.yaml"
until_ok "the gateway is ready" curl -m 2 -sf http://127.0.0.1:17622/v1/ready
until_ok "the gateway holds the lease and may order loads" grep -q lease_taken "$work/gateway-1.log"
curl -m 9 -sN -X POST http://127.0.0.1:17621/draft/1 -H 'Host: demo.example' -d prompt \
  -H 'Apricotdyke-Request-Id: demo-draft' -H 'Apricotdyke-Model: m4' >"$work/stream"
expect "events in the stream of a model that had to be loaded first" 12 "$(grep -c '^id: ' "$work/stream")"
curl -m 9 -s -X POST http://127.0.0.1:17621/book/1 -H 'Host: demo.example' -d 'two cases' \
  -H 'Apricotdyke-Request-Id: demo-book' -o /dev/null -w '%{http_code}' >"$work/code"
expect "status of a booking through the gateway" 200 "$(cat "$work/code")"
expect "runs of that booking" 1 "$(curl -m 5 -sf http://$machines/standin/books | grep -o '"runs":{[^}]*}' | number demo-book)"
[ $failures = 0 ] && echo "demo: all as stated" || echo "demo: $failures outcomes were not as stated"
exit $((failures > 0))
