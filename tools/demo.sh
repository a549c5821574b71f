#!/usr/bin/env bash
# The main job on one machine: installs, builds, starts a stand-in platform, 4 nodes in 2 failure
# domains and 6 upstreams of 2 services, sends the traffic of two organisations, drains one upstream,
# kills another, and judges the histories. Exits non-zero if a step or an invariant fails.
#   tools/demo.sh [--build DIR]
set -euo pipefail
cd "$(dirname "$0")/.."

build=build
[ "${1:-}" != --build ] || build=$2
work=$(mktemp -d)
platform=127.0.0.1:20600
drained=127.0.0.1:20641
killed=127.0.0.1:20644
declare -A pids=()

stop_all() {
  for it in "${!pids[@]}"; do
    kill "${pids[$it]}" 2>/dev/null || true
  done
  # A planned stop takes a few seconds; what has not ended by then is killed.
  for _ in $(seq 1 100); do
    kill -0 "${pids[@]}" 2>/dev/null || break
    sleep 0.1
  done
  for it in "${!pids[@]}"; do
    kill -9 "${pids[$it]}" 2>/dev/null || true
  done
  rm -rf "$work"
}
trap stop_all EXIT

say() { printf '\n== %s\n' "$*"; }

start() {
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids[$name]=$!
}

start_node() {
  cat >"$work/node-$1.yaml" <<YAML
vm_name: vm-$1
region: region-1
failure_domain: domain-$(((($1 - 1) / 2) + 1))
listen:
  link: 127.0.0.1:2061$1
  callers: [127.0.0.1:2062$1]
  control: 127.0.0.1:2063$1
platform: [$platform]
seeds: [127.0.0.1:20611, 127.0.0.1:20613]
YAML
  start "node-$1" "$build/mwnode" --settings "$work/node-$1.yaml"
}

# start_upstream NODE SERVICE PORT
start_upstream() {
  start "upstream-$3" "$build/standin_upstream" --listen "127.0.0.1:$3" --service "$2" \
    --node "127.0.0.1:2063$1" --failure_domain "domain-$(((($1 - 1) / 2) + 1))" --slots 7 \
    --service_time_ms 10 --history "$work/upstream-$3.jsonl"
}

write_resources() {
  cat >"$work/resources.yaml" <<YAML
kind: service
name: booking
spec: {}
---
kind: service
name: dispatch
spec: {}
---
kind: floor
name: booking
spec: {slots: 14}
---
kind: route
name: booking
spec: {pathPrefix: /booking, service: booking}
---
kind: route
name: dispatch
spec: {pathPrefix: /dispatch, service: dispatch}
---
kind: organisation
name: north
spec: {keyHashes: [$(printf %s north-key | "$build/mwctl" hash-key)], ratePerSecond: 120, burst: 60}
---
kind: organisation
name: south
spec: {keyHashes: [$(printf %s south-key | "$build/mwctl" hash-key)], ratePerSecond: 60, burst: 30}
YAML
  cat >"$work/plan.yaml" <<YAML
organisations:
  - {name: north, key: north-key, rate: 60, limit_rate: 120, limit_burst: 60}
  - {name: south, key: south-key, rate: 30, limit_rate: 60, limit_burst: 30}
routes:
  - {method: GET, path: /booking/slots, size: 1024, weight: 3}
  - {method: POST, path: /booking/confirm, size: 2048}
  - {method: POST, path: /dispatch/photo, size: 200000}
YAML
}

# Waits until every node is loaded and knows 4 members.
await_fleet() {
  local it
  for _ in $(seq 1 100); do
    local ready=0
    for it in 1 2 3 4; do
      local status
      status=$(curl -s "127.0.0.1:2063$it/status" || true)
      if [ "$(grep -c '"vm": "vm-' <<<"$status")" -ge 5 ] && grep -q '"loaded": true' <<<"$status"; then
        ready=$((ready + 1))
      fi
    done
    [ "$ready" != 4 ] || return 0
    sleep 0.2
  done
  echo "the fleet did not come together" >&2
  return 1
}

say "install and build"
tools/setup.sh
cmake -G Ninja -S . -B "$build" >/dev/null
ninja -C "$build" --quiet mwnode mwctl mwload mwcheck standin_platform standin_upstream

say "start: platform, 4 nodes in 2 failure domains, 6 upstreams of 2 services"
start platform "$build/standin_platform" --listen "$platform"
sleep 0.5
for it in 1 2 3 4; do start_node "$it"; done
await_fleet
for it in 1 2 3 4; do start_upstream "$it" booking "2064$it"; done
start_upstream 1 dispatch 20645
start_upstream 3 dispatch 20646
write_resources
"$build/mwctl" --platform "$platform" --file "$work/resources.yaml" apply
sleep 12 # cold upstreams ramp up, rates are leased

say "traffic of two organisations for 20 s; one upstream drained after 5 s, one killed after 10 s"
"$build/mwload" --plan "$work/plan.yaml" --seconds 20 --history "$work/callers.jsonl" \
  --nodes 127.0.0.1:20621,127.0.0.1:20622,127.0.0.1:20623,127.0.0.1:20624 >"$work/report.txt" &
load=$!
sleep 5
"$build/mwctl" --platform "$platform" leave upstream "$drained"
printf '{"type":"change","acceptedUs":%s,"kind":"leaving","name":"%s","spec":{}}\n' \
  "$(date +%s%6N)" "$drained" >>"$work/operators.jsonl"
sleep 5
kill -9 "${pids[upstream-${killed#*:}]}"
unset "pids[upstream-${killed#*:}]"
wait "$load"

say "what the callers saw (milliseconds)"
cat "$work/report.txt"
say "what the operators see"
"$build/mwctl" --platform "$platform" status
say "invariants and measures, judged from the histories"
"$build/mwcheck" "$work"/*.jsonl
say "done: every invariant that the histories can judge holds"
