#!/usr/bin/env bash
# Measures what the nodes add to a request: the same load straight to the upstreams, then through the
# nodes, in one run; and the processor time a request costs the nodes.
#   tools/added_latency.sh [--build DIR] [--rate N] [--seconds N]
set -euo pipefail
cd "$(dirname "$0")/.."

build=build
rate=150
seconds=15
while [ $# -gt 0 ]; do
  case "$1" in
    --build) build=$2; shift 2 ;;
    --rate) rate=$2; shift 2 ;;
    --seconds) seconds=$2; shift 2 ;;
    *) sed -n '2,4p' "$0"; exit 0 ;;
  esac
done

work=$(mktemp -d)
pids=()
trap 'kill -9 "${pids[@]}" 2>/dev/null || true; rm -rf "$work"' EXIT

start() {
  "$@" >/dev/null 2>&1 &
  pids+=($!)
}

cpu_ticks() {
  awk '{print $14 + $15}' "/proc/${pids[1]}/stat" "/proc/${pids[2]}/stat" | paste -sd+ - | bc
}

start "$build/standin_platform" --listen 127.0.0.1:26800
sleep 0.5
for it in 1 2; do
  cat >"$work/node-$it.yaml" <<YAML
vm_name: vm-$it
region: region-1
failure_domain: domain-1
listen:
  link: 127.0.0.1:2681$it
  callers: [127.0.0.1:2682$it]
  control: 127.0.0.1:2683$it
platform: [127.0.0.1:26800]
seeds: [127.0.0.1:26811, 127.0.0.1:26812]
log_level: error
YAML
  start "$build/mwnode" --settings "$work/node-$it.yaml"
done
for it in 1 2; do
  start "$build/standin_upstream" --listen "127.0.0.1:2684$it" --service booking \
    --node "127.0.0.1:2683$it" --failure_domain domain-1 --slots 64 --service_time_ms 5
done
cat >"$work/resources.yaml" <<YAML
kind: service
name: booking
spec: {}
---
kind: route
name: booking
spec: {pathPrefix: /booking, service: booking}
---
kind: organisation
name: north
spec: {keyHashes: [$(printf %s north-key | "$build/mwctl" hash-key)], ratePerSecond: $((rate * 4)), burst: $((rate * 2))}
YAML
"$build/mwctl" --platform 127.0.0.1:26800 --file "$work/resources.yaml" apply >/dev/null
cat >"$work/plan.yaml" <<YAML
organisations:
  - {name: north, key: north-key, rate: $rate, limit_rate: $((rate * 4)), limit_burst: $((rate * 2))}
routes:
  - {method: GET, path: /booking/slots, size: 1024, weight: 3}
  - {method: POST, path: /booking/confirm, size: 2048}
YAML
sleep 25 # upstreams warm up, the slices find their owners
through=127.0.0.1:26821,127.0.0.1:26822
"$build/mwload" --plan "$work/plan.yaml" --seconds 3 --nodes $through >/dev/null
echo "straight to the upstreams"
"$build/mwload" --plan "$work/plan.yaml" --seconds "$seconds" --nodes 127.0.0.1:26841,127.0.0.1:26842
before=$(cpu_ticks)
echo "through the nodes"
"$build/mwload" --plan "$work/plan.yaml" --seconds "$seconds" --nodes $through
awk -v ticks="$(($(cpu_ticks) - before))" -v hz="$(getconf CLK_TCK)" -v n="$((rate * seconds))" \
  'BEGIN { printf "node processor time a request: %.2f ms, %.0f requests/s a core\n", 1000 * ticks / hz / n, n * hz / ticks }'
